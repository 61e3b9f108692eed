"""Calls in flight, and their responses in WSGI form."""

import json
import time
from collections.abc import Callable, Iterable, Iterator
from http import HTTPStatus

import attrs
from eventlet import queue

from dandelionyoke_core import (
    Action,
    CallerDisconnected,
    Event,
    FinishCall,
    Refusal,
    RefuseCall,
    RequestId,
    RespondModels,
    RespondService,
    RespondStatus,
    SendTokens,
)
from dandelionyoke_wire import _openai as openai
from dandelionyoke_wire._caller_input import Environ, is_disconnected
from dandelionyoke_wire._problems import (
    error_object,
    problem_body,
    problem_headers,
)
from dandelionyoke_wire._response_queues import ResponseQueues

StartResponse = Callable[[str, list[tuple[str, str]]], object]

# Time between two checks whether the caller is still connected.
DISCONNECT_CHECK_INTERVAL_S = 1.0
JSON_TYPE = 'application/json'


@attrs.frozen
class Response:
    """Status, headers and body of a response that is not streamed."""

    status: HTTPStatus | int
    headers: list[tuple[str, str]]
    body: bytes


class TrackedBody:
    """Body of a response that calls `on_close` when the server is done."""

    def __init__(
        self, chunks: Iterable[bytes], on_close: Callable[[], None]
    ) -> None:
        self._chunks = chunks
        self._on_close = on_close

    def __iter__(self) -> Iterator[bytes]:
        return iter(self._chunks)

    def close(self) -> None:
        """Report that the server is done, also after a failed write."""
        self._on_close()
        if isinstance(self._chunks, _StreamBody):
            self._chunks.close()


class PendingCall:
    """A call in flight: its response queue and its caller's connection."""

    def __init__(
        self,
        response_queues: ResponseQueues,
        emit: Callable[[Event], None],
        environ: Environ,
        request_id: RequestId,
    ) -> None:
        self.request_id = request_id
        self._response_queues = response_queues
        self._emit = emit
        self._environ = environ
        self._response_queue = response_queues.open(request_id)
        self._is_open = True
        self._next_check_s = time.monotonic() + DISCONNECT_CHECK_INTERVAL_S

    def submit(self, event: Event) -> None:
        """Submit the call to the node."""
        self._emit(event)

    def next_action(self) -> Action | None:
        """Wait for the next action; return None if the caller disconnected.

        A response that is buffered until it is complete writes nothing while
        its tokens arrive, so no write can fail. The connection is therefore
        checked at a fixed interval, not only when the response queue is empty.
        """
        while True:
            if self._is_check_due() and is_disconnected(self._environ):
                return None
            try:
                action: Action = self._response_queue.get(
                    timeout=DISCONNECT_CHECK_INTERVAL_S
                )
            except queue.Empty:
                continue
            return action

    def _is_check_due(self) -> bool:
        now_s = time.monotonic()
        if now_s < self._next_check_s:
            return False
        self._next_check_s = now_s + DISCONNECT_CHECK_INTERVAL_S
        return True

    def close(self, *, completed: bool) -> None:
        """Close the queue; emit CallerDisconnected if the response is incomplete."""
        if not self._is_open:
            return
        self._is_open = False
        self._response_queues.close(self.request_id)
        if not completed:
            self._emit(CallerDisconnected(self.request_id))


def collect_response(
    call: PendingCall, request: openai.ModelRequest
) -> Response:
    tokens: list[str] = []
    action = call.next_action()
    while isinstance(action, SendTokens):
        tokens.extend(action.tokens)
        action = call.next_action()
    call.close(completed=action is not None)
    if isinstance(action, FinishCall):
        body = openai.completion_body(call.request_id, request, tokens, action)
        return json_response(call.request_id, body)
    return response_for(call.request_id, action)


def stream_response(
    call: PendingCall,
    request: openai.ModelRequest,
    start_response: StartResponse,
) -> Iterable[bytes]:
    """Stream a response; a refusal before the first token sets the status."""
    first = call.next_action()
    if not isinstance(first, SendTokens | FinishCall):
        call.close(completed=first is not None)
        return send_response(
            start_response, response_for(call.request_id, first)
        )
    headers = [
        ('Content-Type', 'text/event-stream'),
        ('Cache-Control', 'no-cache'),
        ('X-Request-Id', call.request_id),
    ]
    start_response(_status_line(HTTPStatus.OK), headers)
    return _StreamBody(call, request, first)


class _StreamBody:
    """Body of a streamed response.

    The server calls `close` at the end, also when a write to the caller
    failed. This detects a caller that disconnected, and ends its call.
    """

    def __init__(
        self, call: PendingCall, request: openai.ModelRequest, first: Action
    ) -> None:
        self._call = call
        self._chunks = self._generate(request, first)

    def __iter__(self) -> Iterator[bytes]:
        return self._chunks

    def close(self) -> None:
        """Close the call as incomplete, unless it was closed before."""
        self._call.close(completed=False)

    def _generate(
        self, request: openai.ModelRequest, first: Action | None
    ) -> Iterator[bytes]:
        request_id = self._call.request_id
        action = first
        while isinstance(action, SendTokens):
            yield openai.token_chunk(request_id, request, action.tokens)
            action = self._call.next_action()
        if isinstance(action, FinishCall):
            yield openai.final_chunks(request_id, request, action)
        elif isinstance(action, RefuseCall):
            yield openai.error_chunk(error_object(action.refusal))
        self._call.close(completed=action is not None)


def response_for(request_id: RequestId, action: Action | None) -> Response:
    match action:
        case RefuseCall():
            return refusal_response(request_id, action.refusal)
        case RespondService():
            headers = [
                ('Content-Type', action.content_type or JSON_TYPE),
                ('X-Request-Id', request_id),
            ]
            return Response(action.status, headers, action.body)
        case RespondModels():
            return json_response(request_id, openai.model_list(action.models))
        case RespondStatus():
            body = json.dumps(attrs.asdict(action.status)).encode()
            return json_response(request_id, body)
    # The caller disconnected, so this response is never read.
    return Response(HTTPStatus.REQUEST_TIMEOUT, [], b'')


def json_response(request_id: RequestId, body: bytes) -> Response:
    headers = [('Content-Type', JSON_TYPE), ('X-Request-Id', request_id)]
    return Response(HTTPStatus.OK, headers, body)


def refusal_response(request_id: RequestId, refusal: Refusal) -> Response:
    return Response(
        refusal.kind.status,
        problem_headers(request_id, refusal),
        problem_body(request_id, refusal),
    )


def send_response(
    start_response: StartResponse, response: Response
) -> Iterable[bytes]:
    headers = [*response.headers, ('Content-Length', str(len(response.body)))]
    start_response(_status_line(response.status), headers)
    return [response.body]


def _status_line(status: int) -> str:
    try:
        return f'{status:d} {HTTPStatus(status).phrase}'
    except ValueError:
        return f'{status:d} Unknown'
