"""Tests of answers to sound callers that are silent for a while."""

import contextlib
import enum
import itertools
from collections.abc import Callable

import attrs
import eventlet
import testtools
from eventlet.green import socket
from eventlet.greenthread import GreenThread

from dandelionyoke_dispatch import CallerLimits
from dandelionyoke_gateway import ResponseHead
from dandelionyoke_gateway._caller_connection import (
    CallerConnection,
    CallerRequest,
    Handler,
    Responder,
)
from tests.links import partition

REQUEST = b'GET /a HTTP/1.1\r\nHost: h\r\n\r\n'
STEP_S = 0.2
WAIT_S = 10.0
SILENCES_S = (1.0, 1.5, 2.5)
EVENTS = (b'first', b'second', b'third')
# More than the buffers of both ends hold.
END = b'the end'
LARGE_BODY = b'x' * (32 << 20) + END


@enum.unique
class Lost(enum.Enum):
    """Whose packets are lost."""

    OURS = 'ours'
    THEIRS = 'theirs'
    BOTH = 'both'


@attrs.frozen
class Silence:
    """A silence that begins once the caller has read some text."""

    after: bytes
    lost: Lost
    duration_s: float

    def __str__(self) -> str:
        return f'after {self.after!r}, {self.lost.value}, {self.duration_s} s'


def streams_events(request: CallerRequest, responder: Responder) -> None:
    """Answer with a stream."""
    eventlet.sleep(STEP_S)
    responder.start(ResponseHead(200, ()))
    for event in EVENTS:
        eventlet.sleep(STEP_S)
        responder.send_chunk(event)
    responder.finish()


def answers_at_length(request: CallerRequest, responder: Responder) -> None:
    """Answer with a body that is larger than all buffers."""
    responder.respond(ResponseHead(200, ()), LARGE_BODY)


def is_whole(content: bytes) -> bool:
    """Whether all events and the end of a stream were read."""
    return content.endswith(b'0\r\n\r\n') and all(
        event in content for event in EVENTS
    )


class CallerOfNode:
    """A caller's connection, and the node's end of it."""

    def __init__(self, handler: Handler) -> None:
        self._listener = eventlet.listen(('127.0.0.1', 0))
        self.sock = eventlet.connect(self._listener.getsockname())
        self.sock.settimeout(WAIT_S)
        self.node_sock, _ = self._listener.accept()
        connection = CallerConnection(
            self.node_sock, CallerLimits, handler, lambda: False
        )
        self._thread = eventlet.spawn(connection.serve)

    def read(
        self, until: Callable[[bytes], bool], content: bytes = b''
    ) -> bytes:
        """Go on reading until the content is enough, or nothing comes."""
        with contextlib.suppress(OSError):
            while not until(content):
                part = self.sock.recv(1 << 20)
                if not part:
                    break
                content += part
        return content

    def cut(self, lost: Lost, duration_s: float) -> None:
        """Drop packets for a while."""
        if lost is not Lost.THEIRS:
            self._cut_end(self.sock, duration_s)
        if lost is not Lost.OURS:
            self._cut_end(self.node_sock, duration_s)

    def close(self) -> None:
        """End the connection."""
        self._thread.kill()
        self.sock.close()
        self._listener.close()

    def _cut_end(self, end: socket.socket, duration_s: float) -> None:
        partition.cut(end)
        eventlet.spawn_after(duration_s, _heal, end)


def _heal(sock: socket.socket) -> None:
    # The connection may have ended before.
    with contextlib.suppress(OSError):
        partition.heal(sock)


def stream_through(silence: Silence) -> bytes:
    """Return what a caller reads of a stream through a silence."""
    caller = CallerOfNode(streams_events)
    try:
        caller.sock.sendall(REQUEST)
        # Until the node has read the request.
        eventlet.sleep(STEP_S / 2)
        content = caller.read(lambda content: silence.after in content)
        caller.cut(silence.lost, silence.duration_s)
        return caller.read(is_whole, content)
    finally:
        caller.close()


class SilentCallerTest(testtools.TestCase):
    def failures_after(self, after: bytes) -> list[str]:
        """Run a stream for each silence; return those that were cut.

        The streams run at the same time.
        """
        streams: dict[str, GreenThread] = {}
        for lost, duration_s in itertools.product(Lost, SILENCES_S):
            silence = Silence(after, lost, duration_s)
            streams[str(silence)] = eventlet.spawn(stream_through, silence)
        contents = {name: run.wait() for name, run in streams.items()}
        return [
            name for name, content in contents.items() if not is_whole(content)
        ]

    def test_a_silence_before_the_answer_begins_loses_nothing(self) -> None:
        """Guards against a call given up as its caller is silent."""
        self.assertEqual([], self.failures_after(b''))

    def test_a_silence_after_the_head_cuts_no_answer(self) -> None:
        """Guards against an answer cut off as its caller is silent."""
        self.assertEqual([], self.failures_after(b'\r\n\r\n'))

    def test_a_silence_between_events_cuts_no_answer(self) -> None:
        """Guards against a stream cut off as its caller is silent."""
        self.assertEqual([], self.failures_after(EVENTS[0]))

    def test_a_caller_that_stops_reading_gets_a_whole_answer(self) -> None:
        """Guards against an answer cut off as its caller's process pauses."""
        caller = CallerOfNode(answers_at_length)
        self.addCleanup(caller.close)
        caller.sock.sendall(REQUEST)
        eventlet.sleep(max(SILENCES_S))
        content = caller.read(lambda content: content.endswith(END))
        self.assertEqual(
            len(LARGE_BODY), len(content.partition(b'\r\n\r\n')[2])
        )
