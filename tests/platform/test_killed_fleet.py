"""Streams taken up after all gateway processes were killed at once."""

import contextlib
import itertools
import json
import re
import tempfile
from collections.abc import Iterable, Iterator

import attrs
import eventlet
import testtools
from eventlet.green import socket

from tests.platform.node_harness import (
    ReceivedRequest,
    Script,
    ScriptedTarget,
    ScriptStep,
    chunk,
    request_bytes,
)
from tests.platform.program import (
    Ports,
    Program,
    kill_after,
    wait_for_members,
)
from tests.platform.store_standin import StoreStandin
from tests.platform.test_resumed_streams import (
    MEMBERS_LISTED_S,
    READ_TIMEOUT_S,
    configuration,
    has_ended,
    is_whole,
)
from tests.platform.versioned_engines import (
    events_in,
    take_up,
    versions_in,
)

STREAM_COUNT = 12
# A process may save the streams that it has begun this long after.
SAVED_S = 2.0
# A stream lasts longer than its test, until it is taken up.
EVENT_COUNT = 120
EVENT_INTERVAL_S = 0.1
# A caller leaves if it has no event for two seconds.
CALLER_PATIENCE_S = 2.0
_ID_OF_EVENT = re.compile(rb'id: (\d+)\ndata: \S+ \d+\n\n')


@attrs.define
class CutStream:
    """A stream that its caller still reads as its node is killed."""

    attempt_id: str
    sock: socket.socket
    content: bytes = b''


class KilledFleetCase(testtools.TestCase):
    """Nodes in some domains; engines that write new streams slowly."""

    domains: tuple[str, ...]

    def setUp(self) -> None:
        super().setUp()
        self.folder = self.enterContext(tempfile.TemporaryDirectory())
        self.store = StoreStandin()
        self.addCleanup(self.store.close)
        self.store.put('op/config', configuration())
        self._numbers = itertools.count()
        self._engine_numbers = itertools.count()
        self.ports = [Ports() for _ in self.domains]
        self.store_addresses = [self.store.open_address() for _ in self.domains]
        self.nodes: list[Program] = []

    def add_engines(self, versions: Iterable[str]) -> None:
        """Register an engine of each version, more than once if repeated."""
        for version in versions:
            target = ScriptedTarget(streams_slowly(version))
            self.addCleanup(target.close)
            entry = {
                'service': 'lm',
                'address': target.address,
                'zone': 'a',
                'slots': 32,
                'state': 'ready',
                'phase': 'decode',
                'version': version,
            }
            name = f'servers/i-{next(self._engine_numbers)}'
            self.store.put(name, json.dumps(entry))

    def start_nodes(self) -> None:
        """Start all nodes and wait until they are ready."""
        self.nodes = [
            self._start_node(number) for number in range(len(self.domains))
        ]
        for node in self.nodes:
            node.wait_until_ready()

    def _start_node(self, number: int) -> Program:
        program = Program(
            self.store,
            self.folder,
            self.ports[number],
            domain=self.domains[number],
            store_address=self.store_addresses[number],
        )
        kill_after(self, program)
        return program

    def start_fleet(self, versions: Iterable[str]) -> None:
        """Start engines, and nodes that know each other."""
        self.add_engines(versions)
        self.start_nodes()
        wait_for_members(self.store, len(self.domains))
        eventlet.sleep(MEMBERS_LISTED_S)

    def kill_all(self) -> None:
        """Kill all processes, and wait until they are gone."""
        for node in self.nodes:
            node.process.kill()
        for node in self.nodes:
            node.process.wait()

    def cut(self, streams: list[CutStream]) -> None:
        """Kill all processes; read what callers of streams still get."""
        self.kill_all()
        for stream in streams:
            with contextlib.suppress(OSError):
                while data := stream.sock.recv(65536):
                    stream.content += data

    def begin_some(self) -> list[CutStream]:
        """Begin streams at the nodes in turn, and go on reading them."""
        turns = itertools.cycle(self.nodes)
        streams = [self._begin(next(turns)) for _ in range(STREAM_COUNT)]
        eventlet.sleep(SAVED_S)
        return streams

    def _begin(self, node: Program) -> CutStream:
        attempt_id = f'attempt-{next(self._numbers)}'
        sock = eventlet.connect(('127.0.0.1', node.port))
        self.addCleanup(sock.close)
        sock.settimeout(READ_TIMEOUT_S)
        sock.sendall(request_bytes('/resume/1', attempt_id=attempt_id))
        stream = CutStream(attempt_id, sock)
        while not events_in(stream.content):
            stream.content += sock.recv(65536)
        return stream

    def take_up_all(self, streams: list[CutStream]) -> list[bytes]:
        """Take all streams up at the other nodes at the same time."""
        nodes = itertools.cycle(reversed(self.nodes))
        tries = [
            eventlet.spawn(self._take_up, next(nodes), stream)
            for stream in streams
        ]
        return [each.wait() for each in tries]

    def _take_up(self, node: Program, stream: CutStream) -> bytes:
        """Return all that the caller has of a stream, its head included."""
        extra = take_up(stream.attempt_id, events_in(stream.content))
        attempt_id = f'{stream.attempt_id}-again'
        content = b''
        with eventlet.connect(('127.0.0.1', node.port)) as sock:
            sock.settimeout(CALLER_PATIENCE_S)
            sock.sendall(
                request_bytes('/resume/1', extra=extra, attempt_id=attempt_id)
            )
            with contextlib.suppress(OSError):
                while data := sock.recv(65536):
                    content += data
                    if has_ended(content, None):
                        break
        return stream.content + content

    def assert_gone_on(self, streams: list[bytes]) -> None:
        """All streams have their events of one version, and their ends."""
        self.assertEqual([], [each for each in streams if is_mixed(each)])
        self.assertEqual(STREAM_COUNT, sum(map(is_whole, streams)), streams[-1])
        self.assertEqual(
            [list(range(1, EVENT_COUNT + 1))] * STREAM_COUNT,
            list(map(ids_in, streams)),
        )

    def assert_none_gone_on(
        self, begun: list[CutStream], streams: list[bytes]
    ) -> None:
        """All streams were refused in time, without an event."""
        self.assertEqual(
            [events_in(stream.content) for stream in begun],
            list(map(events_in, streams)),
        )
        for content in streams:
            self.assertIn(b'HTTP/1.1 503 ', content)


