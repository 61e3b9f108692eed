"""Calls with a part in their prompts that crashes engines."""

from collections.abc import Iterator
from functools import partial

import testtools

from dandelionyoke_dispatch import CrashReport, Phase, fingerprint
from tests.platform.node_harness import (
    NodeHarness,
    ReceivedRequest,
    ScriptedTarget,
    ScriptStep,
    chunk,
)
from tests.platform.scripts import answers_error, status

ENGINE_COUNT = 14
# More engines than this must not crash under one part, and more requests than
# that must not reach engines afterwards.
MAX_CRASHES = 5
MAX_LATE_REQUESTS = 3
CRASHING_PART = 'dead'


def prompt_headers(*parts: str) -> str:
    text = ','.join(f'{part}:300' for part in parts)
    return f'Model: m\r\nToken-Count: 900,20\r\nPrompt-Prefix: {text}\r\n'


class CrashingPartTest(testtools.TestCase):
    """A node whose engines crash as they begin to answer on one part."""

    def setUp(self) -> None:
        super().setUp()
        self.node = NodeHarness()
        self.addCleanup(self.node.close)
        self.engines: list[ScriptedTarget] = []
        for number in range(ENGINE_COUNT):
            script = partial(self.run_call, number)
            engine = self.node.add_target(script, 'lm', Phase.DECODE)
            self.engines.append(engine)
        self.crashes = 0
        self.late_requests = 0

    def run_call(
        self, number: int, request: ReceivedRequest
    ) -> Iterator[ScriptStep]:
        is_crashing = CRASHING_PART in request.headers['prompt-prefix']
        if is_crashing and self.crashes >= MAX_CRASHES:
            self.late_requests += 1
        attempt_id = request.headers['attempt-id']
        yield (
            'HTTP/1.1 200 OK\r\nResponse-Signature: s\r\n'
            f'Attempt-Id: {attempt_id}\r\n'
            'Content-Type: text/event-stream\r\n'
            'Transfer-Encoding: chunked\r\n\r\n'
        ).encode()
        if is_crashing:
            self.crashes += 1
            self.engines[number].crash()
            yield None
        yield chunk(b'id: 1\ndata: t\n\n') + chunk(b'')

    def ask(self, number: int, *parts: str) -> int:
        """Call with a prompt of these parts and one of its own."""
        content = self.node.call(
            f'/ask/{number}',
            extra=prompt_headers(*parts, f'own{number}'),
            attempt_id=f'a{number}',
        )
        return status(content)

    def test_a_part_that_crashed_engines_reaches_no_more(self) -> None:
        """Guards against calls that are all different and crash all engines."""
        for number in range(20):
            self.ask(number, 'first', CRASHING_PART)
        self.assertLessEqual(self.crashes, MAX_CRASHES)
        self.assertLessEqual(self.late_requests, MAX_LATE_REQUESTS)

    def test_a_refused_part_is_refused_as_not_run(self) -> None:
        """Guards against callers that wait for what can't be served."""
        for number in range(8):
            self.ask(number, 'first', CRASHING_PART)
        self.assertEqual(503, self.ask(9, 'first', CRASHING_PART))
        self.assertEqual(503, self.ask(10, 'second', CRASHING_PART))

    def test_sound_calls_with_the_same_first_part_are_served(self) -> None:
        """Guards against a part that is refused as it was beside another."""
        statuses = []
        for number in range(20):
            self.ask(number, 'first', CRASHING_PART)
            statuses.append(self.ask(100 + number, 'first', 'sound'))
        self.assertEqual([200] * 20, statuses)
        self.assertLessEqual(self.crashes, MAX_CRASHES)


class ReadyAnswerTest(testtools.TestCase):
    def test_an_answer_that_is_ready_goes_to_the_caller(self) -> None:
        """Guards against a refusal in place of an answer of a target."""
        node = NodeHarness()
        self.addCleanup(node.close)
        for _ in range(2):
            node.add_target(answers_error)
        keys = (fingerprint('acme', '/look/1', b'body'),)
        for target in ('i-8', 'i-9'):
            node.knowledge.take_crash(CrashReport(target, 'n-2', 0.0, keys))
        self.assertEqual(500, status(node.call('/look/1')))
        # It is not sent to the other one.
        sends = sum(len(target.received_requests) for target in node.targets)
        self.assertEqual(1, sends)
