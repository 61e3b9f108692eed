"""Many nodes' membership and configuration in one thread of virtual time.

Everything follows from one seed: latencies are fixed, and each node draws
from its own generator. Links behave as TCP does: what is sent into a cut
arrives after it, unless an end has closed the link before.
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
    StoreAnswered,
    StoreDelete,
    StoreFailed,
    StoreGet,
    StorePut,
    StoreWatch,
    Woken,
    WriteLog,
)
from dandelionyoke_standins._spread_node import VirtualNode, WorldSettings
from dandelionyoke_standins._spread_store import VirtualStore

IN_DOMAIN_S = 0.0003
ACROSS_S = 0.001
PLATFORM_S = 0.003
CALL_TIMEOUT_S = 5.0
PLATFORM = Domain('platform')

Link = tuple[InstanceId, InstanceId]
StoreCall = StoreGet | StorePut | StoreDelete | StoreWatch


class World:
    """A platform, and nodes in failure domains that can be cut apart."""

    def __init__(self, seed: int, settings: WorldSettings) -> None:
        self.now_s = 0.0
        self.store = VirtualStore()
        self.nodes: dict[InstanceId, VirtualNode] = {}
        self.listed: dict[InstanceId, Instance] = {}
        self.list_is_out = False
        self._seed = seed
        self.settings = settings
        self._queue: list[tuple[float, int, Callable[[], object]]] = []
        self._numbers = itertools.count()
        self._cuts: set[frozenset[Domain]] = set()
        self._links: dict[Link, int] = {}
        self._silent: set[int] = set()
        self._dials: set[Link] = set()
        self._held: list[tuple[Link, int, PeerMessage]] = []
        self._begin_nodes()

    # Driving.

    def run(self, for_s: float) -> None:
        """Let time pass."""
        until_s = self.now_s + for_s
        while self._queue and self._queue[0][0] <= until_s:
            at_s, _, step = heapq.heappop(self._queue)
            self.now_s = max(self.now_s, at_s)
            step()
        self.now_s = until_s

    def run_until(self, holds: Callable[[], bool], most_s: float) -> float:
        """Let time pass until something holds; return how long it took."""
        begun_s = self.now_s
        while self._queue and not holds() and self.now_s - begun_s < most_s:
            at_s, _, step = heapq.heappop(self._queue)
            self.now_s = max(self.now_s, at_s)
            step()
        return self.now_s - begun_s

    def later(self, after_s: float, step: Callable[[], object]) -> None:
        """Do something after a while."""
        entry = (self.now_s + after_s, next(self._numbers), step)
        heapq.heappush(self._queue, entry)

    def start(
        self,
        name: str,
        domain: str,
        is_listed: bool = False,
        incarnation: int | None = None,
    ) -> VirtualNode:
        """Start an instance, under a new name or again."""
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
            self.later(
                self.settings.listing_lag_s,
                lambda: self.listed.update({instance.instance_id: instance}),
            )
        self.give(node, Started(self.now_s))
        return node

    def kill(self, node: VirtualNode) -> None:
        """End a process; its kernel closes its connections."""
        node.is_alive = False
        name = node.instance.instance_id
        self.later(
            self.settings.listing_lag_s, lambda: self._unlist(name, node)
        )
        for link in tuple(self._links):
            if name in link:
                self._end_link(link, name, 'reset')

    def pause(self, node: VirtualNode, for_s: float) -> None:
        """Stop a process for a while; what reaches it waits."""
        node.is_paused = True
        self.later(for_s, lambda: self._resume(node))

    def silence(self, node: VirtualNode) -> None:
        """Lose what is sent on a node's present links; new ones work."""
        name = node.instance.instance_id
        self._silent.update(
            generation
            for link, generation in self._links.items()
            if name in link
        )

    def cut(self, one: str, other: str) -> None:
        """Cut two domains apart; the platform is one too."""
        self._cuts.add(frozenset((Domain(one), Domain(other))))

    def heal(self) -> None:
        """Mend all cuts."""
        self._cuts.clear()
        held = self._held
        self._held = []
        for link, generation, message in held:
            self._carry(link, generation, message)

    def live_nodes(self) -> list[VirtualNode]:
        """Give the nodes whose process runs."""
        return [node for node in self.nodes.values() if node.is_alive]

    def give(self, node: VirtualNode, event: Event) -> None:
        """Give a node an event, and perform what follows."""
        if not node.is_alive:
            return
        if node.is_paused:
            node.backlog.append(event)
            return
        for action in node.handle(event, self.now_s):
            self._perform(node, action)
        self._plan_wakeup(node)

    # Inside.

    def _begin_nodes(self) -> None:
        for domain, count in self.settings.domains:
            for number in range(count):
                name = f'{domain}-{number}'
                self.later(
                    number / count,
                    partial(self.start, name, domain, is_listed=True),
                )

    def _unlist(self, name: InstanceId, node: VirtualNode) -> None:
        if self.nodes.get(name) is node:
            self.listed.pop(name, None)

    def _resume(self, node: VirtualNode) -> None:
        node.is_paused = False
        backlog = node.backlog
        node.backlog = []
        for event in backlog:
            self.give(node, event)
        waiting = node.waiting
        node.waiting = []
        for step in waiting:
            step()
        self._wake(node)

    def _plan_wakeup(self, node: VirtualNode) -> None:
        wakeup_s = node.next_wakeup_s()
        if wakeup_s is None or wakeup_s == node.wakeup_s:
            return
        node.wakeup_s = wakeup_s
        self.later(max(0, wakeup_s - self.now_s), lambda: self._wake(node))

    def _wake(self, node: VirtualNode) -> None:
        wakeup_s = node.next_wakeup_s()
        if node.is_paused or wakeup_s is None or wakeup_s > self.now_s:
            return
        node.wakeup_s = None
        self.give(node, Woken())

    def _perform(self, node: VirtualNode, action: Action) -> None:
        match action:
            case SendPeer(peer_id=peer_id, message=message):
                self._send(node, peer_id, message)
            case ConnectPeer(peer_id=peer_id):
                self._connect(node, peer_id)
            case DisconnectPeer(peer_id=peer_id):
                name = node.instance.instance_id
                self._dials.discard((name, peer_id))
                self._end_link(_link(name, peer_id), name, 'closed')
            case WriteLog():
                node.logs.append(action)
            case ListInstances():
                self.later(PLATFORM_S, lambda: self._list(node))
            case _:
                self._call_store(node, action)

    def _list(self, node: VirtualNode) -> None:
        if self.list_is_out or not self._reaches(node, PLATFORM):
            self.give(node, ListingFailed('no answer'))
            return
        self.give(node, InstancesListed(tuple(self.listed.values())))

    def _call_store(self, node: VirtualNode, action: Action) -> None:
        if not isinstance(action, StoreCall):
            return
        if self._reaches(node, PLATFORM):
            self._reach_store(node, action)
            return
        failed = StoreFailed('timeout', may_have_happened=True)
        answer = StoreAnswered(action.operation_id, failed)
        self.later(CALL_TIMEOUT_S, lambda: self.give(node, answer))

    def _reach_store(self, node: VirtualNode, action: StoreCall) -> None:
        if isinstance(action, StoreWatch):
            self.store.watch(action, lambda end: self._answer(node, end))
            self.later(action.wait_s, lambda: self.store.end_watch(action))
            return
        ended = StoreAnswered(action.operation_id, self.store.call(action))
        self._answer(node, ended)

    def _answer(self, node: VirtualNode, event: StoreAnswered) -> None:
        if self._reaches(node, PLATFORM):
            self.later(PLATFORM_S, lambda: self.give(node, event))

    def _reaches(self, node: VirtualNode, domain: Domain) -> bool:
        return frozenset((node.instance.domain, domain)) not in self._cuts

    def _connect(self, node: VirtualNode, peer_id: InstanceId) -> None:
        peer = self.nodes.get(peer_id)
        if peer is None or not peer.is_alive:
            refused = PeerDisconnected(peer_id, 'refused')
            self.later(ACROSS_S, lambda: self.give(node, refused))
        elif self._reaches(node, peer.instance.domain):
            self._dials.add((node.instance.instance_id, peer_id))
            self.later(ACROSS_S, lambda: self._connected(node, peer))

    def _connected(self, node: VirtualNode, peer: VirtualNode) -> None:
        dial = (node.instance.instance_id, peer.instance.instance_id)
        if dial not in self._dials or not peer.is_alive:
            return
        paused = next((end for end in (node, peer) if end.is_paused), None)
        if paused is not None:
            # The kernel takes the connection; the process greets later.
            paused.waiting.append(lambda: self._connected(node, peer))
            return
        self._dials.discard(dial)
        link = _link(*dial)
        self._links[link] = next(self._numbers)
        self.give(node, PeerConnected(peer.instance.instance_id))
        self.give(peer, PeerConnected(node.instance.instance_id))

    def _end_link(self, link: Link, ended_by: InstanceId, cause: str) -> None:
        if self._links.pop(link, None) is None:
            return
        name = link[0] if link[1] == ended_by else link[1]
        peer = self.nodes[name]
        ender = self.nodes[ended_by]
        own_end = PeerDisconnected(name, cause)
        self.later(0, lambda: self.give(ender, own_end))
        if self._reaches(peer, ender.instance.domain):
            far_end = PeerDisconnected(ended_by, cause)
            self.later(ACROSS_S, lambda: self.give(peer, far_end))

    def _send(
        self, node: VirtualNode, peer_id: InstanceId, message: PeerMessage
    ) -> None:
        node.sent[type(message).__name__] += 1
        if self.settings.checks_codec:
            message = node.code(message)
        link = (node.instance.instance_id, peer_id)
        generation = self._links.get(_link(*link))
        if generation is not None and generation not in self._silent:
            self._carry(link, generation, message)

    def _carry(self, link: Link, generation: int, message: PeerMessage) -> None:
        sender, receiver = (self.nodes[name] for name in link)
        if not self._reaches(sender, receiver.instance.domain):
            self._held.append((link, generation, message))
            return
        same = sender.instance.domain == receiver.instance.domain
        self.later(
            IN_DOMAIN_S if same else ACROSS_S,
            lambda: self._deliver(link, generation, message),
        )

    def _deliver(
        self, link: Link, generation: int, message: PeerMessage
    ) -> None:
        if self._links.get(_link(*link)) != generation:
            return
        arrived = PeerMessageArrived(link[0], message)
        self.give(self.nodes[link[1]], arrived)


def _link(one: InstanceId, other: InstanceId) -> Link:
    return (one, other) if one < other else (other, one)
