"""Which calls count as having crashed the targets that ran them."""

from random import Random

import attrs
import eventlet
import testtools

from dandelionyoke_core import (
    LeaseGranted,
    LeaseId,
    Metrics,
    StoreFailed,
    StoreItem,
    StoreList,
    StoreListing,
    StorePut,
    StoreWatch,
    StoreWritten,
)
from dandelionyoke_dispatch import (
    AliveSpan,
    CrashKeys,
    CrashVerdict,
    Phase,
    RegisteredTarget,
)
from dandelionyoke_dispatch._unanswered_calls import KEPT_S
from dandelionyoke_gateway import EngineReport, clock_s
from dandelionyoke_gateway._crash_task import MAX_REPORT_DELAY_S, CrashTask
from dandelionyoke_gateway._knowledge import Knowledge, new_knowledge
from dandelionyoke_gateway._log import DecisionLog
from dandelionyoke_gateway._ports import TargetIdentity
from dandelionyoke_gateway._target_probe import PROBE_TIMEOUT_S
from tests.gateway.settings import new_settings
from tests.platform.node_harness import LogLines

CALL = CrashKeys('a-fingerprint', ('a-part',))
# Nothing listens on this port.
CLOSED_ADDRESS = '127.0.0.1:1'
# Leaves a third of the time in which nodes must agree to the other nodes.
WRITTEN_AFTER_S = 2.0


class NoStore:
    """A store that takes every write, unless it is away."""

    def __init__(self) -> None:
        self.items: list[StoreItem] = []
        self.is_away = False
        self.watches = 0

    def perform(
        self, action: object
    ) -> StoreWritten | LeaseGranted | StoreListing | StoreFailed:
        if self.is_away:
            return StoreFailed('away', may_have_been_applied=False)
        if isinstance(action, StoreWatch):
            self.watches += 1
            eventlet.sleep(action.wait_s)
        if isinstance(action, StoreList | StoreWatch):
            return StoreListing(1, tuple(self.items))
        if isinstance(action, StorePut):
            self.items.append(StoreItem(action.key, 1, action.value))
            return StoreWritten('', 1)
        return LeaseGranted(LeaseId('1'), 60.0)


class Engines:
    """Engines that say which start they are, if any."""

    def __init__(self) -> None:
        self.started_ms: int | None = None
        self.is_silent = False
        self.read_count = 0
        self.identity = TargetIdentity.UNKNOWN

    def identify(self, target: RegisteredTarget) -> TargetIdentity:
        return self.identity

    def read_report(self, target: RegisteredTarget) -> EngineReport | None:
        self.read_count += 1
        if self.is_silent:
            return None
        return EngineReport(Phase.DECODE, 0, False, self.started_ms)


def is_refused_by(knowledge: Knowledge) -> bool:
    verdict = knowledge.crashes.admit(CALL, clock_s(), lambda key: True)
    return verdict != CrashVerdict()


class CrashTaskTestCase(testtools.TestCase):
    # The start that the registry lists.
    started_ms: int | None = None

    def setUp(self) -> None:
        super().setUp()
        self.knowledge = new_knowledge(new_settings(), Random(3))
        self.lines = LogLines()
        log = DecisionLog(self.lines, 'n-1', Metrics())
        self.addCleanup(log.close)
        self.store = NoStore()
        self.engines = Engines()
        self.task = CrashTask(self.knowledge, self.store, self.engines, log)

    def list_targets(self, *addresses: str) -> None:
        self.knowledge.registry.replace(
            [
                RegisteredTarget(
                    f'i-{number}',
                    'lm',
                    address,
                    'a',
                    8,
                    False,
                    started_ms=self.started_ms,
                )
                for number, address in enumerate(addresses)
            ],
            clock_s(),
        )

    def break_off_everywhere(self, count: int) -> None:
        """Let a call be broken off by targets that accept no connection."""
        for number in range(count):
            target = RegisteredTarget(
                f'i-{number}',
                'lm',
                CLOSED_ADDRESS,
                'a',
                8,
                False,
                started_ms=self.started_ms,
            )
            self.task.broke_off(target, CALL.all)
        eventlet.sleep(2 * PROBE_TIMEOUT_S)

    def is_refused(self) -> bool:
        return is_refused_by(self.knowledge)

    def crash_three_targets(self) -> None:
        listener = eventlet.listen(('127.0.0.1', 0))
        self.addCleanup(listener.close)
        host, port = listener.getsockname()
        self.list_targets(*[CLOSED_ADDRESS] * 3, f'{host}:{port}')
        self.break_off_everywhere(3)


