"""Counts of what began to run: saved by all, reported by the holder."""

from eventlet import sleep

from dandelionyoke_core import (
    CodecError,
    OperationId,
    StoreConflict,
    StoreDelete,
    StoreItem,
    StoreList,
    StoreListing,
    StorePut,
    StoreWritten,
    record_from_json,
    record_to_json,
)
from dandelionyoke_dispatch import (
    ProcessCounts,
    WindowCounts,
    WindowRecord,
    add_up,
)
from dandelionyoke_gateway._clock import clock_s
from dandelionyoke_gateway._duty_task import DutyTask
from dandelionyoke_gateway._knowledge import Knowledge
from dandelionyoke_gateway._leased_records import LeasedRecords
from dandelionyoke_gateway._log import DecisionLog
from dandelionyoke_gateway._ports import (
    DutyClient,
    Store,
)

COUNTS_PREFIX = 'counts/'
REPORTS_PREFIX = 'reports/'
# Counts are wanted until their window is reported, which is due within
# seconds; their leases remove them some windows later.
RECORDS_TTL_S = 60.0

# What a killed process has not saved is missing in the report, and each save
# has a price: a busy node, whose counts are a large part of the report, saves
# each second, one with less than SAVE_CALLS new ones later.
SAVE_INTERVAL_S = 1.0
MIN_CALLS_TO_SAVE = 4
MAX_SAVE_INTERVAL_S = 2.0
# Another node takes this one's counts if it answered within this time.
NEWS_FRESH_S = 1.5
# A window is closed this long after its end, when all have saved it twice.
CLOSE_DELAY_S = 4.5
REPORT_CHECK_INTERVAL_S = 0.5
KEPT_REVISION_WINDOWS = 8
# Windows are reported within seconds; older figures than this many windows
# are removed, a few after each report, those of earlier holders included.
KEPT_REPORT_WINDOWS = 12
MAX_REPORTS_REMOVED = 4
# A report has to arrive within the bound; this much is kept for its way.
LATE_MARGIN_S = 0.5


class CountsTask:
    """Saves this process's counts, so that they outlive it."""

    def __init__(self, knowledge: Knowledge, store: Store) -> None:
        self._knowledge = knowledge
        self._records = LeasedRecords(store, RECORDS_TTL_S)
        self._process_name = knowledge.process_name
        self._revisions: dict[int, int] = {}
        self._saved_s = 0.0

    def run(self) -> None:
        """Save for as long as the process lives."""
        random = self._knowledge.random
        while True:
            sleep(SAVE_INTERVAL_S * random.uniform(0.8, 1))
            if self._is_due():
                self.save()

    def finish(self) -> None:
        """Save all before the end, what others were to save included."""
        self._knowledge.counts_sender.take_all_back()
        self.save()

    def _is_due(self) -> bool:
        knowledge, now_s = self._knowledge, clock_s()
        if knowledge.counts_sender.take_back(now_s):
            return True
        since_save_s = now_s - self._saved_s
        if knowledge.counts_receiver.has_unsaved:
            return True
        if now_s - knowledge.news_received_s < NEWS_FRESH_S:
            # The node that is asked for news takes the counts as well.
            return False
        has_enough = knowledge.usage.unsaved >= MIN_CALLS_TO_SAVE
        return has_enough or since_save_s >= MAX_SAVE_INTERVAL_S

    def save(self) -> None:
        """Save what changed since the last time."""
        usage, receiver = self._knowledge.usage, self._knowledge.counts_receiver
        self._saved_s = clock_s()
        received = receiver.received()
        own = {window.window_id: window for window in usage.take_changed()}
        others = receiver.take_changed()
        failed = [
            window_id
            for window_id in sorted({*own, *others})
            if not self._save_window(window_id)
        ]
        for window_id in failed:
            usage.not_saved(window_id)
        receiver.not_saved(failed)
        if not failed:
            receiver.confirm(received)
        newest = usage.window_at(clock_s())
        for window_id in tuple(self._revisions):
            if window_id < newest - KEPT_REVISION_WINDOWS:
                self._revisions.pop(window_id)

    def _save_window(self, window_id: int) -> bool:
        key = f'{COUNTS_PREFIX}{window_id}/{self._process_name}'
        own = ProcessCounts(
            self._process_name, self._knowledge.usage.counts_of(window_id)
        )
        parts = (own, *self._knowledge.counts_receiver.parts(window_id))
        text = record_to_json(WindowRecord(window_id, parts))
        expected = self._revisions.get(window_id, 0)
        answer = self._records.write(key, text, expected)
        match answer:
            case StoreWritten(revision=revision):
                self._revisions[window_id] = revision
                return True
            case StoreConflict(present=present):
                # The answer to an earlier save was lost; nobody else writes
                # this key.
                self._revisions[window_id] = present.revision
        return False


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

    def run(self) -> None:
        """Look for windows to report for as long as the process lives."""
        while True:
            sleep(REPORT_CHECK_INTERVAL_S)
            if self._duty.stamp is not None:
                self._report_due()

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
            window_id for window_id in self._reported if window_id > newest - 20
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
        """Fix the figures of a window for good; None: not yet possible.

        The record is created once. Whoever reports the window, now or after
        a change of holder, reports what it says, so that no two reports of
        one window differ. It has no lease: were it gone with one, the next
        holder would fix other figures and report the window again.
        """
        listing = self._store.perform(
            StoreList(OperationId('counts'), f'{COUNTS_PREFIX}{window_id}/')
        )
        if not isinstance(listing, StoreListing):
            self._log_open(window_id, 'the counts cannot be read')
            return None
        totals = add_up(
            record
            for item in listing.items
            if (record := _read_record(item)) is not None
        )
        if not totals:
            self._log_open(window_id, 'nothing was counted')
            return None
        counts = WindowCounts(window_id, totals)
        text = record_to_json(counts)
        key = f'{REPORTS_PREFIX}{window_id}'
        answer = self._store.perform(
            StorePut(OperationId('report'), key, text, 0)
        )
        if isinstance(answer, StoreConflict) and answer.present.value:
            return record_from_json(answer.present.value, WindowCounts)
        if isinstance(answer, StoreWritten):
            return counts
        self._log_open(window_id, 'the record cannot be written')
        return None

    def _remove_old_reports(self, oldest: int) -> None:
        """Remove the figures of windows that nobody reports any more."""
        listing = self._store.perform(
            StoreList(OperationId('reports'), REPORTS_PREFIX, may_be_old=True)
        )
        if not isinstance(listing, StoreListing):
            return
        for item in listing.items[:MAX_REPORTS_REMOVED]:
            name = item.key.removeprefix(REPORTS_PREFIX)
            if name.isdigit() and int(name) < oldest:
                operation = OperationId('old report')
                self._store.perform(
                    StoreDelete(operation, item.key, item.revision)
                )

    def _log_open(self, window_id: int, cause: str) -> None:
        self._log.decide(
            'usage.open', str(window_id), outcome='tried again', cause=cause
        )


def _read_record(item: StoreItem) -> WindowRecord | None:
    """Read a saved record; None for one of another form."""
    try:
        return record_from_json(item.value or '', WindowRecord)
    except CodecError:
        # Another version's record: its counts are missing in the report,
        # which then shows fewer calls than there were.
        return None
