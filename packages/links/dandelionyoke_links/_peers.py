"""Links between processes: CBOR messages over WebSocket.

An established link is symmetric, whichever end opened it. Both ends prove
that they know the fleet's shared secret before any message is accepted.
"""

import contextlib
import errno
import hashlib
import hmac
import secrets
from collections.abc import Callable, Mapping
from typing import Any

import attrs
import cbor2
from eventlet import queue, sleep, spawn, spawn_n
from eventlet.green import socket
from eventlet.greenthread import GreenThread
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
from dandelionyoke_links._sockets import (
    PATIENT,
    READER,
    SilenceLimits,
    limit_silence,
    set_socket_options,
)

MAX_FRAME_BYTES = 1_048_576
READ_SIZE_BYTES = 65_536
# What a peer may send until it has proved that it knows the secret, and how
# much of it is read at once.
MAX_HANDSHAKE_BYTES = 65_536
HANDSHAKE_READ_BYTES = 4096
CONNECT_TIMEOUT_S = 2.0
HANDSHAKE_TIMEOUT_S = 5.0
NONCE_BYTES = 16
# The path of a connection that carries one call instead of a link's messages.
CALL_PATH = '/call'
RETRYABLE_ACCEPT_ERRORS = frozenset(
    (errno.EMFILE, errno.ENFILE, errno.ECONNABORTED)
)
ACCEPT_RETRY_DELAY_S = 0.05

# Maximum number of messages queued for a slow peer. Further ones are dropped:
# all shared state is versioned records, offered again on the next link.
MAX_QUEUED_MESSAGES = 1024

_LINK_ERRORS = (OSError, WebSocketException, cbor2.CBORDecodeError, CodecError)
# Of an address that is none, as another writer of the store may leave it.
_ADDRESS_ERRORS = (OverflowError, TypeError, ValueError)
# A message with a text or a number that CBOR does not hold.
_SEND_ERRORS = (*_LINK_ERRORS, cbor2.CBOREncodeError, ValueError, TypeError)

Emit = Callable[[Event], None]


class LinkError(OSError):
    """The peer closed the link or violated the protocol."""


@attrs.frozen
class PeerSettings:
    """Own id and the shared secret, which is never logged."""

    instance_id: InstanceId
    secret: bytes = attrs.field(repr=False)


