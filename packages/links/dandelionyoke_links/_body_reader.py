"""Reads request bodies within bounds of size, memory and time."""

import contextlib
from collections.abc import Callable
from functools import partial
from typing import Protocol

import attrs
from eventlet import sleep
from eventlet.semaphore import Semaphore

from dandelionyoke_links._body_decoders import BodyDecoder, FramingError
from dandelionyoke_links._clock import clock_s
from dandelionyoke_links._memory_budget import (
    MemoryBudget,
    MemoryShortError,
    Reservation,
)

READ_BYTES = 65536
# Parts of a body are kept in blocks of at least this size.
BLOCK_BYTES = 65536
# The first part of a body is read without a turn; small bodies have no other.
MIN_READ_BYTES = 16384


class BodyError(Exception):
    """A body was not read to its end; the message tells the client why."""


class BodyTooLargeError(BodyError):
    """The body is over its limit."""


class BodyTimeoutError(BodyError):
    """The client did not send the body in time."""


class BodyFramingError(BodyError):
    """The body is not framed as HTTP/1.1 says."""


class BodyRefusedError(BodyError):
    """This process has no memory for the body; another one may have."""


class BodyEndedError(BodyError):
    """The client ended the connection within the body."""


class BodySource(Protocol):
    """The connection from which a body comes."""

    def receive(self, max_bytes: int) -> bytes:
        """Return bytes that have arrived; b'' if the client has closed.

        Raises:
            BlockingIOError: none have arrived.
            OSError: the connection failed.
        """

    def wait(self, timeout_s: float) -> None:
        """Wait until bytes arrive or the client closes.

        Raises:
            TimeoutError: neither happened within `timeout_s`, or the wait was
                ended.
        """

    def end_wait(self) -> None:
        """End the wait of another green thread, if it waits; never blocks."""

    def keep_rest(self, rest: bytes) -> None:
        """Keep received bytes, which belong to the next request."""


@attrs.frozen
class BodyLimits:
    """How large a body may be and how long its client may take.

    The client may pause for `pause_s`, and has `timeout_s` for the whole body.
    """

    max_bytes: int
    pause_s: float
    timeout_s: float


class DecodeTurns:
    """Lets the bodies of a process be read one part after another.

    The event loop looks for other input after each part, however many
    clients send at the same time.
    """

    def __init__(self) -> None:
        self._semaphore = Semaphore()

    def take(self, read_part: Callable[[], bool]) -> bool:
        """Read a part in its turn; return whether there was one."""
        with self._semaphore:
            has_part = read_part()
            if has_part:
                sleep(0)
        return has_part


class BodyReader:
    """Reads one body."""

    def __init__(
        self,
        decoder: BodyDecoder,
        limits: BodyLimits,
        budget: MemoryBudget,
        reservation: Reservation,
        turns: DecodeTurns,
    ) -> None:
        self._decoder = decoder
        self._limits = limits
        self._budget = budget
        self._reservation = reservation
        self._turns = turns
        self._blocks: list[bytes] = []
        # What is no whole block yet.
        self._open_block = bytearray()
        self._size_bytes = 0
        self._has_received = False

    def read(self, source: BodySource, received: bytes) -> bytes:
        """Read the body, of which `received` came with its head.

        Raises:
            BodyError: the body was not read to its end.
        """
        until_s = clock_s() + self._limits.timeout_s
        self._reservation.on_evict = partial(self._evict, source)
        self._budget.set_evictable(self._reservation, is_evictable=True)
        try:
            self._take(received)
            return self._read_rest(source, until_s)
        finally:
            self._budget.set_evictable(self._reservation, is_evictable=False)
            self._drop()

    def _read_rest(self, source: BodySource, until_s: float) -> bytes:
        while not self._decoder.is_complete:
            self._read_part(source, until_s)
        self._check_held()
        source.keep_rest(self._decoder.rest)
        return b''.join((*self._blocks, self._open_block))

    def _evict(self, source: BodySource) -> None:
        """Release the memory; the reservation was closed."""
        self._drop()
        source.end_wait()

    def _drop(self) -> None:
        self._blocks = []
        self._open_block = bytearray()

    def _read_part(self, source: BodySource, until_s: float) -> None:
        """Wait for a part of the body and take it."""
        pause_until_s = min(until_s, clock_s() + self._limits.pause_s)
        while not self._receive(source):
            left_s = pause_until_s - clock_s()
            if left_s <= 0:
                raise BodyTimeoutError(
                    'the body of the request did not come in time'
                )
            with contextlib.suppress(TimeoutError):
                source.wait(left_s)
            self._check_held()

    def _receive(self, source: BodySource) -> bool:
        """Take what has arrived; return whether that is anything."""
        if not self._has_received:
            return self._receive_part(source, MIN_READ_BYTES)
        # What belongs to the next request is held until its turn comes.
        max_bytes = min(READ_BYTES, self._decoder.missing_bytes)
        return self._turns.take(
            partial(self._receive_part, source, max(max_bytes, MIN_READ_BYTES))
        )

    def _receive_part(self, source: BodySource, max_bytes: int) -> bool:
        self._check_held()
        try:
            received = source.receive(max_bytes)
        except BlockingIOError:
            return False
        except OSError as error:
            raise BodyEndedError(str(error)) from error
        if not received:
            raise BodyEndedError('the body ended early')
        self._take(received)
        return True

    def _take(self, received: bytes) -> None:
        if received:
            self._has_received = True
        try:
            content = self._decoder.feed(received)
        except FramingError as error:
            raise BodyFramingError(str(error)) from error
        self._size_bytes += len(content)
        # What is missing of a chunk was announced.
        announced_bytes = self._size_bytes + self._decoder.missing_bytes
        if announced_bytes > self._limits.max_bytes:
            raise BodyTooLargeError(
                f'the body is over {self._limits.max_bytes} bytes'
            )
        try:
            self._budget.grow(self._reservation, len(content))
        except MemoryShortError as error:
            raise _refused() from error
        self._open_block += content
        if len(self._open_block) >= BLOCK_BYTES:
            self._blocks.append(bytes(self._open_block))
            self._open_block = bytearray()

    def _check_held(self) -> None:
        if self._reservation.is_closed:
            raise _refused()


def _refused() -> BodyRefusedError:
    return BodyRefusedError(
        'this instance has no memory for the body now; nothing has run'
    )
