"""The prefill queue that the nodes of a failure domain share."""

import math
import time
from collections import Counter
from random import Random

import attrs
import eventlet
import testtools
from eventlet.event import Event as GreenEvent

from dandelionyoke_core import (
    Event,
    InstanceId,
    Metrics,
    PeerDisconnected,
    PeerMessage,
    PeerMessageArrived,
    message_from_mapping,
    message_to_mapping,
)
from dandelionyoke_dispatch import (
    Phase,
    Prompt,
    PromptPart,
    RegisteredTarget,
    TargetFailure,
)
from dandelionyoke_gateway import clock_s
from dandelionyoke_gateway._domain_prefill_queue import (
    ANSWER_TIMEOUT_S,
    DomainPrefillQueue,
)
from dandelionyoke_gateway._domain_reach_task import DomainReachTask
from dandelionyoke_gateway._knowledge import new_knowledge
from dandelionyoke_gateway._log import DecisionLog
from dandelionyoke_gateway._prefill_links import PrefillLinks
from dandelionyoke_gateway._prefill_messages import PrefillAsked, TargetFailed
from dandelionyoke_gateway._prefill_queue import (
    LocalPrefillQueue,
    PrefillGrant,
    PrefillRequest,
    PrefillResult,
    TooLateError,
)
from tests.gateway.network import DomainNetwork
from tests.gateway.settings import new_settings
from tests.gateway.waits import max_wait_s
from tests.platform.node_harness import LogLines

PREFILL_S = 0.05
# Longer than a report of a target counts.
STANDSTILL_S = 1.2
HOT = PromptPart('hot', 6000)


def engine(
    name: str,
    *,
    leaving: bool = False,
    phase: Phase = Phase.PREFILL,
    version: str = '',
) -> RegisteredTarget:
    return RegisteredTarget(
        name,
        'lm',
        '10.0.0.1:1',
        'a',
        32,
        leaving,
        phase,
        version=version,
    )


class Node:
    """A node without sockets."""

    def __init__(self, network: 'Network', name: str) -> None:
        self.name = InstanceId(name)
        self._network = network
        self.knowledge = new_knowledge(new_settings(name), Random(3))
        self.local_queue = LocalPrefillQueue(self.knowledge)
        self.log = DecisionLog(LogLines(), name, Metrics())
        domain_reach = DomainReachTask(self.knowledge, self.log)
        self.queue = DomainPrefillQueue(
            self.local_queue, self.knowledge, self.log, domain_reach
        )
        self.links = PrefillLinks(
            self.queue,
            self.local_queue,
            self.knowledge.loads,
            self.log,
            domain_reach,
        )
        self.links.attach(self.send)

    def handle_event(self, event: Event) -> bool:
        """Handle a link event."""
        return self.links.handle_event(event)

    def send(self, peer_id: InstanceId, message: PeerMessage) -> bool:
        self._network.deliver(self.name, peer_id, message)
        return True


class Network(DomainNetwork[Node]):
    """Nodes that assign prefills to the same engines."""

    def __init__(self, count: int, engines: list[RegisteredTarget]) -> None:
        super().__init__()
        self.join([Node(self, f'n-{number}') for number in range(count)])
        for node in self.nodes.values():
            node.knowledge.registry.replace(engines, clock_s())

    def disconnect(self, name: str) -> None:
        """Close all links of a node."""
        for node in self.nodes.values():
            node.handle_event(PeerDisconnected(InstanceId(name), 'cut'))


def request(
    number: int = 0, *, goal_s: float = 1.0, patience_s: float = 5.0
) -> PrefillRequest:
    """Build a request with the one hot shared prefix."""
    now_s = clock_s()
    prompt = Prompt('m', 9000, 10, (HOT, PromptPart(f'own-{number}', 3000)))
    return PrefillRequest(
        service='lm',
        prompt=prompt,
        rank=1,
        arrived_s=now_s,
        goal_s=goal_s,
        deadline_s=now_s + patience_s,
    )


