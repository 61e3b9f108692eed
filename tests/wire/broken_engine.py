"""An engine that sends one answer, whatever the request, and ends."""

import contextlib
import socket
import threading
from collections.abc import Callable

from dandelionyoke_core import (
    AttemptFailed,
    AttemptId,
    AttemptRefused,
    CallService,
    Event,
    RequestId,
    ServiceAnswered,
    TargetId,
)
from dandelionyoke_links import reset_on_close
from dandelionyoke_wire._plain import PlainClient
from tests.platform.local_server import receive_head

# Small, so that the sender of an upload waits for space.
RECEIVE_BUFFER_BYTES = 4096
WAIT_S = 5.0

CALL_TIMEOUT_S = 5.0

End = Callable[[socket.socket], None]
PlainEvent = AttemptFailed | AttemptRefused | ServiceAnswered


def close_in_order(sock: socket.socket) -> None:
    """Send the end; read what comes until the client closes, too."""
    sock.shutdown(socket.SHUT_WR)
    while sock.recv(65536):
        continue


class BrokenEngine:
    """Answers each connection in a thread, as soon as it has a head."""

    def __init__(self, answer: bytes, end: End = close_in_order) -> None:
        self._answer = answer
        self._end = end
        self._listener = socket.socket()
        self._listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        self._listener.bind(('127.0.0.1', 0))
        self._listener.listen()
        host, port = self._listener.getsockname()
        self.address = f'http://{host}:{port}'
        self._thread = threading.Thread(target=self._accept)
        self._thread.start()

    def close(self) -> None:
        """Stop the engine."""
        self._listener.shutdown(socket.SHUT_RDWR)
        self._thread.join()
        self._listener.close()

    def _accept(self) -> None:
        # Closing ends the loop.
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self._listener.accept()
                with sock, contextlib.suppress(OSError):
                    sock.settimeout(WAIT_S)
                    self._serve(sock)

    def _serve(self, sock: socket.socket) -> None:
        if receive_head(sock):
            sock.sendall(self._answer)
            self._end(sock)


def reset(sock: socket.socket) -> None:
    """End a connection with a reset."""
    reset_on_close(sock)
    sock.close()


def call_service(address: str, body: bytes = b'') -> PlainEvent:
    """Call a plain service; return the result."""
    events: list[Event] = []
    PlainClient(events.append).call(
        CallService(
            RequestId('r'),
            AttemptId('a'),
            TargetId('t'),
            address,
            'POST',
            path='/look',
            content_type='',
            body=body,
            idempotency_key=None,
            timeout_s=CALL_TIMEOUT_S,
        )
    )
    (event,) = events
    return event
