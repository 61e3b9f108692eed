"""Virtual time."""

import heapq
import itertools
from collections.abc import Callable


class VirtualClock:
    """Does what is due, in order, and moves the time on to it."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()

    def at(self, at_s: float, action: Callable[[], None]) -> None:
        """Do something at a time."""
        entry = (max(at_s, self.now_s), next(self._order), action)
        heapq.heappush(self._heap, entry)

    def later(self, delay_s: float, action: Callable[[], None]) -> None:
        """Do something after a time."""
        self.at(self.now_s + delay_s, action)

    def run(self, until_s: float) -> None:
        """Let time pass."""
        while self._heap and self._heap[0][0] <= until_s:
            at_s, _, action = heapq.heappop(self._heap)
            self.now_s = at_s
            action()
        self.now_s = until_s
