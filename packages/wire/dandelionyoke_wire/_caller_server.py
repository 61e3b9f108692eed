"""HTTP server of an entry, whose connections stay within bounds.

The WSGI server of eventlet, by itself, reads bodies and what follows a refusal
without a bound, stops at a connection that it cannot accept, and accepts none
while as many are open as it serves.
"""

import contextlib
import logging
from typing import Any

from eventlet import GreenPool, sleep, wsgi
from eventlet.green import socket

from dandelionyoke_links import (
    ConnectionSlots,
    InputWait,
    close_after_refusal,
)
from dandelionyoke_wire._caller_input import CONNECTION_KEY

# A connection without progress in sending or receiving is closed after this.
SOCKET_TIMEOUT_S = 60.0
KEEPALIVE_S = 60.0
# By default the server buffers 4096 bytes, which would delay tokens.
MIN_CHUNK_BYTES = 1
MAX_URL_BYTES = 8192
ACCEPT_RETRY_DELAY_S = 0.05
# Threads of connections that are being closed for new ones.
SPARE_THREADS = 64
# Another entry may take the connection.
_UNREAD_REFUSAL = (
    b'HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n'
    b'Connection: close\r\nContent-Length: 0\r\n\r\n'
)


def serve_callers(
    listener: socket.socket, app: Any, connections: ConnectionSlots
) -> None:
    """Serve the connections of a listener until the process ends."""
    wsgi.server(
        CallerListener(listener, connections),
        app,
        log=_silent_logger(),
        log_output=False,
        debug=False,
        custom_pool=GreenPool(connections.max_connections + SPARE_THREADS),
        protocol=CallerProtocol,
        keepalive=KEEPALIVE_S,
        minimum_chunk_size=MIN_CHUNK_BYTES,
        socket_timeout=SOCKET_TIMEOUT_S,
        url_length_limit=MAX_URL_BYTES,
    )


class ClientConnection:
    """A connection of a client that may be closed for others."""

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock

    def has_input(self) -> bool:
        """Whether bytes have arrived that are not read yet."""
        try:
            return bool(self._sock.fd.recv(1, socket.MSG_PEEK))
        except OSError:
            return False

    def evict(self) -> None:
        """Close the connection; its thread ends when it reads or writes."""
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)


class CallerListener:
    """Listening socket that accepts connections while there are slots."""

    def __init__(
        self, listener: socket.socket, connections: ConnectionSlots
    ) -> None:
        self._listener = listener
        self.family = listener.family
        self.connections = connections
        self._clients: dict[socket.socket, ClientConnection] = {}

    def getsockname(self) -> Any:
        """Return the address of the socket."""
        return self._listener.getsockname()

    def close(self) -> None:
        """Close the socket."""
        self._listener.close()

    def accept(self) -> tuple[socket.socket, Any]:
        """Wait for a connection that gets a slot."""
        while True:
            # The requests of others are read before they can be closed.
            sleep(0)
            try:
                sock, address = self._listener.accept()
            except OSError:
                # The server would end. For example, there is no descriptor
                # left; some become free again as connections close.
                sleep(ACCEPT_RETRY_DELAY_S)
                continue
            client = ClientConnection(sock)
            if self.connections.enter(client):
                self._clients[sock] = client
                return sock, address
            with contextlib.suppress(OSError):
                sock.fd.send(_UNREAD_REFUSAL)
            sock.close()

    def take_client(self, sock: socket.socket) -> ClientConnection:
        """Return the connection of an accepted socket, once."""
        return self._clients.pop(sock)


