"""A TCP relay that can be cut, silenced and restored.

It stands for what lies between two ends: a partition resets connections,
and a middlebox that has lost track of a connection swallows its bytes.
"""

import socket
import struct
from typing import Literal

import attrs
import eventlet
from eventlet.greenthread import GreenThread

from dandelionyoke_standins._http import (
    HOST,
    Call,
    Reply,
    Route,
    Server,
    address_of,
    announce,
)

LinkState = Literal['open', 'cut', 'blackhole']

CHUNK_BYTES = 65_536
CONNECT_TIMEOUT_S = 5.0
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)


@attrs.frozen
class LinkSettings:
    """Where the link leads, and the ports that it listens on."""

    to_host: str
    to_port: int
    port: int = 0
    control_port: int = 0


@attrs.define(eq=False)
class _Relayed:
    """One connection through the link, its two ends and their pumps."""

    near: socket.socket
    far: socket.socket
    is_silent: bool = False
    pumps: list[GreenThread] = attrs.field(factory=list)

    def start(self) -> None:
        """Pump both ways."""
        self.pumps = [
            eventlet.spawn(self._pump, self.near, self.far),
            eventlet.spawn(self._pump, self.far, self.near),
        ]

    def reset(self) -> None:
        """Stop the pumps, and let both ends see a reset."""
        for pump in self.pumps:
            pump.kill()
        for end in (self.near, self.far):
            end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
            end.close()

    def wait(self) -> None:
        """Wait until both ways have ended."""
        for pump in self.pumps:
            pump.wait()

    def _pump(self, source: socket.socket, sink: socket.socket) -> None:
        try:
            self._copy(source, sink)
        except OSError:
            return

    def _copy(self, source: socket.socket, sink: socket.socket) -> None:
        part = source.recv(CHUNK_BYTES)
        while part:
            if not self.is_silent:
                sink.sendall(part)
            part = source.recv(CHUNK_BYTES)
        if not self.is_silent:
            sink.shutdown(socket.SHUT_WR)


class Link:
    """Owns the relay's sockets, and takes commands over HTTP.

    `POST /cut` resets what is open and refuses what is new. `POST /silence`
    swallows the bytes of what is open, for good; what is new works.
    `POST /blackhole` does so with what is open and what is new. `POST
    /restore` lets new connections through again. `GET /state` tells.
    """

    def __init__(self, settings: LinkSettings) -> None:
        self._settings = settings
        self._state: LinkState = 'open'
        self._relayed: set[_Relayed] = set()
        self._listener = eventlet.listen((HOST, settings.port))
        self._port = self._listener.getsockname()[1]
        self._acceptor: GreenThread | None = None
        self.address = address_of(self._listener)
        self._control = Server(
            [
                Route('POST', '/cut', self._cut),
                Route('POST', '/silence', self._silence),
                Route('POST', '/blackhole', self._blackhole),
                Route('POST', '/restore', self._restore),
                Route('GET', '/state', self._tell),
            ],
            settings.control_port,
        )

    def start(self) -> None:
        """Relay, and take commands."""
        self._control.start()
        self._acceptor = eventlet.spawn(self._accept)

    def announce_control(self) -> None:
        """Print the address that takes commands."""
        announce(f'CONTROL {self._control.address}')

    def _accept(self) -> None:
        while True:
            near, _ = self._listener.accept()
            eventlet.spawn(self._relay, near)

    def _relay(self, near: socket.socket) -> None:
        there = (self._settings.to_host, self._settings.to_port)
        try:
            far = eventlet.connect(there)
        except OSError:
            near.close()
            return
        relayed = _Relayed(near, far, is_silent=self._state == 'blackhole')
        self._relayed.add(relayed)
        relayed.start()
        relayed.wait()
        self._relayed.discard(relayed)
        near.close()
        far.close()

    def _cut(self, call: Call) -> Reply:
        self._stop_listening()
        for relayed in tuple(self._relayed):
            relayed.reset()
        self._state = 'cut'
        return self._tell(call)

    def _silence(self, call: Call) -> Reply:
        for relayed in self._relayed:
            relayed.is_silent = True
        return self._tell(call)

    def _blackhole(self, call: Call) -> Reply:
        self._listen_again()
        self._state = 'blackhole'
        return self._silence(call)

    def _restore(self, call: Call) -> Reply:
        self._listen_again()
        self._state = 'open'
        return self._tell(call)

    def _tell(self, call: Call) -> Reply:
        silent = sum(relayed.is_silent for relayed in self._relayed)
        return Reply(
            {
                'state': self._state,
                'connections': len(self._relayed),
                'silent': silent,
            }
        )

    def _stop_listening(self) -> None:
        if self._acceptor is not None:
            self._acceptor.kill()
            self._acceptor = None
            self._listener.close()

    def _listen_again(self) -> None:
        if self._acceptor is None:
            self._listener = eventlet.listen((HOST, self._port))
            self._acceptor = eventlet.spawn(self._accept)
