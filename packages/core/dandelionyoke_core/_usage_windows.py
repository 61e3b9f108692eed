"""Closes windows of a domain's usage, and reports them.

Windows form a chain: each has the next number, is created only if it is
absent, and counts from the sums that its predecessor holds. So whoever
closes a window, however late its write arrives, there is one such window.
"""

import enum
import math
from random import Random

import attrs

from dandelionyoke_core._actions import (
    StoreDelete,
    StoreGet,
    StoreList,
    StorePut,
    SubmitUsage,
    WriteLog,
)
from dandelionyoke_core._back_off import BackOff
from dandelionyoke_core._codec import record_from_json, record_to_json
from dandelionyoke_core._errors import CodecError
from dandelionyoke_core._events import Event, Started, UsageAnswered
from dandelionyoke_core._names import WindowId
from dandelionyoke_core._notices import DutyExtended, DutyGained, DutyLost
from dandelionyoke_core._ports import Output
from dandelionyoke_core._records import (
    Instance,
    StoreConflict,
    StoreItem,
    StoreListing,
    StoreResult,
    StoreWritten,
    UsageWindow,
)
from dandelionyoke_core._store_slot import StoreSlot
from dandelionyoke_core._usage_figures import UsageTable
from dandelionyoke_core._usage_records import (
    COUNTER_PREFIX,
    REPORTED_PREFIX,
    WINDOW_PREFIX,
    CounterRecord,
    ReportedRecord,
    WindowRecord,
    window_key,
)
from dandelionyoke_core._usage_settings import UsageSettings


@enum.unique
class Step(enum.Enum):
    """What the reporter is about."""

    OFF = 'off'
    READING = 'reading'
    BEGINNING = 'beginning'
    LISTING = 'listing'
    READY = 'ready'
    COUNTING = 'counting'
    CLOSING = 'closing'
    REPORTING = 'reporting'
    MARKING = 'marking'


@attrs.frozen
class Duty:
    """The duty of reporting, while this entry holds it."""

    fence: int
    until_s: float


