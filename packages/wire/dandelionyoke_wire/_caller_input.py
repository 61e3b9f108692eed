"""What a caller sent, read from the WSGI environment and checked."""

import socket
from typing import Any

from dandelionyoke_core import Refusal, RefusalKind

Environ = dict[str, Any]

VERSION_PREFIX = '/v1'


class CallError(Exception):
    """A call that the core never needs to see."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.detail)
        self.refusal = refusal


def read_body(environ: Environ, limit_bytes: int) -> bytes:
    """Read a whole body.

    Raises:
        CallError: it is over the limit or ended early.
    """
    announced = _announced_bytes(environ)
    if announced is not None and announced > limit_bytes:
        raise CallError(_too_large(limit_bytes))
    body = _read(environ, limit_bytes + 1)
    if len(body) > limit_bytes:
        raise CallError(_too_large(limit_bytes))
    if announced is not None and len(body) < announced:
        raise CallError(_cut_short())
    return body


def _read(environ: Environ, most_bytes: int) -> bytes:
    try:
        return bytes(environ['wsgi.input'].read(most_bytes))
    except (OSError, ValueError) as error:
        raise CallError(_cut_short()) from error


def path_of(environ: Environ) -> str:
    """Return the path; client libraries differ on whether they add /v1."""
    path: str = environ['PATH_INFO']
    return path.removeprefix(VERSION_PREFIX)


def bearer_key(environ: Environ) -> str:
    """Return the key of a call; empty where it carries none."""
    scheme, _, key = environ.get('HTTP_AUTHORIZATION', '').partition(' ')
    return key.strip() if scheme.lower() == 'bearer' else ''


def deadline_in_s(environ: Environ) -> float | None:
    """Return how many seconds the caller will wait, or None.

    Raises:
        CallError: the header holds no seconds.
    """
    found = environ.get('HTTP_X_DEADLINE_S')
    if found is None:
        return None
    try:
        deadline_s = float(found)
    except ValueError:
        deadline_s = -1
    if not deadline_s > 0:
        raise CallError(
            malformed(
                f'X-Deadline-S is {found!r}', 'Send seconds above 0, as in 2.5'
            )
        )
    return deadline_s


def is_gone(environ: Environ) -> bool:
    """Look, without taking bytes, whether the caller closed."""
    try:
        sock = environ['wsgi.input'].get_socket()
        peeked = sock.fd.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except (OSError, AttributeError, KeyError):
        return True
    return not peeked


def malformed(detail: str, remedy: str) -> Refusal:
    """Refuse a call that cannot be read."""
    return Refusal(RefusalKind.MALFORMED, detail, remedy)


def no_such_path(method: str, path: str) -> Refusal:
    """Refuse a call of something that is not served."""
    return Refusal(
        RefusalKind.UNKNOWN_SERVICE,
        f'There is no {method} {path[:80]}',
        'Use /v1/models, /v1/chat/completions, /v1/completions or /services/',
    )


def _announced_bytes(environ: Environ) -> int | None:
    found = environ.get('CONTENT_LENGTH')
    if not found:
        return None
    if not found.isdecimal():
        raise CallError(
            malformed('Content-Length is no number', 'Send the body size')
        )
    return int(found)


def _cut_short() -> Refusal:
    return malformed('The body ended early', 'Send the whole body')


def _too_large(limit_bytes: int) -> Refusal:
    return Refusal(
        RefusalKind.TOO_LARGE,
        f'The body is over {limit_bytes} bytes',
        'Send a smaller one',
    )
