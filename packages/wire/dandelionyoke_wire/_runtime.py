"""The task that owns a node, and the tasks that perform its actions."""

import time
from collections.abc import Callable
from functools import partial
from typing import Any, Protocol, get_args

from eventlet import GreenPool, greenthread, queue, sleep

from dandelionyoke_core import (
    Action,
    AnswerModels,
    AnswerService,
    AnswerStatus,
    AttemptId,
    CallService,
    CancelAttempt,
    ConnectPeer,
    DisconnectPeer,
    DropAttempt,
    Event,
    FinishCall,
    LeaseGrant,
    LeaseRelease,
    LeaseRenew,
    ListInstances,
    ListTargets,
    PollCacheEvents,
    PollLoad,
    ReadEngineOrder,
    RefuseCall,
    ResumeAttempt,
    SendEngineOrder,
    SendPeer,
    SendTargetOrder,
    SendTokens,
    StartAttempt,
    StoreAnswered,
    StoreDelete,
    StoreGet,
    StoreList,
    StorePut,
    StoreWatch,
    SubmitUsage,
    Woken,
)
from dandelionyoke_links import PeerHub, PeerSettings
from dandelionyoke_wire._engine import EngineClient
from dandelionyoke_wire._guarded import MaySend
from dandelionyoke_wire._mailboxes import Mailboxes
from dandelionyoke_wire._plain import PlainClient
from dandelionyoke_wire._platform import PlatformClient
from dandelionyoke_wire._pools import TargetPools
from dandelionyoke_wire._store import StoreClient

# Green threads that perform actions at once; more wait for a place.
MAX_TASKS = 8192

# Events handled in a row before other tasks get their turn.
EVENTS_IN_A_ROW = 64

ToCaller = (
    SendTokens
    | FinishCall
    | AnswerService
    | AnswerModels
    | AnswerStatus
    | RefuseCall
)
ToStore = (
    StoreGet
    | StoreList
    | StorePut
    | StoreDelete
    | StoreWatch
    | LeaseGrant
    | LeaseRenew
    | LeaseRelease
)
Attempt = StartAttempt | ResumeAttempt | CallService

_TO_CALLER: tuple[type[Action], ...] = get_args(ToCaller)
_TO_STORE: tuple[type[Action], ...] = get_args(ToStore)
_ATTEMPTS: tuple[type[Action], ...] = get_args(Attempt)


class Decider(Protocol):
    """A node, as the runtime sees it."""

    def handle(self, event: Event, now_s: float) -> list[Action]:
        """Take one event; return the actions that follow."""

    def next_wakeup_s(self) -> float | None:
        """Tell when the next `Woken` is due, or None."""


class ActionSink(Protocol):
    """Takes what is for the process itself: logs, metrics, the end."""

    def record(self, action: Action) -> None:
        """Take one such action."""


