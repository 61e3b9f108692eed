"""The entry process: its sockets, its node and its shutdown."""

import random
import signal
import sys
import time
import traceback

from eventlet import event as green_event, listen, sleep, spawn_n
from eventlet.green import socket

from dandelionyoke_core import (
    Action,
    CountMetric,
    Instance,
    LifecycleSettings,
    Metrics,
    Node,
    NodeSettings,
    ObserveLatency,
    ShutdownForced,
    ShutdownRequested,
    Started,
    StopProcess,
    WriteLog,
)
from dandelionyoke_entry._exit_status import ExitStatus
from dandelionyoke_entry._log import JsonLog
from dandelionyoke_entry._settings import Endpoint, EntrySettings
from dandelionyoke_links import (
    ClientResources,
    ConnectionSlots,
    PeerSettings,
)
from dandelionyoke_wire import (
    ActionExecutor,
    CallerApp,
    CallerSettings,
    EventQueue,
    NodeEventLoop,
    ResponseQueues,
    serve_callers,
)

LISTEN_BACKLOG = 512

# Maximum wait at shutdown until complete answers are written to their sockets.
FLUSH_TIMEOUT_S = 10.0
FLUSH_CHECK_INTERVAL_S = 0.01


class Process:
    """Connects the node to its sockets and runs it until it stops."""

    def __init__(self, settings: EntrySettings) -> None:
        self._settings = settings
        self._exit_status = green_event.Event()
        self._metrics = Metrics()
        self._log = JsonLog(sys.stderr, settings.instance_id)
        self._event_queue = EventQueue()
        self._response_queues = ResponseQueues()
        self._action_executor = ActionExecutor(
            settings.platform_url,
            PeerSettings(settings.instance_id, settings.secret),
            self._event_queue,
            self._response_queues,
            self,
        )
        self._callers = _listen(settings.callers)
        self._peers = _listen(settings.peers)
        self._node = Node(self._node_settings(), random.Random())
        self._resources = _new_resources(settings)
        self._app = CallerApp(
            CallerSettings(settings.instance_id, settings.max_body_bytes),
            self._response_queues,
            self._event_queue.put,
            self._metrics.text,
            lambda: self._node.leaving,
            self._resources,
        )

    def run(self) -> ExitStatus:
        """Serve until shutdown is requested and all calls have ended."""
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(signal_number, self._on_signal)
        spawn_n(self._run_node)
        spawn_n(self._action_executor.peers.serve, self._peers)
        spawn_n(self._serve_callers)
        self._event_queue.put(Started(time.time()))
        self._print_addresses()
        status: ExitStatus = self._exit_status.wait()
        self._flush_answers()
        return status

    def record(self, action: Action) -> None:
        """Perform an action that is addressed to the process itself."""
        match action:
            case WriteLog():
                self._log.write(action)
            case CountMetric():
                self._metrics.count(action)
            case ObserveLatency():
                self._metrics.observe(action)
            case StopProcess():
                self._stop(ExitStatus.OK if action.clean else ExitStatus.CUT)

    def _print_addresses(self) -> None:
        """Print the listening addresses for the parent process."""
        sys.stdout.write(f'READY {_url("http", self._callers)}\n')
        sys.stdout.write(f'PEERS {_url("ws", self._peers)}\n')
        sys.stdout.flush()

    def _node_settings(self) -> NodeSettings:
        settings = self._settings
        return NodeSettings(
            instance=Instance(
                settings.instance_id,
                settings.domain,
                _url('http', self._callers),
                _url('ws', self._peers),
            ),
            incarnation=int(time.time()),
            lifecycle=LifecycleSettings(settings.balancer_notice_s),
        )

    def _run_node(self) -> None:
        event_loop = NodeEventLoop(
            self._node, self._event_queue, self._action_executor.perform
        )
        try:
            event_loop.run()
        except Exception:
            # After an exception the state of the node is undefined, and
            # callers must not be answered from it. The process ends, and its
            # peers take over.
            cause = traceback.format_exc()
            self._log.write(WriteLog('process.failed', 'node', cause=cause))
            self._stop(ExitStatus.FAILED)

    def _serve_callers(self) -> None:
        serve_callers(self._callers, self._app, self._resources.connections)

    def _on_signal(self, signal_number: int, frame: object) -> None:
        if self._node.leaving:
            self._event_queue.put(ShutdownForced())
        else:
            self._event_queue.put(ShutdownRequested())

    def _stop(self, status: ExitStatus) -> None:
        if not self._exit_status.ready():
            self._exit_status.send(status)

    def _flush_answers(self) -> None:
        checks = int(FLUSH_TIMEOUT_S / FLUSH_CHECK_INTERVAL_S)
        for _ in range(checks):
            if not self._app.open_responses:
                return
            sleep(FLUSH_CHECK_INTERVAL_S)


def _new_resources(settings: EntrySettings) -> ClientResources:
    """Return what connections may use; each call has a connection."""
    count = min(settings.max_calls, settings.machine.max_connections)
    return ClientResources(settings.machine, connections=ConnectionSlots(count))


def _listen(endpoint: Endpoint) -> socket.socket:
    return listen((endpoint.host, endpoint.port), backlog=LISTEN_BACKLOG)


def _url(scheme: str, listener: socket.socket) -> str:
    host, port = listener.getsockname()
    return f'{scheme}://{host}:{port}'
