"""Finds the source node of this node's failure domain.

The source node is the one node of a failure domain that queries the store,
assigns prefills and enforces rate limits for the other nodes of the domain.
"""

from dandelionyoke_core import InstanceId, PeerMessage
from dandelionyoke_gateway._clock import clock_s
from dandelionyoke_gateway._knowledge import Knowledge
from dandelionyoke_gateway._news_server import Send

# No requests are sent for this long after one was not answered.
COOLDOWN_S = 0.5


class DomainSource:
    """Finds the domain's source node, with a cooldown after a timeout."""

    def __init__(self, knowledge: Knowledge) -> None:
        self._knowledge = knowledge
        self._send: Send | None = None
        self._cooldown_until_s = 0.0

    def attach(self, send: Send) -> None:
        """Set the function that sends messages, once the links are open."""
        self._send = send

    def find(self) -> InstanceId | None:
        """Return the node to ask; None if this node decides itself."""
        now_s = clock_s()
        if self._send is None or now_s < self._cooldown_until_s:
            return None
        member = self._knowledge.sources.domain_source(now_s)
        return None if member is None else InstanceId(member.instance_id)

    def send(self, peer_id: InstanceId, message: PeerMessage) -> bool:
        """Send a message; return False if there is no link."""
        return self._send is not None and self._send(peer_id, message)

    def start_cooldown(self) -> None:
        """Send no requests to the source node for `COOLDOWN_S`."""
        self._cooldown_until_s = clock_s() + COOLDOWN_S
