"""A TCP relay that simulates network faults between two endpoints.

A partition resets connections or drops bytes in one or both directions. A
middlebox that lost the state of a connection drops its bytes permanently. A
congested link delays them. A path that stands still for a while holds them.
"""

import contextlib
import enum
import socket
import struct

import attrs
import eventlet
from eventlet.event import Event
from eventlet.greenthread import GreenThread

HOST = '127.0.0.1'
CHUNK_BYTES = 65_536
# More connections than fit into the queue of a listener with a backlog of 0.
QUEUE_FILLERS = 4
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)


@enum.unique
class RelayState(enum.Enum):
    """How the relay treats new connections."""

    OPEN = 'open'
    CUT = 'cut'
    BLACKHOLE = 'blackhole'
    REFUSING = 'refusing'
    HANGING = 'hanging'


@attrs.define(eq=False)
class _Pump:
    """One direction of a connection."""

    source: socket.socket
    sink: socket.socket
    delay_s: float = 0.0
    is_silent: bool = False
    # While the path holds all bytes, the event of their delivery.
    held: Event | None = None
    thread: GreenThread | None = None

    def run(self) -> None:
        """Copy bytes until an endpoint closes."""
        try:
            self._copy()
        except OSError:
            return

    def _copy(self) -> None:
        chunk = self.source.recv(CHUNK_BYTES)
        while chunk:
            if self.delay_s:
                eventlet.sleep(self.delay_s)
            self._wait_while_held()
            if not self.is_silent:
                self.sink.sendall(chunk)
            chunk = self.source.recv(CHUNK_BYTES)
        self._wait_while_held()
        if not self.is_silent:
            self.sink.shutdown(socket.SHUT_WR)

    def _wait_while_held(self) -> None:
        while self.held is not None:
            self.held.wait()


@attrs.define(eq=False)
class _Connection:
    """One relayed connection and its two directions."""

    client_socket: socket.socket
    server_socket: socket.socket
    to_server: _Pump = attrs.field(init=False)
    to_client: _Pump = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.to_server = _Pump(self.client_socket, self.server_socket)
        self.to_client = _Pump(self.server_socket, self.client_socket)

    @property
    def is_silent(self) -> bool:
        """Whether both directions drop all bytes."""
        return self.to_server.is_silent and self.to_client.is_silent

    def silence(self) -> None:
        """Permanently drop the bytes of both directions."""
        self.to_server.is_silent = True
        self.to_client.is_silent = True

    def hold(self, held: Event | None) -> None:
        """Hold the bytes of both directions, or (None) deliver them."""
        self.to_server.held = held
        self.to_client.held = held

    def run(self) -> None:
        """Copy in both directions until both have ended."""
        for pump in (self.to_server, self.to_client):
            pump.thread = eventlet.spawn(pump.run)
        for pump in (self.to_server, self.to_client):
            if pump.thread is not None:
                pump.thread.wait()

    def reset(self) -> None:
        """Stop copying and reset the connection to both endpoints."""
        for pump in (self.to_server, self.to_client):
            if pump.thread is not None:
                pump.thread.kill()
        for endpoint in (self.client_socket, self.server_socket):
            # The endpoint may have closed the socket concurrently.
            with contextlib.suppress(OSError):
                endpoint.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
                )
            endpoint.close()


