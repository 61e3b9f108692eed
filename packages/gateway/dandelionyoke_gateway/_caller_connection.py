"""HTTP/1.1 server side of a connection: one request at a time."""

import contextlib
from collections.abc import Callable
from http import HTTPStatus
from typing import Any, Protocol

import attrs
import eventlet
import h11
from eventlet.green import socket

from dandelionyoke_dispatch import CallerLimits, RegisteredTarget
from dandelionyoke_gateway._clock import clock_s
from dandelionyoke_gateway._errors import (
    CallerDisconnectedError,
    InvalidRequestError,
)
from dandelionyoke_gateway._handover_messages import CallTerms
from dandelionyoke_gateway._messages import (
    HeaderList,
    RequestHead,
    ResponseHead,
    decode_headers,
    encode_headers,
    parse_whole_number,
)
from dandelionyoke_gateway._request_body import (
    CallerSource,
    memory_refusal,
    new_body_decoder,
    read_request_body,
)
from dandelionyoke_gateway._settings import (
    DEFAULT_MAX_DESCRIPTORS,
    DEFAULT_MEMORY_MB,
)
from dandelionyoke_links import (
    READER,
    BodyLimits,
    BodyReader,
    ClientResources,
    MachineLimits,
    MemoryShortError,
    Reservation,
    close_after_refusal,
    request_bytes,
    set_socket_options,
)

HEAD_READ_BYTES = 16384
# A body of this size is sent together with its head.
MAX_JOINED_BODY_BYTES = 65536
# A caller that reads nothing of its response for this long counts as
# disconnected.
WRITE_TIMEOUT_S = 10.0
# The whole body of a request must be received within this time. No caller
# waits as long for its answer.
BODY_TIMEOUT_S = 60.0
# Another instance may take the connection.
_UNREAD_REFUSAL = (
    b'HTTP/1.1 503 Service Unavailable\r\nretry-after: 0.05\r\n'
    b'connection: close\r\ncontent-length: 0\r\n\r\n'
)
# How often a connection with unread input is checked for its end.
END_CHECK_INTERVAL_S = 0.1
# The kernel's number of the state in which both ends may send.
_TCP_ESTABLISHED = 1


@attrs.frozen
class HandedOver:
    """What the node that handed a call to this one knows about it.

    `attempts_left` targets may still run it. `last_event_id` is the last event
    that its caller has received. `service` was chosen for it. `is_sent` and
    `is_prefill_sent` tell whether the call, or a prefill for it, was sent to a
    target before. The KV cache of its prompt, if any, is at the engine
    `cache_target_id`; the other node releases it. The call came at
    `received_s`. `terms` were granted to it, None from an older program. Its
    stream goes on at targets of `version` only; None: at any. The targets
    `refusing_ids` did not run it.
    """

    peer_id: str
    attempts_left: int
    is_usage_counted: bool
    last_event_id: str | None
    service: str
    is_sent: bool
    is_prefill_sent: bool
    cache_target_id: str
    cache_handle: str
    received_s: float
    terms: CallTerms | None
    version: str | None = None
    refusing_ids: tuple[str, ...] = ()


@attrs.frozen
class CallerRequest:
    """A complete request and the time when its head was read.

    `handed_over` is None for a request of a caller of this node.
    """

    head: RequestHead
    body: bytes = attrs.field(repr=False)
    arrived_s: float
    handed_over: HandedOver | None = None


@attrs.frozen
class Verdict:
    """What a refusal says about its call.

    `is_elsewhere` means that another node may still serve it. `is_sent` and
    `is_prefill_sent` tell whether the call, or a prefill for it, was sent to a
    target. The targets `refusing_ids` did not run it.
    """

    may_have_run: bool
    is_elsewhere: bool
    is_sent: bool
    is_prefill_sent: bool
    refusing_ids: tuple[str, ...] = ()


