"""The prefill queue that the nodes of a failure domain share."""

import math
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
)
from dandelionyoke_dispatch import (
    Phase,
    Prompt,
    PromptPart,
    RegisteredTarget,
)
from dandelionyoke_gateway import clock_s
from dandelionyoke_gateway._domain_prefill_queue import (
    ANSWER_TIMEOUT_S,
    DomainPrefillQueue,
)
from dandelionyoke_gateway._knowledge import new_knowledge
from dandelionyoke_gateway._log import DecisionLog
from dandelionyoke_gateway._prefill_links import PrefillLinks
from dandelionyoke_gateway._prefill_messages import PrefillAsked
from dandelionyoke_gateway._prefill_queue import (
    LocalPrefillQueue,
    PrefillGrant,
    PrefillRequest,
    PrefillResult,
    TooLateError,
)
from tests.gateway.network import DomainNetwork
from tests.gateway.settings import new_settings
from tests.platform.path import Lines

READ_S = 0.05
HOT = PromptPart('hot', 6000)


def engine(name: str, *, leaving: bool = False) -> RegisteredTarget:
    return RegisteredTarget(
        name, 'lm', '10.0.0.1:1', 'a', 32, leaving, Phase.PREFILL
    )


class Node:
    """A node of one domain, without sockets."""

    def __init__(self, network: 'Network', name: str) -> None:
        self.name = InstanceId(name)
        self._network = network
        self.knowledge = new_knowledge(new_settings(name), Random(3))
        self.local = LocalPrefillQueue(self.knowledge)
        self.log = DecisionLog(Lines(), name, Metrics())
        self.queue = DomainPrefillQueue(self.local, self.knowledge, self.log)
        self.links = PrefillLinks(
            self.queue, self.local, self.knowledge.loads, self.log
        )
        self.links.attach(self.send)

    def handle_event(self, event: Event) -> bool:
        """Take an event of the links."""
        return self.links.handle_event(event)

    def send(self, peer_id: InstanceId, message: PeerMessage) -> bool:
        self._network.deliver(self.name, peer_id, message)
        return True


class Network(DomainNetwork[Node]):
    """Nodes that place prompts at the same engines."""

    def __init__(self, count: int, engines: list[RegisteredTarget]) -> None:
        super().__init__()
        self.join([Node(self, f'n-{one}') for one in range(count)])
        for node in self.nodes.values():
            node.knowledge.registry.replace(engines, clock_s())

    def lose(self, name: str) -> None:
        """End all links of a node."""
        for node in self.nodes.values():
            node.handle_event(PeerDisconnected(InstanceId(name), 'cut'))


def request(
    number: int = 0, *, goal_s: float = 1.0, patience_s: float = 5.0
) -> PrefillRequest:
    """A prompt of the one hot shared prefix."""
    now_s = clock_s()
    prompt = Prompt('m', 9000, 10, (HOT, PromptPart(f'own-{number}', 3000)))
    return PrefillRequest(
        service='lm',
        prompt=prompt,
        rank=1,
        arrived_s=now_s,
        goal_s=goal_s,
        useful_until_s=now_s + patience_s,
    )


