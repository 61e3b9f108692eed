"""A release while one node is out of step, with real processes."""

import contextlib
import itertools
import json
import signal
import tempfile
from collections import Counter
from collections.abc import Iterator, Sequence

import attrs
import eventlet
import testtools
from testtools.content import text_content

from dandelionyoke_gateway import clock_s
from dandelionyoke_gateway._knowledge import COME_BACK_S
from tests.platform.cut_path import CutPath
from tests.platform.node_harness import (
    API_KEY,
    HOST,
    ScriptedTarget,
    request_bytes,
)
from tests.platform.program import (
    Ports,
    Program,
    kill_after,
    wait_for_members,
)
from tests.platform.scripts import status
from tests.platform.store_standin import StoreStandin
from tests.platform.test_resumed_streams import has_ended
from tests.platform.versioned_engines import (
    events_in,
    streams_version,
    take_up,
    versions_in,
)

DOMAINS = ('a', 'b', 'c')
ROUTE_TIMEOUT_S = 4.0
# The nodes have listed one version for as long as a stream may last.
HISTORY_S = ROUTE_TIMEOUT_S + COME_BACK_S + 5.0
OLD_ENGINES = 2
NEW_ENGINES = 5
# The node is out of step for this long from the release on.
OUT_OF_STEP_S = 2.4
STANDSTILL_S = 1.3
BEGIN_INTERVAL_S = 0.05
READ_TIMEOUT_S = 5.0
# Links that ended are opened again.
SETTLE_S = 2.5
# Others list the new version within this time.
MIN_NEW_STREAMS = 8
# One service for each play: a release shows in its history for long.
SERVICES = ('standing', 'links', 'both', 'cut-off', 'store')


@attrs.define
class Play:
    """What the callers of one release saw."""

    begun: Counter[str] = attrs.field(factory=Counter)
    answers: Counter[str] = attrs.field(factory=Counter)
    mixed: list[bytes] = attrs.field(factory=list)
    without_retry_after: list[bytes] = attrs.field(factory=list)
    slowest_s: float = 0.0

    def add(self, begun: bytes, rest: bytes, took_s: float) -> None:
        """Count a stream that was taken up."""
        (version,) = versions_in(begun)
        self.begun[version] += 1
        outcome = str(status(rest)) if rest else 'no answer'
        versions = ','.join(sorted(versions_in(rest)))
        self.answers[f'{version}: {outcome} {versions}'.strip()] += 1
        if len(versions_in(begun + rest)) > 1:
            self.mixed.append(begun + rest)
        is_refused = rest and status(rest) == 503
        if is_refused and b'retry-after' not in rest.lower():
            self.without_retry_after.append(rest)
        self.slowest_s = max(self.slowest_s, took_s)

    def describe(self) -> str:
        """Return the figures of the play."""
        return (
            f'begun {dict(self.begun)}, mixed {len(self.mixed)}, '
            f'slowest {self.slowest_s:.2f} s: {dict(self.answers)}'
        )


