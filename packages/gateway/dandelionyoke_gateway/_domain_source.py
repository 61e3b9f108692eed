"""The node that works for a domain, as another node of it asks it."""

from dandelionyoke_core import InstanceId, PeerMessage
from dandelionyoke_gateway._clock import clock_s
from dandelionyoke_gateway._knowledge import Knowledge
from dandelionyoke_gateway._news_server import Send

# A node that did not answer is not asked for this long.
COOLDOWN_S = 0.5


class DomainSource:
    """Finds the node to ask, unless it was silent a moment ago."""

    def __init__(self, knowledge: Knowledge) -> None:
        self._knowledge = knowledge
        self._send: Send | None = None
        self._cooldown_until_s = 0.0

    def attach(self, send: Send) -> None:
        """Take how messages leave, once there are links."""
        self._send = send

    def find(self) -> InstanceId | None:
        """Name the node to ask; None: this one decides."""
        now_s = clock_s()
        if self._send is None or now_s < self._cooldown_until_s:
            return None
        member = self._knowledge.sources.domain_source(now_s)
        return None if member is None else InstanceId(member.instance_id)

    def send(self, peer_id: InstanceId, message: PeerMessage) -> bool:
        """Send a message; False if there is no link."""
        return self._send is not None and self._send(peer_id, message)

    def start_cooldown(self) -> None:
        """Ask nobody for a while."""
        self._cooldown_until_s = clock_s() + COOLDOWN_S
