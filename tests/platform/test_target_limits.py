"""Gateway processes whose target names how many requests a second it takes."""

import bisect
import json
import re
import tempfile
from collections.abc import Iterator

import eventlet
import testtools
from testtools.content import text_content

from dandelionyoke_dispatch import Phase, RegisteredTarget
from dandelionyoke_gateway import CacheSource, clock_s
from dandelionyoke_gateway._limited_engines import (
    LimitedDutyClient,
    LimitedEngineClient,
)
from dandelionyoke_gateway._ports import (
    DutyOutcome,
    FencingStamp,
    PhaseOrder,
)
from dandelionyoke_platform._duties import PlatformDuties
from tests.platform.node_harness import (
    SIGNED_HEAD,
    NodeHarness,
    ReceivedRequest,
    Script,
    ScriptedTarget,
    ScriptStep,
    answer,
)
from tests.platform.program import Program, wait_for
from tests.platform.scripts import (
    answers_error,
    answers_ok,
    answers_prefill,
    refuses_call,
    streams_token,
    with_header,
)
from tests.platform.store_standin import StoreStandin
from tests.platform.test_process import configuration

# The rule: from NOTICE_S after the first naming, a target gets at most
# OVERRUN times its limit plus SLACK requests in any WINDOW_S.
NOTICE_S = 3.0
WINDOW_S = 4.0
OVERRUN = 1.5
SLACK = 5

CALL_INTERVAL_S = 0.05
DOMAINS = ('a', 'a', 'b')


class LimitingTarget:
    """A target that names a limit in each answer, if it has one."""

    def __init__(self, limit: str = '') -> None:
        self.limit = limit
        self.first_named_s: float | None = None
        self.arrivals_s: list[float] = []
        self.scripted = ScriptedTarget(self._answer)

    def _answer(self, request: ReceivedRequest) -> Iterator[ScriptStep]:
        self.arrivals_s.append(clock_s())
        extra = SIGNED_HEAD
        if self.limit:
            if self.first_named_s is None:
                self.first_named_s = clock_s()
            extra += f'Server-Limit: {self.limit}\r\n'
        yield answer(extra=extra)

    def arrivals_since(self, since_s: float) -> int:
        """Count the requests that arrived since a time."""
        return len(self.arrivals_s) - bisect.bisect(self.arrivals_s, since_s)

    def most_in_a_window(self, from_s: float) -> int:
        """Return the most requests in a window that begins at a time or later."""
        times_s = [time_s for time_s in self.arrivals_s if time_s >= from_s]
        return max(
            (
                bisect.bisect(times_s, start_s + WINDOW_S) - index
                for index, start_s in enumerate(times_s)
            ),
            default=0,
        )


class TargetLimitsTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.folder = self.enterContext(tempfile.TemporaryDirectory())
        self.store = StoreStandin()
        self.addCleanup(self.store.close)
        self.store.put('op/config', configuration())
        self.programs: list[Program] = []

    def start_targets(self, *limits: str) -> list[LimitingTarget]:
        targets = [LimitingTarget(limit) for limit in limits]
        for number, target in enumerate(targets):
            self.addCleanup(target.scripted.close)
            registry_entry = {
                'service': 'ledger',
                'address': target.scripted.address,
                'zone': 'a',
                'slots': 4,
                'state': 'ready',
            }
            self.store.put(f'servers/i-{number}', json.dumps(registry_entry))
        return targets

    def start_programs(self, *domains: str) -> None:
        for domain in domains:
            program = Program(self.store, self.folder, domain=domain)
            self.programs.append(program)
            self.addCleanup(program.process.wait)
            self.addCleanup(program.process.kill)
            self.addOnException(
                lambda _, program=program: self.addDetail(
                    f'log of n-{program.port}',
                    text_content(program.log.read_text()),
                )
            )
        for program in self.programs:
            program.wait_until_ready()
        names = [f'n-{program.port}' for program in self.programs]
        wait_for(
            lambda: all(
                f'members/{name}' in self.store.items for name in names
            ),
            'the members',
        )

    def call_all(self, duration_s: float) -> list[bytes]:
        """Call all nodes in turn at a steady rate; return the answers."""
        callers = []
        until_s = clock_s() + duration_s
        while clock_s() < until_s:
            program = self.programs[len(callers) % len(self.programs)]
            callers.append(eventlet.spawn(program.call))
            eventlet.sleep(CALL_INTERVAL_S)
        return [caller.wait() for caller in callers]

    def test_nodes_together_keep_to_the_limit_of_a_target(self) -> None:
        """Guards against nodes that each ignore, or use up, a target's limit."""
        limited, other = self.start_targets('2.0', '')
        self.start_programs(*DOMAINS)
        answers = self.call_all(10.0)
        self.assertEqual(
            [], [content for content in answers if b' 200 ' not in content]
        )
        self.assertIsNotNone(limited.first_named_s)
        counted_s = limited.first_named_s + NOTICE_S
        self.assertLessEqual(
            limited.most_in_a_window(counted_s),
            OVERRUN * 2.0 * WINDOW_S + SLACK,
        )
        # What the target takes is used, and its answers show the limit's end.
        self.assertGreater(limited.arrivals_since(counted_s), 3)
        self.assertGreater(other.arrivals_since(counted_s), 3)