class CrashTaskTest(CrashTaskTestCase):
    def test_a_call_that_crashed_three_targets_is_refused(self) -> None:
        self.crash_three_targets()
        self.assertTrue(self.is_refused())

    def test_another_node_refuses_it_by_the_records_of_the_store(self) -> None:
        """Guards against each node that loses engines of its own first."""
        self.crash_three_targets()
        # One for each crash, whatever the number of calls.
        self.assertEqual(3, len(self.store.items))
        other = new_knowledge(new_settings('n-2'), Random(4))
        log = DecisionLog(LogLines(), 'n-2', Metrics())
        self.addCleanup(log.close)
        task = CrashTask(other, NoStore(), Engines(), log)
        task._take_records(StoreListing(1, tuple(self.store.items)))
        self.assertTrue(is_refused_by(other))

    def test_another_node_refuses_it_by_the_news(self) -> None:
        """Guards against a node of the domain that does not ask the store."""
        self.crash_three_targets()
        other = new_knowledge(new_settings('n-2'), Random(4))
        for report in self.knowledge.crashes_since(None):
            other.take_crash(report)
        self.assertTrue(is_refused_by(other))
        mark = self.knowledge.crash_mark
        self.assertEqual((), self.knowledge.crashes_since(mark))
        self.assertEqual(3, len(self.knowledge.crashes_since('n-9.x:7')))

    def test_reports_are_written_once_the_store_is_back(self) -> None:
        """Guards against crashes that other nodes never hear of."""
        self.store.is_away = True
        self.crash_three_targets()
        self.assertEqual([], self.store.items)
        self.store.is_away = False
        eventlet.sleep(WRITTEN_AFTER_S)
        self.assertEqual(3, len(self.store.items))

    def test_reports_that_the_store_has_lost_are_written_again(self) -> None:
        """Guards against crashes that only nodes that run already know of."""
        self.crash_three_targets()
        self.store.items.clear()
        self.task.store_replaced()
        eventlet.sleep(0)
        self.assertEqual(3, len(self.store.items))

    def test_a_watch_ends_when_the_store_was_replaced(self) -> None:
        """Guards against a node that hears of no crash for a whole watch."""
        runner = eventlet.spawn(self.task.run)
        self.addCleanup(runner.kill)
        eventlet.sleep(0.1)
        self.assertEqual(1, self.store.watches)
        self.task.store_replaced()
        eventlet.sleep(0.1)
        self.assertEqual(2, self.store.watches)

    def test_a_crash_beside_other_crashes_is_reported(self) -> None:
        """Guards against a crash that is taken for a cut, as most are down."""
        listener = eventlet.listen(('127.0.0.1', 0))
        self.addCleanup(listener.close)
        host, port = listener.getsockname()
        self.list_targets(*[CLOSED_ADDRESS] * 9, f'{host}:{port}')
        self.break_off_everywhere(3)
        self.assertTrue(self.is_refused())

    def test_the_crash_of_a_single_target_is_reported(self) -> None:
        """Guards against a service of one target that may crash for ever."""
        listener = eventlet.listen(('127.0.0.1', 0))
        self.addCleanup(listener.close)
        host, port = listener.getsockname()
        self.list_targets(CLOSED_ADDRESS)
        other = RegisteredTarget(
            'i-9', 'other', f'{host}:{port}', 'a', 8, False
        )
        self.knowledge.listing.replace([other], clock_s())
        for started_ms in range(3):
            target = RegisteredTarget(
                'i-0',
                'lm',
                CLOSED_ADDRESS,
                'a',
                8,
                False,
                started_ms=started_ms,
            )
            self.task.broke_off(target, CALL.all)
            eventlet.sleep(PROBE_TIMEOUT_S)
        self.assertTrue(self.is_refused())

    def test_a_record_that_is_no_report_is_left_out(self) -> None:
        """Guards against a record of another program that ends the task."""
        for text in ('', '{}', '[', '{"target": 1}'):
            item = StoreItem('crashes/x', 1, text)
            self.task._take_records(StoreListing(1, (item,)))
        self.assertEqual(0, self.knowledge.crashes.report_count)

    def test_an_answer_of_a_target_is_told_to_all_nodes(self) -> None:
        """Guards against a path that is cut and taken for crashes."""
        opened_s = clock_s() - 10
        self.crash_three_targets()
        target = self.knowledge.registry.find('i-1')
        span = AliveSpan(opened_s, clock_s())
        self.task.answered(target, CrashKeys('another'), span)
        self.assertFalse(self.is_refused())
        eventlet.sleep(0)
        self.assertEqual(4, len(self.store.items))
        self.assertEqual(0, self.engines.read_count)

    def test_an_answer_to_a_trial_is_told_to_all_nodes(self) -> None:
        """Guards against a part that stays refused at all nodes but one."""
        self.crash_three_targets()
        target = RegisteredTarget('i-9', 'lm', CLOSED_ADDRESS, 'a', 8, False)
        span = AliveSpan(clock_s() - 1, clock_s())
        self.task.answered(target, CALL, span)
        self.assertFalse(self.is_refused())
        eventlet.sleep(0)
        self.assertEqual(4, len(self.store.items))

    def test_a_cut_that_breaks_calls_off_blames_none_of_them(self) -> None:
        """Guards against calls refused everywhere for one node's partition."""
        self.list_targets(*[CLOSED_ADDRESS] * 4)
        self.break_off_everywhere(3)
        self.assertFalse(self.is_refused())


