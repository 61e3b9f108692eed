"""Reports the usage of each window, summed from the counts of all nodes."""

from eventlet import sleep

from dandelionyoke_core import (
    CodecError,
    OperationId,
    StoreConflict,
    StoreDelete,
    StoreFailed,
    StoreGet,
    StoreItem,
    StoreList,
    StoreListing,
    StorePut,
    StoreResult,
    StoreWritten,
    record_from_json,
    record_to_json,
)
from dandelionyoke_dispatch import WindowCounts, WindowRecord, sum_counts
from dandelionyoke_gateway._clock import clock_s
from dandelionyoke_gateway._counts_task import COUNTS_PREFIX
from dandelionyoke_gateway._duty_task import DutyTask
from dandelionyoke_gateway._knowledge import Knowledge
from dandelionyoke_gateway._log import DecisionLog
from dandelionyoke_gateway._lost_reports import LostReports
from dandelionyoke_gateway._messages import parse_whole_number
from dandelionyoke_gateway._ports import DutyClient, Store

REPORTS_PREFIX = 'reports/'
# A window is closed this long after its end, when all nodes have saved their
# counts twice.
CLOSE_DELAY_S = 4.5
REPORT_CHECK_INTERVAL_S = 0.5
# Windows are reported within seconds. Records older than this many windows,
# including those of earlier holders, are removed, a few after each report.
KEPT_REPORT_WINDOWS = 12
MAX_REPORTS_REMOVED = 4
# Time reserved for a report to arrive before `usage_late_s`.
LATE_MARGIN_S = 0.5


