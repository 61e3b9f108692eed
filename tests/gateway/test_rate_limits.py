"""Rate limits that the nodes of a failure domain enforce jointly."""

import math
from random import Random

import eventlet
import testtools

from dandelionyoke_core import (
    Event,
    InstanceId,
    Metrics,
    PeerMessage,
    PeerMessageArrived,
)
from dandelionyoke_dispatch import (
    GroupUse,
    LimitUnit,
    RateLimit,
)
from dandelionyoke_gateway import clock_s
from dandelionyoke_gateway._knowledge import new_knowledge
from dandelionyoke_gateway._limit_messages import (
    ChargeAsked,
    GroupUseTold,
    OverLimit,
    UseReported,
)
from dandelionyoke_gateway._limit_server import LimitServer
from dandelionyoke_gateway._log import DecisionLog
from dandelionyoke_gateway._rate_limits import (
    ANSWER_TIMEOUT_S,
    REPORT_INTERVAL_S,
    Charge,
    DomainRateLimits,
    OverLimitError,
)
from dandelionyoke_gateway._source_links import SourceLinks
from tests.gateway.network import DomainNetwork
from tests.gateway.settings import new_settings
from tests.gateway.waits import max_wait_s
from tests.platform.node_harness import LogLines

LIMIT = RateLimit(100.0, 1000.0, LimitUnit.TOKENS)
LARGE = 100.0
SMALL = 1.0


class Node:
    """A node without sockets."""

    def __init__(self, network: 'Network', name: str) -> None:
        self.name = InstanceId(name)
        self._network = network
        self.lines = LogLines()
        self.knowledge = new_knowledge(new_settings(name), Random(3))
        self.log = DecisionLog(self.lines, name, Metrics())
        self.limits = DomainRateLimits(self.knowledge, self.log)
        links = SourceLinks(self.knowledge)
        links.attach(self.send, lambda peer_id, url: None)
        self.limits.attach(self.send)
        self.server = LimitServer(self.limits, links, self.knowledge, self.log)
        self.knowledge.limiter.take_limits({'acme': LIMIT})

    def send(self, peer_id: InstanceId, message: PeerMessage) -> bool:
        self._network.deliver(self.name, peer_id, message)
        return True

    def handle_event(self, event: Event) -> bool:
        """Handle a link event."""
        return self.server.handle_event(event)

    def call(self, amount: float = LARGE) -> bool:
        """Charge a call; return whether it is within the limit."""
        try:
            self.limits.charge(Charge('call-1', 'acme', amount))
        except OverLimitError as error:
            self.retry_after_s = error.retry_after_s
            return False
        return True

    @property
    def level(self) -> float:
        """The level of the token bucket as this node knows it."""
        verdict = self.knowledge.limiter.admit('acme', 0.0, clock_s())
        return verdict.level


class Network(DomainNetwork[Node]):
    """Nodes that enforce limits jointly."""

    def __init__(self, count: int) -> None:
        super().__init__()
        self.join([Node(self, f'n-{number}') for number in range(count)])


class DomainRateLimitsTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.network = Network(4)
        for node in self.network.nodes.values():
            self.addCleanup(node.log.close)
            node.knowledge.limiter.take_nodes(1, 1, clock_s() - 60)
        self.source = self.network.source
        self.first, self.second, self.third = self.network.others

    def test_nodes_share_one_token_bucket(self) -> None:
        """Guards against nodes that each allow all, or a part, of a limit."""
        nodes = self.network.others
        admitted = sum(nodes[number % 3].call() for number in range(30))
        # The bucket may go into debt by one call.
        self.assertIn(admitted, {10, 11})
        self.assertGreater(self.first.retry_after_s, 0)

    def test_small_calls_are_reported(self) -> None:
        """Guards against calls that are not charged."""
        eventlet.spawn_n(self.first.limits.run)
        for _ in range(300):
            self.assertTrue(self.first.call(SMALL))
        eventlet.sleep(2 * REPORT_INTERVAL_S)
        self.assertAlmostEqual(700, self.source.level, delta=60)

    def test_small_calls_are_refused_once_the_limit_is_reached(self) -> None:
        eventlet.spawn_n(self.first.limits.run)
        while self.second.call():
            """Exhaust the limit."""
        self.assertTrue(self.first.call(SMALL))
        eventlet.sleep(2 * REPORT_INTERVAL_S)
        self.assertFalse(self.first.call(SMALL))

    def test_small_calls_are_admitted_once_the_debt_is_paid(self) -> None:
        """Guards against calls refused because of an outdated message."""
        self.first.limits.handle_over_limit(OverLimit({'acme': 60.0}))
        self.assertFalse(self.first.call(SMALL))
        self.assertTrue(self.first.call(LARGE))
        self.assertTrue(self.first.call(SMALL))

    def test_a_call_that_no_target_ran_is_refunded(self) -> None:
        eventlet.spawn_n(self.first.limits.run)
        charge = Charge('call-1', 'acme', 900.0)
        self.first.limits.charge(charge)
        self.first.limits.refund(charge)
        eventlet.sleep(2 * REPORT_INTERVAL_S)
        self.assertAlmostEqual(1000, self.source.level, delta=1)

    def test_a_node_decides_locally_without_an_answer(self) -> None:
        """Guards against calls refused, or held, for lack of an answer."""
        self.network.silent.add(self.source.name)
        started_s = clock_s()
        self.assertTrue(self.first.call())
        took_s = clock_s() - started_s
        self.assertLess(took_s, max_wait_s(ANSWER_TIMEOUT_S, started_s))
        self.assertIn('limit.silent', self.first.lines.text)

    def test_a_refusal_logs_its_reasons(self) -> None:
        while self.first.call():
            """Exhaust the limit."""
        for field in ('call-1', 'acme', 'level', 'share', 'news_age_s'):
            self.assertIn(field, self.first.lines.text)

    def test_invalid_messages_are_dropped(self) -> None:
        """Guards against a peer that lifts, or exhausts, a limit for all."""
        for message in (
            ChargeAsked(1, 'acme', math.nan),
            ChargeAsked(2, 'acme', -5.0),
            UseReported({'acme': math.inf}),
            GroupUseTold(GroupUse('n-9.1', -1, {'acme': 1.0})),
            GroupUseTold(GroupUse('n-9.1', 1, {'acme': math.nan})),
        ):
            event = PeerMessageArrived(self.first.name, message)
            self.assertTrue(self.source.server.handle_event(event))
        self.assertEqual(5, self.source.lines.text.count('limit.dropped'))
        self.assertAlmostEqual(1000, self.source.level, delta=1)
