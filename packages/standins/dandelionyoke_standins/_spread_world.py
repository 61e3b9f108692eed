"""Simulation of membership and configuration of many nodes, in one thread.

Runs in virtual time and is determined by one seed: latencies are fixed, and
each node has its own random generator. Links behave like TCP connections:
messages sent during a partition arrive after it, unless one end has closed
the link before.
"""

import heapq
import itertools
from collections.abc import Callable
from functools import partial

from dandelionyoke_core import (
    Action,
    ConnectPeer,
    DisconnectPeer,
    Domain,
    Event,
    Instance,
    InstanceId,
    InstancesListed,
    ListingFailed,
    ListInstances,
    PeerConnected,
    PeerDisconnected,
    PeerMessage,
    PeerMessageArrived,
    SendPeer,
    Started,
    StoreDelete,
    StoreFailed,
    StoreGet,
    StorePut,
    StoreResponded,
    StoreWatch,
    TimerFired,
    WriteLog,
)
from dandelionyoke_standins._spread_node import PropagationSettings, VirtualNode
from dandelionyoke_standins._spread_store import VirtualStore

IN_DOMAIN_DELAY_S = 0.0003
CROSS_DOMAIN_DELAY_S = 0.001
PLATFORM_DELAY_S = 0.003
CALL_TIMEOUT_S = 5.0
PLATFORM = Domain('platform')

Link = tuple[InstanceId, InstanceId]
StoreCall = StoreGet | StorePut | StoreDelete | StoreWatch


