"""Pool of idle connections to targets, which saves TCP handshakes."""

from collections import deque
from collections.abc import Iterator
from contextlib import contextmanager

from dandelionyoke_gateway._target_connection import TargetConnection, connect
from dandelionyoke_links import BRIEF, PATIENT, DecodeTurns

# A healthy target accepts a connection within a few milliseconds. After this
# timeout the call still has time for another target.
CONNECT_TIMEOUT_S = 0.8
# An opening packet that was lost is sent again only after a second.
BRIEF_CONNECT_TIMEOUT_S = 0.3
# More would use up connections of a target that other nodes need.
MAX_IDLE_PER_TARGET = 8


class TargetPool:
    """Hands out connections and closes those with an incomplete exchange."""

    def __init__(self) -> None:
        self._idle: dict[str, deque[TargetConnection]] = {}
        self._turns = DecodeTurns()

    @contextmanager
    def acquire(
        self,
        address: str,
        call_id: str,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
    ) -> Iterator[TargetConnection]:
        """Acquire an idle or new connection for a call of a caller.

        It has not carried the call before: a late copy of the first response
        would have the id of the second one. It outlasts a silence of its
        target. An idle one is given up sooner, so that few calls are sent on
        a dead one.
        """
        connection = self._take_idle(address, call_id)
        with self._acquire(connection, address, connect_timeout_s) as acquired:
            acquired.carry(call_id)
            acquired.limit_silence(PATIENT)
            yield acquired
            acquired.limit_silence(BRIEF)

    @contextmanager
    def acquire_brief(self, address: str) -> Iterator[TargetConnection]:
        """Acquire an idle or new connection for one of our own requests.

        These are repeated, so that a silent peer is given up soon.
        """
        connection = self._take_idle(address)
        with self._acquire(connection, address, CONNECT_TIMEOUT_S) as acquired:
            yield acquired

    @contextmanager
    def _acquire(
        self,
        idle: TargetConnection | None,
        address: str,
        connect_timeout_s: float,
    ) -> Iterator[TargetConnection]:
        connection = idle or connect(
            address, connect_timeout_s, turns=self._turns
        )
        connection.is_new = idle is None
        is_complete = False
        try:
            yield connection
            is_complete = True
        finally:
            self._release(connection, is_complete)

    @contextmanager
    def acquire_new(self, address: str) -> Iterator[TargetConnection]:
        """Open a new connection for one exchange.

        An idle connection may be cut off by an undetected network partition.
        What is sent on it would then arrive only after the partition ends.
        The kernel discards what the peer does not acknowledge soon, also
        while this process is stopped.
        """
        connection = connect(
            address, CONNECT_TIMEOUT_S, is_urgent=True, turns=self._turns
        )
        try:
            yield connection
        finally:
            connection.close()

    def close_idle(self, address: str) -> None:
        """Close all idle connections to an address."""
        for connection in self._idle.pop(address, ()):
            connection.close()

    def _take_idle(
        self, address: str, call_id: str | None = None
    ) -> TargetConnection | None:
        """Take a connection that has not carried a call, the last used first."""
        idle = self._idle.get(address, deque())
        for connection in tuple(reversed(idle)):
            if call_id is not None and connection.has_carried(call_id):
                continue
            idle.remove(connection)
            if connection.is_healthy():
                return connection
            connection.close()
        return None

    def _release(self, connection: TargetConnection, is_complete: bool) -> None:
        idle = self._idle.setdefault(connection.address, deque())
        if (
            is_complete
            and len(idle) < MAX_IDLE_PER_TARGET
            and connection.prepare_reuse()
        ):
            idle.append(connection)
        else:
            connection.close()
