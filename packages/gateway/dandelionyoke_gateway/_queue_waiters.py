"""Calls that wait in line, and how each hears of its turn."""

import enum

import eventlet
from eventlet.event import Event as GreenEvent

from dandelionyoke_gateway._clock import clock_s


@enum.unique
class WaitResult(enum.Enum):
    """How a wait in line ended."""

    ADMITTED = 'go'
    TIMED_OUT = 'over'


class QueueWaiters:
    """Wakes the calls that wait for an engine."""

    def __init__(self) -> None:
        self._waiters: dict[str, GreenEvent] = {}

    def wait(self, turn_id: str, deadline_s: float) -> WaitResult:
        """Wait for a place, until a moment."""
        waiter = GreenEvent()
        self._waiters[turn_id] = waiter
        timer = eventlet.spawn_after(
            max(0, deadline_s - clock_s()),
            _finish,
            waiter,
            WaitResult.TIMED_OUT,
        )
        try:
            result: WaitResult = waiter.wait()
        finally:
            timer.cancel()
            self._waiters.pop(turn_id, None)
        return result

    def admit(self, turn_id: str) -> None:
        """Tell a call that it has a place now."""
        waiter = self._waiters.get(turn_id)
        if waiter is not None:
            _finish(waiter, WaitResult.ADMITTED)


def _finish(waiter: GreenEvent, result: WaitResult) -> None:
    """End a wait, unless it ended otherwise at the same moment."""
    if not waiter.ready():
        waiter.send(result)
