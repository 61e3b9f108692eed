"""Gateway processes whose callers take streams up at another one."""

import contextlib
import itertools
import json
import signal
import tempfile

import eventlet
import testtools

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
from tests.platform.store_standin import StoreStandin
from tests.platform.versioned_engines import (
    EVENTS_PER_STREAM,
    events_in,
    streams_version,
    take_up,
    versions_in,
)

DOMAINS = ('a', 'b', 'c')
VERSIONS = ('v1', 'v1', 'v2', 'v2')
STREAM_COUNT = 12
MEMBERS_LISTED_S = 4.5
COME_BACK_S = 2.0
READ_TIMEOUT_S = 4.0


def configuration() -> str:
    """Build a configuration with one route of streams that may be resumed."""
    route = {
        'name': '/resume/',
        'host': HOST,
        'path_prefix': '/resume/',
        'kind': 'streaming',
        'allow_resume': True,
        'timeout_ms': 6000,
        'target_latency_ms': 500,
        'service': 'lm',
        'max_attempts': 2,
    }
    engine = {
        'slots': 8,
        'kv_capacity_tokens': 90000,
        'kv_hold_s': 5,
        'role_switch_s': 1,
    }
    return json.dumps(
        {
            'version': 1,
            'routes': [route],
            'services': [
                {'name': 'lm', 'max_connections': 99, 'engine': engine}
            ],
            'tenants': [{'name': 'acme', 'api_keys': [API_KEY]}],
        }
    )


