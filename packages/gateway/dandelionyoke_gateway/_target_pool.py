"""Idle connections to targets, kept because a new one costs a handshake."""

from collections import deque
from collections.abc import Iterator
from contextlib import contextmanager

from dandelionyoke_gateway._target_connection import TargetConnection, connect

# A sound target takes a connection within a few milliseconds; one that does
# not is left for another while the caller still has time.
CONNECT_TIMEOUT_S = 0.8
# More would hold a target's connections that other nodes need.
MAX_IDLE_PER_TARGET = 8


class TargetPool:
    """Lends connections; one whose exchange was not whole is closed."""

    def __init__(self) -> None:
        self._idle: dict[str, deque[TargetConnection]] = {}

    @contextmanager
    def lend(self, address: str) -> Iterator[TargetConnection]:
        """Lend a connection until its exchange ends."""
        connection = self._take(address)
        if connection is None:
            connection = connect(address, CONNECT_TIMEOUT_S)
        is_whole = False
        try:
            yield connection
            is_whole = True
        finally:
            self._give_back(connection, is_whole)

    @contextmanager
    def lend_new(self, address: str) -> Iterator[TargetConnection]:
        """Make a connection for one exchange.

        An idle one may lie behind a partition that nobody has noticed yet,
        and would hold back what is sent until the partition heals.
        """
        connection = connect(address, CONNECT_TIMEOUT_S)
        try:
            yield connection
        finally:
            connection.close()

    def drop(self, address: str) -> None:
        """Close all idle connections to an address."""
        for connection in self._idle.pop(address, ()):
            connection.close()

    def _take(self, address: str) -> TargetConnection | None:
        idle = self._idle.get(address)
        while idle:
            connection = idle.pop()
            if connection.is_healthy():
                return connection
            connection.close()
        return None

    def _give_back(self, connection: TargetConnection, is_whole: bool) -> None:
        idle = self._idle.setdefault(connection.address, deque())
        if (
            is_whole
            and len(idle) < MAX_IDLE_PER_TARGET
            and connection.prepare_reuse()
        ):
            idle.append(connection)
        else:
            connection.close()
