"""News requests between nodes, and the age of the answers."""

import time
import zlib
from collections.abc import Callable
from random import Random

import eventlet
import testtools

from dandelionyoke_core import (
    Action,
    Event,
    InstanceId,
    Metrics,
    PeerConnected,
    PeerDisconnected,
    PeerMessage,
    PeerMessageArrived,
    StoreItem,
    StoreResult,
    revision_in,
)
from dandelionyoke_dispatch import (
    CountsParcel,
    CrashReport,
    DemandSample,
    FleetDemandSettings,
    ListingChanges,
    ListingMark,
    Member,
    RegisteredTarget,
    RegistrySettings,
    TargetRegistry,
    WindowCounts,
)
from dandelionyoke_gateway import clock_s
from dandelionyoke_gateway._answer_wait import AnswerWait
from dandelionyoke_gateway._configuration_updater import ConfigurationUpdater
from dandelionyoke_gateway._knowledge import Knowledge, new_knowledge
from dandelionyoke_gateway._late_answers import LATE_ANSWER_TIMEOUT_S
from dandelionyoke_gateway._log import DecisionLog
from dandelionyoke_gateway._news_messages import (
    ConfigurationNews,
    NewsAsked,
    NewsTold,
    TargetNews,
)
from dandelionyoke_gateway._news_server import MAX_PACKED_BYTES, NewsServer
from dandelionyoke_gateway._news_task import NewsTask
from dandelionyoke_gateway._registry_updater import RegistryUpdater
from dandelionyoke_gateway._store_poll_policy import (
    StorePollPolicy,
    StorePollSettings,
)
from dandelionyoke_platform._dialect import PlatformDialect
from tests.gateway.settings import new_settings
from tests.platform.node_harness import LogLines
from tests.platform.program import wait_for
from tests.platform.test_process import configuration

DEMAND_LIFETIME_S = FleetDemandSettings().lifetime_s


def target(name: str, *, leaving: bool = False) -> RegisteredTarget:
    return RegisteredTarget(name, 'lm', '10.0.0.1:1', 'a', 4, leaving)


