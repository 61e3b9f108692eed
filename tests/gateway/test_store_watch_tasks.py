"""Nodes that read the store although another one does for their domain."""

from random import Random

import testtools

from dandelionyoke_core import Action, Metrics, StoreListing, StoreResult
from dandelionyoke_dispatch import Member
from dandelionyoke_gateway import clock_s
from dandelionyoke_gateway._knowledge import Knowledge, new_knowledge
from dandelionyoke_gateway._log import DecisionLog
from dandelionyoke_gateway._registry_updater import RegistryUpdater
from dandelionyoke_gateway._store_poll_policy import (
    StorePollPolicy,
    StorePollSettings,
)
from dandelionyoke_gateway._store_watch_tasks import (
    RegistryTask,
    StorePollIntervals,
)
from dandelionyoke_platform._dialect import PlatformDialect
from tests.gateway.settings import new_settings
from tests.platform.node_harness import LogLines


class EmptyStore:
    def perform(self, action: Action) -> StoreResult:
        return StoreListing(1, ())


class AgedNewsTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.knowledge: Knowledge = new_knowledge(new_settings(), Random(3))
        self.lines = LogLines()
        log = DecisionLog(self.lines, 'n-1', Metrics())
        self.addCleanup(log.close)
        self.task = RegistryTask(
            RegistryUpdater(self.knowledge, log),
            self.knowledge,
            StorePollPolicy(self.knowledge, StorePollSettings()),
            PlatformDialect(),
            EmptyStore(),
            log,
            StorePollIntervals(registry_share=0),
        )
        self.knowledge.listing.replace((), clock_s() - 1.6)

    def test_a_read_because_of_aged_news_is_logged(self) -> None:
        """Guards against a domain with two readers whose logs tell no cause."""
        member = Member('n-2', 'a', '10.0.0.2:7', capacity=9.0)
        self.knowledge.sources.take_members([member], clock_s())
        self.task._poll_store()
        self.assertIn('news.aged', self.lines.text)

    def test_a_read_of_the_source_itself_is_not_logged(self) -> None:
        self.task._poll_store()
        self.assertNotIn('news.aged', self.lines.text)
