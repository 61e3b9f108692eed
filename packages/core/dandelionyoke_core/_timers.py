"""When something has to be looked at, for many things at little cost."""

import heapq
from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

Name = TypeVar('Name', bound=str)


class Timers(Generic[Name]):
    """A heap of times that may be early but are never late.

    A time that moves later is left in place and looked up again when it
    is due, so that a stream's every token costs nothing here.
    """

    def __init__(self) -> None:
        self._heap: list[tuple[float, Name]] = []
        self._set: dict[Name, float] = {}

    def next_s(self) -> float | None:
        """Tell the earliest time, which may prove to be early."""
        return self._heap[0][0] if self._heap else None

    def put(self, name: Name, due_s: float) -> None:
        """Have `name` looked at by `due_s`."""
        known_s = self._set.get(name)
        if known_s is None or due_s < known_s:
            self._set[name] = due_s
            heapq.heappush(self._heap, (due_s, name))

    def due(
        self, now_s: float, due_of: Callable[[Name], float | None]
    ) -> Iterator[Name]:
        """Take what is due; `due_of` tells the true time, None if gone."""
        while self._heap and self._heap[0][0] <= now_s:
            known_s, name = heapq.heappop(self._heap)
            if self._set.get(name) != known_s:
                continue
            self._set.pop(name)
            due_s = due_of(name)
            if due_s is None:
                continue
            if due_s <= now_s:
                yield name
            else:
                self.put(name, due_s)
