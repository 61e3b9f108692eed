"""Answers of engines, the platform and the store that are broken."""

from collections.abc import Callable

import testtools
from urllib3.exceptions import HTTPError

from dandelionyoke_core import (
    AttemptFailed,
    Event,
    OperationId,
    ServiceAnswered,
    StoreFailed,
    StoreGet,
)
from dandelionyoke_wire import StoreClient
from dandelionyoke_wire._guarded import call_guarded
from dandelionyoke_wire._transport import (
    TransportError,
    call_json,
    new_pool,
    new_stream_pool,
)
from tests.gateway.answer_heads import BODY
from tests.gateway.broken_answers import broken_answers, sound_answers
from tests.wire.broken_engine import BrokenEngine, call_service

TIMEOUT_S = 5.0
LONG_STATUS = b'HTTP/1.1 600 Odd\r\nContent-Length: 4\r\n\r\n' + BODY
MANY_FIELDS = b'X: y\r\n' * 200
REFUSED_BY_LIBRARY = (
    b'HTTP/3.1 200 OK\r\nContent-Length: 4\r\n\r\n' + BODY,
    b'HTTP/1.1 200 OK\r\n%bContent-Length: 4\r\n\r\n' % MANY_FIELDS + BODY,
)


def read_stream(address: str) -> bytes:
    """Return the body of an answer that is read as a stream."""
    with new_stream_pool() as pool:
        response = pool.request('POST', address, preload_content=False)
        return b''.join(iter(lambda: response.read1(1024), b''))


class BrokenAnswerTest(testtools.TestCase):
    """Guards against a broken answer that is taken for a good one.

    Its status or its body is not the engine's: the fields after a broken line
    are lost with the length of the body, or the framing is a part of it.
    """

    def answered(self, answer: bytes, call: Callable[[str], object]) -> object:
        """Return the result of a call, or None for an error."""
        engine = BrokenEngine(answer)
        try:
            return call(engine.address)
        except (TransportError, OSError, HTTPError):
            return None
        finally:
            engine.close()

    def taken_kinds(
        self, call: Callable[[str], object], status: bytes = b'200 OK'
    ) -> list[str]:
        """Return the kinds of broken answers with which a call succeeds."""
        kinds = []
        for kind, answer in broken_answers():
            odd_answer = answer.replace(b'200 OK', status)
            if self.answered(odd_answer, call) is not None:
                kinds.append(kind)
        return kinds

    def test_calls_of_plain_services(self) -> None:
        def call(address: str) -> Event | None:
            event = call_service(address)
            return None if isinstance(event, AttemptFailed) else event

        self.assertEqual([], self.taken_kinds(call))

    def test_streams(self) -> None:
        self.assertEqual([], self.taken_kinds(read_stream))

    def test_calls_with_json(self) -> None:
        """An empty body is read as an object without fields."""

        def call(address: str) -> object:
            return call_json(
                new_pool(), 'GET', address, read_timeout_s=TIMEOUT_S
            )

        self.assertEqual([], self.taken_kinds(call))

    def test_guarded_calls(self) -> None:
        """A report of usage is accepted by a status alone."""

        def call(address: str) -> object:
            return call_guarded(
                'POST', f'{address}/x', {}, lambda: True, TIMEOUT_S
            )

        self.assertEqual([], self.taken_kinds(call))

    def test_guarded_calls_with_answers_that_the_library_refuses(self) -> None:
        """Guards against an order that has no result, as its task ended."""
        for answer in REFUSED_BY_LIBRARY:
            engine = BrokenEngine(answer)
            self.addCleanup(engine.close)
            with testtools.ExpectedException(TransportError):
                call_guarded(
                    'POST', f'{engine.address}/x', {}, lambda: True, TIMEOUT_S
                )

    def test_the_store(self) -> None:
        """A value is absent by a status alone."""

        def call(address: str) -> object:
            found = StoreClient(address).perform(
                StoreGet(OperationId('o'), 'k')
            )
            return None if isinstance(found, StoreFailed) else found

        self.assertEqual([], self.taken_kinds(call, b'404 No'))

    def test_sound_answers(self) -> None:
        """Guards against losing answers that only look odd."""
        for kind, answer in sound_answers():
            event = self.answered(answer, call_service)
            self.assertIsInstance(event, ServiceAnswered, kind)
            self.assertEqual((200, BODY), (event.status, event.body), kind)
            self.assertEqual(BODY, self.answered(answer, read_stream), kind)

    def test_a_status_above_599(self) -> None:
        """Such a status is passed on as it came."""
        event = self.answered(LONG_STATUS, call_service)
        self.assertEqual((600, BODY), (event.status, event.body))
