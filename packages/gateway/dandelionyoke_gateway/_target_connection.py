"""One connection to a target or the store, one exchange at a time.

h11 stands in for urllib3 here: it shows bytes that came after a whole answer
and takes an answer that begins before the request was sent; urllib3 hides
both, and a later request would get another one's bytes.
"""

from typing import Any

import eventlet
import h11
from eventlet.green import socket
from eventlet.greenthread import GreenThread

from dandelionyoke_gateway._clock import clock_s
from dandelionyoke_gateway._errors import ExchangeError, ExchangeTimeoutError
from dandelionyoke_gateway._messages import (
    RequestHead,
    ResponseHead,
    decode_headers,
)
from dandelionyoke_links import receive, reset_at_end, set_options

READ_BYTES = 65536
MAX_HEAD_BYTES = 65536

# A target closes an idle connection after a time that it may tell. Without
# it, a connection is not trusted for longer than this: a request that
# crosses the close may have run, and one that must not run twice is lost.
DEFAULT_IDLE_TIMEOUT_S = 4.0
# A request has to arrive before the target's own time is over.
IDLE_TIMEOUT_MARGIN_S = 0.5

_BODILESS = frozenset(('GET', 'HEAD', 'DELETE', 'OPTIONS'))


class TargetConnection:
    """A socket, its parser and how long it may still be used."""

    def __init__(self, address: str, sock: socket.socket) -> None:
        self.address = address
        self._sock = sock
        self._parser = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self._sender: GreenThread | None = None
        self._idle_s = DEFAULT_IDLE_TIMEOUT_S
        self._may_stay = True
        self._is_closed = False
        self.idle_deadline_s = 0.0

    def send(self, head: RequestHead, body: bytes) -> None:
        """Send a request; its rest goes out while the answer is awaited.

        Raises:
            ExchangeError: nothing could be sent.
        """
        wire = _request_bytes(self._parser, head, body)
        try:
            done = _send_some(self._sock, wire)
        except OSError as broken:
            raise ExchangeError(f'cannot send: {broken}', sent=True) from broken
        if done < len(wire):
            self._sender = eventlet.spawn(self._send_rest, wire[done:])

    def read_head(self, until_s: float) -> ResponseHead:
        """Read the head of the answer.

        Raises:
            ExchangeError: the answer broke off or is not HTTP.
        """
        event = self._next_event(until_s)
        while isinstance(event, h11.InformationalResponse):
            event = self._next_event(until_s)
        if not isinstance(event, h11.Response):
            raise ExchangeError('the answer has no head', sent=True)
        head = ResponseHead(event.status_code, decode_headers(event.headers))
        self._note_keep_alive(head)
        return head

    def read_chunk(self, until_s: float) -> bytes | None:
        """Read some of the answer's body; None at its proper end.

        Raises:
            ExchangeError: the answer broke off.
        """
        while True:
            event = self._next_event(until_s)
            if isinstance(event, h11.Data):
                return bytes(event.data)
            if isinstance(event, h11.EndOfMessage):
                return None
            raise ExchangeError('the answer broke off', sent=True)

    def read_body(self, until_s: float, most_bytes: int) -> bytes:
        """Read the whole rest of the answer."""
        pieces: list[bytes] = []
        size = 0
        while (piece := self.read_chunk(until_s)) is not None:
            pieces.append(piece)
            size += len(piece)
            if size > most_bytes:
                raise ExchangeError('the answer is too large', sent=True)
        return b''.join(pieces)

    def prepare_reuse(self) -> bool:
        """Make ready for another request; False if it must be closed.

        Bytes behind a whole answer belong to nobody. Left in place they
        would be taken for the answer to the next caller's request.
        """
        rest, _ = self._parser.trailing_data
        is_sent = self._sender is None or self._sender.dead
        if rest or not is_sent or not self._may_stay:
            return False
        try:
            self._parser.start_next_cycle()
        except h11.ProtocolError:
            return False
        self._sender = None
        self.idle_deadline_s = clock_s() + self._idle_s
        return True

    def is_healthy(self) -> bool:
        """Whether neither bytes nor an end have come while it was idle."""
        if clock_s() >= self.idle_deadline_s:
            return False
        self._sock.settimeout(0)
        try:
            self._sock.fd.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def close(self) -> None:
        """Reset the connection; what has not arrived yet never will."""
        if self._is_closed:
            return
        self._is_closed = True
        if self._sender is not None:
            self._sender.kill()
        self._sock.close()

    def _send_rest(self, rest: bytes) -> None:
        # The first piece went out without waiting; the rest has to wait for
        # room in the kernel. The connection's close ends it.
        self._sock.settimeout(None)
        try:
            self._sock.sendall(rest)
        except OSError:
            # The reader sees the broken connection too, and tells its caller.
            self._may_stay = False

    def _next_event(self, until_s: float) -> Any:
        while True:
            try:
                event = self._parser.next_event()
            except h11.RemoteProtocolError as bad:
                cause = f'the answer is not HTTP: {bad}'
                raise ExchangeError(cause, sent=True) from bad
            if event is not h11.NEED_DATA:
                return event
            self._receive(until_s)

    def _receive(self, until_s: float) -> None:
        left_s = until_s - clock_s()
        if left_s <= 0:
            raise ExchangeTimeoutError('no answer in time', sent=True)
        try:
            self._parser.receive_data(receive(self._sock, READ_BYTES, left_s))
        except TimeoutError as late:
            raise ExchangeTimeoutError(
                _timeout_cause(late), sent=True
            ) from late
        except OSError as broken:
            raise ExchangeError(f'{broken}', sent=True) from broken

    def _note_keep_alive(self, head: ResponseHead) -> None:
        if 'close' in (head.header('connection') or '').lower():
            self._may_stay = False
        self._idle_s = _idle_time_s(head.header('keep-alive'))


