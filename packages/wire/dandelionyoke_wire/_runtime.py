"""The event loop of a node, and the green threads for its actions."""

from collections.abc import Callable
from functools import partial
from typing import Any, Protocol, get_args

from eventlet import GreenPool, greenthread, queue, sleep

from dandelionyoke_core import (
    AbandonAttempt,
    Action,
    AttemptId,
    CallService,
    CancelAttempt,
    ConnectPeer,
    DisconnectPeer,
    Event,
    FinishCall,
    LeaseGrant,
    LeaseRelease,
    LeaseRenew,
    ListInstances,
    ListTargets,
    PollCacheEvents,
    PollLoad,
    ProcessStalled,
    ReadEngineOrder,
    RefuseCall,
    RespondModels,
    RespondService,
    RespondStatus,
    ResumeAttempt,
    SendEngineOrder,
    SendPeer,
    SendTargetOrder,
    SendTokens,
    StartAttempt,
    StoreDelete,
    StoreGet,
    StoreList,
    StorePut,
    StoreReplaced,
    StoreResponded,
    StoreWatch,
    SubmitUsage,
    TimerFired,
    WriteLog,
)
from dandelionyoke_links import PeerHub, PeerSettings, clock_s, running_s
from dandelionyoke_wire._engine import EngineClient
from dandelionyoke_wire._guarded import MaySend
from dandelionyoke_wire._plain import PlainClient
from dandelionyoke_wire._platform import PlatformClient
from dandelionyoke_wire._pools import TargetPools
from dandelionyoke_wire._response_queues import ResponseQueues
from dandelionyoke_wire._store import StoreClient

# Maximum concurrent green threads; further actions wait for a free one.
MAX_GREEN_THREADS = 8192

# Events handled before the loop yields to other green threads.
EVENTS_PER_YIELD = 64

# How long a wake-up waits for input that has arrived, and the maximum of events
# that it waits for. A busy node would never wake up otherwise.
INPUT_PAUSE_S = 0.001
MAX_EVENTS_BEFORE_TIMERS = 1024

CallerAction = (
    SendTokens
    | FinishCall
    | RespondService
    | RespondModels
    | RespondStatus
    | RefuseCall
)
StoreAction = (
    StoreGet
    | StoreList
    | StorePut
    | StoreDelete
    | StoreWatch
    | LeaseGrant
    | LeaseRenew
    | LeaseRelease
)
AttemptAction = StartAttempt | ResumeAttempt | CallService

_CALLER_ACTIONS: tuple[type[Action], ...] = get_args(CallerAction)
_STORE_ACTIONS: tuple[type[Action], ...] = get_args(StoreAction)
_ATTEMPT_ACTIONS: tuple[type[Action], ...] = get_args(AttemptAction)


# A shorter standstill changes no decision.
MIN_STANDSTILL_S = 0.1


class EventHandler(Protocol):
    """Interface of a node to the runtime."""

    def handle(self, event: Event, now_s: float) -> list[Action]:
        """Handle one event and return the resulting actions."""

    def next_wakeup_s(self) -> float | None:
        """Return when the next `TimerFired` event is due, or None."""


class ActionSink(Protocol):
    """Receiver of actions for the process: logs, metrics and exit."""

    def record(self, action: Action) -> None:
        """Record one action."""


class EventQueue:
    """Queue of events for the node."""

    def __init__(self) -> None:
        self._events = queue.LightQueue()

    def __len__(self) -> int:
        return int(self._events.qsize())

    def put(self, event: Event) -> None:
        """Add an event."""
        self._events.put(event)

    def take(self, timeout_s: float | None) -> Event | None:
        """Wait for an event; return None on timeout."""
        try:
            event: Event = self._events.get(timeout=timeout_s)
        except queue.Empty:
            return None
        return event


class Stopwatch:
    """Measures for how long this process stood still."""

    def __init__(self) -> None:
        self._read_s = clock_s()
        self._running_s = running_s()

    def take_stalled_s(self) -> float:
        """Return how long the process stood still since the last call."""
        elapsed_s = clock_s() - self._read_s
        ran_s = running_s() - self._running_s
        self._read_s += elapsed_s
        self._running_s += ran_s
        return elapsed_s - ran_s


class NodeEventLoop:
    """Event loop of a node, and its only caller."""

    def __init__(
        self,
        node: EventHandler,
        event_queue: EventQueue,
        perform: Callable[[Action], None],
    ) -> None:
        self._node = node
        self._event_queue = event_queue
        self._perform = perform
        self._stopwatch = Stopwatch()

    def run(self) -> None:
        """Handle events and wake-ups until the process ends."""
        while True:
            for _ in range(EVENTS_PER_YIELD):
                self._handle_next()
            sleep(0)

    def _handle_next(self) -> None:
        self._handle(self._event_queue.take(self._wakeup_delay_s()))
        if self._is_wakeup_due():
            self._handle_arrived()
        if self._is_wakeup_due():
            self._handle(TimerFired())

    def _handle_arrived(self) -> None:
        """Handle what has arrived before the node believes its timers."""
        # After a standstill it may not be read yet. A pause, unlike a switch
        # of threads, ends after the input.
        sleep(INPUT_PAUSE_S)
        for _ in range(min(len(self._event_queue), MAX_EVENTS_BEFORE_TIMERS)):
            self._handle(self._event_queue.take(0))

    def _is_wakeup_due(self) -> bool:
        wakeup_s = self._node.next_wakeup_s()
        return wakeup_s is not None and wakeup_s <= clock_s()

    def _wakeup_delay_s(self) -> float | None:
        wakeup_s = self._node.next_wakeup_s()
        return None if wakeup_s is None else max(0, wakeup_s - clock_s())

    def _handle(self, event: Event | None) -> None:
        if event is None:
            return
        stalled_s = self._stopwatch.take_stalled_s()
        if stalled_s >= MIN_STANDSTILL_S:
            self._pass_on(ProcessStalled(stalled_s))
        self._pass_on(event)

    def _pass_on(self, event: Event) -> None:
        for action in self._node.handle(event, clock_s()):
            self._perform(action)


