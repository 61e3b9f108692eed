"""Socket options and helpers that detect dead connections."""

import struct

import attrs
from eventlet import sleep
from eventlet.green import socket
from eventlet.hubs import trampoline

from dandelionyoke_links._clock import clock_s

# A sound peer may be silent for this long and then go on.
MAX_SILENCE_S = 2.5
# An idle connection is probed this long after its last packet, and then at
# this interval. While data is unacknowledged there are no probes.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
# A connection is given up after KEEPALIVE_IDLE_S + probes *
# KEEPALIVE_INTERVAL_S without a packet, or after the user timeout with
# unacknowledged data. The kernel counts the user timeout from the first
# retransmission, about 0.4 s after the data was sent on a fast path. On Linux
# it also ends probing, once a probe was sent.
KEEPALIVE_PROBES = 2
# Long enough to retransmit two consecutive lost packets.
USER_TIMEOUT_MS = 1000
# For data that must not arrive late.
URGENT_USER_TIMEOUT_MS = 400
# Each retransmission waits twice as long as the one before, so that the first
# one after a silence may come when the silence has lasted twice as long.
PATIENT_USER_TIMEOUT_MS = int(2 * MAX_SILENCE_S * 1000)
# With these, both ends of PATIENT come at the same time.
PATIENT_KEEPALIVE_PROBES = 4
# The kernel also counts the time in which a reader of an answer pauses.
READER_USER_TIMEOUT_MS = 10_000
LISTEN_BACKLOG = 1024
# A client that is refused before its request is read may send on. So much is
# read, and for so long, before the connection is closed.
MAX_DISCARDED_BYTES = 4_194_304
MAX_DISCARD_S = 2.0
DISCARD_READ_BYTES = 65_536

# SO_LINGER value (on, 0 s) that makes closing send a reset.
LINGER_RESET = struct.pack('ii', 1, 0)


@attrs.frozen
class SilenceLimits:
    """How long the kernel keeps a connection whose peer is silent."""

    user_timeout_ms: int
    keepalive_probes: int


# For calls of callers, which a sound peer that goes on must not lose.
PATIENT = SilenceLimits(PATIENT_USER_TIMEOUT_MS, PATIENT_KEEPALIVE_PROBES)
# For connections on which answers are written.
READER = SilenceLimits(READER_USER_TIMEOUT_MS, PATIENT_KEEPALIVE_PROBES)
# For what is repeated, and for idle connections.
BRIEF = SilenceLimits(USER_TIMEOUT_MS, KEEPALIVE_PROBES)
# For what must not arrive late.
URGENT = SilenceLimits(URGENT_USER_TIMEOUT_MS, KEEPALIVE_PROBES)


def set_socket_options(
    sock: socket.socket, limits: SilenceLimits = BRIEF
) -> None:
    """Disable Nagle's algorithm and detect unreachable peers."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)
    limit_silence(sock, limits)


def limit_silence(sock: socket.socket, limits: SilenceLimits) -> None:
    """Set how long the peer of a connection may be silent from now on."""
    for option, value in (
        (socket.TCP_KEEPCNT, limits.keepalive_probes),
        (socket.TCP_USER_TIMEOUT, limits.user_timeout_ms),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)


def reset_on_close(sock: socket.socket) -> None:
    """Make a connection end with a reset, also when its process is killed.

    Otherwise the kernel keeps trying to deliver unsent bytes. After a network
    partition they would arrive seconds later: an order from a holder that has
    lost its duty in the meantime, or a call that was given up.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)


def listen(host: str, port: int) -> socket.socket:
    """Open a listening socket."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, port))
    sock.listen(LISTEN_BACKLOG)
    return sock


def receive(sock: socket.socket, max_bytes: int, timeout_s: float) -> bytes:
    """Wait for bytes; return b'' if the peer closed the connection in order.

    Raises:
        TimeoutError: nothing arrived within `timeout_s`.
        OSError: the connection failed.
    """
    # The green socket's own recv reports a reset as an orderly close. A
    # response without a length that is truncated by a crash would then look
    # complete, and the caller would accept a part of it as the whole.
    while True:
        try:
            return bytes(sock.fd.recv(max_bytes))
        except BlockingIOError:
            trampoline(
                sock.fd, read=True, timeout=timeout_s, timeout_exc=TimeoutError
            )


def close_after_refusal(sock: socket.socket) -> None:
    """Close a connection whose request was refused before its end.

    Closing it with unread bytes would reset it, and the client could not read
    the refusal. What arrives is dropped, within limits.
    """
    left_bytes = MAX_DISCARDED_BYTES
    until_s = clock_s() + MAX_DISCARD_S
    try:
        sock.shutdown(socket.SHUT_WR)
        while left_bytes > 0 and clock_s() < until_s:
            received = receive(sock, DISCARD_READ_BYTES, MAX_DISCARD_S)
            if not received:
                break
            left_bytes -= len(received)
            sleep(0)
    except OSError:
        # The client is gone, or sends nothing more.
        return
    finally:
        sock.close()
