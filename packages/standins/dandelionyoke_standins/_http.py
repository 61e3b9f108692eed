"""A small HTTP server for the stand-ins, based on eventlet."""

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
        410: 'Gone',
        413: 'Content Too Large',
        429: 'Too Many Requests',
        500: 'Internal Server Error',
        503: 'Service Unavailable',
    }
)

Environ = dict[str, Any]


@attrs.frozen
class Request:
    """An HTTP request as received."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    @property
    def json(self) -> Json:
        """The body, decoded as a JSON object."""
        return decode(self.body)


@attrs.frozen
class Response:
    """An HTTP response: a JSON body, or a stream of JSON lines."""

    body: Any = None
    status: int = 200
    lines: Iterator[bytes] | None = None


Handler = Callable[..., Response]
HeaderList = list[tuple[str, str]]


@attrs.frozen
class Route:
    """A method, a regular expression for the full path, and a handler.

    The method `*` matches any method. The handler gets the request, followed
    by the groups of the pattern.
    """

    method: str
    pattern: str
    handler: Handler


class ChangeNotifier:
    """Wakes all tasks that wait for a change."""

    def __init__(self) -> None:
        self._event = Event()

    def notify(self) -> None:
        """Wake the waiting tasks."""
        event = self._event
        self._event = Event()
        event.send()

    def wait(self, timeout_s: float) -> None:
        """Wait for the next change or the timeout."""
        self._event.wait(timeout=max(0, timeout_s))


class Server:
    """Serves routes on a port of the loopback interface."""

    def __init__(
        self,
        routes: Iterable[Route],
        port: int = 0,
        facts: Callable[[], HeaderList] = list,
    ) -> None:
        self._routes = tuple(routes)
        # Headers of all answers.
        self._facts = facts
        self._listener = listen((HOST, port))
        self.address = listener_address(self._listener)

    def start(self) -> None:
        """Start serving in a background task."""
        spawn(
            wsgi.server,
            self._listener,
            self._handle,
            max_size=MAX_CONNECTIONS,
            minimum_chunk_size=1,
            log_output=False,
            log=sys.stderr,
        )

    def _handle(
        self, environ: Environ, start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        try:
            response = self._dispatch(environ)
        except LostAnswerError:
            _drop_connection(environ)
            return []
        except StandinError as error:
            response = Response(error.answer, error.status)
        status = f'{response.status} {STATUS_TEXT[response.status]}'
        if response.lines is not None:
            headers = [('Content-Type', 'application/x-ndjson'), *self._facts()]
            start_response(status, headers)
            return response.lines
        body = encode(response.body)
        headers = [
            ('Content-Type', 'application/json'),
            ('Content-Length', str(len(body))),
            *self._facts(),
        ]
        start_response(status, headers)
        return [body]

    def _dispatch(self, environ: Environ) -> Response:
        request = _read_request(environ)
        is_known_path = False
        for route in self._routes:
            match = re.fullmatch(route.pattern, request.path)
            if match is None:
                continue
            is_known_path = True
            if route.method in {request.method, '*'}:
                return route.handler(request, *match.groups())
        cause = 'method' if is_known_path else 'path'
        return Response({'cause': f'unknown {cause}'}, 404)


class StopSignal:
    """Waits for SIGTERM or SIGINT, replacing their default handling.

    A signal handler alone doesn't interrupt the event loop's poll, so the
    process would stop only at the next timer. The wakeup descriptor does.
    """

    def __init__(self) -> None:
        reader, writer = socket.socketpair()
        writer.setblocking(False)
        signal.set_wakeup_fd(writer.fileno())
        self._reader = reader
        self._writer = writer
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(signal_number, _ignore_signal)

    def wait(self) -> None:
        """Wait for a signal."""
        self._reader.recv(1)


def listener_address(listener: socket.socket) -> str:
    """Return the URL of a listening socket."""
    return f'http://{HOST}:{listener.getsockname()[1]}'


def print_line(line: str) -> None:
    """Print a line and flush it, for a parent process that reads it."""
    print(line, flush=True)  # noqa: WPS421 part of the protocol


def _ignore_signal(signal_number: int, frame: object) -> None:
    """Do nothing; the wakeup descriptor reports the signal."""


def _read_request(environ: Environ) -> Request:
    size = int(environ.get('CONTENT_LENGTH') or 0)
    if size > MAX_BODY_BYTES:
        raise BadCallError(cause='body too large')
    return Request(
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
    """Close the connection without an answer to the caller."""
    connection = environ['eventlet.input'].get_socket()
    try:
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        return
