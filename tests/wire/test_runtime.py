"""The event loop of a node whose process stands still."""

import time
from collections.abc import Callable

import eventlet
import testtools
from eventlet.green import socket

from dandelionyoke_core import (
    Action,
    AttemptAccepted,
    AttemptId,
    Event,
    ProcessStalled,
    RequestId,
    TimerFired,
)
from dandelionyoke_links import clock_s, receive
from dandelionyoke_wire import EventQueue, NodeEventLoop

WAIT_S = 0.4
STANDSTILL_S = 0.8
STREAMS = 5
EVENT_INTERVAL_S = 0.005
HANDLING_TIME_S = 0.006


class TimedNode:
    """A node with one wake-up, which keeps the events that it handles."""

    def __init__(self, wakeup_s: float) -> None:
        self.handled: list[Event] = []
        self.handling_time_s = 0.0
        self._wakeup_s: float | None = wakeup_s

    def next_wakeup_s(self) -> float | None:
        return self._wakeup_s

    def handle(self, event: Event, now_s: float) -> list[Action]:
        time.sleep(self.handling_time_s)
        self.handled.append(event)
        if isinstance(event, TimerFired):
            self._wakeup_s = None
        return []


class NodeEventLoopTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.event_queue = EventQueue()
        self.node = TimedNode(clock_s() + WAIT_S)

    def spawn(self, function: Callable[..., None], *arguments: object) -> None:
        """Run a function in a green thread until the test ends."""
        self.addCleanup(eventlet.spawn(function, *arguments).kill)

    def run_node(self) -> None:
        """Run the event loop in a green thread."""
        event_loop = NodeEventLoop(self.node, self.event_queue, lambda _: None)
        self.spawn(event_loop.run)

    def read_stream(self, number: int, sock: socket.socket) -> None:
        """Emit an event for each time that something is received."""
        while receive(sock, 9, 5.0):
            self.event_queue.put(
                AttemptAccepted(RequestId('r'), AttemptId(f'r.{number}'))
            )

    def start_streams(self) -> list[socket.socket]:
        """Start threads that read streams; return the engines' ends."""
        engines = []
        for number in range(STREAMS):
            near, far = socket.socketpair()
            self.addCleanup(near.close)
            self.addCleanup(far.close)
            near.settimeout(0)
            self.spawn(self.read_stream, number, near)
            engines.append(far)
        eventlet.sleep(0.01)
        return engines

    def test_events_that_arrived_in_a_standstill_precede_the_timers(
        self,
    ) -> None:
        """Guards against engines taken for silent by a node that was."""
        engines = self.start_streams()
        self.run_node()
        eventlet.sleep(0.01)
        for engine in engines:
            engine.sendall(b'tokens')
        time.sleep(STANDSTILL_S)
        eventlet.sleep(0.05)
        (stalled, *events) = self.node.handled
        assert isinstance(stalled, ProcessStalled)
        self.assertAlmostEqual(STANDSTILL_S, stalled.stalled_s, delta=0.2)
        kinds = [type(event) for event in events]
        self.assertEqual([AttemptAccepted] * STREAMS + [TimerFired], kinds)

    def test_timers_fire_while_events_keep_arriving(self) -> None:
        """Guards against a busy node that decides nothing any more."""

        def emit() -> None:
            while True:
                self.event_queue.put(
                    AttemptAccepted(RequestId('r'), AttemptId('r.1'))
                )
                eventlet.sleep(EVENT_INTERVAL_S)

        self.node.handling_time_s = HANDLING_TIME_S
        self.spawn(emit)
        self.run_node()
        eventlet.sleep(2 * WAIT_S)
        kinds = [type(event) for event in self.node.handled]
        self.assertIn(TimerFired, kinds)