class RestartedTargetTest(CrashTaskTestCase):
    """Targets that start again under their ids before they are listed."""

    started_ms = 17

    def answer_on_new_connection(self) -> None:
        """Let each target answer on a connection from after its crash."""
        for number in range(3):
            target = self.knowledge.registry.find(f'i-{number}')
            opened_s = clock_s()
            eventlet.sleep(0.01)
            span = AliveSpan(opened_s, clock_s())
            self.task.answered(target, CrashKeys('another'), span)
        eventlet.sleep(0.01)

    def test_an_answer_of_a_new_start_takes_no_crash_back(self) -> None:
        """Guards against a crashing call that is sent on after restarts."""
        self.crash_three_targets()
        self.engines.started_ms = 18
        self.answer_on_new_connection()
        self.assertTrue(self.is_refused())
        self.assertEqual(3, len(self.store.items))

    def test_an_answer_takes_no_later_report_back(self) -> None:
        """Guards against a new start that is heard before the old one's crash."""
        self.crash_three_targets()
        other = new_knowledge(new_settings('n-2'), Random(4))
        log = DecisionLog(LogLines(), 'n-2', Metrics())
        self.addCleanup(log.close)
        task = CrashTask(other, NoStore(), Engines(), log)
        for target in self.knowledge.registry.of_service('lm'):
            span = AliveSpan(clock_s(), clock_s() + 0.01)
            task.answered(target, CrashKeys('another'), span)
        task._take_records(StoreListing(1, tuple(self.store.items)))
        self.assertTrue(is_refused_by(other))

    def test_a_target_that_says_it_is_the_same_start_is_told(self) -> None:
        """Guards against a cut path on which all connections are new."""
        self.crash_three_targets()
        self.engines.started_ms = 17
        self.answer_on_new_connection()
        self.assertFalse(self.is_refused())
        other = new_knowledge(new_settings('n-2'), Random(4))
        for report in self.knowledge.crashes_since(None):
            other.take_crash(report)
        self.assertFalse(is_refused_by(other))

    def test_without_a_report_the_crash_stands(self) -> None:
        """Guards against trust in the id of a target that says no start."""
        self.crash_three_targets()
        self.engines.is_silent = True
        self.answer_on_new_connection()
        self.assertTrue(self.is_refused())

    def test_a_target_is_asked_once_a_second(self) -> None:
        """Guards against a report for each call of a target that restarted."""
        self.crash_three_targets()
        self.engines.started_ms = 18
        for _ in range(20):
            self.answer_on_new_connection()
        self.assertLessEqual(self.engines.read_count, 6)

    def test_what_is_told_is_as_certain_as_what_is_known(self) -> None:
        """Guards against nodes that take back more than the one that tells."""
        self.crash_three_targets()
        target = self.knowledge.registry.find('i-1')
        # A new start of it, whose path is cut and heals.
        opened_s = clock_s() - MAX_REPORT_DELAY_S
        self.task._publish('i-1.17', ('another',))
        eventlet.sleep(0.01)
        self.task.answered(
            target, CrashKeys('third'), AliveSpan(opened_s, clock_s())
        )
        self.assertIn('"target.alive"', self.lines.text)
        other = new_knowledge(new_settings('n-2'), Random(4))
        for report in self.knowledge.crashes_since(None):
            other.take_crash(report)
        self.assertTrue(self.is_refused())
        self.assertTrue(is_refused_by(other))


