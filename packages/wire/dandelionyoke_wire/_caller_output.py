"""A caller's open call, and its answer as WSGI wants it."""

import json
import time
from collections.abc import Callable, Iterable, Iterator
from http import HTTPStatus

import attrs
from eventlet import queue

from dandelionyoke_core import (
    Action,
    AnswerModels,
    AnswerService,
    AnswerStatus,
    CallerGone,
    Event,
    FinishCall,
    Refusal,
    RefuseCall,
    RequestId,
    SendTokens,
)
from dandelionyoke_wire import _openai as openai
from dandelionyoke_wire._caller_input import Environ, is_gone
from dandelionyoke_wire._mailboxes import Mailboxes
from dandelionyoke_wire._problems import (
    error_object,
    problem_body,
    problem_headers,
)

StartResponse = Callable[[str, list[tuple[str, str]]], object]

# How often a waiting task looks whether its caller is still there.
GONE_CHECK_S = 1.0
JSON_TYPE = 'application/json'


@attrs.frozen
class Answer:
    status: HTTPStatus | int
    headers: list[tuple[str, str]]
    body: bytes


class Written:
    """An answer's chunks; tells when the server is done with them."""

    def __init__(
        self, chunks: Iterable[bytes], written: Callable[[], None]
    ) -> None:
        self._chunks = chunks
        self._written = written

    def __iter__(self) -> Iterator[bytes]:
        return iter(self._chunks)

    def close(self) -> None:
        """Take the server's word that it is done, in full or not."""
        self._written()
        if isinstance(self._chunks, _Chunks):
            self._chunks.close()


class Call:
    """One open call: its mailbox, and whether its caller is still there."""

    def __init__(
        self,
        mailboxes: Mailboxes,
        emit: Callable[[Event], None],
        environ: Environ,
        request_id: RequestId,
    ) -> None:
        self.request_id = request_id
        self._mailboxes = mailboxes
        self._emit = emit
        self._environ = environ
        self._box = mailboxes.open(request_id)
        self._open = True
        self._next_look_s = time.monotonic() + GONE_CHECK_S

    def begin(self, event: Event) -> None:
        """Hand the call to the node."""
        self._emit(event)

    def next_action(self) -> Action | None:
        """Wait for the next part of the answer; None: the caller left.

        An answer that is gathered before it is written shows no broken
        connection while its tokens come in, so the look is due by the
        clock, not only when nothing comes.
        """
        while True:
            if self._is_look_due() and is_gone(self._environ):
                return None
            try:
                action: Action = self._box.get(timeout=GONE_CHECK_S)
            except queue.Empty:
                continue
            return action

    def _is_look_due(self) -> bool:
        now_s = time.monotonic()
        if now_s < self._next_look_s:
            return False
        self._next_look_s = now_s + GONE_CHECK_S
        return True

    def end(self, *, whole: bool) -> None:
        """Close the mailbox; tell the node if the answer was not taken."""
        if not self._open:
            return
        self._open = False
        self._mailboxes.close(self.request_id)
        if not whole:
            self._emit(CallerGone(self.request_id))


def collect(call: Call, request: openai.ModelRequest) -> Answer:
    tokens: list[str] = []
    action = call.next_action()
    while isinstance(action, SendTokens):
        tokens.extend(action.tokens)
        action = call.next_action()
    call.end(whole=action is not None)
    if isinstance(action, FinishCall):
        body = openai.whole_answer(call.request_id, request, tokens, action)
        return json_answer(call.request_id, body)
    return answer_of(call.request_id, action)


def stream_answer(
    call: Call, request: openai.ModelRequest, start_response: StartResponse
) -> Iterable[bytes]:
    """Stream an answer; a refusal before the first token has its status."""
    first = call.next_action()
    if not isinstance(first, SendTokens | FinishCall):
        call.end(whole=first is not None)
        return send_answer(start_response, answer_of(call.request_id, first))
    headers = [
        ('Content-Type', 'text/event-stream'),
        ('Cache-Control', 'no-cache'),
        ('X-Request-Id', call.request_id),
    ]
    start_response(_status_line(HTTPStatus.OK), headers)
    return _Chunks(call, request, first)


class _Chunks:
    """The body of a streamed answer.

    The server calls `close` at the end, also when writing to the caller
    failed; a caller that left is noticed there, and its work is ended.
    """

    def __init__(
        self, call: Call, request: openai.ModelRequest, first: Action
    ) -> None:
        self._call = call
        self._chunks = self._write(request, first)

    def __iter__(self) -> Iterator[bytes]:
        return self._chunks

    def close(self) -> None:
        """End the call if its answer was not written whole."""
        self._call.end(whole=False)

    def _write(
        self, request: openai.ModelRequest, first: Action | None
    ) -> Iterator[bytes]:
        request_id = self._call.request_id
        action = first
        while isinstance(action, SendTokens):
            yield openai.token_chunk(request_id, request, action.tokens)
            action = self._call.next_action()
        if isinstance(action, FinishCall):
            yield openai.end_chunks(request_id, request, action)
        elif isinstance(action, RefuseCall):
            yield openai.error_chunk(error_object(action.refusal))
        self._call.end(whole=action is not None)


def answer_of(request_id: RequestId, action: Action | None) -> Answer:
    match action:
        case RefuseCall():
            return refused_answer(request_id, action.refusal)
        case AnswerService():
            headers = [
                ('Content-Type', action.content_type or JSON_TYPE),
                ('X-Request-Id', request_id),
            ]
            return Answer(action.status, headers, action.body)
        case AnswerModels():
            return json_answer(request_id, openai.model_list(action.models))
        case AnswerStatus():
            body = json.dumps(attrs.asdict(action.status)).encode()
            return json_answer(request_id, body)
    # The caller has left; nobody reads this.
    return Answer(HTTPStatus.REQUEST_TIMEOUT, [], b'')


def json_answer(request_id: RequestId, body: bytes) -> Answer:
    headers = [('Content-Type', JSON_TYPE), ('X-Request-Id', request_id)]
    return Answer(HTTPStatus.OK, headers, body)


def refused_answer(request_id: RequestId, refusal: Refusal) -> Answer:
    return Answer(
        refusal.kind.status,
        problem_headers(request_id, refusal),
        problem_body(request_id, refusal),
    )


def send_answer(
    start_response: StartResponse, answer: Answer
) -> Iterable[bytes]:
    headers = [*answer.headers, ('Content-Length', str(len(answer.body)))]
    start_response(_status_line(answer.status), headers)
    return [answer.body]


def _status_line(status: int) -> str:
    try:
        return f'{status:d} {HTTPStatus(status).phrase}'
    except ValueError:
        return f'{status:d} Unknown'
