"""The gateway process: listening sockets, background tasks, shutdown."""

import contextlib
import signal
from collections.abc import Callable
from functools import partial
from random import Random

import attrs
import eventlet
from eventlet.green import socket

from dandelionyoke_core import Metrics, StoreEra
from dandelionyoke_dispatch import CallerLimits
from dandelionyoke_gateway._call_dispatcher import (
    CallDependencies,
    CallDispatcher,
)
from dandelionyoke_gateway._caller_connection import (
    CallerConnection,
    CallerRequest,
    Handler,
    Responder,
)
from dandelionyoke_gateway._clock import clock_s, last_ran_s
from dandelionyoke_gateway._counts_task import CountsTask
from dandelionyoke_gateway._crash_answers_task import CrashAnswersTask
from dandelionyoke_gateway._crash_task import CrashTask
from dandelionyoke_gateway._duty_task import DutyTask
from dandelionyoke_gateway._engine_count_task import EngineCountTask
from dandelionyoke_gateway._errors import AddressError, InvalidRequestError
from dandelionyoke_gateway._knowledge import new_knowledge
from dandelionyoke_gateway._limited_engines import (
    LimitedDutyClient,
    LimitedEngineClient,
)
from dandelionyoke_gateway._log import DecisionLog, LineSink
from dandelionyoke_gateway._member_task import MemberTask
from dandelionyoke_gateway._messages import ResponseHead
from dandelionyoke_gateway._news_task import NewsTask
from dandelionyoke_gateway._node_links import new_node_links
from dandelionyoke_gateway._phase_task import PendingFleetChanges, PhaseTask
from dandelionyoke_gateway._plain_call import forward_plain_call
from dandelionyoke_gateway._ports import (
    Dialect,
    DutyClient,
    EngineClient,
    Store,
)
from dandelionyoke_gateway._reach_task import ReachTask
from dandelionyoke_gateway._settings import Endpoint, GatewaySettings
from dandelionyoke_gateway._stall_task import StallTask
from dandelionyoke_gateway._status import ExitStatus
from dandelionyoke_gateway._store_returns import StoreReturns
from dandelionyoke_gateway._store_watch_tasks import new_store_watch
from dandelionyoke_gateway._stream_call import forward_stream_call
from dandelionyoke_gateway._target_pool import TargetPool
from dandelionyoke_gateway._task_guard import TaskGuard
from dandelionyoke_gateway._usage_task import UsageTask
from dandelionyoke_links import ClientResources, ConnectionSlots, listen

# The load balancer checks the health once a second and removes an instance
# after two failures in a row. Until then new callers connect and are served.
BALANCER_NOTICE_S = 3.2
# The process must write its last records and exit before it is killed.
GRACE_MARGIN_S = 0.8
DRAIN_POLL_INTERVAL_S = 0.05
# A caller that connects sends its request within this time.
MIN_IDLE_S = 0.2
ACCEPT_RETRY_DELAY_S = 0.05
# Health checks and readers of metrics are few, and send no body.
MAX_MONITOR_CONNECTIONS = 16
# The cause of a refusal may quote what the caller sent.
MAX_CAUSE_LENGTH = 200
MONITOR_LIMITS = CallerLimits(max_body_bytes=0)


@attrs.frozen(eq=False)
class _Service:
    """What the connections of a listener are for, and what they may use."""

    handler: Handler
    resources: ClientResources
    read_limits: Callable[[], CallerLimits]


class Adapters:
    """The implementations of the ports that a platform adapter provides."""

    def __init__(
        self,
        dialect: Dialect,
        store: Store,
        duties: DutyClient | None,
        engines: EngineClient,
        store_era: StoreEra,
    ) -> None:
        self.dialect = dialect
        self.store = store
        self.duties = duties
        self.engines = engines
        self.store_era = store_era


AdapterFactory = Callable[[GatewaySettings, TargetPool], Adapters]