class SharedQueueTest(testtools.TestCase):
    def network(self, nodes: int, engines: int) -> Network:
        listed = [engine(f'i-{number}') for number in range(engines)]
        network = Network(nodes, listed)
        for node in network.nodes.values():
            self.addCleanup(node.log.close)
        return network

    def teach(self, network: Network, read_s: float = READ_S) -> None:
        """Let the placing node know how long a prefill takes."""
        local = network.source.local
        for number in range(40):
            grant = local.enter(request(number))
            local.leave(grant, PrefillResult(read_s))

    def test_nodes_with_one_call_each_spread_a_hot_prefix(self) -> None:
        """Guards against a pile at the first engine of a hot prefix."""
        network = self.network(nodes=17, engines=8)
        self.teach(network)
        crowd: Counter[str] = Counter()
        for node in network.others:
            grant = node.queue.enter(request())
            crowd[grant.home.target.target_id] += 1
        self.assertEqual(16, sum(crowd.values()))
        self.assertLessEqual(max(crowd.values()), 2 * 16 // 8)

    def test_a_call_waits_while_other_nodes_fill_the_engines(self) -> None:
        """Guards against prompts side by side that all come late."""
        network = self.network(nodes=4, engines=1)
        self.teach(network)
        first, second, third = network.others
        grants = [first.queue.enter(request()), second.queue.enter(request())]
        begun = GreenEvent()
        eventlet.spawn_n(lambda: begun.send(third.queue.enter(request())))
        eventlet.sleep(0.02)
        self.assertFalse(begun.ready())
        first.queue.leave(grants[0], PrefillResult(READ_S))
        grant: PrefillGrant = begun.wait(timeout=1)
        self.assertEqual('i-0', grant.home.target.target_id)

    def test_what_cannot_be_served_is_refused_at_once(self) -> None:
        """Guards against calls that are held until their time is over."""
        network = self.network(nodes=4, engines=1)
        self.teach(network, read_s=0.5)
        first, second, third = network.others
        for node in (first, second):
            node.queue.enter(request())
        asked_s = clock_s()
        late = request(goal_s=0.2, patience_s=0.3)
        refused = self.assertRaises(TooLateError, third.queue.enter, late)
        self.assertLess(clock_s() - asked_s, ANSWER_TIMEOUT_S)
        self.assertGreaterEqual(refused.retry_after_s, 0.2)

    def test_a_silent_node_is_replaced_by_an_own_decision(self) -> None:
        """Guards against calls that wait for a frozen node."""
        network = self.network(nodes=3, engines=2)
        network.silent.add(network.source.name)
        node = network.others[0]
        asked_s = clock_s()
        self.assertIsNotNone(node.queue.enter(request()).home)
        self.assertLess(clock_s() - asked_s, 2 * ANSWER_TIMEOUT_S)
        asked_s = clock_s()
        self.assertIsNotNone(node.queue.enter(request()).home)
        self.assertLess(clock_s() - asked_s, ANSWER_TIMEOUT_S / 2)

    def test_a_node_that_freezes_while_a_call_waits(self) -> None:
        """Guards against a queued call that hears nothing any more."""
        network = self.network(nodes=4, engines=1)
        self.teach(network)
        first, second, third = network.others
        for node in (first, second):
            node.queue.enter(request())
        begun = GreenEvent()
        eventlet.spawn_n(lambda: begun.send(third.queue.enter(request())))
        eventlet.sleep(0.02)
        network.silent.update(network.nodes)
        self.assertIsNotNone(begun.wait(timeout=1).home)

    def test_places_of_a_lost_node_are_free_again(self) -> None:
        """Guards against places that leak with each node that dies."""
        network = self.network(nodes=4, engines=1)
        self.teach(network)
        first, second, third = network.others
        for node in (first, second):
            node.queue.enter(request())
        network.silent.update({first.name, second.name})
        network.lose(first.name)
        asked_s = clock_s()
        third.queue.enter(request())
        self.assertLess(clock_s() - asked_s, ANSWER_TIMEOUT_S / 2)

    def test_places_without_an_end_are_free_in_time(self) -> None:
        """Guards against places that leak with a link that is cut silently."""
        network = self.network(nodes=2, engines=1)
        node, placing = network.others[0], network.source
        node.queue.enter(request(patience_s=-0.95))
        tokens = placing.knowledge.watch_of('lm').line.backlog_tokens
        self.assertEqual(9000, tokens('i-0'))
        eventlet.sleep(0.1)
        self.assertEqual(0, tokens('i-0'))

    def test_an_engine_that_this_node_knows_to_leave_gets_nothing(self) -> None:
        """Guards against work for an engine that another node still lists."""
        network = self.network(nodes=2, engines=1)
        node = network.others[0]
        left = [engine('i-0', leaving=True), engine('i-9')]
        node.knowledge.registry.replace(left, clock_s())
        grant = node.queue.enter(request())
        self.assertEqual('i-9', grant.home.target.target_id)

    def test_a_caller_that_leaves_frees_its_wait(self) -> None:
        """Guards against a queue that is held up by callers that are gone."""
        network = self.network(nodes=4, engines=1)
        self.teach(network)
        first, second, third = network.others
        for node in (first, second):
            node.queue.enter(request())
        waiting = eventlet.spawn(third.queue.enter, request())
        eventlet.sleep(0.02)
        line = network.source.knowledge.watch_of('lm').line
        before_s = line.expected_wait_s()
        waiting.kill()
        eventlet.sleep(0.02)
        self.assertLess(line.expected_wait_s(), before_s)

    def test_no_place_leaks_in_a_random_order_of_events(self) -> None:
        """Guards against places that are given back twice, or never."""
        network = self.network(nodes=5, engines=2)
        self.teach(network, read_s=0.01)
        random = Random(11)

        def use(node: Node) -> None:
            try:
                grant = node.queue.enter(request(patience_s=0.2))
            except TooLateError:
                return
            try:
                eventlet.sleep(0.01 * random.random())
            finally:
                node.queue.leave(grant, PrefillResult(0.01))

        users = [
            eventlet.spawn(use, random.choice(network.others))
            for _ in range(200)
        ]
        for user in random.sample(users, 40):
            eventlet.sleep(0.001)
            user.kill()
        for user in users:
            if not user.dead:
                user.wait()
        eventlet.sleep(0.05)
        line = network.source.knowledge.watch_of('lm').line
        self.assertEqual(0, line.expected_wait_s())
        self.assertEqual(0, sum(map(line.backlog_tokens, ('i-0', 'i-1'))))

    def test_one_failure_is_known_to_the_domain(self) -> None:
        """Guards against each node learning of a dead engine by itself."""
        network = self.network(nodes=4, engines=2)
        first, second, _ = network.others
        first.knowledge.loads.unreachable('i-0', clock_s())
        eventlet.sleep(0.02)
        grant = second.queue.enter(request())
        self.assertEqual('i-1', grant.home.target.target_id)
        self.assertTrue(second.knowledge.loads.rests('i-0', clock_s()))

    def test_a_node_that_is_cut_off_empties_no_fleet(self) -> None:
        """Guards against one node's failures that stop all others."""
        network = self.network(nodes=4, engines=2)
        cut_off, sound, _ = network.others
        for name in ('i-0', 'i-1'):
            cut_off.knowledge.loads.unreachable(name, clock_s())
        eventlet.sleep(0.02)
        grant = sound.queue.enter(request())
        self.assertIsNotNone(grant.home)
        sound.queue.leave(grant, PrefillResult(READ_S))
        eventlet.sleep(0.02)
        loads = network.source.knowledge.loads
        target_id = grant.home.target.target_id
        cut_off.knowledge.loads.unreachable(target_id, clock_s())
        eventlet.sleep(0.02)
        loads.succeeded(target_id)
        self.assertFalse(loads.rests(target_id, clock_s() + 1.1))

    def test_impossible_and_repeated_questions_are_dropped(self) -> None:
        """Guards against places that another version's figures take up."""
        network = self.network(nodes=2, engines=1)
        node, placing = network.others[0], network.source
        bad = PrefillAsked(1, 'lm', 'hot', 6000, 5000, 1, 0.0, 1.0, 5.0)
        endless = attrs.evolve(bad, token_count=9000, useful_s=math.inf)
        good = attrs.evolve(endless, useful_s=5.0)
        for asked in (bad, endless, good, good):
            placing.links.handle_event(PeerMessageArrived(node.name, asked))
        self.assertEqual(1, network.sent['PrefillTold'])
        line = placing.knowledge.watch_of('lm').line
        self.assertEqual(9000, line.backlog_tokens('i-0'))

    def test_an_answer_that_nobody_waits_for_is_dropped(self) -> None:
        """Guards against a late or repeated answer that changes a call."""
        network = self.network(nodes=2, engines=1)
        node, placing = network.others[0], network.source
        grant = node.queue.enter(request())
        asked = PrefillAsked(77, 'lm', 'hot', 6000, 9000, 1, 0.0, 1.0, 5.0)
        placing.links.handle_event(PeerMessageArrived(node.name, asked))
        eventlet.sleep(0.02)
        node.queue.leave(grant, PrefillResult(READ_S))
        self.assertIsNotNone(node.queue.enter(request()).home)
