"""The prefill queue of engines that report how slow they are."""

from unittest import mock

import attrs
import eventlet
import testtools
from eventlet.greenthread import GreenThread

from dandelionyoke_core import InstanceId, PeerMessageArrived
from dandelionyoke_gateway import clock_s
from dandelionyoke_gateway._backlog_task import BacklogTask
from dandelionyoke_gateway._domain_prefill_queue import ANSWER_TIMEOUT_S
from dandelionyoke_gateway._prefill_messages import (
    QUEUED_INTERVAL_S,
    BacklogTold,
    PrefillAsked,
    PrefillTold,
    PrefillVerdict,
)
from dandelionyoke_gateway._prefill_queue import (
    PrefillRequest,
    PrefillResult,
    TooLateError,
)
from dandelionyoke_gateway._source_links import SourceLinks
from tests.gateway.test_prefill_queue import Network, Node, engine, request

PREFILL_S = 0.05
# The prompts of `request` that the window of one engine takes.
ROOM = 3


class SharedPrefillTest(testtools.TestCase):
    def network(self, nodes: int) -> Network:
        """Connect nodes that know the speed of the one engine."""
        network = Network(nodes, [engine('i-0')])
        for node in network.nodes.values():
            self.addCleanup(node.log.close)
            node.knowledge.speeds.observe(engine('i-0'), 1.0, clock_s())
            node.local_queue.attach_log(node.log)
            for number in range(40):
                grant = node.local_queue.acquire(request(number))
                node.local_queue.release(grant, PrefillResult(PREFILL_S))
        return network

    def start(self, node: Node, *requests: PrefillRequest) -> list[GreenThread]:
        threads = [eventlet.spawn(node.queue.acquire, one) for one in requests]
        for thread in threads:
            self.addCleanup(thread.kill)
        eventlet.sleep(0.02)
        return threads

    def in_flight(self, node: Node) -> int:
        queue = node.knowledge.service_state('lm').prompt_queue
        return queue.backlog_tokens('i-0') // request().prompt.token_count

    def queued(self, node: Node) -> int:
        return node.knowledge.service_state('lm').prompt_queue.queued_count

    def test_nodes_without_a_placing_node_take_their_parts(self) -> None:
        """Guards against nodes that flood the engines, each with all it has.

        The placing node is lost while calls wait in its queue.
        """
        network = self.network(nodes=5)
        for node in network.others:
            self.start(node, *(request() for _ in range(4)))
        self.assertEqual(ROOM, self.in_flight(network.source))
        network.silent.update(network.nodes)
        eventlet.sleep(QUEUED_INTERVAL_S + 2 * ANSWER_TIMEOUT_S)
        alone = [self.in_flight(node) for node in network.others]
        self.assertLessEqual(max(alone), 1)
        self.assertGreaterEqual(sum(alone), 3)

    def test_the_age_of_calls_keeps_their_order(self) -> None:
        """Guards against calls that start anew at the next placing node."""
        network = self.network(nodes=2)
        node, source = network.others[0], network.source
        running = self.start(node, *(request() for _ in range(ROOM)))
        asked = PrefillAsked(1, 'lm', 'hot', 6000, 9000, 1, 0.0, 1.0, 5.0)
        older = attrs.evolve(asked, number=2, age_s=0.5)
        granted: list[int] = []

        def record(told: PrefillTold) -> None:
            if told.verdict is PrefillVerdict.GRANTED:
                granted.append(told.number)

        with mock.patch.object(node.queue, 'handle_response', record):
            for message in (asked, older):
                source.links.handle_event(
                    PeerMessageArrived(node.name, message)
                )
            eventlet.sleep(0.02)
            self.assertEqual([], granted)
            node.queue.release(running[0].wait(), PrefillResult(PREFILL_S))
            eventlet.sleep(0.02)
        self.assertEqual([2], granted)

    def test_a_call_waits_no_longer_than_a_lost_end(self) -> None:
        """Guards against a window that ends which never come hold for good."""
        network = self.network(nodes=3)
        lost, waiting = network.others
        self.start(lost, *(request(patience_s=-0.9) for _ in range(ROOM)))
        self.start(waiting, request())
        self.assertEqual(1, self.queued(network.source))
        eventlet.sleep(0.2)
        self.assertEqual(0, self.queued(network.source))
        self.assertEqual(1, self.in_flight(network.source))

    def test_room_that_another_domain_leaves_is_used(self) -> None:
        """Guards against calls that wait beside engines that have room."""
        node = self.network(nodes=1).source
        links = SourceLinks(node.knowledge)
        task = BacklogTask(links, node.knowledge, node.log)

        def tell(tokens: int) -> None:
            told = BacklogTold({'lm': {'i-0': tokens}})
            task.handle_event(PeerMessageArrived(InstanceId('n-9'), told))

        tell(90000)
        self.start(node, *(request() for _ in range(ROOM)))
        self.assertEqual(1, self.queued(node))
        tell(0)
        self.assertEqual(0, self.queued(node))

    def test_a_refused_call_is_known_when_it_returns(self) -> None:
        """Guards against callers who return behind those that came later."""
        node = self.network(nodes=1).source
        self.start(node, *(request() for _ in range(40)))
        tried = attrs.evolve(
            request(goal_s=0.1, patience_s=0.9), call_key='key'
        )
        error = self.assertRaises(TooLateError, node.queue.acquire, tried)
        self.assertLessEqual(error.retry_after_s, 0.3)
        arrivals = node.knowledge.service_state('lm').first_arrivals
        now_s = clock_s()
        self.assertEqual(
            tried.arrived_s, arrivals.find('key', now_s + 1, now_s)
        )