def connect(address: str, timeout_s: float) -> TargetConnection:
    """Open a connection.

    Raises:
        ExchangeError: the target took no connection in time.
    """
    host, _, port = address.rpartition(':')
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    set_options(sock)
    reset_at_end(sock)
    sock.settimeout(timeout_s)
    try:
        sock.connect((host, int(port)))
    except OSError as broken:
        sock.close()
        cause = f'cannot connect: {broken}'
        raise ExchangeError(cause, sent=False) from broken
    except BaseException:
        # The caller left while this waited.
        sock.close()
        raise
    return TargetConnection(address, sock)


def _request_bytes(
    parser: h11.Connection, head: RequestHead, body: bytes
) -> bytes:
    headers = list(head.headers)
    if body or head.method not in _BODILESS:
        headers.append(('content-length', str(len(body))))
    wire = parser.send(
        h11.Request(method=head.method, target=head.target, headers=headers)
    )
    if body:
        wire += parser.send(h11.Data(data=body))
    return bytes(wire + parser.send(h11.EndOfMessage()))


def _send_some(sock: socket.socket, wire: bytes) -> int:
    """Send what the kernel takes at once."""
    sock.settimeout(0)
    try:
        return int(sock.fd.send(wire))
    except BlockingIOError:
        return 0


def _timeout_cause(late: TimeoutError) -> str:
    """Tell the end of a call's own time from that of its connection.

    The kernel gives up a connection whose peer is out of reach. A reset after
    that takes nothing back that was sent.
    """
    if late.errno is None:
        return 'no answer in time'
    return f'the kernel gave the connection up: {late.strerror}'


def _idle_time_s(keep_alive: str | None) -> float:
    """Read the idle time of a Keep-Alive header, less a margin."""
    for parameter in (keep_alive or '').split(','):
        name, _, text = parameter.strip().partition('=')
        if name.lower() == 'timeout' and text.isdigit():
            return max(0, int(text) - IDLE_TIMEOUT_MARGIN_S)
    return DEFAULT_IDLE_TIMEOUT_S
