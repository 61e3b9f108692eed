"""A network path whose partition delivers held bytes after it has healed."""

import contextlib

import eventlet
from eventlet.event import Event
from eventlet.green import socket

from dandelionyoke_links import reset_on_close
from tests.links import partition
from tests.platform.local_server import LocalServer

CHUNK_BYTES = 65_536
# The client's kernel aborts a connection this long after the client wrote into
# the partition. The client can no longer reset it then.
ABORT_S = 0.5


class HeldPath:
    """Relays connections to an address.

    While it is cut, no connection is established. What a client sends on an
    open one is held until the path is healed. It is lost if the client resets
    the connection before its kernel aborts it.
    """

    def __init__(self, to_address: str) -> None:
        to_host, to_port = to_address.rsplit(':', 1)
        self._server_address = (to_host, int(to_port))
        self._server = LocalServer(self._relay)
        self.address = self._server.address
        # While the path is cut, the event of its healing.
        self._healed: Event | None = None

    def cut(self) -> None:
        """Cut the path in both directions."""
        partition.cut(self._server.listener)
        self._healed = Event()

    def heal(self) -> None:
        """Deliver what is held, and let connections be established again."""
        partition.heal(self._server.listener)
        if self._healed is not None:
            self._healed.send()
            self._healed = None

    def close(self) -> None:
        """End all connections."""
        self._server.close()

    def _relay(self, client: socket.socket) -> None:
        # Either end may reset its connection.
        with client, contextlib.suppress(OSError):
            server = eventlet.connect(self._server_address)
            answers = eventlet.spawn(_copy, server, client)
            try:
                self._copy_requests(client, server)
            finally:
                answers.kill()
                server.close()

    def _copy_requests(
        self, client: socket.socket, server: socket.socket
    ) -> None:
        while chunk := client.recv(CHUNK_BYTES):
            if self._healed is not None:
                _abort(client)
                self._healed.wait()
            server.sendall(chunk)


def _abort(client: socket.socket) -> None:
    """Abort a connection as its client's kernel does.

    Raises:
        ConnectionResetError: the client reset the connection before.
    """
    client.settimeout(ABORT_S)
    with contextlib.suppress(TimeoutError):
        client.recv(CHUNK_BYTES)
    reset_on_close(client)
    client.close()


def _copy(source: socket.socket, sink: socket.socket) -> None:
    with contextlib.suppress(OSError):
        while chunk := source.recv(CHUNK_BYTES):
            sink.sendall(chunk)
        sink.shutdown(socket.SHUT_WR)
