"""Tests of connections of callers that disconnect at a bad moment."""

import testtools
from eventlet import listen, spawn
from eventlet.green import socket

from dandelionyoke_dispatch import CallerLimits
from dandelionyoke_gateway._caller_connection import (
    CallerConnection,
    CallerRequest,
    Responder,
)
from dandelionyoke_links import reset_on_close

EXPECTING_HEAD = (
    b'POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n'
    b'Expect: 100-continue\r\n\r\n'
)


def never_handles(request: CallerRequest, responder: Responder) -> None:
    raise AssertionError(f'a request came through: {request.head}')


class DisconnectedCallerTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        listener = listen(('127.0.0.1', 0))
        self.addCleanup(listener.close)
        self.caller = socket.create_connection(listener.getsockname())
        self.addCleanup(self.caller.close)
        reset_on_close(self.caller)
        self.sock, _ = listener.accept()
        self.addCleanup(self.sock.close)
        self.connection = CallerConnection(
            self.sock, CallerLimits(), never_handles, lambda: False
        )

    def test_a_reset_idle_connection_is_closed_without_an_error(self) -> None:
        """Guards against a drain that ends before the counts are saved."""
        self.caller.close()
        self.connection.close_if_idle()

    def test_a_reset_before_the_continue_ends_the_connection(self) -> None:
        """Guards against an error that ends the task of a connection."""
        self.caller.sendall(EXPECTING_HEAD)
        server = spawn(self.connection.serve)
        self.caller.close()
        self.assertIsNone(server.wait())