class ResumedStreamTest(testtools.TestCase):
    """Three nodes in three domains, and two engines of each version."""

    def setUp(self) -> None:
        super().setUp()
        self.folder = self.enterContext(tempfile.TemporaryDirectory())
        self.store = StoreStandin()
        self.addCleanup(self.store.close)
        self.store.put('op/config', configuration())
        for number, version in enumerate(VERSIONS):
            self._add_engine(f'i-{number}', version)
        self._numbers = itertools.count()
        self.ports = [Ports() for _ in DOMAINS]
        self.nodes = [
            self._start_node(domain, ports)
            for domain, ports in zip(DOMAINS, self.ports, strict=True)
        ]
        for node in self.nodes:
            node.wait_until_ready()
        wait_for_members(self.store, len(DOMAINS))
        eventlet.sleep(MEMBERS_LISTED_S)

    def _add_engine(self, name: str, version: str) -> None:
        target = ScriptedTarget(streams_version(version))
        self.addCleanup(target.close)
        entry = {
            'service': 'lm',
            'address': target.address,
            'zone': 'a',
            'slots': 8,
            'state': 'ready',
            'phase': 'decode',
            'version': version,
        }
        self.store.put(f'servers/{name}', json.dumps(entry))

    def _start_node(self, domain: str, ports: Ports) -> Program:
        program = Program(self.store, self.folder, ports, domain=domain)
        kill_after(self, program)
        return program

    def new_id(self) -> str:
        """Return the id of a new attempt."""
        return f'attempt-{next(self._numbers)}'

    def read(
        self,
        node: Program,
        attempt_id: str,
        extra: str = '',
        event_count: int | None = None,
    ) -> bytes:
        """Read a stream to its end, or leave after so many events."""
        content = b''
        with eventlet.connect(('127.0.0.1', node.port)) as sock:
            sock.settimeout(READ_TIMEOUT_S)
            sock.sendall(
                request_bytes('/resume/1', extra=extra, attempt_id=attempt_id)
            )
            with contextlib.suppress(OSError):
                while data := sock.recv(65536):
                    content += data
                    if has_ended(content, event_count):
                        break
        return content

    def begin(self, node: Program) -> tuple[str, bytes]:
        """Begin a stream and leave after two events."""
        attempt_id = self.new_id()
        return attempt_id, self.read(node, attempt_id, event_count=2)

    def go_on(self, node: Program, attempt_id: str, begun: bytes) -> bytes:
        """Take a stream up at a node."""
        extra = take_up(attempt_id, events_in(begun))
        return self.read(node, self.new_id(), extra)

    def assert_one_version(self, streams: list[bytes]) -> None:
        """No stream holds events of two versions."""
        mixed = [text for text in streams if len(versions_in(text)) > 1]
        self.assertEqual([], mixed)

    def begin_some(self) -> list[tuple[str, bytes]]:
        """Begin streams at the first node."""
        return [self.begin(self.nodes[0]) for _ in range(STREAM_COUNT)]

    def go_on_all(
        self, nodes: list[Program], begun: list[tuple[str, bytes]]
    ) -> list[bytes]:
        """Take streams up at some nodes in turn; return all their bytes."""
        turns = itertools.cycle(nodes)
        return [
            content + self.go_on(next(turns), attempt_id, content)
            for attempt_id, content in begun
        ]

    def assert_whole(self, streams: list[bytes]) -> None:
        """All streams reached their ends at their versions."""
        self.assert_one_version(streams)
        self.assertEqual(STREAM_COUNT, sum(map(is_whole, streams)), streams[-1])
        self.assertEqual(
            [EVENTS_PER_STREAM] * STREAM_COUNT, list(map(events_in, streams))
        )

    def test_streams_taken_up_at_another_node_stay_at_their_version(
        self,
    ) -> None:
        """Guards against events of two versions over a caller's tries."""
        first, second, _ = self.nodes
        streams = []
        for _ in range(STREAM_COUNT):
            attempt_id, begun = self.begin(first)
            streams.append(begun + self.go_on(second, attempt_id, begun))
        self.assert_one_version(streams)
        self.assertEqual(STREAM_COUNT, sum(map(is_whole, streams)))

    def test_streams_of_a_killed_node_go_on_at_their_version(self) -> None:
        """Guards against streams that are lost or mixed with their node."""
        begun = self.begin_some()
        self.nodes[0].process.kill()
        self.assert_whole(self.go_on_all(self.nodes[1:], begun))
        eventlet.sleep(COME_BACK_S)
        self.assert_whole(self.go_on_all(self.nodes[1:], begun))

    def test_streams_of_a_stopped_node_go_on_at_their_version(self) -> None:
        """Guards against a node that stands still and then goes on."""
        begun = self.begin_some()
        first = self.nodes[0]
        first.send_signal(signal.SIGSTOP)
        try:
            self.assert_whole(self.go_on_all(self.nodes[1:], begun))
        finally:
            first.send_signal(signal.SIGCONT)
        self.assert_whole(self.go_on_all([first], begun))

    def test_a_restarted_node_asks_for_the_streams_that_it_began(self) -> None:
        """Guards against a node that forgets its own streams."""
        begun = self.begin_some()
        first = self.nodes[0]
        first.process.kill()
        first.process.wait()
        restarted = self._start_node(DOMAINS[0], self.ports[0])
        restarted.wait_until_ready()
        eventlet.sleep(MEMBERS_LISTED_S)
        self.assert_whole(self.go_on_all([restarted], begun))
        self.assertIn('"outcome": "asked"', restarted.log.read_text())

    def test_two_nodes_at_the_same_time_keep_to_the_version(self) -> None:
        """Guards against two tries of a caller that go on apart."""
        begun = self.begin_some()
        tries = [
            eventlet.spawn(self.go_on, node, attempt_id, content)
            for attempt_id, content in begun
            for node in self.nodes[1:]
        ]
        contents = [text for _, text in begun for _ in self.nodes[1:]]
        streams = [
            content + each.wait()
            for content, each in zip(contents, tries, strict=True)
        ]
        self.assert_one_version(streams)
        self.assertEqual(2 * STREAM_COUNT, sum(map(is_whole, streams)))


def has_ended(content: bytes, event_count: int | None) -> bool:
    """Whether a caller reads no more of a response."""
    if event_count and events_in(content) >= event_count:
        return True
    is_refusal = not content.startswith(b'HTTP/1.1 200 ')
    return is_whole(content) or (is_refusal and b'\r\n\r\n' in content)


def is_whole(content: bytes) -> bool:
    """Whether a caller has received the end of a stream."""
    return content.endswith(b'0\r\n\r\n')
