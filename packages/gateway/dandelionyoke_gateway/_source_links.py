"""Links between the source nodes of the failure domains."""

from collections.abc import Callable

import eventlet

from dandelionyoke_core import InstanceId, PeerMessage
from dandelionyoke_dispatch import Member
from dandelionyoke_gateway._clock import clock_s
from dandelionyoke_gateway._knowledge import NEVER_S, Knowledge
from dandelionyoke_gateway._news_server import Send

# A node gets no more messages this long after its last one.
HEARD_TIMEOUT_S = 1.0
DIAL_INTERVAL_S = 1.0

Connect = Callable[[InstanceId, str], None]


class SourceLinks:
    """Sends messages to the source nodes of other domains.

    These are normally the first nodes by rank. If a domain suspects its first
    node, another of its nodes acts as the source node: that one sends
    messages itself, and receives them for as long as it does.
    """

    def __init__(self, knowledge: Knowledge) -> None:
        self._knowledge = knowledge
        self._send: Send | None = None
        self._connect: Connect | None = None
        self._last_heard_s: dict[InstanceId, float] = {}
        self._last_dial_s: dict[InstanceId, float] = {}

    def attach(self, send: Send, connect: Connect) -> None:
        """Set the functions that send messages and open links."""
        self._connect = connect
        self._send = send

    def mark_heard(self, peer_id: InstanceId) -> None:
        """Record that a node acts as the source node of its domain."""
        self._last_heard_s[peer_id] = clock_s()

    def handle_disconnect(self, peer_id: InstanceId) -> None:
        """Forget a node after its link was closed."""
        self._last_heard_s.pop(peer_id, None)

    def broadcast(self, message: PeerMessage) -> None:
        """Send a message to the source nodes of all domains."""
        now_s = clock_s()
        recipients = self._recipients(now_s)
        for member in recipients:
            self._send_or_dial(member, message, now_s)
        recipient_ids = {member.instance_id for member in recipients}
        for peer_id, last_heard_s in tuple(self._last_heard_s.items()):
            if (
                peer_id not in recipient_ids
                and now_s - last_heard_s < HEARD_TIMEOUT_S
            ):
                self.send(peer_id, message)

    def send(self, peer_id: InstanceId, message: PeerMessage) -> bool:
        """Send a message to one node; return False if there is no link."""
        return self._send is not None and self._send(peer_id, message)

    def _recipients(self, now_s: float) -> list[Member]:
        sources = self._knowledge.sources
        recipients = list(sources.first_of_other_domains())
        own_source = sources.domain_source(now_s)
        if own_source is not None:
            recipients.append(own_source)
        return recipients

    def _send_or_dial(
        self, member: Member, message: PeerMessage, now_s: float
    ) -> None:
        peer_id = InstanceId(member.instance_id)
        if self.send(peer_id, message) or self._connect is None:
            return
        last_dial_s = self._last_dial_s.get(peer_id, NEVER_S)
        if now_s - last_dial_s >= DIAL_INTERVAL_S:
            self._last_dial_s[peer_id] = now_s
            url = f'ws://{member.address}/'
            eventlet.spawn_n(self._connect, peer_id, url)
