"""A bounded load driver that checks that every answer is whole."""

import json
import secrets
import time
from collections.abc import Iterator
from typing import Any

import attrs
import eventlet
import urllib3

from dandelionyoke_standins._http import announce
from dandelionyoke_standins._workload import (
    CALL_KINDS,
    CallKind,
    LoadCall,
    load_calls,
)

MAX_TRIES = 20
MAX_PAUSE_S = 2.0
SSE_PREFIX = 'data: '
SSE_DONE = '[DONE]'


@attrs.frozen
class LoadSettings:
    """Where the load goes, and how much of it there is."""

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
    """What came back for one call."""

    call: LoadCall
    entry: str
    is_whole: bool
    detail: str = ''


class RefusedError(Exception):
    """The entry refused the call; it may be sent again after a while."""

    def __init__(self, status: int, retry_after_s: float) -> None:
        super().__init__(f'refused with status {status}')
        self.retry_after_s = retry_after_s


BROKEN_ANSWERS = (
    OSError,
    ValueError,
    LookupError,
    TypeError,
    RefusedError,
    urllib3.exceptions.HTTPError,
)


# No byte of the call has left, so another entry may take it.
NOT_CONNECTED = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
)


class LoadDriver:
    """Sends the mix through all entries in turn, some calls at a time."""

    def __init__(self, settings: LoadSettings) -> None:
        self._settings = settings
        self._pool = urllib3.PoolManager(
            num_pools=len(settings.entries),
            maxsize=settings.concurrency,
            retries=False,
            timeout=settings.answer_timeout_s,
        )
        self._deadline_s: float = 0
        # One key for each confirmation, the same when it is sent again.
        self._run_id = secrets.token_hex(8)

    def run(self) -> list[LoadOutcome]:
        """Send every call, and give what came back."""
        settings = self._settings
        self._deadline_s = time.monotonic() + settings.time_limit_s
        calls = load_calls(settings.count, settings.kinds, settings.seed)
        tasks = eventlet.GreenPool(settings.concurrency)
        return list(tasks.imap(self._outcome, calls))

    def _outcome(self, call: LoadCall) -> LoadOutcome:
        entry = self._settings.entries[
            call.number % len(self._settings.entries)
        ]
        try:
            answer = self._answer(call, entry)
        except BROKEN_ANSWERS as error:
            return LoadOutcome(call, entry, is_whole=False, detail=repr(error))
        is_whole = answer == _expected(call)
        detail = '' if is_whole else f'got {answer[:80]!r}'
        return LoadOutcome(call, entry, is_whole, detail)

    def _answer(self, call: LoadCall, entry: str) -> str:
        """Send a call until it is not refused any more."""
        for _ in range(MAX_TRIES):
            try:
                return self._send(call, entry)
            except NOT_CONNECTED:
                entry = self._entry_after(entry)
            except RefusedError as refusal:
                pause_s = min(refusal.retry_after_s, MAX_PAUSE_S)
                if time.monotonic() + pause_s > self._deadline_s:
                    raise
                eventlet.sleep(pause_s)
        raise RefusedError(503, 0)

    def _entry_after(self, entry: str) -> str:
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
            return _joined(_events(answer), is_chat=is_chat)
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


def report_load(outcomes: list[LoadOutcome]) -> int:
    """Print each answer that is not whole, then the sum; give the status."""
    broken = [outcome for outcome in outcomes if not outcome.is_whole]
    for outcome in broken:
        call = outcome.call
        announce(
            f'call {call.number} ({call.kind}) at {outcome.entry}: '
            f'{outcome.detail}'
        )
    whole = len(outcomes) - len(broken)
    announce(f'demo: {whole} of {len(outcomes)} answers whole')
    return 1 if broken or not outcomes else 0


def _expected(call: LoadCall) -> str:
    return '1' if call.kind == 'service' else call.expected_text


def _events(answer: urllib3.BaseHTTPResponse) -> Iterator[dict[str, Any]]:
    """Read the events of a stream; one that breaks off is an error."""
    pending = b''
    while True:
        part = answer.read1()
        if not part:
            raise ValueError('the stream ended before its last event')
        *lines, pending = (pending + part).split(b'\n')
        for line in lines:
            text = line.decode().strip()
            if text == SSE_PREFIX + SSE_DONE:
                answer.drain_conn()
                return
            if text.startswith(SSE_PREFIX):
                yield json.loads(text.removeprefix(SSE_PREFIX))


def _joined(events: Iterator[dict[str, Any]], *, is_chat: bool) -> str:
    texts = []
    for event in events:
        for choice in event['choices']:
            if is_chat:
                texts.append(choice['delta'].get('content') or '')
            else:
                texts.append(choice['text'])
    return ''.join(texts)
