"""Copies of the counters of peers, saved for a peer whose link has ended."""

from random import Random

from dandelionyoke_core._actions import CountMetric, StoreGet, StorePut
from dandelionyoke_core._back_off import BackOff
from dandelionyoke_core._codec import record_from_json, record_to_json
from dandelionyoke_core._errors import CodecError
from dandelionyoke_core._names import InstanceId
from dandelionyoke_core._ports import Output
from dandelionyoke_core._records import (
    StoreConflict,
    StoreItem,
    StoreResult,
    StoreWritten,
)
from dandelionyoke_core._store_slot import StoreSlot
from dandelionyoke_core._usage_counter import CounterCopy
from dandelionyoke_core._usage_records import CounterRecord, UsageCopied
from dandelionyoke_core._usage_settings import UsageSettings


class PeerCopies:
    """Keeps copies and writes those whose owner may have crashed.

    A write merges each count by maximum, so it is harmless if the owner is
    still alive.
    """

    def __init__(
        self, settings: UsageSettings, name: str, random: Random
    ) -> None:
        self.slot = StoreSlot(name, settings.call_timeout_s, random)
        self._settings = settings
        self._back_off = BackOff(settings.back_off, random)
        self._copies: dict[str, CounterCopy] = {}
        self._owners: dict[str, InstanceId] = {}
        self._due_times: dict[str, float] = {}
        self._writing_key: str | None = None

    def next_wakeup_s(self) -> float | None:
        """Return when a copy has to be written, or None."""
        if not self.slot.is_free:
            return None
        return min(self._due_times.values(), default=None)

    def keep(self, owner: InstanceId, message: UsageCopied) -> list[Output]:
        """Merge rows from a peer into its copy."""
        key = message.counter_key
        is_full = len(self._copies) >= self._settings.max_copies
        if is_full and key not in self._copies:
            return [CountMetric('usage.dropped_copies')]
        copy = self._copies.setdefault(key, CounterCopy())
        copy.sequence = max(copy.sequence, message.sequence)
        copy.table.merge_max(message.figures)
        self._owners[key] = owner
        self._due_times.pop(key, None)
        return []

    def handle_disconnect(self, owner: InstanceId, now_s: float) -> None:
        """Schedule writing the copies of a peer whose link has ended."""
        for key, copy_owner in self._owners.items():
            if copy_owner == owner and key not in self._due_times:
                self._due_times[key] = now_s + self._settings.takeover_after_s

    def run_due(self, now_s: float) -> list[Output]:
        """Begin to write the next copy that is due."""
        if not self.slot.is_free:
            return []
        due = [key for key, due_s in self._due_times.items() if now_s >= due_s]
        if not due:
            return []
        self._writing_key = due[0]
        return [StoreGet(self.slot.begin_call(now_s), due[0])]

    def handle_result(self, result: StoreResult, now_s: float) -> list[Output]:
        """Handle the result of a store call."""
        key = self._writing_key
        copy = self._copies.get(key or '')
        if key is None or copy is None:
            return []
        match result:
            case StoreWritten():
                return self._remove_saved(key, now_s)
            case StoreItem():
                return self._write(key, copy, result, now_s)
            case StoreConflict(present=present):
                return self._write(key, copy, present, now_s)
        self._writing_key = None
        retry_s = now_s + self._back_off.next_s()
        self._due_times = {
            due_key: retry_s if due_key == key else due_s
            for due_key, due_s in self._due_times.items()
        }
        return []

    def _write(
        self, key: str, copy: CounterCopy, present: StoreItem, now_s: float
    ) -> list[Output]:
        try:
            record = _decode_counter(present)
        except CodecError:
            return [
                CountMetric('usage.unreadable_records'),
                *self._remove_saved(key, now_s),
            ]
        saved = CounterCopy(record.sequence)
        saved.table.merge_max(record.figures)
        if not saved.table.merge_max(copy.table.figures()):
            return self._remove_saved(key, now_s)
        merged = CounterRecord(
            max(copy.sequence, saved.sequence), saved.table.figures()
        )
        put = StorePut(
            self.slot.begin_call(now_s),
            key,
            record_to_json(merged),
            present.revision,
        )
        return [put]

    def _remove_saved(self, key: str, now_s: float) -> list[Output]:
        """Remove a copy that is saved, unless its owner has reconnected."""
        self._writing_key = None
        self._back_off.reset()
        if key in self._due_times:
            for table in (self._due_times, self._copies, self._owners):
                table.pop(key, None)
        return self.run_due(now_s)


def _decode_counter(present: StoreItem) -> CounterRecord:
    if present.value is None:
        return CounterRecord(0)
    return record_from_json(present.value, CounterRecord)
