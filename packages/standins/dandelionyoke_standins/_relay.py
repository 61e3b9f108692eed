"""A TCP relay that misbehaves as the network between two ends does.

A partition resets connections or swallows what passes, one way or both; a
middlebox that has lost track of a connection swallows its bytes for good; a
full link delays them.
"""

import contextlib
import enum
import socket
import struct

import attrs
import eventlet
from eventlet.greenthread import GreenThread

HOST = '127.0.0.1'
CHUNK_BYTES = 65_536
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)


@enum.unique
class RelayState(enum.Enum):
    """What happens to new connections."""

    OPEN = 'open'
    CUT = 'cut'
    BLACKHOLE = 'blackhole'


@attrs.define(eq=False)
class _Pump:
    """One way of a connection."""

    source: socket.socket
    sink: socket.socket
    delay_s: float = 0.0
    is_silent: bool = False
    thread: GreenThread | None = None

    def run(self) -> None:
        """Pass bytes on until an end closes."""
        try:
            self._copy()
        except OSError:
            return

    def _copy(self) -> None:
        part = self.source.recv(CHUNK_BYTES)
        while part:
            if self.delay_s:
                eventlet.sleep(self.delay_s)
            if not self.is_silent:
                self.sink.sendall(part)
            part = self.source.recv(CHUNK_BYTES)
        if not self.is_silent:
            self.sink.shutdown(socket.SHUT_WR)


@attrs.define(eq=False)
class _Relayed:
    """One connection through the relay and its two ways."""

    near: socket.socket
    far: socket.socket
    there: _Pump = attrs.field(init=False)
    back: _Pump = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.there = _Pump(self.near, self.far)
        self.back = _Pump(self.far, self.near)

    @property
    def is_silent(self) -> bool:
        """Whether neither way passes anything on."""
        return self.there.is_silent and self.back.is_silent

    def silence(self) -> None:
        """Swallow the bytes of both ways for good."""
        self.there.is_silent = True
        self.back.is_silent = True

    def run(self) -> None:
        """Pump both ways until both have ended."""
        for pump in (self.there, self.back):
            pump.thread = eventlet.spawn(pump.run)
        for pump in (self.there, self.back):
            if pump.thread is not None:
                pump.thread.wait()

    def reset(self) -> None:
        """Stop the pumps, and let both ends see a reset."""
        for pump in (self.there, self.back):
            if pump.thread is not None:
                pump.thread.kill()
        for end in (self.near, self.far):
            # An end may have been closed at the same moment.
            with contextlib.suppress(OSError):
                end.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
                )
            end.close()


class Relay:
    """Listens at one address and passes each connection on to another."""

    def __init__(self, to_host: str, to_port: int, port: int = 0) -> None:
        self._there = (to_host, to_port)
        self.to_port = to_port
        self._state = RelayState.OPEN
        self._delay_s = 0.0
        self._relayed: set[_Relayed] = set()
        self._listener = eventlet.listen((HOST, port))
        self._port = self._listener.getsockname()[1]
        self._acceptor: GreenThread | None = None
        self.address = f'{HOST}:{self._port}'

    @property
    def state(self) -> RelayState:
        """What happens to new connections."""
        return self._state

    @property
    def connections(self) -> int:
        """How many connections are open."""
        return len(self._relayed)

    @property
    def silent(self) -> int:
        """How many of the open connections are silent."""
        return sum(relayed.is_silent for relayed in self._relayed)

    def start(self) -> None:
        """Pass connections on."""
        self._acceptor = eventlet.spawn(self._accept)

    def close(self) -> None:
        """End it with all its connections."""
        self.cut()

    def reset(self) -> None:
        """Reset what is open; what is new works."""
        for relayed in tuple(self._relayed):
            relayed.reset()

    def cut(self) -> None:
        """Reset what is open and refuse what is new."""
        self._stop_listening()
        self.reset()
        self._state = RelayState.CUT

    def silence(self) -> None:
        """Swallow the bytes of what is open, for good; what is new works."""
        for relayed in self._relayed:
            relayed.silence()

    def deafen(self) -> None:
        """Swallow what the far end says on what is open, one way only."""
        for relayed in self._relayed:
            relayed.back.is_silent = True

    def blackhole(self) -> None:
        """Swallow the bytes of what is open and of what is new."""
        self._listen_again()
        self._state = RelayState.BLACKHOLE
        self.silence()

    def delay(self, delay_s: float) -> None:
        """Hold each piece up for so long, also of what is new."""
        self._delay_s = delay_s
        for relayed in self._relayed:
            self._slow_down(relayed)

    def restore(self) -> None:
        """Let new connections through again, without delay."""
        self._listen_again()
        self._state = RelayState.OPEN
        self.delay(0)

    def _slow_down(self, relayed: _Relayed) -> None:
        relayed.there.delay_s = self._delay_s
        relayed.back.delay_s = self._delay_s

    def _accept(self) -> None:
        while True:
            near, _ = self._listener.accept()
            eventlet.spawn(self._relay, near)

    def _relay(self, near: socket.socket) -> None:
        try:
            far = eventlet.connect(self._there)
        except OSError:
            near.close()
            return
        relayed = _Relayed(near, far)
        if self._state is RelayState.BLACKHOLE:
            relayed.silence()
        self._slow_down(relayed)
        self._relayed.add(relayed)
        relayed.run()
        self._relayed.discard(relayed)
        near.close()
        far.close()

    def _stop_listening(self) -> None:
        if self._acceptor is not None:
            self._acceptor.kill()
            self._acceptor = None
            self._listener.close()

    def _listen_again(self) -> None:
        if self._acceptor is None:
            self._listener = eventlet.listen((HOST, self._port))
            self._acceptor = eventlet.spawn(self._accept)
