"""Counts that one node saves for another.

A write of each node for each second of calls makes the store's writes grow
with the fleet. So a node hands its counts to the one that it asks for news,
which saves them together with its own. What is not confirmed as saved in
time, a node saves itself; a count that is saved twice counts once.
"""

from collections.abc import Iterable

import attrs

from dandelionyoke_dispatch._usage import (
    ProcessCounts,
    UsageCounter,
    WindowCounts,
)

# The other node saves within two seconds; a window is closed soon after.
CONFIRMED_WITHIN_S = 2.4
MOST_WINDOWS = 8


@attrs.frozen
class CountsParcel:
    """Counts that were handed over; `number` counts the parcels."""

    process: str
    number: int
    windows: tuple[WindowCounts, ...]


@attrs.frozen
class _Pending:
    handed_s: float
    window_ids: tuple[int, ...]


class CountsSender:
    """What this process handed over and has not been confirmed yet."""

    def __init__(self, process: str, usage: UsageCounter) -> None:
        self._process = process
        self._usage = usage
        self._number = 0
        self._pending: dict[int, _Pending] = {}

    def pack(self, now_s: float) -> CountsParcel | None:
        """Take what changed since the last parcel; None: nothing did."""
        windows = tuple(self._usage.take_changed())
        if not windows:
            return None
        self._number += 1
        ids = tuple(counts.window_id for counts in windows)
        self._pending[self._number] = _Pending(now_s, ids)
        return CountsParcel(self._process, self._number, windows)

    def confirm(self, number: int) -> None:
        """Note that all parcels up to a number are saved."""
        for one in tuple(self._pending):
            if one <= number:
                self._pending.pop(one)

    def take_back(self, now_s: float) -> bool:
        """Give back what was not confirmed in time; tell whether any was."""
        overdue = [
            number
            for number, pending in self._pending.items()
            if now_s - pending.handed_s > CONFIRMED_WITHIN_S
        ]
        for number in overdue:
            for window_id in self._pending.pop(number).window_ids:
                self._usage.not_saved(window_id)
        return bool(overdue)

    def take_all_back(self) -> None:
        """Give back all that is not confirmed: it is saved here."""
        for pending in self._pending.values():
            for window_id in pending.window_ids:
                self._usage.not_saved(window_id)
        self._pending.clear()


class CountsReceiver:
    """Counts of other processes that this one saves for them."""

    def __init__(self) -> None:
        self._windows: dict[int, dict[str, WindowCounts]] = {}
        self._changed: set[int] = set()
        self._received: dict[str, int] = {}
        self._saved: dict[str, int] = {}

    @property
    def has_unsaved(self) -> bool:
        """Whether counts wait to be saved."""
        return bool(self._changed)

    def take(self, parcel: CountsParcel) -> None:
        """Take another process's counts; its newer ones replace older."""
        if parcel.number <= self._received.get(parcel.process, 0):
            return
        self._received[parcel.process] = parcel.number
        for counts in parcel.windows:
            window = self._windows.setdefault(counts.window_id, {})
            window[parcel.process] = counts
            self._changed.add(counts.window_id)
        while len(self._windows) > MOST_WINDOWS:
            oldest = min(self._windows)
            self._windows.pop(oldest)
            self._changed.discard(oldest)

    def take_changed(self) -> list[int]:
        """Name the windows that changed since they were last saved."""
        changed = sorted(self._changed)
        self._changed.clear()
        return changed

    def not_saved(self, window_ids: Iterable[int]) -> None:
        """Give windows back whose saving failed."""
        self._changed.update(set(window_ids) & self._windows.keys())

    def parts(self, window_id: int) -> list[ProcessCounts]:
        """List what other processes counted in a window."""
        window = self._windows.get(window_id, {})
        return [
            ProcessCounts(process, counts.counts)
            for process, counts in sorted(window.items())
        ]

    def received(self) -> dict[str, int]:
        """Tell up to which parcel each process was heard."""
        return dict(self._received)

    def confirm(self, received: dict[str, int]) -> None:
        """Note that what was received up to then is saved."""
        self._saved.update(received)

    def saved(self, process: str) -> int:
        """Tell up to which parcel a process's counts are saved."""
        return self._saved.get(process, 0)
