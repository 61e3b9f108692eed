"""Targets that fall silent and go on, and those that stay silent.

A sound target may stop answering for a second or so. What it has begun must
not end because of that; another target may only take its place once it has
answered itself.
"""

import itertools
from collections.abc import Callable, Iterator
from unittest import mock

import eventlet
import testtools
from testtools.content import text_content

from dandelionyoke_dispatch import Phase
from dandelionyoke_gateway import clock_s
from dandelionyoke_gateway._begun_stream import BegunStream
from dandelionyoke_gateway._silence import SecondTry
from tests.platform.node_harness import (
    NodeHarness,
    ReceivedRequest,
    ScriptedTarget,
    ScriptStep,
    answer,
    chunk,
    request_bytes,
    stream_head,
)
from tests.platform.scripts import PROMPT_HEADERS, refuses_call, status

EVENT_COUNT = 4
SILENCES_S = (1.0, 1.5, 2.2)
# A stream at an engine that stays silent is moved within this time.
MAX_MOVE_S = 1.8
# A stream must not go on while the engine before works on it for longer.
MAX_OVERLAP_S = 0.4
FOREVER_S = 30.0
END_OF_STREAM = b'0\r\n\r\n'


def event(number: int) -> bytes:
    return f'id: {number}\ndata: e{number}\n\n'.encode()


def events_after(request: ReceivedRequest) -> Iterator[bytes]:
    first = int(request.headers.get('last-event-id', '0')) + 1
    for number in range(first, EVENT_COUNT + 1):
        yield chunk(event(number))


def _fail_after_first(function: Callable[..., None]) -> Callable[..., None]:
    """Return a function whose second call and later ones fail."""
    calls = itertools.count()

    def call(*arguments: object) -> None:
        if next(calls):
            raise ValueError('a bug')
        function(*arguments)

    return call


