"""Tests of connections of callers that disconnect at a bad moment."""

from unittest import mock

import testtools
from eventlet import listen, sleep, spawn
from eventlet.green import socket

from dandelionyoke_dispatch import CallerLimits
from dandelionyoke_gateway._caller_connection import (
    CallerConnection,
    CallerRequest,
    Responder,
    prepare_caller_socket,
)
from dandelionyoke_gateway._clock import clock_s
from dandelionyoke_gateway._messages import ResponseHead
from dandelionyoke_links import reset_on_close

EXPECTING_HEAD = (
    b'POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n'
    b'Expect: 100-continue\r\n\r\n'
)


def never_handles(request: CallerRequest, responder: Responder) -> None:
    raise AssertionError(f'a request came through: {request.head}')


REQUEST = b'GET /a HTTP/1.1\r\nHost: h\r\n\r\n'
# More than the buffers of both ends hold.
LARGE_BODY = b'x' * 8_000_000
READ_BYTES = 65536


class SlowReaderTest(testtools.TestCase):
    def test_a_caller_that_pauses_gets_the_whole_response(self) -> None:
        """Guards against an answer that a pause of a second cuts off."""
        listener = listen(('127.0.0.1', 0))
        self.addCleanup(listener.close)
        caller = socket.create_connection(listener.getsockname())
        self.addCleanup(caller.close)
        sock, _ = listener.accept()
        prepare_caller_socket(sock)
        connection = CallerConnection(
            sock,
            CallerLimits,
            lambda request, responder: responder.respond(
                ResponseHead(200, ()), LARGE_BODY
            ),
            lambda: True,
        )
        spawn(connection.serve)
        caller.sendall(REQUEST)
        content = caller.recv(READ_BYTES)
        sleep(2.5)
        while data := caller.recv(READ_BYTES):
            content += data
        self.assertTrue(content.endswith(b'\r\n\r\n' + LARGE_BODY))


class ChangedLimitsTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        listener = listen(('127.0.0.1', 0))
        self.addCleanup(listener.close)
        self.caller = socket.create_connection(listener.getsockname())
        self.addCleanup(self.caller.close)
        sock, _ = listener.accept()
        self.limits = CallerLimits(max_header_bytes=512, max_body_bytes=3)
        connection = CallerConnection(
            sock, lambda: self.limits, self.handle, lambda: False
        )
        spawn(connection.serve)

    def handle(self, request: CallerRequest, responder: Responder) -> None:
        responder.respond(ResponseHead(200, ()), b'ok')

    def exchange(self, header_bytes: int = 0, body: bytes = b'abc') -> bytes:
        self.caller.sendall(
            b'POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n'
            b'X-Note: %s\r\n\r\n' % (len(body), b'x' * header_bytes) + body
        )
        return self.caller.recv(READ_BYTES).split()[1]

    def test_raised_limits_apply_to_open_connections(self) -> None:
        """Guards against a 413 or 431 that the configuration rules out."""
        self.assertEqual(b'200', self.exchange())
        self.limits = CallerLimits()
        self.assertEqual(b'200', self.exchange(body=b'abcd'))
        self.assertEqual(b'200', self.exchange(header_bytes=2000))

    def test_lowered_limits_apply_to_open_connections(self) -> None:
        """Guards against requests over a limit that is in force."""
        self.assertEqual(b'200', self.exchange())
        self.limits = CallerLimits(max_body_bytes=2)
        self.assertEqual(b'413', self.exchange())


class ClosedIdleConnectionTest(testtools.TestCase):
    """A request that arrives as the process closes an idle connection."""

    def setUp(self) -> None:
        super().setUp()
        listener = listen(('127.0.0.1', 0))
        self.addCleanup(listener.close)
        self.caller = socket.create_connection(listener.getsockname())
        self.addCleanup(self.caller.close)
        self.sock, _ = listener.accept()
        self.handled: list[str] = []
        self.connection = CallerConnection(
            self.sock, CallerLimits, self.handle, lambda: True
        )
        self.server = spawn(self.connection.serve)
        sleep(0.05)

    def handle(self, request: CallerRequest, responder: Responder) -> None:
        self.handled.append(request.head.target)
        sleep(0.05)
        responder.respond(ResponseHead(200, ()), b'ok')

    def read_all(self) -> bytes:
        content = b''
        while data := self.caller.recv(READ_BYTES):
            content += data
        return content

    def test_a_request_that_has_arrived_is_answered(self) -> None:
        """Guards against a request that is read and not even refused."""
        self.caller.sendall(REQUEST)
        self.connection.close_if_idle()
        self.assertTrue(self.read_all().endswith(b'ok'))
        self.assertEqual(['/a'], self.handled)

    def test_a_caller_that_has_just_connected_is_answered(self) -> None:
        """Guards against a close on which a first request is on its way."""
        self.connection.close_if_idle(min_idle_s=0.2)
        self.caller.sendall(REQUEST)
        self.assertTrue(self.read_all().endswith(b'ok'))

    def test_a_request_that_crosses_the_close_does_not_run(self) -> None:
        """Guards against a call that runs and gets no answer."""
        shut_down = self.sock.shutdown

        def crossed(how: int) -> None:
            self.caller.sendall(REQUEST)
            shut_down(how)

        with mock.patch.object(self.sock, 'shutdown', crossed):
            self.connection.close_if_idle()
        self.server.wait()
        self.assertEqual([], self.handled)


class PipeliningCallerTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        listener = listen(('127.0.0.1', 0))
        self.addCleanup(listener.close)
        self.caller = socket.create_connection(listener.getsockname())
        self.addCleanup(self.caller.close)
        sock, _ = listener.accept()
        self.ended_s: list[float] = []
        self.answered: list[str] = []
        connection = CallerConnection(
            sock, CallerLimits, self.handle, lambda: False
        )
        self.server = spawn(connection.serve)
        for target in (b'/a', b'/b'):
            self.caller.sendall(REQUEST.replace(b'/a', target))
            sleep(0.05)

    def handle(self, request: CallerRequest, responder: Responder) -> None:
        try:
            sleep(0.6)
        finally:
            self.ended_s.append(clock_s())
        self.answered.append(request.head.target)
        responder.respond(ResponseHead(200, ()), b'ok')

    def check_that_closing_ends_the_call(self) -> None:
        left_s = clock_s()
        self.caller.close()
        self.server.wait()
        self.assertEqual([], self.answered)
        self.assertLess(self.ended_s[0] - left_s, 0.3)

    def test_a_caller_that_closes_ends_its_call(self) -> None:
        """Guards against targets that work for a caller that has left."""
        self.check_that_closing_ends_the_call()

    def test_a_caller_that_resets_ends_its_call(self) -> None:
        """Guards against targets that work for a caller that has left."""
        reset_on_close(self.caller)
        self.check_that_closing_ends_the_call()

    def test_both_requests_are_answered(self) -> None:
        """Guards against a request that counts as its caller's leaving."""
        content = b''
        while content.count(b'ok') < 2:
            content += self.caller.recv(READ_BYTES)
        self.assertEqual(['/a', '/b'], self.answered)


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
            self.sock, CallerLimits, never_handles, lambda: False
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
