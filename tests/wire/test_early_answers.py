"""Answers without a length that are reset, within the upload or after it."""

import socket
import time

import eventlet
import testtools

from dandelionyoke_core import AttemptFailed, ServiceAnswered
from dandelionyoke_links import reset_on_close
from dandelionyoke_wire._bounded import BoundedResponse
from tests.wire.broken_engine import (
    BrokenEngine,
    PlainEvent,
    call_service,
    close_in_order,
    reset,
)

# More than send buffers hold.
UPLOAD = b'x' * (16 << 20)
CALLS = 10
RESET_DELAY_S = 0.05
UNFRAMED = b'HTTP/1.1 200 OK\r\n\r\npart'
FRAMED = b'HTTP/1.1 413 Large\r\nContent-Length: 2\r\n\r\nno'


class EarlyAnswerTest(testtools.TestCase):
    """Guards against a part of an answer that is taken for the whole."""

    def engine(self, *args: object) -> BrokenEngine:
        engine = BrokenEngine(*args)
        self.addCleanup(engine.close)
        return engine

    def uploads(self, engine: BrokenEngine) -> list[PlainEvent]:
        return [call_service(engine.address, UPLOAD) for _ in range(CALLS)]

    def test_an_unframed_answer_that_is_reset_within_the_upload(self) -> None:
        """The kernel reports the reset to the write, and only once."""
        events = self.uploads(self.engine(UNFRAMED, reset))
        self.assertEqual([AttemptFailed] * CALLS, list(map(type, events)))
        self.assertTrue(all(event.sent for event in events))

    def test_an_unframed_answer_whose_upload_goes_on(self) -> None:
        """Such an answer is whole."""
        events = self.uploads(self.engine(UNFRAMED, close_in_order))
        self.assertEqual([ServiceAnswered] * CALLS, list(map(type, events)))
        self.assertEqual({b'part'}, {event.body for event in events})

    def test_a_framed_answer_that_is_reset_after_it(self) -> None:
        """Such an answer is whole although its upload fails."""

        def reset_later(sock: socket.socket) -> None:
            time.sleep(RESET_DELAY_S)
            reset(sock)

        events = self.uploads(self.engine(FRAMED, reset_later))
        self.assertEqual([ServiceAnswered] * CALLS, list(map(type, events)))
        self.assertEqual({b'no'}, {event.body for event in events})

    def test_an_unframed_answer_that_is_reset_to_a_green_socket(self) -> None:
        """The socket's own read returns an orderly end for a reset.

        The programs patch the library, so that all its sockets are green.
        """
        listener = eventlet.listen(('127.0.0.1', 0))
        self.addCleanup(listener.close)
        sock = eventlet.connect(listener.getsockname())
        self.addCleanup(sock.close)
        engine_sock, _ = listener.accept()
        engine_sock.sendall(UNFRAMED)
        response = BoundedResponse(sock, method='GET')
        response.begin()
        reset_on_close(engine_sock)
        engine_sock.close()
        with testtools.ExpectedException(ConnectionResetError):
            response.read()
