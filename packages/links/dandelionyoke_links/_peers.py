"""Links between entries: CBOR messages over WebSocket.

A link is symmetric once it is up, whoever opened it. Both ends prove that
they know the fleet's secret before any message counts.
"""

import contextlib
import errno
import hashlib
import hmac
import secrets
from collections.abc import Callable, Mapping
from typing import Any
from urllib.parse import urlsplit

import attrs
import cbor2
from eventlet import queue, sleep, spawn, spawn_n
from eventlet.green import socket
from websockets.client import ClientProtocol
from websockets.exceptions import WebSocketException
from websockets.frames import Frame, Opcode
from websockets.http11 import Request
from websockets.protocol import Protocol, State
from websockets.server import ServerProtocol
from websockets.uri import parse_uri

from dandelionyoke_core import (
    CodecError,
    Event,
    InstanceId,
    PeerConnected,
    PeerDisconnected,
    PeerMessage,
    PeerMessageArrived,
    message_from_mapping,
    message_to_mapping,
)
from dandelionyoke_links._sockets import set_options

MAX_FRAME_BYTES = 1_048_576
READ_BYTES = 65_536
CONNECT_TIMEOUT_S = 2.0
HANDSHAKE_TIMEOUT_S = 5.0
NONCE_BYTES = 16
OUT_OF_ROOM = frozenset((errno.EMFILE, errno.ENFILE, errno.ECONNABORTED))
ACCEPT_PAUSE_S = 0.05

# Messages waiting for a slow peer. Beyond it they are dropped: everything
# shared is a versioned record that is offered again on the next link.
MAX_OUTBOX = 1024

_BROKEN = (OSError, WebSocketException, cbor2.CBORDecodeError, CodecError)

Emit = Callable[[Event], None]


class LinkError(OSError):
    """The other end of a link does not follow the protocol."""


@attrs.frozen
class PeerSettings:
    """Who this entry is towards its peers; the secret is never logged."""

    instance_id: InstanceId
    secret: bytes = attrs.field(repr=False)