class _Channel:
    """WebSocket connection with CBOR mappings over one green socket."""

    def __init__(self, sock: socket.socket, protocol: Protocol) -> None:
        self._sock = sock
        self._protocol = protocol
        self.path = ''
        # The read that completes the opening handshake may also contain frames.
        self._frames: list[Frame] = []
        self._is_trusted = False
        self._left_handshake_bytes = MAX_HANDSHAKE_BYTES

    def open_client(self) -> None:
        """Send the opening handshake and wait for the response."""
        if isinstance(self._protocol, ClientProtocol):
            self._protocol.send_request(self._protocol.connect())
        self.flush()
        while self._protocol.state is State.CONNECTING:
            self._receive_data()
        if self._protocol.handshake_exc is not None:
            raise LinkError(str(self._protocol.handshake_exc))

    def open_server(self) -> None:
        """Wait for the opening handshake and respond to it."""
        while self._protocol.state is State.CONNECTING:
            for event in self._receive_data():
                if isinstance(event, Request) and isinstance(
                    self._protocol, ServerProtocol
                ):
                    self.path = event.path
                    self._protocol.send_response(self._protocol.accept(event))
            self.flush()

    def send(self, mapping: Mapping[str, Any]) -> None:
        """Send one mapping as a binary frame."""
        self._protocol.send_binary(cbor2.dumps(dict(mapping)))
        self.flush()

    def receive(self) -> list[Mapping[str, Any]]:
        """Wait for at least one mapping; return all that have arrived.

        Raises:
            LinkError: the link has ended or a frame is not a mapping.
        """
        self._await_frames()
        frames = tuple(self._frames)
        self._frames.clear()
        return [_decode_frame(frame) for frame in frames]

    def receive_one(self) -> Mapping[str, Any]:
        """Wait for one mapping; those that came with it are kept.

        Raises:
            LinkError: the link has ended or the frame is not a mapping.
        """
        self._await_frames()
        return _decode_frame(self._frames.pop(0))

    def trust(self) -> None:
        """Take what comes without a bound; the peer has proved itself."""
        self._is_trusted = True

    def flush(self) -> None:
        """Write the pending output of the protocol to the socket."""
        for data in self._protocol.data_to_send():
            if data:
                self._sock.sendall(data)

    def shut_down(self) -> None:
        """Shut the socket down so that both tasks of the link end.

        Closing it here would leave the reader blocked on the old descriptor;
        the reading task closes the socket when it wakes up.
        """
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Close the socket; no other task may still wait on it."""
        self._sock.close()

    def set_timeout(self, timeout_s: float | None) -> None:
        """Set the timeout of each wait on the socket."""
        self._sock.settimeout(timeout_s)

    def limit_silence(self, limits: SilenceLimits) -> None:
        """Set how long the peer may be silent from now on."""
        # The next read reports a connection that has failed.
        with contextlib.suppress(OSError):
            limit_silence(self._sock, limits)

    def _await_frames(self) -> None:
        while not self._frames:
            self._receive_data()
            self.flush()

    def _receive_data(self) -> list[Any]:
        data = self._receive_part()
        self._protocol.receive_data(data)
        if self._protocol.parser_exc is not None:
            raise LinkError(str(self._protocol.parser_exc))
        events = self._protocol.events_received()
        self._frames.extend(
            event
            for event in events
            if isinstance(event, Frame) and event.opcode is Opcode.BINARY
        )
        return list(events)

    def _receive_part(self) -> bytes:
        """Read some bytes; others have their turn however many there are.

        Raises:
            LinkError: the peer has closed, or sends too much before its proof.
        """
        max_bytes = READ_SIZE_BYTES
        if not self._is_trusted:
            max_bytes = HANDSHAKE_READ_BYTES
        data = bytes(self._sock.recv(max_bytes))
        if not data:
            raise LinkError('the peer closed the link')
        if not self._is_trusted:
            self._left_handshake_bytes -= len(data)
            if self._left_handshake_bytes < 0:
                raise LinkError('the peer sent too much before its proof')
        if len(data) >= HANDSHAKE_READ_BYTES:
            sleep(0)
        return data


@attrs.define(eq=False)
class _Link:
    """Authenticated link, with one task that reads and one that writes."""

    peer_id: InstanceId
    channel: _Channel
    outbox: queue.LightQueue = attrs.field(
        factory=lambda: queue.LightQueue(MAX_QUEUED_MESSAGES)
    )

    def send_queued(self) -> None:
        """Send queued messages until the link fails."""
        try:
            while True:
                self.channel.send(message_to_mapping(self.outbox.get()))
        except _SEND_ERRORS:
            self.channel.shut_down()


class CallChannel:
    """Authenticated connection to a peer that carries one call."""

    def __init__(self, peer_id: InstanceId, channel: _Channel) -> None:
        channel.limit_silence(PATIENT)
        self.peer_id = peer_id
        self._channel = channel
        self._received: list[PeerMessage] = []

    def send(
        self, message: PeerMessage, timeout_s: float | None = None
    ) -> None:
        """Send a message; blocks while the peer does not read.

        Raises:
            LinkError: the channel has ended, or the peer read nothing for
                `timeout_s`.
        """
        # That of the proof would end a call whose peer is silent.
        self._channel.set_timeout(timeout_s)
        try:
            self._channel.send(message_to_mapping(message))
        except _SEND_ERRORS as error:
            raise LinkError(
                f'cannot send to {self.peer_id}: {error}'
            ) from error

    def receive(self, timeout_s: float | None) -> PeerMessage:
        """Return the next message.

        Raises:
            LinkError: the channel has ended or a message is unknown.
            TimeoutError: none arrived within `timeout_s`.
        """
        if not self._received:
            self._channel.set_timeout(timeout_s)
            try:
                self._received.extend(
                    message_from_mapping(mapping)
                    for mapping in self._channel.receive()
                )
            except _LINK_ERRORS as error:
                if isinstance(error, TimeoutError) and error.errno is None:
                    raise
                # The kernel's own time-out has an error number.
                cause = f'the channel to {self.peer_id} ended: {error}'
                raise LinkError(cause) from error
        return self._received.pop(0)

    def close(self) -> None:
        """End the channel; the peer gives up the call."""
        self._channel.shut_down()
        self._channel.close()


CallHandler = Callable[[CallChannel], None]


class PeerHub:
    """Links of this process to its peers, both dialled and accepted."""

    def __init__(self, settings: PeerSettings, emit: Emit) -> None:
        self._settings = settings
        self._emit = emit
        self._links: dict[InstanceId, list[_Link]] = {}
        self._handle_call: CallHandler | None = None

    def serve_calls(self, handler: CallHandler) -> None:
        """Set the handler of the channels that peers open for calls."""
        self._handle_call = handler

    def open_call(
        self, peer_id: InstanceId, address: str, timeout_s: float
    ) -> CallChannel:
        """Open a channel for one call.

        Raises:
            LinkError: the peer did not accept it in time.
        """
        try:
            channel = _dial(f'ws://{address}{CALL_PATH}', timeout_s, timeout_s)
            self._meet(channel, peer_id, timeout_s)
        except _LINK_ERRORS as error:
            raise LinkError(f'cannot reach {peer_id}: {error}') from error
        return CallChannel(peer_id, channel)

    def _meet(
        self, channel: _Channel, peer_id: InstanceId, timeout_s: float
    ) -> None:
        """Authenticate as the end that dialled; close the channel on failure.

        Raises:
            LinkError: another peer is there.
        """
        try:
            found_id = self._authenticate(channel, timeout_s, dialled=True)
        except BaseException:
            # For example, the caller disconnected and this task was killed.
            channel.close()
            raise
        if found_id != peer_id:
            channel.close()
            raise LinkError(f'the peer is {found_id}')

    def serve(self, listener: socket.socket) -> None:
        """Accept links from peers until the listener is closed."""
        while True:
            try:
                sock, _ = listener.accept()
            except OSError as error:
                if error.errno in RETRYABLE_ACCEPT_ERRORS:
                    # Descriptors are freed as other connections close.
                    sleep(ACCEPT_RETRY_DELAY_S)
                    continue
                return
            spawn_n(self._accept, sock)

    def connect(self, peer_id: InstanceId, address: str) -> None:
        """Open a link to a peer and emit its messages until it ends."""
        try:
            channel = _dial(address)
        except _LINK_ERRORS as error:
            self._emit(PeerDisconnected(peer_id, str(error)))
            return
        self._run_link(channel, dialled=True, expected=peer_id)

    def disconnect(self, peer_id: InstanceId) -> None:
        """Close the links to a peer."""
        for link in tuple(self._links.get(peer_id, ())):
            link.channel.shut_down()

    def send(self, peer_id: InstanceId, message: PeerMessage) -> bool:
        """Queue a message; return False without a link or if its queue is full."""
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
            set_socket_options(sock)
            channel.open_server()
        except _LINK_ERRORS:
            channel.close()
            return
        if channel.path == CALL_PATH:
            self._serve_call(channel)
        else:
            self._run_link(channel, dialled=False)

    def _serve_call(self, channel: _Channel) -> None:
        try:
            peer_id = self._authenticate(
                channel, HANDSHAKE_TIMEOUT_S, dialled=False
            )
        except _LINK_ERRORS:
            channel.close()
            return
        call = CallChannel(peer_id, channel)
        # Its peer stops reading while its own caller reads nothing.
        channel.limit_silence(READER)
        try:
            if self._handle_call is not None:
                self._handle_call(call)
        finally:
            call.close()

    def _run_link(
        self,
        channel: _Channel,
        *,
        dialled: bool,
        expected: InstanceId | None = None,
    ) -> None:
        try:
            peer_id = self._authenticate(
                channel, HANDSHAKE_TIMEOUT_S, dialled=dialled
            )
            if expected not in {None, peer_id}:
                raise LinkError(f'the peer is {peer_id}, not {expected}')
        except _LINK_ERRORS as error:
            channel.close()
            if expected is not None:
                self._emit(PeerDisconnected(expected, str(error)))
            return
        link = _Link(peer_id, channel)
        self._add(link)
        writer = spawn(link.send_queued)
        cause = 'a message could not be handled'
        try:
            cause = self._emit_messages(link)
        finally:
            self._end_link(link, writer, cause)

    def _end_link(self, link: _Link, writer: GreenThread, cause: str) -> None:
        writer.kill()
        link.channel.close()
        self._remove(link, cause)

    def _emit_messages(self, link: _Link) -> str:
        """Emit each received message; return why the link ended."""
        link.channel.set_timeout(None)
        try:
            while True:
                for mapping in link.channel.receive():
                    message = message_from_mapping(mapping)
                    self._emit(PeerMessageArrived(link.peer_id, message))
        except _LINK_ERRORS as error:
            return str(error)

    def _add(self, link: _Link) -> None:
        links = self._links.setdefault(link.peer_id, [])
        links.append(link)
        if len(links) == 1:
            self._emit(PeerConnected(link.peer_id))

    def _remove(self, link: _Link, cause: str) -> None:
        links = self._links[link.peer_id]
        links.remove(link)
        if not links:
            self._links.pop(link.peer_id)
            self._emit(PeerDisconnected(link.peer_id, cause))

    def _authenticate(
        self, channel: _Channel, timeout_s: float, *, dialled: bool
    ) -> InstanceId:
        """Authenticate both ends and return the id of the peer.

        Each proof covers both nonces, the sender's id and which end dialled,
        so that a proof can be neither replayed nor reflected to its sender.
        """
        channel.set_timeout(timeout_s)
        nonce = secrets.token_bytes(NONCE_BYTES)
        own_id = self._settings.instance_id
        channel.send({'nonce': nonce, 'instance_id': own_id})
        hello = channel.receive_one()
        nonces = _join_nonces(nonce, hello.get('nonce'), own_first=dialled)
        peer_id = InstanceId(str(hello.get('instance_id')))
        channel.send({'proof': self._proof(nonces, own_id, dialled=dialled)})
        answer = channel.receive_one()
        expected = self._proof(nonces, peer_id, dialled=not dialled)
        if not hmac.compare_digest(
            expected, _require_bytes(answer.get('proof'))
        ):
            raise LinkError('the peer does not know the secret')
        channel.trust()
        return peer_id

    def _proof(
        self, nonces: bytes, instance_id: InstanceId, *, dialled: bool
    ) -> bytes:
        side = b'dialled' if dialled else b'accepted'
        signed = b'\x00'.join((nonces, side, instance_id.encode()))
        return hmac.digest(self._settings.secret, signed, hashlib.sha256)


def _dial(
    address: str,
    connect_timeout_s: float = CONNECT_TIMEOUT_S,
    handshake_timeout_s: float = HANDSHAKE_TIMEOUT_S,
) -> _Channel:
    try:
        uri = parse_uri(address)
        sock = socket.create_connection(
            (uri.host, uri.port), timeout=connect_timeout_s
        )
    except _ADDRESS_ERRORS as error:
        raise LinkError(f'{address[:80]!r} is no address: {error}') from error
    set_socket_options(sock)
    protocol = ClientProtocol(uri, max_size=MAX_FRAME_BYTES)
    channel = _Channel(sock, protocol)
    channel.set_timeout(handshake_timeout_s)
    try:
        channel.open_client()
    except BaseException:
        channel.close()
        raise
    return channel


def _join_nonces(own: bytes, other: Any, *, own_first: bool) -> bytes:
    peer_nonce = _require_bytes(other)
    return own + peer_nonce if own_first else peer_nonce + own


def _require_bytes(field: Any) -> bytes:
    if not isinstance(field, bytes):
        raise LinkError('the peer sent no valid nonce or proof')
    return field


def _decode_frame(frame: Frame) -> Mapping[str, Any]:
    decoded = cbor2.loads(bytes(frame.data))
    if not isinstance(decoded, dict):
        raise LinkError('a frame is not a mapping')
    return decoded
