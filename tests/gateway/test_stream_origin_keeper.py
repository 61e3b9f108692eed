"""Nodes that keep the origins of streams for each other, over real links."""

import time
from random import Random

import attrs
import eventlet
import testtools
from eventlet.greenthread import GreenThread

from dandelionyoke_core import Event, InstanceId, Metrics
from dandelionyoke_dispatch import (
    KeeperRanking,
    Member,
    RegisteredTarget,
    StreamOrigin,
    stream_key,
)
from dandelionyoke_gateway import clock_s
from dandelionyoke_gateway._knowledge import new_knowledge
from dandelionyoke_gateway._log import DecisionLog
from dandelionyoke_gateway._registry_updater import RegistryUpdater
from dandelionyoke_gateway._stream_origin_keeper import (
    ASK_TIMEOUT_S,
    LISTING_TIMEOUT_S,
    MAX_LISTING_AGE_S,
    FoundOrigin,
    OriginSource,
    StreamOriginKeeper,
)
from dandelionyoke_links import PeerHub, PeerSettings
from tests.gateway.settings import new_settings
from tests.gateway.waits import max_wait_s
from tests.platform.node_harness import LogLines
from tests.platform.program import wait_for

ORIGIN = StreamOrigin('lm', 'v1')
DOMAINS = ('a', 'b', 'c')
NODE_COUNT = 9
STREAM_COUNT = 40
# Longer than a step of the event loop that is no standstill.
STANDSTILL_S = 0.15


class KeeperNode:
    """A keeper with its links; its handler of events can be replaced."""

    def __init__(self, number: int) -> None:
        self.name = f'n-{number}'
        settings = attrs.evolve(
            new_settings(self.name), domain=DOMAINS[number % len(DOMAINS)]
        )
        self.knowledge = new_knowledge(settings, Random(number))
        self.keeper = StreamOriginKeeper(self.knowledge)
        self.hub = PeerHub(
            PeerSettings(InstanceId(self.name), b'a secret'), self.handle
        )
        self.keeper.attach(self.hub.send, self.hub.connect)
        self.is_silent = False
        self._listener = eventlet.listen(('127.0.0.1', 0))
        host, port = self._listener.getsockname()
        self.member = attrs.evolve(
            self.knowledge.own_member, address=f'{host}:{port}'
        )
        self._server: GreenThread = eventlet.spawn(
            self.hub.serve, self._listener
        )

    def handle(self, event: Event) -> None:
        if not self.is_silent:
            self.keeper.handle_event(event)

    def find(self, number: int) -> FoundOrigin:
        return self.keeper.find(f'a-{number}', 'lm')

    def knows(self, number: int) -> bool:
        """Whether it has a copy itself."""
        key = stream_key(f'a-{number}')
        return self.keeper._origins.find(key) is not None

    def close(self) -> None:
        """Refuse links and end those that are open."""
        self._server.kill()
        self._listener.close()
        for peer_id in tuple(self.hub._links):
            self.hub.disconnect(peer_id)


