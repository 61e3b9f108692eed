"""Source nodes of several domains that assign prefills to the same engines."""

import time
from random import Random

import eventlet
import testtools

from dandelionyoke_core import (
    InstanceId,
    Metrics,
    PeerMessage,
    PeerMessageArrived,
)
from dandelionyoke_dispatch import (
    Member,
    Phase,
    Prompt,
    PromptPart,
    RegisteredTarget,
)
from dandelionyoke_gateway import clock_s
from dandelionyoke_gateway._backlog_task import (
    CHECK_INTERVAL_S,
    BacklogTask,
)
from dandelionyoke_gateway._knowledge import new_knowledge
from dandelionyoke_gateway._log import DecisionLog
from dandelionyoke_gateway._prefill_messages import BacklogTold
from dandelionyoke_gateway._prefill_queue import (
    LocalPrefillQueue,
    PrefillGrant,
    PrefillRequest,
    PrefillResult,
)
from dandelionyoke_gateway._source_links import SourceLinks
from tests.gateway.settings import new_settings
from tests.platform.node_harness import LogLines

# Longer than a backlog lasts that is not told again.
STANDSTILL_S = 1.2
ENGINES = [
    RegisteredTarget(
        f'i-{number}', 'lm', '10.0.0.1:1', 'a', 32, False, Phase.PREFILL
    )
    for number in range(8)
]


class Node:
    """The only node of its domain."""

    def __init__(self, domain: str, nodes: dict[str, 'Node']) -> None:
        self.name = InstanceId(f'n-{domain}')
        self._nodes = nodes
        settings = new_settings(self.name)
        self.knowledge = new_knowledge(settings, Random(3))
        self.knowledge.sources._domain = domain
        self.knowledge.sources.take_members(
            (Member(f'n-{other}', other, '10.0.0.2:7') for other in 'abc'),
            clock_s(),
        )
        self.knowledge.registry.replace(ENGINES, clock_s())
        self.lines = LogLines()
        self.log = DecisionLog(self.lines, self.name, Metrics())
        links = SourceLinks(self.knowledge)
        links.attach(self.send, lambda peer_id, url: None)
        self.task = BacklogTask(links, self.knowledge, self.log)
        self.queue = LocalPrefillQueue(self.knowledge)

    def send(self, peer_id: InstanceId, message: PeerMessage) -> bool:
        event = PeerMessageArrived(self.name, message)
        self._nodes[peer_id].task.handle_event(event)
        return True

    def assign(self) -> PrefillGrant:
        """Assign a prefill without a shared prefix."""
        now_s = clock_s()
        prompt = Prompt('m', 9000, 10, (PromptPart('own', 9000),))
        return self.queue.acquire(
            PrefillRequest('lm', prompt, 1, now_s, 1.0, now_s + 5)
        )

    def assign_engine(self) -> str:
        """Assign a prefill; return its engine."""
        placement = self.assign().placement
        assert placement is not None
        return placement.target.target_id


class BacklogTaskTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.nodes: dict[str, Node] = {}
        for domain in 'abc':
            node = Node(domain, self.nodes)
            self.nodes[node.name] = node
            self.addCleanup(node.log.close)
            self.addCleanup(eventlet.spawn(node.task.run).kill)
        self.first, self.second, self.third = self.nodes.values()
        # A node tracks a service from its first call on.
        for node in self.nodes.values():
            node.queue.release(node.assign(), PrefillResult(0.2))

    def wait_for_messages(self) -> None:
        eventlet.sleep(2 * CHECK_INTERVAL_S)

    def test_other_domains_avoid_busy_engines(self) -> None:
        """Guards against all domains choosing the same idle engine."""
        engines = []
        for node in (*self.nodes.values(), *self.nodes.values()):
            engines.append(node.assign_engine())
            self.wait_for_messages()
        self.assertEqual(6, len(set(engines)))

    def test_a_released_grant_reduces_the_backlog(self) -> None:
        """Guards against idle engines that still count as busy."""
        grants = [self.first.assign() for _ in range(4)]
        self.wait_for_messages()
        prompt_queue = self.second.knowledge.service_state('lm').prompt_queue
        busy = [
            grant.placement.target.target_id
            for grant in grants
            if grant.placement
        ]
        for target_id in busy:
            tokens = prompt_queue.fleet_backlog(clock_s())[target_id]
            self.assertEqual(9000, tokens)
        for grant in grants:
            self.first.queue.release(grant, PrefillResult(0.2))
        self.wait_for_messages()
        for target_id in busy:
            tokens = prompt_queue.fleet_backlog(clock_s())[target_id]
            self.assertEqual(0, tokens)

    def test_a_backlog_outlasts_a_standstill(self) -> None:
        """Guards against prefills at busy engines after a standstill."""
        others = (self.first, self.third)
        busy = []
        for node in others * 3:
            busy.append(node.assign_engine())
            self.wait_for_messages()
        time.sleep(STANDSTILL_S)
        self.assertNotIn(self.second.assign_engine(), busy)

    def test_an_old_backlog_expires(self) -> None:
        """Guards against engines left idle because of a node that is cut off."""
        prompt_queue = self.second.knowledge.service_state('lm').prompt_queue
        prompt_queue.set_peer_backlog('n-9', {'i-0': 9000}, clock_s() - 0.6)
        self.assertEqual(0, prompt_queue.fleet_backlog(clock_s())['i-0'])

    def test_an_invalid_backlog_is_ignored(self) -> None:
        """Guards against a peer that attracts all prefills to one engine."""
        message = BacklogTold({'lm': {'i-0': -9000}})
        self.second.task.handle_event(
            PeerMessageArrived(self.first.name, message)
        )
        prompt_queue = self.second.knowledge.service_state('lm').prompt_queue
        self.assertEqual(0, prompt_queue.fleet_backlog(clock_s())['i-0'])
        self.assertIn('placing.dropped', self.second.lines.text)
