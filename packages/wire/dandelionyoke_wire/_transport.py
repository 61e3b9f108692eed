"""HTTP calls with JSON bodies, and what can be known after a failed one."""

import json
from collections.abc import Mapping
from typing import Any

import attrs
import urllib3

MAX_BODY_BYTES = 4 * 1024 * 1024
CONNECT_TIMEOUT_S = 2.0
POOL_SIZE = 32
JSON_TYPE = 'application/json'


@attrs.frozen
class Reply:
    """A status and a decoded JSON body; an empty body reads as {}."""

    status: int
    body: Mapping[str, Any]


class TransportError(Exception):
    """No whole answer came. `sent` is False if no byte of the call left."""

    def __init__(self, cause: str, *, sent: bool) -> None:
        super().__init__(cause)
        self.cause = cause
        self.sent = sent


def new_pool() -> urllib3.PoolManager:
    """Make a pool that never retries by itself.

    A retry that the library makes on its own could run a call twice; what
    may be sent again is decided in the core.
    """
    return urllib3.PoolManager(
        num_pools=POOL_SIZE, maxsize=POOL_SIZE, retries=False
    )


def timeout(read_s: float) -> urllib3.Timeout:
    """Bound connecting and each silence while reading."""
    return urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=read_s)


def was_sent(error: Exception) -> bool:
    """Tell whether any byte of a failed call may have left."""
    return not isinstance(
        error,
        urllib3.exceptions.NewConnectionError
        | urllib3.exceptions.ConnectTimeoutError
        | urllib3.exceptions.NameResolutionError,
    )


def call_json(
    pool: urllib3.PoolManager,
    method: str,
    url: str,
    body: Mapping[str, Any] | None = None,
    *,
    read_timeout_s: float,
) -> Reply:
    """Make one call and decode its answer.

    Raises:
        TransportError: no whole JSON answer came.
    """
    try:
        response = pool.request(
            method,
            url,
            body=None if body is None else json.dumps(dict(body)).encode(),
            headers={'Content-Type': JSON_TYPE},
            timeout=timeout(read_timeout_s),
            redirect=False,
        )
    except (urllib3.exceptions.HTTPError, OSError) as error:
        raise TransportError(str(error), sent=was_sent(error)) from error
    return Reply(response.status, decode_json(response.data))


def decode_json(raw: bytes) -> Mapping[str, Any]:
    """Decode a JSON object.

    Raises:
        TransportError: the bytes are no JSON object.
    """
    if not raw:
        return {}
    try:
        decoded = json.loads(raw)
    except ValueError as bad:
        raise TransportError('the answer is not JSON', sent=True) from bad
    if not isinstance(decoded, dict):
        raise TransportError('the answer is no JSON object', sent=True)
    return decoded
