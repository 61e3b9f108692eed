"""Gateway processes whose callers take streams up at another one."""

import contextlib
import itertools
import json
import tempfile

import eventlet
import testtools
from testtools.content import text_content

from tests.platform.node_harness import (
    API_KEY,
    HOST,
    ScriptedTarget,
    request_bytes,
)
from tests.platform.program import Program, wait_for
from tests.platform.store_standin import StoreStandin
from tests.platform.versioned_engines import (
    events_in,
    streams_version,
    take_up,
    versions_in,
)

DOMAINS = ('a', 'b', 'c')
VERSIONS = ('v1', 'v1', 'v2', 'v2')
STREAM_COUNT = 12
MEMBERS_LISTED_S = 4.5


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
        self.nodes = [self._start_node(domain) for domain in DOMAINS]
        for node in self.nodes:
            node.wait_until_ready()
        wait_for(
            lambda: len(self.store.keys('members/')) == len(DOMAINS),
            'the members',
        )
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

    def _start_node(self, domain: str) -> Program:
        program = Program(self.store, self.folder, domain=domain)
        self.addCleanup(program.process.wait)
        self.addCleanup(program.process.kill)
        self.addOnException(
            lambda _: self.addDetail(
                f'log of n-{program.port}',
                text_content(program.log.read_text()[-20000:]),
            )
        )
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
            sock.sendall(
                request_bytes('/resume/1', extra=extra, attempt_id=attempt_id)
            )
            with contextlib.suppress(OSError):
                while data := sock.recv(65536):
                    content += data
                    if event_count and events_in(content) >= event_count:
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


def is_whole(content: bytes) -> bool:
    """Whether a caller has received the end of a stream."""
    return content.endswith(b'0\r\n\r\n')
