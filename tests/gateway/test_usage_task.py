"""Tests of the reports of usage windows around a return of the store."""

from collections.abc import Callable
from random import Random

import attrs
import testtools

from dandelionyoke_core import (
    Action,
    EraStore,
    Metrics,
    StoreConflict,
    StoreDelete,
    StoreEra,
    StoreGet,
    StoreItem,
    StoreList,
    StoreListing,
    StorePut,
    StoreResult,
    StoreWritten,
    record_to_json,
)
from dandelionyoke_dispatch import (
    ProcessCounts,
    WindowCounts,
    WindowRecord,
)
from dandelionyoke_gateway import DutyCallResult, FencingStamp, clock_s
from dandelionyoke_gateway._knowledge import new_knowledge
from dandelionyoke_gateway._log import DecisionLog
from dandelionyoke_gateway._lost_reports import SettledEra
from dandelionyoke_gateway._usage_task import CLOSE_DELAY_S, UsageTask
from tests.gateway.settings import new_settings

WINDOW_S = 5.0
# Windows are due from 4.5 s to 9.5 s after their end.
AGE_S = 6.0
FULL, PARTIAL = 9, 4


class CopiedStore:
    """A store in memory that may come back from a copy."""

    def __init__(self) -> None:
        self.era = StoreEra()
        self.number = 1
        self.items: dict[str, StoreItem] = {}
        self.era_text: str | None = '1'
        self.before_write: Callable[[], None] | None = None

    def put(self, key: str, text: str) -> None:
        self.number += 1
        self.items[key] = StoreItem(key, self.number, text)

    def come_back(self, items: dict[str, StoreItem]) -> None:
        self.items = dict(items)
        self.era_text = str(int(self.era_text or '0') + 1)

    def perform(self, action: Action) -> StoreResult:
        match action:
            case StoreGet(key=key):
                return self.items.get(key, StoreItem(key, 0, None))
            case StoreList(prefix=prefix):
                found = [
                    item
                    for key, item in sorted(self.items.items())
                    if key.startswith(prefix)
                ]
                return StoreListing(self.number, tuple(found))
            case StorePut(key=key, value=text):
                if self.before_write is not None:
                    self.before_write()
                    self.before_write = None
                present = self.items.get(key, StoreItem(key, 0, None))
                if present.revision != action.expected_revision:
                    return StoreConflict(present)
                self.put(key, text)
                return StoreWritten(key, self.number)
            case StoreDelete(key=key):
                self.items.pop(key, None)
                return StoreWritten(key, self.number)
        raise AssertionError(action)


@attrs.define
class Duty:
    """The duty, as its task shows it."""

    stamp: FencingStamp | None = None


class Reports:
    """A platform that accepts each report."""

    def __init__(self) -> None:
        self.counts: list[WindowCounts] = []

    def report_usage(
        self, counts: WindowCounts, stamp: FencingStamp
    ) -> DutyCallResult:
        self.counts.append(counts)
        return DutyCallResult.answered('', 0.0)


class Sink:
    def write_line(self, line: bytes) -> None:
        """Drop the line."""


class Process:
    """The usage task of a process, and what it needs."""

    def __init__(self, case: testtools.TestCase, store: CopiedStore) -> None:
        self.knowledge = new_knowledge(new_settings(), Random(1))
        self.duty, self.reports = Duty(), Reports()
        log = DecisionLog(Sink(), 'n-1', Metrics())
        case.addCleanup(log.close)
        self.era = StoreEra()
        self.store = EraStore(self.era, lambda: store)
        self.task = UsageTask(
            self.knowledge, self.store, self.duty, self.reports, log
        )
        self.era.listen(self)

    def era_began(self, era: int) -> None:
        self.task.store_replaced()

    def era_unreadable(self, text: str) -> None:
        raise AssertionError(text)

    def hold(self, fence: int) -> None:
        self.duty.stamp = FencingStamp('n-1', fence, clock_s() + 60)

    def contact_store(self) -> None:
        self.task.begin()

    def report(self) -> list[int]:
        """Report what is due; return the totals that were reported so far."""
        self.task.report_due()
        return [dict(found.counts)['acme'] for found in self.reports.counts]


class LostRecordTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.store = CopiedStore()
        self.process = Process(self, self.store)
        usage = self.process.knowledge.usage
        self.window_id = usage.window_at(clock_s() - WINDOW_S)
        # The present time, moved so that the last window is due.
        age_s = usage.age_s(self.window_id, clock_s())
        self.shift_clock(AGE_S - age_s)
        self.count(PARTIAL)
        self.copy = dict(self.store.items)
        self.count(FULL)

    def shift_clock(self, by_s: float) -> None:
        """Let the windows end earlier than they do."""
        usage = self.process.knowledge.usage
        clock = usage._clock
        usage._clock = attrs.evolve(clock, offset_s=clock.offset_s + by_s)

    def count(self, number: int) -> None:
        """Save counts of the window."""
        parts = (ProcessCounts('n-1.x', (('acme', number),)),)
        record = WindowRecord(self.window_id, parts)
        key = f'counts/{self.window_id}/n-1.x'
        self.store.put(key, record_to_json(record))

    def restart(self) -> Process:
        """Start another process, whose clock shows the same time."""
        usage = self.process.knowledge.usage
        self.process = Process(self, self.store)
        self.process.knowledge.usage._clock = usage._clock
        return self.process

    def settle(self) -> None:
        settled = record_to_json(SettledEra(int(self.store.era_text or '0')))
        self.store.put('eras/settled', settled)

    def test_a_started_holder_leaves_a_window_of_a_lost_record(self) -> None:
        """Guards against a second report after the first one's record is lost."""
        self.settle()
        self.process.contact_store()
        self.process.hold(7)
        self.assertEqual([FULL], self.process.report())
        self.store.come_back(self.copy)
        self.restart().contact_store()
        self.process.hold(8)
        self.assertEqual([], self.process.report())

    def test_another_holder_leaves_a_window_of_a_lost_record(self) -> None:
        """Guards against a second report by a node that saw the return."""
        self.settle()
        self.process.contact_store()
        self.store.come_back(self.copy)
        self.process.hold(8)
        self.assertEqual([], self.process.report())

    def test_a_return_just_before_the_record_is_created(self) -> None:
        """Guards against totals that are created in the era after the check."""
        self.settle()
        self.process.contact_store()
        self.process.hold(8)
        self.store.before_write = lambda: self.store.come_back(self.copy)
        self.assertEqual([], self.process.report())
        self.assertNotIn(f'reports/{self.window_id}', self.store.items)

    def test_the_settled_era_is_lost_with_the_record(self) -> None:
        """Guards against a settled era of the copy that is taken for this one."""
        self.settle()
        self.store.come_back(self.store.items)
        self.process.contact_store()
        self.process.hold(8)
        self.assertEqual([], self.process.report())

    def test_a_started_holder_reports_in_a_settled_era(self) -> None:
        """Guards against windows that are left after each restart."""
        self.settle()
        self.process.contact_store()
        self.process.hold(7)
        self.assertEqual([FULL], self.process.report())

    def test_a_window_that_ends_after_a_start_is_reported(self) -> None:
        """Guards against calls right after a start that nobody reports."""
        self.process.contact_store()
        self.process.hold(7)
        lost = self.process.task._lost
        ended_s = clock_s() - AGE_S
        lost._known_from_s = ended_s + 0.2
        self.assertEqual([], self.process.report())
        lost._known_from_s = ended_s - 0.2
        self.assertEqual([FULL], self.process.report())

    def test_a_record_is_reported_again_unchanged(self) -> None:
        """Guards against a window that is left although its record is there."""
        self.process.contact_store()
        counts = WindowCounts(self.window_id, (('acme', FULL),))
        key = f'reports/{self.window_id}'
        self.store.put(key, record_to_json(counts))
        self.count(PARTIAL)
        self.process.hold(7)
        self.assertEqual([FULL], self.process.report())

    def test_an_unreadable_record_leaves_the_other_windows(self) -> None:
        """Guards against a record that ends the reports of all windows."""
        self.settle()
        self.process.contact_store()
        self.store.put(f'reports/{self.window_id}', '[' * 5000)
        self.process.hold(7)
        self.assertEqual([], self.process.report())
        self.store.items.pop(f'reports/{self.window_id}')
        self.process.task._closed.clear()
        self.assertEqual([FULL], self.process.report())

    def test_the_holder_itself_reports_what_it_has_not(self) -> None:
        """Guards against windows that are left at each return of the store."""
        self.settle()
        self.process.contact_store()
        self.process.hold(7)
        self.shift_clock(-(AGE_S - CLOSE_DELAY_S) - 1)
        self.assertEqual([], self.process.report())
        # It has held the duty since long before the window could be closed.
        self.process.task._lost._held_from_s -= 60
        self.store.come_back(self.store.items)
        self.shift_clock(AGE_S - CLOSE_DELAY_S + 1)
        self.assertEqual([FULL], self.process.report())

    def test_the_era_is_recorded_once_it_is_settled(self) -> None:
        """Guards against an era that never counts as settled."""
        self.process.contact_store()
        lost = self.process.task._lost
        lost.settle()
        self.assertNotIn('eras/settled', self.store.items)
        lost._era_seen_s -= 60
        lost.settle()
        text = self.store.items['eras/settled'].value
        self.assertEqual(record_to_json(SettledEra(1)), text)
