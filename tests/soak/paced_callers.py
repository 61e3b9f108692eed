"""Callers that send no more than targets can serve, and heed refusals."""

import contextlib

import eventlet
import h11
from eventlet.green import socket

from dandelionyoke_gateway import clock_s
from tests.soak.callers import Caller, Surroundings
from tests.soak.record import CallerCall

THINK_S = (0.1, 0.5)
# They keep their connections; a new one brings them back to their own node.
CALLS_PER_CONNECTION = 40
CONNECT_PAUSE_S = 0.1
STATUS_UNAVAILABLE = 503


class PacedCaller(Caller):
    """A caller that pauses between its calls, and for Retry-After.

    It connects to its own node, and to the next one where that refuses.
    """

    def __init__(
        self, name: str, home: int, surroundings: Surroundings
    ) -> None:
        super().__init__(name, surroundings.nodes[home], surroundings)
        self._home = home

    def run(self) -> None:
        """Send calls until `is_ended` is set."""
        number = self._home
        while not self.is_ended:
            nodes = self._surroundings.nodes
            self._node, self._port = nodes[number % len(nodes)]
            number = self._home if self._connect() else number + 1

    def _connect(self) -> bool:
        """Use a connection; return whether the node took the last call."""
        self._last_call = None
        try:
            sock = eventlet.connect(('127.0.0.1', self._port))
        except OSError:
            self._record.refused_connections_s.append(clock_s())
            eventlet.sleep(CONNECT_PAUSE_S)
            return False
        with sock, contextlib.suppress(OSError, h11.RemoteProtocolError):
            self._use_connection(sock)
        last_call = self._last_call
        if last_call is None:
            return True
        self._take_up(last_call)
        return last_call.status not in {None, STATUS_UNAVAILABLE}

    def _use_connection(self, sock: socket.socket) -> None:
        parser = h11.Connection(h11.CLIENT)
        for number in range(CALLS_PER_CONNECTION):
            if self.is_ended:
                return
            self._call(sock, parser, is_on_kept_connection=number > 0)
            self._think(self._last_call)
            states = (parser.our_state, parser.their_state)
            if states != (h11.DONE, h11.DONE):
                return
            parser.start_next_cycle()

    def _think(self, call: CallerCall | None) -> None:
        rest_s = float(call.retry_after or 0) if call is not None else 0.0
        eventlet.sleep(max(rest_s, self._random.uniform(*THINK_S)))
