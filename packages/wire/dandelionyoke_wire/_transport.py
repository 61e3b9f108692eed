"""HTTP calls with JSON bodies, and whether a failed one was sent."""

import json
from collections.abc import Mapping
from typing import Any

import attrs
import urllib3

from dandelionyoke_core import parse_json
from dandelionyoke_wire._bounded import BoundedPool, StreamPool

CONNECT_TIMEOUT_S = 2.0
POOL_SIZE = 32
JSON_TYPE = 'application/json'


@attrs.frozen
class JsonResponse:
    """Status and decoded JSON body; an empty body is decoded as {}."""

    status: int
    body: Mapping[str, Any]
    headers: Mapping[str, str] = attrs.field(factory=dict)


class TransportError(Exception):
    """No complete response; `sent` is False if no byte of the call was sent.

    `timed_out` is True if the other side was silent.
    """

    def __init__(
        self, cause: str, *, sent: bool, timed_out: bool = False
    ) -> None:
        super().__init__(cause)
        self.cause = cause
        self.sent = sent
        self.timed_out = timed_out


def new_pool() -> urllib3.PoolManager:
    """Create a pool that never retries.

    An automatic retry by the library could run a call twice; the core
    decides which calls may be retried. An answer names no call, so that one
    that runs work has a pool, and so a connection, of its own: on a kept one
    a late refusal of another call would be taken for its own.
    """
    return _new_manager(BoundedPool)


def new_stream_pool() -> urllib3.PoolManager:
    """Create a pool for streams, which last longer than other answers."""
    return _new_manager(StreamPool)


def _new_manager(
    pool_class: type[urllib3.HTTPConnectionPool],
) -> urllib3.PoolManager:
    manager = urllib3.PoolManager(
        num_pools=POOL_SIZE, maxsize=POOL_SIZE, retries=False
    )
    manager.pool_classes_by_scheme = {
        **manager.pool_classes_by_scheme,
        'http': pool_class,
    }
    return manager


def request_timeout(read_s: float) -> urllib3.Timeout:
    """Return the limits on connecting and on the answer.

    That is one on each wait for data in a stream, else on the whole answer.
    """
    return urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=read_s)


def may_have_been_sent(error: Exception) -> bool:
    """Return whether any byte of a failed call may have been sent."""
    return not isinstance(
        error,
        urllib3.exceptions.NewConnectionError
        | urllib3.exceptions.ConnectTimeoutError
        | urllib3.exceptions.NameResolutionError
        | urllib3.exceptions.LocationValueError,
    )


def has_timed_out(error: Exception) -> bool:
    """Return whether a call failed only because its time ran out."""
    # The library derives a refused connection from its time-outs.
    return isinstance(
        error, urllib3.exceptions.TimeoutError
    ) and not isinstance(error, urllib3.exceptions.NewConnectionError)


def call_json(
    pool: urllib3.PoolManager,
    method: str,
    url: str,
    body: Mapping[str, Any] | None = None,
    *,
    read_timeout_s: float,
) -> JsonResponse:
    """Make one call and decode the response.

    Raises:
        TransportError: no complete JSON response arrived.
    """
    response = call_raw(pool, method, url, body, read_timeout_s=read_timeout_s)
    return JsonResponse(
        response.status, decode_json(response.data), response.headers
    )


def call_raw(
    pool: urllib3.PoolManager,
    method: str,
    url: str,
    body: Mapping[str, Any] | None = None,
    *,
    read_timeout_s: float,
) -> urllib3.BaseHTTPResponse:
    """Make one call and read the whole response.

    Raises:
        TransportError: no complete response arrived.
    """
    try:
        return pool.request(
            method,
            url,
            body=None if body is None else json.dumps(dict(body)).encode(),
            headers={'Content-Type': JSON_TYPE},
            timeout=request_timeout(read_timeout_s),
            redirect=False,
            # What is unpacked may be far larger than what was received.
            decode_content=False,
        )
    except (urllib3.exceptions.HTTPError, OSError) as error:
        raise TransportError(
            str(error),
            sent=may_have_been_sent(error),
            timed_out=has_timed_out(error),
        ) from error


def decode_json(raw: bytes) -> Mapping[str, Any]:
    """Decode a JSON object.

    Raises:
        TransportError: the bytes are not a JSON object.
    """
    if not raw:
        return {}
    try:
        decoded = parse_json(raw)
    except ValueError as error:
        raise TransportError('the answer is not JSON', sent=True) from error
    if not isinstance(decoded, dict):
        raise TransportError('the answer is no JSON object', sent=True)
    return decoded
