"""Answers that are broken, at the platform's program."""

from collections.abc import Callable, Iterator
from typing import TypeVar

import testtools

from dandelionyoke_core import OperationId, StoreFailed, StoreGet
from dandelionyoke_dispatch import Phase
from dandelionyoke_gateway import ExchangeError, TargetPool, clock_s
from dandelionyoke_gateway._json_call import CallLimits, call_json
from dandelionyoke_platform._store import PlatformStore
from tests.gateway.answer_heads import AnswerParts
from tests.gateway.broken_answers import broken_answers, sound_answers
from tests.platform.node_harness import (
    SIGNED_HEAD,
    NodeHarness,
    Script,
    ScriptedTarget,
    chunk,
)
from tests.platform.scripts import (
    PROMPT_HEADERS,
    answers_error,
    status,
    streams_token,
)

CLOSE = b''
SIGNED = SIGNED_HEAD.encode()
EVENT = b'id: 1\ndata: t\n\n'
PLAIN_PARTS = AnswerParts(b'whole', SIGNED)
STREAM_PARTS = AnswerParts(
    EVENT, SIGNED + b'Content-Type: text/event-stream\r\n'
)
PREFILL_PARTS = AnswerParts(
    b'{"kv_handle":"h1","tokens":900,"version":1}', SIGNED
)
TIMEOUT_S = 5.0
HAS_ENDED = chunk(b'')

_Result = TypeVar('_Result', bytes, str)


def sends(content: bytes) -> Script:
    """Return a script that sends an answer and closes."""
    return lambda request: (content, CLOSE)


class BrokenAnswerTest(testtools.TestCase):
    """Guards against a broken answer that is passed on as a good one."""

    def new_node(self, name: str = 'n-1') -> NodeHarness:
        node = NodeHarness(name)
        self.addCleanup(node.close)
        return node

    def plain_call(self, answer: bytes) -> bytes:
        node = self.new_node()
        node.add_target(sends(answer))
        return node.call('/confirm/1')

    def stream_call(self, answer: bytes) -> bytes:
        node = self.new_node()
        node.add_target(sends(answer), 'lm', Phase.DECODE)
        return node.call('/ask/1')

    def handed_call(self, answer: bytes) -> bytes:
        node, other = self.new_node(), self.new_node('n-2')
        member = other.open_links()
        node.open_links()
        node.knowledge.sources.take_members([member], clock_s())
        for each in (node, other):
            each.add_target(sends(answer) if each is other else answers_error)
        node.knowledge.reach.probed('ledger', {'i-1': False}, clock_s())
        return node.call('/confirm/1')

    def test_plain_calls(self) -> None:
        self.assert_told_apart(PLAIN_PARTS, self.plain_call, _is_whole_plain)

    def test_streams(self) -> None:
        """A stream that has begun can only be broken off."""
        self.assert_told_apart(STREAM_PARTS, self.stream_call, _is_whole_stream)

    def test_handed_calls(self) -> None:
        self.assert_told_apart(PLAIN_PARTS, self.handed_call, _is_whole_plain)

    def test_prefills(self) -> None:
        """Guards against a decode engine that fetches a wrong prompt."""
        self.assert_told_apart(
            PREFILL_PARTS,
            self.source_of_decode,
            lambda source: source.endswith('/h1'),
        )

    def assert_told_apart(
        self,
        parts: AnswerParts,
        call: Callable[[bytes], _Result],
        is_good: Callable[[_Result], bool],
    ) -> None:
        """Check that sound answers, and only these, give a good result."""

        def good_kinds(answers: Iterator[tuple[str, bytes]]) -> list[str]:
            return [kind for kind, answer in answers if is_good(call(answer))]

        self.assertEqual([], good_kinds(broken_answers(parts)))
        sound_kinds = [kind for kind, _ in sound_answers(parts)]
        self.assertEqual(sound_kinds, good_kinds(sound_answers(parts)))

    def source_of_decode(self, prefill_answer: bytes) -> str:
        """Return where a decode engine is told to fetch the prompt."""
        node = self.new_node()
        node.add_target(sends(prefill_answer), 'lm', Phase.PREFILL)
        decode = node.add_target(streams_token, 'lm', Phase.DECODE)
        node.call('/ask/1', extra=PROMPT_HEADERS)
        return ''.join(
            request.headers.get('kv-source', '')
            for request in decode.received_requests
        )

    def test_calls_with_json(self) -> None:
        def fails(answer: bytes) -> bool:
            address, limits = self.new_target(answer), CallLimits(TIMEOUT_S)
            try:
                call_json(TargetPool(), address, 'GET', '/', limits=limits)
            except ExchangeError:
                return True
            return False

        self.assert_all_fail(fails)

    def test_the_store(self) -> None:
        """Guards against a value that is absent by the status alone."""

        def fails(answer: bytes) -> bool:
            address = self.new_target(answer.replace(b' 200 OK', b' 404 No'))
            store = PlatformStore(address, TargetPool())
            found = store.perform(StoreGet(OperationId('o'), 'k'))
            return isinstance(found, StoreFailed)

        self.assert_all_fail(fails)

    def assert_all_fail(self, fails: Callable[[bytes], bool]) -> None:
        taken = [kind for kind, answer in broken_answers() if not fails(answer)]
        self.assertEqual([], taken)

    def new_target(self, answer: bytes) -> str:
        target = ScriptedTarget(sends(answer))
        self.addCleanup(target.close)
        return target.address


def _is_whole_plain(content: bytes) -> bool:
    return status(content) == 200 and content.endswith(PLAIN_PARTS.body)


def _is_whole_stream(content: bytes) -> bool:
    return status(content) == 200 and content.endswith(HAS_ENDED)
