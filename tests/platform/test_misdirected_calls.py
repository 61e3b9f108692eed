"""Engines that answer 421: in another phase, or gone from their address."""

import json
from collections.abc import Iterator

import attrs
import eventlet
import testtools

from dandelionyoke_dispatch import Phase, RegisteredTarget
from dandelionyoke_gateway import clock_s
from tests.platform.node_harness import (
    SIGNED_HEAD,
    NodeHarness,
    ReceivedRequest,
    ScriptStep,
    answer,
)
from tests.platform.program import wait_for
from tests.platform.scripts import (
    PROMPT_HEADERS,
    answers_ok,
    answers_prefill,
    status,
    streams_token,
)

STARTED_MS = 7
# Beyond what the registry lists late.
NOTICE_S = 5.0
MISDIRECTED = answer('421 Misdirected', b'', 'Not-Executed: 1\r\n')


@attrs.define
class PhasedEngine:
    """An engine in a phase that the registry may list late.

    `instance_id` is that of the process at its address now. `extra` is a
    header of its 421.
    """

    instance_id: str
    phase: Phase
    started_ms: int | None = STARTED_MS
    extra: str = ''
    reports: bool = True
    report_count: int = 0
    # The phases of the calls that it took or refused.
    taken: list[Phase] = attrs.field(factory=list)
    refused: list[Phase] = attrs.field(factory=list)

    def script(self, request: ReceivedRequest) -> Iterator[ScriptStep]:
        expected = request.headers.get('target-instance')
        if request.line.startswith('GET /-/report '):
            self.report_count += 1
            if not self.reports:
                yield None
                return
            is_own = expected == self.instance_id
            yield self._report() if is_own else MISDIRECTED
            return
        is_prefill = request.headers.get('serving-phase') == 'prefill'
        asked = Phase.PREFILL if is_prefill else Phase.DECODE
        if expected != self.instance_id or asked is not self.phase:
            self.refused.append(asked)
            head = f'{SIGNED_HEAD}Not-Executed: 1\r\n{self.extra}'
            yield answer('421 Misdirected', b'', head)
            return
        self.taken.append(asked)
        yield from (answers_prefill if is_prefill else streams_token)(request)

    def _report(self) -> bytes:
        # The phase of a report may be some hundred milliseconds old.
        report = {'phase': 'prefill', 'seq': 1, 'busy': False}
        if self.started_ms is not None:
            report['born'] = self.started_ms
        return answer(body=json.dumps(report).encode(), extra='')


