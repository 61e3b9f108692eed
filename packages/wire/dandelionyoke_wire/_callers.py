"""The callers' side: a WSGI application that turns calls into events.

Each connection is owned by the task that the HTTP server gave it. The task
puts an event into the node's inbox and then waits at a mailbox of its own.
"""

import secrets
from collections.abc import Callable, Iterable
from http import HTTPStatus

import attrs

from dandelionyoke_core import (
    Event,
    InstanceId,
    ModelCalled,
    ModelsAsked,
    RequestId,
    ServiceCalled,
    ServiceName,
    StatusAsked,
)
from dandelionyoke_wire import _openai as openai
from dandelionyoke_wire._caller_input import (
    CallError,
    Environ,
    bearer_key,
    deadline_in_s,
    malformed,
    no_such_path,
    path_of,
    read_body,
)
from dandelionyoke_wire._caller_output import (
    Answer,
    Call,
    StartResponse,
    Written,
    answer_of,
    collect,
    refused_answer,
    send_answer,
    stream_answer,
)
from dandelionyoke_wire._mailboxes import Mailboxes

REQUEST_ID_BYTES = 9
SERVICES_PREFIX = '/services/'


@attrs.frozen
class CallerSettings:
    """Limits towards callers."""

    instance_id: InstanceId
    max_body_bytes: int = 4 * 1024 * 1024


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
            answer = refused_answer(request_id, error.refusal)
            chunks = send_answer(start_response, answer)
        return Written(chunks, self._written)

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
        path = path_of(environ)
        method = environ['REQUEST_METHOD']
        if path.startswith(SERVICES_PREFIX):
            event = self._service_call(request_id, environ)
            return send_answer(start_response, self._ask(event, environ))
        match (method, path):
            case ('POST', '/chat/completions'):
                return self._model(request_id, environ, start_response, True)
            case ('POST', '/completions'):
                return self._model(request_id, environ, start_response, False)
            case ('GET', '/models'):
                asked = ModelsAsked(request_id, bearer_key(environ))
                return send_answer(start_response, self._ask(asked, environ))
            case ('GET', '/status'):
                status = self._ask(StatusAsked(request_id), environ)
                return send_answer(start_response, status)
            case ('GET', '/healthz'):
                return send_answer(start_response, self._health())
            case ('GET', '/metrics'):
                return send_answer(start_response, self._metrics())
        raise CallError(no_such_path(method, path))

    def _health(self) -> Answer:
        if self._is_leaving():
            status, text = HTTPStatus.SERVICE_UNAVAILABLE, b'leaving\n'
        else:
            status, text = HTTPStatus.OK, b'serving\n'
        return Answer(status, [('Content-Type', 'text/plain')], text)

    def _metrics(self) -> Answer:
        headers = [('Content-Type', 'text/plain; version=0.0.4')]
        return Answer(HTTPStatus.OK, headers, self._metrics_text())

    def _service_call(
        self, request_id: RequestId, environ: Environ
    ) -> ServiceCalled:
        below = path_of(environ).removeprefix(SERVICES_PREFIX)
        service_name, _, path = below.partition('/')
        query = environ.get('QUERY_STRING')
        return ServiceCalled(
            request_id,
            bearer_key(environ),
            ServiceName(service_name),
            environ['REQUEST_METHOD'],
            f'/{path}?{query}' if query else f'/{path}',
            environ.get('CONTENT_TYPE') or '',
            self._body(environ),
            environ.get('HTTP_IDEMPOTENCY_KEY'),
            deadline_in_s(environ),
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
            raise CallError(malformed(bad.detail, bad.remedy)) from bad
        event = ModelCalled(
            request_id,
            bearer_key(environ),
            request.model_name,
            request.prompt,
            request.max_output_tokens,
            deadline_in_s(environ),
        )
        call = Call(self._mailboxes, self._emit, environ, request_id)
        call.begin(event)
        if request.stream:
            return stream_answer(call, request, start_response)
        return send_answer(start_response, collect(call, request))

    def _ask(
        self,
        event: ServiceCalled | ModelsAsked | StatusAsked,
        environ: Environ,
    ) -> Answer:
        request_id = event.request_id
        call = Call(self._mailboxes, self._emit, environ, request_id)
        call.begin(event)
        action = call.next_action()
        call.end(whole=action is not None)
        return answer_of(request_id, action)

    def _body(self, environ: Environ) -> bytes:
        return read_body(environ, self._settings.max_body_bytes)
