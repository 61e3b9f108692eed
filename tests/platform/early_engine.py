"""An engine that answers a long upload before it has read it, and resets."""

import contextlib

from eventlet.green import socket

from dandelionyoke_links import reset_on_close
from tests.platform.local_server import LocalServer, receive_head

# Small, so that the sender of an upload waits for space.
RECEIVE_BUFFER_BYTES = 4096


class EarlyEngine:
    """Answers as soon as it has read the head of a request."""

    def __init__(self, answer: bytes) -> None:
        self._answer = answer
        self._server = LocalServer(self._serve)
        self._server.listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        self.address = self._server.address

    def close(self) -> None:
        """Stop the engine."""
        self._server.close()

    def _serve(self, sock: socket.socket) -> None:
        with sock, contextlib.suppress(OSError):
            if receive_head(sock):
                sock.sendall(self._answer)
                reset_on_close(sock)
