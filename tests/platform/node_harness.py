"""A node with scripted targets, for tests of the path of a call.

The test sets the node's configuration and registry, which otherwise come from
the store. All else is production code, over real sockets in one process.
"""

import contextlib
from collections.abc import Callable, Iterable
from random import Random

import attrs
import eventlet
from eventlet.event import Event
from eventlet.green import socket
from eventlet.greenthread import GreenThread

from dandelionyoke_core import InstanceId, Metrics
from dandelionyoke_dispatch import (
    AliveSpan,
    CallKind,
    CrashKeys,
    CrashReport,
    EngineTraits,
    FleetConfiguration,
    Member,
    Organisation,
    Phase,
    RegisteredTarget,
    RetryBudgets,
    RetryBudgetSettings,
    Route,
    Service,
    ServiceShare,
)
from dandelionyoke_gateway import GatewaySettings, TargetPool, clock_s
from dandelionyoke_gateway._call_dispatcher import (
    CallDependencies,
    CallDispatcher,
)
from dandelionyoke_gateway._caller_connection import CallerConnection
from dandelionyoke_gateway._handover import Handover
from dandelionyoke_gateway._handover_server import HandoverServer
from dandelionyoke_gateway._knowledge import Knowledge, new_knowledge
from dandelionyoke_gateway._limited_engines import LimitedEngineClient
from dandelionyoke_gateway._log import DecisionLog
from dandelionyoke_gateway._plain_call import forward_plain_call
from dandelionyoke_gateway._prefill_queue import LocalPrefillQueue
from dandelionyoke_gateway._rate_limits import DomainRateLimits
from dandelionyoke_gateway._reach_task import ReachTask
from dandelionyoke_gateway._stream_call import forward_stream_call
from dandelionyoke_gateway._stream_origin_keeper import StreamOriginKeeper
from dandelionyoke_gateway._target_gate import TargetGate
from dandelionyoke_links import (
    PeerHub,
    PeerSettings,
    reset_on_close,
    set_socket_options,
)
from dandelionyoke_platform._dialect import PlatformDialect
from dandelionyoke_platform._duties import PlatformDuties
from tests.gateway.settings import new_settings
from tests.platform.local_server import LocalServer

API_KEY = 'a-key'
HOST = 'shop.example'
SIGNED_HEAD = 'Response-Signature: s\r\nAttempt-Id: a1\r\n'


@attrs.frozen
class ReceivedRequest:
    """A request as received by a target, and when it arrived there.

    `connection` is the number of its connection to the target.
    """

    line: str
    headers: dict[str, str]
    body: bytes
    arrived_s: float
    connection: int = 0


UPTIME_S = 60.0

ScriptStep = bytes | float | None
# Bytes are sent, empty ones close the connection in order, a float is a pause
# in seconds, None resets the connection.
Script = Callable[[ReceivedRequest], Iterable[ScriptStep]]


class ScriptedTarget:
    """A target that answers each request as its script says."""

    def __init__(self, script: Script) -> None:
        self._script = script
        self._server = LocalServer(self._serve)
        self.received_requests: list[ReceivedRequest] = []
        # Whether it accepts prefills; the first one of a call is no retry.
        self.is_accepting = True
        # Requests whose connection the node closed before the answer's end.
        self.abandoned_count = 0
        self._connection_count = 0
        self._is_down = False
        # While the target is silent, the event that ends the silence.
        self._silence: Event | None = None

    @property
    def is_silent(self) -> bool:
        """Whether it reads and writes nothing at the moment."""
        return self._silence is not None

    def fall_silent(self) -> None:
        """Read and write nothing, as a stopped process, until `go_on`.

        Connections are established, and what arrives is kept.
        """
        if self._silence is None:
            self._silence = Event()

    def go_on(self) -> None:
        """Go on with all that arrived, and with what was begun."""
        silence = self._silence
        self._silence = None
        if silence is not None:
            silence.send()

    @property
    def address(self) -> str:
        """The address at which the target listens."""
        return self._server.address

    def refuse_connections(self) -> None:
        """Refuse new connections; open ones stay."""
        self._server.refuse_connections()

    def crash(self) -> None:
        """End all connections and refuse new ones.

        A script that calls it ends its own connection with None.
        """
        self._server.crash()

    def start_again(self) -> None:
        """Accept connections again, after a crash."""
        self._server.listen_again()

    def restart(self, down_s: float) -> None:
        """End all connections; for some time, close each new one at once."""
        self._is_down = True
        self._server.end_connections()
        eventlet.sleep(down_s)
        self._is_down = False

    def close(self) -> None:
        """Stop the target and close all its connections."""
        self._server.close()

    def _serve(self, sock: socket.socket) -> None:
        set_socket_options(sock)
        self._connection_count += 1
        connection = self._connection_count
        # A node may have closed while the target was silent.
        with sock, contextlib.suppress(ConnectionError):
            while not self._is_down:
                request = _read(sock)
                self._wait_while_silent()
                if request is None:
                    return
                request = attrs.evolve(request, connection=connection)
                self.received_requests.append(request)
                if not self._answer(sock, request):
                    return

    def _answer(self, sock: socket.socket, request: ReceivedRequest) -> bool:
        for step in self._script(request):
            self._wait_while_silent()
            if step is None:
                reset_on_close(sock)
                return False
            if isinstance(step, float):
                is_closed = _is_closed_within(sock, step)
                self._wait_while_silent()
                if is_closed:
                    self.abandoned_count += 1
                    return False
                continue
            if not step:
                return False
            sock.sendall(step)
        return True

    def _wait_while_silent(self) -> None:
        while self._silence is not None:
            self._silence.wait()


