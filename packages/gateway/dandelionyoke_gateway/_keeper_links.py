"""Links to the nodes that keep the origins of streams."""

from collections.abc import Callable

import eventlet

from dandelionyoke_core import (
    Event,
    InstanceId,
    PeerConnected,
    PeerDisconnected,
    PeerMessage,
)
from dandelionyoke_dispatch import Member
from dandelionyoke_gateway._clock import clock_s
from dandelionyoke_gateway._knowledge import NEVER_S
from dandelionyoke_gateway._news_server import Send
from dandelionyoke_gateway._source_links import Connect

# Messages that wait for one link.
MAX_WAITING = 256
# A node that accepted no link gets none for this long.
UNREACHABLE_S = 2.0

ListenToLoss = Callable[[InstanceId, PeerMessage], None]


class KeeperLinks:
    """Sends messages to nodes, and opens the links that are missing."""

    def __init__(self, on_loss: ListenToLoss) -> None:
        self._on_loss = on_loss
        self._send: Send | None = None
        self._connect: Connect | None = None
        # Messages to nodes to which a link is being opened.
        self._waiting: dict[InstanceId, list[PeerMessage]] = {}
        self._failed_s: dict[InstanceId, float] = {}

    def attach(self, send: Send, connect: Connect) -> None:
        """Set the functions that send messages and open links."""
        self._send = send
        self._connect = connect

    @property
    def is_open(self) -> bool:
        """Whether links can be used."""
        return self._send is not None

    def is_unreachable(self, member: Member) -> bool:
        """Whether a node accepted no link a short while ago."""
        failed_s = self._failed_s.get(InstanceId(member.instance_id), NEVER_S)
        return clock_s() - failed_s < UNREACHABLE_S

    def answer(self, peer_id: InstanceId, message: PeerMessage) -> None:
        """Send a message over the link that a node has opened."""
        if self._send is not None:
            self._send(peer_id, message)

    def send(self, member: Member, message: PeerMessage) -> None:
        """Send a message to a node, once there is a link."""
        peer_id = InstanceId(member.instance_id)
        if self._send is None or self._connect is None:
            return
        if self._send(peer_id, message):
            return
        waiting = self._waiting.get(peer_id)
        if waiting is None:
            self._waiting[peer_id] = [message]
            url = f'ws://{member.address}/'
            eventlet.spawn_n(self._connect, peer_id, url)
        elif len(waiting) < MAX_WAITING:
            waiting.append(message)

    def handle_event(self, event: Event) -> None:
        """Note that a link was opened, or that a node accepted none."""
        if isinstance(event, PeerConnected):
            self._failed_s.pop(event.peer_id, None)
            for message in self._waiting.pop(event.peer_id, ()):
                self.answer(event.peer_id, message)
        elif isinstance(event, PeerDisconnected):
            self._drop_waiting(event.peer_id)

    def _drop_waiting(self, peer_id: InstanceId) -> None:
        waiting = self._waiting.pop(peer_id, None)
        if waiting is None:
            return
        self._failed_s[peer_id] = clock_s()
        for message in waiting:
            self._on_loss(peer_id, message)
