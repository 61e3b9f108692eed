"""HTTP/1.1 client connection to a target or the store.

It uses h11 for heads instead of urllib3, because h11 exposes the bytes after a
head and accepts a response that begins before the request is sent. urllib3
hides both, and a later request could receive the bytes of another one.
"""

import contextlib
import math
from collections.abc import Callable
from functools import partial
from typing import Any

import eventlet
import h11
from eventlet.green import socket
from eventlet.greenthread import GreenThread
from eventlet.hubs import trampoline

from dandelionyoke_gateway._answer_body import AnswerBody, BodyBlocks
from dandelionyoke_gateway._clock import clock_s
from dandelionyoke_gateway._errors import ExchangeError, ExchangeTimeoutError
from dandelionyoke_gateway._messages import (
    RequestHead,
    ResponseHead,
    decode_headers,
    encode_headers,
    parse_whole_number,
)
from dandelionyoke_gateway._silence import SilenceTimer
from dandelionyoke_links import (
    BRIEF,
    URGENT,
    DecodeTurns,
    SilenceLimits,
    limit_silence,
    new_answer_decoder,
    receive,
    reset_on_close,
    set_socket_options,
)

READ_BYTES = 65536
# So much is read without a turn after a wait; small responses have no more.
MIN_READ_BYTES = 16384
MAX_HEAD_BYTES = 65536
# A head of many small headers needs far more memory than it has bytes.
MAX_HEADERS = 512
# A target that sends more of them before its response never responds.
MAX_INTERIM_RESPONSES = 16

# A target closes idle connections after a timeout, which it may announce.
# Without an announcement an idle connection is not reused after this time: a
# request sent while the target closes it may have run, so that a call that
# must not run twice would be lost.
DEFAULT_IDLE_TIMEOUT_S = 4.0
# A request must arrive before the idle timeout of the target ends.
IDLE_TIMEOUT_MARGIN_S = 0.5
# The event loop's timers leave out the time of a suspended machine. An urgent
# connection checks its deadline this often, so that it is reset soon after.
URGENT_MAX_WAIT_S = 0.1
# What has arrived at a deadline is read within this time. A caller that reads
# more slowly than its target sends would keep its call for ever.
MAX_LATE_READ_S = 0.5
# A connection remembers the calls that it has carried, and is closed after so
# many of them.
MAX_CARRIED_CALLS = 1024

# A body of this size is sent together with its head.
MAX_JOINED_BODY_BYTES = 65536

_FRAMINGS = ('content-length', 'transfer-encoding')
# The last three are of an address that is none, as another node may tell it.
_CONNECT_ERRORS = (OSError, OverflowError, TypeError, ValueError)
_BODILESS = frozenset(('GET', 'HEAD', 'DELETE', 'OPTIONS'))


