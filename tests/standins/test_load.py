"""Tests of the load generator against a small entry with faults."""

import json
import pathlib
import subprocess
import sys
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any

import attrs
import testtools

from dandelionyoke_core import ChatMessage, chat_prompt
from dandelionyoke_standins import answer_text

TIMEOUT_S = 60
ROOT = pathlib.Path(__file__).parent.parent.parent
RUN_TEST_BESIDE_SOAK = """
import unittest
import tests.standins.test_load
import tests.soak.soak

name = 'LoadTest.test_an_unreachable_entry_is_skipped'
unittest.main('tests.standins.test_load', argv=['', name])
"""


class _Entry(BaseHTTPRequestHandler):
    """Answers as an entry does, with the fault that the server selects."""

    protocol_version = 'HTTP/1.1'

    def do_POST(self) -> None:
        server = self.server
        size = int(self.headers['Content-Length'])
        body = json.loads(self.rfile.read(size))
        server.keys.add(self.headers['Authorization'])
        server.calls += 1
        if server.calls == server.refuse_call:
            self._send(429, b'{"run": "no"}', 'application/problem+json')
        elif self.path.startswith('/services/'):
            runs = 2 if server.fault == 'doubled run' else 1
            self._send(200, json.dumps({'runs': runs}).encode())
        else:
            self._complete(body)

    def _complete(self, body: dict[str, Any]) -> None:
        is_chat = 'messages' in body
        prompt = body.get('prompt', '')
        if is_chat:
            turns = [ChatMessage(**turn) for turn in body['messages']]
            prompt = chat_prompt(turns)
        tokens = answer_text(prompt, body['max_tokens']).split(' ')[:-1]
        if self.server.fault == 'lost token':
            tokens.pop(1)
        if self.server.fault == 'doubled token':
            tokens.insert(1, tokens[0])
        parts = [f'{token} ' for token in tokens]
        if not body['stream']:
            text = ''.join(parts)
            choice = {'message': {'content': text}, 'text': text}
            self._send(200, json.dumps({'choices': [choice]}).encode())
            return
        events = [
            json.dumps(
                {'choices': [{'delta': {'content': part}, 'text': part}]}
            )
            for part in parts
        ]
        if self.server.fault != 'cut stream':
            events.append('[DONE]')
        stream = ''.join(f'data: {event}\n\n' for event in events)
        self._send(200, stream.encode(), 'text/event-stream')

    def _send(
        self, status: int, body: bytes, kind: str = 'application/json'
    ) -> None:
        self.send_response(status)
        self.send_header('Content-Type', kind)
        self.send_header('Content-Length', str(len(body)))
        self.send_header('Retry-After', '0')
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *arguments: object) -> None:
        """Suppress the request log."""


@attrs.frozen
class LoadResult:
    status: int
    lines: list[str]


class LoadTest(testtools.TestCase):
    def test_the_last_line_counts_correct_answers(self) -> None:
        entries = [self._entry('', refuse_call=3), self._entry('')]
        result = self._load(entries, 20)
        self.assertEqual(['demo: 20 of 20 answers whole'], result.lines)
        self.assertEqual(0, result.status)
        self.assertEqual(21, sum(entry.calls for entry in entries))
        keys = {'Bearer key-1', 'Bearer key-2'}
        self.assertEqual(keys, entries[0].keys | entries[1].keys)

    def test_each_kind_of_wrong_answer_is_detected(self) -> None:
        # A missing or duplicated token, a stream that ends early and a
        # confirmation that ran twice are all wrong answers to a caller, so
        # the exit status must report a failure.
        for fault, correct in {
            'lost token': 2,
            'doubled token': 2,
            'cut stream': 6,
            'doubled run': 8,
        }.items():
            result = self._load([self._entry(fault)], 10)
            summary = f'demo: {correct} of 10 answers whole'
            self.assertEqual((1, summary), (result.status, result.lines[-1]))

    def test_an_unreachable_entry_is_skipped(self) -> None:
        closed = self._entry('')
        closed.shutdown()
        closed.server_close()
        result = self._load([closed, self._entry('')], 5)
        self.assertEqual(['demo: 5 of 5 answers whole'], result.lines)

    def test_an_entry_shuts_down_in_a_process_that_imported_the_soak(
        self,
    ) -> None:
        """The soak imports `eventlet.wsgi`, which sets `http.server` to a copy
        with green locks. A native thread that waits for one never wakes."""
        result = subprocess.run(
            [sys.executable, '-W', 'ignore', '-c', RUN_TEST_BESIDE_SOAK],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=TIMEOUT_S,
        )
        self.assertEqual(0, result.returncode, result.stderr)
        self.assertIn('Ran 1 test', result.stderr)

    def _entry(self, fault: str, refuse_call: int = 0) -> ThreadingHTTPServer:
        entry = ThreadingHTTPServer(('127.0.0.1', 0), _Entry)
        entry.fault = fault
        entry.refuse_call = refuse_call
        entry.calls = 0
        entry.keys = set()
        threading.Thread(target=entry.serve_forever).start()
        self.addCleanup(entry.server_close)
        self.addCleanup(entry.shutdown)
        return entry

    def _load(
        self, entries: list[ThreadingHTTPServer], count: int
    ) -> LoadResult:
        command = [sys.executable, '-W', 'ignore', '-m']
        command += ['dandelionyoke_standins', 'load', '--model', 'model']
        command += ['--service', 'ledger-desk', '--count', str(count)]
        command += ['--api-key', 'key-1', '--api-key', 'key-2']
        for entry in entries:
            command += ['--entry', f'http://127.0.0.1:{entry.server_port}']
        result = subprocess.run(
            command, capture_output=True, text=True, timeout=TIMEOUT_S
        )
        return LoadResult(result.returncode, result.stdout.splitlines())
