"""One caller's connection: requests in, one at a time, and their answers."""

from collections.abc import Callable
from http import HTTPStatus
from typing import Any

import attrs
import eventlet
import h11
from eventlet.green import socket

from dandelionyoke_dispatch import CallerLimits
from dandelionyoke_gateway._clock import clock_s
from dandelionyoke_gateway._errors import (
    CallerDisconnectedError,
    InvalidRequestError,
)
from dandelionyoke_gateway._messages import (
    HeaderList,
    RequestHead,
    ResponseHead,
    decode_headers,
)

READ_BYTES = 65536
# A caller that takes nothing of its answer for this long is gone.
WRITE_TIMEOUT_S = 10.0


@attrs.frozen
class CallerRequest:
    """A whole request and when its first byte was read."""

    head: RequestHead
    body: bytes = attrs.field(repr=False)
    arrived_s: float


class Responder:
    """Writes one answer."""

    def __init__(
        self, parser: h11.Connection, sock: socket.socket, *, last: bool
    ) -> None:
        self._parser = parser
        self._sock = sock
        self._last = last
        self.is_complete = False
        self.has_started = False

    def respond(self, head: ResponseHead, body: bytes) -> None:
        """Write a whole answer."""
        length = ('content-length', str(len(body)))
        wire = self._head(head.status, (*head.headers, length))
        if body:
            wire += self._parser.send(h11.Data(data=body)) or b''
        self._write(wire + (self._parser.send(h11.EndOfMessage()) or b''))
        self.is_complete = True

    def start(self, head: ResponseHead) -> None:
        """Begin an answer whose length is not known."""
        self._write(self._head(head.status, head.headers))

    def send_chunk(self, content: bytes) -> None:
        """Write some of the answer's body."""
        self._write(self._parser.send(h11.Data(data=content)) or b'')

    def finish(self) -> None:
        """Close a whole answer; without this it never looks whole."""
        self._write(self._parser.send(h11.EndOfMessage()) or b'')
        self.is_complete = True

    def _head(self, status: int, headers: HeaderList) -> bytes:
        self.has_started = True
        all_headers = list(headers)
        if self._last:
            all_headers.append(('connection', 'close'))
        wire = self._parser.send(
            h11.Response(status_code=status, headers=all_headers)
        )
        return wire or b''

    def _write(self, wire: bytes) -> None:
        self._sock.settimeout(WRITE_TIMEOUT_S)
        try:
            self._sock.sendall(wire)
        except OSError as gone:
            raise CallerDisconnectedError from gone


Handler = Callable[[CallerRequest, Responder], None]