class Relay:
    """Listens on one address and relays each connection to another."""

    def __init__(self, to_host: str, to_port: int, port: int = 0) -> None:
        self._server_address = (to_host, to_port)
        self.to_port = to_port
        self._state = RelayState.OPEN
        self._delay_s = 0.0
        self._held: Event | None = None
        self._connections: set[_Connection] = set()
        self._listener = eventlet.listen((HOST, port))
        self._port = self._listener.getsockname()[1]
        self._acceptor: GreenThread | None = None
        # The listener and the connections that keep its queue full.
        self._queued: list[socket.socket] = []
        self.address = f'{HOST}:{self._port}'

    @property
    def state(self) -> RelayState:
        """How the relay treats new connections."""
        return self._state

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    @property
    def silent(self) -> int:
        """Number of open connections that drop all bytes."""
        return sum(connection.is_silent for connection in self._connections)

    def start(self) -> None:
        """Start relaying connections."""
        self._acceptor = eventlet.spawn(self._accept_connections)

    def close(self) -> None:
        """Stop listening and reset all connections."""
        self.cut()

    def reset(self) -> None:
        """Reset open connections; new ones work."""
        for connection in tuple(self._connections):
            connection.reset()

    def cut(self) -> None:
        """Reset open connections and refuse new ones."""
        self._stop_listening()
        self.reset()
        self._state = RelayState.CUT

    def silence(self) -> None:
        """Permanently drop bytes on open connections; new ones work."""
        for connection in self._connections:
            connection.silence()

    def deafen(self) -> None:
        """Drop bytes from the server on open connections, one way only."""
        for connection in self._connections:
            connection.to_client.is_silent = True

    def blackhole(self) -> None:
        """Drop the bytes on open and new connections."""
        self._resume_listening()
        self._state = RelayState.BLACKHOLE
        self.silence()

    def refuse(self) -> None:
        """Refuse new connections; open ones live on."""
        self._stop_listening()
        self._state = RelayState.REFUSING

    def hang(self) -> None:
        """Drop the bytes on open connections; new ones are never established.

        The kernel drops the opening packets to a listener whose queue is full,
        as a partition does.
        """
        self._stop_listening()
        self.silence()
        self._state = RelayState.HANGING
        full = eventlet.listen((HOST, self._port), backlog=0)
        self._queued = [full]
        for _ in range(QUEUE_FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((HOST, self._port))
            self._queued.append(filler)

    def delay(self, delay_s: float) -> None:
        """Delay each chunk on open and new connections."""
        self._delay_s = delay_s
        for connection in self._connections:
            self._apply_delay(connection)

    def hold(self) -> None:
        """Hold all bytes both ways, without losing any, until `release`.

        New connections are established.
        """
        if self._held is None:
            self._held = Event()
        self._apply_hold()

    def release(self) -> None:
        """Deliver all bytes that are held."""
        held = self._held
        self._held = None
        self._apply_hold()
        if held is not None:
            held.send()

    def restore(self) -> None:
        """Relay new connections again, and remove the delay."""
        self._resume_listening()
        self._state = RelayState.OPEN
        self.delay(0)

    def _apply_delay(self, connection: _Connection) -> None:
        connection.to_server.delay_s = self._delay_s
        connection.to_client.delay_s = self._delay_s

    def _apply_hold(self) -> None:
        for connection in self._connections:
            connection.hold(self._held)

    def _accept_connections(self) -> None:
        while True:
            client_socket, _ = self._listener.accept()
            eventlet.spawn(self._relay_connection, client_socket)

    def _relay_connection(self, client_socket: socket.socket) -> None:
        try:
            server_socket = eventlet.connect(self._server_address)
        except OSError:
            client_socket.close()
            return
        connection = _Connection(client_socket, server_socket)
        if self._state is RelayState.BLACKHOLE:
            connection.silence()
        self._apply_delay(connection)
        connection.hold(self._held)
        self._connections.add(connection)
        connection.run()
        self._connections.discard(connection)
        client_socket.close()
        server_socket.close()

    def _stop_listening(self) -> None:
        self._drop_queue()
        if self._acceptor is not None:
            self._acceptor.kill()
            self._acceptor = None
            self._listener.close()

    def _resume_listening(self) -> None:
        self._drop_queue()
        if self._acceptor is None:
            self._listener = eventlet.listen((HOST, self._port))
            self._acceptor = eventlet.spawn(self._accept_connections)

    def _drop_queue(self) -> None:
        for queued in self._queued:
            queued.close()
        self._queued.clear()
