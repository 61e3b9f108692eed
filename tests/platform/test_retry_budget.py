"""What nodes that share their calls send to targets more than once."""

import json
from collections import Counter
from collections.abc import Iterator
from unittest import mock

import attrs
import eventlet
import testtools
from eventlet.event import Event
from testtools.content import text_content

from dandelionyoke_dispatch import Phase
from dandelionyoke_gateway import clock_s
from dandelionyoke_gateway._prefill_queue import (
    LocalPrefillQueue,
    PrefillGrant,
    PrefillRequest,
)
from tests.gateway.settings import new_settings
from tests.platform.node_harness import (
    NodeHarness,
    ReceivedRequest,
    Script,
    ScriptedTarget,
    ScriptStep,
    answer,
    chunk,
)

NODE_COUNT = 4
RETRY_SHARE = 0.2
RETRY_EXTRA = 10
CALL_COUNT = 60
# An outage of some seconds, within one window of the rule.
BURST_COUNT = 3
BURST_SIZE = 24
BURST_INTERVAL_S = 1.5
PREFILL_S = 0.03
# A probe comes twice a second.
REACHED_S = 0.7
# Another node that is silent for 1.6 s is not the only one with the call.
BOTH_TRY_S = 2.0
BEGIN_S = 0.3
# Past the time limit of the call.
STAYS_SILENT_S = 4.0
PROMPT_HEADERS = (
    'Model: m\r\nToken-Count: 900,20\r\nPrompt-Prefix: aa:500,bb:400\r\n'
)
HANDLE_BODY = b'{"kv_handle":"h1","tokens":900,"version":1}'
NOT_RUN = 'Not-Executed: 1\r\n'


def answers_prefill(request: ReceivedRequest) -> Iterator[ScriptStep]:
    yield PREFILL_S
    yield answer(body=HANDLE_BODY, extra='')


def refuses_call(request: ReceivedRequest) -> Iterator[ScriptStep]:
    yield answer('503 Busy', b'', NOT_RUN)


def signed_head(request: ReceivedRequest) -> str:
    attempt_id = request.headers['attempt-id']
    return f'Response-Signature: s\r\nAttempt-Id: {attempt_id}\r\n'


def answers_ok(request: ReceivedRequest) -> Iterator[ScriptStep]:
    yield answer(extra=signed_head(request))


def streams_token(request: ReceivedRequest) -> Iterator[ScriptStep]:
    head = (
        f'HTTP/1.1 200 OK\r\n{signed_head(request)}'
        'Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n'
    )
    yield head.encode() + chunk(b'id: 1\ndata: t\n\n') + chunk(b'')


def status(content: bytes) -> int:
    return int(content.split(b' ')[1])


def repeat_count(targets: list[ScriptedTarget]) -> int:
    """Count the requests beyond the first of each attempt.

    The first prefill of an attempt that a target accepts does not count.
    """
    arrivals: Counter[str] = Counter()
    prefills: Counter[str] = Counter()
    for target in targets:
        for request in target.received_requests:
            attempt_id = request.headers.get('attempt-id')
            if attempt_id is None:
                # The release of a KV cache.
                continue
            is_prefill = request.headers.get('serving-phase') == 'prefill'
            if is_prefill and target.is_accepting:
                prefills[attempt_id] += 1
            else:
                arrivals[attempt_id] += 1
    for attempt_id, count in prefills.items():
        arrivals[attempt_id] += count - 1
    return sum(max(0, count - 1) for count in arrivals.values())


