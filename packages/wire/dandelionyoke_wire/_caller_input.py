"""Parsing and validation of caller requests from the WSGI environment."""

import socket
from typing import Any

from dandelionyoke_core import Refusal, RefusalKind

Environ = dict[str, Any]

VERSION_PREFIX = '/v1'


class CallError(Exception):
    """A call that is refused before it reaches the core."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.detail)
        self.refusal = refusal


def read_body(environ: Environ, limit_bytes: int) -> bytes:
    """Read the whole request body.

    Raises:
        CallError: the body exceeds the limit or ended early.
    """
    content_length = _content_length(environ)
    if content_length is not None and content_length > limit_bytes:
        raise CallError(_too_large(limit_bytes))
    body = _read(environ, limit_bytes + 1)
    if len(body) > limit_bytes:
        raise CallError(_too_large(limit_bytes))
    if content_length is not None and len(body) < content_length:
        raise CallError(_truncated())
    return body


def _read(environ: Environ, max_bytes: int) -> bytes:
    try:
        return bytes(environ['wsgi.input'].read(max_bytes))
    except (OSError, ValueError) as error:
        raise CallError(_truncated()) from error


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
