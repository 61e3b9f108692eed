"""Judgments of the store by a node that stands still."""

import time
from random import Random

import eventlet
import testtools

from dandelionyoke_core import (
    Action,
    Metrics,
    StoreListing,
    StoreResult,
    StoreWatch,
)
from dandelionyoke_gateway import clock_s
from dandelionyoke_gateway._configuration_updater import ConfigurationUpdater
from dandelionyoke_gateway._knowledge import Knowledge, new_knowledge
from dandelionyoke_gateway._log import DecisionLog
from dandelionyoke_gateway._store_poll_policy import (
    StorePollPolicy,
    StorePollSettings,
)
from dandelionyoke_gateway._store_watch_tasks import (
    ConfigurationTask,
    StorePollIntervals,
)
from dandelionyoke_platform._dialect import PlatformDialect
from tests.gateway.settings import new_settings
from tests.platform.node_harness import LogLines
from tests.platform.program import wait_for
from tests.platform.test_process import configuration

SAMPLE_INTERVAL_S = 0.02
# For all that arrived in a standstill to be handled.
SETTLE_S = 0.1


class UnchangedStore:
    """Holds each watch for its whole time."""

    def perform(self, action: Action) -> StoreResult:
        if isinstance(action, StoreWatch):
            eventlet.sleep(action.wait_s)
        return StoreListing(1, ())


class StandstillStoreTest(testtools.TestCase):
    """A node that is the only one of its domain follows the store."""

    def setUp(self) -> None:
        super().setUp()
        self.knowledge: Knowledge = new_knowledge(new_settings(), Random(3))
        log = DecisionLog(LogLines(), 'n-1', Metrics())
        self.addCleanup(log.close)
        updater = ConfigurationUpdater(self.knowledge, PlatformDialect(), log)
        updater.apply(configuration(), 1, 'store')
        self.knowledge.registry.replace((), clock_s())
        task = ConfigurationTask(
            updater,
            self.knowledge,
            StorePollPolicy(self.knowledge, StorePollSettings()),
            PlatformDialect(),
            UnchangedStore(),
            log,
            StorePollIntervals(),
        )
        self.addCleanup(eventlet.spawn(task.run).kill)
        # The last moments of a watch.
        wait_for(lambda: self.age_s() > 2.9, 'an answer that is soon due')

    def age_s(self) -> float:
        return self.knowledge.freshness.age_s(clock_s()) or 0.0

    def samples(self) -> list[tuple[bool, bool]]:
        """Whether it is ready, and accepts keys, in the next two watches."""
        found = []
        until_s = clock_s() + 3.5
        while clock_s() < until_s:
            is_accepting = self.knowledge.freshness.may_accept_keys(clock_s())
            found.append((self.knowledge.is_ready, is_accepting))
            eventlet.sleep(SAMPLE_INTERVAL_S)
        return found

    def test_a_node_that_stood_still_is_ready(self) -> None:
        """Guards against a balancer that finds no ready node of a machine."""
        time.sleep(1.2)
        self.assertEqual({(True, True)}, set(self.samples()))

    def test_a_node_that_stood_still_confirms_its_configuration(self) -> None:
        """Guards against keys refused for seconds after a standstill."""
        time.sleep(2.0)
        eventlet.sleep(SETTLE_S)
        self.assertEqual({(True, True)}, set(self.samples()))

    def test_a_node_that_accepts_no_key_is_not_ready(self) -> None:
        """Guards against callers sent to a node that refuses them all."""
        time.sleep(2.0)
        self.assertFalse(self.knowledge.freshness.may_accept_keys(clock_s()))
        self.assertFalse(self.knowledge.is_ready)


class LostStoreTest(testtools.TestCase):
    """The node that polls the store for its domain."""

    def setUp(self) -> None:
        super().setUp()
        self.knowledge: Knowledge = new_knowledge(new_settings(), Random(3))
        self.store_polling = StorePollPolicy(
            self.knowledge, StorePollSettings()
        )
        self.knowledge.freshness.confirm(clock_s())
        self.knowledge.listing.replace((), clock_s())

    def has_lost_store(self) -> bool:
        return self.store_polling.has_lost_store(clock_s())

    def test_a_node_that_stood_still_has_not_lost_the_store(self) -> None:
        """Guards against two nodes that poll each other in place of the store.

        The one that stood still would count the demand of its domain twice.
        """
        eventlet.sleep(1.0)
        time.sleep(1.2)
        self.assertFalse(self.has_lost_store())

    def test_a_store_that_does_not_answer_is_lost(self) -> None:
        """Guards against a node that trusts a store it can not reach."""
        eventlet.sleep(1.6)
        self.assertTrue(self.has_lost_store())
