"""Bodies of the requests of callers."""

from http import HTTPStatus
from types import MappingProxyType

from eventlet.green import socket

from dandelionyoke_dispatch import OTHER_INSTANCE_RETRY_AFTER_S
from dandelionyoke_gateway._errors import (
    CallerDisconnectedError,
    InvalidRequestError,
)
from dandelionyoke_gateway._messages import RequestHead, find_header
from dandelionyoke_links import (
    BodyDecoder,
    BodyEndedError,
    BodyError,
    BodyFramingError,
    BodyReader,
    BodyRefusedError,
    BodyTimeoutError,
    BodyTooLargeError,
    ChunkedDecoder,
    InputWait,
    LengthDecoder,
)

_STATUSES = MappingProxyType(
    {
        BodyTooLargeError: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        BodyTimeoutError: HTTPStatus.REQUEST_TIMEOUT,
        BodyFramingError: HTTPStatus.BAD_REQUEST,
    }
)


class CallerSource:
    """Connection of a caller from which bodies are read."""

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        self._rest = b''
        self._input_wait = InputWait()

    def receive(self, max_bytes: int) -> bytes:
        """Return bytes that have arrived; b'' if the caller has closed.

        Raises:
            BlockingIOError: none have arrived.
            OSError: the connection failed.
        """
        return bytes(self._sock.fd.recv(max_bytes))

    def wait(self, timeout_s: float) -> None:
        """Wait until bytes arrive or the caller closes.

        Raises:
            TimeoutError: neither happened within `timeout_s`, or the wait was
                ended.
        """
        self._input_wait.wait(self._sock, timeout_s)

    def end_wait(self) -> None:
        """End the wait of another green thread, if it waits; never blocks."""
        self._input_wait.end()

    def keep_rest(self, rest: bytes) -> None:
        """Keep received bytes, which belong to the next request."""
        self._rest = rest

    def take_rest(self) -> bytes:
        """Return the bytes that were kept."""
        rest = self._rest
        self._rest = b''
        return rest


def new_body_decoder(head: RequestHead, max_trailer_bytes: int) -> BodyDecoder:
    """Return a decoder for the framing that a head names."""
    names = {name for name, _ in head.headers}
    if 'transfer-encoding' in names:
        return ChunkedDecoder(max_trailer_bytes)
    return LengthDecoder(int(find_header(head.headers, 'content-length') or 0))


def read_request_body(
    reader: BodyReader, source: CallerSource, received: bytes
) -> bytes:
    """Read the body of a request.

    Raises:
        InvalidRequestError: the request must be refused.
        CallerDisconnectedError: the caller closed the connection.
    """
    try:
        return reader.read(source, received)
    except BodyEndedError as error:
        raise CallerDisconnectedError from error
    except BodyRefusedError as error:
        raise memory_refusal(str(error)) from error
    except BodyError as error:
        raise InvalidRequestError(str(error), _STATUSES[type(error)]) from error


def memory_refusal(cause: str = '') -> InvalidRequestError:
    """Return the refusal of a request that has not run, for want of memory."""
    return InvalidRequestError(
        cause or 'this instance has no memory for the request now',
        HTTPStatus.SERVICE_UNAVAILABLE,
        OTHER_INSTANCE_RETRY_AFTER_S,
    )
