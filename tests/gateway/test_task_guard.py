"""Tasks of a process that an error ends."""

from random import Random
from unittest import mock

import eventlet
import testtools

from dandelionyoke_core import Metrics
from dandelionyoke_dispatch import FleetConfiguration
from dandelionyoke_gateway import _knowledge, clock_s
from dandelionyoke_gateway._knowledge import Knowledge, new_knowledge
from dandelionyoke_gateway._log import DecisionLog
from dandelionyoke_gateway._store_watch_tasks import new_store_watch
from dandelionyoke_gateway._task_guard import TaskGuard
from dandelionyoke_platform._dialect import PlatformDialect
from tests.gateway.settings import new_settings
from tests.platform.node_harness import LogLines
from tests.platform.program import wait_for
from tests.platform.test_foreign_entries import ENTRY_TEXT, OneListing

TARGET_KEY = 'servers/i-1'


class GuardTestCase(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.lines, self.metrics = LogLines(), Metrics()
        self.log = DecisionLog(self.lines, 'n-1', self.metrics)
        self.addCleanup(self.log.close)
        self.guard = TaskGuard(self.log, Random(1))


class TaskGuardTest(GuardTestCase):
    has_ended = False

    def test_a_task_that_fails_is_started_again(self) -> None:
        """Guards against a task that one error ends for good."""
        starts: list[float] = []

        def run() -> None:
            starts.append(clock_s())
            if len(starts) < 3:
                raise RuntimeError('an entry that nobody foresaw')

        self.guard.start('registry', run)
        wait_for(lambda: len(starts) == 3, 'the third start')
        self.assertEqual(2, self.lines.text.count('"task.failed"'))
        self.assertIn('an entry that nobody foresaw', self.lines.text)
        self.assertIn('task_failures', self.metrics.text().decode())
        eventlet.sleep(0.3)
        self.assertEqual(3, len(starts))

    def test_a_task_that_fails_always_waits_before_each_start(self) -> None:
        """Guards against a process that does nothing but start a task."""
        starts: list[float] = []

        def run() -> None:
            starts.append(clock_s())
            if not self.has_ended:
                raise RuntimeError('always')

        self.guard.start('registry', run)
        eventlet.sleep(0.5)
        self.has_ended = True
        self.assertLess(len(starts), 10)


class FollowedTargetsTest(GuardTestCase):
    """The task that follows the targets, started by the guard."""

    def setUp(self) -> None:
        super().setUp()
        self.knowledge: Knowledge = new_knowledge(new_settings(), Random(3))
        self.dialect = PlatformDialect()
        store = OneListing({TARGET_KEY: ENTRY_TEXT})
        watch = new_store_watch(self.knowledge, self.dialect, store, self.log)
        self.targets, self.task = watch.targets, watch.registry_task

    def listed(self) -> list[str]:
        targets = self.knowledge.registry.of_service('lm')
        return [target.target_id for target in targets]

    def test_a_listing_is_read_again_after_an_error(self) -> None:
        """Guards against changes that are read, lost and never listed again."""
        replace = self.targets.replace
        errors = iter([RuntimeError('while applying')])

        def fail_once(*arguments: object) -> None:
            for error in errors:
                raise error
            replace(*arguments)

        with mock.patch.object(self.targets, 'replace', fail_once):
            self.guard.start('registry', self.task.run)
            wait_for(self.listed, 'the listing after the error')
        self.assertIn('"task.failed"', self.lines.text)

    def test_an_entry_that_fails_leaves_out_itself(self) -> None:
        """Guards against a page that one entry spoils at all nodes."""
        read = self.dialect.read_target

        def fail_for_one(key: str, text: str) -> object:
            if key.endswith('note'):
                raise RuntimeError('an entry that nobody foresaw')
            return read(key, text)

        self.task._watcher._store.items['servers/note'] = 'x'
        with mock.patch.object(self.dialect, 'read_target', fail_for_one):
            self.task._poll_store()
        self.assertEqual(['i-1'], self.listed())
        self.assertIn('"entry.failed"', self.lines.text)

    def test_a_node_that_follows_no_targets_is_not_ready(self) -> None:
        """Guards against callers sent to a node that knows old targets."""
        knowledge = self.knowledge
        knowledge.configuration = FleetConfiguration(1, (), {})
        knowledge.freshness.confirm(clock_s())
        self.task._poll_store()
        self.assertTrue(knowledge.is_ready)
        knowledge.listing._confirmed_s = clock_s() - 5
        self.assertTrue(knowledge.freshness.may_accept_keys(clock_s()))
        # A standstill of this process would not count.
        with mock.patch.object(_knowledge, 'stalled_s', return_value=0.0):
            self.assertFalse(knowledge.is_ready)