def clock_s() -> float:
    """Return the time for durations, which also runs during a suspend.

    A clock that stops while the machine is suspended would let a holder
    believe in a lease that has long lapsed.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Inbox:
    """Events on their way to the node."""

    def __init__(self) -> None:
        self._events = queue.LightQueue()

    def put(self, event: Event) -> None:
        """Add an event."""
        self._events.put(event)

    def take(self, wait_s: float | None) -> Event | None:
        """Wait for an event; None when the time is up."""
        try:
            event: Event = self._events.get(timeout=wait_s)
        except queue.Empty:
            return None
        return event


class NodeTask:
    """Owns a node: nothing else calls it."""

    def __init__(
        self,
        node: Decider,
        inbox: Inbox,
        perform: Callable[[Action], None],
    ) -> None:
        self._node = node
        self._inbox = inbox
        self._perform = perform

    def run(self) -> None:
        """Handle events and wake-ups for as long as the process lives."""
        while True:
            for _ in range(EVENTS_IN_A_ROW):
                self._turn()
            sleep(0)

    def _turn(self) -> None:
        self._act(self._inbox.take(self._wait_s()))
        wakeup_s = self._node.next_wakeup_s()
        if wakeup_s is not None and wakeup_s <= clock_s():
            self._act(Woken())

    def _wait_s(self) -> float | None:
        wakeup_s = self._node.next_wakeup_s()
        return None if wakeup_s is None else max(0, wakeup_s - clock_s())

    def _act(self, event: Event | None) -> None:
        if event is None:
            return
        for action in self._node.handle(event, clock_s()):
            self._perform(action)


class Performer:
    """Performs actions; each that blocks has a green thread of its own."""

    def __init__(
        self,
        platform_url: str,
        peer_settings: PeerSettings,
        inbox: Inbox,
        mailboxes: Mailboxes,
        sink: ActionSink,
    ) -> None:
        pools = TargetPools()
        self.peers = PeerHub(peer_settings, inbox.put)
        self.platform = PlatformClient(platform_url, inbox.put)
        self._engines = EngineClient(pools, inbox.put)
        self._plain = PlainClient(pools, inbox.put)
        self._store = StoreClient(platform_url)
        self._inbox = inbox
        self._mailboxes = mailboxes
        self._sink = sink
        self._tasks = GreenPool(MAX_TASKS)
        self._attempts: dict[AttemptId, greenthread.GreenThread] = {}
        self._performers = self._table()

    def perform(self, action: Action) -> None:
        """Start one action; never blocks on the world."""
        performer = self._performers.get(type(action), self._sink.record)
        performer(action)

    def _table(self) -> dict[type[Action], Callable[[Any], None]]:
        spawn = self._tasks.spawn_n
        engines, platform, peers = self._engines, self.platform, self.peers
        return {
            **dict.fromkeys(_TO_CALLER, self._deliver),
            **dict.fromkeys(_TO_STORE, partial(spawn, self._ask_store)),
            **dict.fromkeys(_ATTEMPTS, self._start_attempt),
            DropAttempt: self._drop_attempt,
            CancelAttempt: self._cancel_attempt,
            SendPeer: self._send_peer,
            ConnectPeer: partial(spawn, self._connect_peer),
            DisconnectPeer: lambda action: peers.disconnect(action.peer_id),
            ListTargets: lambda _: spawn(platform.list_targets),
            ListInstances: lambda _: spawn(platform.list_instances),
            SendTargetOrder: _guarded(spawn, platform.order_targets),
            SubmitUsage: _guarded(spawn, platform.submit_usage),
            PollLoad: partial(spawn, engines.poll_load),
            PollCacheEvents: partial(spawn, engines.poll_cache_events),
            SendEngineOrder: _guarded(spawn, engines.send_order),
            ReadEngineOrder: partial(spawn, engines.read_order),
        }

    def _deliver(self, action: ToCaller) -> None:
        self._mailboxes.deliver(action.request_id, action)

    def _send_peer(self, action: SendPeer) -> None:
        self.peers.send(action.peer_id, action.message)

    def _connect_peer(self, action: ConnectPeer) -> None:
        self.peers.connect(action.peer_id, action.address)

    def _ask_store(self, action: ToStore) -> None:
        stored = self._store.perform(action)
        self._inbox.put(StoreAnswered(action.operation_id, stored))

    def _start_attempt(self, action: Attempt) -> None:
        task = self._tasks.spawn(self._attempt, action)
        self._attempts[action.attempt_id] = task
        task.link(lambda _: self._attempts.pop(action.attempt_id, None))

    def _attempt(self, action: Attempt) -> None:
        match action:
            case StartAttempt():
                self._engines.start(action)
            case ResumeAttempt():
                self._engines.resume(action)
            case CallService():
                self._plain.call(action)

    def _cancel_attempt(self, action: CancelAttempt) -> None:
        self._drop_attempt(action)
        self._tasks.spawn_n(self._engines.cancel, action)

    def _drop_attempt(self, action: CancelAttempt | DropAttempt) -> None:
        task = self._attempts.pop(action.attempt_id, None)
        if task is not None:
            task.kill()


def _guarded(
    spawn: Callable[..., None], perform: Callable[[Any, MaySend], None]
) -> Callable[[Any], None]:
    """Perform an order only while its term lasts."""
    return lambda action: spawn(
        perform, action, lambda: clock_s() < action.not_after_s
    )
