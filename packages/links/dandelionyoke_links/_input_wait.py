"""Waits for input that other green threads can end."""

from typing import Any

from eventlet import getcurrent
from eventlet.green import socket
from eventlet.hubs import get_hub, trampoline


class InputWait:
    """The wait of at most one green thread for input of a connection."""

    def __init__(self) -> None:
        self._waiter: Any = None

    def wait(self, sock: socket.socket, timeout_s: float) -> None:
        """Wait until bytes arrive or the client closes.

        Raises:
            TimeoutError: neither happened within `timeout_s`, or the wait was
                ended.
        """
        self._waiter = getcurrent()
        try:
            trampoline(
                sock.fd, read=True, timeout=timeout_s, timeout_exc=TimeoutError
            )
        finally:
            self._waiter = None

    def end(self) -> None:
        """End the wait, if there is one; never blocks."""
        get_hub().schedule_call_global(0, self._end)

    def _end(self) -> None:
        if self._waiter is not None:
            self._waiter.throw(TimeoutError)