class CallerInput(wsgi.Input):  # type: ignore[misc] # eventlet has no types
    """Input of a request; its body is read by a `BodyReader` only."""

    def __init__(self, other: Any) -> None:
        super().__init__(
            other.rfile,
            other.content_length,
            other.get_socket(),
            wfile=other.wfile,
            wfile_line=other.wfile_line,
            chunked_input=other.chunked_input,
        )
        self.is_complete = not (other.chunked_input or other.content_length)
        # Bytes that were returned and are still in the server's buffer.
        self._returned_bytes = 0
        self._was_readable = False
        self._input_wait = InputWait()

    def receive(self, max_bytes: int) -> bytes:
        """Return bytes that have arrived; b'' if the client has closed.

        Raises:
            BlockingIOError: none have arrived.
            OSError: the connection failed.
        """
        self._ask_to_continue()
        self._drop_returned()
        sock = self.get_socket()
        sock.settimeout(0)
        try:
            buffered = bytes(self.rfile.peek(1))[:max_bytes]
        finally:
            sock.settimeout(SOCKET_TIMEOUT_S)
        if not buffered and not self._was_readable:
            raise BlockingIOError
        self._was_readable = False
        self._returned_bytes = len(buffered)
        return buffered

    def wait(self, timeout_s: float) -> None:
        """Wait until bytes arrive or the client closes.

        Raises:
            TimeoutError: neither happened within `timeout_s`, or the wait was
                ended.
        """
        self._input_wait.wait(self.get_socket(), timeout_s)
        self._was_readable = True

    def end_wait(self) -> None:
        """End the wait of another green thread, if it waits; never blocks."""
        self._input_wait.end()

    def keep_rest(self, rest: bytes) -> None:
        """Keep received bytes, which belong to the next request."""
        self._returned_bytes -= len(rest)
        self._drop_returned()
        self.is_complete = True

    def discard(self, buffer_size: int = 0) -> None:
        """End the connection if the body was not read.

        Raises:
            OSError: it was not.
        """
        if not self.is_complete:
            raise OSError('the body was not read to its end')

    def _ask_to_continue(self) -> None:
        if self.should_send_hundred_continue:
            self.send_hundred_continue_response()
            self.is_hundred_continue_response_sent = True

    def _drop_returned(self) -> None:
        self.rfile.read(self._returned_bytes)
        self._returned_bytes = 0


class CallerProtocol(wsgi.HttpProtocol):  # type: ignore[misc] # see above
    """Protocol of one connection, which may be evicted while it waits."""

    def __init__(self, conn_state: Any, server: Any) -> None:
        self._connections = server.socket.connections
        self._client = server.socket.take_client(conn_state[1])
        self._input: CallerInput | None = None
        try:
            super().__init__(conn_state, server)
        finally:
            self._connections.leave(self._client)

    def handle_one_request(self) -> None:
        """Read a request and answer it."""
        self._connections.mark_waiting(self._client)
        super().handle_one_request()

    def get_environ(self) -> dict[str, Any]:  # noqa: WPS615 - overridden
        """Return the environment of a request."""
        environ: dict[str, Any] = super().get_environ()
        self._input = CallerInput(environ['wsgi.input'])
        environ['wsgi.input'] = self._input
        environ['eventlet.input'] = self._input
        environ[CONNECTION_KEY] = self
        if self._connections.is_crowded:
            self.close_connection = 1
        return environ

    def begin_answer(self) -> None:
        """Take note that the request was read, or is not read any more."""
        self._connections.mark_busy(self._client)
        if self._input is not None and not self._input.is_complete:
            self.close_connection = 1

    def finish(self) -> None:
        """Close the connection; a client may still send what was refused."""
        request_input = self._input
        if request_input is not None and not request_input.is_complete:
            with contextlib.suppress(OSError):
                self.wfile.flush()
            self._connections.mark_waiting(self._client)
            close_after_refusal(self.connection)
        super().finish()


def _silent_logger() -> logging.Logger:
    """Return a logger that discards the lines of the HTTP server.

    They must not appear in the JSON log.
    """
    logger = logging.getLogger('dandelionyoke.http')
    logger.addHandler(logging.NullHandler())
    logger.propagate = False
    return logger
