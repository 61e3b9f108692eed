"""Transfer of usage counts to another node, which saves them.

If each node wrote its counts every second, the load on the store would grow
with the fleet. A node therefore sends its counts to the node that it polls for
updates, which saves them together with its own. A node saves any counts itself
that are not acknowledged in time. Counts that are saved twice are counted once.
"""

from collections.abc import Iterable

import attrs

from dandelionyoke_dispatch._usage import (
    ProcessCounts,
    UsageCounter,
    WindowCounts,
)

# The other node saves within two seconds; a window closes soon after that.
ACKNOWLEDGE_TIMEOUT_S = 2.4
MAX_WINDOWS = 8


@attrs.frozen
class CountsParcel:
    """A batch of counts; `number` is its sequence number in the process."""

    process: str
    number: int
    windows: tuple[WindowCounts, ...]


@attrs.frozen
class _UnacknowledgedParcel:
    sent_s: float
    window_ids: tuple[int, ...]


class CountsSender:
    """The counts that this process sent and that are not acknowledged."""

    def __init__(self, process: str, usage: UsageCounter) -> None:
        self._process = process
        self._usage = usage
        self._number = 0
        self._unacknowledged: dict[int, _UnacknowledgedParcel] = {}

    def pack(self, now_s: float) -> CountsParcel | None:
        """Return the changes since the last batch; None if there are none."""
        windows = tuple(self._usage.take_changed())
        if not windows:
            return None
        self._number += 1
        window_ids = tuple(counts.window_id for counts in windows)
        self._unacknowledged[self._number] = _UnacknowledgedParcel(
            now_s, window_ids
        )
        return CountsParcel(self._process, self._number, windows)

    def confirm(self, number: int) -> None:
        """Record that all batches up to a sequence number are saved."""
        for pending_number in tuple(self._unacknowledged):
            if pending_number <= number:
                self._unacknowledged.pop(pending_number)

    def requeue_overdue(self, now_s: float) -> bool:
        """Requeue batches that timed out; return whether there were any."""
        overdue = [
            number
            for number, pending in self._unacknowledged.items()
            if now_s - pending.sent_s > ACKNOWLEDGE_TIMEOUT_S
        ]
        for number in overdue:
            for window_id in self._unacknowledged.pop(number).window_ids:
                self._usage.requeue(window_id)
        return bool(overdue)

    def requeue_all(self) -> None:
        """Requeue all unacknowledged batches, to be saved by this process."""
        for pending in self._unacknowledged.values():
            for window_id in pending.window_ids:
                self._usage.requeue(window_id)
        self._unacknowledged.clear()


class CountsReceiver:
    """The counts of other processes that this process saves."""

    def __init__(self) -> None:
        self._windows: dict[int, dict[str, WindowCounts]] = {}
        self._changed: set[int] = set()
        self._received: dict[str, int] = {}
        self._saved: dict[str, int] = {}

    @property
    def has_unsaved(self) -> bool:
        """Whether any counts are waiting to be saved."""
        return bool(self._changed)

    def take(self, parcel: CountsParcel) -> None:
        """Accept a batch; it replaces older counts of the same process."""
        if parcel.number <= self._received.get(parcel.process, 0):
            return
        self._received[parcel.process] = parcel.number
        for counts in parcel.windows:
            window = self._windows.setdefault(counts.window_id, {})
            window[parcel.process] = counts
            self._changed.add(counts.window_id)
        while len(self._windows) > MAX_WINDOWS:
            oldest = min(self._windows)
            self._windows.pop(oldest)
            self._changed.discard(oldest)

    def take_changed(self) -> list[int]:
        """Return the ids of the windows that changed since the last save."""
        changed = sorted(self._changed)
        self._changed.clear()
        return changed

    def requeue(self, window_ids: Iterable[int]) -> None:
        """Requeue windows that could not be saved."""
        self._changed.update(set(window_ids) & self._windows.keys())

    def requeue_all(self) -> None:
        """Requeue all windows that are kept, as what was saved may be lost."""
        self._changed.update(self._windows)

    def parts(self, window_id: int) -> list[ProcessCounts]:
        """Return the counts of other processes in a window."""
        window = self._windows.get(window_id, {})
        return [
            ProcessCounts(process, counts.counts)
            for process, counts in sorted(window.items())
        ]

    def received(self) -> dict[str, int]:
        """Return the sequence number of the last batch of each process."""
        return dict(self._received)

    def confirm(self, received: dict[str, int]) -> None:
        """Record that all batches up to these sequence numbers are saved."""
        self._saved.update(received)

    def saved(self, process: str) -> int:
        """Return the last sequence number of a process that is saved."""
        return self._saved.get(process, 0)
