"""Late copies of an answer, which come when the next request arrives."""

from collections.abc import Iterator
from unittest import mock

import attrs
import testtools

from dandelionyoke_dispatch import Phase, RegisteredTarget
from dandelionyoke_gateway import (
    RequestHead,
    TargetPool,
    _target_connection,
    clock_s,
)
from dandelionyoke_platform._duties import PlatformDuties
from tests.gateway.settings import new_settings
from tests.platform.node_harness import (
    SIGNED_HEAD,
    NodeHarness,
    ReceivedRequest,
    Script,
    ScriptedTarget,
    ScriptStep,
    answer,
)
from tests.platform.scripts import (
    PROMPT_HEADERS,
    answers_ok,
    answers_prefill,
    status,
    streams_token,
    with_header,
)

RUN_S = 0.05
FULL = f'{SIGNED_HEAD}Not-Executed: 1\r\nServer-Load: 8,8,8,100\r\n'
IDLE = 'Server-Load: 0,0,8,100'
REPORT = b'{"phase": "decode", "busy": false, "seq": 2, "born": 1}'


class CopyingTarget:
    """Sends a copy of each answer when the next request arrives there.

    Like all late copies it comes before the answer to that request.
    """

    def __init__(self, script: Script) -> None:
        self._script = script
        self._last: dict[int, bytes] = {}

    def __call__(self, request: ReceivedRequest) -> Iterator[ScriptStep]:
        copied = self._last.pop(request.connection, b'')
        if copied:
            yield copied
        sent = b''
        for step in self._script(request):
            if isinstance(step, bytes):
                sent += step
            yield step
        self._last[request.connection] = sent


def refuses_first(then: Script) -> Script:
    """Refuse the first request as full."""
    answered: list[ReceivedRequest] = []

    def script(request: ReceivedRequest) -> Iterator[ScriptStep]:
        answered.append(request)
        if len(answered) == 1:
            yield answer('503 Busy', b'', FULL)
            return
        yield RUN_S
        yield from then(request)

    return script


def refuses_caches(request: ReceivedRequest) -> Iterator[ScriptStep]:
    """Refuse each stream that comes with a KV cache."""
    if 'kv-source' in request.headers:
        head = f'{SIGNED_HEAD}Not-Executed: 1\r\n{IDLE}\r\n'
        yield answer('503 Busy', b'', head)
        return
    yield RUN_S
    yield from with_header(streams_token, IDLE)(request)


class RefusedCallTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        settings = attrs.evolve(new_settings(), retry_extra=100)
        self.node = NodeHarness(settings=settings)
        self.addCleanup(self.node.close)
        told = RegisteredTarget('i-0', 'ledger', '127.0.0.1:1', 'a', 8, False)
        self.node.knowledge.speeds.observe(told, 1.0, clock_s())

    def test_a_late_refusal_is_not_taken_for_the_second_answer(self) -> None:
        """Guards against a 503 for a call that runs at the same target."""
        script = CopyingTarget(refuses_first(answers_ok))
        target = self.node.add_target(script)
        content = self.node.call('/confirm/1')
        self.assertEqual(200, status(content))
        self.assertEqual(2, len(target.received_requests))

    def test_a_late_refusal_of_a_stream_is_not_taken_for_its_start(
        self,
    ) -> None:
        """Guards against a 503 for a stream sent again without its cache."""
        self.node.add_target(answers_prefill, 'lm', Phase.PREFILL)
        decode = self.node.add_target(
            CopyingTarget(refuses_caches), 'lm', Phase.DECODE
        )
        content = self.node.call('/ask/1', extra=PROMPT_HEADERS)
        self.assertEqual(200, status(content))
        self.assertEqual(2, len(decode.received_requests))
        self.assertEqual(0, decode.abandoned_count)

    def test_the_connection_still_serves_other_calls(self) -> None:
        """Guards against a new connection after each refusal."""
        target = self.node.add_target(refuses_first(answers_ok))
        self.node.call('/confirm/1')
        head = 'Response-Signature: s\r\nAttempt-Id: b2\r\n'
        self.assertEqual(2, len(self.connections(target)))
        target.received_requests.clear()
        target._script = lambda request: [answer(extra=head)]
        content = self.node.call('/confirm/1', attempt_id='b2')
        self.assertEqual(200, status(content))
        self.assertLessEqual(max(self.connections(target)), 2)

    def connections(self, target: ScriptedTarget) -> set[int]:
        return {request.connection for request in target.received_requests}


class OwnRequestTest(testtools.TestCase):
    """Calls of callers and requests of this node on one connection."""

    def setUp(self) -> None:
        super().setUp()
        self.node = NodeHarness()
        self.addCleanup(self.node.close)
        self.scripted = self.node.add_target(CopyingTarget(self.answer))
        target = self.node.knowledge.registry.find('i-1')
        assert target is not None
        self.target = target
        self.duties = PlatformDuties('', self.node.pool)

    def answer(self, request: ReceivedRequest) -> Iterator[ScriptStep]:
        """Answer a call, or a request of this node, which has no id."""
        if 'attempt-id' in request.headers:
            yield answer(body=REPORT)
        else:
            yield answer('404 Not Found', b'{}', '')

    def assert_one_connection(self) -> None:
        received = self.scripted.received_requests
        self.assertEqual([1, 1], [request.connection for request in received])

    def test_a_late_answer_to_a_call_is_no_report(self) -> None:
        """Guards against a caller's answer that is read as a report."""
        self.node.call('/confirm/1')
        self.assertIsNone(self.duties.read_report(self.target))
        self.assert_one_connection()

    def test_a_late_report_is_no_answer_to_a_call(self) -> None:
        """Guards against an answer to this node that its caller gets."""
        self.duties.read_report(self.target)
        content = self.node.call('/confirm/1')
        self.assertNotEqual(404, status(content))
        self.assert_one_connection()


class PoolTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.target = ScriptedTarget(answers_ok)
        self.addCleanup(self.target.close)
        self.pool = TargetPool()

    def carry(self, call_id: str) -> bool:
        """Carry a call; return whether a new connection did."""
        head = RequestHead('GET', '/', (('host', self.target.address),))
        with self.pool.acquire(self.target.address, call_id) as connection:
            connection.send(head, b'')
            connection.read_head(clock_s() + 1)
            connection.read_body(clock_s() + 1, 100)
            return connection.is_new

    def test_a_connection_carries_a_call_once(self) -> None:
        """Guards against answers to two sends with one id."""
        kept = [self.carry(call_id) for call_id in ('a', 'b', 'a', 'b')]
        self.assertEqual([True, False, True, False], kept)

    def test_a_connection_with_many_calls_is_closed(self) -> None:
        """Guards against connections that remember calls without end."""
        with mock.patch.object(_target_connection, 'MAX_CARRIED_CALLS', 2):
            kept = [self.carry(call_id) for call_id in 'abc']
        self.assertEqual([True, False, True], kept)
