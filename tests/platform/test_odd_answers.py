"""Answers of targets without a length, without an end, or broken off."""

from collections.abc import Iterator
from itertools import repeat

import testtools
from hypothesis import given, strategies

from dandelionyoke_dispatch import Phase
from dandelionyoke_gateway import clock_s
from tests.platform.node_harness import (
    SIGNED_HEAD,
    NodeHarness,
    ReceivedRequest,
    Script,
    ScriptStep,
    chunk,
    stream_head,
)
from tests.platform.scripts import (
    PROMPT_HEADERS,
    answers_ok,
    answers_prefill,
    status,
    streams_token,
)

CLOSE = b''
EVENT = b'id: 1\ndata: t\n\n'
SECOND_EVENT = b'id: 2\ndata: u\n\n'
JUNK = b'x' * 65536
# The largest answer that a node takes has 8 MB; more is in socket buffers.
MAX_READ_BYTES = 16_000_000
# A call leaves a target that sends bytes without end before its own deadline.
LEAVES_WITHIN_S = 2.0
UNFRAMED_HEAD = f'HTTP/1.1 200 OK\r\n{SIGNED_HEAD}\r\n'.encode()
UNFRAMED_STREAM = (
    f'HTTP/1.1 200 OK\r\n{SIGNED_HEAD}Content-Type: text/event-stream\r\n\r\n'
).encode()