class PropagationSimulation:
    """A platform and nodes in failure domains that can be partitioned."""

    def __init__(self, seed: int, settings: PropagationSettings) -> None:
        self.now_s = 0.0
        self.store = VirtualStore()
        self.nodes: dict[InstanceId, VirtualNode] = {}
        self.listed: dict[InstanceId, Instance] = {}
        self.is_listing_unavailable = False
        self._seed = seed
        self.settings = settings
        self._queue: list[tuple[float, int, Callable[[], object]]] = []
        self._sequence = itertools.count()
        self._partitions: set[frozenset[Domain]] = set()
        self._links: dict[Link, int] = {}
        self._silenced: set[int] = set()
        self._connecting: set[Link] = set()
        self._held_messages: list[tuple[Link, int, PeerMessage]] = []
        self._schedule_starts()

    # Control of the simulation.

    def run(self, duration_s: float) -> None:
        """Run the simulation for a duration."""
        until_s = self.now_s + duration_s
        while self._queue and self._queue[0][0] <= until_s:
            at_s, _, callback = heapq.heappop(self._queue)
            self.now_s = max(self.now_s, at_s)
            callback()
        self.now_s = until_s

    def run_until(
        self, condition: Callable[[], bool], timeout_s: float
    ) -> float:
        """Run until a condition is true or the timeout has passed.

        Returns the elapsed time in seconds.
        """
        started_s = self.now_s
        while (
            self._queue
            and not condition()
            and self.now_s - started_s < timeout_s
        ):
            at_s, _, callback = heapq.heappop(self._queue)
            self.now_s = max(self.now_s, at_s)
            callback()
        return self.now_s - started_s

    def call_later(
        self, delay_s: float, callback: Callable[[], object]
    ) -> None:
        """Schedule a callback after a delay."""
        entry = (self.now_s + delay_s, next(self._sequence), callback)
        heapq.heappush(self._queue, entry)

    def start(
        self,
        name: str,
        domain: str,
        is_listed: bool = False,
        incarnation: int | None = None,
    ) -> VirtualNode:
        """Start an instance under a new name, or restart a known one.

        The platform lists it after the listing lag unless `is_listed` is set.
        """
        if incarnation is None:
            incarnation = int(self.now_s) + 1
        instance = Instance(InstanceId(name), Domain(domain), name, name)
        node = VirtualNode(
            instance,
            incarnation,
            f'{self._seed}/{name}/{self.now_s}',
            self.settings,
        )
        self.nodes[instance.instance_id] = node
        if is_listed:
            self.listed[instance.instance_id] = instance
        else:
            self.call_later(
                self.settings.listing_lag_s,
                lambda: self.listed.update({instance.instance_id: instance}),
            )
        self.deliver(node, Started(self.now_s))
        return node

    def kill(self, node: VirtualNode) -> None:
        """Kill a process; its kernel closes its connections."""
        node.is_alive = False
        name = node.instance.instance_id
        self.call_later(
            self.settings.listing_lag_s,
            lambda: self._remove_from_listing(name, node),
        )
        for link in tuple(self._links):
            if name in link:
                self._close_link(link, name, 'reset')

    def pause(self, node: VirtualNode, duration_s: float) -> None:
        """Pause a process; events for it are queued until it resumes."""
        node.is_paused = True
        self.call_later(duration_s, lambda: self._resume(node))

    def drop_messages(self, node: VirtualNode) -> None:
        """Drop all messages on a node's current links; new links work."""
        name = node.instance.instance_id
        self._silenced.update(
            generation
            for link, generation in self._links.items()
            if name in link
        )

    def partition(self, first: str, second: str) -> None:
        """Partition two domains; the platform counts as a domain."""
        self._partitions.add(frozenset((Domain(first), Domain(second))))

    def end_partitions(self) -> None:
        """End all partitions and deliver the held messages."""
        self._partitions.clear()
        held_messages = self._held_messages
        self._held_messages = []
        for link, generation, message in held_messages:
            self._transmit(link, generation, message)

    def live_nodes(self) -> list[VirtualNode]:
        """Return the nodes that are not killed, including paused ones."""
        return [node for node in self.nodes.values() if node.is_alive]

    def deliver(self, node: VirtualNode, event: Event) -> None:
        """Deliver an event to a node and perform the resulting actions."""
        if not node.is_alive:
            return
        if node.is_paused:
            node.pending_events.append(event)
            return
        for action in node.handle(event, self.now_s):
            self._perform(node, action)
        self._schedule_wakeup(node)

    # Internals.

    def _schedule_starts(self) -> None:
        for domain, count in self.settings.domains:
            for number in range(count):
                name = f'{domain}-{number}'
                self.call_later(
                    number / count,
                    partial(self.start, name, domain, is_listed=True),
                )

    def _remove_from_listing(self, name: InstanceId, node: VirtualNode) -> None:
        if self.nodes.get(name) is node:
            self.listed.pop(name, None)

    def _resume(self, node: VirtualNode) -> None:
        node.is_paused = False
        pending_events = node.pending_events
        node.pending_events = []
        for event in pending_events:
            self.deliver(node, event)
        callbacks = node.pending_callbacks
        node.pending_callbacks = []
        for callback in callbacks:
            callback()
        self._wake(node)

    def _schedule_wakeup(self, node: VirtualNode) -> None:
        wakeup_s = node.next_wakeup_s()
        if wakeup_s is None or wakeup_s == node.scheduled_wakeup_s:
            return
        node.scheduled_wakeup_s = wakeup_s
        self.call_later(max(0, wakeup_s - self.now_s), lambda: self._wake(node))

    def _wake(self, node: VirtualNode) -> None:
        wakeup_s = node.next_wakeup_s()
        if node.is_paused or wakeup_s is None or wakeup_s > self.now_s:
            return
        node.scheduled_wakeup_s = None
        self.deliver(node, TimerFired())

    def _perform(self, node: VirtualNode, action: Action) -> None:
        match action:
            case SendPeer(peer_id=peer_id, message=message):
                self._send(node, peer_id, message)
            case ConnectPeer(peer_id=peer_id):
                self._connect(node, peer_id)
            case DisconnectPeer(peer_id=peer_id):
                name = node.instance.instance_id
                self._connecting.discard((name, peer_id))
                self._close_link(_link_key(name, peer_id), name, 'closed')
            case WriteLog():
                node.logs.append(action)
            case ListInstances():
                self.call_later(
                    PLATFORM_DELAY_S, lambda: self._answer_listing(node)
                )
            case _:
                self._call_store(node, action)

    def _answer_listing(self, node: VirtualNode) -> None:
        if self.is_listing_unavailable or not self._can_reach(node, PLATFORM):
            self.deliver(node, ListingFailed('no answer'))
            return
        self.deliver(node, InstancesListed(tuple(self.listed.values())))

    def _call_store(self, node: VirtualNode, action: Action) -> None:
        if not isinstance(action, StoreCall):
            return
        if self._can_reach(node, PLATFORM):
            self._perform_store_call(node, action)
            return
        failed = StoreFailed('timeout', may_have_been_applied=True)
        answer = StoreResponded(action.operation_id, failed)
        self.call_later(CALL_TIMEOUT_S, lambda: self.deliver(node, answer))

    def _perform_store_call(self, node: VirtualNode, action: StoreCall) -> None:
        if isinstance(action, StoreWatch):
            self.store.watch(
                action, lambda event: self._deliver_answer(node, event)
            )
            self.call_later(action.wait_s, lambda: self.store.end_watch(action))
            return
        ended = StoreResponded(action.operation_id, self.store.perform(action))
        self._deliver_answer(node, ended)

    def _deliver_answer(self, node: VirtualNode, event: StoreResponded) -> None:
        if self._can_reach(node, PLATFORM):
            self.call_later(PLATFORM_DELAY_S, lambda: self.deliver(node, event))

    def _can_reach(self, node: VirtualNode, domain: Domain) -> bool:
        return frozenset((node.instance.domain, domain)) not in self._partitions

    def _connect(self, node: VirtualNode, peer_id: InstanceId) -> None:
        peer = self.nodes.get(peer_id)
        if peer is None or not peer.is_alive:
            refused = PeerDisconnected(peer_id, 'refused')
            self.call_later(
                CROSS_DOMAIN_DELAY_S, lambda: self.deliver(node, refused)
            )
        elif self._can_reach(node, peer.instance.domain):
            self._connecting.add((node.instance.instance_id, peer_id))
            self.call_later(
                CROSS_DOMAIN_DELAY_S, lambda: self._complete_connect(node, peer)
            )

    def _complete_connect(self, node: VirtualNode, peer: VirtualNode) -> None:
        direction = (node.instance.instance_id, peer.instance.instance_id)
        if direction not in self._connecting or not peer.is_alive:
            return
        paused = next((end for end in (node, peer) if end.is_paused), None)
        if paused is not None:
            # The kernel accepts the connection; the process handles it after
            # the pause.
            paused.pending_callbacks.append(
                lambda: self._complete_connect(node, peer)
            )
            return
        self._connecting.discard(direction)
        link = _link_key(*direction)
        self._links[link] = next(self._sequence)
        self.deliver(node, PeerConnected(peer.instance.instance_id))
        self.deliver(peer, PeerConnected(node.instance.instance_id))

    def _close_link(
        self, link: Link, closed_by: InstanceId, cause: str
    ) -> None:
        if self._links.pop(link, None) is None:
            return
        name = link[0] if link[1] == closed_by else link[1]
        peer = self.nodes[name]
        closer = self.nodes[closed_by]
        local_event = PeerDisconnected(name, cause)
        self.call_later(0, lambda: self.deliver(closer, local_event))
        if self._can_reach(peer, closer.instance.domain):
            remote_event = PeerDisconnected(closed_by, cause)
            self.call_later(
                CROSS_DOMAIN_DELAY_S, lambda: self.deliver(peer, remote_event)
            )

    def _send(
        self, node: VirtualNode, peer_id: InstanceId, message: PeerMessage
    ) -> None:
        node.sent[type(message).__name__] += 1
        if self.settings.uses_codec:
            message = node.encode_and_decode(message)
        link = (node.instance.instance_id, peer_id)
        generation = self._links.get(_link_key(*link))
        if generation is not None and generation not in self._silenced:
            self._transmit(link, generation, message)

    def _transmit(
        self, link: Link, generation: int, message: PeerMessage
    ) -> None:
        sender, receiver = (self.nodes[name] for name in link)
        if not self._can_reach(sender, receiver.instance.domain):
            self._held_messages.append((link, generation, message))
            return
        same_domain = sender.instance.domain == receiver.instance.domain
        self.call_later(
            IN_DOMAIN_DELAY_S if same_domain else CROSS_DOMAIN_DELAY_S,
            lambda: self._deliver(link, generation, message),
        )

    def _deliver(
        self, link: Link, generation: int, message: PeerMessage
    ) -> None:
        if self._links.get(_link_key(*link)) != generation:
            return
        arrived = PeerMessageArrived(link[0], message)
        self.deliver(self.nodes[link[1]], arrived)


def _link_key(first: InstanceId, second: InstanceId) -> Link:
    return (first, second) if first < second else (second, first)
