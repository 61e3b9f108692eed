"""Closing and reporting the usage windows of a domain.

Windows form a chain: each has the next index, is created only if it does not
exist, and counts from the totals of its predecessor. So each window exists
only once, no matter which entry closes it or how late its write arrives.
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
from dandelionyoke_core._events import Event, Started, UsageReportResponded
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
class ReporterStep(enum.Enum):
    """The next or pending step of the reporter."""

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
class ReportDuty:
    """The report duty with its fencing token, while this entry holds it."""

    fence: int
    until_s: float


class WindowReporter:
    """Closes and reports windows while this entry holds the report duty."""

    def __init__(
        self, settings: UsageSettings, instance: Instance, random: Random
    ) -> None:
        name = f'usage.{instance.instance_id}'
        self.slot = StoreSlot(name, settings.call_timeout_s, random)
        self._settings = settings
        self._instance = instance
        self._reported_key = f'{REPORTED_PREFIX}/{instance.domain}'
        self._back_off = BackOff(settings.back_off, random)
        self._wall_offset_s: float | None = None
        self._duty: ReportDuty | None = None
        self._step = ReporterStep.OFF
        self._next_s: float | None = None
        self._reported = 0
        self._reported_revision = 0
        self._latest: WindowRecord | None = None
        self._unreported: list[WindowRecord] = []
        self._revisions: dict[int, int] = {}
        self._totals = UsageTable()

    def handle(self, event: Event, now_s: float) -> list[Output]:
        """Handle an event of the process, the duty or the platform."""
        match event:
            case Started():
                self._wall_offset_s = event.wall_s - now_s
            case DutyGained():
                self._duty = ReportDuty(event.fence, event.until_s)
                self._start(now_s)
                return self.run_due(now_s)
            case DutyExtended() if self._duty is not None:
                self._duty = ReportDuty(event.fence, event.until_s)
            case DutyLost():
                self._stop()
            case UsageReportResponded():
                return self._handle_submission_answer(event, now_s)
        return []

    def next_wakeup_s(self) -> float | None:
        """Return when the next step is due, or None."""
        times = (self._next_s, self.slot.next_wakeup_s())
        return min((due for due in times if due is not None), default=None)

    def run_due(self, now_s: float) -> list[Output]:
        """Run the next step if it is due."""
        if self._next_s is None or now_s < self._next_s:
            return []
        self._next_s = None
        duty = self._duty
        if duty is None or now_s >= duty.until_s:
            self._stop()
            return []
        return self._run_step(duty, now_s)

    def handle_result(self, result: StoreResult, now_s: float) -> list[Output]:
        """Handle the result of a store call."""
        try:
            is_success = self._apply_result(result, now_s)
        except CodecError as unreadable:
            self._retry(now_s)
            cause = str(unreadable)
            return [
                WriteLog('usage.unreadable', self._instance.domain, cause=cause)
            ]
        if not is_success:
            self._retry(now_s)
            return []
        self._back_off.reset()
        outputs = self._delete_old() if self._step is ReporterStep.READY else []
        return [*outputs, *self.run_due(now_s)]

    # Steps.

    def _apply_result(self, result: StoreResult, now_s: float) -> bool:
        """Apply the result of the pending step; return False on failure."""
        match self._step, result:
            case ReporterStep.READING, StoreItem():
                self._apply_reported_mark(result, now_s)
            case ReporterStep.LISTING, StoreListing():
                self._apply_listing(result, now_s)
            case ReporterStep.COUNTING, StoreListing():
                self._totals = _sum_counters(result)
                self._go_to(ReporterStep.CLOSING, now_s)
            case ReporterStep.CLOSING, StoreWritten() | StoreConflict():
                # The window was closed by this entry or by another one,
                # perhaps by a late write of a former holder. The record in
                # the store is the window, and its figures are reported.
                self._go_to(ReporterStep.LISTING, now_s)
            case ReporterStep.MARKING, StoreWritten():
                self._apply_mark_written(result, now_s)
            case (
                (ReporterStep.BEGINNING | ReporterStep.MARKING),
                (StoreWritten() | StoreConflict()),
            ):
                self._go_to(ReporterStep.READING, now_s)
            case _:
                return False
        return True

    def _start(self, now_s: float) -> None:
        self._go_to(ReporterStep.READING, now_s)
        if self._wall_offset_s is None:
            self._stop()

    def _stop(self) -> None:
        self.slot.drop()
        self._duty = None
        self._next_s = None
        self._step = ReporterStep.OFF

    def _go_to(self, step: ReporterStep, now_s: float) -> None:
        self._step = step
        self._next_s = now_s

    def _retry(self, now_s: float) -> None:
        """Restart from the stored state after a backoff."""
        self._step = ReporterStep.READING
        self._next_s = now_s + self._back_off.next_s()

    def _run_step(self, duty: ReportDuty, now_s: float) -> list[Output]:
        match self._step:
            case ReporterStep.READING:
                return [
                    StoreGet(self.slot.begin_call(now_s), self._reported_key)
                ]
            case ReporterStep.BEGINNING:
                return [self._mark(self._window_index(now_s) - 1, now_s)]
            case ReporterStep.LISTING:
                prefix = f'{WINDOW_PREFIX}/{self._instance.domain}/'
                return [StoreList(self.slot.begin_call(now_s), prefix)]
            case ReporterStep.READY:
                return self._report_or_close(duty, now_s)
            case ReporterStep.CLOSING:
                return [self._close(duty, now_s)]
            case ReporterStep.MARKING:
                return [self._mark(self._unreported[0].index, now_s)]
            case ReporterStep.REPORTING:
                self._retry(now_s)
        return []

    def _report_or_close(self, duty: ReportDuty, now_s: float) -> list[Output]:
        if self._unreported:
            return [self._submit(self._unreported[0], duty, now_s)]
        settings = self._settings
        end_s = (self._next_index + 1) * settings.window_s
        if self._wall_s(now_s) < end_s + settings.close_after_s:
            self._next_s = now_s + settings.check_interval_s
            return []
        self._step = ReporterStep.COUNTING
        prefix = f'{COUNTER_PREFIX}/{self._instance.domain}/'
        return [StoreList(self.slot.begin_call(now_s), prefix)]

    def _apply_reported_mark(self, item: StoreItem, now_s: float) -> None:
        if item.value is None:
            # A single write determines the first window index. Two holders
            # that each began with their own current window would report the
            # same usage in two windows.
            self._go_to(ReporterStep.BEGINNING, now_s)
            self._reported_revision = 0
            return
        self._reported = record_from_json(item.value, ReportedRecord).index
        self._reported_revision = item.revision
        self._go_to(ReporterStep.LISTING, now_s)

    def _apply_listing(self, listing: StoreListing, now_s: float) -> None:
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
        self._go_to(ReporterStep.READY, now_s)

    def _close(self, duty: ReportDuty, now_s: float) -> Output:
        latest = self._latest
        before = UsageTable.sum_of(latest.totals if latest else ())
        index = self._next_index
        start_s = index * self._settings.window_s
        record = WindowRecord(
            window_id=WindowId(f'{self._instance.domain}-{start_s:.0f}'),
            index=index,
            previous_index=index - 1,
            fence=duty.fence,
            figures=self._totals.delta_since(before),
            totals=self._totals.figures(),
        )
        key = window_key(self._instance.domain, index)
        operation_id = self.slot.begin_call(now_s)
        return StorePut(operation_id, key, record_to_json(record), 0)

    def _submit(
        self, record: WindowRecord, duty: ReportDuty, now_s: float
    ) -> Output:
        self._step = ReporterStep.REPORTING
        self._next_s = now_s + self._settings.call_timeout_s
        window = UsageWindow(
            record.window_id,
            self._instance.domain,
            duty.fence,
            self._instance.instance_id,
            record.figures,
        )
        limit_s = now_s + self._settings.send_limit_s
        return SubmitUsage(window, min(duty.until_s, limit_s))

    def _handle_submission_answer(
        self, event: UsageReportResponded, now_s: float
    ) -> list[Output]:
        if self._step is not ReporterStep.REPORTING:
            return []
        if event.window_id != self._unreported[0].window_id:
            return []
        if not event.accepted:
            self._retry(now_s)
            return []
        self._go_to(ReporterStep.MARKING, now_s)
        return self.run_due(now_s)

    def _mark(self, index: int, now_s: float) -> Output:
        value = record_to_json(ReportedRecord(index))
        operation_id = self.slot.begin_call(now_s)
        return StorePut(
            operation_id, self._reported_key, value, self._reported_revision
        )

    def _apply_mark_written(self, written: StoreWritten, now_s: float) -> None:
        record = self._unreported.pop(0)
        self._reported = record.index
        self._reported_revision = written.revision
        self._go_to(ReporterStep.READY, now_s)

    def _delete_old(self) -> list[Output]:
        """Delete all but the last `kept_windows` reported windows."""
        limit = self._reported - self._settings.kept_windows
        domain = self._instance.domain
        old = [index for index in self._revisions if index <= limit]
        return [
            StoreDelete(
                self.slot.new_operation_id(),
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

    def _window_index(self, now_s: float) -> int:
        return math.floor(self._wall_s(now_s) / self._settings.window_s)


def _sum_counters(listing: StoreListing) -> UsageTable:
    totals = UsageTable()
    for item in listing.items:
        record = record_from_json(item.value or '', CounterRecord)
        for figure in record.figures:
            totals.add(figure)
    return totals