class _Channel:
    """WebSocket frames with CBOR mappings over one green socket."""

    def __init__(self, sock: socket.socket, protocol: Protocol) -> None:
        self._sock = sock
        self._protocol = protocol
        # One read can end the opening handshake and hold frames as well.
        self._frames: list[Frame] = []

    def open_client(self) -> None:
        """Send the opening handshake and wait for its answer."""
        if isinstance(self._protocol, ClientProtocol):
            self._protocol.send_request(self._protocol.connect())
        self.flush()
        while self._protocol.state is State.CONNECTING:
            self._feed()
        if self._protocol.handshake_exc is not None:
            raise LinkError(str(self._protocol.handshake_exc))

    def open_server(self) -> None:
        """Wait for the opening handshake and answer it."""
        while self._protocol.state is State.CONNECTING:
            for event in self._feed():
                if isinstance(event, Request) and isinstance(
                    self._protocol, ServerProtocol
                ):
                    self._protocol.send_response(self._protocol.accept(event))
            self.flush()

    def send(self, mapping: Mapping[str, Any]) -> None:
        """Send one mapping."""
        self._protocol.send_binary(cbor2.dumps(dict(mapping)))
        self.flush()

    def receive(self) -> list[Mapping[str, Any]]:
        """Wait for whole mappings; return those that have arrived.

        Raises:
            LinkError: the link has ended or a frame is no mapping.
        """
        while not self._frames:
            self._feed()
            self.flush()
        frames = tuple(self._frames)
        self._frames.clear()
        return [_mapping(frame) for frame in frames]

    def flush(self) -> None:
        """Send what the protocol has to say."""
        for piece in self._protocol.data_to_send():
            if piece:
                self._sock.sendall(piece)

    def stop(self) -> None:
        """Make both tasks of the link see its end.

        Closing here would leave a reader asleep on the old descriptor; the
        task that reads closes the socket when it wakes.
        """
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Close the socket, which no other task waits on any more."""
        self._sock.close()

    def set_timeout(self, timeout_s: float | None) -> None:
        """Bound each wait on the socket."""
        self._sock.settimeout(timeout_s)

    def _feed(self) -> list[Any]:
        piece = self._sock.recv(READ_BYTES)
        if not piece:
            raise LinkError('the peer closed the link')
        self._protocol.receive_data(piece)
        if self._protocol.parser_exc is not None:
            raise LinkError(str(self._protocol.parser_exc))
        events = self._protocol.events_received()
        self._frames.extend(
            event
            for event in events
            if isinstance(event, Frame) and event.opcode is Opcode.BINARY
        )
        return list(events)


@attrs.define(eq=False)
class _Link:
    """One proven link: a task that reads and a task that writes."""

    peer_id: InstanceId
    channel: _Channel
    outbox: queue.LightQueue = attrs.field(
        factory=lambda: queue.LightQueue(MAX_OUTBOX)
    )

    def write(self) -> None:
        """Send what is put in the outbox until the link breaks."""
        try:
            while True:
                self.channel.send(message_to_mapping(self.outbox.get()))
        except _BROKEN:
            self.channel.stop()


class PeerHub:
    """Owns the links of this entry and the socket that takes new ones."""

    def __init__(self, settings: PeerSettings, emit: Emit) -> None:
        self._settings = settings
        self._emit = emit
        self._links: dict[InstanceId, list[_Link]] = {}

    def serve(self, listener: socket.socket) -> None:
        """Take links from peers until the listener is closed."""
        while True:
            try:
                sock, _ = listener.accept()
            except OSError as error:
                if error.errno in OUT_OF_ROOM:
                    # Descriptors in use come back.
                    sleep(ACCEPT_PAUSE_S)
                    continue
                return
            spawn_n(self._accept, sock)

    def connect(self, peer_id: InstanceId, address: str) -> None:
        """Open a link to a peer and read it until it ends."""
        try:
            channel = _dial(address)
        except _BROKEN as error:
            self._emit(PeerDisconnected(peer_id, str(error)))
            return
        self._run(channel, dialled=True, expected=peer_id)

    def disconnect(self, peer_id: InstanceId) -> None:
        """Close the links to a peer."""
        for link in tuple(self._links.get(peer_id, ())):
            link.channel.stop()

    def send(self, peer_id: InstanceId, message: PeerMessage) -> bool:
        """Queue a message; False if there is no link or no room."""
        links = self._links.get(peer_id)
        if not links:
            return False
        try:
            links[-1].outbox.put_nowait(message)
        except queue.Full:
            return False
        return True

    def _accept(self, sock: socket.socket) -> None:
        protocol = ServerProtocol(max_size=MAX_FRAME_BYTES)
        channel = _Channel(sock, protocol)
        channel.set_timeout(HANDSHAKE_TIMEOUT_S)
        try:
            set_options(sock)
            channel.open_server()
        except _BROKEN:
            channel.close()
            return
        self._run(channel, dialled=False)

    def _run(
        self,
        channel: _Channel,
        *,
        dialled: bool,
        expected: InstanceId | None = None,
    ) -> None:
        try:
            peer_id = self._prove(channel, dialled=dialled)
        except _BROKEN as error:
            channel.close()
            if expected is not None:
                self._emit(PeerDisconnected(expected, str(error)))
            return
        link = _Link(peer_id, channel)
        self._add(link)
        writer = spawn(link.write)
        cause = self._read(link)
        writer.kill()
        channel.close()
        self._drop(link, cause)

    def _read(self, link: _Link) -> str:
        """Emit each message; return why the link ended."""
        link.channel.set_timeout(None)
        try:
            while True:
                for mapping in link.channel.receive():
                    message = message_from_mapping(mapping)
                    self._emit(PeerMessageArrived(link.peer_id, message))
        except _BROKEN as error:
            return str(error)

    def _add(self, link: _Link) -> None:
        links = self._links.setdefault(link.peer_id, [])
        links.append(link)
        if len(links) == 1:
            self._emit(PeerConnected(link.peer_id))

    def _drop(self, link: _Link, cause: str) -> None:
        links = self._links[link.peer_id]
        links.remove(link)
        if not links:
            self._links.pop(link.peer_id)
            self._emit(PeerDisconnected(link.peer_id, cause))

    def _prove(self, channel: _Channel, *, dialled: bool) -> InstanceId:
        """Prove that this end knows the secret, and check the other one.

        Each proof covers both nonces, the sender's name and who dialled, so
        that a proof can be neither replayed nor sent back to its maker.
        """
        channel.set_timeout(HANDSHAKE_TIMEOUT_S)
        nonce = secrets.token_bytes(NONCE_BYTES)
        own_id = self._settings.instance_id
        channel.send({'nonce': nonce, 'instance_id': own_id})
        hello, *rest = channel.receive()
        nonces = _ordered(nonce, hello.get('nonce'), own_first=dialled)
        peer_id = InstanceId(str(hello.get('instance_id')))
        channel.send({'proof': self._proof(nonces, own_id, dialled=dialled)})
        answer = rest[0] if rest else channel.receive()[0]
        expected = self._proof(nonces, peer_id, dialled=not dialled)
        if not hmac.compare_digest(expected, _bytes(answer.get('proof'))):
            raise LinkError('the peer does not know the secret')
        return peer_id

    def _proof(
        self, nonces: bytes, instance_id: InstanceId, *, dialled: bool
    ) -> bytes:
        side = b'dialled' if dialled else b'accepted'
        signed = b'\x00'.join((nonces, side, instance_id.encode()))
        return hmac.digest(self._settings.secret, signed, hashlib.sha256)


def _dial(address: str) -> _Channel:
    parts = urlsplit(address)
    sock = socket.create_connection(
        (parts.hostname, parts.port), timeout=CONNECT_TIMEOUT_S
    )
    set_options(sock)
    protocol = ClientProtocol(parse_uri(address), max_size=MAX_FRAME_BYTES)
    channel = _Channel(sock, protocol)
    channel.set_timeout(HANDSHAKE_TIMEOUT_S)
    channel.open_client()
    return channel


def _ordered(own: bytes, other: Any, *, own_first: bool) -> bytes:
    sent = _bytes(other)
    return own + sent if own_first else sent + own


def _bytes(sent: Any) -> bytes:
    if not isinstance(sent, bytes):
        raise LinkError('the peer sent no proof')
    return sent


def _mapping(frame: Frame) -> Mapping[str, Any]:
    decoded = cbor2.loads(bytes(frame.data))
    if not isinstance(decoded, dict):
        raise LinkError('a frame is no mapping')
    return decoded