class FleetTestCase(testtools.TestCase):
    """Nodes that know each other and the same targets."""

    retry_extra = RETRY_EXTRA

    def setUp(self) -> None:
        super().setUp()
        self.nodes = [self.new_node(f'n-{n}') for n in range(NODE_COUNT)]
        members = [node.open_links() for node in self.nodes]
        for node in self.nodes:
            node.knowledge.take_node_count(NODE_COUNT)
            own_id = node.knowledge.settings.instance_id
            others = [item for item in members if item.instance_id != own_id]
            node.knowledge.sources.take_members(others, clock_s())
        self.targets: list[ScriptedTarget] = []

    def new_node(self, name: str) -> NodeHarness:
        settings = attrs.evolve(
            new_settings(name),
            retry_share=RETRY_SHARE,
            retry_extra=self.retry_extra,
        )
        node = NodeHarness(name, settings)
        self.addCleanup(node.close)
        self.addOnException(
            lambda _: self.addDetail(
                f'log of {name}', text_content(node.log_lines.text)
            )
        )
        return node

    def add_targets(
        self,
        count: int,
        script: Script,
        service: str = 'lm',
        phase: Phase = Phase.ANY,
    ) -> list[ScriptedTarget]:
        added = []
        for _ in range(count):
            target = ScriptedTarget(script)
            target.is_accepting = script is not refuses_call
            self.addCleanup(target.close)
            for node in self.nodes:
                node.register(target, service, phase)
            added.append(target)
        self.targets += added
        return added

    def call_all(
        self, count: int, path: str = '/ask/1', interval_s: float = 0.005
    ) -> list[int]:
        """Call all nodes in turn; return the statuses."""
        callers = []
        for number in range(count):
            node = self.nodes[number % len(self.nodes)]
            callers.append(
                eventlet.spawn(
                    node.call,
                    path,
                    extra=PROMPT_HEADERS,
                    attempt_id=f'{path}{number}',
                )
            )
            eventlet.sleep(interval_s)
        return [status(caller.wait()) for caller in callers]

    def assert_budget(self, call_count: int) -> None:
        allowed = RETRY_SHARE * call_count + RETRY_EXTRA
        self.assertLessEqual(repeat_count(self.targets), allowed)

    def charged_count(self) -> int:
        """Count the sends that the nodes' budgets have allowed."""
        lines = [
            json.loads(line)
            for node in self.nodes
            for line in node.log_lines.text.splitlines()
        ]
        return sum(
            line['sends']
            for line in lines
            if line['message_type'] == 'retry.charged'
            and line['outcome'] == 'allowed'
        )

    def assert_all_charged(self, repeats: int) -> None:
        """Check the number of repeats, and that all were charged."""
        self.assertEqual(repeats, repeat_count(self.targets))
        self.assertGreaterEqual(self.charged_count(), repeats)

    def cut_off(self, node: NodeHarness, service: str) -> None:
        """Let a node believe that it reaches no target of a service."""
        probed = {
            target.target_id: False
            for target in node.knowledge.registry.of_service(service)
        }
        node.knowledge.reach.probed(service, probed, clock_s())

    def prefill_count(self) -> int:
        return sum(
            request.headers.get('serving-phase') == 'prefill'
            for target in self.targets
            for request in target.received_requests
        )


