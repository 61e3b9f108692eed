"""An in-memory network between the nodes of one failure domain."""

from collections import Counter
from collections.abc import Iterable
from typing import Generic, Protocol, TypeVar

import eventlet

from dandelionyoke_core import (
    Event,
    InstanceId,
    PeerMessage,
    PeerMessageArrived,
)
from dandelionyoke_dispatch import Member
from dandelionyoke_gateway import clock_s
from dandelionyoke_gateway._knowledge import Knowledge


class Node(Protocol):
    """The interface that a network needs of its nodes."""

    name: InstanceId
    knowledge: Knowledge

    def handle_event(self, event: Event) -> bool: ...


AnyNode = TypeVar('AnyNode', bound=Node)


class DomainNetwork(Generic[AnyNode]):
    """Delivers messages between nodes, except to the ones in `silent`.

    Messages to the ones in `stopped` arrive when they go on.
    """

    def __init__(self) -> None:
        self.nodes: dict[InstanceId, AnyNode] = {}
        self.silent: set[str] = set()
        self.stopped: dict[str, list[PeerMessageArrived]] = {}
        self.sent: Counter[str] = Counter()

    def join(self, nodes: Iterable[AnyNode]) -> None:
        """Add nodes, and tell all nodes of each other."""
        self.nodes.update((node.name, node) for node in nodes)
        members = [Member(name, 'a', '10.0.0.2:7') for name in self.nodes]
        for node in self.nodes.values():
            node.knowledge.sources.take_members(members, clock_s())

    @property
    def source(self) -> AnyNode:
        """The domain's source node."""
        return next(
            node
            for node in self.nodes.values()
            if node.knowledge.sources.is_source(clock_s())
        )

    @property
    def others(self) -> list[AnyNode]:
        source = self.source
        return [node for node in self.nodes.values() if node is not source]

    def deliver(
        self, sender: InstanceId, peer_id: InstanceId, message: PeerMessage
    ) -> None:
        self.sent[type(message).__name__] += 1
        event = PeerMessageArrived(sender, message)
        if peer_id in self.stopped:
            self.stopped[peer_id].append(event)
        elif peer_id not in self.silent:
            eventlet.spawn_n(self.nodes[peer_id].handle_event, event)

    def go_on(self, name: InstanceId) -> None:
        """Let a stopped node handle what has arrived."""
        for event in self.stopped.pop(name):
            eventlet.spawn_n(self.nodes[name].handle_event, event)
