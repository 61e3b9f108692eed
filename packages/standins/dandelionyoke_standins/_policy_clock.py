"""Virtual clock that runs scheduled callbacks."""

import heapq
import itertools
from collections.abc import Callable


class VirtualClock:
    """Scheduler that runs callbacks and advances the time to each one.

    Callbacks of the same time run in the order in which they were scheduled.
    """

    def __init__(self) -> None:
        self.now_s = 0.0
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()

    def call_at(self, at_s: float, callback: Callable[[], None]) -> None:
        """Schedule a callback at a time, or now if the time has passed."""
        entry = (max(at_s, self.now_s), next(self._sequence), callback)
        heapq.heappush(self._queue, entry)

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Schedule a callback after a delay."""
        self.call_at(self.now_s + delay_s, callback)

    def run(self, until_s: float) -> None:
        """Run all callbacks up to a time, then set the clock to it."""
        while self._queue and self._queue[0][0] <= until_s:
            at_s, _, callback = heapq.heappop(self._queue)
            self.now_s = at_s
            callback()
        self.now_s = until_s