class TargetConnection:
    """A socket, its parser and the deadline for its reuse.

    One exchange at a time.
    """

    def __init__(
        self,
        address: str,
        sock: socket.socket,
        max_wait_s: float = math.inf,
        turns: DecodeTurns | None = None,
    ) -> None:
        self.address = address
        # What accepted it has run since then.
        self.opened_s = clock_s()
        self._sock = sock
        self._max_wait_s = max_wait_s
        self._turns = turns or DecodeTurns()
        # What was read since the last wait.
        self._unwaited_bytes = 0
        self._parser = _new_parser()
        # The method of the request, and the body of its response.
        self._method = ''
        self._body: AnswerBody | None = None
        self._send_task: GreenThread | None = None
        # Why a part of the request was not sent.
        self._unsent_cause = ''
        self._idle_timeout_s = DEFAULT_IDLE_TIMEOUT_S
        self._is_reusable = True
        self._is_closed = False
        self.idle_deadline_s = 0.0
        # Whether its first exchange is still to come or under way.
        self.is_new = True
        # Takes for how long the peer has been silent; returns how long to wait
        # before it is called again, or raises to end the exchange.
        self.on_silence: Callable[[float], float] | None = None
        # Called when bytes arrive.
        self.on_data: Callable[[], None] | None = None
        self._silence = SilenceTimer()
        # The end of reading after the deadline, once that has passed.
        self._late_until_s = math.inf
        # Hashes of the ids of calls: callers choose the length of an id.
        self._carried: set[int] = set()

    def carry(self, call_id: str) -> None:
        """Take note that a call is sent here."""
        self._carried.add(hash(call_id))

    def has_carried(self, call_id: str) -> bool:
        """Whether a call may have been sent here before."""
        return hash(call_id) in self._carried

    def send(
        self, head: RequestHead, body: bytes, until_s: float = math.inf
    ) -> None:
        """Send a request; its rest is sent in the background.

        No byte is written after `until_s`, a time of `clock_s`.

        Raises:
            ExchangeError: the first write failed, or it was too late for it.
        """
        pieces = _request_bytes(self._parser, head, body)
        self._method = head.method
        self._silence = SilenceTimer()
        # Connecting takes time, and the process may have been paused.
        if clock_s() >= until_s:
            raise ExchangeError('too late to send after connecting', sent=False)
        try:
            sent_count = _send_some(self._sock, pieces[0])
        except OSError as error:
            raise ExchangeError(f'cannot send: {error}', sent=True) from error
        pieces[0] = pieces[0][sent_count:]
        if any(pieces):
            self._send_task = eventlet.spawn(self._send_rest, pieces, until_s)

    def read_head(self, deadline_s: float) -> ResponseHead:
        """Read the head of the response.

        Raises:
            ExchangeError: the response was cut off or is not HTTP.
        """
        event = self._next_event(deadline_s)
        interim_count = 0
        while isinstance(event, h11.InformationalResponse):
            interim_count += 1
            if interim_count > MAX_INTERIM_RESPONSES:
                raise ExchangeError('too many interim responses', sent=True)
            event = self._next_event(deadline_s)
        if not isinstance(event, h11.Response):
            raise ExchangeError('the response has no head', sent=True)
        if len(event.headers) > MAX_HEADERS:
            raise ExchangeError('the response has too many headers', sent=True)
        head = ResponseHead(event.status_code, decode_headers(event.headers))
        self._record_keep_alive(head)
        received, _ = self._parser.trailing_data
        decoder = new_answer_decoder(
            self._method, head.status, dict(head.headers)
        )
        self._body = AnswerBody(decoder, bytes(received))
        return head

    def read_chunk(self, deadline_s: float) -> bytes | None:
        """Read a part of the response body; None at its regular end.

        Raises:
            ExchangeError: the response was cut off.
        """
        body = self._begun_body
        content = body.take_first()
        while not content:
            if body.is_complete:
                return None
            received = self._receive(deadline_s)
            if received:
                content = body.take(received)
            elif received is not None:
                self._is_reusable = False
                if body.ends_with_connection:
                    self._finish_sending(deadline_s)
                body.end()
        return content

    def read_body(
        self,
        deadline_s: float,
        max_bytes: int,
        on_bytes: Callable[[int], None] | None = None,
    ) -> bytes:
        """Read the rest of the response body.

        `on_bytes` takes the size of each part before it is kept.

        Raises:
            ExchangeError: the response was cut off or exceeds `max_bytes`.
        """
        blocks = BodyBlocks(max_bytes, on_bytes)
        body = self._begun_body
        blocks.check_announced(body.missing_bytes)
        while (part := self.read_chunk(deadline_s)) is not None:
            blocks.add(part)
            blocks.check_announced(body.missing_bytes)
        return blocks.join()

    def prepare_reuse(self) -> bool:
        """Prepare for the next request; False if that is not possible.

        Bytes after a complete response belong to no request. If the
        connection were reused, they would be taken for the response to the
        request of the next caller.
        """
        is_sent = self._send_task is None or self._send_task.dead
        if not self._has_whole_answer() or not is_sent:
            return False
        if not self._is_reusable or len(self._carried) >= MAX_CARRIED_CALLS:
            return False
        self._parser = _new_parser()
        self._body = None
        self._send_task = None
        self.idle_deadline_s = clock_s() + self._idle_timeout_s
        return True

    def limit_silence(self, limits: SilenceLimits) -> None:
        """Set how long the target may be silent from now on."""
        # The next read reports a connection that has failed.
        with contextlib.suppress(OSError):
            limit_silence(self._sock, limits)

    def is_healthy(self) -> bool:
        """Whether an idle connection is open, not expired and has no input."""
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

    @property
    def silent_s(self) -> float:
        """For how long the peer has sent nothing in this exchange."""
        return self._silence.duration_s

    def close(self) -> None:
        """Reset the connection, so that unsent bytes are never delivered."""
        if self._is_closed:
            return
        self._is_closed = True
        if self._send_task is not None:
            self._send_task.kill()
        self._sock.close()

    def _send_rest(self, pieces: list[memoryview], until_s: float) -> None:
        # The first part was sent without blocking; the rest waits for space in
        # the send buffer. Closing the connection ends this.
        try:
            for piece in pieces:
                if not self._send_piece(piece, until_s):
                    # The receiver drops the incomplete request.
                    self._is_reusable = False
                    self._unsent_cause = 'too late to send the whole request'
                    return
        except OSError as error:
            # A response whose end does not depend on the connection is whole.
            self._is_reusable = False
            self._unsent_cause = f'cannot send: {error}'

    def _finish_sending(self, deadline_s: float) -> None:
        """Wait until the request is sent, after the end of the connection.

        The kernel reports a reset once, to a read or to a write; the next
        read returns an orderly end. The end of a target that crashes may be
        orderly as well, if it has read all that had arrived.

        Raises:
            ExchangeError: a part of the request was not sent.
        """
        timeout = ExchangeTimeoutError('no response in time', sent=True)
        if self._send_task is not None:
            with eventlet.Timeout(max(0, deadline_s - clock_s()), timeout):
                self._send_task.wait()
        if self._unsent_cause:
            raise ExchangeError(self._unsent_cause, sent=True)

    def _send_piece(self, piece: memoryview, until_s: float) -> bool:
        """Send a whole piece; return False if it is too late for that."""
        unsent = piece
        while unsent:
            trampoline(self._sock.fd, write=True)
            if clock_s() >= until_s:
                return False
            unsent = unsent[_send_some(self._sock, unsent) :]
        return True

    @property
    def _begun_body(self) -> AnswerBody:
        if self._body is None:
            raise ExchangeError('the response has no head', sent=True)
        return self._body

    def _has_whole_answer(self) -> bool:
        """Whether an answer, and nothing after it, was read.

        The parser knows whether both ends keep the connection open.
        """
        body = self._body
        if body is None or not body.is_complete or body.has_rest:
            return False
        return self._parser.our_state is h11.DONE

    def _next_event(self, deadline_s: float) -> Any:
        while True:
            try:
                event = self._parser.next_event()
            except h11.RemoteProtocolError as error:
                cause = f'the response is not HTTP: {error}'
                raise ExchangeError(cause, sent=True) from error
            if event is not h11.NEED_DATA:
                return event
            received = self._receive(deadline_s)
            if received is not None:
                self._parser.receive_data(received)

    def _receive(self, deadline_s: float) -> bytes | None:
        """Read what has arrived; b'' at the end, None to look again.

        Raises:
            ExchangeError: the connection failed, or the time is over.
        """
        # What has arrived is read even if the deadline has passed.
        remaining_s = max(0, deadline_s - clock_s())
        self._limit_late_reads(is_late=not remaining_s)
        wait_s = min(remaining_s, self._max_wait_s)
        if self.on_silence is not None:
            wait_s = min(wait_s, self._silence.remaining_s)
        try:
            received = self._receive_part(wait_s)
        except TimeoutError as timeout:
            if timeout.errno is None and clock_s() < deadline_s:
                self._check_silence()
                return None
            raise ExchangeTimeoutError(
                _timeout_cause(timeout), sent=True
            ) from timeout
        except OSError as error:
            raise ExchangeError(f'{error}', sent=True) from error
        self._silence = SilenceTimer()
        # The end of the connection is no sign that the target goes on.
        if received and self.on_data is not None:
            self.on_data()
        return received

    def _receive_part(self, wait_s: float) -> bytes:
        """Read a part, in turns with others while bytes never run out.

        Raises:
            TimeoutError: nothing arrived within `wait_s`.
            OSError: the connection failed.
        """
        if self._unwaited_bytes < MIN_READ_BYTES:
            max_bytes = MIN_READ_BYTES - self._unwaited_bytes
            with contextlib.suppress(BlockingIOError):
                return self._receive_now(max_bytes)
        else:
            parts: list[bytes] = []
            if self._turns.take(partial(self._receive_in_turn, parts)):
                return parts[0]
        self._unwaited_bytes = 0
        received = receive(self._sock, MIN_READ_BYTES, wait_s)
        self._unwaited_bytes = len(received)
        return received

    def _receive_in_turn(self, parts: list[bytes]) -> bool:
        with contextlib.suppress(BlockingIOError):
            parts.append(self._receive_now(READ_BYTES))
        return bool(parts)

    def _receive_now(self, max_bytes: int) -> bytes:
        """Read what has arrived.

        Raises:
            BlockingIOError: nothing has.
            OSError: the connection failed.
        """
        received = bytes(self._sock.fd.recv(max_bytes))
        self._unwaited_bytes += len(received)
        return received

    def _limit_late_reads(self, *, is_late: bool) -> None:
        """End a late exchange whose bytes never run out."""
        if not is_late:
            self._late_until_s = math.inf
        elif math.isinf(self._late_until_s):
            self._late_until_s = clock_s() + MAX_LATE_READ_S
        elif clock_s() >= self._late_until_s:
            raise ExchangeTimeoutError('no response in time', sent=True)

    def _check_silence(self) -> None:
        silence = self._silence
        if self.on_silence is not None and not silence.remaining_s:
            silence.wait(self.on_silence(silence.duration_s))

    def _record_keep_alive(self, head: ResponseHead) -> None:
        if 'close' in (head.header('connection') or '').lower():
            self._is_reusable = False
        # The two ends may not agree on where such a response ends.
        names = {name for name, _ in head.headers}
        if names.issuperset(_FRAMINGS):
            self._is_reusable = False
        self._idle_timeout_s = _parse_idle_timeout_s(head.header('keep-alive'))


