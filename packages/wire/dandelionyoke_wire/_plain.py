"""Client for plain services.

Each call is forwarded once, without the caller's API key.
"""

import contextlib
from collections.abc import Callable
from http import HTTPStatus

import urllib3

from dandelionyoke_core import (
    AttemptFailed,
    AttemptRefused,
    CallService,
    Event,
    ServiceAnswered,
    parse_json,
)
from dandelionyoke_wire._transport import (
    may_have_been_sent,
    new_pool,
    request_timeout,
)

MAX_ANSWER_BYTES = 8 * 1024 * 1024
CHUNK_BYTES = 65_536

_CONNECTION_ERRORS = (urllib3.exceptions.HTTPError, OSError)


class PlainClient:
    """Client that calls plain services and emits the results as events."""

    def __init__(self, emit: Callable[[Event], None]) -> None:
        self._emit = emit

    def call(self, action: CallService) -> None:
        """Send the call once and emit its result."""
        ids = (action.request_id, action.attempt_id)
        try:
            with new_pool() as pool:
                event = self._send(pool, action)
        except _CONNECTION_ERRORS as error:
            event = AttemptFailed(*ids, may_have_been_sent(error), str(error))
        self._emit(event)

    def _send(self, pool: urllib3.PoolManager, action: CallService) -> Event:
        ids = (action.request_id, action.attempt_id)
        response = pool.request(
            action.method,
            f'{action.address}{action.path}',
            body=action.body or None,
            headers=_headers(action),
            timeout=request_timeout(action.timeout_s),
            preload_content=False,
            redirect=False,
        )
        with contextlib.closing(response):
            body = _read_body(response)
        if body is None:
            return AttemptFailed(*ids, sent=True, cause='answer too large')
        refusal = _parse_refusal(response.status, body)
        if refusal is not None:
            return AttemptRefused(*ids, *refusal)
        return ServiceAnswered(
            *ids,
            response.status,
            response.headers.get('Content-Type', ''),
            body,
        )


def _headers(action: CallService) -> dict[str, str]:
    headers = {
        'X-Request-Id': action.request_id,
        'X-Attempt-Id': action.attempt_id,
    }
    if action.content_type:
        headers['Content-Type'] = action.content_type
    if action.idempotency_key is not None:
        headers['Idempotency-Key'] = action.idempotency_key
    return headers


def _read_body(response: urllib3.BaseHTTPResponse) -> bytes | None:
    chunks: list[bytes] = []
    size_bytes = 0
    for chunk in response.stream(CHUNK_BYTES):
        chunks.append(chunk)
        size_bytes += len(chunk)
        if size_bytes > MAX_ANSWER_BYTES:
            return None
    return b''.join(chunks)


def _parse_refusal(status: int, body: bytes) -> tuple[str, float | None] | None:
    if status != HTTPStatus.SERVICE_UNAVAILABLE:
        return None
    try:
        refusal = parse_json(body)
    except ValueError:
        return None
    if not isinstance(refusal, dict) or refusal.get('ran') is not False:
        return None
    return str(refusal.get('cause', 'refused')), refusal.get('retry_after_s')
