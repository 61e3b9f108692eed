"""A load generator that checks that every answer is complete and correct."""

import json
import secrets
import time
from collections.abc import Iterator
from typing import Any

import attrs
import eventlet
import urllib3

from dandelionyoke_standins._http import print_line
from dandelionyoke_standins._workload import (
    CALL_KINDS,
    CallKind,
    LoadCall,
    generate_calls,
)

MAX_ATTEMPTS = 20
MAX_RETRY_DELAY_S = 2.0
SSE_PREFIX = 'data: '
SSE_DONE = '[DONE]'


@attrs.frozen
class LoadSettings:
    """The destination, size and limits of a load."""

    entries: tuple[str, ...]
    api_keys: tuple[str, ...]
    models: tuple[str, ...]
    service: str = ''
    kinds: tuple[CallKind, ...] = CALL_KINDS
    count: int = 100
    concurrency: int = 8
    time_limit_s: float = 120.0
    answer_timeout_s: float = 60.0
    seed: int = 1


@attrs.frozen
class LoadOutcome:
    """The result of one call."""

    call: LoadCall
    entry: str
    is_correct: bool
    detail: str = ''


class RefusedError(Exception):
    """The entry refused the call; it may be retried after a delay."""

    def __init__(self, status: int, retry_after_s: float) -> None:
        super().__init__(f'refused with status {status}')
        self.retry_after_s = retry_after_s


CALL_ERRORS = (
    OSError,
    ValueError,
    LookupError,
    TypeError,
    RefusedError,
    urllib3.exceptions.HTTPError,
)


# Nothing of the call was sent, so it is safe to use another entry.
CONNECT_ERRORS = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
)


class LoadDriver:
    """Sends calls to all entries in turn, with limited concurrency."""

    def __init__(self, settings: LoadSettings) -> None:
        self._settings = settings
        self._pool = urllib3.PoolManager(
            num_pools=len(settings.entries),
            maxsize=settings.concurrency,
            retries=False,
            timeout=settings.answer_timeout_s,
        )
        self._deadline_s: float = 0
        # Part of the idempotency keys, so that a retry repeats its key.
        self._run_id = secrets.token_hex(8)

    def run(self) -> list[LoadOutcome]:
        """Send every call and return the outcomes."""
        settings = self._settings
        self._deadline_s = time.monotonic() + settings.time_limit_s
        calls = generate_calls(settings.count, settings.kinds, settings.seed)
        pool = eventlet.GreenPool(settings.concurrency)
        return list(pool.imap(self._run_call, calls))

    def _run_call(self, call: LoadCall) -> LoadOutcome:
        entry = self._settings.entries[
            call.number % len(self._settings.entries)
        ]
        try:
            answer = self._send_with_retries(call, entry)
        except CALL_ERRORS as error:
            return LoadOutcome(
                call, entry, is_correct=False, detail=repr(error)
            )
        is_correct = answer == _expected_answer(call)
        detail = '' if is_correct else f'got {answer[:80]!r}'
        return LoadOutcome(call, entry, is_correct, detail)

    def _send_with_retries(self, call: LoadCall, entry: str) -> str:
        """Send a call, and retry it while entries refuse it."""
        for _ in range(MAX_ATTEMPTS):
            try:
                return self._send(call, entry)
            except CONNECT_ERRORS:
                entry = self._next_entry(entry)
            except RefusedError as refusal:
                delay_s = min(refusal.retry_after_s, MAX_RETRY_DELAY_S)
                if time.monotonic() + delay_s > self._deadline_s:
                    raise
                eventlet.sleep(delay_s)
        raise RefusedError(503, 0)

    def _next_entry(self, entry: str) -> str:
        entries = self._settings.entries
        return entries[(entries.index(entry) + 1) % len(entries)]

    def _send(self, call: LoadCall, entry: str) -> str:
        if time.monotonic() > self._deadline_s:
            raise RefusedError(0, 0)
        if call.kind == 'service':
            return self._confirm(call, entry)
        is_chat = call.kind.startswith('chat')
        is_stream = call.kind.endswith('stream')
        path = '/v1/chat/completions' if is_chat else '/v1/completions'
        body = self._body(call, is_chat=is_chat, is_stream=is_stream)
        answer = self._post(call, f'{entry}{path}', body, {})
        if is_stream:
            return _joined_text(_read_events(answer), is_chat=is_chat)
        choice = json.loads(answer.read())['choices'][0]
        return str(choice['message']['content'] if is_chat else choice['text'])

    def _body(
        self, call: LoadCall, *, is_chat: bool, is_stream: bool
    ) -> dict[str, Any]:
        models = self._settings.models
        body: dict[str, Any] = {
            'model': models[call.number % len(models)],
            'max_tokens': call.max_output_tokens,
            'stream': is_stream,
        }
        if is_chat:
            body['messages'] = [{'role': 'user', 'content': call.prompt}]
        else:
            body['prompt'] = call.prompt
        return body

    def _confirm(self, call: LoadCall, entry: str) -> str:
        url = f'{entry}/services/{self._settings.service}/confirm'
        headers = {'Idempotency-Key': f'{self._run_id}-{call.number}'}
        answer = self._post(call, url, {'returned': call.number}, headers)
        return str(json.loads(answer.read())['runs'])

    def _post(
        self,
        call: LoadCall,
        url: str,
        body: dict[str, Any],
        headers: dict[str, str],
    ) -> urllib3.BaseHTTPResponse:
        keys = self._settings.api_keys
        key = keys[call.number % len(keys)]
        answer = self._pool.request(
            'POST',
            url,
            json=body,
            headers={'Authorization': f'Bearer {key}', **headers},
            preload_content=False,
        )
        if answer.status == 200:
            return answer
        text = answer.read().decode(errors='replace')
        if answer.status in {429, 503} and '"run": "unknown"' not in text:
            retry_after_s = float(answer.headers.get('Retry-After', 1))
            raise RefusedError(answer.status, retry_after_s)
        raise ValueError(f'status {answer.status}: {text[:300]}')


def print_report(outcomes: list[LoadOutcome]) -> int:
    """Print each incorrect answer and a summary; return the exit status."""
    incorrect = [outcome for outcome in outcomes if not outcome.is_correct]
    for outcome in incorrect:
        call = outcome.call
        print_line(
            f'call {call.number} ({call.kind}) at {outcome.entry}: '
            f'{outcome.detail}'
        )
    correct_count = len(outcomes) - len(incorrect)
    print_line(f'demo: {correct_count} of {len(outcomes)} answers whole')
    return 1 if incorrect or not outcomes else 0


def _expected_answer(call: LoadCall) -> str:
    return '1' if call.kind == 'service' else call.expected_text


def _read_events(answer: urllib3.BaseHTTPResponse) -> Iterator[dict[str, Any]]:
    """Yield the events of a stream.

    Raises:
        ValueError: The stream ends before its last event.
    """
    buffer = b''
    while True:
        chunk = answer.read1()
        if not chunk:
            raise ValueError('the stream ended before its last event')
        *lines, buffer = (buffer + chunk).split(b'\n')
        for line in lines:
            text = line.decode().strip()
            if text == SSE_PREFIX + SSE_DONE:
                answer.drain_conn()
                return
            if text.startswith(SSE_PREFIX):
                yield json.loads(text.removeprefix(SSE_PREFIX))


def _joined_text(events: Iterator[dict[str, Any]], *, is_chat: bool) -> str:
    texts = []
    for event in events:
        for choice in event['choices']:
            if is_chat:
                texts.append(choice['delta'].get('content') or '')
            else:
                texts.append(choice['text'])
    return ''.join(texts)