class Responder(Protocol):
    """Writes the response to one request."""

    is_complete: bool
    has_started: bool
    # The target of the last answer, if it said that it leaves.
    leaving: RegisteredTarget | None
    # The version of the target that streams the response.
    version: str | None

    def respond(self, head: ResponseHead, body: bytes) -> None:
        """Write a complete response."""

    def refuse(self, head: ResponseHead, body: bytes, verdict: Verdict) -> None:
        """Write a response with which this node refuses the call."""

    def fail(self, head: ResponseHead, body: bytes, verdict: Verdict) -> None:
        """Write a refusal after an error, if no byte was written before."""

    def start(self, head: ResponseHead) -> None:
        """Write the head of a response of unknown length."""

    def send_chunk(self, content: bytes) -> None:
        """Write a part of the response body."""

    def finish(self) -> None:
        """End the response; the caller takes one that is not ended as cut."""


class HttpResponder:
    """Writes the response to one request to its caller."""

    def __init__(
        self,
        parser: h11.Connection,
        sock: socket.socket,
        *,
        close_after: bool,
        is_bodiless: bool = False,
        on_wait: Callable[[bool], None] | None = None,
    ) -> None:
        self._parser = parser
        self._sock = sock
        # Takes whether the caller has yet to read what was written.
        self._on_wait = on_wait
        self._close_after = close_after
        # Whether the request allows no body in its response.
        self._is_bodiless = is_bodiless
        self.is_complete = False
        self.has_started = False
        self.leaving: RegisteredTarget | None = None
        self.version: str | None = None

    def respond(self, head: ResponseHead, body: bytes) -> None:
        """Write a complete response."""
        length = ('content-length', str(len(body)))
        data = self._encode_head(head.status, (*head.headers, length))
        content = self._encode_body(body)
        self._parser.send(h11.EndOfMessage())
        if len(content) > MAX_JOINED_BODY_BYTES:
            # A copy would be held until the caller has read it.
            self._write(data)
            self._write(content)
        else:
            self._write(data + content)
        self.is_complete = True

    def fail(self, head: ResponseHead, body: bytes, verdict: Verdict) -> None:
        """Write a refusal after an error, and close the connection."""
        # The error may have left the parser unable to send anything.
        self._parser = h11.Connection(h11.SERVER)
        self._close_after = True
        self.respond(head, body)
        self.is_complete = False

    def refuse(self, head: ResponseHead, body: bytes, verdict: Verdict) -> None:
        """Write a response with which this node refuses the call.

        Its status tells the caller whether the call may have run.
        """
        self.respond(head, body)

    def start(self, head: ResponseHead) -> None:
        """Write the head of a response of unknown length."""
        self._write(self._encode_head(head.status, head.headers))

    def send_chunk(self, content: bytes) -> None:
        """Write a part of the response body."""
        self._write(self._encode_body(content))

    def finish(self) -> None:
        """End the response; the caller takes one that is not ended as cut."""
        self._write(self._parser.send(h11.EndOfMessage()) or b'')
        self.is_complete = True

    def _encode_head(self, status: int, headers: HeaderList) -> bytes:
        all_headers = encode_headers(headers)
        if self._close_after:
            all_headers.append((b'connection', b'close'))
        data = self._parser.send(
            h11.Response(status_code=status, headers=all_headers)
        )
        return data or b''

    def _encode_body(self, content: bytes) -> bytes:
        if self._is_bodiless or not content:
            return b''
        return self._parser.send(h11.Data(data=content)) or b''

    def _write(self, data: bytes) -> None:
        self.has_started = True
        unsent = memoryview(data)[_send_some(self._sock, data) :]
        if not unsent:
            return
        self._tell_wait(is_waiting=True)
        try:
            _send_all(self._sock, unsent)
        finally:
            self._tell_wait(is_waiting=False)

    def _tell_wait(self, *, is_waiting: bool) -> None:
        if self._on_wait is not None:
            self._on_wait(is_waiting)


def prepare_caller_socket(sock: socket.socket) -> None:
    """Set the options of a connection that a caller has opened.

    Raises:
        OSError: the caller has disconnected.
    """
    set_socket_options(sock, READER)