def _is_closed_within(sock: socket.socket, timeout_s: float) -> bool:
    """Return whether the node closes the connection; read nothing."""
    sock.settimeout(timeout_s)
    try:
        return not sock.recv(1, socket.MSG_PEEK)
    except TimeoutError:
        return False
    finally:
        sock.settimeout(None)


def _read(sock: socket.socket) -> ReceivedRequest | None:
    content = b''
    while b'\r\n\r\n' not in content:
        try:
            data = sock.recv(65536)
        except OSError:
            return None
        if not data:
            return None
        content += data
    head, _, body = content.partition(b'\r\n\r\n')
    lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, _, text = line.partition(':')
        headers[name.strip().lower()] = text.strip()
    while len(body) < int(headers.get('content-length', 0)):
        body += sock.recv(65536)
    return ReceivedRequest(lines[0], headers, body, clock_s())


def answer(
    status: str = '200 OK', body: bytes = b'ok', extra: str = SIGNED_HEAD
) -> bytes:
    """Build a complete response."""
    head = f'HTTP/1.1 {status}\r\n{extra}Content-Length: {len(body)}\r\n\r\n'
    return head.encode('latin-1') + body


def stream_head() -> bytes:
    """Build the head of a streamed response."""
    return (
        f'HTTP/1.1 200 OK\r\n{SIGNED_HEAD}Content-Type: text/event-stream\r\n'
        'Transfer-Encoding: chunked\r\n\r\n'
    ).encode()


def chunk(content: bytes) -> bytes:
    """Build a chunk of a streamed response; an empty one ends it."""
    return f'{len(content):x}\r\n'.encode() + content + b'\r\n'


class LogLines:
    """Log sink that keeps the lines."""

    def __init__(self) -> None:
        self.text = ''

    def write_line(self, line: bytes) -> None:
        """Append a line."""
        self.text += line.decode()


