"""Connections of callers whose process stands still at their time limits."""

import time
from collections.abc import Callable
from unittest import mock

import eventlet
import testtools
from eventlet.green import socket

from dandelionyoke_dispatch import CallerLimits
from dandelionyoke_gateway import ResponseHead, _caller_connection
from dandelionyoke_gateway._caller_connection import (
    CallerConnection,
    CallerRequest,
    Responder,
)

REQUEST = b'POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody'
IN_HEAD, IN_BODY = 25, len(REQUEST) - 2
LIMIT_S = 0.4
STANDSTILL_S = 0.8
STEP_S = 0.05
READ_BYTES = 65536
# More than the buffers of both ends hold.
LARGE_BODY = b'x' * 16_000_000
SHORT_LIMITS = CallerLimits(header_timeout_s=LIMIT_S, idle_timeout_s=LIMIT_S)


class LateCallerTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        listener = eventlet.listen(('127.0.0.1', 0))
        self.addCleanup(listener.close)
        self.caller = socket.create_connection(listener.getsockname())
        self.addCleanup(self.caller.close)
        sock, _ = listener.accept()
        self.limits = SHORT_LIMITS
        self.body = b'ok'
        connection = CallerConnection(
            sock, lambda: self.limits, self.handle, lambda: True
        )
        eventlet.spawn(connection.serve)
        eventlet.sleep(STEP_S)

    def handle(self, request: CallerRequest, responder: Responder) -> None:
        responder.respond(ResponseHead(200, ()), self.body)

    def read_status(self) -> bytes:
        """Read the status of an answer; empty if there is none."""
        return self.caller.recv(READ_BYTES)[9:12]

    def stand_still_after(self, step: Callable[[], object]) -> None:
        """Do a step, and stand still until the time for it is over.

        Other input causes the standstill.
        """
        near, far = socket.socketpair()

        def compute() -> None:
            near.recv(1)
            step()
            time.sleep(STANDSTILL_S)

        computing = eventlet.spawn(compute)
        eventlet.sleep(0)
        with near, far:
            far.sendall(b'x')
            computing.wait()

    def send_in_standstill(self, content: bytes) -> None:
        """Send bytes while the process stands still."""
        self.stand_still_after(lambda: self.caller.sendall(content))

    def test_a_request_is_answered(self) -> None:
        """Guards against an idle connection that is closed on a request."""
        self.send_in_standstill(REQUEST)
        self.assertEqual(b'200', self.read_status())

    def test_a_request_that_comes_at_the_limit_is_answered(self) -> None:
        """Guards against an idle connection that is closed on a request."""

        def send() -> None:
            eventlet.sleep(LIMIT_S / 2)
            self.caller.sendall(REQUEST)

        eventlet.spawn(send)
        eventlet.sleep(0)
        time.sleep(STANDSTILL_S)
        self.assertEqual(b'200', self.read_status())

    def test_the_rest_of_a_head_is_taken(self) -> None:
        """Guards against 408 for a request that has arrived."""
        self.caller.sendall(REQUEST[:IN_HEAD])
        eventlet.sleep(STEP_S)
        self.send_in_standstill(REQUEST[IN_HEAD:])
        self.assertEqual(b'200', self.read_status())

    def test_the_rest_of_a_body_is_taken(self) -> None:
        """Guards against 408 for a request that has arrived."""
        self.caller.sendall(REQUEST[:IN_BODY])
        eventlet.sleep(STEP_S)
        self.send_in_standstill(REQUEST[IN_BODY:])
        self.assertEqual(b'200', self.read_status())

    def test_a_caller_that_reads_gets_its_whole_answer(self) -> None:
        """Guards against a caller taken for dead by a node that was not."""
        self.body = LARGE_BODY
        with mock.patch.object(_caller_connection, 'WRITE_TIMEOUT_S', LIMIT_S):
            self.caller.sendall(REQUEST)
            eventlet.sleep(STEP_S)
            content = b''

            def read() -> None:
                nonlocal content
                content += self.caller.fd.recv(len(LARGE_BODY))

            self.stand_still_after(read)
            while data := self.caller.recv(READ_BYTES):
                content += data
        self.assertTrue(content.endswith(b'\r\n\r\n' + LARGE_BODY))

    def test_a_caller_that_sends_nothing_is_left(self) -> None:
        """Guards against idle connections that are never closed."""
        self.send_in_standstill(b'')
        self.assertEqual(b'', self.read_status())

    def test_a_caller_that_sends_no_more_is_told(self) -> None:
        """Guards against requests that are waited for for ever."""
        self.send_in_standstill(REQUEST[:IN_HEAD])
        self.assertEqual(b'408', self.read_status())

    def test_an_idle_limit_that_was_raised_holds(self) -> None:
        """Guards against a close that callers do not expect any more."""
        self.limits = CallerLimits()
        eventlet.sleep(LIMIT_S * 2)
        self.caller.sendall(REQUEST)
        self.assertEqual(b'200', self.read_status())
