"""Whole nodes in one process, in virtual time, from one seed.

This drives `Node.handle` and carries out its actions on the models of this
package. It is a driver for tests and measurements and simulates no network
beyond a delay and a cut.
"""

import hashlib
import heapq
import itertools
import random
from collections.abc import Callable, Iterable
from typing import NamedTuple, Protocol

import attrs
import cattrs

from dandelionyoke_core import (
    Action,
    AnswerService,
    CallService,
    CancelAttempt,
    ConnectPeer,
    DisconnectPeer,
    DropAttempt,
    Event,
    FinishCall,
    Instance,
    InstanceId,
    ListInstances,
    ListTargets,
    PeerConnected,
    PeerDisconnected,
    PeerMessageArrived,
    PollCacheEvents,
    PollLoad,
    ReadEngineOrder,
    RefuseCall,
    RequestId,
    ResumeAttempt,
    SendEngineOrder,
    SendPeer,
    SendTargetOrder,
    SendTokens,
    StartAttempt,
    SubmitUsage,
    Woken,
)
from dandelionyoke_standins import _platform as platform_models
from dandelionyoke_standins._plain import PlainModel
from dandelionyoke_standins._platform import PlatformModel
from dandelionyoke_standins._world_platform import PlatformDesk, WorldSettings
from dandelionyoke_standins._world_targets import (
    Delivery,
    VirtualEngine,
    take_plain,
    unreachable,
)


class Handler(Protocol):
    """A node, as its driver sees it."""

    def handle(self, event: Event, now_s: float) -> list[Action]:
        """Take one event; return the actions that follow."""

    def next_wakeup_s(self) -> float | None:
        """Tell when the next `Woken` is due, or None."""


@attrs.define
class CallRecord:
    """What a caller received."""

    tokens: list[str] = attrs.field(factory=list)
    token_times_s: list[float] = attrs.field(factory=list)
    finished: FinishCall | None = None
    answered: AnswerService | None = None
    refused: RefuseCall | None = None
    ended_s: float | None = None


@attrs.define
class _Member:
    instance: Instance
    node: Handler
    is_paused: bool = False
    is_dead: bool = False
    woken_at_s: float | None = None
    held: list[Event] = attrs.field(factory=list)
    links: set[InstanceId] = attrs.field(factory=set)


class _Due(NamedTuple):
    moment_s: float
    order: int
    happen: Callable[[], None]