class HandedCallBudgetTest(FleetTestCase):
    def test_handed_calls_keep_the_retry_budget_without_decode_engines(
        self,
    ) -> None:
        """Guards against a prefill at each node that a call is handed to."""
        self.add_targets(4, answers_prefill, phase=Phase.PREFILL)
        for engine in self.add_targets(2, streams_token, phase=Phase.DECODE):
            engine.refuse_connections()
        statuses = []
        for burst in range(BURST_COUNT):
            statuses += self.call_all(BURST_SIZE, f'/ask/{burst}/', 0.0)
            eventlet.sleep(BURST_INTERVAL_S)
        self.assertEqual({503}, set(statuses))
        self.assert_budget(BURST_COUNT * BURST_SIZE)

    def test_no_prompt_is_prefilled_while_no_decode_engine_is_reached(
        self,
    ) -> None:
        """Guards against prefills in vain, and callers that wait for them."""
        self.add_targets(4, answers_prefill, phase=Phase.PREFILL)
        for engine in self.add_targets(2, streams_token, phase=Phase.DECODE):
            engine.refuse_connections()
        # Each node finds out by itself.
        self.call_all(2 * NODE_COUNT, interval_s=0.0)
        before = self.prefill_count()
        self.assertEqual([503] * 12, self.call_all(12))
        self.assertEqual(before, self.prefill_count())

    def test_a_decode_engine_that_is_back_gets_calls_soon(self) -> None:
        """Guards against engines that stay unused for seconds after a crash."""
        self.add_targets(2, answers_prefill, phase=Phase.PREFILL)
        self.add_targets(1, streams_token, phase=Phase.DECODE)
        loads = [node.knowledge.loads for node in self.nodes]
        for load in loads:
            # Each failure doubles the cooldown, to 4 s here.
            for _ in range(6):
                load.unreachable('i-3', clock_s())
        self.call_all(4)
        eventlet.sleep(REACHED_S)
        self.assertEqual([200] * 4, self.call_all(4, '/ask/2'))

    def test_the_cache_of_a_handed_call_is_used_by_the_other_node(
        self,
    ) -> None:
        """Guards against a second prefill of a call that is handed over."""
        self.add_targets(2, answers_prefill, phase=Phase.PREFILL)
        (decode,) = self.add_targets(1, streams_token, phase=Phase.DECODE)
        origin = self.nodes[0]
        for _ in range(2):
            engine = ScriptedTarget(streams_token)
            self.addCleanup(engine.close)
            engine.refuse_connections()
            origin.register(engine, 'lm', Phase.DECODE)
        origin.knowledge.registry.mark_leaving('i-3', None)
        content = origin.call('/ask/1', extra=PROMPT_HEADERS)
        self.assertEqual(200, status(content))
        self.assertEqual(1, self.prefill_count())
        (request,) = decode.received_requests
        self.assertTrue(request.headers['kv-source'].endswith('/h1'))

    def test_a_handed_call_that_was_prefilled_pays_for_another_prefill(
        self,
    ) -> None:
        """Guards against a first prefill that is free at each node."""
        self.add_targets(2, answers_prefill, phase=Phase.PREFILL)
        (decode,) = self.add_targets(1, streams_token, phase=Phase.DECODE)
        origin, *others = self.nodes
        for node in others:
            # The engine that holds the cache is not listed there.
            node.knowledge.registry.replace(
                [
                    target
                    for target in node.knowledge.registry.all_of_service('lm')
                    if target.target_id != 'i-1'
                ],
                clock_s(),
            )
            spend_budget(node, 'lm')
        for _ in range(2):
            engine = ScriptedTarget(streams_token)
            self.addCleanup(engine.close)
            engine.refuse_connections()
            origin.register(engine, 'lm', Phase.DECODE)
        for target_id in ('i-2', 'i-3'):
            origin.knowledge.registry.mark_leaving(target_id, None)
        content = origin.call('/ask/1', extra=PROMPT_HEADERS)
        self.assertEqual(503, status(content))
        self.assertEqual(1, self.prefill_count())
        self.assertEqual([], decode.received_requests)

    def test_a_handed_call_earns_no_second_allowance(self) -> None:
        """Guards against a call that counts at each node that it passes."""
        self.add_targets(1, answers_ok, 'ledger')
        origin = self.nodes[0]
        self.cut_off(origin, 'ledger')
        for node in self.nodes:
            spend_budget(node, 'ledger')
        for number in range(80):
            origin.call('/look/1', attempt_id=f'a{number}')
        others = [
            may_retry(node, 'ledger')
            for node in self.nodes
            if node is not origin
        ]
        self.assertEqual([False] * 3, others)