class CallerConnection:
    """Reads requests, has each handled, and sees the caller leave."""

    def __init__(
        self,
        sock: socket.socket,
        limits: CallerLimits,
        handler: Handler,
        is_leaving: Callable[[], bool],
    ) -> None:
        self._sock = sock
        self._limits = limits
        self._handler = handler
        self._is_leaving = is_leaving
        self._parser = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.max_header_bytes
        )
        self.is_idle = True

    def serve(self) -> None:
        """Serve the connection to its end."""
        try:
            while self._serve_one():
                self._parser.start_next_cycle()
        except (CallerDisconnectedError, h11.LocalProtocolError):
            # Nobody is there to be told.
            return
        finally:
            self._sock.close()

    def close_if_idle(self) -> None:
        """Close a connection on which no request has begun."""
        if self.is_idle:
            self._sock.shutdown(socket.SHUT_RDWR)

    def _serve_one(self) -> bool:
        try:
            request = self._read_request()
        except InvalidRequestError as bad:
            self._refuse(bad)
            return False
        if request is None:
            return False
        responder = Responder(self._parser, self._sock, last=self._is_leaving())
        self._handle(request, responder)
        return responder.is_complete and self._can_go_on()

    def _can_go_on(self) -> bool:
        self.is_idle = True
        ends = (self._parser.our_state, self._parser.their_state)
        return ends == (h11.DONE, h11.DONE)

    def _handle(self, request: CallerRequest, responder: Responder) -> None:
        # A caller that leaves must not leave an engine at work for nobody:
        # the watcher ends the handler, which closes its connection there.
        handler = eventlet.spawn(self._handler, request, responder)
        watcher = eventlet.spawn(self._watch, handler)
        try:
            handler.wait()
        except (eventlet.greenlet.GreenletExit, CallerDisconnectedError):
            raise CallerDisconnectedError from None
        finally:
            watcher.kill()
            handler.kill()

    def _watch(self, handler: Any) -> None:
        self._sock.settimeout(None)
        try:
            first = self._sock.recv(1, socket.MSG_PEEK)
        except OSError:
            first = b''
        if not first:
            handler.kill()

    # Reading.

    def _read_request(self) -> CallerRequest | None:
        head = self._read_head()
        if head is None:
            return None
        arrived_s = clock_s()
        request_head = RequestHead(
            head.method.decode('latin-1'),
            head.target.decode('latin-1'),
            decode_headers(head.headers),
        )
        self._check_length(request_head)
        return CallerRequest(request_head, self._read_body(), arrived_s)

    def _read_head(self) -> h11.Request | None:
        """Wait for a request; None when the caller is done."""
        until_s = clock_s() + self._limits.idle_timeout_s
        has_begun = bool(self._parser.trailing_data[0])
        while True:
            event = self._event()
            if isinstance(event, h11.Request):
                self.is_idle = False
                return event
            if event is not h11.NEED_DATA:
                return None
            if not self._receive(until_s, 'the head', silent=not has_begun):
                return None
            if not has_begun:
                has_begun = True
                self.is_idle = False
                until_s = clock_s() + self._limits.header_timeout_s

    def _read_body(self) -> bytes:
        self._go_ahead()
        pieces: list[bytes] = []
        size = 0
        while True:
            event = self._event()
            if isinstance(event, h11.EndOfMessage):
                return b''.join(pieces)
            if isinstance(event, h11.Data):
                pieces.append(bytes(event.data))
                size += len(event.data)
                self._check_size(size)
            elif event is h11.NEED_DATA:
                until_s = clock_s() + self._limits.idle_timeout_s
                self._receive(until_s, 'the body', silent=False)
            else:
                raise CallerDisconnectedError

    def _event(self) -> Any:
        try:
            return self._parser.next_event()
        except h11.RemoteProtocolError as bad:
            raise InvalidRequestError(str(bad), bad.error_status_hint) from bad

    def _receive(self, until_s: float, what: str, *, silent: bool) -> bool:
        """Read some bytes; False if an idle caller sent none."""
        self._sock.settimeout(max(0.001, until_s - clock_s()))
        try:
            content = self._sock.recv(READ_BYTES)
        except TimeoutError as slow:
            if silent:
                return False
            raise InvalidRequestError(
                f'{what} of the request did not come in time',
                HTTPStatus.REQUEST_TIMEOUT,
            ) from slow
        except OSError as gone:
            raise CallerDisconnectedError from gone
        if not content and not silent:
            raise CallerDisconnectedError
        self._parser.receive_data(content)
        return bool(content)

    def _go_ahead(self) -> None:
        if self._parser.they_are_waiting_for_100_continue:
            wire = self._parser.send(
                h11.InformationalResponse(status_code=100, headers=[])
            )
            self._sock.sendall(wire)

    def _check_length(self, head: RequestHead) -> None:
        length = head.header('content-length')
        if length is not None and length.isdigit():
            self._check_size(int(length))

    def _check_size(self, size: int) -> None:
        if size > self._limits.max_body_bytes:
            raise InvalidRequestError(
                f'the body is over {self._limits.max_body_bytes} bytes',
                HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
            )

    def _refuse(self, bad: InvalidRequestError) -> None:
        """Tell a caller what is wrong with its bytes, then close."""
        if self._parser.our_state not in {h11.IDLE, h11.SEND_RESPONSE}:
            return
        responder = Responder(self._parser, self._sock, last=True)
        text = f'{bad.cause}\n'.encode()
        kind = ('content-type', 'text/plain; charset=utf-8')
        responder.respond(ResponseHead(bad.status, (kind,)), text)