class StreamOriginKeeperTest(testtools.TestCase):
    """Nine nodes in three failure domains; the first one begins streams."""

    def setUp(self) -> None:
        super().setUp()
        self.nodes = [KeeperNode(number) for number in range(NODE_COUNT)]
        self.first, *self.others = self.nodes
        for node in self.nodes:
            self.addCleanup(node.close)
        self.take_members([node.member for node in self.nodes])

    def take_members(self, members: list[Member]) -> None:
        for node in self.nodes:
            node.knowledge.sources.take_members(members, clock_s())

    def begin(self) -> None:
        """Begin streams at the first node and wait for their copies."""
        for number in range(STREAM_COUNT):
            self.first.keeper.record(f'a-{number}', ORIGIN)
        wait_for(self.has_copies, 'copies')

    def copies(self, number: int) -> list[KeeperNode]:
        return [node for node in self.others if node.knows(number)]

    def has_copies(self) -> bool:
        return all(
            len(self.copies(number)) >= 2 for number in range(STREAM_COUNT)
        )

    def assert_found(self, nodes: list[KeeperNode], at_least: int) -> None:
        """So many streams are known at each node, and none is guessed."""
        for node in nodes:
            found = [node.find(number) for number in range(STREAM_COUNT)]
            origins = [each.origin for each in found if each.origin]
            self.assertEqual({ORIGIN}, set(origins))
            self.assertGreaterEqual(len(origins), at_least)

    def test_any_node_finds_a_stream_of_a_node_that_is_gone(self) -> None:
        """Guards against streams that are lost with their node."""
        self.begin()
        self.first.close()
        self.assert_found(self.others, STREAM_COUNT)

    def test_copies_are_sent_before_the_stream_goes_on(self) -> None:
        """Guards against a node killed as its caller gets the first event."""
        self.begin()
        self.first.keeper.record('a-40', ORIGIN)
        for member in self.others:
            self.first.hub.disconnect(InstanceId(member.name))
        wait_for(lambda: len(self.copies(STREAM_COUNT)) >= 2, 'copies')

    def test_copies_lie_in_two_failure_domains(self) -> None:
        """Guards against streams that are lost with a failure domain."""
        self.begin()
        for number in range(STREAM_COUNT):
            domains = {
                node.knowledge.settings.domain for node in self.copies(number)
            }
            self.assertEqual(2, len(domains))

    def test_a_node_and_a_domain_may_be_gone(self) -> None:
        """Guards against copies that are out of reach together."""
        self.begin()
        self.first.close()
        gone = [node for node in self.others if node.member.domain == 'b']
        for node in gone:
            node.close()
        left = [node for node in self.others if node not in gone]
        self.assert_found(left[:2], STREAM_COUNT)

    def test_a_silent_node_delays_no_answer(self) -> None:
        """Guards against callers that wait for a stopped node."""
        self.begin()
        silent = self.others[0]
        silent.is_silent = True
        asker = self.others[4]
        started_s = clock_s()
        self.assert_found([asker], STREAM_COUNT)
        self.assertLess(clock_s() - started_s, ASK_TIMEOUT_S)

    def test_the_node_that_began_a_stream_may_have_restarted(self) -> None:
        """Guards against a node that forgets its own streams."""
        self.begin()
        self.first.keeper = StreamOriginKeeper(self.first.knowledge)
        self.first.keeper.attach(self.first.hub.send, self.first.hub.connect)
        self.assert_found([self.first], STREAM_COUNT)
        self.assertIs(OriginSource.ASKED, self.first.find(0).source)

    def test_a_stream_that_nobody_knows_is_unknown_soon(self) -> None:
        """Guards against a guess, and against waiting for nothing."""
        self.begin()
        found = self.others[0].find(STREAM_COUNT + 1)
        self.assertIs(OriginSource.UNKNOWN, found.source)
        self.assertLess(found.took_s, ASK_TIMEOUT_S)

    def test_silent_keepers_end_a_question_in_time(self) -> None:
        """Guards against callers that wait without a bound."""
        for node in self.others[1:]:
            node.is_silent = True
        began_s = clock_s()
        found = self.others[0].find(1)
        self.assertIs(OriginSource.UNKNOWN, found.source)
        self.assertLess(found.took_s, max_wait_s(ASK_TIMEOUT_S, began_s))

    def test_silent_keepers_get_their_time_again_once(self) -> None:
        """Guards against callers that wait longer after each standstill."""
        for node in self.others[1:]:
            node.is_silent = True
        for delay_s in (0, ASK_TIMEOUT_S, 2 * ASK_TIMEOUT_S):
            eventlet.spawn_after(delay_s, time.sleep, STANDSTILL_S)
        began_s = clock_s()
        found = self.others[0].find(1)
        self.assertIs(OriginSource.UNKNOWN, found.source)
        self.assertGreater(found.took_s, 2 * ASK_TIMEOUT_S)
        self.assertLess(found.took_s, max_wait_s(ASK_TIMEOUT_S, began_s))

    def test_copies_go_to_the_next_node_if_one_is_out_of_reach(self) -> None:
        """Guards against a stream with a single copy."""
        for node in self.others:
            if node.member.domain == 'b':
                node.close()
        self.begin()
        left = [node for node in self.others if node.member.domain != 'b']
        self.assert_found(left[:2], STREAM_COUNT)

    def test_views_of_the_members_may_differ_by_a_node(self) -> None:
        """Guards against a stream that is lost as a node joins or leaves."""
        self.begin()
        for left_out in self.others[1:4]:
            asker = self.others[5]
            asker.knowledge.sources.take_members(
                [
                    node.member
                    for node in self.nodes
                    if node not in {left_out, self.first}
                ],
                clock_s(),
            )
            self.assert_found([asker], STREAM_COUNT * 9 // 10)

    def test_nodes_of_earlier_versions_get_no_message(self) -> None:
        """Guards against links that end at a message of an unknown kind."""
        earlier = self.others[0]
        members = [
            attrs.evolve(node.member, keeps_origins=node is not earlier)
            for node in self.nodes
        ]
        self.take_members(members)
        heard: list[Event] = []
        earlier.handle = heard.append  # type: ignore[method-assign]
        earlier.hub._emit = heard.append
        self.begin()
        self.assert_found(self.others[1:3], STREAM_COUNT)
        self.assertEqual([], heard)

    def test_a_copy_that_comes_during_the_question_counts(self) -> None:
        """Guards against a caller that is back before the message."""
        asker = self.others[0]
        for node in self.others[1:]:
            node.is_silent = True
        eventlet.spawn_after(
            0.1, asker.keeper.record, 'a-1', ORIGIN, is_told=False
        )
        self.assertEqual(ORIGIN, asker.find(1).origin)


class OnlyVersionTest(testtools.TestCase):
    """A node whose service has had one version, and two other nodes."""

    def setUp(self) -> None:
        super().setUp()
        self.nodes = [KeeperNode(number) for number in range(3)]
        self.asker, *self.others = self.nodes
        for node in self.nodes:
            self.addCleanup(node.close)
            node.knowledge.sources.take_members(
                [each.member for each in self.nodes], clock_s()
            )
        log = DecisionLog(LogLines(), 'n-0', Metrics())
        self.addCleanup(log.close)
        self.updater = RegistryUpdater(self.asker.knowledge, log)
        self.history = self.asker.knowledge.registry.version_history
        for age_s in range(80, 0, -2):
            self.history.observe([ORIGIN], clock_s() - age_s)
        self.list_targets('v1')

    def list_targets(self, *versions: str, age_s: float = 0) -> None:
        """Take a listing that was asked for so long ago."""
        targets = [
            RegisteredTarget(
                f'i-{version}', 'lm', '', 'a', 8, False, version=version
            )
            for version in versions
        ]
        self.updater.replace(targets, clock_s() - age_s)

    def list_later(self, *versions: str, age_s: float = 0) -> None:
        """List targets while the call waits."""
        thread = eventlet.spawn_after(
            0.6, self.list_targets, *versions, age_s=age_s
        )
        self.addCleanup(thread.kill)

    def fall_silent(self) -> None:
        for node in self.others:
            node.is_silent = True

    def assert_unknown(self, found: FoundOrigin) -> None:
        self.assertIsNone(found.origin)
        self.assertIs(OriginSource.UNKNOWN, found.source)

    def test_a_listing_from_before_the_call_shows_nothing(self) -> None:
        """Guards against a version that was listed meanwhile."""
        found = self.asker.find(1)
        self.assert_unknown(found)
        self.assertEqual((2, 2), (found.asked, found.answered))
        self.assert_unknown(self.asker.keeper.only_listed('lm'))

    def test_no_answer_is_not_an_answer(self) -> None:
        """Guards against a node that is cut off and guesses."""
        self.fall_silent()
        found = self.asker.find(1)
        self.assert_unknown(found)
        self.assertEqual((2, 0), (found.asked, found.answered))
        self.assertLess(found.took_s, LISTING_TIMEOUT_S + 0.3)

    def test_a_refused_link_is_not_an_answer(self) -> None:
        """Guards against a node that is gone and is taken for a witness."""
        for node in self.others:
            node.close()
        found = self.asker.find(1)
        self.assert_unknown(found)
        self.assertEqual((2, 0), (found.asked, found.answered))

    def test_a_listing_asked_for_after_the_call_shows_the_version(
        self,
    ) -> None:
        """Guards against streams that are lost with all other nodes."""
        self.fall_silent()
        self.list_later('v1')
        found = self.asker.find(1)
        self.assertEqual(ORIGIN, found.origin)
        self.assertIs(OriginSource.ONLY_VERSION, found.source)
        self.assertLess(found.took_s, 1)

    def test_a_listing_asked_for_after_the_call_shows_a_new_version(
        self,
    ) -> None:
        """Guards against a release during the question."""
        self.fall_silent()
        self.list_later('v1', 'v2')
        self.assert_unknown(self.asker.find(1))

    def test_a_late_answer_is_no_new_listing(self) -> None:
        """Guards against an answer that is read after a standstill."""
        self.fall_silent()
        self.list_later('v1', age_s=1.2)
        self.assert_unknown(self.asker.find(1))

    def test_a_node_without_news_refuses_at_once(self) -> None:
        """Guards against callers that wait at a node that is cut off."""
        listing = self.asker.knowledge.listing
        listing._confirmed_s = clock_s() - MAX_LISTING_AGE_S - 0.1
        found = self.asker.keeper.only_listed('lm')
        self.assert_unknown(found)
        self.assertLess(found.took_s, 0.1)

    def test_a_wait_ends_with_the_time_of_the_call(self) -> None:
        """Guards against a refusal that comes too late for its caller."""
        found = self.asker.keeper.only_listed('lm', clock_s() + 0.2)
        self.assert_unknown(found)
        self.assertLess(found.took_s, 0.4)

    def test_a_listing_may_lack_targets_after_the_store_returned(self) -> None:
        """Guards against entries that the store has lost for a moment."""
        self.asker.knowledge.registry.store_replaced(clock_s())
        self.list_later('v1')
        self.assert_unknown(self.asker.keeper.only_listed('lm'))

    def test_an_entry_that_is_not_used_here_counts(self) -> None:
        """Guards against a version that only other nodes use."""
        known = RegisteredTarget(
            'i-v1', 'lm', '', 'a', 8, False, started_ms=9, version='v1'
        )
        earlier = attrs.evolve(known, started_ms=5, version='v2')
        self.updater.replace([known], clock_s())
        eventlet.spawn_after(
            0.1, lambda: self.updater.replace([earlier], clock_s())
        )
        self.assert_unknown(self.asker.keeper.only_listed('lm'))


class KeeperRankingTest(testtools.TestCase):
    def test_keepers_are_spread_over_a_large_fleet(self) -> None:
        """Guards against a node that keeps the streams of a whole fleet."""
        members = [
            Member(f'n-{number}', f'd{number % 6}', '', keeps_origins=True)
            for number in range(410)
        ]
        ranking = KeeperRanking()
        counts = dict.fromkeys(members, 0)
        stream_count = 4100
        for number in range(stream_count):
            key = stream_key(str(number))
            first, second = ranking.keepers(members, key)[:2]
            self.assertNotEqual(first.domain, second.domain)
            counts[first] += 1
            counts[second] += 1
        mean = 2 * stream_count / len(members)
        self.assertLess(max(counts.values()), 4 * mean)