class KilledFleetTest(KilledFleetCase):
    """Two nodes in two domains."""

    domains = ('a', 'b')

    def test_streams_of_several_versions_go_on(self) -> None:
        """Guards against streams whose version only processes knew."""
        self.start_fleet(('v1', 'v1', 'v2', 'v2'))
        begun = self.begin_some()
        self.cut(begun)
        self.start_nodes()
        self.assert_gone_on(self.take_up_all(begun))

    def test_streams_of_the_only_version_go_on(self) -> None:
        """Guards against a history of versions that begins anew."""
        self.start_fleet(('v1', 'v1'))
        begun = self.begin_some()
        self.cut(begun)
        self.start_nodes()
        self.assert_gone_on(self.take_up_all(begun))

    def test_streams_begun_before_a_second_version_go_on(self) -> None:
        """Guards against records of the streams after that version alone."""
        self.start_fleet(('v1', 'v1'))
        begun = self.begin_some()
        self.add_engines(('v2', 'v2'))
        eventlet.sleep(SAVED_S + 1)
        self.cut(begun)
        self.start_nodes()
        self.assert_gone_on(self.take_up_all(begun))

    def test_a_version_that_came_in_the_meantime_gets_no_stream(self) -> None:
        """Guards against a guess by the engines that are left."""
        self.start_fleet(('v1', 'v1'))
        begun = self.begin_some()
        self.cut(begun)
        for key in self.store.keys('servers/'):
            self.store.remove(key)
        self.add_engines(('v2', 'v2'))
        self.start_nodes()
        self.assert_none_gone_on(begun, self.take_up_all(begun))

    def test_streams_are_refused_soon_where_the_store_refuses(self) -> None:
        """Guards against callers that wait for records in vain."""
        self.start_fleet(('v1', 'v1', 'v2', 'v2'))
        begun = self.begin_some()
        self.cut(begun)
        self.start_nodes()
        self.store.refused.update(self.store_addresses)
        self.assert_none_gone_on(begun, self.take_up_all(begun))

    def test_one_version_costs_one_record(self) -> None:
        """Guards against calls to the store that nobody needs."""
        self.start_fleet(('v1', 'v1'))
        self.begin_some()
        self.assertEqual([], self.store.keys('streams/open/'))
        self.assertEqual(1, len(self.store.keys('streams/versions/')))
        written = [
            item for item in self.store.history if 'streams/' in item.key
        ]
        self.assertEqual(1, len(written))


class KilledDomainTest(KilledFleetCase):
    """Three nodes in one domain, of which one reads the store."""

    domains = ('a', 'a', 'a')

    def test_streams_of_all_nodes_of_a_domain_go_on(self) -> None:
        """Guards against streams of the nodes that write no record."""
        self.start_fleet(('v1', 'v1', 'v2', 'v2'))
        begun = self.begin_some()
        self.assertEqual(1, len(self.store.keys('streams/open/')))
        self.cut(begun)
        self.start_nodes()
        self.assert_gone_on(self.take_up_all(begun))


def streams_slowly(version: str) -> Script:
    """Write new streams slowly, and the rest of others at once."""

    def answer_request(request: ReceivedRequest) -> Iterator[ScriptStep]:
        attempt_id = request.headers.get('attempt-id', '')
        yield (
            'HTTP/1.1 200 OK\r\nResponse-Signature: s\r\n'
            f'Attempt-Id: {attempt_id}\r\n'
            'Content-Type: text/event-stream\r\n'
            'Transfer-Encoding: chunked\r\n\r\n'
        ).encode()
        last_id = int(request.headers.get('last-event-id', 0))
        for number in range(last_id + 1, EVENT_COUNT + 1):
            yield chunk(f'id: {number}\ndata: {version} {number}\n\n'.encode())
            if not last_id:
                yield EVENT_INTERVAL_S
        yield chunk(b'')

    return answer_request


def ids_in(content: bytes) -> list[int]:
    """Return the ids of the whole events that a caller has received."""
    return [int(number) for number in _ID_OF_EVENT.findall(content)]


def is_mixed(content: bytes) -> bool:
    """Whether a caller has events of two versions."""
    return len(versions_in(content)) > 1