class SilentTargetCase(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.node = NodeHarness()
        self.addCleanup(self.node.close)
        self.addOnException(
            lambda _: self.addDetail(
                'log', text_content(self.node.log_lines.text)
            )
        )
        self.runs: list[str] = []
        self.begun_s: list[float] = []

    def stream(
        self,
        name: str,
        head_silence_s: float = 0.0,
        event_silence_s: float = 0.0,
        after_event: int = 2,
    ) -> ScriptedTarget:
        """Add an engine that is silent before its head, or once within."""

        def script(request: ReceivedRequest) -> Iterator[ScriptStep]:
            self.runs.append(name)
            if head_silence_s:
                yield head_silence_s
            self.begun_s.append(clock_s())
            yield stream_head()
            for count, content in enumerate(events_after(request), 1):
                yield content
                if event_silence_s and count == after_event:
                    yield event_silence_s
            yield chunk(b'')

        return self.node.add_target(script, 'lm')

    def assert_whole(self, content: bytes) -> None:
        self.assertEqual(200, status(content))
        for number in range(1, EVENT_COUNT + 1):
            self.assertEqual(1, content.count(event(number)), content)
        self.assertTrue(content.endswith(END_OF_STREAM), content)


class SilentStreamTest(SilentTargetCase):
    def test_a_stream_survives_a_silence_of_its_only_engine(self) -> None:
        """Guards against a stream that is cut where nothing can go on."""
        silence_s = iter(SILENCES_S)

        def script(request: ReceivedRequest) -> Iterator[ScriptStep]:
            yield stream_head()
            for count, content in enumerate(events_after(request), 1):
                yield content
                if count == 2:
                    yield next(silence_s)
            yield chunk(b'')

        self.node.add_target(script, 'lm')
        for _ in SILENCES_S:
            self.assert_whole(self.node.call('/resume/1'))

    def test_a_stream_survives_a_silence_of_all_engines(self) -> None:
        """Guards against a stream that loses its engine to a silent one."""
        self.stream('first', event_silence_s=1.5)
        self.stream('second', head_silence_s=1.5)
        self.assert_whole(self.node.call('/resume/1'))

    def test_a_stream_survives_where_no_engine_has_room(self) -> None:
        """Guards against a begun stream that ends with a refusal."""
        self.stream('first', event_silence_s=1.5)
        self.node.add_target(refuses_call, 'lm')
        self.assert_whole(self.node.call('/resume/1'))

    def test_a_stream_survives_an_error_of_the_next_engine(self) -> None:
        """Guards against a begun stream that ends with another's error."""

        def answers_error(request: ReceivedRequest) -> Iterator[ScriptStep]:
            yield answer('500 Error', b'no')

        self.stream('first', event_silence_s=1.5)
        self.node.add_target(answers_error, 'lm')
        self.assert_whole(self.node.call('/resume/1'))

    def test_a_begun_stream_waits_for_an_engine_with_room(self) -> None:
        """Guards against a stream cut while its next engine is full."""

        def breaks_off(request: ReceivedRequest) -> Iterator[ScriptStep]:
            yield stream_head()
            yield chunk(event(1))
            yield 0.1
            yield None

        refusals = iter([refuses_call])

        def is_full_once(request: ReceivedRequest) -> Iterator[ScriptStep]:
            refuse = next(refusals, None)
            if refuse is not None:
                yield from refuse(request)
                return
            yield stream_head()
            yield from events_after(request)
            yield chunk(b'')

        first_or_full = iter([breaks_off])
        for _ in range(2):
            self.node.add_target(
                lambda request: next(first_or_full, is_full_once)(request),
                'lm',
            )
        self.assert_whole(self.node.call('/resume/1'))

    def test_a_second_try_that_fails_by_an_error_is_logged(self) -> None:
        """Guards against an error of ours that nobody sees."""
        self.stream('first', event_silence_s=2.2)
        self.stream('second')
        self.node.target_gate.enter = _fail_after_first(
            self.node.target_gate.enter
        )
        self.assert_whole(self.node.call('/resume/1'))
        self.assertIn('ValueError: a bug', self.node.log_lines.text)

    def test_a_stream_survives_without_retry_budget(self) -> None:
        """Guards against a stream given up before its retry is allowed."""
        self.stream('first', event_silence_s=1.5)
        self.stream('second', event_silence_s=1.5)
        budget = self.node.knowledge.budget
        while budget.try_charge('lm', clock_s()).is_allowed:
            continue
        self.assert_whole(self.node.call('/resume/1'))

    def test_a_stream_survives_its_last_attempt_falling_silent(self) -> None:
        """Guards against a stream cut when `max_attempts` are used up."""

        def breaks_off(request: ReceivedRequest) -> Iterator[ScriptStep]:
            yield stream_head()
            yield chunk(event(1))
            yield 0.1
            yield None

        self.node.add_target(breaks_off, 'lm')
        self.stream('second', event_silence_s=1.5, after_event=1)
        self.stream('third', event_silence_s=1.5, after_event=1)
        self.assert_whole(self.node.call('/resume/1'))

    def test_a_stream_survives_a_silence_before_its_head(self) -> None:
        """Guards against a stream that two silent engines had accepted."""
        self.stream('first', head_silence_s=1.6)
        self.stream('second', head_silence_s=1.6)
        self.assert_whole(self.node.call('/resume/1'))

    def test_a_stream_survives_when_no_new_connection_is_accepted(self) -> None:
        """Guards against a begun stream given up as cut off from targets."""
        for target in (
            self.stream('first', event_silence_s=1.5),
            self.stream('second', event_silence_s=1.5),
        ):
            eventlet.spawn_after(0.3, target.refuse_connections)
        calls = [
            eventlet.spawn(self.node.call, '/resume/1', attempt_id='a1')
            for _ in range(4)
        ]
        for call in calls:
            self.assert_whole(call.wait())

    def test_a_stream_moves_from_an_engine_that_stays_silent(self) -> None:
        """Guards against callers that wait for a dead engine."""
        first = self.stream('first', event_silence_s=FOREVER_S)
        self.stream('second')
        started_s = clock_s()
        content = self.node.call('/resume/1')
        self.assert_whole(content)
        self.assertLess(clock_s() - started_s, MAX_MOVE_S)
        eventlet.sleep(MAX_OVERLAP_S)
        self.assertEqual(1, first.abandoned_count)

    def test_a_stream_moves_before_its_first_event(self) -> None:
        """Guards against callers that wait for a first event of the dead."""
        first = self.stream('first', head_silence_s=FOREVER_S)
        self.stream('second')
        started_s = clock_s()
        self.assert_whole(self.node.call('/resume/1'))
        self.assertLess(clock_s() - started_s, MAX_MOVE_S)
        eventlet.sleep(MAX_OVERLAP_S)
        self.assertEqual(1, first.abandoned_count)

    def test_the_second_try_ends_when_the_first_goes_on(self) -> None:
        """Guards against two engines that work on one stream."""
        self.stream('first', event_silence_s=1.3)
        second = self.stream('second', head_silence_s=FOREVER_S)
        self.assert_whole(self.node.call('/resume/1'))
        self.assertEqual(['first', 'second'], self.runs)
        eventlet.sleep(MAX_OVERLAP_S)
        self.assertEqual(1, second.abandoned_count)

    def test_a_second_try_outlasts_the_end_of_the_silent_engine(self) -> None:
        """Guards against a stream that loses both engines to the first's end."""

        def ends_in_order(request: ReceivedRequest) -> Iterator[ScriptStep]:
            yield stream_head()
            yield chunk(event(1))
            yield 1.3
            # Its connection closes without a reset.
            raise ConnectionError

        self.node.add_target(ends_in_order, 'lm')
        self.stream('second', head_silence_s=0.6)
        self.assert_whole(self.node.call('/resume/1'))
        self.assertEqual(['second'], self.runs)

    def test_a_second_try_outlasts_a_refusal_of_the_silent_engine(self) -> None:
        """Guards against a call that one engine refuses and none may retry."""

        def refuses_late(request: ReceivedRequest) -> Iterator[ScriptStep]:
            yield 1.3
            yield from refuses_call(request)

        def spend_budget() -> None:
            budget = self.node.knowledge.budget
            while budget.try_charge('lm', clock_s()).is_allowed:
                continue

        self.node.add_target(refuses_late, 'lm')
        self.stream('second', head_silence_s=0.6)
        eventlet.spawn_after(1.2, spend_budget)
        self.assert_whole(self.node.call('/resume/1'))
        self.assertEqual(['second'], self.runs)

    def test_both_tries_end_when_the_caller_leaves(self) -> None:
        """Guards against engines at work for a caller that has left."""
        first = self.stream('first', event_silence_s=FOREVER_S)
        second = self.stream('second', head_silence_s=FOREVER_S)
        with self.node.connect() as sock:
            sock.sendall(request_bytes('/resume/1'))
            eventlet.sleep(1.4)
            self.assertEqual(['first', 'second'], self.runs)
        eventlet.sleep(MAX_OVERLAP_S)
        self.assertEqual(1, first.abandoned_count)
        self.assertEqual(1, second.abandoned_count)

    def test_a_second_try_that_succeeds_as_the_caller_leaves_ends(
        self,
    ) -> None:
        """Guards against an engine at work for a caller that has left."""
        wait = SecondTry.wait

        def wait_and_leave(
            second: SecondTry[BegunStream],
        ) -> BegunStream | None:
            wait(second)
            # As the thread of a call is killed whose caller has left.
            raise eventlet.greenlet.GreenletExit

        def ends(request: ReceivedRequest) -> Iterator[ScriptStep]:
            yield stream_head()
            yield chunk(event(1))
            yield 1.3
            yield None

        self.enterContext(mock.patch.object(SecondTry, 'wait', wait_and_leave))
        self.node.add_target(ends, 'lm')
        second = self.stream('second', 0.5, event_silence_s=FOREVER_S)
        self.node.call('/resume/1')
        eventlet.sleep(MAX_OVERLAP_S)
        self.assertEqual(1, second.abandoned_count)
        self.assertEqual(0, self.node.knowledge.loads.busy('i-2', clock_s()))

    def test_a_stream_that_must_not_run_twice_has_one_engine(self) -> None:
        """Guards against a second run of a stream that can't be resumed."""
        self.stream('first', event_silence_s=1.5)
        self.stream('second')
        self.assert_whole(self.node.call('/ask/1'))
        self.assertEqual(['first'], self.runs)


class LatePrefillTest(SilentTargetCase):
    """A stream whose engine breaks off later than callers wait for a first."""

    def setUp(self) -> None:
        super().setUp()
        self.prefilled: list[str] = []
        self.node.add_target(self.prefill, 'lm', Phase.PREFILL)
        self.node.add_target(self.go_on, 'lm', Phase.DECODE)
        self.node.add_target(self.break_off, 'lm', Phase.DECODE)

    def prefill(self, request: ReceivedRequest) -> Iterator[ScriptStep]:
        yield 0.3
        self.prefilled.append(request.line)
        yield answer(body=b'{"kv_handle":"h1","tokens":900,"version":1}')

    def go_on(self, request: ReceivedRequest) -> Iterator[ScriptStep]:
        yield stream_head()
        yield from events_after(request)
        yield chunk(b'')

    def break_off(self, request: ReceivedRequest) -> Iterator[ScriptStep]:
        if request.line.startswith('POST /ask/'):
            yield from self.go_on(request)
            return
        self.runs.append('breaks off')
        yield stream_head()
        for number, pause_s in ((1, 0.8), (2, 0.6), (3, 0.4)):
            yield chunk(event(number))
            yield pause_s
        yield None

    def call(self, path: str) -> bytes:
        return self.node.call(path, extra=PROMPT_HEADERS)

    def test_a_late_stream_waits_for_its_next_prefill(self) -> None:
        """Guards against a begun stream refused as too late to begin."""
        # Other prefills are in line when it breaks off.
        for number in range(3):
            eventlet.spawn_after(1.9 + number / 100, self.call, '/ask/1')
        self.assert_whole(self.call('/resume/1'))
        self.assertEqual(['breaks off'], self.runs)

    def test_a_late_stream_sends_no_prefill_in_vain(self) -> None:
        """Guards against a prefill that is given up as it is sent."""
        self.assert_whole(self.call('/resume/1'))
        self.assertEqual(['breaks off'], self.runs)
        self.assertEqual(2, len(self.prefilled))


class SilentPlainTargetTest(SilentTargetCase):
    def pausing(self, silence_s: float) -> ScriptedTarget:
        def script(request: ReceivedRequest) -> Iterator[ScriptStep]:
            self.runs.append(request.line)
            yield silence_s
            yield answer()

        return self.node.add_target(script)

    def test_a_repeatable_call_survives_a_silence_of_all_targets(self) -> None:
        """Guards against a call given up as cut off from its targets."""
        for target in (self.pausing(1.6), self.pausing(1.6)):
            eventlet.spawn_after(0.3, target.refuse_connections)
        calls = [eventlet.spawn(self.node.call, '/look/1') for _ in range(4)]
        self.assertEqual([200] * 4, [status(call.wait()) for call in calls])

    def test_a_call_that_must_not_run_twice_is_waited_for(self) -> None:
        """Guards against an early end of what may not be sent again."""
        for target in (self.pausing(1.6), self.pausing(1.6)):
            eventlet.spawn_after(0.3, target.refuse_connections)
        calls = [eventlet.spawn(self.node.call, '/confirm/1') for _ in range(4)]
        self.assertEqual([200] * 4, [status(call.wait()) for call in calls])
        self.assertEqual(4, len(self.runs))