def connect(
    address: str,
    timeout_s: float,
    *,
    is_urgent: bool = False,
    turns: DecodeTurns | None = None,
) -> TargetConnection:
    """Open a connection; what is sent on an urgent one must not arrive late.

    Connections with the same `turns` are read one after another.

    Raises:
        ExchangeError: the connection failed or timed out.
    """
    host, _, port = address.rpartition(':')
    try:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    except OSError as error:
        # For example, the process has no file descriptor left.
        cause = f'cannot open a socket: {error}'
        raise ExchangeError(cause, sent=False) from error
    set_socket_options(sock, URGENT if is_urgent else BRIEF)
    reset_on_close(sock)
    sock.settimeout(timeout_s)
    try:
        sock.connect((host, int(port)))
    except _CONNECT_ERRORS as error:
        sock.close()
        cause = f'cannot connect: {error}'
        raise ExchangeError(cause, sent=False) from error
    except BaseException:
        # For example, the caller disconnected and this task was killed.
        sock.close()
        raise
    max_wait_s = URGENT_MAX_WAIT_S if is_urgent else math.inf
    return TargetConnection(address, sock, max_wait_s, turns)


def _new_parser() -> h11.Connection:
    return h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)


def _request_bytes(
    parser: h11.Connection, head: RequestHead, body: bytes
) -> list[memoryview]:
    """Return the bytes of a request; those of a large body are not copied."""
    headers = encode_headers(head.headers)
    if body or head.method not in _BODILESS:
        headers.append((b'content-length', str(len(body)).encode()))
    data = parser.send(
        h11.Request(method=head.method, target=head.target, headers=headers)
    )
    if body:
        # The parser passes the body on as it is.
        parser.send(h11.Data(data=body))
    parser.send(h11.EndOfMessage())
    if len(body) <= MAX_JOINED_BODY_BYTES:
        return [memoryview(bytes(data + body))]
    return [memoryview(bytes(data)), memoryview(body)]


def _send_some(sock: socket.socket, data: bytes | memoryview) -> int:
    """Send what fits into the send buffer; return the number of bytes."""
    sock.settimeout(0)
    try:
        return int(sock.fd.send(data))
    except BlockingIOError:
        return 0


def _timeout_cause(error: TimeoutError) -> str:
    """Distinguish the deadline of a call from a timeout of the kernel.

    The kernel aborts a connection if its peer is unreachable. A reset after
    that does not discard bytes that were already sent.
    """
    if error.errno is None:
        return 'no response in time'
    return f'the kernel aborted the connection: {error.strerror}'


def _parse_idle_timeout_s(keep_alive: str | None) -> float:
    """Return the idle timeout of a Keep-Alive header, less a margin."""
    for parameter in (keep_alive or '').split(','):
        name, _, text = parameter.strip().partition('=')
        timeout_s = parse_whole_number(text)
        if name.lower() == 'timeout' and timeout_s is not None:
            return max(0, timeout_s - IDLE_TIMEOUT_MARGIN_S)
    return DEFAULT_IDLE_TIMEOUT_S
