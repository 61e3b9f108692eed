"""A listening socket of a test and the threads of its connections."""

from collections.abc import Callable

import eventlet
from eventlet.green import socket
from eventlet.greenthread import GreenThread


class LocalServer:
    """Accepts connections on the loopback interface, each in a thread."""

    def __init__(self, serve: Callable[[socket.socket], None]) -> None:
        self._serve = serve
        self.listener = eventlet.listen(('127.0.0.1', 0))
        host, port = self.listener.getsockname()
        self.address = f'{host}:{port}'
        self._acceptor: GreenThread = eventlet.spawn(self._accept)
        self._threads: list[GreenThread] = []
        # Keeps the port from other processes while connections are refused.
        self._port_holder: socket.socket | None = None

    def refuse_connections(self) -> None:
        """Refuse new connections; open ones stay."""
        self._acceptor.kill()
        self.listener.close()
        if self._port_holder is None:
            self._port_holder = _hold_port(self.address)

    def close(self) -> None:
        """Refuse new connections and end the threads of the open ones."""
        self.refuse_connections()
        if self._port_holder is not None:
            self._port_holder.close()
        self.end_connections()

    def end_connections(self) -> None:
        """End the threads of the open connections; new ones work."""
        for thread in self._threads:
            thread.kill()
        self._threads.clear()

    def crash(self) -> None:
        """Refuse connections and end the open ones, but the caller's own."""
        self.refuse_connections()
        own = eventlet.getcurrent()
        for thread in self._threads:
            if thread is not own:
                thread.kill()
        self._threads = [thread for thread in self._threads if thread is own]

    def listen_again(self) -> None:
        """Accept connections at the same address, after a crash."""
        if self._port_holder is not None:
            self._port_holder.close()
            self._port_holder = None
        host, _, port = self.address.rpartition(':')
        self.listener = eventlet.listen((host, int(port)))
        self._acceptor = eventlet.spawn(self._accept)

    def _accept(self) -> None:
        while True:
            sock, _ = self.listener.accept()
            self._threads.append(eventlet.spawn(self._serve, sock))


def receive_head(sock: socket.socket) -> bytes:
    """Read a head and what comes with it; b'' if there is none."""
    head = b''
    while b'\r\n\r\n' not in head:
        data = sock.recv(1024)
        if not data:
            return b''
        head += data
    return head


def _hold_port(address: str) -> socket.socket:
    """Bind a port without listening, so that its connections are refused."""
    host, _, port = address.rpartition(':')
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, int(port)))
    return sock
