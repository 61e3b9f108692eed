"""Waits for other nodes of a machine that stands still as a whole."""

import time
from collections.abc import Callable
from random import Random
from typing import Any

import eventlet
import testtools
from eventlet.queue import Empty, LightQueue

from dandelionyoke_core import Event, InstanceId, Metrics, PeerMessageArrived
from dandelionyoke_dispatch import (
    ListingChanges,
    ListingMark,
    Member,
    StreamOrigin,
)
from dandelionyoke_gateway import clock_s
from dandelionyoke_gateway._answer_wait import AnswerWait
from dandelionyoke_gateway._configuration_updater import ConfigurationUpdater
from dandelionyoke_gateway._knowledge import new_knowledge
from dandelionyoke_gateway._log import DecisionLog
from dandelionyoke_gateway._news_messages import (
    ConfigurationNews,
    NewsTold,
    TargetNews,
)
from dandelionyoke_gateway._news_server import NewsServer
from dandelionyoke_gateway._news_task import NewsTask
from dandelionyoke_gateway._rate_limits import ANSWER_TIMEOUT_S
from dandelionyoke_gateway._registry_updater import RegistryUpdater
from dandelionyoke_gateway._store_poll_policy import (
    StorePollPolicy,
    StorePollSettings,
)
from dandelionyoke_platform._dialect import PlatformDialect
from tests.gateway import test_prefill_queue, test_rate_limits
from tests.gateway.settings import new_settings
from tests.gateway.test_news import FakeHub, FakeStore
from tests.gateway.test_stream_origin_keeper import KeeperNode
from tests.platform.node_harness import LogLines

# Longer than any wait for another node.
STANDSTILL_S = 1.0
ORIGIN = StreamOrigin('lm', 'v1')


def stand_still(wait: Callable[[], Any], go_on: Callable[[], Any]) -> Any:
    """Start a wait, let the machine stand still, and return the result.

    The other process goes on a moment after this one.
    """
    waiting = eventlet.spawn(wait)
    eventlet.sleep(0.05)
    time.sleep(STANDSTILL_S)
    eventlet.sleep(0.05)
    go_on()
    return waiting.wait()


class MachineStandstillTest(testtools.TestCase):
    def test_a_limit_is_not_decided_alone(self) -> None:
        """Guards against calls refused by a part of a limit."""
        network = test_rate_limits.Network(2)
        for node in network.nodes.values():
            self.addCleanup(node.log.close)
            node.knowledge.limiter.take_nodes(1, 1, clock_s() - 60)
        source, other = network.source, network.others[0]
        network.stopped[source.name] = []
        stand_still(other.call, lambda: network.go_on(source.name))
        self.assertNotIn('limit.silent', other.lines.text)

    def test_a_node_that_is_gone_is_waited_for_once_more(self) -> None:
        """Guards against calls that are held while machines stand still."""
        wait, answers = AnswerWait(ANSWER_TIMEOUT_S), LightQueue()
        time.sleep(STANDSTILL_S)
        began_s = clock_s()
        waiting = eventlet.spawn(wait.get, answers)
        eventlet.sleep(0.05)
        time.sleep(STANDSTILL_S)
        with testtools.ExpectedException(Empty):
            waiting.wait()
        waited_s = clock_s() - began_s - STANDSTILL_S
        self.assertLess(waited_s, 2 * ANSWER_TIMEOUT_S)

    def test_a_prefill_is_not_placed_alone(self) -> None:
        """Guards against prefills sent to engines that are busy."""
        engines = [test_prefill_queue.engine('i-1')]
        network = test_prefill_queue.Network(2, engines)
        for node in network.nodes.values():
            self.addCleanup(node.log.close)
        source, other = network.source, network.others[0]
        network.stopped[source.name] = []
        grant = stand_still(
            lambda: other.queue.acquire(test_prefill_queue.request()),
            lambda: network.go_on(source.name),
        )
        self.assertEqual(source.name, grant.placed_by)

    def test_the_origin_of_a_stream_is_found(self) -> None:
        """Guards against a refused caller that takes up its stream."""
        nodes = [KeeperNode(number) for number in range(3)]
        for node in nodes:
            self.addCleanup(node.close)
        for node in nodes:
            members = [node.member for node in nodes]
            node.knowledge.sources.take_members(members, clock_s())
        first, second, asking = nodes
        second.keeper.record('a-1', ORIGIN, is_told=False)
        first.is_silent = True
        arrived: list[Event] = []
        handle = second.keeper.handle_event
        second.keeper.handle_event = arrived.append

        def go_on() -> None:
            second.keeper.handle_event = handle
            for event in arrived:
                handle(event)

        found = stand_still(lambda: asking.find(1), go_on)
        self.assertEqual(ORIGIN, found.origin)


class NewsStandstillTest(testtools.TestCase):
    """A node that polls the source of its domain."""

    def setUp(self) -> None:
        super().setUp()
        knowledge = new_knowledge(new_settings(), Random(3))
        self.lines = LogLines()
        log = DecisionLog(self.lines, 'n-1', Metrics())
        self.addCleanup(log.close)
        self.server = NewsServer(knowledge, lambda peer_id, message: True)
        self.task = NewsTask(
            knowledge,
            FakeStore(),
            PlatformDialect(),
            ConfigurationUpdater(knowledge, PlatformDialect(), log),
            RegistryUpdater(knowledge, log),
            StorePollPolicy(knowledge, StorePollSettings()),
            log,
        )
        self.other = InstanceId('n-2')
        self.member = Member(self.other, 'a', '10.0.0.2:7', capacity=9.0)
        knowledge.sources.take_members([self.member], clock_s())

    def test_the_polled_node_is_not_passed_over(self) -> None:
        """Guards against a domain whose store is polled by two nodes."""
        hub = FakeHub(lambda event: self.task.handle_event(self.server, event))

        def go_on() -> None:
            answer = NewsTold(hub.requests[0].number)
            event = PeerMessageArrived(self.other, answer)
            self.task.handle_event(self.server, event)

        stand_still(lambda: self.task._poll_member(hub, self.member), go_on)
        self.assertNotIn('peer.silent', self.lines.text)

    def test_answers_that_wait_for_this_node_are_not_stale(self) -> None:
        """Guards against a source passed over for standstills of its domain."""
        changes = ListingChanges(ListingMark('n-2', 1), True, (), ())
        answer = NewsTold(
            1, ConfigurationNews(0, -0.1), TargetNews(-0.1, changes)
        )

        def request_news(hub: object, member: Member) -> NewsTold:
            time.sleep(2.2)
            return answer

        self.task._request_news = request_news
        for _ in range(2):
            self.task._poll_member(None, self.member)
        self.assertNotIn('peer.stale', self.lines.text)
