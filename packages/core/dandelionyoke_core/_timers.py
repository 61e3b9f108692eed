"""Timer queue for many names, with inexpensive postponement."""

import heapq
from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

Name = TypeVar('Name', bound=str)


class Timers(Generic[Name]):
    """Heap of due times, which may be earlier than the true due time.

    A due time that moves later stays in the heap and is looked up again
    when it expires, so that a token of a stream does not have to update
    the heap. A due time in the heap is never too late.
    """

    def __init__(self) -> None:
        self._heap: list[tuple[float, Name]] = []
        self._scheduled: dict[Name, float] = {}

    def next_s(self) -> float | None:
        """Return the earliest due time, which may be too early, or None."""
        return self._heap[0][0] if self._heap else None

    def schedule(self, name: Name, due_s: float) -> None:
        """Schedule `name` for `due_s`, unless it is due earlier already."""
        scheduled_s = self._scheduled.get(name)
        if scheduled_s is None or due_s < scheduled_s:
            self._scheduled[name] = due_s
            heapq.heappush(self._heap, (due_s, name))

    def pop_due(
        self, now_s: float, due_of: Callable[[Name], float | None]
    ) -> Iterator[Name]:
        """Remove and yield the names that are due.

        `due_of` returns the true due time of a name, or None if the name is
        no longer in use. A name that is not yet due is scheduled again.
        """
        while self._heap and self._heap[0][0] <= now_s:
            scheduled_s, name = heapq.heappop(self._heap)
            if self._scheduled.get(name) != scheduled_s:
                continue
            self._scheduled.pop(name)
            due_s = due_of(name)
            if due_s is None:
                continue
            if due_s <= now_s:
                yield name
            else:
                self.schedule(name, due_s)