class OddAnswerTestCase(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.node = NodeHarness()
        self.addCleanup(self.node.close)
        self.sent_bytes = 0

    def counted(self, *first: bytes, then: bytes = JUNK) -> Script:
        """Send some bytes, then others without end; count what is taken."""

        def script(request: ReceivedRequest) -> Iterator[ScriptStep]:
            yield from first
            for block in repeat(then):
                self.sent_bytes += len(block)
                yield block

        return script


class UnframedAnswerTest(OddAnswerTestCase):
    """Answers with neither a length nor chunks, ended by the close."""

    def test_a_plain_answer_reaches_the_caller_whole(self) -> None:
        def script(request: ReceivedRequest) -> Iterator[ScriptStep]:
            yield UNFRAMED_HEAD
            yield b'all of '
            yield 0.05
            yield b'it'
            yield CLOSE

        self.node.add_target(script)
        content = self.node.call('/confirm/1')
        self.assertEqual(200, status(content))
        self.assertTrue(content.endswith(b'all of it'), content)

    def test_a_stream_reaches_the_caller_whole(self) -> None:
        """Guards against a stream that has no end for its caller."""

        def script(request: ReceivedRequest) -> Iterator[ScriptStep]:
            yield UNFRAMED_STREAM
            yield EVENT
            yield 0.05
            yield SECOND_EVENT
            yield CLOSE

        self.node.add_target(script, 'lm', Phase.DECODE)
        content = self.node.call('/ask/1')
        self.assertIn(chunk(EVENT), content)
        self.assertTrue(
            content.endswith(chunk(SECOND_EVENT) + chunk(b'')), content
        )

    def test_a_prefill_is_used(self) -> None:
        def script(request: ReceivedRequest) -> Iterator[ScriptStep]:
            yield UNFRAMED_HEAD
            yield b'{"kv_handle":"h1","tokens":900,"version":1}'
            yield CLOSE

        self.node.add_target(script, 'lm', Phase.PREFILL)
        decode = self.node.add_target(streams_token, 'lm', Phase.DECODE)
        content = self.node.call('/ask/1', extra=PROMPT_HEADERS)
        self.assertEqual(200, status(content))
        (request,) = decode.received_requests
        self.assertTrue(request.headers['kv-source'].endswith('/h1'))

    @given(strategies.integers(1, len(EVENT) - 1))
    def test_a_stream_that_ends_inside_an_event_goes_on_elsewhere(
        self, size: int
    ) -> None:
        """Guards against two halves that a caller joins to one event."""
        node = NodeHarness()

        def script(request: ReceivedRequest) -> Iterator[ScriptStep]:
            if 'last-event-id' in request.headers:
                yield stream_head()
                yield chunk(SECOND_EVENT) + chunk(b'')
                return
            yield UNFRAMED_STREAM
            yield EVENT
            yield SECOND_EVENT[:size]
            yield CLOSE

        try:
            for _ in range(2):
                node.add_target(script, 'lm', Phase.DECODE)
            content = node.call('/resume/1')
        finally:
            node.close()
        self.assertTrue(content.endswith(chunk(b'')), content)
        body = content.partition(b'\r\n\r\n')[2]
        self.assertEqual(chunk(EVENT) + chunk(SECOND_EVENT) + chunk(b''), body)

    def test_a_stream_that_may_not_go_on_ends_without_its_end(self) -> None:
        """Guards against a stream that is cut and looks whole."""

        def script(request: ReceivedRequest) -> Iterator[ScriptStep]:
            yield UNFRAMED_STREAM
            yield EVENT
            yield SECOND_EVENT[:-1]
            yield CLOSE

        self.node.add_target(script, 'lm', Phase.DECODE)
        content = self.node.call('/ask/1')
        self.assertTrue(content.endswith(chunk(EVENT)), content)


class EndlessAnswerTest(OddAnswerTestCase):
    """Bytes that are no answer and come until the node closes."""

    def assert_served_elsewhere(
        self, path: str, service: str, endless: Script, sound: Script
    ) -> None:
        """Check that a call leaves an endless target in time."""
        phase = Phase.DECODE if service == 'lm' else Phase.ANY
        target = self.node.add_target(endless, service, phase)
        # The first call goes to the only target.
        started_s = clock_s()
        self.assertIn(status(self.node.call(path)), {500, 502})
        self.assertLess(clock_s() - started_s, LEAVES_WITHIN_S)
        self.node.add_target(sound, service, phase)
        started_s = clock_s()
        self.assertEqual(200, status(self.node.call(path, attempt_id='a1')))
        self.assertLess(clock_s() - started_s, LEAVES_WITHIN_S)
        sends = len(target.received_requests)
        self.assertLess(self.sent_bytes, sends * MAX_READ_BYTES)

    def test_a_head_without_end(self) -> None:
        self.assert_served_elsewhere(
            '/look/1',
            'ledger',
            self.counted(b'HTTP/1.1 200 OK\r\n'),
            answers_ok,
        )

    def test_bytes_that_are_no_head(self) -> None:
        self.assert_served_elsewhere(
            '/look/1', 'ledger', self.counted(), answers_ok
        )

    def test_interim_answers_without_end(self) -> None:
        """Guards against a head that is waited for until the time is over."""
        self.assert_served_elsewhere(
            '/look/1',
            'ledger',
            self.counted(then=b'HTTP/1.1 103 Early Hints\r\n\r\n' * 100),
            answers_ok,
        )

    def test_a_body_without_end(self) -> None:
        self.assert_served_elsewhere(
            '/look/1', 'ledger', self.counted(UNFRAMED_HEAD), answers_ok
        )

    def test_a_chunk_head_without_end(self) -> None:
        head = stream_head().replace(b'text/event-stream', b'text/plain')
        self.assert_served_elsewhere(
            '/look/1',
            'ledger',
            self.counted(head, then=b'1' * 4096),
            answers_ok,
        )

    def test_a_head_of_a_stream_without_end(self) -> None:
        self.assert_served_elsewhere(
            '/resume/1',
            'lm',
            self.counted(b'HTTP/1.1 200 OK\r\n'),
            streams_token,
        )

    def test_interim_answers_without_end_to_a_stream(self) -> None:
        """Guards against a head that is waited for until the time is over."""
        self.assert_served_elsewhere(
            '/resume/1',
            'lm',
            self.counted(then=b'HTTP/1.1 103 Early Hints\r\n\r\n' * 100),
            streams_token,
        )

    def test_an_event_without_end(self) -> None:
        """Guards against a node whose memory one target fills."""

        def script(request: ReceivedRequest) -> Iterator[ScriptStep]:
            if 'last-event-id' in request.headers:
                yield stream_head()
                yield chunk(SECOND_EVENT) + chunk(b'')
                return
            yield UNFRAMED_STREAM
            yield EVENT
            for block in repeat(JUNK):
                self.sent_bytes += len(block)
                yield block

        for _ in range(2):
            self.node.add_target(script, 'lm', Phase.DECODE)
        content = self.node.call('/resume/1')
        self.assertTrue(content.endswith(chunk(SECOND_EVENT) + chunk(b'')))
        self.assertLess(self.sent_bytes, MAX_READ_BYTES)

    def test_a_prefill_without_end(self) -> None:
        self.node.add_target(self.counted(UNFRAMED_HEAD), 'lm', Phase.PREFILL)
        self.node.add_target(answers_prefill, 'lm', Phase.PREFILL)
        self.node.add_target(streams_token, 'lm', Phase.DECODE)
        for number in range(4):
            content = self.node.call(
                '/ask/1', extra=PROMPT_HEADERS, attempt_id='a1'
            )
            self.assertEqual(200, status(content), number)
        self.assertLess(self.sent_bytes, MAX_READ_BYTES)

    def test_an_error_without_end(self) -> None:
        head = f'HTTP/1.1 500 Error\r\n{SIGNED_HEAD}\r\n'.encode()
        self.assert_served_elsewhere(
            '/resume/1', 'lm', self.counted(head), streams_token
        )