class NewsCase(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.knowledge: Knowledge = new_knowledge(new_settings(), Random(3))
        log = DecisionLog(LogLines(), 'n-1', Metrics())
        self.addCleanup(log.close)
        self.configurations = ConfigurationUpdater(
            self.knowledge, PlatformDialect(), log
        )
        self.registry = RegistryUpdater(self.knowledge, log)
        self.sent: list[PeerMessage] = []
        self.server = NewsServer(self.knowledge, self.send)

    def send(self, peer_id: str, message: PeerMessage) -> bool:
        self.sent.append(message)
        return True

    def ask(self, hold_s: float = 0.0, **fields: object) -> NewsTold:
        request = NewsAsked(1, 'n-2.x', hold_s, 0)
        for name, value in fields.items():
            object.__setattr__(request, name, value)
        self.server.handle_request('n-2', request)
        answer = self.sent[-1]
        assert isinstance(answer, NewsTold)
        return answer


class NewsTest(NewsCase):
    def test_stale_state_is_reported_as_stale(self) -> None:
        """Guards against a revoked key that stays valid for too long.

        The answering node lost the store four seconds ago. Its answer must
        not count as fresh.
        """
        self.configurations.apply(configuration(), 7, 'store')
        self.configurations.confirm(7, clock_s() - 4.0)
        news = self.ask().configuration
        self.assertLess(news.proven_after_s, -3.9)
        self.assertEqual(7, news.revision)

    def test_a_crash_is_told_at_once(self) -> None:
        """Guards against a node that sends crashing calls for a hold time."""
        mark = self.ask().crash_mark
        report = CrashReport('i-1', 'n-1.1', 0.0, ('a-part',))
        eventlet.spawn_after(0.1, self.knowledge.take_crash, report)
        asked_s = clock_s()
        listing_mark = self.knowledge.listing.mark
        answer = self.ask(5.0, crash_mark=mark, mark=listing_mark)
        self.assertLess(clock_s() - asked_s, 1.0)
        self.assertEqual(
            ['i-1'], [told.target for told in answer.crash_reports]
        )
        again = self.ask(crash_mark=answer.crash_mark)
        self.assertEqual((), again.crash_reports)

    def test_a_node_that_knows_no_eras_is_not_told_the_same_again(self) -> None:
        """Guards against answers without a pause during a rolling update."""
        self.configurations.apply(configuration(), revision_in(2, 7), 'store')
        self.configurations.confirm(revision_in(2, 7), clock_s())
        news = self.ask(configuration_revision=7).configuration
        self.assertIsNone(news.packed)
        self.assertIsNotNone(self.ask().configuration.packed)

    def test_a_later_era_is_told(self) -> None:
        """Guards against a node that keeps what the store has lost."""
        self.configurations.apply(configuration(), revision_in(2, 7), 'store')
        self.configurations.confirm(revision_in(2, 7), clock_s())
        news = self.ask(
            configuration_revision=500, configuration_era=1
        ).configuration
        self.assertIsNotNone(news.packed)
        self.assertEqual(revision_in(2, 7), news.told_revision)

    def test_a_proof_of_another_revision_is_ignored(self) -> None:
        self.configurations.apply(configuration(), 7, 'store')
        self.assertFalse(self.configurations.confirm(8, clock_s()))
        self.assertIsNone(self.knowledge.freshness.confirmed_s)

    def test_a_request_waits_for_a_change(self) -> None:
        self.registry.replace([target('i-1')], clock_s())
        mark = self.ask().targets.changes.mark
        started_s = clock_s()
        eventlet.spawn_after(
            0.1, self.registry.change, [target('i-2')], (), clock_s()
        )
        news = self.ask(1.0, mark=mark).targets
        self.assertLess(clock_s() - started_s, 0.8)
        self.assertEqual((target('i-2'),), news.changes.changed)

    def test_a_request_times_out_without_a_change(self) -> None:
        self.registry.replace([target('i-1')], clock_s())
        started_s = clock_s()
        self.ask(0.2, mark=self.knowledge.listing.mark)
        self.assertGreaterEqual(clock_s() - started_s, 0.19)

    def test_older_news_do_not_restore_a_leaving_target(self) -> None:
        """Guards against calls to a target that has left.

        Another node sends an older listing than this node has read.
        """
        now_s = clock_s()
        self.registry.replace([target('i-1', leaving=True)], now_s)
        changes = ListingChanges(
            ListingMark('n-2', 3), True, (target('i-1'),), ()
        )
        self.assertFalse(
            self.registry.apply_peer_changes(changes, now_s - 1, 'n-2')
        )
        self.assertEqual([], self.knowledge.registry.of_service('lm'))
        self.assertTrue(
            self.registry.apply_peer_changes(changes, now_s + 1, 'n-2')
        )

    def test_a_grace_period_ends_without_another_listing(self) -> None:
        """Guards against calls to a target that left during an outage."""
        settings = RegistrySettings(return_grace_s=0.1, outage_s=0)
        self.knowledge.registry = TargetRegistry(settings)
        self.registry.replace([target('i-1')], clock_s())
        self.registry.record_store_failure()
        eventlet.sleep(0.01)
        self.registry.replace([], clock_s())
        self.assertEqual(1, len(self.knowledge.registry.of_service('lm')))
        eventlet.sleep(0.2)
        self.assertEqual([], self.knowledge.registry.of_service('lm'))

    def test_a_configuration_is_sent_unless_it_is_large(self) -> None:
        """Guards against large configurations that saturate a slow link."""
        self.configurations.apply(configuration(), 7, 'store')
        self.configurations.confirm(7, clock_s())
        packed = self.ask().configuration.packed
        self.assertEqual(configuration(), zlib.decompress(packed).decode())
        self.assertIsNone(
            self.ask(configuration_revision=7).configuration.packed
        )
        noise = Random(5).randbytes(MAX_PACKED_BYTES).hex()
        self.configurations.apply(noise, 8, 'store')
        self.configurations.confirm(8, clock_s())
        self.assertIsNone(self.ask().configuration.packed)
        wanted = self.ask(wants_configuration=True).configuration.packed
        self.assertIsNotNone(wanted)

    def test_demand_outlasts_a_standstill(self) -> None:
        """Guards against engines ordered away by a node that stood still."""
        self.ask(demand=DemandSample(4, ()))
        time.sleep(DEMAND_LIFETIME_S)
        self.assertEqual(5, self.ask().demand.nodes)

    def test_demand_of_a_silent_node_expires(self) -> None:
        """Guards against engines for the callers of a node that is gone."""
        self.ask(demand=DemandSample(4, ()))
        eventlet.sleep(DEMAND_LIFETIME_S)
        self.assertEqual(1, self.ask().demand.nodes)

    def test_counts_are_confirmed_only_when_saved(self) -> None:
        windows = (WindowCounts(9, (('acme', 1),)),)
        parcel = CountsParcel('n-2.x', 4, windows)
        self.assertEqual(0, self.ask(parcel=parcel).saved_parcel)
        receiver = self.knowledge.counts_receiver
        receiver.confirm(receiver.received())
        self.assertEqual(4, self.ask().saved_parcel)


class FakeStore:
    """Holds one configuration and counts its reads."""

    def __init__(self) -> None:
        self.revision = 0
        self.reads = 0

    def perform(self, action: Action) -> StoreResult:
        self.reads += 1
        return StoreItem('configuration', self.revision, configuration())


class ConfigurationBurstTest(NewsCase):
    def setUp(self) -> None:
        super().setUp()
        self.store = FakeStore()
        self.task = NewsTask(
            self.knowledge,
            self.store,
            PlatformDialect(),
            self.configurations,
            self.registry,
            StorePollPolicy(self.knowledge, StorePollSettings()),
            DecisionLog(LogLines(), 'n-1', Metrics()),
        )

    def apply_large_change(self) -> None:
        """Commit a configuration that is too large to be part of the news."""
        self.store.revision += 1
        news = ConfigurationNews(self.store.revision, 0.0)
        answer = NewsTold(1, news)
        self.task._apply_answer(
            answer, Member('n-2', 'a', '10.0.0.2:7'), clock_s()
        )

    def test_a_burst_of_configurations_causes_few_reads(self) -> None:
        """Guards against store reads in proportion to nodes times changes."""
        until_s = clock_s() + 0.5
        while clock_s() < until_s:
            self.apply_large_change()
            eventlet.sleep(0.01)
        self.assertLess(self.store.reads, 4)
        self.assertEqual(
            self.store.revision, self.knowledge.configuration_revision
        )
        self.assertIsNotNone(self.knowledge.freshness.confirmed_s)

    def test_reading_a_configuration_makes_no_answer_stale(self) -> None:
        """Guards against a healthy node suspected in a burst of changes."""
        member = Member('n-2', 'a', '10.0.0.2:7')
        changes = ListingChanges(ListingMark('n-2', 1), True, (), ())
        for _ in range(2):
            self.store.revision += 1
            answer = NewsTold(
                1,
                ConfigurationNews(self.store.revision, 0.0),
                TargetNews(-1.3, changes),
            )
            self.task._request_news = lambda hub, member: answer  # noqa: B023
            self.task._poll_member(None, member)
        self.assertIsNone(self.task._stale_since_s)


class FakeHub:
    """Opens links at once; answers only when the test does."""

    def __init__(self, emit: Callable[[Event], None]) -> None:
        self.emit = emit
        self.disconnected: list[str] = []
        self.requests: list[NewsAsked] = []

    def connect(self, peer_id: InstanceId, address: str) -> None:
        self.emit(PeerConnected(peer_id))

    def send(self, peer_id: InstanceId, message: PeerMessage) -> bool:
        assert isinstance(message, NewsAsked)
        self.requests.append(message)
        return True

    def disconnect(self, peer_id: InstanceId) -> None:
        self.disconnected.append(peer_id)
        self.emit(PeerDisconnected(peer_id, 'disconnected'))


class SilentNodeTest(NewsCase):
    def setUp(self) -> None:
        super().setUp()
        self.lines = LogLines()
        log = DecisionLog(self.lines, 'n-1', Metrics())
        self.addCleanup(log.close)
        self.task = NewsTask(
            self.knowledge,
            FakeStore(),
            PlatformDialect(),
            self.configurations,
            self.registry,
            StorePollPolicy(self.knowledge, StorePollSettings()),
            log,
        )
        self.hub = FakeHub(
            lambda event: self.task.handle_event(self.server, event)
        )
        self.other = InstanceId('n-2')
        member = Member(self.other, 'a', '10.0.0.2:7', capacity=9.0)
        self.knowledge.sources.take_members([member], clock_s())

    def await_silence(self) -> None:
        """Poll the other node until it is suspected."""
        thread = eventlet.spawn(self.task.run, self.hub)
        self.addCleanup(thread.kill)
        wait_for(lambda: not self.is_polled(), 'a suspicion')

    def answer(self, number: int) -> None:
        event = PeerMessageArrived(self.other, NewsTold(number))
        self.task.handle_event(self.server, event)

    def is_polled(self) -> bool:
        return not self.knowledge.sources.is_source(clock_s())

    def test_a_late_answer_ends_the_suspicion(self) -> None:
        """Guards against two nodes that poll the store for four seconds.

        The polled node stands still for a moment.
        """
        self.await_silence()
        self.answer(self.hub.requests[0].number)
        self.assertTrue(self.is_polled())
        wait_for(lambda: len(self.hub.requests) == 2, 'another request')
        self.assertEqual([], self.hub.disconnected)
        self.assertIn('"cause": "no answer"', self.lines.text)
        self.assertIn('peer.returned', self.lines.text)

    def test_the_answer_to_another_request_ends_no_suspicion(self) -> None:
        self.await_silence()
        self.answer(self.hub.requests[0].number + 1)
        self.assertFalse(self.is_polled())

    def test_a_link_without_answers_is_closed(self) -> None:
        """Guards against a connection that has gone silent for good."""
        self.await_silence()
        eventlet.sleep(LATE_ANSWER_TIMEOUT_S + 0.1)
        self.assertEqual([self.other], self.hub.disconnected)

    def test_an_answer_that_comes_with_the_timeout_counts(self) -> None:
        """Guards against a node that suspects others after its own stall."""
        event = PeerMessageArrived(self.other, NewsTold(7))
        eventlet.spawn(self.task._inbox.put, event)
        self.assertEqual(event, self.task._next_event(AnswerWait(0)))


class StorePollPolicyTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.knowledge: Knowledge = new_knowledge(new_settings(), Random(3))
        self.store_polling = StorePollPolicy(
            self.knowledge, StorePollSettings()
        )

    def test_a_new_node_polls_the_store(self) -> None:
        self.assertEqual(0, self.store_polling.configuration_wait_s(clock_s()))
        self.assertEqual(0, self.store_polling.registry_wait_s(clock_s()))
        self.assertTrue(self.store_polling.has_lost_store(clock_s()))

    def test_news_are_relied_on_for_three_quarters_of_the_limit(self) -> None:
        """Guards against calls to leaving targets or by outdated routes.

        If the source node stops answering, a quarter of the time limit must
        be left to poll the store instead.
        """
        sources = self.knowledge.sources
        other = next(
            name
            for name in ('m-1', 'm-2', 'm-3', 'm-4', 'm-5', 'm-6')
            if self.is_ranked_first(name)
        )
        now_s = clock_s()
        self.knowledge.freshness.confirm(now_s)
        self.knowledge.listing.replace((), now_s)
        self.assertAlmostEqual(1.5, self.store_polling.registry_wait_s(now_s))
        self.assertAlmostEqual(
            1.5, self.store_polling.configuration_wait_s(now_s)
        )
        sources.suspect(other, now_s)
        self.assertEqual(0, self.store_polling.registry_wait_s(now_s))

    def is_ranked_first(self, name: str) -> bool:
        sources = self.knowledge.sources
        sources.take_members([Member(name, 'a', '10.0.0.2:7')], 0)
        return not sources.is_source(0)
