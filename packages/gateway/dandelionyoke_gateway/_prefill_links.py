"""Dispatches link events for the prefill queue of a failure domain."""

from dandelionyoke_core import Event, PeerDisconnected, PeerMessageArrived
from dandelionyoke_dispatch import TargetLoads
from dandelionyoke_gateway._domain_prefill_queue import DomainPrefillQueue
from dandelionyoke_gateway._domain_reach_task import DomainReachTask
from dandelionyoke_gateway._log import DecisionLog
from dandelionyoke_gateway._news_server import Send
from dandelionyoke_gateway._prefill_messages import (
    PrefillAsked,
    PrefillEnded,
    PrefillTold,
    TargetFailed,
)
from dandelionyoke_gateway._prefill_queue import LocalPrefillQueue
from dandelionyoke_gateway._prefill_server import PrefillServer


class PrefillLinks:
    """Passes events to the client and the server of the prefill queue."""

    def __init__(
        self,
        queue: DomainPrefillQueue,
        local_queue: LocalPrefillQueue,
        loads: TargetLoads,
        log: DecisionLog,
        domain_reach: DomainReachTask,
    ) -> None:
        self._domain_reach = domain_reach
        self._queue = queue
        self._local_queue = local_queue
        self._loads = loads
        self._log = log
        self._server: PrefillServer | None = None

    def attach(self, send: Send) -> None:
        """Set the function that sends messages, once the links are open."""
        self._server = PrefillServer(
            self._local_queue,
            self._loads,
            send,
            self._log,
            self._domain_reach,
        )
        self._queue.attach(send)

    def handle_event(self, event: Event) -> bool:
        """Handle a link event; return whether it was a prefill message."""
        server = self._server
        if server is None:
            return False
        match event:
            case PeerDisconnected(peer_id=peer_id):
                self._queue.handle_disconnect(peer_id)
                server.handle_disconnect(peer_id)
                return False
            case PeerMessageArrived(
                peer_id=peer_id, message=PrefillAsked() as request
            ):
                server.handle_request(peer_id, request)
            case PeerMessageArrived(
                peer_id=peer_id, message=PrefillEnded() as end
            ):
                server.handle_end(peer_id, end)
            case PeerMessageArrived(message=TargetFailed() as failure):
                server.handle_failure(failure)
            case PeerMessageArrived(message=PrefillTold() as response):
                self._queue.handle_response(response)
            case _:
                return False
        return True