class SecondTryBudgetTest(FleetTestCase):
    """Calls that two other nodes have at the same time."""

    # Each node may repeat some calls.
    retry_extra = 10 * RETRY_EXTRA

    def test_two_nodes_that_wait_to_prefill_a_call_charge_its_repeat(
        self,
    ) -> None:
        """Guards against two tries that each take their sends for the first."""

        def streams_late(request: ReceivedRequest) -> Iterator[ScriptStep]:
            yield BEGIN_S
            yield from streams_token(request)

        self.add_targets(2, answers_prefill, phase=Phase.PREFILL)
        self.add_targets(2, streams_late, phase=Phase.DECODE)
        self.cut_off(self.nodes[0], 'lm')
        self.assertEqual(200, self.call_with_late_prefills())
        self.assert_all_charged(2)

    def test_a_second_node_sends_nothing_without_retry_budget(self) -> None:
        """Guards against second tries that no budget bounds."""
        self.add_targets(1, answers_prefill, phase=Phase.PREFILL)
        self.add_targets(1, refuses_call, phase=Phase.DECODE)
        self.cut_off(self.nodes[0], 'lm')
        for node in self.nodes:
            spend_budget(node, 'lm')
        self.assertEqual(503, self.call_with_late_prefills())
        self.assertEqual(0, repeat_count(self.targets))

    def test_two_nodes_with_a_plain_call_charge_its_repeat(self) -> None:
        """Guards against a second node that takes its send for the first."""

        def answers_late(request: ReceivedRequest) -> Iterator[ScriptStep]:
            yield BOTH_TRY_S
            yield answer(extra=signed_head(request))

        self.add_targets(2, answers_late, 'ledger')
        self.cut_off(self.nodes[0], 'ledger')
        content = self.nodes[0].call('/look/1')
        self.assertEqual(200, status(content))
        self.assert_all_charged(1)

    def test_two_nodes_with_a_call_keep_its_number_of_attempts(self) -> None:
        """Guards against a stream that runs at more engines than it may."""

        def stays_silent(request: ReceivedRequest) -> Iterator[ScriptStep]:
            yield STAYS_SILENT_S

        engines = self.add_targets(4, stays_silent, phase=Phase.DECODE)
        self.cut_off(self.nodes[0], 'lm')
        self.nodes[0].call('/resume/1')
        sends = sum(len(engine.received_requests) for engine in engines)
        self.assertLessEqual(sends, 2)

    def call_with_late_prefills(self) -> int:
        """Call the first node; prefills are placed when two others wait.

        Return the status.
        """
        turn: Event = Event()
        acquire = LocalPrefillQueue.acquire

        def acquire_late(
            queue: LocalPrefillQueue, request: PrefillRequest
        ) -> PrefillGrant:
            turn.wait()
            return acquire(queue, request)

        eventlet.spawn_after(BOTH_TRY_S, turn.send)
        with mock.patch.object(LocalPrefillQueue, 'acquire', acquire_late):
            content = self.nodes[0].call('/resume/1', extra=PROMPT_HEADERS)
        return status(content)


class RefusingTargetTest(FleetTestCase):
    """Targets that refused a call before it was handed over."""

    retry_extra = 10 * RETRY_EXTRA

    def test_no_other_node_asks_an_engine_that_refused_the_call(self) -> None:
        """Guards against an engine that is asked again by each node."""
        self.add_targets(2, answers_prefill, phase=Phase.PREFILL)
        (engine,) = self.add_targets(1, refuses_call, phase=Phase.DECODE)
        self.add_unreachable(2, 'lm', Phase.DECODE)
        content = self.nodes[0].call('/ask/1', extra=PROMPT_HEADERS)
        self.assertEqual(503, status(content))
        self.assertEqual(1, len(engine.received_requests))

    def test_no_other_node_asks_a_target_that_refused_a_plain_call(
        self,
    ) -> None:
        """Guards against a target that is asked again by each node."""
        (target,) = self.add_targets(1, refuses_call, 'ledger')
        self.add_unreachable(2, 'ledger', Phase.ANY)
        self.assertEqual(503, status(self.nodes[0].call('/confirm/1')))
        self.assertEqual(1, len(target.received_requests))

    def test_no_node_asks_an_engine_that_refused_the_call_elsewhere(
        self,
    ) -> None:
        """Guards against a refusal that the node before doesn't learn of."""
        (engine,) = self.add_targets(1, refuses_call, phase=Phase.DECODE)
        self.cut_off(self.nodes[0], 'lm')
        self.assertEqual(503, status(self.nodes[0].call('/ask/1')))
        self.assertEqual(1, len(engine.received_requests))

    def add_unreachable(self, count: int, service: str, phase: Phase) -> None:
        """Register targets at the first node that accept no connection."""
        for _ in range(count):
            target = ScriptedTarget(answers_ok)
            self.addCleanup(target.close)
            target.refuse_connections()
            self.nodes[0].register(target, service, phase)


