"""The body of an answer, taken out of its framing."""

from collections.abc import Callable

from dandelionyoke_gateway._errors import ExchangeError
from dandelionyoke_links import BodyDecoder, FramingError, UntilCloseDecoder

# Parts of a body are kept in blocks of at least this size.
BLOCK_BYTES = 65536


class AnswerBody:
    """Takes what arrives of one body."""

    def __init__(self, decoder: BodyDecoder, received: bytes) -> None:
        self._decoder = decoder
        # What came with the head.
        self._received = received
        # Why what comes next is not framed well, if that is known.
        self._failure: ExchangeError | None = None

    @property
    def is_complete(self) -> bool:
        """Whether its end was received."""
        return self._decoder.is_complete

    @property
    def ends_with_connection(self) -> bool:
        """Whether the end of the connection is the end of the body."""
        return isinstance(self._decoder, UntilCloseDecoder)

    @property
    def has_rest(self) -> bool:
        """Whether bytes that belong to no request were received after it."""
        return bool(self._received or self._decoder.rest)

    @property
    def missing_bytes(self) -> int:
        """The bytes that were announced and are still missing."""
        return self._decoder.missing_bytes

    def take_first(self) -> bytes:
        """Return what came of the body with its head, once.

        Raises:
            ExchangeError: it, or what followed, is not framed as HTTP/1.1 says.
        """
        if self._failure is not None:
            raise self._failure
        received = self._received
        self._received = b''
        return self.take(received) if received else b''

    def take(self, received: bytes) -> bytes:
        """Take received bytes; return those of the body.

        Those before a fault of the framing are returned as well.

        Raises:
            ExchangeError: they are not framed as HTTP/1.1 says.
        """
        try:
            return self._decoder.feed(received)
        except FramingError as error:
            cause = f'the response is not HTTP: {error}'
            self._failure = ExchangeError(cause, sent=True)
            if not error.content:
                raise self._failure from error
            return error.content

    def end(self) -> None:
        """Take note that the target has closed the connection in order.

        Raises:
            ExchangeError: the response was cut off.
        """
        try:
            self._decoder.end()
        except FramingError as error:
            cause = f'the response was cut off: {error}'
            raise ExchangeError(cause, sent=True) from error


class BodyBlocks:
    """Keeps the parts of a body in blocks, however small they are."""

    def __init__(
        self, max_bytes: int, on_bytes: Callable[[int], None] | None
    ) -> None:
        self._max_bytes = max_bytes
        # Takes the size of each part before it is kept.
        self._on_bytes = on_bytes
        self._blocks: list[bytes] = []
        # What is no whole block yet.
        self._open_block = bytearray()
        self._size_bytes = 0

    def check_announced(self, missing_bytes: int) -> None:
        """Check the size with the bytes that were announced.

        Raises:
            ExchangeError: the body is larger than is kept.
        """
        if self._size_bytes + missing_bytes > self._max_bytes:
            raise ExchangeError('the response is too large', sent=True)

    def add(self, part: bytes) -> None:
        """Keep a part.

        Raises:
            ExchangeError: the body is larger than is kept.
        """
        if self._on_bytes is not None:
            self._on_bytes(len(part))
        self._size_bytes += len(part)
        self.check_announced(0)
        self._open_block += part
        if len(self._open_block) >= BLOCK_BYTES:
            self._blocks.append(bytes(self._open_block))
            self._open_block = bytearray()

    def join(self) -> bytes:
        """Return the whole body."""
        return b''.join((*self._blocks, self._open_block))