class NodeHarness:
    """A listening node and the targets registered at it."""

    def __init__(
        self, instance_id: str = 'n-1', settings: GatewaySettings | None = None
    ) -> None:
        self.log_lines = LogLines()
        self.probed_targets: list[str] = []
        # The targets, and the keys, of calls that ended without an answer.
        self.unanswered: list[tuple[str, tuple[str, ...]]] = []
        self.replaced_targets: list[str] = []
        self.knowledge: Knowledge = new_knowledge(
            settings or new_settings(instance_id), Random(7)
        )
        # It has been up for a while and knows the number of nodes.
        node_settings = self.knowledge.settings
        self.knowledge.budget = RetryBudgets(
            RetryBudgetSettings(
                node_settings.retry_share,
                node_settings.retry_extra,
                node_settings.retry_window_s,
            ),
            Random(7),
            clock_s() - UPTIME_S,
        )
        self.knowledge.take_node_count(1)
        self.knowledge.configuration = configuration()
        self.knowledge.freshness.confirm(clock_s())
        self.pool = TargetPool()
        self.targets: list[ScriptedTarget] = []
        self._registered: list[RegisteredTarget] = []
        self._log = DecisionLog(self.log_lines, instance_id, Metrics())
        self.rate_limits = DomainRateLimits(self.knowledge, self._log)
        self.target_gate = TargetGate(self.knowledge, self._log)
        self.handover = Handover(self.knowledge, self._log, self.target_gate)
        self.origins = StreamOriginKeeper(self.knowledge)
        self.prefill_queue = LocalPrefillQueue(self.knowledge)
        engines = LimitedEngineClient(
            PlatformDuties('', self.pool), self.target_gate
        )
        engines.listen(self.target_gate.observe)
        self._dispatcher = CallDispatcher(
            CallDependencies(
                self.knowledge,
                PlatformDialect(),
                self.pool,
                engines,
                self.prefill_queue,
                self.rate_limits,
                self._log,
                self,
                self.target_gate,
                ReachTask(self.knowledge, self._log),
                self.handover,
                self.origins,
            ),
            forward_plain_call,
            forward_stream_call,
        )
        self._listener = eventlet.listen(('127.0.0.1', 0))
        self._accept_thread = eventlet.spawn(self._accept)
        self._peer_threads: list[GreenThread] = []

    def add_target(
        self,
        script: Script,
        service: str = 'ledger',
        phase: Phase = Phase.ANY,
        version: str = '',
    ) -> ScriptedTarget:
        """Start a target and register it at the node."""
        target = ScriptedTarget(script)
        self.targets.append(target)
        self.register(target, service, phase, version)
        return target

    def register(
        self,
        target: ScriptedTarget,
        service: str = 'ledger',
        phase: Phase = Phase.ANY,
        version: str = '',
    ) -> str:
        """Add a target to the registry; return its ID."""
        target_id = f'i-{len(self._registered) + 1}'
        self._registered.append(
            RegisteredTarget(
                target_id=target_id,
                service=service,
                address=target.address,
                domain='a',
                slots=8,
                is_leaving=False,
                phase=phase,
                version=version,
            )
        )
        self.knowledge.registry.replace(self._registered, clock_s())
        return target_id

    def open_links(self) -> Member:
        """Take calls from other nodes; return the entry for their members."""
        instance_id = InstanceId(self.knowledge.settings.instance_id)
        hub = PeerHub(
            PeerSettings(instance_id, b'a secret'), lambda event: None
        )
        server = HandoverServer(
            self._dispatcher.handle, self._log, self.knowledge.client_resources
        )
        hub.serve_calls(server.serve)
        self.handover.attach(hub.open_call)
        listener = eventlet.listen(('127.0.0.1', 0))
        self._peer_threads.append(eventlet.spawn(hub.serve, listener))
        host, port = listener.getsockname()
        address = f'{host}:{port}'
        return Member(
            instance_id, 'a', address, takes_calls=True, keeps_origins=True
        )

    def connect(self) -> socket.socket:
        """Open a connection as a caller."""
        return eventlet.connect(self._listener.getsockname())

    def call(
        self,
        path: str = '/confirm/1',
        key: str = API_KEY,
        extra: str = '',
        attempt_id: str = 'a1',
    ) -> bytes:
        """Send a request on a new connection and return the whole answer."""
        with self.connect() as sock:
            sock.sendall(request_bytes(path, key, extra, attempt_id))
            content = b''
            while data := sock.recv(65536):
                content += data
        return content

    def close(self) -> None:
        """Stop the node and its targets."""
        self._log.close()
        for thread in (self._accept_thread, *self._peer_threads):
            thread.kill()
        self._listener.close()
        for target in self.targets:
            target.close()

    # Methods of `CrashReports`; each target that broke off has crashed.

    def broke_off(
        self, target: RegisteredTarget, keys: tuple[str, ...]
    ) -> None:
        self.probed_targets.append(target.target_id)
        crashes, now_s = self.knowledge.crashes, clock_s()
        reporter = str(len(self.probed_targets))
        answers = crashes.answers_to(keys, now_s)
        self.knowledge.take_crash(
            CrashReport(target.target_id, reporter, 0.0, keys, answers)
        )

    def gave_up(self, target: RegisteredTarget, keys: tuple[str, ...]) -> None:
        self.unanswered.append((target.target_id, keys))

    def replaced(self, target: RegisteredTarget) -> None:
        self.replaced_targets.append(target.target_id)

    def answered(
        self, target: RegisteredTarget, keys: CrashKeys, span: AliveSpan
    ) -> None:
        self.knowledge.crashes.record_answer(keys, span.until_s)

    def _accept(self) -> None:
        while True:
            sock, _ = self._listener.accept()
            connection = CallerConnection(
                sock,
                lambda: configuration().limits,
                self._dispatcher.handle,
                lambda: True,
            )
            eventlet.spawn_n(connection.serve)


def request_bytes(
    path: str, key: str = API_KEY, extra: str = '', attempt_id: str = 'a1'
) -> bytes:
    """Build a caller's request."""
    return (
        f'POST {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {attempt_id}\r\n'
        f'Deadline-Ms: 3000\r\nX-Api-Key: {key}\r\n{extra}'
        'Content-Length: 4\r\n\r\nbody'
    ).encode('latin-1')


def configuration() -> FleetConfiguration:
    """Build a configuration of two services with routes of all call kinds."""
    return FleetConfiguration(
        version=1,
        routes=(
            _new_route('/confirm/', CallKind.NON_IDEMPOTENT, 'ledger'),
            _new_route('/look/', CallKind.IDEMPOTENT, 'ledger', 2),
            _new_route('/ask/', CallKind.STREAM, 'lm'),
            _new_route('/resume/', CallKind.STREAM, 'lm', 2, resumable=True),
        ),
        services={
            'ledger': Service('ledger', 10),
            'lm': Service('lm', 10, EngineTraits(8, 1000, 5.0, 3.0)),
        },
        organisations={API_KEY: Organisation('acme', 1)},
        has_organisations=True,
    )


def _new_route(
    prefix: str,
    kind: CallKind,
    service: str,
    max_attempts: int = 1,
    *,
    resumable: bool = False,
) -> Route:
    return Route(
        name=prefix,
        host=HOST,
        path_prefix=prefix,
        kind=kind,
        timeout_s=3.0,
        goal_s=0.5,
        priority=1,
        shares=(ServiceShare(service, 1),),
        max_attempts=max_attempts,
        is_resumable=resumable,
        longest_pause_s=0.3,
    )
