"""Calls at a node that stands still, while its targets go on or also stop."""

from collections.abc import Iterator
from typing import Any

import eventlet

from tests.platform.node_harness import (
    ReceivedRequest,
    ScriptStep,
    answer,
    chunk,
    stream_head,
)
from tests.platform.scripts import status
from tests.platform.standstill import NativeTarget, stand_still
from tests.platform.test_silent_targets import (
    EVENT_COUNT,
    SilentTargetCase,
    event,
)

# Longer than a target may be silent before another one is tried.
STANDSTILL_S = 1.3
# Longer than the time limit of a call of the harness.
LONG_STANDSTILL_S = 3.3
# More than one read of the node.
LARGE_BODY = b'x' * 300_000


class StandstillTest(SilentTargetCase):
    def call_across(self, path: str, standstill_s: float) -> Any:
        """Make a call; the node stands still after it is sent."""
        call = eventlet.spawn(self.node.call, path)
        eventlet.sleep(0.15)
        stand_still(standstill_s)
        return call.wait()

    def add_native(self, *parts: tuple[float, bytes], service: str) -> None:
        target = NativeTarget(parts)
        self.addCleanup(target.close)
        self.node.register(target, service)

    def test_a_standstill_is_no_silence_of_the_engine(self) -> None:
        """Guards against second tries for all calls after a standstill."""

        def script(request: ReceivedRequest) -> Iterator[ScriptStep]:
            self.runs.append('engine')
            yield stream_head()
            for number in range(1, EVENT_COUNT + 1):
                yield chunk(event(number))
                yield 0.1
            yield chunk(b'')

        for _ in range(2):
            self.node.add_target(script, 'lm')
        self.assert_whole(self.call_across('/resume/1', STANDSTILL_S))
        self.assertEqual(['engine'], self.runs)
        self.assertNotIn('stream.silent', self.node.log_lines.text)

    def test_an_answer_that_arrived_in_a_standstill_is_passed_on(self) -> None:
        """Guards against an answer that is dropped as the time is over."""
        self.add_native((0.3, answer(body=LARGE_BODY)), service='ledger')
        content = self.call_across('/confirm/1', LONG_STANDSTILL_S)
        self.assertEqual(200, status(content))
        self.assertTrue(content.endswith(LARGE_BODY))

    def test_a_stream_that_arrived_in_a_standstill_is_passed_on(self) -> None:
        """Guards against a stream cut though its rest is there."""
        events = b''.join(chunk(event(n)) for n in range(2, EVENT_COUNT + 1))
        padding = chunk(b': ' + LARGE_BODY + b'\n\n')
        self.add_native(
            (0.05, stream_head() + chunk(event(1))),
            (0.3, padding + events + chunk(b'')),
            service='lm',
        )
        self.assert_whole(self.call_across('/ask/1', LONG_STANDSTILL_S))
