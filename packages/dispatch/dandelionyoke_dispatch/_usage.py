"""Counts of what began to run, by window of true time and organisation."""

from collections import Counter, deque
from collections.abc import Iterable

import attrs


@attrs.frozen
class WindowCounts:
    """What one process counted in one window so far."""

    window_id: int
    counts: tuple[tuple[str, int], ...]


@attrs.frozen
class ProcessCounts:
    """What one process, by its name, counted in a window so far."""

    process: str
    counts: tuple[tuple[str, int], ...]


@attrs.frozen
class WindowRecord:
    """What is saved of a window: the counts of one or more processes.

    Two records may hold counts of the same process, one of them older. The
    counts of a process only grow, so that of two the higher one holds.
    """

    window_id: int
    parts: tuple[ProcessCounts, ...]


@attrs.frozen
class TrueTime:
    """Wall time as a fixed offset to the steady clock.

    The time of day of an instance may jump by seconds and back. A window that
    followed it would take the counts of another one, so the offset is taken
    once, at the start.
    """

    offset_s: float

    def wall_s(self, now_s: float) -> float:
        """Tell the true time, in seconds since the epoch."""
        return now_s + self.offset_s


class UsageCounter:
    """This process's counts of the last few windows."""

    def __init__(
        self, window_s: float, clock: TrueTime, kept_windows: int = 4
    ) -> None:
        self._window_s = window_s
        self._clock = clock
        self._kept: deque[int] = deque(maxlen=kept_windows)
        self._counts: dict[int, Counter[str]] = {}
        self._changed: set[int] = set()
        self.unsaved = 0

    def window_at(self, now_s: float) -> int:
        """Name the window of a moment."""
        return int(self._clock.wall_s(now_s) // self._window_s)

    def age_s(self, window_id: int, now_s: float) -> float:
        """Tell how long ago a window ended."""
        end_s = (window_id + 1) * self._window_s
        return self._clock.wall_s(now_s) - end_s

    def began(self, organisation: str, now_s: float) -> None:
        """Count a call whose first token was made at `now_s`."""
        window_id = self.window_at(now_s)
        if window_id not in self._counts:
            if len(self._kept) == self._kept.maxlen:
                self._counts.pop(self._kept[0], None)
            self._kept.append(window_id)
            self._counts[window_id] = Counter()
        self._counts[window_id][organisation] += 1
        self._changed.add(window_id)
        self.unsaved += 1

    def take_changed(self) -> list[WindowCounts]:
        """List the windows that changed since they were last taken."""
        changed = sorted(self._changed & self._counts.keys())
        self._changed.clear()
        self.unsaved = 0
        return [
            WindowCounts(window_id, self.counts_of(window_id))
            for window_id in changed
        ]

    def counts_of(self, window_id: int) -> tuple[tuple[str, int], ...]:
        """List what was counted in a window so far."""
        return tuple(sorted(self._counts.get(window_id, {}).items()))

    def not_saved(self, window_id: int) -> None:
        """Give a window back whose saving failed."""
        self._changed.add(window_id)


def add_up(records: Iterable[WindowRecord]) -> tuple[tuple[str, int], ...]:
    """Add the counts of all processes for one window."""
    highest: dict[tuple[str, str], int] = {}
    for record in records:
        for part in record.parts:
            for organisation, number in part.counts:
                key = part.process, organisation
                highest[key] = max(number, highest.get(key, 0))
    total: Counter[str] = Counter()
    for (_, organisation), number in highest.items():
        total[organisation] += number
    return tuple(sorted(total.items()))