class UsageTask:
    """Reports each window once, while this node holds the duty."""

    def __init__(
        self,
        knowledge: Knowledge,
        store: Store,
        duty: DutyTask,
        client: DutyClient,
        log: DecisionLog,
    ) -> None:
        self._knowledge = knowledge
        self._store = store
        self._duty = duty
        self._client = client
        self._log = log
        self._reported: set[int] = set()
        # The totals of closed windows, and those that the store may lack.
        self._closed: dict[int, str] = {}
        self._unwritten: set[int] = set()
        self._lost = LostReports(
            store, knowledge.settings.usage_late_s, CLOSE_DELAY_S
        )
        self._left: set[int] = set()

    def run(self) -> None:
        """Report windows that are due until the process exits."""
        self.begin()
        while True:
            sleep(REPORT_CHECK_INTERVAL_S)
            self.report_due()

    def begin(self) -> None:
        """Wait for the store and read what it may have lost before."""
        self._lost.begin()

    def report_due(self) -> None:
        """Report the windows that are due if this node holds the duty."""
        self._write_closed()
        stamp = self._duty.stamp
        if stamp is None:
            return
        self._lost.hold(stamp)
        self._report_due()
        self._lost.settle()

    def store_replaced(self) -> None:
        """Write the totals again that the store may have lost."""
        self._unwritten.update(self._closed)
        self._lost.store_replaced(self._duty.stamp)

    def _write_closed(self) -> None:
        """Write totals that the store may lack.

        The next holder would fix others and report the window again.
        """
        for window_id in sorted(self._unwritten & self._closed.keys()):
            answer = self._create_record(window_id, self._closed[window_id])
            if isinstance(answer, StoreFailed):
                return
            self._unwritten.discard(window_id)
        self._unwritten &= self._closed.keys()

    def _report_due(self) -> None:
        settings, usage = self._knowledge.settings, self._knowledge.usage
        newest = usage.window_at(clock_s())
        window_count = int(settings.usage_late_s // settings.usage_window_s) + 2
        for window_id in range(newest - window_count, newest):
            age_s = usage.age_s(window_id, clock_s())
            is_due = CLOSE_DELAY_S <= age_s < self._report_deadline_s()
            if is_due and window_id not in self._reported:
                self._report(window_id)
        self._reported = {
            reported_id
            for reported_id in self._reported
            if reported_id > newest - 20
        }
        for window_id in tuple(self._closed):
            if window_id < newest - KEPT_REPORT_WINDOWS:
                self._closed.pop(window_id)
        self._left = {
            left_id
            for left_id in self._left
            if left_id >= newest - KEPT_REPORT_WINDOWS
        }

    def _report_deadline_s(self) -> float:
        return self._knowledge.settings.usage_late_s - LATE_MARGIN_S

    def _report(self, window_id: int) -> None:
        counts = self._close_window(window_id)
        stamp = self._duty.stamp
        if counts is None or stamp is None:
            return
        answer = self._client.report_usage(counts, stamp)
        self._log.decide(
            'usage.reported',
            str(window_id),
            outcome=answer.outcome.value,
            cause=answer.cause,
            elapsed_s=answer.elapsed_s,
            fence=stamp.fence,
            total=sum(number for _, number in counts.counts),
        )
        if answer.is_accepted:
            self._reported.add(window_id)
            self._remove_old_reports(window_id - KEPT_REPORT_WINDOWS)

    def _close_window(self, window_id: int) -> WindowCounts | None:
        """Fix a window's totals permanently; None if not yet possible.

        The record is created once. Every report of the window, also after a
        change of holder, uses its totals, so that no two reports of one
        window differ. It has no lease: if it expired, the next holder would
        fix other totals and report the window again.
        """
        own_text = self._closed.get(window_id)
        if own_text is not None:
            return self._fix_totals(window_id, own_text)
        totals = self._sum_window(window_id)
        if totals is None:
            return None
        if self._may_be_reported(window_id):
            return self._read_closed(window_id)
        counts = WindowCounts(window_id, totals)
        return self._fix_totals(window_id, record_to_json(counts))

    def _may_be_reported(self, window_id: int) -> bool:
        """Whether another holder may have reported it without a record left."""
        now_s = clock_s()
        age_s = self._knowledge.usage.age_s(window_id, now_s)
        return self._lost.may_include(now_s - age_s)

    def _read_closed(self, window_id: int) -> WindowCounts | None:
        """Return the totals that are stored; None if there is no record.

        A missing report costs less than a second one with other totals.
        """
        key = f'{REPORTS_PREFIX}{window_id}'
        item = self._store.perform(StoreGet(OperationId('report'), key))
        if isinstance(item, StoreItem) and item.value:
            self._closed[window_id] = item.value
            return self._parse_closed(window_id, item.value)
        if window_id not in self._left:
            self._left.add(window_id)
            self._log.decide(
                'usage.left',
                str(window_id),
                outcome='no report without a record',
                cause='the store may have lost that of an earlier report',
            )
        return None

    def _sum_window(self, window_id: int) -> tuple[tuple[str, int], ...] | None:
        """Sum the counts that all nodes have saved; None if there are none."""
        listing = self._store.perform(
            StoreList(OperationId('counts'), f'{COUNTS_PREFIX}{window_id}/')
        )
        if not isinstance(listing, StoreListing):
            self._log_open(window_id, 'the counts cannot be read')
            return None
        totals = sum_counts(
            record
            for item in listing.items
            if (record := _read_record(item)) is not None
        )
        if not totals:
            self._log_open(window_id, 'nothing was counted')
            return None
        return totals

    def _fix_totals(self, window_id: int, text: str) -> WindowCounts | None:
        """Create a window's record, or take over the one that exists."""
        answer = self._create_record(window_id, text)
        if isinstance(answer, StoreConflict) and answer.present.value:
            text = answer.present.value
        elif not isinstance(answer, StoreWritten):
            self._log_open(window_id, 'the record cannot be written')
            return None
        elif self._is_uncertain(window_id):
            # The store came back just before the write.
            self._remove_record(window_id, answer.revision)
            return None
        if self._closed.setdefault(window_id, text) != text:
            self._log_open(window_id, 'another record than the one of before')
            return None
        return self._parse_closed(window_id, text)

    def _parse_closed(self, window_id: int, text: str) -> WindowCounts | None:
        """Parse a window's record; None if its format is unknown."""
        try:
            return record_from_json(text, WindowCounts)
        except CodecError as error:
            self._log_open(window_id, str(error))
            return None

    def _is_uncertain(self, window_id: int) -> bool:
        is_own = window_id in self._closed
        return not is_own and self._may_be_reported(window_id)

    def _remove_record(self, window_id: int, revision: int) -> None:
        key = f'{REPORTS_PREFIX}{window_id}'
        self._store.perform(StoreDelete(OperationId('report'), key, revision))

    def _create_record(self, window_id: int, text: str) -> StoreResult:
        key = f'{REPORTS_PREFIX}{window_id}'
        return self._store.perform(
            StorePut(OperationId('report'), key, text, 0)
        )

    def _remove_old_reports(self, oldest: int) -> None:
        """Remove the totals of windows that are no longer reported."""
        listing = self._store.perform(
            StoreList(OperationId('reports'), REPORTS_PREFIX, allow_stale=True)
        )
        if not isinstance(listing, StoreListing):
            return
        for item in listing.items[:MAX_REPORTS_REMOVED]:
            name = item.key.removeprefix(REPORTS_PREFIX)
            window_id = parse_whole_number(name)
            if window_id is not None and window_id < oldest:
                self._remove_record(window_id, item.revision)

    def _log_open(self, window_id: int, cause: str) -> None:
        self._log.decide(
            'usage.open', str(window_id), outcome='tried again', cause=cause
        )


def _read_record(item: StoreItem) -> WindowRecord | None:
    """Parse a saved record; None if its format is unknown."""
    try:
        return record_from_json(item.value or '', WindowRecord)
    except CodecError:
        # Written by another version: its counts are missing from the report,
        # which then shows too few calls.
        return None
