"""The callers' side: a WSGI application that turns calls into events.

Each connection is owned by the task that the HTTP server gave it. The task
puts an event into the node's inbox and then waits at a mailbox of its own.
"""

import json
import secrets
import socket
import time
from collections.abc import Callable, Iterable, Iterator
from http import HTTPStatus
from typing import Any

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
    InstanceId,
    ModelCalled,
    ModelsAsked,
    Refusal,
    RefusalKind,
    RefuseCall,
    RequestId,
    SendTokens,
    ServiceCalled,
    ServiceName,
    StatusAsked,
)
from dandelionyoke_wire import _openai as openai
from dandelionyoke_wire._mailboxes import Mailboxes
from dandelionyoke_wire._problems import (
    error_object,
    problem_body,
    problem_headers,
)

Environ = dict[str, Any]
StartResponse = Callable[[str, list[tuple[str, str]]], object]

# How often a waiting task looks whether its caller is still there.
GONE_CHECK_S = 1.0
REQUEST_ID_BYTES = 9
JSON_TYPE = 'application/json'
SERVICES_PREFIX = '/services/'
VERSION_PREFIX = '/v1'


@attrs.frozen
class CallerSettings:
    """Limits towards callers."""

    instance_id: InstanceId
    max_body_bytes: int = 4 * 1024 * 1024


@attrs.frozen
class _Answer:
    status: HTTPStatus | int
    headers: list[tuple[str, str]]
    body: bytes


