"""Options of sockets that keep silent connections from hanging."""

import struct

from eventlet.green import socket
from eventlet.hubs import trampoline

# Between two ends that have lost track of each other no reset comes. The
# probes show it after about KEEPALIVE_IDLE_S + KEEPALIVE_PROBES *
# KEEPALIVE_INTERVAL_S, which lies below the least time limit of a caller. A
# request that is not acknowledged shows it sooner: after UNACKNOWLEDGED_MS,
# in which two lost packets in a row are sent again.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
UNACKNOWLEDGED_MS = 1000
BACKLOG = 1024

# The option's value that ends a connection with a reset: on, after no time.
RESET = struct.pack('ii', 1, 0)


def set_options(sock: socket.socket) -> None:
    """Send small writes at once, and notice a peer that is out of reach."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, amount in (
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, amount)


def reset_at_end(sock: socket.socket) -> None:
    """End a connection with a reset, also when its process is killed.

    Any other end leaves unsent bytes to the kernel. Behind a cut link they
    would arrive seconds later: an order of a holder that has lost its duty
    meanwhile, or a call that was given up.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)


def listen(host: str, port: int) -> socket.socket:
    """Open a listening socket."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, port))
    sock.listen(BACKLOG)
    return sock


def receive(sock: socket.socket, most_bytes: int, timeout_s: float) -> bytes:
    """Wait for bytes; an empty answer is the peer's proper end.

    Raises:
        TimeoutError: nothing came in time.
        OSError: the connection broke off.
    """
    # The green socket's own recv tells a reset as a proper end. An answer
    # without a length that a crash cuts short would look whole, and the
    # caller would take half of it for all.
    while True:
        try:
            return bytes(sock.fd.recv(most_bytes))
        except BlockingIOError:
            trampoline(
                sock.fd, read=True, timeout=timeout_s, timeout_exc=TimeoutError
            )