class ActionExecutor:
    """Executor of actions; each blocking one runs in its own green thread."""

    def __init__(
        self,
        platform_url: str,
        peer_settings: PeerSettings,
        event_queue: EventQueue,
        response_queues: ResponseQueues,
        sink: ActionSink,
    ) -> None:
        pools = TargetPools()
        self.peers = PeerHub(peer_settings, event_queue.put)
        self.platform = PlatformClient(
            platform_url, event_queue.put, sink.record
        )
        self._engines = EngineClient(pools, event_queue.put)
        self._plain = PlainClient(event_queue.put)
        self._store = StoreClient(platform_url)
        self._store.era.listen(self)
        self._event_queue = event_queue
        self._response_queues = response_queues
        self._sink = sink
        self._green_threads = GreenPool(MAX_GREEN_THREADS)
        self._attempts: dict[AttemptId, greenthread.GreenThread] = {}
        self._handlers = self._handlers_by_type()

    def perform(self, action: Action) -> None:
        """Start one action without blocking on I/O."""
        handler = self._handlers.get(type(action), self._sink.record)
        handler(action)

    def era_began(self, era: int) -> None:
        """Tell the node that the store came back from a copy."""
        self._sink.record(WriteLog('store.returned', 'store', f'era {era}'))
        self._event_queue.put(StoreReplaced())

    def era_unreadable(self, text: str) -> None:
        """Log an era that is no number; it is ignored."""
        self._sink.record(WriteLog('store.era', 'store', 'ignored', text))

    def _handlers_by_type(self) -> dict[type[Action], Callable[[Any], None]]:
        spawn = self._green_threads.spawn_n
        engines, platform, peers = self._engines, self.platform, self.peers
        return {
            **dict.fromkeys(_CALLER_ACTIONS, self._deliver),
            **dict.fromkeys(_STORE_ACTIONS, partial(spawn, self._call_store)),
            **dict.fromkeys(_ATTEMPT_ACTIONS, self._start_attempt),
            AbandonAttempt: self._drop_attempt,
            CancelAttempt: self._cancel_attempt,
            SendPeer: self._send_peer,
            ConnectPeer: partial(spawn, self._connect_peer),
            DisconnectPeer: lambda action: peers.disconnect(action.peer_id),
            ListTargets: lambda _: spawn(platform.list_targets),
            ListInstances: lambda _: spawn(platform.list_instances),
            SendTargetOrder: _perform_guarded(spawn, platform.order_targets),
            SubmitUsage: _perform_guarded(spawn, platform.submit_usage),
            PollLoad: partial(spawn, engines.poll_load),
            PollCacheEvents: partial(spawn, engines.poll_cache_events),
            SendEngineOrder: _perform_guarded(spawn, engines.send_order),
            ReadEngineOrder: partial(spawn, engines.read_order),
        }

    def _deliver(self, action: CallerAction) -> None:
        self._response_queues.deliver(action.request_id, action)

    def _send_peer(self, action: SendPeer) -> None:
        self.peers.send(action.peer_id, action.message)

    def _connect_peer(self, action: ConnectPeer) -> None:
        self.peers.connect(action.peer_id, action.address)

    def _call_store(self, action: StoreAction) -> None:
        result = self._store.perform(action)
        self._event_queue.put(StoreResponded(action.operation_id, result))

    def _start_attempt(self, action: AttemptAction) -> None:
        task = self._green_threads.spawn(self._run_attempt, action)
        self._attempts[action.attempt_id] = task
        task.link(lambda _: self._attempts.pop(action.attempt_id, None))

    def _run_attempt(self, action: AttemptAction) -> None:
        match action:
            case StartAttempt():
                self._engines.start_attempt(action)
            case ResumeAttempt():
                self._engines.resume_attempt(action)
            case CallService():
                self._plain.call(action)

    def _cancel_attempt(self, action: CancelAttempt) -> None:
        self._drop_attempt(action)
        self._green_threads.spawn_n(self._engines.cancel_attempt, action)

    def _drop_attempt(self, action: CancelAttempt | AbandonAttempt) -> None:
        task = self._attempts.pop(action.attempt_id, None)
        if task is not None:
            task.kill()


def _perform_guarded(
    spawn: Callable[..., None], perform: Callable[[Any, MaySend], None]
) -> Callable[[Any], None]:
    """Return a handler that lets an order be sent only before its limit."""
    return lambda action: spawn(
        perform, action, lambda: clock_s() < action.not_after_s
    )
