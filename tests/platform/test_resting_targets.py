"""Targets that turn a node away and ask it for rest."""

import re
from collections.abc import Callable, Iterator
from unittest import mock

import attrs
import eventlet
import testtools

from dandelionyoke_dispatch import Phase, RegisteredTarget
from dandelionyoke_gateway import CacheSource, TargetPool, clock_s
from dandelionyoke_gateway._limited_engines import (
    LimitedDutyClient,
    LimitedEngineClient,
)
from dandelionyoke_gateway._ports import DutyOutcome, FencingStamp, PhaseOrder
from dandelionyoke_platform._duties import PlatformDuties
from tests.platform.node_harness import (
    NodeHarness,
    ReceivedRequest,
    Script,
    ScriptedTarget,
    ScriptStep,
    answer,
)
from tests.platform.program import wait_for
from tests.platform.scripts import (
    PROMPT_HEADERS,
    answers_error,
    answers_ok,
    answers_prefill,
    refuses_call,
    status,
    streams_token,
)

# The rule: from NOTICE_S after its refusal to the end of the rest, a target
# gets at most MAX_REQUESTS from a node.
NOTICE_S = 0.5
MAX_REQUESTS = 2
REST_S = 1.6


def asks_for(rest: str) -> Script:
    """Turn requests away and ask for rest."""

    def answer_request(request: ReceivedRequest) -> Iterator[ScriptStep]:
        extra = f'Not-Executed: 1\r\nRetry-After: {rest}\r\n'
        yield answer('503 Busy', b'', extra)

    return answer_request


def retry_after_s(content: bytes) -> float:
    found = re.search(rb'(?i)\r\nretry-after: ([0-9.]+)', content)
    assert found is not None
    return float(found.group(1))


class RestingTarget:
    """A target that asks for rest until it is told to serve."""

    def __init__(self, script: Script, rest: str = str(REST_S)) -> None:
        self.arrivals_s: list[float] = []
        self.is_serving = False
        self._script = script
        self._rest = rest
        self.scripted = ScriptedTarget(self._answer)

    def _answer(self, request: ReceivedRequest) -> Iterator[ScriptStep]:
        self.arrivals_s.append(clock_s())
        script = self._script if self.is_serving else asks_for(self._rest)
        yield from script(request)

    @property
    def counted(self) -> int:
        """The number of requests within the rest that count."""
        first_s = self.arrivals_s[0]
        return sum(
            first_s + NOTICE_S <= at_s < first_s + REST_S
            for at_s in self.arrivals_s
        )


