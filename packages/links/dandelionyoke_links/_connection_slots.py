"""A bound on the connections that clients keep open."""

from collections.abc import Callable
from typing import Protocol

# With more connections than this share, each is closed after its answer, so
# that those that always have a next request leave places for others.
CROWDED_SHARE = 0.8


class WaitingConnection(Protocol):
    """A connection that may be closed while it waits for its client."""

    def has_input(self) -> bool:
        """Whether bytes have arrived that are not read yet."""

    def evict(self) -> None:
        """Close the connection; must not block."""


class ConnectionSlots:
    """The open connections of clients, at most `max_connections`.

    While there are as many, the one that has waited for its client for
    longest is closed for a new one.
    """

    def __init__(self, max_connections: int) -> None:
        self.max_connections = max_connections
        # Called when a connection is closed for a new one.
        self.on_evict: Callable[[], None] | None = None
        self._open: set[WaitingConnection] = set()
        # In the order in which they began to wait.
        self._waiting: dict[WaitingConnection, None] = {}

    def __len__(self) -> int:
        return len(self._open)

    @property
    def is_crowded(self) -> bool:
        """Whether connections should be closed after an answer."""
        return len(self._open) > self.max_connections * CROWDED_SHARE

    def enter(self, connection: WaitingConnection) -> bool:
        """Add a connection that waits; False if no other one can be closed."""
        if len(self._open) >= self.max_connections:
            closed = self._find_closable()
            if closed is None:
                return False
            self.leave(closed)
            closed.evict()
            if self.on_evict is not None:
                self.on_evict()
        self._open.add(connection)
        self._waiting[connection] = None
        return True

    def mark_waiting(self, connection: WaitingConnection) -> None:
        """Take note that a connection waits for its client from now on."""
        if connection in self._open:
            self._waiting.pop(connection, None)
            self._waiting[connection] = None

    def mark_busy(self, connection: WaitingConnection) -> None:
        """Take note that the request of a connection is worked on."""
        self._waiting.pop(connection, None)

    def leave(self, connection: WaitingConnection) -> None:
        """Remove a connection that has ended."""
        self._open.discard(connection)
        self._waiting.pop(connection, None)

    def _find_closable(self) -> WaitingConnection | None:
        for connection in self._waiting:
            # Its request is about to be read.
            if not connection.has_input():
                return connection
        return None