class Gateway:
    """Connects the tasks to their sockets and serves until shutdown."""

    def __init__(
        self,
        settings: GatewaySettings,
        factory: AdapterFactory,
        sink: LineSink,
    ) -> None:
        self._settings = settings
        self._metrics = Metrics()
        self._log = DecisionLog(sink, settings.instance_id, self._metrics)
        self._exit_status = eventlet.event.Event()
        self._connections: set[CallerConnection] = set()
        self._listeners: dict[socket.socket, _Service | None] = {}
        self._random = Random()
        self._knowledge = new_knowledge(settings, self._random)
        self._tasks = TaskGuard(self._log, self._random)
        pool = TargetPool()
        self._adapters = factory(settings, pool)
        self._store_returns = StoreReturns(self._log)
        self._adapters.store_era.listen(self._store_returns)
        self._store_returns.follow(self._knowledge.store_replaced)
        store = self._adapters.store
        self._links = new_node_links(self._knowledge, store, self._log)
        self._engines = LimitedEngineClient(
            self._adapters.engines, self._links.sources.target_gate
        )
        self._engines.listen(self._links.sources.target_gate.observe)
        self._crash_task = CrashTask(
            self._knowledge, self._adapters.store, self._engines, self._log
        )
        self._call_dispatcher = CallDispatcher(
            CallDependencies(
                self._knowledge,
                self._adapters.dialect,
                pool,
                self._engines,
                self._links.prefill_queue,
                self._links.sources.rate_limits,
                self._log,
                self._crash_task,
                self._links.sources.target_gate,
                ReachTask(self._knowledge, self._log),
                self._links.handover,
                self._links.origins,
            ),
            forward_plain_call,
            forward_stream_call,
        )
        self._duty_task = DutyTask(
            self._knowledge, self._adapters.store, self._log
        )
        self._store_returns.follow(self._duty_task.store_replaced)
        self._counts_task = CountsTask(self._knowledge, self._adapters.store)
        self._store_returns.follow(self._counts_task.store_replaced)

    def run(self) -> ExitStatus:
        """Serve until a signal stops the process and all calls have ended."""
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(signal_number, self._on_terminate)
        signal.signal(signal.SIGHUP, self._on_reload)
        peers = self._listen(self._settings.peers)
        self._listen_and_serve(
            self._settings.health, self._monitor_service(self._answer_health)
        )
        self._listen_and_serve(
            self._settings.metrics, self._monitor_service(self._answer_metrics)
        )
        callers = _Service(
            self._call_dispatcher.handle,
            self._knowledge.client_resources,
            self._read_limits,
        )
        self._listen_and_serve(self._settings.callers, callers)
        self._start_tasks(peers)
        self._log.decide(
            'process.started', self._settings.instance_id, outcome='listening'
        )
        status: ExitStatus = self._exit_status.wait()
        # A second SIGINT ends the process without a drain.
        self._close_listeners()
        return status

    def _start_tasks(self, peers: socket.socket) -> None:
        adapters = self._adapters
        knowledge, log = self._knowledge, self._log
        start = self._tasks.start
        start('stalls', StallTask(self._settings.instance_id, log).run)
        self._start_store_watch_tasks(peers)
        self._start_member_task()
        self._start_crash_tasks()
        if adapters.duties is None:
            return
        start('duty', self._duty_task.run)
        start('counts', self._counts_task.run)
        self._start_usage_task(adapters.duties)
        changes = PendingFleetChanges()
        phases = PhaseTask(
            knowledge,
            self._duty_task,
            LimitedDutyClient(adapters.duties, self._links.sources.target_gate),
            self._engines,
            changes,
            log,
        )
        start('phases', phases.run)
        engine_counts = EngineCountTask(
            knowledge, self._duty_task, adapters.duties, changes, log
        )
        start('engine_counts', engine_counts.run)

    def _start_usage_task(self, duties: DutyClient) -> None:
        usage = UsageTask(
            self._knowledge,
            self._adapters.store,
            self._duty_task,
            duties,
            self._log,
        )
        self._store_returns.follow(usage.store_replaced)
        self._tasks.start('usage', usage.run)

    def _start_member_task(self) -> None:
        members = MemberTask(
            self._knowledge,
            self._adapters.store,
            self._duty_task.take_members,
        )
        self._store_returns.follow(members.store_replaced)
        self._tasks.start('members', members.run)

    def _start_crash_tasks(self) -> None:
        answers = CrashAnswersTask(self._knowledge, self._crash_task)
        self._store_returns.follow(self._crash_task.store_replaced)
        self._tasks.start('crashes', self._crash_task.run)
        self._tasks.start('crash_answers', answers.run)

    def _start_store_watch_tasks(self, peers: socket.socket) -> None:
        """Start the tasks that read the store or ask a node that reads it."""
        adapters, knowledge, log = self._adapters, self._knowledge, self._log
        dialect, store = adapters.dialect, adapters.store
        watch = new_store_watch(knowledge, dialect, store, log)
        news_task = NewsTask(
            knowledge,
            store,
            dialect,
            watch.configurations,
            watch.targets,
            watch.polling,
            log,
        )
        self._tasks.start('configuration', watch.configuration_task.run)
        self._tasks.start('registry', watch.registry_task.run)
        self._links.start(
            peers,
            news_task,
            self._call_dispatcher.handle,
            store,
            self._store_returns,
            self._tasks,
        )

    # Callers.

    def _monitor_service(self, handler: Handler) -> _Service:
        """Return a service that callers' connections cannot keep busy."""
        resources = ClientResources(
            self._knowledge.client_resources.machine,
            connections=ConnectionSlots(MAX_MONITOR_CONNECTIONS),
        )
        return _Service(handler, resources, lambda: MONITOR_LIMITS)

    def _listen_and_serve(self, endpoint: Endpoint, service: _Service) -> None:
        listener = self._listen(endpoint, service)
        connections = service.resources.connections
        connections.on_evict = partial(self._log_eviction, connections)
        self._tasks.start('accept', partial(self._accept, listener, service))

    def _listen(
        self, endpoint: Endpoint, service: _Service | None = None
    ) -> socket.socket:
        listener = _listen(endpoint)
        self._listeners[listener] = service
        return listener

    def _close_listeners(self) -> None:
        """Refuse connections from now on: none would be read any more."""
        while self._listeners:
            listener, service = self._listeners.popitem()
            if service is not None:
                self._accept_waiting(listener, service)
            listener.close()

    def _accept_waiting(
        self, listener: socket.socket, service: _Service
    ) -> None:
        """Accept the connections that closing their listener would reset."""
        listener.settimeout(0)
        with contextlib.suppress(OSError):
            while True:
                sock, _ = listener.accept()
                self._open_connection(socket.socket(sock), service)

    def _accept(self, listener: socket.socket, service: _Service) -> None:
        while True:
            try:
                sock, _ = listener.accept()
            except OSError as error:
                if listener not in self._listeners:
                    return
                # Usually the process is out of file descriptors; they become
                # free again as connections close.
                self._log.decide('accept.failed', 'listener', cause=str(error))
                eventlet.sleep(ACCEPT_RETRY_DELAY_S)
                continue
            self._open_connection(sock, service)
            # Its request is read before another connection can replace it.
            eventlet.sleep(0)

    def _open_connection(self, sock: socket.socket, service: _Service) -> None:
        connection = CallerConnection(
            sock,
            service.read_limits,
            service.handler,
            lambda: self._knowledge.shutdown.is_leaving,
            service.resources,
            self._log_refusal,
        )
        if service.resources.connections.enter(connection):
            eventlet.spawn_n(self._serve_connection, connection, service)
            return
        self._log.decide(
            'connection.refused',
            'listener',
            outcome='not read',
            cause='all connections have a request in progress',
            connections=len(service.resources.connections),
        )
        connection.refuse_unread()

    def _serve_connection(
        self, connection: CallerConnection, service: _Service
    ) -> None:
        self._connections.add(connection)
        try:
            connection.serve()
        finally:
            self._connections.discard(connection)
            service.resources.connections.leave(connection)

    def _log_eviction(self, connections: ConnectionSlots) -> None:
        self._log.decide(
            'connection.evicted',
            'caller',
            outcome='closed',
            cause='it waited for its caller for longest as another one came',
            connections=len(connections),
        )

    def _log_refusal(self, error: InvalidRequestError) -> None:
        resources = self._knowledge.client_resources
        self._log.decide(
            'request.refused',
            'caller',
            outcome=str(int(error.status)),
            cause=error.cause[:MAX_CAUSE_LENGTH],
            held_bytes=resources.requests.held_bytes,
            connections=len(resources.connections),
        )

    def _read_limits(self) -> CallerLimits:
        configuration = self._knowledge.configuration
        return configuration.limits if configuration else CallerLimits()

    def _answer_health(
        self, request: CallerRequest, responder: Responder
    ) -> None:
        is_ready = self._knowledge.is_ready
        responder.respond(ResponseHead(200 if is_ready else 503, ()), b'')

    def _answer_metrics(
        self, request: CallerRequest, responder: Responder
    ) -> None:
        content_type = ('content-type', 'text/plain; version=0.0.4')
        responder.respond(
            ResponseHead(200, (content_type,)), self._metrics.text()
        )

    # Signals and shutdown.

    def _on_terminate(self, signal_number: int, frame: object) -> None:
        if not self._knowledge.shutdown.is_leaving:
            # The signal may have come at any time of a standstill.
            requested_s = last_ran_s()
            self._knowledge.shutdown.begin(requested_s)
            eventlet.spawn_n(self._drain, requested_s)
        elif signal_number == signal.SIGINT:
            self._stop(ExitStatus.CUT)

    def _on_reload(self, signal_number: int, frame: object) -> None:
        # The settings of a running process do not change; they are read
        # again at the next start. No call is cut off.
        eventlet.spawn_n(
            self._log.decide, 'process.reloaded', self._settings.instance_id
        )

    def _drain(self, requested_s: float) -> None:
        self._log.decide(
            'process.leaving',
            self._settings.instance_id,
            late_s=clock_s() - requested_s,
        )
        self._duty_task.leave()
        eventlet.spawn_n(self._answer_in_time)
        killed_s = requested_s + self._settings.grace_s
        self._end_connections(requested_s, killed_s - GRACE_MARGIN_S)
        self._counts_task.finish()
        self._links.finish()
        is_clean = not self._has_callers()
        self._stop(ExitStatus.OK if is_clean else ExitStatus.CUT)

    def _end_connections(self, requested_s: float, deadline_s: float) -> None:
        """Serve callers until they have noticed; await their answers."""
        noticed_s = min(requested_s + BALANCER_NOTICE_S, deadline_s)
        eventlet.sleep(max(0, noticed_s - clock_s()))
        self._await_end(self._has_calls, deadline_s)
        self._close_listeners()
        # Refuses what callers send that have connected just before.
        eventlet.sleep(MIN_IDLE_S)
        self._await_end(self._has_callers, deadline_s)

    def _answer_in_time(self) -> None:
        """Answer all calls at their deadline, whatever they wait for.

        Waits that began before the shutdown end at another one.
        """
        deadline_s = self._knowledge.shutdown.response_deadline_s()
        if deadline_s is not None:
            eventlet.sleep(max(0, deadline_s - clock_s()))
        while True:
            self._call_dispatcher.end_unanswered()
            eventlet.sleep(DRAIN_POLL_INTERVAL_S)

    def _has_calls(self) -> bool:
        return self._knowledge.in_progress > 0

    def _has_callers(self) -> bool:
        return self._has_calls() or bool(self._connections)

    def _await_end(
        self, is_busy: Callable[[], bool], deadline_s: float
    ) -> None:
        """Close connections that are idle until the process is not busy."""
        while is_busy() and clock_s() < deadline_s:
            self._close_idle_connections()
            eventlet.sleep(DRAIN_POLL_INTERVAL_S)

    def _close_idle_connections(self) -> None:
        for connection in tuple(self._connections):
            connection.close_if_idle(MIN_IDLE_S)

    def _stop(self, status: ExitStatus) -> None:
        if not self._exit_status.ready():
            self._log.decide(
                'process.stopped',
                self._settings.instance_id,
                outcome=status.name,
                in_progress=self._knowledge.in_progress,
            )
            self._exit_status.send(status)


def _listen(endpoint: Endpoint) -> socket.socket:
    """Open a listening socket.

    Raises:
        AddressError: the address is in use or not local to this machine.
    """
    try:
        return listen(endpoint.host, endpoint.port)
    except OSError as error:
        address = f'{endpoint.host}:{endpoint.port}'
        raise AddressError(address, error) from error