Handler = Callable[[CallerRequest, Responder], None]
# Takes an error with which a request was refused before it was handled.
OnRefusal = Callable[[InvalidRequestError], None]


def run_handler(
    handler: Handler, request: CallerRequest, responder: Responder
) -> bool:
    """Run a handler; return False if its caller has disconnected.

    A green thread that ends with an error keeps its frames, and so the body
    and the answer of the call, until the garbage collector finds them.
    """
    try:
        handler(request, responder)
    except (eventlet.greenlet.GreenletExit, CallerDisconnectedError):
        return False
    return True


def new_default_resources() -> ClientResources:
    """Return resources of a machine that the settings do not describe."""
    return ClientResources(
        MachineLimits(DEFAULT_MEMORY_MB, DEFAULT_MAX_DESCRIPTORS)
    )


class CallerConnection:
    """Reads requests, runs their handler and detects a disconnected caller."""

    def __init__(
        self,
        sock: socket.socket,
        read_limits: Callable[[], CallerLimits],
        handler: Handler,
        is_leaving: Callable[[], bool],
        resources: ClientResources | None = None,
        on_refusal: OnRefusal | None = None,
    ) -> None:
        self._sock = sock
        self._source = CallerSource(sock)
        self._resources = resources or new_default_resources()
        self._on_refusal = on_refusal
        # Whether the end of the request was not read before its refusal.
        self._is_refused = False
        self._read_limits = read_limits
        self._limits = read_limits()
        self._handler = handler
        self._is_leaving = is_leaving
        self._parser = _new_parser(self._limits)
        self.is_idle = True
        self._idle_since_s = clock_s()
        self._is_bodiless = False
        self._is_closing = False

    def serve(self) -> None:
        """Serve requests until the connection closes."""
        try:
            self._set_options()
            while self._serve_one():
                self._begin_next_request()
        except (CallerDisconnectedError, h11.LocalProtocolError):
            # The caller is gone and cannot receive an error response.
            self._is_refused = False
        finally:
            if self._is_refused:
                close_after_refusal(self._sock)
            self._sock.close()

    def evict(self) -> None:
        """Close the connection, which waits for its caller, for a new one."""
        self._is_closing = True
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)

    def refuse_unread(self) -> None:
        """Refuse what the caller sends without reading it, and close."""
        with contextlib.suppress(OSError):
            self._sock.fd.send(_UNREAD_REFUSAL)
        self._sock.close()

    def _begin_next_request(self) -> None:
        """Go on with what came behind the request that was answered."""
        self._parser = _new_parser(self._limits)
        rest = self._source.take_rest()
        if rest:
            self._parser.receive_data(rest)

    def _take_limits(self) -> None:
        """Apply the limits in force, before the first byte of a request."""
        limits = self._read_limits()
        if limits != self._limits:
            self._limits = limits
            self._parser = _new_parser(limits)

    def close_if_idle(self, min_idle_s: float = 0.0) -> None:
        """Close the connection if no request has begun on it for a while.

        A caller that has just connected is about to send its request.
        """
        if not self.is_idle or clock_s() < self._idle_since_s + min_idle_s:
            return
        if not self.has_input():
            # The caller may have reset it, which its own task reads next.
            self.evict()

    def has_input(self) -> bool:
        """Whether bytes of a request have arrived that are not read yet."""
        try:
            return bool(self._sock.fd.recv(1, socket.MSG_PEEK))
        except OSError:
            return False

    def _set_options(self) -> None:
        try:
            prepare_caller_socket(self._sock)
        except OSError as error:
            # The caller disconnected right after the accept.
            raise CallerDisconnectedError from error

    def _serve_one(self) -> bool:
        reservation = self._resources.requests.open(lambda: None)
        try:
            return self._serve_next(reservation)
        except InvalidRequestError as error:
            self._refuse(error)
            return False
        finally:
            self._resources.requests.close(reservation)

    def _serve_next(self, reservation: Reservation) -> bool:
        request = self._read_request(reservation)
        if request is None:
            return False
        responder = HttpResponder(
            self._parser,
            self._sock,
            close_after=self._is_leaving()
            or self._resources.connections.is_crowded,
            is_bodiless=self._is_bodiless,
            on_wait=self._set_waiting,
        )
        self._set_waiting(False)
        try:
            self._handle(request, responder)
        finally:
            self._set_waiting(True)
        return responder.is_complete and self._can_be_reused()

    def _set_waiting(self, is_waiting: bool) -> None:
        """Take note whether the connection waits for its caller."""
        if is_waiting:
            self._resources.connections.mark_waiting(self)
        else:
            self._resources.connections.mark_busy(self)

    def _can_be_reused(self) -> bool:
        self.is_idle = True
        self._idle_since_s = clock_s()
        return self._parser.our_state is h11.DONE

    def _handle(self, request: CallerRequest, responder: Responder) -> None:
        # An engine must not go on working for a caller that disconnected:
        # the watcher kills the handler, which closes the connection to the
        # engine.
        handler = eventlet.spawn(run_handler, self._handler, request, responder)
        watcher = eventlet.spawn(self._watch_for_disconnect, handler)
        is_whole = False
        with contextlib.suppress(eventlet.greenlet.GreenletExit):
            try:
                is_whole = handler.wait()
            finally:
                watcher.kill()
                handler.kill()
        if not is_whole:
            raise CallerDisconnectedError

    def _watch_for_disconnect(self, handler: Any) -> None:
        self._sock.settimeout(None)
        try:
            peeked = self._sock.recv(1, socket.MSG_PEEK)
        except OSError:
            peeked = b''
        # The next request hides the end of input behind it.
        while peeked and self._is_established():
            eventlet.sleep(END_CHECK_INTERVAL_S)
        handler.kill()

    def _is_established(self) -> bool:
        try:
            state = self._sock.getsockopt(
                socket.IPPROTO_TCP, socket.TCP_INFO, 1
            )
        except OSError:
            return False
        return bool(state[0] == _TCP_ESTABLISHED)

    # Reading of requests.

    def _read_request(self, reservation: Reservation) -> CallerRequest | None:
        head = self._read_head()
        if head is None:
            return None
        arrived_s = clock_s()
        self._check_length(head)
        self._reserve_head(reservation, head)
        body = self._read_body(head, reservation)
        return CallerRequest(head, body, arrived_s)

    def _reserve_head(
        self, reservation: Reservation, head: RequestHead
    ) -> None:
        """Count the memory of a head, which many small headers need most of."""
        head_bytes = sum(len(name) + len(text) for name, text in head.headers)
        try:
            self._resources.requests.grow(
                reservation, request_bytes(len(head.headers), head_bytes)
            )
        except MemoryShortError as error:
            raise memory_refusal() from error

    def _read_head(self) -> RequestHead | None:
        """Wait for the head of a request; None when the caller closes."""
        deadline_s = clock_s() + self._limits.idle_timeout_s
        has_begun = bool(self._parser.trailing_data[0])
        while True:
            event = self._next_event()
            if isinstance(event, h11.Request):
                self.is_idle = False
                self._is_bodiless = event.method == b'HEAD'
                return RequestHead(
                    event.method.decode('latin-1'),
                    event.target.decode('latin-1'),
                    decode_headers(event.headers),
                )
            if event is not h11.NEED_DATA:
                return None
            if not self._receive(deadline_s, 'the head', is_idle=not has_begun):
                return None
            if self._is_closing:
                # Nothing can be answered any more.
                return None
            if not has_begun:
                has_begun = True
                self.is_idle = False
                deadline_s = clock_s() + self._limits.header_timeout_s

    def _read_body(self, head: RequestHead, reservation: Reservation) -> bytes:
        self._send_continue()
        decoder = new_body_decoder(head, self._limits.max_header_bytes)
        limits = BodyLimits(
            self._limits.max_body_bytes,
            self._limits.idle_timeout_s,
            BODY_TIMEOUT_S,
        )
        resources = self._resources
        reader = BodyReader(
            decoder, limits, resources.requests, reservation, resources.turns
        )
        received, _ = self._parser.trailing_data
        return read_request_body(reader, self._source, bytes(received))

    def _next_event(self) -> Any:
        try:
            return self._parser.next_event()
        except h11.RemoteProtocolError as error:
            raise InvalidRequestError(
                str(error), error.error_status_hint
            ) from error

    def _receive(self, deadline_s: float, part: str, *, is_idle: bool) -> bool:
        """Read some bytes; False if an idle caller sent none.

        Raises:
            InvalidRequestError: the bytes were not received in time.
            CallerDisconnectedError: the connection ended within a request.
        """
        try:
            content = self._receive_until(deadline_s)
        except TimeoutError as timeout:
            if is_idle:
                return self._receive_later(deadline_s, part)
            raise InvalidRequestError(
                f'{part} of the request did not come in time',
                HTTPStatus.REQUEST_TIMEOUT,
            ) from timeout
        except OSError as error:
            raise CallerDisconnectedError from error
        if not content and not is_idle:
            raise CallerDisconnectedError
        if is_idle:
            self._take_limits()
        self._parser.receive_data(content)
        return bool(content)

    def _receive_later(self, deadline_s: float, part: str) -> bool:
        """Go on waiting if the idle limit was raised; False if not."""
        idle_timeout_s = self._limits.idle_timeout_s
        self._take_limits()
        raised_s = self._limits.idle_timeout_s - idle_timeout_s
        if raised_s <= 0:
            return False
        return self._receive(deadline_s + raised_s, part, is_idle=True)

    def _receive_until(self, deadline_s: float) -> bytes:
        """Wait for bytes; return b'' if the caller has closed.

        Raises:
            TimeoutError: none had arrived when the wait ended.
            OSError: the connection failed.
        """
        self._sock.settimeout(max(0.001, deadline_s - clock_s()))
        with contextlib.suppress(TimeoutError):
            return bytes(self._sock.recv(HEAD_READ_BYTES))
        # Some may have arrived since the event loop last looked.
        try:
            return bytes(self._sock.fd.recv(HEAD_READ_BYTES))
        except BlockingIOError:
            raise TimeoutError from None

    def _send_continue(self) -> None:
        if self._parser.they_are_waiting_for_100_continue:
            data = self._parser.send(
                h11.InformationalResponse(status_code=100, headers=[])
            )
            _send_all(self._sock, data)

    def _check_length(self, head: RequestHead) -> None:
        length = parse_whole_number(head.header('content-length'))
        if length is not None and length > self._limits.max_body_bytes:
            raise InvalidRequestError(
                f'the body is over {self._limits.max_body_bytes} bytes',
                HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
            )

    def _refuse(self, error: InvalidRequestError) -> None:
        """Respond with the error of an invalid request, then close."""
        if self._parser.our_state not in {h11.IDLE, h11.SEND_RESPONSE}:
            return
        if self._on_refusal is not None:
            self._on_refusal(error)
        responder = HttpResponder(
            self._parser,
            self._sock,
            close_after=True,
            is_bodiless=self._is_bodiless,
        )
        body = f'{error.cause}\n'.encode()
        headers = [('content-type', 'text/plain; charset=utf-8')]
        if error.retry_after_s is not None:
            headers.append(('retry-after', f'{error.retry_after_s:.2f}'))
        responder.respond(ResponseHead(error.status, tuple(headers)), body)
        self._is_refused = True


def _new_parser(limits: CallerLimits) -> h11.Connection:
    return h11.Connection(
        h11.SERVER, max_incomplete_event_size=limits.max_header_bytes
    )


def _send_some(sock: socket.socket, data: bytes) -> int:
    """Send what fits into the send buffer; return the number of bytes."""
    try:
        return int(sock.fd.send(data))
    except BlockingIOError:
        return 0
    except OSError as error:
        raise CallerDisconnectedError from error


def _send_all(sock: socket.socket, data: bytes | memoryview) -> None:
    sock.settimeout(WRITE_TIMEOUT_S)
    try:
        sock.sendall(data)
    except OSError as error:
        raise CallerDisconnectedError from error
