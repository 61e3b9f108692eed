"""Parsing and validation of caller requests from the WSGI environment."""

import socket
from typing import Any

from dandelionyoke_core import Refusal, RefusalKind
from dandelionyoke_links import (
    BodyDecoder,
    BodyError,
    BodyFramingError,
    BodyLimits,
    BodyReader,
    BodyRefusedError,
    BodyTimeoutError,
    BodyTooLargeError,
    ChunkedDecoder,
    ClientResources,
    LengthDecoder,
    MemoryShortError,
    Reservation,
    request_bytes,
)

Environ = dict[str, Any]

VERSION_PREFIX = '/v1'
# The connection of a request, in its environment.
CONNECTION_KEY = 'dandelionyoke.connection'
# The time that a client may pause within a body, and that for a whole body.
BODY_PAUSE_S = 60.0
BODY_TIMEOUT_S = 60.0
MAX_TRAILER_BYTES = 16384
MEMORY_RETRY_AFTER_S = 1.0


class CallError(Exception):
    """A call that is refused before it reaches the core."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.detail)
        self.refusal = refusal


def read_body(
    environ: Environ,
    limit_bytes: int,
    resources: ClientResources,
    reservation: Reservation,
) -> bytes:
    """Read the whole request body.

    Raises:
        CallError: the body exceeds the limit or ended early, did not come in
            time, or there is no memory for it.
    """
    content_length = _content_length(environ)
    if content_length is not None and content_length > limit_bytes:
        raise CallError(_too_large(limit_bytes))
    source = environ['wsgi.input']
    decoder: BodyDecoder = LengthDecoder(content_length or 0)
    if source.chunked_input:
        decoder = ChunkedDecoder(MAX_TRAILER_BYTES)
    limits = BodyLimits(limit_bytes, BODY_PAUSE_S, BODY_TIMEOUT_S)
    reader = BodyReader(
        decoder, limits, resources.requests, reservation, resources.turns
    )
    try:
        return reader.read(source, b'')
    except BodyError as error:
        raise CallError(_body_refusal(error, limit_bytes)) from error


def _body_refusal(error: BodyError, limit_bytes: int) -> Refusal:
    match error:
        case BodyTooLargeError():
            return _too_large(limit_bytes)
        case BodyRefusedError():
            return memory_refusal()
        case BodyTimeoutError():
            return malformed('The body did not come in time', 'Send it faster')
        case BodyFramingError():
            return malformed(str(error), 'Send chunks as HTTP/1.1 says')
    return _truncated()


def reserve_head(
    environ: Environ, resources: ClientResources, reservation: Reservation
) -> None:
    """Count the memory of a request without its body.

    Raises:
        CallError: there is no memory for it.
    """
    headers = environ.get('headers_raw', ())
    head_bytes = sum(len(name) + len(text) for name, text in headers)
    try:
        resources.requests.grow(
            reservation, request_bytes(len(headers), head_bytes)
        )
    except MemoryShortError as error:
        raise CallError(memory_refusal()) from error


def request_path(environ: Environ) -> str:
    """Return the path without the /v1 prefix, which not all clients send."""
    path: str = environ['PATH_INFO']
    return path.removeprefix(VERSION_PREFIX)


def bearer_key(environ: Environ) -> str:
    """Return the API key of a call, or an empty string without one."""
    scheme, _, key = environ.get('HTTP_AUTHORIZATION', '').partition(' ')
    return key.strip() if scheme.lower() == 'bearer' else ''


def deadline_in_s(environ: Environ) -> float | None:
    """Return how many seconds the caller will wait, or None.

    Raises:
        CallError: the header is not a positive number.
    """
    header = environ.get('HTTP_X_DEADLINE_S')
    if header is None:
        return None
    try:
        deadline_s = float(header)
    except ValueError:
        deadline_s = -1
    if not deadline_s > 0:
        raise CallError(
            malformed(
                f'X-Deadline-S is {header!r}', 'Send seconds above 0, as in 2.5'
            )
        )
    return deadline_s


def is_disconnected(environ: Environ) -> bool:
    """Check whether the caller disconnected, without consuming bytes."""
    try:
        sock = environ['wsgi.input'].get_socket()
        peeked = sock.fd.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except (OSError, AttributeError, KeyError):
        return True
    return not peeked


def malformed(detail: str, remedy: str) -> Refusal:
    """Return the refusal of a call that cannot be parsed."""
    return Refusal(RefusalKind.MALFORMED, detail, remedy)


def unknown_path(method: str, path: str) -> Refusal:
    """Return the refusal of a call to an unknown path."""
    return Refusal(
        RefusalKind.UNKNOWN_SERVICE,
        f'There is no {method} {path[:80]}',
        'Use /v1/models, /v1/chat/completions, /v1/completions or /services/',
    )


def memory_refusal() -> Refusal:
    """Return the refusal of a call that there is no memory for."""
    return Refusal(
        RefusalKind.OVERLOADED,
        'This entry has no memory for the request now',
        'Send it again',
        retry_after_s=MEMORY_RETRY_AFTER_S,
    )


def _content_length(environ: Environ) -> int | None:
    header = environ.get('CONTENT_LENGTH')
    if not header:
        return None
    if not header.isdecimal():
        raise CallError(
            malformed('Content-Length is no number', 'Send the body size')
        )
    return int(header)


def _truncated() -> Refusal:
    return malformed('The body ended early', 'Send the whole body')


def _too_large(limit_bytes: int) -> Refusal:
    return Refusal(
        RefusalKind.TOO_LARGE,
        f'The body is over {limit_bytes} bytes',
        'Send a smaller one',
    )
