"""Calls that may only be sent while the sender holds its lease.

A lease holder may decide to send, be paused, and send after its lease has
expired. Two processes then send orders, and a target receives both. A check
before the call is not enough, because connecting takes time. The connection
itself therefore checks right before each write.
"""

import json
from collections.abc import Callable, Mapping
from http.client import HTTPException
from typing import Any

import urllib3

from dandelionyoke_links import reset_on_close, set_socket_options
from dandelionyoke_wire._bounded import BoundedConnection
from dandelionyoke_wire._transport import (
    CONNECT_TIMEOUT_S,
    JSON_TYPE,
    JsonResponse,
    TransportError,
    decode_json,
    may_have_been_sent,
)

MaySend = Callable[[], bool]

HTTP_PORT = 80

_CONNECTION_ERRORS = (urllib3.exceptions.HTTPError, HTTPException, OSError)


class LeaseExpiredError(OSError):
    """The lease expired before the whole call was sent."""


class GuardedConnection(BoundedConnection):
    """Connection that checks `may_send` before each write."""

    def __init__(self, host: str, port: int, may_send: MaySend) -> None:
        super().__init__(host, port, timeout=CONNECT_TIMEOUT_S)
        self.may_send = may_send
        self.has_sent_bytes = False

    def connect(self) -> None:
        """Connect; the kernel soon discards all data not yet delivered.

        It does so when the connection is closed, and also without a close if
        the peer does not acknowledge the data.
        """
        super().connect()
        if self.sock is not None:
            set_socket_options(self.sock)
            reset_on_close(self.sock)

    def send(self, data: Any) -> None:
        """Send data if `may_send` allows it.

        Raises:
            LeaseExpiredError: `may_send` returned False.
        """
        if not self.may_send():
            raise LeaseExpiredError('the lease has expired')
        self.has_sent_bytes = True
        super().send(data)


def call_guarded(
    method: str,
    url: str,
    body: Mapping[str, Any],
    may_send: MaySend,
    read_timeout_s: float,
) -> JsonResponse:
    """Make one call on a new connection while `may_send` returns True.

    Raises:
        TransportError: no complete response arrived, or the lease expired.
    """
    try:
        parts = urllib3.util.parse_url(url)
    except urllib3.exceptions.LocationValueError as malformed:
        raise TransportError(str(malformed), sent=False) from malformed
    if not parts.host:
        raise TransportError(f'{url!r} names no host', sent=False)
    connection = GuardedConnection(
        parts.host, parts.port or HTTP_PORT, may_send
    )
    try:
        response = _send_request(
            connection, method, parts.request_uri, body, read_timeout_s
        )
    except _CONNECTION_ERRORS as error:
        sent = connection.has_sent_bytes and may_have_been_sent(error)
        raise TransportError(str(error), sent=sent) from error
    finally:
        connection.close()
    return response


def _send_request(
    connection: GuardedConnection,
    method: str,
    path: str,
    body: Mapping[str, Any],
    read_timeout_s: float,
) -> JsonResponse:
    # Connect first: the lease may expire while connecting, and `send` then
    # detects this before any byte of the call is sent.
    connection.connect()
    connection.timeout = read_timeout_s
    if connection.sock is not None:
        connection.sock.settimeout(read_timeout_s)
    connection.request(
        method,
        path,
        body=json.dumps(dict(body)).encode(),
        headers={'Content-Type': JSON_TYPE},
        decode_content=False,
    )
    response = connection.getresponse()
    return JsonResponse(response.status, decode_json(response.data))
