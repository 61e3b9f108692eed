"""Tests of the engine, the plain service and the link as processes."""

import json
import pathlib
import tempfile
from collections.abc import Iterator
from typing import Any

import testtools
import urllib3

from dandelionyoke_standins import answer_text
from tests.standins.processes import ProcessTestCase, Standin

PROMPT = 'How many crates does the shop owe? answer 60 tokens'
CRASH_STATUS = 70


def generate_body(attempt_id: str, prompt: str = PROMPT) -> dict[str, Any]:
    return {
        'attempt_id': attempt_id,
        'model': 'model',
        'prompt': prompt,
        'resume_tokens': [],
        'max_output_tokens': 500,
        'priority': 1,
    }


def lines(answer: urllib3.BaseHTTPResponse) -> Iterator[dict[str, Any]]:
    pending = b''
    while part := answer.read1():
        *complete, pending = (pending + part).split(b'\n')
        yield from map(json.loads, complete)


def skip_to_first_tokens(stream: Iterator[dict[str, Any]]) -> None:
    """Read until tokens arrive; the first line only confirms acceptance."""
    next(line for line in stream if line['tokens'])


def text(received: list[dict[str, Any]]) -> str:
    return ''.join(
        token for line in received for token in line.get('tokens', ())
    )


class EngineStreamTest(testtools.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        super().setUpClass()
        cls.engine = Standin('engine')
        cls.addClassCleanup(cls.engine.stop)

    def test_a_stream_comes_in_parts_and_ends(self) -> None:
        engine = self.engine
        received = list(lines(engine.stream('/generate', generate_body('a'))))
        self.assertEqual(answer_text(PROMPT, 500), text(received))
        self.assertGreater(len(received), 10)
        end = received[-1]
        self.assertEqual(('stop', 60), (end['end'], end['offset']))
        resumed = engine.stream('/resume', {'attempt_id': 'a', 'offset': 50})
        rest = list(lines(resumed))
        self.assertEqual(50, rest[0]['offset'])
        self.assertTrue(text(received).endswith(text(rest)))

    def test_a_cancelled_attempt_ends_its_stream(self) -> None:
        engine = self.engine
        stream = lines(engine.stream('/generate', generate_body('cancelled')))
        skip_to_first_tokens(stream)
        answer = engine.call('POST', '/cancel', {'attempt_id': 'cancelled'})
        self.assertTrue(answer.body['cancelled'])
        self.assertEqual({'error': 'cancelled'}, list(stream)[-1])


class EngineProcessTest(ProcessTestCase):
    def test_a_silent_stream_is_resumed_on_a_new_connection(self) -> None:
        # A middlebox loses the state of the connection, which stays open
        # without further data. The answer stops in the middle, while a new
        # connection can continue it at once.
        engine = self.standin('engine')
        engine.call('POST', '/standin/faults', {'silent_after_tokens': 20})
        stream = engine.stream('/generate', generate_body('a'))
        received: list[dict[str, Any]] = []
        for line in lines(stream):
            received.append(line)
            if line['offset'] + len(line['tokens']) == 20:
                break
        rest = lines(
            engine.stream('/resume', {'attempt_id': 'a', 'offset': 20})
        )
        received.extend(rest)
        self.assertEqual(answer_text(PROMPT, 500), text(received))
        stream.close()

    def test_a_crash_prompt_ends_the_process(self) -> None:
        # A prompt crashes every engine that runs it, which also closes the
        # connections of the engine's other callers. The record file shows
        # afterwards which attempts were in progress.
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = pathlib.Path(folder.name, 'record')
        engine = self.standin(
            'engine', '--crash-on', 'poison', '--record-file', str(path)
        )
        other_stream = engine.stream('/generate', generate_body('a'))
        engine.stream('/generate', generate_body('b', 'poison'))
        self.assertRaises(
            urllib3.exceptions.HTTPError, list, lines(other_stream)
        )
        self.assertEqual(CRASH_STATUS, engine.process.wait(20))
        records = [json.loads(line) for line in path.read_text().splitlines()]
        seen = [
            (entry['kind'], entry['record']['attempt_id']) for entry in records
        ]
        self.assertEqual([('attempt', 'a'), ('attempt', 'b')], seen)

    def test_a_role_change_ends_streams_and_refuses_attempts(self) -> None:
        engine = self.standin('engine', '--role-s', '0.2')
        stream = lines(engine.stream('/generate', generate_body('a')))
        skip_to_first_tokens(stream)
        order = {
            'order_id': '1',
            'fence': 1,
            'kind': 'role',
            'argument': 'prefill',
        }
        state = engine.call('POST', '/orders', order).body['state']
        self.assertEqual('accepted', state)
        refusal = engine.call('POST', '/generate', generate_body('b'))
        self.assertEqual(503, refusal.status)
        self.assertEqual(
            (False, 'role'),
            (
                refusal.body['ran'],
                refusal.body['cause'],
            ),
        )
        self.assertEqual('role', list(stream)[-1]['error'])
        record = engine.call('GET', '/standin/record').body
        self.assertEqual(1, len(record['orders']))
        self.assertEqual(
            ['a'], [entry['attempt_id'] for entry in record['attempts']]
        )

    def test_kv_moves_from_engine_to_engine(self) -> None:
        source, target = self.standin('engine'), self.standin('engine')
        prompt = 'crate ' * 320 + PROMPT
        stream = lines(source.stream('/generate', generate_body('a', prompt)))
        skip_to_first_tokens(stream)
        export = source.call('POST', '/kv/export', {'attempt_id': 'a'}).body
        self.assertGreaterEqual(export['blocks'], 20)
        moved = {
            'handle': export['handle'],
            'source': source.address,
            'attempt_id': 'b',
        }
        self.assertEqual(
            {'imported': True}, target.call('POST', '/kv/import', moved).body
        )
        body = generate_body('b', prompt)
        body['resume_tokens'] = export['tokens']
        received = list(lines(target.stream('/generate', body)))
        complete = ''.join(export['tokens']) + text(received)
        self.assertEqual(answer_text(prompt, 500), complete)
        self.assertGreaterEqual(received[-1]['cached_tokens'], 320)


class PlainProcessTest(ProcessTestCase):
    def test_runs_are_counted_per_key(self) -> None:
        plain = self.standin('plain')
        runs = [self._confirm(plain, key) for key in ('a', 'a', 'b')]
        self.assertEqual([1, 2, 1], runs)
        counted = plain.call('GET', '/standin/runs').body['runs']
        self.assertEqual({'a': 2, 'b': 1}, counted)

    def test_a_lost_answer_has_run_and_a_refusal_has_not(self) -> None:
        plain = self.standin('plain')
        plain.call('POST', '/standin/faults', {'lose_answers': 1})
        self.assertRaises(
            urllib3.exceptions.ProtocolError, self._confirm, plain, 'lost'
        )
        plain.call('POST', '/standin/faults', {'refuse': 'draining'})
        refusal = plain.call('POST', '/confirm')
        self.assertEqual((503, False), (refusal.status, refusal.body['ran']))
        runs = plain.call('GET', '/standin/runs').body['runs']
        self.assertEqual({'lost': 1}, runs)

    def test_a_crash_after_the_run_ends_the_process(self) -> None:
        plain = self.standin('plain')
        plain.call('POST', '/standin/faults', {'crash_after_run': True})
        self.assertRaises(
            urllib3.exceptions.ProtocolError, self._confirm, plain, 'a'
        )
        self.assertEqual(CRASH_STATUS, plain.process.wait(20))

    def _confirm(self, plain: Standin, key: str) -> int:
        answer = plain.http.request(
            'POST',
            f'{plain.address}/confirm',
            headers={'Idempotency-Key': key},
        )
        return int(answer.json()['runs'])


class LinkProcessTest(ProcessTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.engine = self.standin('engine')
        engine_address = self.engine.address.removeprefix('http://')
        self.link = self.standin('link', '--to', engine_address)
        self.control = self.link.read_address('CONTROL')

    def test_a_cut_resets_open_connections_and_refuses_new_ones(self) -> None:
        # A partition starts in the middle of an answer: its connection is
        # reset, and new connections fail until the partition ends.
        stream = lines(self.link.stream('/generate', generate_body('a')))
        skip_to_first_tokens(stream)
        self._command('cut')
        self.assertRaises(urllib3.exceptions.HTTPError, list, stream)
        self.assertRaises(
            urllib3.exceptions.NewConnectionError,
            self.link.call,
            'GET',
            '/load',
        )
        self._command('restore')
        rest = self.link.stream('/resume', {'attempt_id': 'a', 'offset': 0})
        self.assertEqual(answer_text(PROMPT, 500), text(list(lines(rest))))

    def test_a_silenced_connection_stays_silent_and_new_ones_work(
        self,
    ) -> None:
        stream = lines(self.link.stream('/generate', generate_body('a')))
        skip_to_first_tokens(stream)
        self.assertEqual(1, self._command('silence')['silent'])
        rest = self.link.stream('/resume', {'attempt_id': 'a', 'offset': 0})
        self.assertEqual(answer_text(PROMPT, 500), text(list(lines(rest))))

    def test_a_blackhole_swallows_new_connections_until_restored(
        self,
    ) -> None:
        self._command('blackhole')
        self.assertRaises(
            urllib3.exceptions.ReadTimeoutError,
            self.link.http.request,
            'GET',
            f'{self.link.address}/load',
            timeout=0.3,
        )
        self._command('restore')
        self.assertEqual(200, self.link.call('GET', '/load').status)

    def test_a_path_hangs_until_restored(self) -> None:
        self._command('hang')
        self.assertRaises(
            urllib3.exceptions.ConnectTimeoutError,
            urllib3.request,
            'GET',
            f'{self.link.address}/load',
            timeout=0.3,
            retries=False,
        )
        self._command('restore')
        self.assertEqual(200, self.link.call('GET', '/load').status)

    def test_a_held_path_delivers_all_bytes_once_released(self) -> None:
        """Guards against a stand-in that loses what it should only delay."""
        stream = lines(self.link.stream('/generate', generate_body('a')))
        begun = next(line for line in stream if line['tokens'])
        self._command('hold')
        self.assertRaises(
            urllib3.exceptions.ReadTimeoutError,
            self.link.http.request,
            'GET',
            f'{self.link.address}/load',
            timeout=0.3,
            retries=False,
        )
        self._command('release')
        self.assertEqual(answer_text(PROMPT, 500), text([begun, *stream]))

    def test_open_connections_live_on_while_new_ones_are_refused(self) -> None:
        stream = lines(self.link.stream('/generate', generate_body('a')))
        skip_to_first_tokens(stream)
        self._command('refuse')
        self.assertRaises(
            urllib3.exceptions.NewConnectionError,
            urllib3.request,
            'GET',
            f'{self.link.address}/load',
            retries=False,
        )
        self.assertTrue(list(stream))
        self._command('restore')
        self.assertEqual(200, self.link.call('GET', '/load').status)

    def _command(self, name: str) -> dict[str, Any]:
        return self.link.http.request('POST', f'{self.control}/{name}').json()
