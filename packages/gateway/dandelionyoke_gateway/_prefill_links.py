"""Takes what links bring for the prefill queue of a failure domain."""

from dandelionyoke_core import Event, PeerDisconnected, PeerMessageArrived
from dandelionyoke_dispatch import TargetLoads
from dandelionyoke_gateway._domain_prefill_queue import DomainPrefillQueue
from dandelionyoke_gateway._log import DecisionLog
from dandelionyoke_gateway._news_desk import Send
from dandelionyoke_gateway._prefill_messages import (
    PrefillAsked,
    PrefillEnded,
    PrefillTold,
    TargetFailed,
)
from dandelionyoke_gateway._prefill_queue import LocalPrefillQueue
from dandelionyoke_gateway._prefill_server import PrefillServer


class PrefillLinks:
    """Both ends of the questions for engines."""

    def __init__(
        self,
        queue: DomainPrefillQueue,
        local: LocalPrefillQueue,
        loads: TargetLoads,
        log: DecisionLog,
    ) -> None:
        self._queue = queue
        self._local = local
        self._loads = loads
        self._log = log
        self._server: PrefillServer | None = None

    def attach(self, send: Send) -> None:
        """Take how messages leave, once there are links."""
        self._server = PrefillServer(self._local, self._loads, send, self._log)
        self._queue.attach(send)

    def take(self, event: Event) -> bool:
        """Take an event of the links; tell whether it was for this part."""
        server = self._server
        if server is None:
            return False
        match event:
            case PeerDisconnected(peer_id=peer_id):
                self._queue.lost(peer_id)
                server.lost(peer_id)
                return False
            case PeerMessageArrived(
                peer_id=peer_id, message=PrefillAsked() as asked
            ):
                server.asked(peer_id, asked)
            case PeerMessageArrived(
                peer_id=peer_id, message=PrefillEnded() as ended
            ):
                server.ended(peer_id, ended)
            case PeerMessageArrived(message=TargetFailed() as failed):
                server.failed(failed)
            case PeerMessageArrived(message=PrefillTold() as told):
                self._queue.told(told)
            case _:
                return False
        return True
