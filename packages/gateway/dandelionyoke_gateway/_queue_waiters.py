"""Green threads that wait in a queue, and their wake-up."""

import enum

import eventlet
from eventlet.event import Event as GreenEvent

from dandelionyoke_gateway._clock import clock_s


@enum.unique
class WaitResult(enum.Enum):
    """How a wait in a queue ended."""

    ADMITTED = 'go'
    TIMED_OUT = 'over'


class QueueWaiters:
    """Wakes queued calls when they are admitted or time out."""

    def __init__(self) -> None:
        self._waiters: dict[str, GreenEvent] = {}

    def wait(self, ticket_id: str, deadline_s: float) -> WaitResult:
        """Wait to be admitted until a deadline."""
        waiter = GreenEvent()
        self._waiters[ticket_id] = waiter
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
            self._waiters.pop(ticket_id, None)
        return result

    def admit(self, ticket_id: str) -> None:
        """Wake a call that has been admitted."""
        waiter = self._waiters.get(ticket_id)
        if waiter is not None:
            _finish(waiter, WaitResult.ADMITTED)


def _finish(waiter: GreenEvent, result: WaitResult) -> None:
    """End a wait unless it has already ended."""
    if not waiter.ready():
        waiter.send(result)