class MisdirectedCallTest(testtools.TestCase):
    """A node whose registry lists a phase, or an engine, that has gone."""

    def setUp(self) -> None:
        super().setUp()
        self.node = NodeHarness()
        self.addCleanup(self.node.close)
        self.registry = self.node.knowledge.registry
        self.listed: list[RegisteredTarget] = []

    def add(self, engine: PhasedEngine, listed: Phase) -> PhasedEngine:
        """Register an engine as the next one, in a phase."""
        self.node.add_target(engine.script, 'lm', listed)
        entry = attrs.evolve(
            self.node._registered[-1], started_ms=engine.started_ms
        )
        self.listed.append(entry)
        self.list_again()
        return engine

    def list_again(self, now_s: float | None = None) -> None:
        """Apply a listing with the entries of before."""
        self.registry.replace(self.listed, now_s or clock_s())

    def call(self, count: int = 1) -> list[int]:
        return [
            status(self.node.call('/ask/1', extra=PROMPT_HEADERS))
            for _ in range(count)
        ]

    def phase(self, target_id: str) -> Phase:
        target = self.registry.find(target_id)
        assert target is not None
        return target.phase

    def is_usable(self, target_id: str) -> bool:
        return target_id in {
            target.target_id for target in self.registry.of_service('lm')
        }

    def await_phase(self, target_id: str, phase: Phase) -> None:
        wait_for(lambda: self.phase(target_id) is phase, f'{phase}')

    def test_an_engine_in_another_phase_is_used_in_that_phase(self) -> None:
        """Guards against sound engines that are never used again."""
        switched = self.add(PhasedEngine('i-1', Phase.DECODE), Phase.PREFILL)
        self.add(PhasedEngine('i-2', Phase.PREFILL), Phase.PREFILL)
        first = self.add(PhasedEngine('i-3', Phase.DECODE), Phase.DECODE)
        self.node.knowledge.loads.reported('i-2', 5, clock_s())
        self.assertEqual([200], self.call())
        self.assertEqual([Phase.PREFILL], switched.refused)
        self.await_phase('i-1', Phase.DECODE)
        self.list_again()
        first.phase = Phase.PREFILL
        self.assertEqual([200, 200], self.call(2))
        self.assertEqual({Phase.DECODE}, set(switched.taken))
        self.assertEqual([Phase.PREFILL], switched.refused)
        self.assertTrue(self.is_usable('i-1'))
        self.assertNotIn('target.replaced', self.node.log_lines.text)

    def test_a_stream_that_is_refused_shows_an_engine_that_prefills(
        self,
    ) -> None:
        """Guards against the same answer to the second of the two calls."""
        switched = self.add(PhasedEngine('i-1', Phase.PREFILL), Phase.DECODE)
        self.add(PhasedEngine('i-2', Phase.DECODE), Phase.DECODE)
        self.node.knowledge.loads.reported('i-2', 5, clock_s())
        self.assertEqual([200], self.call())
        self.assertEqual([Phase.DECODE], switched.refused)
        self.await_phase('i-1', Phase.PREFILL)
        self.assertEqual([200, 200], self.call(2))
        self.assertEqual({Phase.PREFILL}, set(switched.taken))

    def test_what_the_answer_says_of_its_sender_is_not_needed(self) -> None:
        """Guards against an id that is missing or wrong in the answer."""
        for extra in ('Instance-Id: i-1\r\n', 'Instance-Id: i-77\r\n'):
            number = len(self.listed) + 1
            switched = PhasedEngine(f'i-{number}', Phase.PREFILL, extra=extra)
            self.add(switched, Phase.DECODE)
            self.call()
            self.await_phase(f'i-{number}', Phase.PREFILL)
            self.assertTrue(self.is_usable(f'i-{number}'))

    def test_another_target_at_the_address_is_left_alone(self) -> None:
        """Guards against calls to an address that has changed hands."""
        gone = self.add(PhasedEngine('i-77', Phase.PREFILL), Phase.PREFILL)
        self.add(PhasedEngine('i-2', Phase.PREFILL), Phase.PREFILL)
        self.add(PhasedEngine('i-3', Phase.DECODE), Phase.DECODE)
        self.node.knowledge.loads.reported('i-2', 5, clock_s())
        self.assertEqual([200], self.call())
        wait_for(lambda: not self.is_usable('i-1'), 'the end of i-1')
        self.list_again()
        self.list_again(clock_s() + 10 * NOTICE_S)
        self.assertEqual([200, 200], self.call(2))
        self.assertEqual(1, len(gone.refused))
        self.assertIn('target.replaced', self.node.log_lines.text)

    def test_an_engine_that_started_anew_waits_for_its_entry(self) -> None:
        """Guards against a start whose version and phase are not listed."""
        anew = self.add(PhasedEngine('i-1', Phase.DECODE), Phase.PREFILL)
        anew.started_ms = STARTED_MS + 1
        self.add(PhasedEngine('i-2', Phase.DECODE), Phase.DECODE)
        self.call()
        wait_for(lambda: not self.is_usable('i-1'), 'the end of that start')
        self.listed[0] = attrs.evolve(
            self.listed[0], started_ms=STARTED_MS + 1, phase=Phase.DECODE
        )
        self.list_again()
        self.assertTrue(self.is_usable('i-1'))
        self.assertIs(Phase.DECODE, self.phase('i-1'))

    def test_an_engine_that_does_not_say_who_it_is_comes_back(self) -> None:
        """Guards against a phase that stays unknown for ever."""
        mute = PhasedEngine('i-1', Phase.DECODE, reports=False)
        self.add(mute, Phase.PREFILL)
        self.add(PhasedEngine('i-2', Phase.DECODE), Phase.DECODE)
        self.call()
        self.assertIs(Phase.UNKNOWN, self.phase('i-1'))
        self.list_again()
        self.assertEqual([200], self.call())
        self.assertEqual(1, len(mute.refused))
        self.assertTrue(self.is_usable('i-1'))
        wait_for(lambda: self.phase('i-1') is Phase.PREFILL, 'the listed phase')
        self.assertLessEqual(mute.report_count, 3)

    def test_many_refused_calls_cause_one_question(self) -> None:
        """Guards against a probe for each call of a burst."""
        switched = self.add(PhasedEngine('i-1', Phase.DECODE), Phase.PREFILL)
        self.add(PhasedEngine('i-2', Phase.DECODE), Phase.DECODE)
        calls = [eventlet.spawn(self.call) for _ in range(20)]
        self.assertEqual([[200]] * 20, [each.wait() for each in calls])
        self.assertEqual(1, switched.report_count)

    def test_a_target_without_a_phase_is_not_asked(self) -> None:
        """Guards against probes of plain services, whose 421 has one meaning."""
        other = PhasedEngine('i-77', Phase.ANY)
        self.node.add_target(other.script, 'ledger')
        self.node.add_target(answers_ok, 'ledger')
        for _ in range(4):
            self.assertEqual(200, status(self.node.call('/confirm/1')))
        self.assertEqual(0, other.report_count)
        self.assertLessEqual(len(other.refused), 1)
