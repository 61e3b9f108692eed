"""A small HTTP server over eventlet for the stand-ins' calls."""

import re
import signal
import socket
import sys
from collections.abc import Callable, Iterable, Iterator
from types import MappingProxyType
from typing import Any
from urllib.parse import parse_qsl, unquote

import attrs
from eventlet import Event, listen, spawn, wsgi

from dandelionyoke_standins._errors import (
    BadCallError,
    LostAnswerError,
    StandinError,
)
from dandelionyoke_standins._json import Json, decode, encode

HOST = '127.0.0.1'
MAX_BODY_BYTES = 16_777_216
MAX_CONNECTIONS = 4096
STATUS_TEXT = MappingProxyType(
    {
        200: 'OK',
        400: 'Bad Request',
        404: 'Not Found',
        409: 'Conflict',
        413: 'Content Too Large',
        429: 'Too Many Requests',
        500: 'Internal Server Error',
        503: 'Service Unavailable',
    }
)

Environ = dict[str, Any]


@attrs.frozen
class Call:
    """One call as it came in."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    @property
    def json(self) -> Json:
        """The body as one JSON object."""
        return decode(self.body)


@attrs.frozen
class Reply:
    """An answer: one JSON body, or a stream of lines."""

    body: Any = None
    status: int = 200
    lines: Iterator[bytes] | None = None


Handler = Callable[..., Reply]


@attrs.frozen
class Route:
    """A method, a pattern of the whole path, and who answers.

    The pattern's groups are passed on after the call.
    """

    method: str
    pattern: str
    handler: Handler


class Signal:
    """Wakes every task that waits for a change."""

    def __init__(self) -> None:
        self._event = Event()

    def notify(self) -> None:
        """Wake the waiting tasks."""
        event = self._event
        self._event = Event()
        event.send()

    def wait(self, timeout_s: float) -> None:
        """Wait for the next change, or until the time is over."""
        self._event.wait(timeout=max(0, timeout_s))


class Server:
    """Serves routes on a port of the loopback address."""

    def __init__(self, routes: Iterable[Route], port: int = 0) -> None:
        self._routes = tuple(routes)
        self._listener = listen((HOST, port))
        self.address = address_of(self._listener)

    def start(self) -> None:
        """Serve in a task of its own."""
        spawn(
            wsgi.server,
            self._listener,
            self._answer,
            max_size=MAX_CONNECTIONS,
            minimum_chunk_size=1,
            log_output=False,
            log=sys.stderr,
        )

    def _answer(
        self, environ: Environ, start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        try:
            reply = self._reply(environ)
        except LostAnswerError:
            _drop_connection(environ)
            return []
        except StandinError as error:
            reply = Reply(error.answer, error.status)
        status = f'{reply.status} {STATUS_TEXT[reply.status]}'
        if reply.lines is not None:
            headers = [('Content-Type', 'application/x-ndjson')]
            start_response(status, headers)
            return reply.lines
        body = encode(reply.body)
        headers = [
            ('Content-Type', 'application/json'),
            ('Content-Length', str(len(body))),
        ]
        start_response(status, headers)
        return [body]

    def _reply(self, environ: Environ) -> Reply:
        call = _read_call(environ)
        is_known_path = False
        for route in self._routes:
            match = re.fullmatch(route.pattern, call.path)
            if match is None:
                continue
            is_known_path = True
            if route.method in {call.method, '*'}:
                return route.handler(call, *match.groups())
        cause = 'method' if is_known_path else 'path'
        return Reply({'cause': f'unknown {cause}'}, 404)


class StopSignal:
    """Waits for SIGTERM or SIGINT, which it holds back once it is made.

    A handler alone would not wake the event loop out of its poll, and the
    process would stop only at the next timer. The wakeup descriptor does.
    """

    def __init__(self) -> None:
        reader, writer = socket.socketpair()
        writer.setblocking(False)
        signal.set_wakeup_fd(writer.fileno())
        self._reader = reader
        self._writer = writer
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, _ignore)

    def wait(self) -> None:
        """Wait for the signal."""
        self._reader.recv(1)


def address_of(listener: socket.socket) -> str:
    """Give the address that a listening socket is reached at."""
    return f'http://{HOST}:{listener.getsockname()[1]}'


def announce(line: str) -> None:
    """Print a line at once, for whoever waits for it."""
    print(line, flush=True)  # noqa: WPS421 the protocol's READY line


def _ignore(number: int, frame: object) -> None:
    """Let the wakeup descriptor tell it."""


def _read_call(environ: Environ) -> Call:
    size = int(environ.get('CONTENT_LENGTH') or 0)
    if size > MAX_BODY_BYTES:
        raise BadCallError(cause='body too large')
    return Call(
        method=environ['REQUEST_METHOD'],
        path=unquote(environ['PATH_INFO']),
        query=dict(parse_qsl(environ.get('QUERY_STRING', ''))),
        headers={
            name[len('HTTP_') :].replace('_', '-').lower(): str(text)
            for name, text in environ.items()
            if name.startswith('HTTP_')
        },
        body=environ['wsgi.input'].read(size) if size else b'',
    )


def _drop_connection(environ: Environ) -> None:
    """End the connection, so that the caller never learns the outcome."""
    connection = environ['eventlet.input'].get_socket()
    try:
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        return