class OutOfStepTest(testtools.TestCase):
    """Three nodes in three domains; the last one falls out of step."""

    def setUp(self) -> None:
        super().setUp()
        self.folder = self.enterContext(tempfile.TemporaryDirectory())
        self.store = StoreStandin()
        self.addCleanup(self.store.close)
        self.store.put('op/config', configuration())
        self._numbers = itertools.count()
        for service in SERVICES:
            for _ in range(OLD_ENGINES):
                self.add_engine(service, 'v1')
        ports = [Ports() for _ in DOMAINS]
        self.link_paths: list[CutPath] = []
        addresses = [self.store.open_address() for _ in DOMAINS]
        self.store_path = self.new_path(addresses[-1])
        self._route_links(addresses, ports)
        addresses[-1] = self.store_path.address
        self.nodes = [
            self.start_node(domain, own, address)
            for domain, own, address in zip(
                DOMAINS, ports, addresses, strict=True
            )
        ]
        for node in self.nodes:
            node.wait_until_ready()
        *self.others, self.late = self.nodes
        wait_for_members(self.store, len(DOMAINS))
        eventlet.sleep(HISTORY_S)

    def _route_links(
        self, addresses: Sequence[str], ports: Sequence[Ports]
    ) -> None:
        """Lead all links of the last node, both ways, over paths."""
        peers = [f'127.0.0.1:{own.peers}' for own in ports]
        late_address, late_peer = addresses[-1], peers[-1]
        views = self.store.rewrites_at
        views[late_address] = {}
        for address, peer in zip(addresses[:-1], peers[:-1], strict=True):
            for viewer, seen in ((address, late_peer), (late_address, peer)):
                path = self.new_path(seen)
                self.link_paths.append(path)
                views.setdefault(viewer, {})[f'"{seen}"'] = f'"{path.address}"'

    def new_path(self, address: str) -> CutPath:
        path = CutPath(address)
        self.addCleanup(path.close)
        return path

    def start_node(self, domain: str, ports: Ports, store: str) -> Program:
        program = Program(
            self.store, self.folder, ports, domain, store_address=store
        )
        kill_after(self, program)
        return program

    def add_engine(self, service: str, version: str) -> None:
        target = ScriptedTarget(streams_version(version))
        self.addCleanup(target.close)
        entry = {
            'service': service,
            'address': target.address,
            'zone': 'a',
            'slots': 8,
            'state': 'ready',
            'phase': 'decode',
            'version': version,
        }
        name = f'servers/i-{next(self._numbers)}'
        self.store.put(name, json.dumps(entry))

    def release(self, service: str) -> None:
        """Let engines of v2 join; those of v1 begin to leave."""
        old = self.store.keys('servers/')
        for _ in range(NEW_ENGINES):
            self.add_engine(service, 'v2')
        for name in old:
            entry = json.loads(self.store.items[name].value or '{}')
            if entry['service'] == service:
                self.store.put(name, json.dumps({**entry, 'state': 'draining'}))

    # Callers.

    def read(
        self,
        node: Program,
        service: str,
        attempt_id: str,
        extra: str = '',
        event_count: int | None = None,
    ) -> bytes:
        """Read a stream to its end, or leave after so many events."""
        path = f'/{service}/1'
        content = b''
        with contextlib.suppress(OSError):
            with eventlet.connect(('127.0.0.1', node.port)) as sock:
                sock.settimeout(READ_TIMEOUT_S)
                sock.sendall(
                    request_bytes(path, extra=extra, attempt_id=attempt_id)
                )
                while data := sock.recv(65536):
                    content += data
                    if has_ended(content, event_count):
                        break
        return content

    def stream(self, service: str, node: Program, play: Play) -> None:
        """Begin a stream at another node; take it up at the late one."""
        attempt_id, begun = self.begin(service, node)
        if len(versions_in(begun)) == 1:
            began_s = clock_s()
            rest = self.go_on(service, attempt_id, begun)
            play.add(begun, rest, clock_s() - began_s)

    def begin(self, service: str, node: Program) -> tuple[str, bytes]:
        """Begin a stream and leave after two events."""
        attempt_id = f'attempt-{next(self._numbers)}'
        return attempt_id, self.read(node, service, attempt_id, event_count=2)

    def go_on(self, service: str, attempt_id: str, begun: bytes) -> bytes:
        """Take a stream up at the late node."""
        again_id = f'{attempt_id}-again'
        extra = take_up(attempt_id, events_in(begun))
        return self.read(self.late, service, again_id, extra)

    def play(self, service: str) -> Play:
        """Release v2, and begin streams for a while."""
        play = Play()
        self.release(service)
        nodes = itertools.cycle(self.others)
        began_s = clock_s()
        threads = []
        while clock_s() - began_s < OUT_OF_STEP_S:
            threads.append(
                eventlet.spawn(self.stream, service, next(nodes), play)
            )
            eventlet.sleep(BEGIN_INTERVAL_S)
        for thread in threads:
            thread.wait()
        return play

    # Ways to fall out of step.

    @contextlib.contextmanager
    def cut(self, paths: Sequence[CutPath]) -> Iterator[None]:
        """Cut paths of the late node."""
        for path in paths:
            path.cut()
        timer = eventlet.spawn_after(OUT_OF_STEP_S, self.heal, paths)
        try:
            yield
        finally:
            timer.cancel()
            self.heal(paths)

    def heal(self, paths: Sequence[CutPath]) -> None:
        for path in paths:
            path.heal()

    @contextlib.contextmanager
    def stopped(self) -> Iterator[None]:
        """Let the late node stand still."""
        self.late.send_signal(signal.SIGSTOP)
        timer = eventlet.spawn_after(
            STANDSTILL_S, self.late.send_signal, signal.SIGCONT
        )
        try:
            yield
        finally:
            timer.cancel()
            self.late.send_signal(signal.SIGCONT)

    def assert_one_version(self, service: str, play: Play) -> None:
        """Streams of the new version were taken up, and none was joined."""
        text = f'{service}: {play.describe()}'
        self.addDetail(f'play of {service}', text_content(text))
        self.assertEqual([], play.mixed[:1], text)
        self.assertEqual([], play.without_retry_after, text)
        self.assertGreaterEqual(play.begun['v2'], MIN_NEW_STREAMS, text)

    def test_a_node_that_stands_still_or_is_cut_off(self) -> None:
        """Guards against streams joined from two versions in a release."""
        standing, links, both, cut_off, _ = SERVICES
        with self.stopped():
            self.assert_one_version(standing, self.play(standing))
        eventlet.sleep(SETTLE_S)
        with self.cut(self.link_paths):
            self.assert_one_version(links, self.play(links))
        eventlet.sleep(SETTLE_S)
        with self.cut(self.link_paths), self.stopped():
            self.assert_one_version(both, self.play(both))
        eventlet.sleep(SETTLE_S)
        with self.cut((*self.link_paths, self.store_path)):
            self.assert_one_version(cut_off, self.play(cut_off))

    def test_a_node_cut_off_from_the_store_alone(self) -> None:
        """Guards against the only version that a late listing shows."""
        service = SERVICES[-1]
        with self.cut((self.store_path,)):
            play = self.play(service)
        self.assert_one_version(service, play)

    def test_a_node_that_is_left_alone_goes_on_at_the_only_version(
        self,
    ) -> None:
        """Guards against streams that are lost with all other nodes."""
        service = SERVICES[0]
        with self.cut(self.link_paths):
            begun = [self.begin(service, node) for node in self.others * 6]
            for node in self.others:
                node.process.kill()
            tries = [
                eventlet.spawn(self.go_on, service, *each) for each in begun
            ]
            contents = [each.wait() for each in tries]
        self.addDetail('what was taken up', text_content(repr(contents)))
        self.assertEqual([{'v1'}] * 12, list(map(versions_in, contents)))


def configuration() -> str:
    """Build a configuration with one route of streams for each service."""
    routes = [
        {
            'name': f'/{service}/',
            'host': HOST,
            'path_prefix': f'/{service}/',
            'kind': 'streaming',
            'allow_resume': True,
            'timeout_ms': int(ROUTE_TIMEOUT_S * 1000),
            'target_latency_ms': 500,
            'service': service,
            'max_attempts': 2,
        }
        for service in SERVICES
    ]
    engine = {
        'slots': 8,
        'kv_capacity_tokens': 90000,
        'kv_hold_s': 5,
        'role_switch_s': 1,
    }
    return json.dumps(
        {
            'version': 1,
            'routes': routes,
            'services': [
                {'name': service, 'max_connections': 99, 'engine': engine}
                for service in SERVICES
            ],
            'tenants': [{'name': 'acme', 'api_keys': [API_KEY]}],
        }
    )
