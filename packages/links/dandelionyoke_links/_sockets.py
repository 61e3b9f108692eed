"""Socket options and helpers that detect dead connections."""

import struct

from eventlet.green import socket
from eventlet.hubs import trampoline

# A connection that is lost without a reset is detected by keepalive probes
# after about KEEPALIVE_IDLE_S + KEEPALIVE_PROBES * KEEPALIVE_INTERVAL_S, which
# is below the minimum time limit of a caller. Unacknowledged data detects it
# sooner, after USER_TIMEOUT_MS, which is long enough to retransmit two
# consecutive lost packets.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
USER_TIMEOUT_MS = 1000
# For data that must not arrive late. The kernel counts this from the first
# retransmission, about 0.4 s after the data was sent on a fast path.
URGENT_USER_TIMEOUT_MS = 400
LISTEN_BACKLOG = 1024

# SO_LINGER value (on, 0 s) that makes closing send a reset.
LINGER_RESET = struct.pack('ii', 1, 0)


def set_socket_options(
    sock: socket.socket, user_timeout_ms: int = USER_TIMEOUT_MS
) -> None:
    """Disable Nagle's algorithm and detect unreachable peers."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, user_timeout_ms),
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
