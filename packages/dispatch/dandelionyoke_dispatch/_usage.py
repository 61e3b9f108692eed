"""Counts of started calls, by window of wall time and by organisation."""

from collections import Counter, deque
from collections.abc import Iterable

import attrs


@attrs.frozen
class WindowCounts:
    """The counts of one process in one window so far."""

    window_id: int
    counts: tuple[tuple[str, int], ...]


@attrs.frozen
class ProcessCounts:
    """The counts of one process, identified by name, in a window so far."""

    process: str
    counts: tuple[tuple[str, int], ...]


@attrs.frozen
class WindowRecord:
    """The saved counts of a window, from one or more processes.

    Two records may contain counts of the same process, one of them older. The
    counts of a process only grow, so the higher of the two is valid.
    """

    window_id: int
    parts: tuple[ProcessCounts, ...]


@attrs.frozen
class TrueTime:
    """Wall time, computed as a fixed offset from the monotonic clock.

    The system time of an instance may jump by seconds and back. If windows
    followed it, one would get the counts of another. So the offset is taken
    once, at the start.
    """

    offset_s: float

    def wall_s(self, now_s: float) -> float:
        """Return the wall time in seconds since the epoch."""
        return now_s + self.offset_s


class UsageCounter:
    """The counts of this process in the latest windows."""

    def __init__(
        self, window_s: float, clock: TrueTime, kept_windows: int = 4
    ) -> None:
        self._window_s = window_s
        self._clock = clock
        self._window_ids: deque[int] = deque(maxlen=kept_windows)
        self._counts: dict[int, Counter[str]] = {}
        self._changed: set[int] = set()
        self.unsaved = 0

    def window_at(self, now_s: float) -> int:
        """Return the id of the window at a time."""
        return int(self._clock.wall_s(now_s) // self._window_s)

    def age_s(self, window_id: int, now_s: float) -> float:
        """Return the time since the end of a window."""
        end_s = (window_id + 1) * self._window_s
        return self._clock.wall_s(now_s) - end_s

    def count_call(self, organisation: str, now_s: float) -> None:
        """Count a call that produced its first token at `now_s`."""
        window_id = self.window_at(now_s)
        if window_id not in self._counts:
            if len(self._window_ids) == self._window_ids.maxlen:
                self._counts.pop(self._window_ids[0], None)
            self._window_ids.append(window_id)
            self._counts[window_id] = Counter()
        self._counts[window_id][organisation] += 1
        self._changed.add(window_id)
        self.unsaved += 1

    def take_changed(self) -> list[WindowCounts]:
        """Return the windows that changed since this was last called."""
        changed = sorted(self._changed & self._counts.keys())
        self._changed.clear()
        self.unsaved = 0
        return [
            WindowCounts(window_id, self.counts_of(window_id))
            for window_id in changed
        ]

    def counts_of(self, window_id: int) -> tuple[tuple[str, int], ...]:
        """Return the counts of a window so far."""
        return tuple(sorted(self._counts.get(window_id, {}).items()))

    def requeue(self, window_id: int) -> None:
        """Requeue a window that could not be saved."""
        self._changed.add(window_id)

    def requeue_all(self) -> None:
        """Requeue all windows that are kept, as what was saved may be lost."""
        self._changed.update(self._counts)


def sum_counts(records: Iterable[WindowRecord]) -> tuple[tuple[str, int], ...]:
    """Sum the counts of all processes for one window."""
    highest: dict[tuple[str, str], int] = {}
    for record in records:
        for part in record.parts:
            for organisation, count in part.counts:
                key = part.process, organisation
                highest[key] = max(count, highest.get(key, 0))
    total: Counter[str] = Counter()
    for (_, organisation), count in highest.items():
        total[organisation] += count
    return tuple(sorted(total.items()))
