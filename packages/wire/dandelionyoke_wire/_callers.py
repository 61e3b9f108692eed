"""WSGI application that turns calls into events.

The HTTP server runs each connection in its own task. For each call the task
puts an event into the node's event queue and waits on the response queue of
that call.
"""

import secrets
from collections.abc import Callable, Iterable
from functools import partial
from http import HTTPStatus

import attrs

from dandelionyoke_core import (
    CompletionRequested,
    Event,
    InstanceId,
    ModelListRequested,
    RequestId,
    ServiceCallRequested,
    ServiceName,
    StatusRequested,
)
from dandelionyoke_links import ClientResources, Reservation
from dandelionyoke_wire import _openai as openai
from dandelionyoke_wire._caller_input import (
    CONNECTION_KEY,
    CallError,
    Environ,
    bearer_key,
    deadline_in_s,
    malformed,
    read_body,
    request_path,
    reserve_head,
    unknown_path,
)
from dandelionyoke_wire._caller_output import (
    PendingCall,
    Response,
    StartResponse,
    TrackedBody,
    collect_response,
    refusal_response,
    response_for,
    send_response,
    stream_response,
)
from dandelionyoke_wire._response_queues import ResponseQueues

REQUEST_ID_BYTES = 9
SERVICES_PREFIX = '/services/'
# The memory of a request, in its environment.
_RESERVATION_KEY = 'dandelionyoke.reservation'


@attrs.frozen
class CallerSettings:
    """Id of this instance and the limit on request bodies."""

    instance_id: InstanceId
    max_body_bytes: int = 4 * 1024 * 1024


class CallerApp:
    """WSGI application of an entry."""

    def __init__(
        self,
        settings: CallerSettings,
        response_queues: ResponseQueues,
        emit: Callable[[Event], None],
        metrics_text: Callable[[], bytes],
        is_leaving: Callable[[], bool],
        resources: ClientResources,
    ) -> None:
        self._settings = settings
        self._resources = resources
        self._response_queues = response_queues
        self._emit = emit
        self._metrics_text = metrics_text
        self._is_leaving = is_leaving
        # Number of responses not fully written. The node may have finished
        # them already; stopping the process now would truncate them.
        self.open_responses = 0

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Serve one call."""
        request_id = self._new_request_id()
        self.open_responses += 1
        reservation = self._resources.requests.open(lambda: None)
        environ[_RESERVATION_KEY] = reservation
        try:
            reserve_head(environ, self._resources, reservation)
            chunks = self._route(request_id, environ, start_response)
        except CallError as error:
            environ[CONNECTION_KEY].begin_answer()
            response = refusal_response(request_id, error.refusal)
            chunks = send_response(start_response, response)
        except BaseException:
            self._response_closed(reservation)
            raise
        return TrackedBody(chunks, partial(self._response_closed, reservation))

    def _response_closed(self, reservation: Reservation) -> None:
        self.open_responses -= 1
        self._resources.requests.close(reservation)

    def _new_request_id(self) -> RequestId:
        unique = secrets.token_hex(REQUEST_ID_BYTES)
        return RequestId(f'{self._settings.instance_id}-{unique}')

    def _route(
        self,
        request_id: RequestId,
        environ: Environ,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        path = request_path(environ)
        method = environ['REQUEST_METHOD']
        if path.startswith(SERVICES_PREFIX):
            event = self._parse_service_call(request_id, environ)
            return send_response(
                start_response, self._submit_and_wait(event, environ)
            )
        if method == 'GET':
            environ[CONNECTION_KEY].begin_answer()
        match (method, path):
            case ('POST', '/chat/completions'):
                return self._call_model(
                    request_id, environ, start_response, True
                )
            case ('POST', '/completions'):
                return self._call_model(
                    request_id, environ, start_response, False
                )
            case ('GET', '/models'):
                models_asked = ModelListRequested(
                    request_id, bearer_key(environ)
                )
                return send_response(
                    start_response, self._submit_and_wait(models_asked, environ)
                )
            case ('GET', '/status'):
                response = self._submit_and_wait(
                    StatusRequested(request_id), environ
                )
                return send_response(start_response, response)
            case ('GET', '/healthz'):
                return send_response(start_response, self._health())
            case ('GET', '/metrics'):
                return send_response(start_response, self._metrics())
        raise CallError(unknown_path(method, path))

    def _health(self) -> Response:
        if self._is_leaving():
            status, text = HTTPStatus.SERVICE_UNAVAILABLE, b'leaving\n'
        else:
            status, text = HTTPStatus.OK, b'serving\n'
        return Response(status, [('Content-Type', 'text/plain')], text)

    def _metrics(self) -> Response:
        headers = [('Content-Type', 'text/plain; version=0.0.4')]
        return Response(HTTPStatus.OK, headers, self._metrics_text())

    def _parse_service_call(
        self, request_id: RequestId, environ: Environ
    ) -> ServiceCallRequested:
        subpath = request_path(environ).removeprefix(SERVICES_PREFIX)
        service_name, _, path = subpath.partition('/')
        query = environ.get('QUERY_STRING')
        return ServiceCallRequested(
            request_id,
            bearer_key(environ),
            ServiceName(service_name),
            environ['REQUEST_METHOD'],
            f'/{path}?{query}' if query else f'/{path}',
            environ.get('CONTENT_TYPE') or '',
            self._read_body(environ),
            environ.get('HTTP_IDEMPOTENCY_KEY'),
            deadline_in_s(environ),
        )

    def _call_model(
        self,
        request_id: RequestId,
        environ: Environ,
        start_response: StartResponse,
        chat: bool,
    ) -> Iterable[bytes]:
        try:
            request = openai.parse_request(self._read_body(environ), chat=chat)
        except openai.InvalidBodyError as error:
            raise CallError(malformed(error.detail, error.remedy)) from error
        event = CompletionRequested(
            request_id,
            bearer_key(environ),
            request.model_name,
            request.prompt,
            request.max_output_tokens,
            deadline_in_s(environ),
        )
        call = PendingCall(
            self._response_queues, self._emit, environ, request_id
        )
        call.submit(event)
        if request.stream:
            return stream_response(call, request, start_response)
        return send_response(start_response, collect_response(call, request))

    def _submit_and_wait(
        self,
        event: ServiceCallRequested | ModelListRequested | StatusRequested,
        environ: Environ,
    ) -> Response:
        request_id = event.request_id
        call = PendingCall(
            self._response_queues, self._emit, environ, request_id
        )
        call.submit(event)
        action = call.next_action()
        call.close(completed=action is not None)
        return response_for(request_id, action)

    def _read_body(self, environ: Environ) -> bytes:
        body = read_body(
            environ,
            self._settings.max_body_bytes,
            self._resources,
            environ[_RESERVATION_KEY],
        )
        environ[CONNECTION_KEY].begin_answer()
        return body