class SilentTargetTest(CrashTaskTestCase):
    """Targets that fall silent under a call, and whose addresses accept."""

    started_ms = 17

    def setUp(self) -> None:
        super().setUp()
        self.listener = eventlet.listen(('127.0.0.1', 0))
        self.addCleanup(self.listener.close)
        host, port = self.listener.getsockname()
        self.address = f'{host}:{port}'
        self.list_targets(*[self.address] * 4)
        self.targets = self.knowledge.registry.of_service('lm')[:3]
        # One at a time: they share an address.
        self.knowledge.registry.replace(self.targets, clock_s())

    def break_off(self) -> None:
        for target in self.targets:
            self.task.broke_off(target, CALL.all)
        eventlet.sleep(PROBE_TIMEOUT_S)

    def give_up(self) -> None:
        for target in self.targets:
            self.task.gave_up(target, CALL.all)

    def list_now(self, *targets: RegisteredTarget) -> None:
        """Apply a listing, and let the task judge by it."""
        self.knowledge.listing.replace(targets, clock_s())
        self.knowledge.registry.replace(targets, clock_s())
        self.knowledge.listed.notify()
        eventlet.sleep(2 * PROBE_TIMEOUT_S)

    def new_starts(self) -> list[RegisteredTarget]:
        return [
            attrs.evolve(target, target_id=f'new-{number}', started_ms=18)
            for number, target in enumerate(self.targets)
        ]

    def test_a_reset_by_another_start_is_a_crash(self) -> None:
        """Guards against an engine that is back as its calls break off."""
        self.engines.identity = TargetIdentity.OTHER
        self.break_off()
        self.assertTrue(self.is_refused())
        self.assertEqual(3, len(self.store.items))

    def test_a_reset_by_the_same_start_is_none(self) -> None:
        """Guards against connections that are reset by a sound target."""
        self.engines.identity = TargetIdentity.SAME
        self.break_off()
        self.list_now(*self.targets)
        self.assertFalse(self.is_refused())

    def test_a_reset_is_judged_by_the_next_listing(self) -> None:
        """Guards against targets that do not say who they are."""
        self.break_off()
        self.assertFalse(self.is_refused())
        self.list_now(*self.new_starts())
        self.assertTrue(self.is_refused())

    def test_a_silence_is_no_crash(self) -> None:
        """Guards against targets that only hang."""
        self.give_up()
        self.list_now(*self.targets)
        self.assertFalse(self.is_refused())

    def test_a_silence_counts_as_another_start_is_listed(self) -> None:
        """Guards against calls that end before their target does."""
        self.give_up()
        self.list_now(*self.new_starts())
        self.assertTrue(self.is_refused())
        self.assertEqual(3, len(self.store.items))

    def test_a_silence_counts_as_its_target_is_gone(self) -> None:
        """Guards against targets that are not back at all."""
        self.targets = [
            attrs.evolve(target, address=CLOSED_ADDRESS)
            for target in self.targets
        ]
        self.give_up()
        other = attrs.evolve(self.targets[0], target_id='i-9')
        self.list_now(attrs.evolve(other, address=self.address))
        self.assertTrue(self.is_refused())

    def test_an_entry_alone_that_is_gone_shows_no_end(self) -> None:
        """Guards against entries that expire while the store is away."""
        self.give_up()
        self.list_now()
        self.assertFalse(self.is_refused())

    def test_a_target_that_answered_since_is_not_blamed_on_the_call(
        self,
    ) -> None:
        """Guards against a crash of after the call."""
        self.give_up()
        for target in self.targets:
            span = AliveSpan(clock_s(), clock_s())
            self.task.answered(target, CrashKeys('another'), span)
        self.list_now(*self.new_starts())
        self.assertFalse(self.is_refused())

    def test_a_planned_end_is_no_crash(self) -> None:
        """Guards against hanging calls that outlast their target."""
        self.give_up()
        leaving = [
            attrs.evolve(target, is_leaving=True) for target in self.targets
        ]
        self.list_now(*leaving)
        self.list_now(*self.new_starts())
        self.assertFalse(self.is_refused())

    def test_an_end_long_after_the_call_does_not_count(self) -> None:
        """Guards against keys that are kept until some crash comes."""
        self.give_up()
        self.task._unanswered.expire(clock_s() + KEPT_S + 1)
        self.list_now(*self.new_starts())
        self.assertFalse(self.is_refused())

    def test_another_target_at_the_address_shows_the_end(self) -> None:
        """Guards against a wait for the listing where an answer shows it."""
        self.give_up()
        for target in self.targets:
            self.task.replaced(target)
        self.assertTrue(self.is_refused())

    def test_a_silence_that_is_over_ends_its_watch(self) -> None:
        """Guards against a thread that stays, or never comes back."""
        self.give_up()
        self.list_now(*self.new_starts())
        eventlet.sleep(0)
        self.assertFalse(self.task._is_watching)
        self.task.gave_up(self.targets[0], CALL.all)
        self.assertTrue(self.task._is_watching)