class World:
    """Nodes, the platform and targets under one virtual clock."""

    def __init__(
        self, seed: int, settings: WorldSettings | None = None
    ) -> None:
        self.settings = settings or WorldSettings()
        self.random = random.Random(seed)
        self.now_s = 0.0
        self.platform = PlatformModel()
        self.engines: dict[str, VirtualEngine] = {}
        self.plains: dict[str, PlainModel] = {}
        self.calls: dict[RequestId, CallRecord] = {}
        self.actions: list[tuple[float, str, Action]] = []
        self.keep_actions: tuple[type[Action], ...] = ()
        self.peer_messages = 0
        self.target_domains: dict[str, str] = {}
        self._desk = PlatformDesk(self, self.platform)
        self._members: dict[InstanceId, _Member] = {}
        self._queue: list[_Due] = []
        self._order = itertools.count()
        self._cuts: set[frozenset[str]] = set()
        self._digest = hashlib.sha256()
        self._is_stepping = False
        self._performers = self._table()

    # What a test sets up and does.

    def add_node(self, instance: Instance, node: Handler) -> None:
        """Add a node and list it at the platform."""
        self._members[instance.instance_id] = _Member(instance, node)
        self.platform.list_instance(
            cattrs.structure(
                cattrs.unstructure(instance), platform_models.Instance
            ),
            self.now_s,
        )

    def add_engine(
        self, address: str, engine: VirtualEngine, domain: str
    ) -> None:
        """Put an engine behind an address of a failure domain."""
        self.engines[address] = engine
        self.target_domains[address] = domain

    def send(self, instance_id: InstanceId, event: Event) -> None:
        """Give a node an event now."""
        request_id = getattr(event, 'request_id', None)
        if request_id is not None:
            self.calls.setdefault(request_id, CallRecord())
        self._deliver(instance_id, event)

    def run(self, until_s: float) -> None:
        """Let time pass."""
        self._step_engines()
        while self._queue and self._queue[0].moment_s <= until_s:
            due = heapq.heappop(self._queue)
            self.now_s = due.moment_s
            due.happen()
        self.now_s = until_s

    def later(self, delay_s: float, happen: Callable[[], None]) -> None:
        """Do something after a delay."""
        moment_s = self.now_s + delay_s
        due = _Due(moment_s, next(self._order), happen)
        heapq.heappush(self._queue, due)

    def kill(self, instance_id: InstanceId) -> None:
        """End a node without a word; its peers see closed links."""
        member = self._members[instance_id]
        member.is_dead = True
        for peer_id in tuple(member.links):
            self._unlink(instance_id, peer_id, 'connection reset')

    def pause(self, instance_id: InstanceId) -> None:
        """Stop a node; what comes meanwhile waits."""
        self._members[instance_id].is_paused = True

    def resume(self, instance_id: InstanceId) -> None:
        """Let a paused node go on."""
        member = self._members[instance_id]
        member.is_paused = False
        held = tuple(member.held)
        member.held.clear()
        for event in held:
            self._deliver(instance_id, event)
        self._wake(instance_id)

    def cut(self, left: str, right: str) -> None:
        """Cut two places (failure domains, or the platform) apart."""
        self._cuts.add(frozenset((left, right)))
        for instance_id, member in self._members.items():
            for peer_id in tuple(member.links):
                if not self.reaches(instance_id, self._domain(peer_id)):
                    self._unlink(instance_id, peer_id, 'timed out')

    def heal(self, left: str, right: str) -> None:
        """End a cut."""
        self._cuts.discard(frozenset((left, right)))

    def tell_watches(self) -> None:
        """Answer the watches after a write from outside."""
        self._desk.tell_watches()

    @property
    def trace(self) -> str:
        """A digest of all that every node was given and asked for."""
        return self._digest.hexdigest()

    # Events to nodes.

    def _deliver(self, instance_id: InstanceId, event: Event) -> None:
        member = self._members[instance_id]
        if member.is_dead:
            return
        if member.is_paused:
            member.held.append(event)
            return
        self._note(instance_id, event)
        for action in member.node.handle(event, self.now_s):
            self._note(instance_id, action)
            self._perform(instance_id, action)
        self._schedule_wakeup(instance_id)

    def _schedule_wakeup(self, instance_id: InstanceId) -> None:
        member = self._members[instance_id]
        wakeup_s = member.node.next_wakeup_s()
        if wakeup_s is None or member.is_dead:
            return
        if member.woken_at_s is not None and member.woken_at_s <= wakeup_s:
            return
        member.woken_at_s = wakeup_s
        delay_s = max(0, wakeup_s - self.now_s)
        self.later(delay_s, lambda: self._wake(instance_id))

    def _wake(self, instance_id: InstanceId) -> None:
        member = self._members[instance_id]
        member.woken_at_s = None
        if not member.is_paused:
            self._deliver(instance_id, Woken())

    def _note(self, instance_id: InstanceId, thing: Event | Action) -> None:
        line = f'{self.now_s:.9f} {instance_id} {thing!r}\n'
        self._digest.update(line.encode())
        if isinstance(thing, self.keep_actions):
            self.actions.append((self.now_s, instance_id, thing))

    def send_later(
        self, instance_id: InstanceId, delay_s: float, event: Event
    ) -> None:
        self.later(
            self.jittered(delay_s), lambda: self._deliver(instance_id, event)
        )

    def jittered(self, delay_s: float) -> float:
        return delay_s * (1 + self.settings.jitter_share * self.random.random())

    # Actions of nodes.

    def _table(self) -> dict[type[Action], Callable[..., None]]:
        return {
            SendTokens: self._take_tokens,
            FinishCall: self._take_end,
            AnswerService: self._take_end,
            RefuseCall: self._take_end,
            StartAttempt: self._ask_target,
            ResumeAttempt: self._ask_target,
            CallService: self._ask_target,
            CancelAttempt: self._ask_target,
            DropAttempt: self._drop,
            PollLoad: self._ask_target,
            PollCacheEvents: self._ask_target,
            SendEngineOrder: self._ask_target,
            ReadEngineOrder: self._ask_target,
            SendPeer: self._send_peer,
            ConnectPeer: self._connect,
            DisconnectPeer: self._disconnect,
            ListTargets: self._desk.ask,
            ListInstances: self._desk.ask,
            SendTargetOrder: self._desk.ask,
            SubmitUsage: self._desk.ask,
        }

    def _perform(self, instance_id: InstanceId, action: Action) -> None:
        performer = self._performers.get(type(action))
        if performer is not None:
            performer(instance_id, action)
        elif hasattr(action, 'operation_id'):
            self._desk.ask_store(instance_id, action)

    # Callers.

    def _take_tokens(self, instance_id: InstanceId, action: SendTokens) -> None:
        call = self.calls[action.request_id]
        call.tokens.extend(action.tokens)
        call.token_times_s.extend(self.now_s for _ in action.tokens)

    def _take_end(
        self,
        instance_id: InstanceId,
        action: FinishCall | AnswerService | RefuseCall,
    ) -> None:
        call = self.calls[action.request_id]
        call.ended_s = self.now_s
        match action:
            case FinishCall():
                call.finished = action
            case AnswerService():
                call.answered = action
            case RefuseCall():
                call.refused = action

    # Targets.

    def _ask_target(self, instance_id: InstanceId, action: Action) -> None:
        self.later(
            self.jittered(self.settings.target_delay_s),
            lambda: self._target_takes(instance_id, action),
        )

    def _target_takes(self, instance_id: InstanceId, action: Action) -> None:
        address = str(getattr(action, 'address', ''))
        plain = self.plains.get(address)
        engine = self.engines.get(address)
        if not self._reaches_target(instance_id, address):
            self._unreachable(instance_id, action)
        elif engine is not None:
            self._hand_out(engine.take(instance_id, action, self.now_s))
        elif plain is not None:
            self._hand_out(take_plain(plain, instance_id, action, self.now_s))
        else:
            self._unreachable(instance_id, action)

    def _unreachable(self, instance_id: InstanceId, action: Action) -> None:
        event = unreachable(action)
        if event is not None:
            delay_s = self.settings.target_delay_s
            self.send_later(instance_id, delay_s, event)

    def _drop(self, instance_id: InstanceId, action: DropAttempt) -> None:
        for engine in self.engines.values():
            engine.drop(instance_id, action.attempt_id)

    def _hand_out(self, deliveries: Iterable[Delivery]) -> None:
        for delivery in deliveries:
            self.send_later(
                InstanceId(delivery.node_id),
                self.settings.target_delay_s,
                delivery.event,
            )

    def _step_engines(self) -> None:
        if not self._is_stepping:
            self._is_stepping = True
            self._step()

    def _step(self) -> None:
        for address, engine in self.engines.items():
            for delivery in engine.advance(self.now_s):
                reader = InstanceId(delivery.node_id)
                if self._reaches_target(reader, address):
                    self._hand_out((delivery,))
        self.later(self.settings.engine_step_s, self._step)

    # Peers.

    def _connect(self, instance_id: InstanceId, action: ConnectPeer) -> None:
        self.later(
            self.jittered(self.settings.peer_delay_s),
            lambda: self._link(instance_id, action.peer_id),
        )

    def _link(self, instance_id: InstanceId, peer_id: InstanceId) -> None:
        peer = self._members.get(peer_id)
        is_up = peer is not None and not peer.is_dead and not peer.is_paused
        if not is_up or not self.reaches(instance_id, self._domain(peer_id)):
            event = PeerDisconnected(peer_id, 'no connection')
            self.send_later(instance_id, self.settings.peer_delay_s, event)
            return
        if peer_id in self._members[instance_id].links:
            return
        for one, other in ((instance_id, peer_id), (peer_id, instance_id)):
            self._members[one].links.add(other)
            self._deliver(one, PeerConnected(other))

    def _disconnect(
        self, instance_id: InstanceId, action: DisconnectPeer
    ) -> None:
        self._unlink(instance_id, action.peer_id, 'closed')

    def _unlink(
        self, instance_id: InstanceId, peer_id: InstanceId, cause: str
    ) -> None:
        if peer_id not in self._members[instance_id].links:
            return
        for one, other in ((instance_id, peer_id), (peer_id, instance_id)):
            self._members[one].links.discard(other)
            event = PeerDisconnected(other, cause)
            self.send_later(one, self.settings.peer_delay_s, event)

    def _send_peer(self, instance_id: InstanceId, action: SendPeer) -> None:
        if action.peer_id not in self._members[instance_id].links:
            return
        self.peer_messages += 1
        event = PeerMessageArrived(instance_id, action.message)
        self.later(
            self.jittered(self.settings.peer_delay_s),
            lambda: self._arrive(instance_id, action.peer_id, event),
        )

    def _arrive(
        self,
        instance_id: InstanceId,
        peer_id: InstanceId,
        event: PeerMessageArrived,
    ) -> None:
        if peer_id in self._members[instance_id].links:
            self._deliver(peer_id, event)

    # Reachability.

    def reaches(self, instance_id: InstanceId, place: str) -> bool:
        pair = frozenset((self._domain(instance_id), place))
        return pair not in self._cuts

    def _reaches_target(self, instance_id: InstanceId, address: str) -> bool:
        domain = self.target_domains.get(address)
        return domain is None or self.reaches(instance_id, domain)

    def _domain(self, instance_id: InstanceId) -> str:
        return self._members[instance_id].instance.domain
