"""Simulation of complete nodes in one process and in virtual time.

It calls `Node.handle` and performs the resulting actions on the models of
this package; one seed determines the run. It is meant for tests and
measurements and simulates the network only as delays and partitions.
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
    AbandonAttempt,
    Action,
    CallService,
    CancelAttempt,
    ConnectPeer,
    DisconnectPeer,
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
    RespondService,
    ResumeAttempt,
    SendEngineOrder,
    SendPeer,
    SendTargetOrder,
    SendTokens,
    StartAttempt,
    SubmitUsage,
    TimerFired,
)
from dandelionyoke_standins import _platform as platform_models
from dandelionyoke_standins._plain import PlainModel
from dandelionyoke_standins._platform import PlatformModel
from dandelionyoke_standins._world_platform import (
    NodeSimulationSettings,
    PlatformAdapter,
)
from dandelionyoke_standins._world_targets import (
    Delivery,
    VirtualEngine,
    perform_plain,
    unreachable_event,
)


class NodeHandler(Protocol):
    """The interface of a node that the simulation uses."""

    def handle(self, event: Event, now_s: float) -> list[Action]:
        """Handle one event; return the resulting actions."""

    def next_wakeup_s(self) -> float | None:
        """Return when the next `TimerFired` event is due, or None."""


@attrs.define
class CallRecord:
    """The response to a call as its caller received it."""

    tokens: list[str] = attrs.field(factory=list)
    token_times_s: list[float] = attrs.field(factory=list)
    finished: FinishCall | None = None
    answered: RespondService | None = None
    refused: RefuseCall | None = None
    ended_s: float | None = None


@attrs.define
class _Member:
    instance: Instance
    node: NodeHandler
    is_paused: bool = False
    is_dead: bool = False
    scheduled_wakeup_s: float | None = None
    pending_events: list[Event] = attrs.field(factory=list)
    connected_peers: set[InstanceId] = attrs.field(factory=set)


class _ScheduledCallback(NamedTuple):
    due_s: float
    sequence: int
    callback: Callable[[], None]


class NodeSimulation:
    """Nodes, platform and targets with a common virtual clock.

    Actions of the types in `recorded_types` are recorded in `recorded_actions`.
    """

    def __init__(
        self, seed: int, settings: NodeSimulationSettings | None = None
    ) -> None:
        self.settings = settings or NodeSimulationSettings()
        self.random = random.Random(seed)
        self.now_s = 0.0
        self.platform = PlatformModel()
        self.engines: dict[str, VirtualEngine] = {}
        self.plain_services: dict[str, PlainModel] = {}
        self.calls: dict[RequestId, CallRecord] = {}
        self.recorded_actions: list[tuple[float, str, Action]] = []
        self.recorded_types: tuple[type[Action], ...] = ()
        self.peer_message_count = 0
        self.target_domains: dict[str, str] = {}
        self._platform_adapter = PlatformAdapter(self, self.platform)
        self._members: dict[InstanceId, _Member] = {}
        self._queue: list[_ScheduledCallback] = []
        self._sequence = itertools.count()
        self._partitions: set[frozenset[str]] = set()
        self._digest = hashlib.sha256()
        self._is_stepping = False
        self._performers = self._build_performers()

    # Setup and control by tests.

    def add_node(self, instance: Instance, node: NodeHandler) -> None:
        """Add a node and list its instance at the platform."""
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
        """Add an engine with an address in a failure domain."""
        self.engines[address] = engine
        self.target_domains[address] = domain

    def deliver(self, instance_id: InstanceId, event: Event) -> None:
        """Deliver an event to a node now."""
        request_id = getattr(event, 'request_id', None)
        if request_id is not None:
            self.calls.setdefault(request_id, CallRecord())
        self._deliver(instance_id, event)

    def run(self, until_s: float) -> None:
        """Run the simulation up to a time."""
        self._start_stepping()
        while self._queue and self._queue[0].due_s <= until_s:
            scheduled = heapq.heappop(self._queue)
            self.now_s = scheduled.due_s
            scheduled.callback()
        self.now_s = until_s

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Schedule a callback after a delay."""
        due_s = self.now_s + delay_s
        scheduled = _ScheduledCallback(due_s, next(self._sequence), callback)
        heapq.heappush(self._queue, scheduled)

    def kill(self, instance_id: InstanceId) -> None:
        """Kill a node without a shutdown; its peers see closed links."""
        member = self._members[instance_id]
        member.is_dead = True
        for peer_id in tuple(member.connected_peers):
            self._close_link(instance_id, peer_id, 'connection reset')

    def pause(self, instance_id: InstanceId) -> None:
        """Pause a node; events for it are queued until it resumes."""
        self._members[instance_id].is_paused = True

    def resume(self, instance_id: InstanceId) -> None:
        """Resume a paused node and deliver its queued events."""
        member = self._members[instance_id]
        member.is_paused = False
        pending_events = tuple(member.pending_events)
        member.pending_events.clear()
        for event in pending_events:
            self._deliver(instance_id, event)
        self._wake(instance_id)

    def partition(self, left: str, right: str) -> None:
        """Partition two places (failure domains, or the platform)."""
        self._partitions.add(frozenset((left, right)))
        for instance_id, member in self._members.items():
            for peer_id in tuple(member.connected_peers):
                if not self.reaches(instance_id, self._domain(peer_id)):
                    self._close_link(instance_id, peer_id, 'timed out')

    def end_partition(self, left: str, right: str) -> None:
        """End a partition."""
        self._partitions.discard(frozenset((left, right)))

    def answer_watches(self) -> None:
        """Answer the watches after a write that no node made."""
        self._platform_adapter.answer_watches()

    @property
    def trace_digest(self) -> str:
        """Digest of all events to nodes and all their actions."""
        return self._digest.hexdigest()

    # Delivery of events to nodes.

    def _deliver(self, instance_id: InstanceId, event: Event) -> None:
        member = self._members[instance_id]
        if member.is_dead:
            return
        if member.is_paused:
            member.pending_events.append(event)
            return
        self._trace(instance_id, event)
        for action in member.node.handle(event, self.now_s):
            self._trace(instance_id, action)
            self._perform(instance_id, action)
        self._schedule_wakeup(instance_id)

    def _schedule_wakeup(self, instance_id: InstanceId) -> None:
        member = self._members[instance_id]
        wakeup_s = member.node.next_wakeup_s()
        if wakeup_s is None or member.is_dead:
            return
        if (
            member.scheduled_wakeup_s is not None
            and member.scheduled_wakeup_s <= wakeup_s
        ):
            return
        member.scheduled_wakeup_s = wakeup_s
        delay_s = max(0, wakeup_s - self.now_s)
        self.call_later(delay_s, lambda: self._wake(instance_id))

    def _wake(self, instance_id: InstanceId) -> None:
        member = self._members[instance_id]
        member.scheduled_wakeup_s = None
        if not member.is_paused:
            self._deliver(instance_id, TimerFired())

    def _trace(self, instance_id: InstanceId, item: Event | Action) -> None:
        line = f'{self.now_s:.9f} {instance_id} {item!r}\n'
        self._digest.update(line.encode())
        if isinstance(item, self.recorded_types):
            self.recorded_actions.append((self.now_s, instance_id, item))

    def send_later(
        self, instance_id: InstanceId, delay_s: float, event: Event
    ) -> None:
        self.call_later(
            self.add_jitter(delay_s), lambda: self._deliver(instance_id, event)
        )

    def add_jitter(self, delay_s: float) -> float:
        return delay_s * (1 + self.settings.jitter_share * self.random.random())

    # Dispatch of the nodes' actions.

    def _build_performers(self) -> dict[type[Action], Callable[..., None]]:
        return {
            SendTokens: self._record_tokens,
            FinishCall: self._record_end,
            RespondService: self._record_end,
            RefuseCall: self._record_end,
            StartAttempt: self._send_to_target,
            ResumeAttempt: self._send_to_target,
            CallService: self._send_to_target,
            CancelAttempt: self._send_to_target,
            AbandonAttempt: self._stop_reading,
            PollLoad: self._send_to_target,
            PollCacheEvents: self._send_to_target,
            SendEngineOrder: self._send_to_target,
            ReadEngineOrder: self._send_to_target,
            SendPeer: self._send_peer,
            ConnectPeer: self._connect,
            DisconnectPeer: self._disconnect,
            ListTargets: self._platform_adapter.submit,
            ListInstances: self._platform_adapter.submit,
            SendTargetOrder: self._platform_adapter.submit,
            SubmitUsage: self._platform_adapter.submit,
        }

    def _perform(self, instance_id: InstanceId, action: Action) -> None:
        performer = self._performers.get(type(action))
        if performer is not None:
            performer(instance_id, action)
        elif hasattr(action, 'operation_id'):
            self._platform_adapter.submit_store_call(instance_id, action)

    # Callers.

    def _record_tokens(
        self, instance_id: InstanceId, action: SendTokens
    ) -> None:
        call = self.calls[action.request_id]
        call.tokens.extend(action.tokens)
        call.token_times_s.extend(self.now_s for _ in action.tokens)

    def _record_end(
        self,
        instance_id: InstanceId,
        action: FinishCall | RespondService | RefuseCall,
    ) -> None:
        call = self.calls[action.request_id]
        call.ended_s = self.now_s
        match action:
            case FinishCall():
                call.finished = action
            case RespondService():
                call.answered = action
            case RefuseCall():
                call.refused = action

    # Targets.

    def _send_to_target(self, instance_id: InstanceId, action: Action) -> None:
        self.call_later(
            self.add_jitter(self.settings.target_delay_s),
            lambda: self._perform_at_target(instance_id, action),
        )

    def _perform_at_target(
        self, instance_id: InstanceId, action: Action
    ) -> None:
        address = str(getattr(action, 'address', ''))
        plain = self.plain_services.get(address)
        engine = self.engines.get(address)
        if not self._reaches_target(instance_id, address):
            self._report_unreachable(instance_id, action)
        elif engine is not None:
            self._send_deliveries(engine.take(instance_id, action, self.now_s))
        elif plain is not None:
            self._send_deliveries(
                perform_plain(plain, instance_id, action, self.now_s)
            )
        else:
            self._report_unreachable(instance_id, action)

    def _report_unreachable(
        self, instance_id: InstanceId, action: Action
    ) -> None:
        event = unreachable_event(action)
        if event is not None:
            delay_s = self.settings.target_delay_s
            self.send_later(instance_id, delay_s, event)

    def _stop_reading(
        self, instance_id: InstanceId, action: AbandonAttempt
    ) -> None:
        for engine in self.engines.values():
            engine.stop_reading(instance_id, action.attempt_id)

    def _send_deliveries(self, deliveries: Iterable[Delivery]) -> None:
        for delivery in deliveries:
            self.send_later(
                InstanceId(delivery.node_id),
                self.settings.target_delay_s,
                delivery.event,
            )

    def _start_stepping(self) -> None:
        if not self._is_stepping:
            self._is_stepping = True
            self._step_engines()

    def _step_engines(self) -> None:
        for address, engine in self.engines.items():
            for delivery in engine.advance(self.now_s):
                reader = InstanceId(delivery.node_id)
                if self._reaches_target(reader, address):
                    self._send_deliveries((delivery,))
        self.call_later(self.settings.engine_step_s, self._step_engines)

    # Peers.

    def _connect(self, instance_id: InstanceId, action: ConnectPeer) -> None:
        self.call_later(
            self.add_jitter(self.settings.peer_delay_s),
            lambda: self._complete_connect(instance_id, action.peer_id),
        )

    def _complete_connect(
        self, instance_id: InstanceId, peer_id: InstanceId
    ) -> None:
        peer = self._members.get(peer_id)
        is_up = peer is not None and not peer.is_dead and not peer.is_paused
        if not is_up or not self.reaches(instance_id, self._domain(peer_id)):
            event = PeerDisconnected(peer_id, 'no connection')
            self.send_later(instance_id, self.settings.peer_delay_s, event)
            return
        if peer_id in self._members[instance_id].connected_peers:
            return
        for first, second in ((instance_id, peer_id), (peer_id, instance_id)):
            self._members[first].connected_peers.add(second)
            self._deliver(first, PeerConnected(second))

    def _disconnect(
        self, instance_id: InstanceId, action: DisconnectPeer
    ) -> None:
        self._close_link(instance_id, action.peer_id, 'closed')

    def _close_link(
        self, instance_id: InstanceId, peer_id: InstanceId, cause: str
    ) -> None:
        if peer_id not in self._members[instance_id].connected_peers:
            return
        for first, second in ((instance_id, peer_id), (peer_id, instance_id)):
            self._members[first].connected_peers.discard(second)
            event = PeerDisconnected(second, cause)
            self.send_later(first, self.settings.peer_delay_s, event)

    def _send_peer(self, instance_id: InstanceId, action: SendPeer) -> None:
        if action.peer_id not in self._members[instance_id].connected_peers:
            return
        self.peer_message_count += 1
        event = PeerMessageArrived(instance_id, action.message)
        self.call_later(
            self.add_jitter(self.settings.peer_delay_s),
            lambda: self._deliver_peer_message(
                instance_id, action.peer_id, event
            ),
        )

    def _deliver_peer_message(
        self,
        instance_id: InstanceId,
        peer_id: InstanceId,
        event: PeerMessageArrived,
    ) -> None:
        if peer_id in self._members[instance_id].connected_peers:
            self._deliver(peer_id, event)

    # Reachability.

    def reaches(self, instance_id: InstanceId, place: str) -> bool:
        pair = frozenset((self._domain(instance_id), place))
        return pair not in self._partitions

    def _reaches_target(self, instance_id: InstanceId, address: str) -> bool:
        domain = self.target_domains.get(address)
        return domain is None or self.reaches(instance_id, domain)

    def _domain(self, instance_id: InstanceId) -> str:
        return self._members[instance_id].instance.domain
