"""A request under which engines fall silent, and start again seconds later."""

import itertools
import json
import tempfile

import attrs
import eventlet
import testtools
from eventlet.event import Event
from eventlet.green import socket

from tests.platform.local_server import LocalServer, receive_head
from tests.platform.node_harness import (
    API_KEY,
    HOST,
    SIGNED_HEAD,
    answer,
    request_bytes,
)
from tests.platform.program import (
    Program,
    kill_after,
    wait_for,
    wait_for_members,
)
from tests.platform.store_standin import StoreStandin

DOMAINS = ('a', 'a', 'b')
ENGINE_COUNT = 5
MEMBERS_LISTED_S = 2.5
BAD_PATH = '/lookup/bad'
HANGING_PATH = '/lookup/hanging'
BAD_INTERVAL_S = 1.0
SOUND_INTERVAL_S = 0.2
# All nodes must refuse the request so long after its third crash.
AGREED_S = 3.0
MAX_LATE_ARRIVALS = 3
# The entry of an engine that says nothing is removed after this time.
ENTRY_LIFE_S = 3.6
TIMEOUT_MS = 4000


def configuration() -> str:
    route = {
        'name': 'lookup',
        'host': HOST,
        'path_prefix': '/lookup/',
        'kind': 'idempotent',
        'timeout_ms': TIMEOUT_MS,
        'target_latency_ms': 300,
        'service': 'ledger',
        'max_attempts': 2,
    }
    return json.dumps(
        {
            'version': 1,
            'routes': [route],
            'services': [{'name': 'ledger', 'max_connections': 99}],
            'tenants': [{'name': 'acme', 'api_keys': [API_KEY]}],
        }
    )


@attrs.define
class Crashes:
    """When the request came to engines, and when it ended one."""

    arrivals_s: list[float] = attrs.field(factory=list)
    crashes_s: list[float] = attrs.field(factory=list)

    def late(self) -> int:
        """Return the arrivals after all nodes should know the cause."""
        until_s = self.crashes_s[2] + AGREED_S
        return sum(arrived_s > until_s for arrived_s in self.arrivals_s)


class SilentEngine:
    """An engine of a plain service that is back at its address."""

    def __init__(
        self, store: StoreStandin, name: str, crashes: Crashes, down_s: float
    ) -> None:
        self._store = store
        self._crashes = crashes
        self._down_s = down_s
        self._server = LocalServer(self._serve)
        self._first_name = name
        self._births = itertools.count(1)
        self._is_dark = False
        self._threads: list[eventlet.greenthread.GreenThread] = []
        self.keeps_id = False
        self.hanging = 0
        self._register()

    def close(self) -> None:
        for thread in self._threads:
            thread.kill()
        self._server.close()

    def _register(self) -> None:
        self._born = next(self._births)
        self._name = self._first_name
        if not self.keeps_id:
            self._name = f'{self._first_name}-{self._born}'
        entry = {
            'service': 'ledger',
            'address': self._server.address,
            'zone': 'a',
            'slots': 8,
            'state': 'ready',
            'born': self._born,
        }
        self._store.put(f'servers/{self._name}', json.dumps(entry))

    def _serve(self, sock: socket.socket) -> None:
        with sock:
            while head := receive_head(sock).decode():
                if self._is_dark:
                    Event().wait()
                reply = self._reply(head)
                sock.sendall(reply)

    def _reply(self, head: str) -> bytes:
        if f'target-instance: {self._name}\r\n' not in head.lower():
            return answer('421 Misdirected', b'', 'Not-Executed: 1\r\n')
        attempt_id = head.lower().partition('attempt-id: ')[2].split('\r\n')[0]
        if f' {BAD_PATH} ' in head:
            self._fall_silent()
            Event().wait()
        if f' {HANGING_PATH} ' in head:
            self.hanging += 1
            Event().wait()
        if not attempt_id:
            return answer('400 No id', b'', 'Not-Executed: 1\r\n')
        return answer(extra=SIGNED_HEAD.replace(': a1', f': {attempt_id}'))

    def _fall_silent(self) -> None:
        now_s = eventlet.hubs.get_hub().clock()
        self._crashes.arrivals_s.append(now_s)
        self._crashes.crashes_s.append(now_s)
        self._is_dark = True
        self._threads.append(eventlet.spawn(self._start_anew, self._name))

    def _start_anew(self, name: str) -> None:
        eventlet.sleep(self._down_s)
        self._server.end_connections()
        self._is_dark = False
        self._register()
        eventlet.sleep(max(0, ENTRY_LIFE_S - self._down_s))
        if not self.keeps_id:
            self._store.remove(f'servers/{name}')


