"""Connections whose answers are bounded in time and bytes.

The time limit of the library is one for each read, which a byte now and then
renews, and it reads lines and bodies without a bound.
"""

import io
import math
from functools import partial
from http.client import HTTPResponse
from typing import Any

import urllib3
from eventlet import sleep
from eventlet.greenio import GreenSocket
from urllib3.connection import HTTPConnection

from dandelionyoke_links import clock_s, receive
from dandelionyoke_wire._answer_filter import AnswerFilter

# An answer has no more bytes with its head and framing.
MAX_ANSWER_BYTES = 16_777_216
# What has arrived at the time limit is read within this time.
MAX_LATE_READ_S = 0.5
# A wait must have a limit above zero.
MIN_WAIT_S = 0.001


class AnswerLimitError(OSError):
    """An answer has more bytes than are taken."""


class UnsentRequestError(OSError):
    """An answer ended with its connection, and its request was not sent."""


class _AnswerReader(io.RawIOBase):
    """Reads one answer, part by part.

    The whole answer must come within `limit_s` and `max_bytes`. The event loop
    looks for other input after each part, however fast the other end sends.
    `unsent_cause` says why a part of the request was not sent.
    """

    def __init__(
        self,
        sock: Any,
        limit_s: float,
        max_bytes: float,
        method: str,
        unsent_cause: str,
    ) -> None:
        self._sock = sock
        self._filter = AnswerFilter(method)
        # What has passed the filter and is still to be read.
        self._passed = b''
        self._unsent_cause = unsent_cause
        self._raw = sock.makefile('rb', buffering=0)
        self._until_s = clock_s() + limit_s
        # The end of reading what comes late, once the limit has passed.
        self._late_until_s = math.inf
        self._left_bytes = max_bytes

    def readable(self) -> bool:
        """Whether it can be read."""
        return True

    def readinto(self, buffer: Any) -> int:
        """Read a part; return its size, 0 at the end.

        Raises:
            TimeoutError: the time of the answer is over.
            AnswerLimitError: it has too many bytes.
            MalformedAnswerError: it is not HTTP/1.1, or it was cut off.
            UnsentRequestError: it ends with the connection, which failed.
        """
        while not self._passed:
            received = self._read_part(len(buffer))
            if not received:
                self._end()
                break
            self._passed = self._filter.feed(received)
        count = io.BytesIO(self._passed).readinto(buffer)
        self._passed = self._passed[count:]
        return count

    def close(self) -> None:
        """Let go of the socket."""
        if not self.closed:
            self._raw.close()
        super().close()

    def _read_part(self, max_bytes: int) -> bytes:
        if math.isfinite(self._until_s):
            self._limit_wait()
        received = self._receive(max_bytes)
        self._left_bytes -= len(received)
        if self._left_bytes < 0:
            raise AnswerLimitError('the answer is too large')
        if len(received) == max_bytes:
            sleep(0)
        return received

    def _end(self) -> None:
        self._filter.end()
        if self._unsent_cause:
            raise UnsentRequestError(self._unsent_cause)

    def _receive(self, max_bytes: int) -> bytes:
        if isinstance(self._sock, GreenSocket):
            # Its own reads report a reset as an orderly end.
            return receive(self._sock, max_bytes, self._sock.gettimeout())
        return bytes(self._sock.recv(max_bytes))

    def _limit_wait(self) -> None:
        left_s = self._until_s - clock_s()
        if left_s <= 0:
            self._limit_late_reads()
        self._sock.settimeout(max(left_s, MIN_WAIT_S))

    def _limit_late_reads(self) -> None:
        now_s = clock_s()
        self._late_until_s = min(self._late_until_s, now_s + MAX_LATE_READ_S)
        if now_s >= self._late_until_s:
            raise TimeoutError('the answer took too long')


class _AnswerFile(io.BufferedReader):
    """File that needs no memory for bytes that were only announced."""

    def read(self, size: int | None = -1) -> bytes:
        """Read bytes.

        Raises:
            AnswerLimitError: they are more than an answer has.
        """
        if size is not None and size > MAX_ANSWER_BYTES:
            raise AnswerLimitError('the answer is too large')
        return super().read(size)


class _AnswerSource:
    """What the library reads an answer from in place of the socket."""

    def __init__(self, reader: _AnswerReader) -> None:
        self._reader = reader

    def makefile(self, mode: str) -> io.BufferedReader:
        """Return the file that the library reads."""
        return _AnswerFile(self._reader)


class BoundedResponse(HTTPResponse):
    """Response whose whole answer has the time that is set for one read."""

    def __init__(
        self, sock: Any, *, method: str, unsent_cause: str = ''
    ) -> None:
        limit_s = sock.gettimeout()
        reader = _AnswerReader(
            sock,
            math.inf if limit_s is None else limit_s,
            MAX_ANSWER_BYTES,
            method,
            unsent_cause,
        )
        source: Any = _AnswerSource(reader)
        super().__init__(source, method=method)


class StreamResponse(HTTPResponse):
    """Response whose body may go on, as long as its bytes come."""

    def __init__(
        self, sock: Any, *, method: str, unsent_cause: str = ''
    ) -> None:
        reader = _AnswerReader(sock, math.inf, math.inf, method, unsent_cause)
        source: Any = _AnswerSource(reader)
        super().__init__(source, method=method)


class BoundedConnection(HTTPConnection):
    """Connection whose answers are bounded.

    The library goes on to read after some errors of a write, as an answer may
    come early. The kernel reports a reset once, so that the end of that answer
    then looks orderly.
    """

    answer_class: type[BoundedResponse | StreamResponse] = BoundedResponse

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        # Why a part of the request was not sent.
        self._unsent_cause = ''

    def connect(self) -> None:
        """Connect."""
        self._unsent_cause = ''
        super().connect()

    def send(self, data: Any) -> None:
        """Send data, and keep in mind a failure."""
        try:
            super().send(data)
        except OSError as error:
            self._unsent_cause = f'cannot send: {error}'
            raise

    def getresponse(self) -> Any:
        """Read the head of the answer."""
        response_class: Any = partial(
            self.answer_class, unsent_cause=self._unsent_cause
        )
        self.response_class = response_class
        return super().getresponse()


class StreamConnection(BoundedConnection):
    """Connection whose answers are streams."""

    answer_class = StreamResponse


class BoundedPool(urllib3.HTTPConnectionPool):
    """Pool of connections whose answers are bounded."""

    ConnectionCls = BoundedConnection


class StreamPool(urllib3.HTTPConnectionPool):
    """Pool of connections whose answers are streams."""

    ConnectionCls = StreamConnection
