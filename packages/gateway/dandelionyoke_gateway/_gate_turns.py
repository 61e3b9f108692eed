"""Calls that wait at the gate, and how each hears of its turn."""

import enum

import attrs
import eventlet
from eventlet.event import Event as GreenEvent

from dandelionyoke_gateway._clock import clock_s


@enum.unique
class Turn(enum.Enum):
    """How a wait at the gate ended."""

    GO = 'go'
    TOO_LATE = 'too late'
    TARGET_LEFT = 'target left'


@attrs.frozen
class _Waiter:
    target_id: str
    event: GreenEvent


class GateTurns:
    """Wakes the calls that wait for an engine."""

    def __init__(self) -> None:
        self._waiters: dict[str, _Waiter] = {}

    def wait(self, call_id: str, target_id: str, until_s: float) -> Turn:
        """Wait for a place, for so long as it is of use."""
        waiter = _Waiter(target_id, GreenEvent())
        self._waiters[call_id] = waiter
        timer = eventlet.spawn_after(
            max(0, until_s - clock_s()), _end, waiter, Turn.TOO_LATE
        )
        try:
            turn: Turn = waiter.event.wait()
        finally:
            timer.cancel()
            self._waiters.pop(call_id, None)
        return turn

    def give(self, call_id: str) -> None:
        """Tell a call that it has a place now."""
        waiter = self._waiters.get(call_id)
        if waiter is not None:
            _end(waiter, Turn.GO)

    def send_away(self, target_ids: frozenset[str]) -> None:
        """Tell the calls that wait for targets which have left.

        Left in line, they would be sent to a target seconds after it said
        that it takes no more work, and be cut when it goes.
        """
        for waiter in tuple(self._waiters.values()):
            if waiter.target_id in target_ids:
                _end(waiter, Turn.TARGET_LEFT)


def _end(waiter: _Waiter, turn: Turn) -> None:
    """End a wait, unless it ended otherwise at the same moment."""
    if not waiter.event.ready():
        waiter.event.send(turn)