def naming_limit(script: Script, limit: str) -> Script:
    """Name a limit in each answer of a script."""
    return with_header(script, f'Server-Limit: {limit}')


class LimitedRequestTest(testtools.TestCase):
    """One node, whose limiter has the whole limit."""

    def setUp(self) -> None:
        super().setUp()
        self.node = NodeHarness()
        self.addCleanup(self.node.close)
        for limiter in self.node.knowledge.limiters.values():
            limiter.take_nodes(1, 1, clock_s() - 60)

    def call(self, path: str, count: int = 1, extra: str = '') -> list[int]:
        """Make calls one after the other; return their statuses."""
        return [
            int(self.node.call(path, extra=extra).split(b' ')[1])
            for _ in range(count)
        ]

    def test_calls_go_to_a_target_without_a_limit(self) -> None:
        """Guards against calls that are refused for one target in need."""
        limited = self.node.add_target(naming_limit(answers_ok, '0.2'))
        other = self.node.add_target(answers_ok)
        self.assertEqual([200] * 40, self.call('/confirm/1', 40))
        self.assertLessEqual(len(limited.received_requests), 2)
        self.assertGreaterEqual(len(other.received_requests), 38)

    def test_when_all_targets_are_at_their_limits_a_call_is_refused(
        self,
    ) -> None:
        """Guards against calls that wait for a target that takes none."""
        targets = [
            self.node.add_target(naming_limit(answers_ok, '0.5'))
            for _ in range(2)
        ]
        self.call('/confirm/1', 2)
        sent = sum(len(target.received_requests) for target in targets)
        started_s = clock_s()
        content = self.node.call()
        self.assertLess(clock_s() - started_s, 0.5)
        self.assertIn(b' 503 ', content)
        retry_after = re.search(rb'(?i)retry-after: ([0-9.]+)', content)
        assert retry_after is not None
        self.assertGreater(float(retry_after.group(1)), 0.5)
        self.assertLessEqual(float(retry_after.group(1)), 10)
        self.assertEqual(
            sent, sum(len(target.received_requests) for target in targets)
        )
        self.assertIn('limit.reached', self.node.log_lines.text)

    def test_retries_count(self) -> None:
        """Guards against retries that a target gets beyond its limit."""
        limited = self.node.add_target(naming_limit(refuses_call, '0.2'))
        self.node.add_target(answers_error)
        self.call('/look/1', 20)
        self.assertLessEqual(len(limited.received_requests), 2)

    def test_prefills_and_streams_count(self) -> None:
        """Guards against prefills that a target gets beyond its limit."""
        limited_prefill, _ = (
            self.node.add_target(script, 'lm', Phase.PREFILL)
            for script in (
                naming_limit(answers_prefill, '0.2'),
                answers_prefill,
            )
        )
        limited_decode, _ = (
            self.node.add_target(script, 'lm', Phase.DECODE)
            for script in (naming_limit(streams_token, '0.2'), streams_token)
        )
        for part in range(12):
            extra = (
                'Model: m\r\nToken-Count: 9000,20\r\n'
                f'Prompt-Prefix: a{part}:5000,bb:4000\r\n'
            )
            self.assertEqual([200], self.call('/ask/1', 1, extra))
        self.assertLessEqual(len(limited_prefill.received_requests), 2)
        self.assertLessEqual(len(limited_decode.received_requests), 2)

    def test_no_prompt_is_prefilled_for_a_stream_that_cannot_follow(
        self,
    ) -> None:
        """Guards against prefills in vain while all decode engines are full."""
        prefill = self.node.add_target(answers_prefill, 'lm', Phase.PREFILL)
        self.node.add_target(
            naming_limit(streams_token, '0.2'), 'lm', Phase.DECODE
        )
        extra = 'Model: m\r\nToken-Count: 900,20\r\nPrompt-Prefix: aa:900\r\n'
        self.assertEqual([200], self.call('/ask/1', 1, extra))
        # The decode engine is found to be at its limit.
        self.call('/ask/1', 1, extra)
        sent = len(prefill.received_requests)
        self.assertEqual([503] * 3, self.call('/ask/1', 3, extra))
        self.assertEqual(sent, len(prefill.received_requests))

    def test_reports_orders_and_releases_count(self) -> None:
        """Guards against requests of our own that a target does not take."""
        target = self.node.add_target(naming_limit(answers_ok, '0.2'))
        self.call('/confirm/1')
        registered = self.node.knowledge.registry.find('i-1')
        assert registered is not None
        duties = PlatformDuties('', self.node.pool)
        gate = self.node.target_gate
        engines = LimitedEngineClient(duties, gate)
        for _ in range(5):
            self.assertIsNone(engines.read_report(registered))
            engines.release_cache(CacheSource(registered, 'h1'))
            order = LimitedDutyClient(duties, gate).order_phase(
                PhaseOrder(registered, Phase.DECODE, 0),
                FencingStamp('n-1', 1, clock_s() + 1),
            )
            self.assertIs(DutyOutcome.NOT_SENT, order.outcome)
        self.assertEqual(1, len(target.received_requests))

    def test_limits_in_answers_to_our_own_requests_are_taken(self) -> None:
        """Guards against a limit that only a report or a release names."""
        duties = PlatformDuties('', self.node.pool)
        duties.listen(self.node.target_gate.observe)
        for number, send in enumerate(
            (
                duties.read_report,
                lambda target: duties.release_cache(CacheSource(target, 'h1')),
                lambda target: duties.order_phase(
                    PhaseOrder(target, Phase.DECODE, 0),
                    FencingStamp('n-1', 1, clock_s() + 1),
                ),
            ),
            start=1,
        ):
            self.node.add_target(naming_limit(answers_ok, '0.5'))
            target = self.node.knowledge.registry.find(f'i-{number}')
            assert target is not None
            send(target)
            limits = self.node.knowledge.target_limits
            self.assertEqual(0.5, limits.rate_of(f'i-{number}'))

    def test_a_limit_ends_with_the_first_answer_without_one(self) -> None:
        """Guards against a target that gets little for good."""
        limits = ['5']
        limited = self.node.add_target(
            lambda request: (
                naming_limit(answers_ok, limits[0])(request)
                if limits
                else answers_ok(request)
            )
        )
        self.call('/confirm/1')
        self.assertIn(503, self.call('/confirm/1', 5))
        limits.clear()
        eventlet.sleep(0.5)
        self.assertEqual([200] * 10, self.call('/confirm/1', 10))
        self.assertGreaterEqual(len(limited.received_requests), 11)
        self.assertIn('"ended"', self.node.log_lines.text)

    def test_a_limit_that_is_no_number_is_logged_and_the_answer_delivered(
        self,
    ) -> None:
        """Guards against a call that fails for a header of its target."""
        target = self.node.add_target(naming_limit(answers_ok, 'few'))
        self.assertEqual([200] * 5, self.call('/confirm/1', 5))
        self.assertEqual(5, len(target.received_requests))
        self.assertIn('not a decimal number', self.node.log_lines.text)

    def test_a_target_that_restarts_gets_calls_at_once(self) -> None:
        """Guards against a limit that an earlier process had named."""
        self.node.add_target(naming_limit(answers_ok, '0.1'))
        self.call('/confirm/1')
        self.assertEqual([503], self.call('/confirm/1'))
        registered = self.node.knowledge.registry.find('i-1')
        assert registered is not None
        restarted = RegisteredTarget(
            'i-1', 'ledger', registered.address, 'a', 8, False, started_ms=7
        )
        knowledge = self.node.knowledge
        knowledge.listing.replace([restarted], clock_s())
        knowledge.registry.replace([restarted], clock_s())
        knowledge.forget_target_limits()
        self.assertEqual([200], self.call('/confirm/1'))
