"""The memory of answers that are held as a whole."""

from functools import partial

import eventlet
from eventlet.hubs import get_hub

from dandelionyoke_gateway._clock import clock_s
from dandelionyoke_gateway._errors import ExchangeTimeoutError
from dandelionyoke_links import MemoryBudget, MemoryShortError

RETRY_INTERVAL_S = 0.05


class AnswerMemory:
    """The memory of the answers to one call.

    While memory is short, the answer that has been written for longest is
    evicted: its caller reads too slowly, and its connection is closed.
    """

    def __init__(self, budget: MemoryBudget, deadline_s: float) -> None:
        self._budget = budget
        self._deadline_s = deadline_s
        self._reservation = budget.open(lambda: None)

    def take(self, count_bytes: int) -> None:
        """Count bytes of an answer; wait while there is no memory for them.

        Raises:
            ExchangeTimeoutError: there was none until the call's deadline.
        """
        while True:
            try:
                self._budget.grow(self._reservation, count_bytes)
            except MemoryShortError as error:
                if self._budget.borrow(self._reservation, count_bytes):
                    return
                if clock_s() >= self._deadline_s:
                    raise ExchangeTimeoutError(
                        'no memory for the response', sent=True
                    ) from error
                eventlet.sleep(RETRY_INTERVAL_S)
                continue
            return

    def begin_writing(self) -> None:
        """Let the calling green thread be ended while it writes the answer."""
        self._reservation.on_evict = partial(
            get_hub().schedule_call_global,
            0,
            eventlet.kill,
            eventlet.getcurrent(),
        )
        self._budget.set_evictable(self._reservation, is_evictable=True)

    def stop_writing(self) -> None:
        """Let no green thread be ended until the next write."""
        self._budget.set_evictable(self._reservation, is_evictable=False)

    def release(self) -> None:
        """Release the memory; more may be taken later."""
        if not self._reservation.is_closed:
            self.close()
            self._reservation = self._budget.open(lambda: None)

    def close(self) -> None:
        """Release the memory."""
        self._budget.close(self._reservation)
