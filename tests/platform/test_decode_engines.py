"""Decode engines that cannot get a KV cache, or have no room."""

from collections.abc import Iterator
from unittest import mock

import attrs
import eventlet
import testtools

from dandelionyoke_dispatch import Phase
from dandelionyoke_gateway import clock_s
from dandelionyoke_gateway._prompt_prefiller import PromptPrefiller
from tests.gateway.settings import new_settings
from tests.platform.node_harness import (
    NodeHarness,
    ReceivedRequest,
    Script,
    ScriptStep,
)
from tests.platform.scripts import (
    PROMPT_HEADERS,
    answers_prefill,
    refuses_call,
    status,
    streams_token,
    with_header,
)

CALL_COUNT = 12
IDLE = 'Server-Load: 0,0,8,100'
FULL = 'Server-Load: 8,3,8,100'
# 50 turns of the slots, each of a stream's time.
OVERFULL = 'Server-Load: 8,400,8,100'
STREAM_S = 0.1


def cannot_import(load: str = IDLE) -> Script:
    """Refuse each call with a KV cache, serve the others."""

    def answer_request(request: ReceivedRequest) -> Iterator[ScriptStep]:
        has_cache = 'kv-source' in request.headers
        script = refuses_call if has_cache else streams_token
        yield from with_header(script, load)(request)

    return answer_request


def streams_slowly(request: ReceivedRequest) -> Iterator[ScriptStep]:
    head, *rest = with_header(streams_token, OVERFULL)(request)
    yield head
    yield STREAM_S
    yield from rest


class LostPromptTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        settings = attrs.evolve(
            new_settings(), retry_share=0.0, retry_extra=CALL_COUNT
        )
        self.node = NodeHarness(settings=settings)
        self.addCleanup(self.node.close)

    def add(self, script: Script, phase: Phase) -> None:
        self.node.add_target(script, 'lm', phase)

    def call(self) -> int:
        return status(self.node.call('/ask/1', extra=PROMPT_HEADERS))

    @property
    def suspects(self) -> list[str]:
        return self.node.knowledge.loads.in_cooldown(clock_s())

    def test_handles_that_lapse_take_no_decode_engine_out_of_use(self) -> None:
        """Guards against refused calls while engines that decode are free."""
        self.add(answers_prefill, Phase.PREFILL)
        for _ in range(3):
            self.add(cannot_import(), Phase.DECODE)
        statuses = [self.call() for _ in range(CALL_COUNT // 2)]
        self.assertEqual({200}, set(statuses))
        self.assertEqual(['i-1'], self.suspects)
        lost = self.node.log_lines.text.count('"prompt.lost"')
        charged = self.node.log_lines.text.count('"outcome": "allowed"')
        self.assertEqual((CALL_COUNT // 2,) * 2, (lost, charged))

    def test_an_engine_that_takes_no_call_at_all_is_suspect_itself(
        self,
    ) -> None:
        """Guards against blaming the cache for a decode engine that changes."""
        self.add(answers_prefill, Phase.PREFILL)
        self.add(with_header(refuses_call, IDLE), Phase.DECODE)
        self.assertEqual(503, self.call())
        self.assertEqual(['i-2'], self.suspects)
        self.add(with_header(streams_token, IDLE), Phase.DECODE)
        self.assertEqual(200, self.call())
        self.assertIn(
            'kv-source', self.node.targets[2].received_requests[0].headers
        )

    def test_an_engine_that_reports_to_be_full_is_suspect(self) -> None:
        """Guards against a lost cache where the engine lacks room."""
        self.add(answers_prefill, Phase.PREFILL)
        self.add(cannot_import(FULL), Phase.DECODE)
        self.assertEqual(503, self.call())
        self.assertEqual(['i-2'], self.suspects)

    def test_without_budget_a_lost_prompt_is_refused_as_not_run(self) -> None:
        """Guards against repeats beyond the budget, and a blameless source."""
        self.node.knowledge.budget.take_nodes(1000, clock_s())
        self.add(answers_prefill, Phase.PREFILL)
        self.add(cannot_import(), Phase.DECODE)
        self.assertEqual(503, self.call())
        self.assertEqual(['i-1'], self.suspects)
        self.assertEqual(1, len(self.node.targets[1].received_requests))

    def test_calls_that_cannot_begin_in_time_are_refused_at_once(self) -> None:
        """Guards against prefills in vain, and trust in an old report."""
        self.add(answers_prefill, Phase.PREFILL)
        self.add(streams_slowly, Phase.DECODE)
        self.assertEqual(200, self.call())
        started_s = clock_s()
        content = self.node.call('/ask/1', extra=PROMPT_HEADERS)
        self.assertLess(clock_s() - started_s, 0.3)
        self.assertEqual(503, status(content))
        self.assertIn(b'retry-after', content.lower())
        counts = [len(each.received_requests) for each in self.node.targets]
        self.assertEqual([1, 1], counts)
        self.assertIn('"stream.no_room"', self.node.log_lines.text)
        eventlet.sleep(1.1)
        self.assertEqual(200, self.call())

    def test_a_late_call_is_sent_where_no_call_is_known_to_wait(self) -> None:
        """Guards against refusals at engines that report no queue."""
        self.add(streams_token, Phase.DECODE)
        with mock.patch.object(PromptPrefiller, 'deadline_s', 0.0):
            self.assertEqual(200, self.call())
