"""Calls that may only leave while an authority lasts.

A holder decides to send, is paused, and sends after its term is over: two
processes then give orders, and a target sees both. A check before the call
is not enough, since connecting takes time. So the connection itself asks,
right before each piece of the call leaves.
"""

import json
from collections.abc import Callable, Mapping
from typing import Any
from urllib.parse import urlsplit

import urllib3
from urllib3.connection import HTTPConnection

from dandelionyoke_links import reset_at_end
from dandelionyoke_wire._transport import (
    CONNECT_TIMEOUT_S,
    JSON_TYPE,
    Reply,
    TransportError,
    decode_json,
    was_sent,
)

MaySend = Callable[[], bool]

HTTP_PORT = 80

_BROKEN = (urllib3.exceptions.HTTPError, OSError)


class TermOverError(OSError):
    """The authority ended before the call had left."""


class GuardedConnection(HTTPConnection):
    """A connection that asks `may_send` before each piece leaves."""

    def __init__(self, host: str, port: int, may_send: MaySend) -> None:
        super().__init__(host, port, timeout=CONNECT_TIMEOUT_S)
        self.may_send = may_send
        self.bytes_left = False

    def connect(self) -> None:
        """Connect; what has not arrived at the end of the call never will."""
        super().connect()
        if self.sock is not None:
            reset_at_end(self.sock)

    def send(self, data: Any) -> None:
        """Send one piece, or raise TermOverError."""
        if not self.may_send():
            raise TermOverError('the term is over')
        self.bytes_left = True
        super().send(data)


def call_guarded(
    method: str,
    url: str,
    body: Mapping[str, Any],
    may_send: MaySend,
    read_timeout_s: float,
) -> Reply:
    """Make one call on a connection of its own while `may_send` holds.

    Raises:
        TransportError: no whole answer came, or the term was over.
    """
    parts = urlsplit(url)
    connection = GuardedConnection(
        parts.hostname or '',
        parts.port or HTTP_PORT,
        may_send,
    )
    try:
        reply = _exchange(connection, method, parts.path, body, read_timeout_s)
    except _BROKEN as error:
        sent = connection.bytes_left and was_sent(error)
        raise TransportError(str(error), sent=sent) from error
    finally:
        connection.close()
    return reply


def _exchange(
    connection: GuardedConnection,
    method: str,
    path: str,
    body: Mapping[str, Any],
    read_timeout_s: float,
) -> Reply:
    # Connect first: connecting may outlast the term, and the guard then
    # still sees it, since no byte of the call has left.
    connection.connect()
    connection.timeout = read_timeout_s
    if connection.sock is not None:
        connection.sock.settimeout(read_timeout_s)
    connection.request(
        method,
        path,
        body=json.dumps(dict(body)).encode(),
        headers={'Content-Type': JSON_TYPE},
    )
    response = connection.getresponse()
    return Reply(response.status, decode_json(response.data))