class DomainPrefillQueueTest(testtools.TestCase):
    def network(self, nodes: int, engines: int) -> Network:
        listed = [engine(f'i-{number}') for number in range(engines)]
        network = Network(nodes, listed)
        for node in network.nodes.values():
            self.addCleanup(node.log.close)
        return network

    def teach_duration(
        self, network: Network, prefill_s: float = PREFILL_S
    ) -> None:
        """Let the source node learn how long a prefill takes."""
        local_queue = network.source.local_queue
        for number in range(40):
            grant = local_queue.acquire(request(number))
            local_queue.release(grant, PrefillResult(prefill_s))

    def test_a_hot_prefix_is_spread_over_engines(self) -> None:
        """Guards against overload of the first engine of a hot prefix."""
        network = self.network(nodes=17, engines=8)
        self.teach_duration(network)
        assigned: Counter[str] = Counter()
        for node in network.others:
            grant = node.queue.acquire(request())
            assigned[grant.placement.target.target_id] += 1
        self.assertEqual(16, sum(assigned.values()))
        self.assertLessEqual(max(assigned.values()), 2 * 16 // 8)

    def test_a_call_waits_while_other_nodes_fill_the_engines(self) -> None:
        """Guards against concurrent prefills that all finish late."""
        network = self.network(nodes=4, engines=1)
        self.teach_duration(network)
        first, second, third = network.others
        grants = [
            first.queue.acquire(request()),
            second.queue.acquire(request()),
        ]
        granted = GreenEvent()
        eventlet.spawn_n(lambda: granted.send(third.queue.acquire(request())))
        eventlet.sleep(0.02)
        self.assertFalse(granted.ready())
        first.queue.release(grants[0], PrefillResult(PREFILL_S))
        grant: PrefillGrant = granted.wait(timeout=1)
        self.assertEqual('i-0', grant.placement.target.target_id)

    def test_a_call_that_would_be_late_is_refused_at_once(self) -> None:
        """Guards against calls that wait in vain until their deadline."""
        network = self.network(nodes=4, engines=1)
        self.teach_duration(network, prefill_s=0.5)
        first, second, third = network.others
        for node in (first, second):
            node.queue.acquire(request())
        started_s = clock_s()
        late = request(goal_s=0.2, patience_s=0.3)
        refused = self.assertRaises(TooLateError, third.queue.acquire, late)
        self.assertLess(clock_s() - started_s, ANSWER_TIMEOUT_S)
        self.assertGreaterEqual(refused.retry_after_s, 0.2)

    def test_a_node_decides_locally_without_an_answer(self) -> None:
        """Guards against calls that wait for an unresponsive node."""
        network = self.network(nodes=3, engines=2)
        network.silent.add(network.source.name)
        node = network.others[0]
        started_s = clock_s()
        self.assertIsNotNone(node.queue.acquire(request()).placement)
        took_s = clock_s() - started_s
        self.assertLess(took_s, max_wait_s(ANSWER_TIMEOUT_S, started_s))
        started_s = clock_s()
        self.assertIsNotNone(node.queue.acquire(request()).placement)
        self.assertLess(clock_s() - started_s, ANSWER_TIMEOUT_S / 2)

    def test_a_source_node_that_fails_while_a_call_waits(self) -> None:
        """Guards against a queued call that waits for ever."""
        network = self.network(nodes=4, engines=1)
        self.teach_duration(network)
        first, second, third = network.others
        for node in (first, second):
            node.queue.acquire(request())
        granted = GreenEvent()
        eventlet.spawn_n(lambda: granted.send(third.queue.acquire(request())))
        eventlet.sleep(0.02)
        network.silent.update(network.nodes)
        self.assertIsNotNone(granted.wait(timeout=1).placement)

    def test_grants_of_a_disconnected_node_are_released(self) -> None:
        """Guards against grants that leak with each node that dies."""
        network = self.network(nodes=4, engines=1)
        self.teach_duration(network)
        first, second, third = network.others
        for node in (first, second):
            node.queue.acquire(request())
        network.silent.update({first.name, second.name})
        network.disconnect(first.name)
        started_s = clock_s()
        third.queue.acquire(request())
        self.assertLess(clock_s() - started_s, ANSWER_TIMEOUT_S / 2)

    def test_grants_that_are_not_released_expire(self) -> None:
        """Guards against grants that leak with a link that fails silently."""
        network = self.network(nodes=2, engines=1)
        node, source = network.others[0], network.source
        node.queue.acquire(request(patience_s=-0.95))
        tokens = source.knowledge.service_state(
            'lm'
        ).prompt_queue.backlog_tokens
        self.assertEqual(9000, tokens('i-0'))
        eventlet.sleep(0.1)
        self.assertEqual(0, tokens('i-0'))

    def test_an_engine_known_to_be_leaving_gets_no_prefill(self) -> None:
        """Guards against calls to an engine that another node still lists."""
        network = self.network(nodes=2, engines=1)
        node = network.others[0]
        left = [engine('i-0', leaving=True), engine('i-9')]
        node.knowledge.registry.replace(left, clock_s())
        grant = node.queue.acquire(request())
        self.assertEqual('i-9', grant.placement.target.target_id)

    def test_a_caller_that_disconnects_leaves_the_queue(self) -> None:
        """Guards against a queue that is blocked by callers that are gone."""
        network = self.network(nodes=4, engines=1)
        self.teach_duration(network)
        first, second, third = network.others
        for node in (first, second):
            node.queue.acquire(request())
        waiting = eventlet.spawn(third.queue.acquire, request())
        eventlet.sleep(0.02)
        prompt_queue = network.source.knowledge.service_state('lm').prompt_queue
        before_s = prompt_queue.expected_wait_s()
        waiting.kill()
        eventlet.sleep(0.02)
        self.assertLess(prompt_queue.expected_wait_s(), before_s)

    def test_no_grant_leaks_in_a_random_order_of_events(self) -> None:
        """Guards against grants that are released twice, or never."""
        network = self.network(nodes=5, engines=2)
        self.teach_duration(network, prefill_s=0.01)
        random = Random(11)

        def use_engine(node: Node) -> None:
            try:
                grant = node.queue.acquire(request(patience_s=0.2))
            except TooLateError:
                return
            try:
                eventlet.sleep(0.01 * random.random())
            finally:
                node.queue.release(grant, PrefillResult(0.01))

        users = [
            eventlet.spawn(use_engine, random.choice(network.others))
            for _ in range(200)
        ]
        for user in random.sample(users, 40):
            eventlet.sleep(0.001)
            user.kill()
        for user in users:
            if not user.dead:
                user.wait()
        eventlet.sleep(0.05)
        prompt_queue = network.source.knowledge.service_state('lm').prompt_queue
        self.assertEqual(0, prompt_queue.expected_wait_s())
        self.assertEqual(
            0, sum(map(prompt_queue.backlog_tokens, ('i-0', 'i-1')))
        )

    def test_a_failure_is_shared_with_the_domain(self) -> None:
        """Guards against nodes that must each detect a dead engine."""
        network = self.network(nodes=4, engines=2)
        first, second, _ = network.others
        first.knowledge.loads.unreachable('i-0', clock_s())
        eventlet.sleep(0.02)
        grant = second.queue.acquire(request())
        self.assertEqual('i-1', grant.placement.target.target_id)
        self.assertTrue(second.knowledge.loads.is_in_cooldown('i-0', clock_s()))

    def test_failures_of_a_cut_off_node_do_not_exclude_all_engines(
        self,
    ) -> None:
        """Guards against one node's failures that block all other nodes."""
        network = self.network(nodes=4, engines=2)
        cut_off, healthy, _ = network.others
        for name in ('i-0', 'i-1'):
            cut_off.knowledge.loads.unreachable(name, clock_s())
        eventlet.sleep(0.02)
        grant = healthy.queue.acquire(request())
        self.assertIsNotNone(grant.placement)
        healthy.queue.release(grant, PrefillResult(PREFILL_S))
        eventlet.sleep(0.02)
        loads = network.source.knowledge.loads
        target_id = grant.placement.target.target_id
        cut_off.knowledge.loads.unreachable(target_id, clock_s())
        eventlet.sleep(0.02)
        loads.succeeded(target_id)
        self.assertFalse(loads.is_in_cooldown(target_id, clock_s() + 1.1))

    def test_an_engine_that_responded_before_a_standstill_is_not_excluded(
        self,
    ) -> None:
        """Guards against engines passed over for what a cut-off node says."""
        network = self.network(nodes=2, engines=1)
        node, source = network.others[0], network.source
        source.knowledge.loads.reported('i-0', 3, clock_s())
        time.sleep(STANDSTILL_S)
        failure = TargetFailed('i-0', TargetFailure.UNREACHABLE)
        source.links.handle_event(PeerMessageArrived(node.name, failure))
        loads = source.knowledge.loads
        self.assertFalse(loads.is_in_cooldown('i-0', clock_s()))
        self.assertEqual(3, loads.busy('i-0', clock_s()))

    def test_an_engine_that_is_not_heard_while_running_is_excluded(
        self,
    ) -> None:
        """Guards against prefills at an engine that is gone."""
        network = self.network(nodes=2, engines=1)
        node, source = network.others[0], network.source
        source.knowledge.loads.reported('i-0', 3, clock_s())
        eventlet.sleep(STANDSTILL_S)
        failure = TargetFailed('i-0', TargetFailure.UNREACHABLE)
        source.links.handle_event(PeerMessageArrived(node.name, failure))
        self.assertTrue(source.knowledge.loads.is_in_cooldown('i-0', clock_s()))

    def test_invalid_and_repeated_requests_are_dropped(self) -> None:
        """Guards against grants for invalid figures of another version."""
        network = self.network(nodes=2, engines=1)
        node, source = network.others[0], network.source
        invalid = PrefillAsked(1, 'lm', 'hot', 6000, 5000, 1, 0.0, 1.0, 5.0)
        infinite = attrs.evolve(invalid, token_count=9000, useful_s=math.inf)
        valid = attrs.evolve(infinite, useful_s=5.0)
        for message in (invalid, infinite, valid, valid):
            source.links.handle_event(PeerMessageArrived(node.name, message))
        self.assertEqual(1, network.sent['PrefillTold'])
        prompt_queue = source.knowledge.service_state('lm').prompt_queue
        self.assertEqual(9000, prompt_queue.backlog_tokens('i-0'))

    def test_an_unexpected_answer_is_dropped(self) -> None:
        """Guards against late or repeated answers that affect a call."""
        network = self.network(nodes=2, engines=1)
        node, source = network.others[0], network.source
        grant = node.queue.acquire(request())
        message = PrefillAsked(77, 'lm', 'hot', 6000, 9000, 1, 0.0, 1.0, 5.0)
        source.links.handle_event(PeerMessageArrived(node.name, message))
        eventlet.sleep(0.02)
        node.queue.release(grant, PrefillResult(PREFILL_S))
        self.assertIsNotNone(node.queue.acquire(request()).placement)


class VersionPrefillTest(testtools.TestCase):
    """Engines of two versions, and nodes that do not know of versions."""

    def network(self, *engines: RegisteredTarget) -> Network:
        network = Network(2, list(engines))
        for node in network.nodes.values():
            self.addCleanup(node.log.close)
        return network

    def acquire(self, node: Node, version: str) -> PrefillGrant:
        bound = attrs.evolve(request(), version=version)
        return node.queue.acquire(bound)

    def test_the_placing_node_keeps_the_version_of_a_stream(self) -> None:
        """Guards against a resumed stream whose prompt goes to any engine."""
        network = self.network(
            *(engine(f'i-{number}', version='v1') for number in range(8)),
            engine('i-9', version='v2'),
        )
        node = network.others[0]
        for _ in range(6):
            grant = self.acquire(node, 'v2')
            self.assertEqual('i-9', grant.placement.target.target_id)
            self.assertIsNotNone(grant.placed_by)
        self.assertIsNone(self.acquire(node, 'v3').placement)

    def test_a_placing_node_that_knows_no_versions_is_corrected(self) -> None:
        """Guards against mixed versions while our nodes are updated."""
        engines = [
            *(engine(f'i-{number}', version='v1') for number in range(8)),
            engine('i-9', version='v2'),
        ]
        network = self.network(*engines)
        network.source.knowledge.registry.replace(
            [attrs.evolve(one, version='') for one in engines], clock_s()
        )
        node = network.others[0]
        for _ in range(6):
            placement = self.acquire(node, 'v2').placement
            self.assertEqual('i-9', placement.target.target_id)

    def test_questions_of_older_and_newer_nodes_are_read(self) -> None:
        """Guards against questions that are dropped while nodes are updated."""
        asked = PrefillAsked(1, 'lm', 'hot', 6000, 9000, 1, 0.0, 1.0, 5.0)
        bound = attrs.evolve(asked, version='v2')
        mapping = message_to_mapping(bound)
        self.assertEqual(bound, message_from_mapping(mapping))
        self.assertEqual(
            bound, message_from_mapping({**mapping, 'newer_field': 1})
        )
        mapping.pop('version')
        self.assertEqual(asked, message_from_mapping(mapping))

    def test_no_prefix_of_another_version_is_fetched(self) -> None:
        """Guards against a source that a node without versions names."""
        engines = [
            engine(f'i-{number}', version=f'v{number}') for number in range(4)
        ]
        engines += [
            engine(f'd-{number}', phase=Phase.DECODE, version=f'v{number}')
            for number in range(4)
        ]
        network = self.network(*engines)
        network.source.knowledge.registry.replace(
            [attrs.evolve(one, version='') for one in engines], clock_s()
        )
        node = network.others[0]
        grants = [node.queue.acquire(request()) for _ in range(8)]
        self.assertEqual(
            4, len({grant.placement.target.target_id for grant in grants})
        )
        for grant in grants:
            self.assertIsNone(grant.placement.source)

    def test_a_prompt_that_could_not_be_decoded_is_placed_anew(self) -> None:
        """Guards against prompts that are prefilled in vain."""
        engines = [
            *(engine(f'i-{number}', version='v1') for number in range(8)),
            engine('i-9', version='v2'),
            engine('d-9', phase=Phase.DECODE, version='v2'),
        ]
        network = self.network(*engines)
        network.source.knowledge.registry.replace(
            [attrs.evolve(one, version='') for one in engines], clock_s()
        )
        node = network.others[0]
        for _ in range(4):
            grant = node.queue.acquire(request())
            self.assertEqual('i-9', grant.placement.target.target_id)
            node.queue.release(grant, PrefillResult(PREFILL_S))