class RefusedPrefillBudgetTest(FleetTestCase):
    """Calls whose prefill no engine accepts, sent to decode engines alone."""

    def test_a_call_after_a_refused_prefill_is_charged(self) -> None:
        """Guards against a first send that is free after a refused prefill."""
        self.add_targets(1, refuses_call, phase=Phase.PREFILL)
        self.add_targets(1, streams_token, phase=Phase.DECODE)
        content = self.nodes[0].call('/ask/1', extra=PROMPT_HEADERS)
        self.assertEqual(200, status(content))
        self.assert_all_charged(1)

    def test_another_node_charges_a_call_after_a_refused_prefill(self) -> None:
        """Guards against a refused prefill that the next node forgets."""
        self.add_targets(1, refuses_call, phase=Phase.PREFILL)
        origin, *others = self.nodes
        for _ in range(2):
            engine = ScriptedTarget(streams_token)
            self.addCleanup(engine.close)
            engine.refuse_connections()
            origin.register(engine, 'lm', Phase.DECODE)
        decode = ScriptedTarget(streams_token)
        self.addCleanup(decode.close)
        self.targets.append(decode)
        for node in others:
            node.register(decode, 'lm', Phase.DECODE)
            node.knowledge.registry.mark_leaving('i-1', None)
        content = origin.call('/ask/1', extra=PROMPT_HEADERS)
        self.assertEqual(200, status(content))
        self.assert_all_charged(1)


class ServiceBudgetTest(FleetTestCase):
    def test_retries_of_a_broken_service_leave_those_of_others(self) -> None:
        """Guards against a budget that one service spends for all."""
        self.add_targets(2, refuses_call, 'lm', Phase.DECODE)
        self.add_targets(1, refuses_call, 'ledger')
        self.add_targets(1, answers_ok, 'ledger')
        self.call_all(CALL_COUNT)
        statuses = [
            status(node.call('/confirm/1', attempt_id=f'c{number}'))
            for number, node in enumerate(self.nodes)
        ]
        self.assertEqual([200] * NODE_COUNT, statuses)

    def test_a_burst_of_refusals_keeps_the_budget_of_all_nodes(self) -> None:
        """Guards against nodes that together retry more than is allowed."""
        self.add_targets(2, answers_prefill, phase=Phase.PREFILL)
        self.add_targets(3, refuses_call, phase=Phase.DECODE)
        for node in self.nodes[:2]:
            probed = {'i-1': False, 'i-2': False}
            node.knowledge.reach.probed('lm', probed, clock_s())
        self.call_all(CALL_COUNT)
        self.assert_budget(CALL_COUNT)


def spend_budget(node: NodeHarness, service: str) -> None:
    """Use up a node's part of the retries of a service."""
    while may_retry(node, service):
        continue


def may_retry(node: NodeHarness, service: str) -> bool:
    """Charge one retry; False if the budget does not allow it."""
    return node.knowledge.budget.try_charge(service, clock_s()).is_allowed
