"""Tests of engines that send lines or refusals that are invalid."""

import socket
import threading

import testtools

from dandelionyoke_core import (
    AttemptAccepted,
    AttemptFailed,
    AttemptId,
    Event,
    ModelName,
    PollLoad,
    RequestId,
    StartAttempt,
    TargetId,
    TargetUnreachable,
)
from dandelionyoke_wire._engine import EngineClient
from dandelionyoke_wire._pools import TargetPools

WAIT_S = 5.0
INVALID_CONTENTS = (
    b'[1]',
    b'5',
    b'"tokens"',
    b'null',
    b'{',
    b'\xff',
    b'{"tokens": 5, "offset": 0}',
    b'{"tokens": ["a"], "offset": Infinity}',
    b'{"tokens": ["a"], "offset": [0]}',
    b'{"end": "stop"}',
)


def answer(listener: socket.socket, status: bytes, body: bytes) -> None:
    """Answer one call."""
    sock, _ = listener.accept()
    with sock:
        sock.settimeout(WAIT_S)
        sock.recv(65536)
        sock.sendall(
            b'HTTP/1.1 %b\r\nConnection: close\r\n\r\n%b' % (status, body)
        )


class EngineClientTest(testtools.TestCase):
    """Guards against attempts that end without an event.

    The caller of such an attempt would wait until its stream counts as
    stalled.
    """

    def start_attempt(self, status: bytes, body: bytes) -> list[Event]:
        listener = socket.create_server(('127.0.0.1', 0))
        self.addCleanup(listener.close)
        listener.settimeout(WAIT_S)
        server = threading.Thread(target=answer, args=(listener, status, body))
        server.start()
        self.addCleanup(server.join)
        host, port = listener.getsockname()
        events: list[Event] = []
        EngineClient(TargetPools(), events.append).start_attempt(
            StartAttempt(
                RequestId('r'),
                AttemptId('a'),
                TargetId('t'),
                f'http://{host}:{port}',
                ModelName('m'),
                'prompt',
                (),
                8,
                1,
            )
        )
        return events

    def test_an_invalid_line_fails_the_attempt(self) -> None:
        for content in INVALID_CONTENTS:
            events = self.start_attempt(b'200 OK', content + b'\n')
            self.assertEqual(
                [AttemptAccepted, AttemptFailed], list(map(type, events))
            )

    def test_a_refusal_that_is_no_object_fails_the_attempt(self) -> None:
        for content in INVALID_CONTENTS:
            events = self.start_attempt(b'503 Busy', content)
            self.assertEqual([AttemptFailed], list(map(type, events)))


class LoadPollTest(testtools.TestCase):
    """Guards against an engine that stands still and counts as gone."""

    def poll(self, listener: socket.socket) -> TargetUnreachable:
        host, port = listener.getsockname()
        events: list[Event] = []
        EngineClient(TargetPools(), events.append).poll_load(
            PollLoad(TargetId('t'), f'http://{host}:{port}')
        )
        (event,) = events
        assert isinstance(event, TargetUnreachable)
        return event

    def test_an_engine_that_does_not_answer_is_silent(self) -> None:
        with socket.create_server(('127.0.0.1', 0)) as listener:
            self.assertTrue(self.poll(listener).is_silent)

    def test_an_engine_that_refuses_connections_is_not_silent(self) -> None:
        # Bound but not listening, so that no other process takes the port.
        with socket.socket() as unused:
            unused.bind(('127.0.0.1', 0))
            self.assertFalse(self.poll(unused).is_silent)
