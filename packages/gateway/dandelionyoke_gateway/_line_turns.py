"""Calls that wait in line, and how each hears of its turn."""

import enum

import eventlet
from eventlet.event import Event as GreenEvent

from dandelionyoke_gateway._clock import clock_s


@enum.unique
class Turn(enum.Enum):
    """How a wait in line ended."""

    GO = 'go'
    OVER = 'over'


class LineTurns:
    """Wakes the calls that wait for an engine."""

    def __init__(self) -> None:
        self._waiters: dict[str, GreenEvent] = {}

    def wait(self, turn_id: str, until_s: float) -> Turn:
        """Wait for a place, until a moment."""
        waiter = GreenEvent()
        self._waiters[turn_id] = waiter
        timer = eventlet.spawn_after(
            max(0, until_s - clock_s()), _end, waiter, Turn.OVER
        )
        try:
            turn: Turn = waiter.wait()
        finally:
            timer.cancel()
            self._waiters.pop(turn_id, None)
        return turn

    def give(self, turn_id: str) -> None:
        """Tell a call that it has a place now."""
        waiter = self._waiters.get(turn_id)
        if waiter is not None:
            _end(waiter, Turn.GO)


def _end(waiter: GreenEvent, turn: Turn) -> None:
    """End a wait, unless it ended otherwise at the same moment."""
    if not waiter.ready():
        waiter.send(turn)