class RestingTargetTest(testtools.TestCase):
    """One node, which the targets ask."""

    def setUp(self) -> None:
        super().setUp()
        self.node = NodeHarness()
        self.addCleanup(self.node.close)

    def add_resting(
        self,
        script: Script = answers_ok,
        service: str = 'ledger',
        phase: Phase = Phase.ANY,
        rest: str = str(REST_S),
    ) -> RestingTarget:
        target = RestingTarget(script, rest)
        self.addCleanup(target.scripted.close)
        self.node.register(target.scripted, service, phase)
        return target

    def call_during_rest(
        self, target: RestingTarget, call: Callable[[], object]
    ) -> None:
        """Call until the end of the rest that the first request is asked for."""
        call()
        wait_for(lambda: target.arrivals_s, 'the first request')
        while clock_s() < target.arrivals_s[0] + REST_S:
            call()
            eventlet.sleep(0.04)

    def registered(self, target_id: str = 'i-1') -> RegisteredTarget:
        target = self.node.knowledge.registry.find(target_id)
        assert target is not None
        return target

    def test_a_target_that_asks_for_rest_gets_no_calls_until_its_end(
        self,
    ) -> None:
        """Guards against a cooldown of our own in place of the target's time."""
        resting = self.add_resting()
        self.node.add_target(answers_ok)
        statuses = []
        self.call_during_rest(
            resting, lambda: statuses.append(status(self.node.call()))
        )
        self.assertEqual({200}, set(statuses))
        self.assertLessEqual(resting.counted, MAX_REQUESTS)
        resting.is_serving = True
        eventlet.sleep(0.5)
        before = len(resting.arrivals_s)
        for _ in range(4):
            self.assertEqual(200, status(self.node.call()))
        self.assertGreater(len(resting.arrivals_s), before)
        self.assertIn('target.rest', self.node.log_lines.text)

    def test_retries_of_errors_do_not_reach_a_resting_target(self) -> None:
        """Guards against a resting target that is better than none.

        The other target fails, so that both are in cooldown.
        """
        resting = self.add_resting()
        self.node.add_target(answers_error)
        self.call_during_rest(resting, lambda: self.node.call('/look/1'))
        self.assertLessEqual(resting.counted, MAX_REQUESTS)

    def test_a_call_is_refused_at_once_while_all_targets_rest(self) -> None:
        """Guards against callers that wait, or return before the end."""
        targets = [self.add_resting(), self.add_resting(rest='9')]
        self.node.call()
        sent = [len(target.arrivals_s) for target in targets]
        self.assertEqual([1, 1], sent)
        contents = [self.node.call() for _ in range(20)]
        self.assertEqual({503}, {status(content) for content in contents})
        left_s = targets[0].arrivals_s[0] + REST_S - clock_s()
        times_s = [retry_after_s(content) for content in contents]
        self.assertGreaterEqual(min(times_s), left_s - 0.01)
        self.assertLessEqual(max(times_s), 2 * REST_S)
        # They do not all return at the same moment.
        self.assertGreater(len(set(times_s)), 3)
        self.assertEqual(sent, [len(target.arrivals_s) for target in targets])

    def test_prefills_and_streams_count(self) -> None:
        """Guards against a resting engine that is better than none.

        The other engines refuse, so that all of a phase are in cooldown.
        """
        for phase in (Phase.PREFILL, Phase.DECODE):
            resting = self.add_resting(answers_prefill, 'lm', phase)
            self.node.add_target(refuses_call, 'lm', phase)
            if phase is Phase.DECODE:
                # Prefills succeed, so that decodes follow.
                self.node.add_target(answers_prefill, 'lm', Phase.PREFILL)
            self.call_during_rest(
                resting, lambda: self.node.call('/ask/1', extra=PROMPT_HEADERS)
            )
            self.assertLessEqual(resting.counted, MAX_REQUESTS)

    def test_no_prompt_is_prefilled_while_all_decode_engines_rest(
        self,
    ) -> None:
        """Guards against prefills that no stream can follow."""
        prefill = self.node.add_target(answers_prefill, 'lm', Phase.PREFILL)
        self.add_resting(streams_token, 'lm', Phase.DECODE)
        self.node.call('/ask/1', extra=PROMPT_HEADERS)
        wait_for(lambda: len(prefill.received_requests) > 1, 'the release')
        before = len(prefill.received_requests)
        content = self.node.call('/ask/1', extra=PROMPT_HEADERS)
        self.assertEqual(503, status(content))
        self.assertEqual(before, len(prefill.received_requests))

    def test_reports_orders_and_releases_count(self) -> None:
        """Guards against requests of our own to a resting target."""
        resting = self.add_resting()
        self.node.call()
        duties = PlatformDuties('', self.node.pool)
        gate = self.node.target_gate
        engines = LimitedEngineClient(duties, gate)
        target = self.registered()
        releases = [
            eventlet.spawn(engines.release_cache, CacheSource(target, 'h1'))
            for _ in range(3)
        ]
        while clock_s() < resting.arrivals_s[0] + REST_S - 0.2:
            self.assertIsNone(engines.read_report(target))
            order = LimitedDutyClient(duties, gate).order_phase(
                PhaseOrder(target, Phase.DECODE, 0),
                FencingStamp('n-1', 1, clock_s() + 1),
            )
            self.assertIs(DutyOutcome.NOT_SENT, order.outcome)
            eventlet.sleep(0.1)
        self.assertEqual(1, len(resting.arrivals_s))
        # A cache is released after the rest, not left to its hold time.
        for release in releases:
            release.wait()
        self.assertEqual(4, len(resting.arrivals_s))

    def test_a_request_that_is_connecting_when_the_rest_begins_is_not_sent(
        self,
    ) -> None:
        """Guards against a connection that is made after the refusal."""
        resting = self.add_resting()
        connect = TargetPool._take_idle

        def slow_connect(
            pool: TargetPool, address: str, call_id: str
        ) -> object:
            if len(slow) < 3:
                slow.append(address)
                eventlet.sleep(0.7)
            return connect(pool, address, call_id)

        slow: list[str] = []
        with mock.patch.object(TargetPool, '_take_idle', slow_connect):
            callers = [eventlet.spawn(self.node.call) for _ in range(3)]
            wait_for(lambda: len(slow) == 3, 'slow connections')
            self.node.call()
            contents = [caller.wait() for caller in callers]
        self.assertEqual({503}, {status(content) for content in contents})
        self.assertEqual(1, len(resting.arrivals_s))

    def test_a_rest_that_is_no_number_is_logged(self) -> None:
        """Guards against a call that fails for a header of its target."""
        for rest in ('soon', '-1', 'Fri, 04 Dec 2026 00:00:00 GMT'):
            self.add_resting(rest=rest)
        self.node.add_target(answers_ok)
        for _ in range(3):
            self.assertEqual(200, status(self.node.call()))
        text = self.node.log_lines.text
        self.assertEqual(3, text.count('is not a decimal number'))

    def test_a_rest_of_nothing_leaves_the_target_in_use(self) -> None:
        resting = self.add_resting(rest='0')
        self.node.call()
        resting.is_serving = True
        eventlet.sleep(NOTICE_S)
        self.assertEqual(200, status(self.node.call()))

    def test_a_target_that_starts_anew_has_no_rest(self) -> None:
        """Guards against a rest that an earlier process asked for."""
        resting = self.add_resting(rest='900')
        self.assertEqual(503, status(self.node.call()))
        resting.is_serving = True
        started = attrs.evolve(self.registered(), started_ms=7)
        self.node.knowledge.registry.replace([started], clock_s())
        self.assertEqual(200, status(self.node.call()))

    def test_the_placing_node_is_told_to_avoid_a_resting_engine(self) -> None:
        """Guards against an engine that is granted again and again."""
        self.add_resting(answers_prefill, 'lm', Phase.PREFILL)
        self.node.add_target(answers_prefill, 'lm', Phase.PREFILL)
        self.node.add_target(streams_token, 'lm', Phase.DECODE)
        queue = self.node.prefill_queue
        with mock.patch.object(
            queue, 'acquire', side_effect=queue.acquire
        ) as acquire:
            for _ in range(4):
                self.node.call('/ask/1', extra=PROMPT_HEADERS)
        avoided = [call.args[0].avoid for call in acquire.call_args_list]
        self.assertIn('i-1', avoided[-1])
