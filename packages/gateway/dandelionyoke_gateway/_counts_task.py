"""Saves the usage counts of this process, so that they outlive it."""

from eventlet import sleep
from eventlet.semaphore import Semaphore

from dandelionyoke_core import StoreConflict, StoreWritten, record_to_json
from dandelionyoke_dispatch import ProcessCounts, WindowRecord
from dandelionyoke_gateway._clock import clock_s
from dandelionyoke_gateway._knowledge import Knowledge
from dandelionyoke_gateway._leased_records import LeasedRecords
from dandelionyoke_gateway._ports import Store

COUNTS_PREFIX = 'counts/'
# Counts are needed until their window is reported, which is due within
# seconds. Their leases remove them a few windows later.
RECORDS_TTL_S = 60.0

# Counts that a killed process has not saved are missing from the report, but
# each save has a cost. A busy node, with a large part of all counts, saves
# every second; one with fewer than MIN_CALLS_TO_SAVE new calls saves less
# often.
SAVE_INTERVAL_S = 1.0
MIN_CALLS_TO_SAVE = 4
MAX_SAVE_INTERVAL_S = 2.0
# Another node takes this one's counts if it answered within this time.
NEWS_FRESH_S = 1.5
KEPT_REVISION_WINDOWS = 8


class CountsTask:
    """Saves this process's counts to the store, so that they outlive it."""

    def __init__(self, knowledge: Knowledge, store: Store) -> None:
        self._knowledge = knowledge
        self._records = LeasedRecords(store, RECORDS_TTL_S)
        self._process_name = knowledge.process_name
        self._revisions: dict[int, int] = {}
        self._saved_s = 0.0
        self._must_save = False
        self._save_lock = Semaphore()

    def run(self) -> None:
        """Save until the process exits."""
        random = self._knowledge.random
        while True:
            sleep(SAVE_INTERVAL_S * random.uniform(0.8, 1))
            if self._is_due():
                self.save()

    def finish(self) -> None:
        """Save all counts on shutdown, including those handed over."""
        self._knowledge.counts_sender.requeue_all()
        self.save()

    def store_replaced(self) -> None:
        """Save again what the store may have lost, under a new lease."""
        self._records.forget_lease()
        self._revisions.clear()
        self._knowledge.usage.requeue_all()
        self._knowledge.counts_receiver.requeue_all()
        self._must_save = True

    def _is_due(self) -> bool:
        knowledge, now_s = self._knowledge, clock_s()
        if knowledge.counts_sender.requeue_overdue(now_s) or self._must_save:
            return True
        since_save_s = now_s - self._saved_s
        if knowledge.counts_receiver.has_unsaved:
            return True
        if now_s - knowledge.news_received_s < NEWS_FRESH_S:
            # The node that answers news requests takes the counts too.
            return False
        has_enough = knowledge.usage.unsaved >= MIN_CALLS_TO_SAVE
        return has_enough or since_save_s >= MAX_SAVE_INTERVAL_S

    def save(self) -> None:
        """Save the windows that changed since the last save.

        A save that is in progress ends first. Two of the same window would
        expect the same revision, and the second one would fail.
        """
        with self._save_lock:
            self._save_changed()

    def _save_changed(self) -> None:
        usage, receiver = self._knowledge.usage, self._knowledge.counts_receiver
        self._saved_s = clock_s()
        self._must_save = False
        received = receiver.received()
        own = {window.window_id: window for window in usage.take_changed()}
        others = receiver.take_changed()
        failed = [
            window_id
            for window_id in sorted({*own, *others})
            if not self._save_window(window_id)
        ]
        for window_id in failed:
            usage.requeue(window_id)
        receiver.requeue(failed)
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
                # The answer to an earlier save was lost; no other process
                # writes this key.
                self._revisions[window_id] = present.revision
        return False