class WindowReporter:
    """Acts for the domain while this entry holds the duty of reporting."""

    def __init__(
        self, settings: UsageSettings, own: Instance, random: Random
    ) -> None:
        name = f'usage.{own.instance_id}'
        self.slot = StoreSlot(name, settings.call_timeout_s, random)
        self._settings = settings
        self._own = own
        self._reported_key = f'{REPORTED_PREFIX}/{own.domain}'
        self._back_off = BackOff(settings.back_off, random)
        self._wall_offset_s: float | None = None
        self._duty: Duty | None = None
        self._step = Step.OFF
        self._next_s: float | None = None
        self._reported = 0
        self._reported_revision = 0
        self._latest: WindowRecord | None = None
        self._unreported: list[WindowRecord] = []
        self._revisions: dict[int, int] = {}
        self._totals = UsageTable()

    def handle(self, event: Event, now_s: float) -> list[Output]:
        """Take an event of the process, the duty or the platform."""
        match event:
            case Started():
                self._wall_offset_s = event.wall_s - now_s
            case DutyGained():
                self._duty = Duty(event.fence, event.until_s)
                self._begin(now_s)
                return self.due(now_s)
            case DutyExtended() if self._duty is not None:
                self._duty = Duty(event.fence, event.until_s)
            case DutyLost():
                self._stop()
            case UsageAnswered():
                return self._submitted(event, now_s)
        return []

    def next_wakeup_s(self) -> float | None:
        """Tell when the next step is due."""
        times = (self._next_s, self.slot.next_wakeup_s())
        return min((due for due in times if due is not None), default=None)

    def due(self, now_s: float) -> list[Output]:
        """Take the next step if it is time."""
        if self._next_s is None or now_s < self._next_s:
            return []
        self._next_s = None
        duty = self._duty
        if duty is None or now_s >= duty.until_s:
            self._stop()
            return []
        return self._act(duty, now_s)

    def ended(self, result: StoreResult, now_s: float) -> list[Output]:
        """Take the end of a store call."""
        try:
            is_taken = self._take(result, now_s)
        except CodecError as unreadable:
            self._retry(now_s)
            cause = str(unreadable)
            return [WriteLog('usage.unreadable', self._own.domain, cause=cause)]
        if not is_taken:
            self._retry(now_s)
            return []
        self._back_off.reset()
        outputs = self._drop_old() if self._step is Step.READY else []
        return [*outputs, *self.due(now_s)]

    # Steps.

    def _take(self, result: StoreResult, now_s: float) -> bool:
        """Take a result; False where it is a failure."""
        match self._step, result:
            case Step.READING, StoreItem():
                self._read(result, now_s)
            case Step.LISTING, StoreListing():
                self._listed(result, now_s)
            case Step.COUNTING, StoreListing():
                self._totals = _totals(result)
                self._again(Step.CLOSING, now_s)
            case Step.CLOSING, StoreWritten() | StoreConflict():
                # Closed by this entry or by another one, perhaps by a write
                # of a former holder that came late: what the store has is
                # the window, and its own figures are the ones to report.
                self._again(Step.LISTING, now_s)
            case Step.MARKING, StoreWritten():
                self._marked(result, now_s)
            case (
                (Step.BEGINNING | Step.MARKING),
                (StoreWritten() | StoreConflict()),
            ):
                self._again(Step.READING, now_s)
            case _:
                return False
        return True

    def _begin(self, now_s: float) -> None:
        self._again(Step.READING, now_s)
        if self._wall_offset_s is None:
            self._stop()

    def _stop(self) -> None:
        self.slot.drop()
        self._duty = None
        self._next_s = None
        self._step = Step.OFF

    def _again(self, step: Step, now_s: float) -> None:
        self._step = step
        self._next_s = now_s

    def _retry(self, now_s: float) -> None:
        """Take up the work again after a failure, from what is stored."""
        self._step = Step.READING
        self._next_s = now_s + self._back_off.next_s()

    def _act(self, duty: Duty, now_s: float) -> list[Output]:
        match self._step:
            case Step.READING:
                return [StoreGet(self.slot.open(now_s), self._reported_key)]
            case Step.BEGINNING:
                return [self._mark(self._index(now_s) - 1, now_s)]
            case Step.LISTING:
                prefix = f'{WINDOW_PREFIX}/{self._own.domain}/'
                return [StoreList(self.slot.open(now_s), prefix)]
            case Step.READY:
                return self._next(duty, now_s)
            case Step.CLOSING:
                return [self._close(duty, now_s)]
            case Step.MARKING:
                return [self._mark(self._unreported[0].index, now_s)]
            case Step.REPORTING:
                self._retry(now_s)
        return []

    def _next(self, duty: Duty, now_s: float) -> list[Output]:
        if self._unreported:
            return [self._submit(self._unreported[0], duty, now_s)]
        settings = self._settings
        end_s = (self._next_index + 1) * settings.window_s
        if self._wall_s(now_s) < end_s + settings.close_after_s:
            self._next_s = now_s + settings.look_interval_s
            return []
        self._step = Step.COUNTING
        prefix = f'{COUNTER_PREFIX}/{self._own.domain}/'
        return [StoreList(self.slot.open(now_s), prefix)]

    def _read(self, item: StoreItem, now_s: float) -> None:
        if item.value is None:
            # Windows are numbered from a beginning that one write decides.
            # Two holders that each began with their own present window
            # would report the same usage in two of them.
            self._again(Step.BEGINNING, now_s)
            self._reported_revision = 0
            return
        self._reported = record_from_json(item.value, ReportedRecord).index
        self._reported_revision = item.revision
        self._again(Step.LISTING, now_s)

    def _listed(self, listing: StoreListing, now_s: float) -> None:
        records: list[WindowRecord] = []
        self._revisions.clear()
        for item in listing.items:
            record = record_from_json(item.value or '', WindowRecord)
            records.append(record)
            self._revisions[record.index] = item.revision
        records.sort(key=lambda record: record.index)
        self._latest = records[-1] if records else None
        self._unreported = [
            record for record in records if record.index > self._reported
        ]
        self._again(Step.READY, now_s)

    def _close(self, duty: Duty, now_s: float) -> Output:
        latest = self._latest
        before = UsageTable.of(latest.totals if latest else ())
        index = self._next_index
        start_s = index * self._settings.window_s
        record = WindowRecord(
            window_id=WindowId(f'{self._own.domain}-{start_s:.0f}'),
            index=index,
            previous_index=index - 1,
            fence=duty.fence,
            figures=self._totals.since(before),
            totals=self._totals.figures(),
        )
        key = window_key(self._own.domain, index)
        operation_id = self.slot.open(now_s)
        return StorePut(operation_id, key, record_to_json(record), 0)

    def _submit(self, record: WindowRecord, duty: Duty, now_s: float) -> Output:
        self._step = Step.REPORTING
        self._next_s = now_s + self._settings.call_timeout_s
        window = UsageWindow(
            record.window_id,
            self._own.domain,
            duty.fence,
            self._own.instance_id,
            record.figures,
        )
        limit_s = now_s + self._settings.send_limit_s
        return SubmitUsage(window, min(duty.until_s, limit_s))

    def _submitted(self, event: UsageAnswered, now_s: float) -> list[Output]:
        if self._step is not Step.REPORTING:
            return []
        if event.window_id != self._unreported[0].window_id:
            return []
        if not event.accepted:
            self._retry(now_s)
            return []
        self._again(Step.MARKING, now_s)
        return self.due(now_s)

    def _mark(self, index: int, now_s: float) -> Output:
        value = record_to_json(ReportedRecord(index))
        operation_id = self.slot.open(now_s)
        return StorePut(
            operation_id, self._reported_key, value, self._reported_revision
        )

    def _marked(self, written: StoreWritten, now_s: float) -> None:
        record = self._unreported.pop(0)
        self._reported = record.index
        self._reported_revision = written.revision
        self._again(Step.READY, now_s)

    def _drop_old(self) -> list[Output]:
        """Remove windows that were reported long ago."""
        limit = self._reported - self._settings.kept_windows
        domain = self._own.domain
        old = [index for index in self._revisions if index <= limit]
        return [
            StoreDelete(
                self.slot.unawaited(),
                window_key(domain, index),
                self._revisions.pop(index),
            )
            for index in old
        ]

    @property
    def _next_index(self) -> int:
        latest = self._latest
        if latest is None:
            return self._reported + 1
        return latest.index + 1

    def _wall_s(self, now_s: float) -> float:
        return now_s + (self._wall_offset_s or 0)

    def _index(self, now_s: float) -> int:
        return math.floor(self._wall_s(now_s) / self._settings.window_s)


def _totals(listing: StoreListing) -> UsageTable:
    totals = UsageTable()
    for item in listing.items:
        record = record_from_json(item.value or '', CounterRecord)
        for figure in record.figures:
            totals.add(figure)
    return totals