class CallError(Exception):
    """A call that the core never needs to see."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.detail)
        self.refusal = refusal


class CallerApp:
    """The WSGI application of an entry."""

    def __init__(
        self,
        settings: CallerSettings,
        mailboxes: Mailboxes,
        emit: Callable[[Event], None],
        metrics_text: Callable[[], bytes],
        is_leaving: Callable[[], bool],
    ) -> None:
        self._settings = settings
        self._mailboxes = mailboxes
        self._emit = emit
        self._metrics_text = metrics_text
        self._is_leaving = is_leaving
        # Answers that the node has ended may still be on their way out; a
        # process that stopped before they are written would cut them.
        self.open_answers = 0

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Serve one call."""
        request_id = self._new_request_id()
        self.open_answers += 1
        try:
            chunks = self._route(request_id, environ, start_response)
        except CallError as error:
            answer = _refused(request_id, error.refusal)
            chunks = _send(start_response, answer)
        return _Written(chunks, self._written)

    def _written(self) -> None:
        self.open_answers -= 1

    def _new_request_id(self) -> RequestId:
        unique = secrets.token_hex(REQUEST_ID_BYTES)
        return RequestId(f'{self._settings.instance_id}-{unique}')

    def _route(
        self,
        request_id: RequestId,
        environ: Environ,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        path = _path(environ)
        method = environ['REQUEST_METHOD']
        if path.startswith(SERVICES_PREFIX):
            event = self._service_call(request_id, environ)
            return _send(start_response, self._ask(event, environ))
        match (method, path):
            case ('POST', '/chat/completions'):
                return self._model(request_id, environ, start_response, True)
            case ('POST', '/completions'):
                return self._model(request_id, environ, start_response, False)
            case ('GET', '/models'):
                asked = ModelsAsked(request_id, _bearer_key(environ))
                return _send(start_response, self._ask(asked, environ))
            case ('GET', '/status'):
                status = self._ask(StatusAsked(request_id), environ)
                return _send(start_response, status)
            case ('GET', '/healthz'):
                return _send(start_response, self._health())
            case ('GET', '/metrics'):
                return _send(start_response, self._metrics())
        raise CallError(_no_such_path(method, path))

    def _health(self) -> _Answer:
        if self._is_leaving():
            status, text = HTTPStatus.SERVICE_UNAVAILABLE, b'leaving\n'
        else:
            status, text = HTTPStatus.OK, b'serving\n'
        return _Answer(status, [('Content-Type', 'text/plain')], text)

    def _metrics(self) -> _Answer:
        headers = [('Content-Type', 'text/plain; version=0.0.4')]
        return _Answer(HTTPStatus.OK, headers, self._metrics_text())

    def _service_call(
        self, request_id: RequestId, environ: Environ
    ) -> ServiceCalled:
        below = _path(environ).removeprefix(SERVICES_PREFIX)
        service_name, _, path = below.partition('/')
        query = environ.get('QUERY_STRING')
        return ServiceCalled(
            request_id,
            _bearer_key(environ),
            ServiceName(service_name),
            environ['REQUEST_METHOD'],
            f'/{path}?{query}' if query else f'/{path}',
            environ.get('CONTENT_TYPE') or '',
            self._body(environ),
            environ.get('HTTP_IDEMPOTENCY_KEY'),
            _deadline_in_s(environ),
        )

    def _model(
        self,
        request_id: RequestId,
        environ: Environ,
        start_response: StartResponse,
        chat: bool,
    ) -> Iterable[bytes]:
        try:
            request = openai.parse_request(self._body(environ), chat=chat)
        except openai.BodyError as bad:
            raise CallError(_malformed(bad.detail, bad.remedy)) from bad
        event = ModelCalled(
            request_id,
            _bearer_key(environ),
            request.model_name,
            request.prompt,
            request.max_output_tokens,
            _deadline_in_s(environ),
        )
        call = _Call(self._mailboxes, self._emit, environ, request_id)
        call.begin(event)
        if request.stream:
            return _stream(call, request, start_response)
        return _send(start_response, _collect(call, request))

    def _ask(
        self,
        event: ServiceCalled | ModelsAsked | StatusAsked,
        environ: Environ,
    ) -> _Answer:
        request_id = event.request_id
        call = _Call(self._mailboxes, self._emit, environ, request_id)
        call.begin(event)
        action = call.next_action()
        call.end(whole=action is not None)
        return _answer(request_id, action)

    def _body(self, environ: Environ) -> bytes:
        limit = self._settings.max_body_bytes
        announced = _announced_bytes(environ)
        if announced is not None and announced > limit:
            raise CallError(_too_large(limit))
        body = _read_body(environ, limit + 1)
        if len(body) > limit:
            raise CallError(_too_large(limit))
        if announced is not None and len(body) < announced:
            raise CallError(_cut_short())
        return body


def _read_body(environ: Environ, most_bytes: int) -> bytes:
    try:
        return bytes(environ['wsgi.input'].read(most_bytes))
    except (OSError, ValueError) as error:
        raise CallError(_cut_short()) from error


class _Written:
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


class _Call:
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
            if self._is_look_due() and _is_gone(self._environ):
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


def _collect(call: _Call, request: openai.ModelRequest) -> _Answer:
    tokens: list[str] = []
    action = call.next_action()
    while isinstance(action, SendTokens):
        tokens.extend(action.tokens)
        action = call.next_action()
    call.end(whole=action is not None)
    if isinstance(action, FinishCall):
        body = openai.whole_answer(call.request_id, request, tokens, action)
        return _json_answer(call.request_id, body)
    return _answer(call.request_id, action)


def _stream(
    call: _Call, request: openai.ModelRequest, start_response: StartResponse
) -> Iterable[bytes]:
    """Stream an answer; a refusal before the first token has its status."""
    first = call.next_action()
    if not isinstance(first, SendTokens | FinishCall):
        call.end(whole=first is not None)
        return _send(start_response, _answer(call.request_id, first))
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
        self, call: _Call, request: openai.ModelRequest, first: Action
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


def _answer(request_id: RequestId, action: Action | None) -> _Answer:
    match action:
        case RefuseCall():
            return _refused(request_id, action.refusal)
        case AnswerService():
            headers = [
                ('Content-Type', action.content_type or JSON_TYPE),
                ('X-Request-Id', request_id),
            ]
            return _Answer(action.status, headers, action.body)
        case AnswerModels():
            return _json_answer(request_id, openai.model_list(action.models))
        case AnswerStatus():
            body = json.dumps(attrs.asdict(action.status)).encode()
            return _json_answer(request_id, body)
    # The caller has left; nobody reads this.
    return _Answer(HTTPStatus.REQUEST_TIMEOUT, [], b'')


def _json_answer(request_id: RequestId, body: bytes) -> _Answer:
    headers = [('Content-Type', JSON_TYPE), ('X-Request-Id', request_id)]
    return _Answer(HTTPStatus.OK, headers, body)


def _refused(request_id: RequestId, refusal: Refusal) -> _Answer:
    return _Answer(
        refusal.kind.status,
        problem_headers(request_id, refusal),
        problem_body(request_id, refusal),
    )


def _send(start_response: StartResponse, answer: _Answer) -> Iterable[bytes]:
    headers = [*answer.headers, ('Content-Length', str(len(answer.body)))]
    start_response(_status_line(answer.status), headers)
    return [answer.body]


def _status_line(status: int) -> str:
    try:
        return f'{status:d} {HTTPStatus(status).phrase}'
    except ValueError:
        return f'{status:d} Unknown'


def _path(environ: Environ) -> str:
    """Return the path; client libraries differ on whether they add /v1."""
    path: str = environ['PATH_INFO']
    return path.removeprefix(VERSION_PREFIX)


def _bearer_key(environ: Environ) -> str:
    scheme, _, key = environ.get('HTTP_AUTHORIZATION', '').partition(' ')
    return key.strip() if scheme.lower() == 'bearer' else ''


def _deadline_in_s(environ: Environ) -> float | None:
    found = environ.get('HTTP_X_DEADLINE_S')
    if found is None:
        return None
    try:
        deadline_s = float(found)
    except ValueError:
        deadline_s = -1
    if not deadline_s > 0:
        raise CallError(
            _malformed(
                f'X-Deadline-S is {found!r}', 'Send seconds above 0, as in 2.5'
            )
        )
    return deadline_s


def _announced_bytes(environ: Environ) -> int | None:
    found = environ.get('CONTENT_LENGTH')
    if not found:
        return None
    if not found.isdecimal():
        raise CallError(
            _malformed('Content-Length is no number', 'Send the body size')
        )
    return int(found)


def _is_gone(environ: Environ) -> bool:
    """Look, without taking bytes, whether the caller closed."""
    try:
        sock = environ['wsgi.input'].get_socket()
        peeked = sock.fd.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except (OSError, AttributeError, KeyError):
        return True
    return not peeked


def _malformed(detail: str, remedy: str) -> Refusal:
    return Refusal(RefusalKind.MALFORMED, detail, remedy)


def _cut_short() -> Refusal:
    return _malformed('The body ended early', 'Send the whole body')


def _too_large(limit_bytes: int) -> Refusal:
    return Refusal(
        RefusalKind.TOO_LARGE,
        f'The body is over {limit_bytes} bytes',
        'Send a smaller one',
    )


def _no_such_path(method: str, path: str) -> Refusal:
    return Refusal(
        RefusalKind.UNKNOWN_SERVICE,
        f'There is no {method} {path[:80]}',
        'Use /v1/models, /v1/chat/completions, /v1/completions or /services/',
    )