class SilentCrashCase(testtools.TestCase):
    """Three nodes, of which two share their news."""

    down_s = 3.0
    keeps_id = False

    def setUp(self) -> None:
        super().setUp()
        self.folder = self.enterContext(tempfile.TemporaryDirectory())
        self.store = StoreStandin()
        self.addCleanup(self.store.close)
        self.store.put('op/config', configuration())
        self.crashes = Crashes()
        self.engines = [
            self.add_engine(f'i-{number}') for number in range(ENGINE_COUNT)
        ]
        self.numbers = itertools.count()
        self.nodes = [self.start_node(domain) for domain in DOMAINS]
        for node in self.nodes:
            node.wait_until_ready()
        wait_for_members(self.store, len(DOMAINS))
        eventlet.sleep(MEMBERS_LISTED_S)

    def add_engine(self, name: str) -> SilentEngine:
        engine = SilentEngine(self.store, name, self.crashes, self.down_s)
        engine.keeps_id = self.keeps_id
        self.addCleanup(engine.close)
        return engine

    def start_node(self, domain: str) -> Program:
        program = Program(self.store, self.folder, domain=domain)
        kill_after(self, program)
        return program

    def send(self, node: Program, path: str) -> bytes:
        attempt_id = f'a{next(self.numbers)}'
        content = request_bytes(path, attempt_id=attempt_id)
        return node.exchange(node.port, content)

    def send_sound(self, node: Program) -> None:
        """Send one sound call after the other, each with a path of its own."""
        for number in itertools.count():
            self.send(node, f'/lookup/{number}')
            eventlet.sleep(SOUND_INTERVAL_S)

    def send_always(self, path: str, for_s: float) -> None:
        """Send one request again and again, at each node in turn."""
        for node in self.nodes:
            thread = eventlet.spawn(self.send_sound, node)
            self.addCleanup(thread.kill)
        nodes = itertools.cycle(self.nodes)
        for _ in range(int(for_s / BAD_INTERVAL_S)):
            thread = eventlet.spawn(self.send, next(nodes), path)
            self.addCleanup(thread.kill)
            eventlet.sleep(BAD_INTERVAL_S)


class SilentCrashTest(SilentCrashCase):
    def test_a_request_that_silences_engines_is_refused(self) -> None:
        """Guards against a new start that is taken for the one before."""
        self.send_always(BAD_PATH, 18)
        self.assertLessEqual(self.crashes.late(), MAX_LATE_ARRIVALS)
        for node in self.nodes:
            self.assertIn(b' 503 ', self.send(node, BAD_PATH))
            self.assertIn(b' 200 ', self.send(node, '/lookup/sound'))

    def test_a_request_that_only_hangs_goes_on_reaching_engines(self) -> None:
        """Guards against silence that is taken for a crash."""
        self.send_always(HANGING_PATH, 18)
        hanging = sum(engine.hanging for engine in self.engines)
        eventlet.spawn_n(self.send, self.nodes[0], HANGING_PATH)
        wait_for(
            lambda: sum(each.hanging for each in self.engines) > hanging,
            'one more of the request',
        )


class LongSilenceTest(SilentCrashCase):
    """Engines are back after the time limit of the request."""

    down_s = 4.9

    def test_a_silence_longer_than_the_time_limit_counts(self) -> None:
        """Guards against calls that end before their engine does."""
        self.send_always(BAD_PATH, 20)
        self.assertLessEqual(self.crashes.late(), MAX_LATE_ARRIVALS)
        for node in self.nodes:
            self.assertIn(b' 503 ', self.send(node, BAD_PATH))


class SameIdTest(SilentCrashCase):
    """Engines are back under the id that they had."""

    keeps_id = True

    def test_a_request_that_silences_engines_is_refused(self) -> None:
        """Guards against starts that are told apart by their ids alone."""
        self.send_always(BAD_PATH, 18)
        self.assertLessEqual(self.crashes.late(), MAX_LATE_ARRIVALS)
