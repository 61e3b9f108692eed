"""A process that gets most new connections of its domain for some seconds."""

import contextlib
import json
import tempfile

import eventlet
import testtools
from eventlet.green import socket
from eventlet.greenthread import GreenThread
from testtools.content import text_content

from dandelionyoke_gateway import clock_s
from tests.platform.node_harness import ScriptedTarget, answer, request_bytes
from tests.platform.program import Program
from tests.platform.store_standin import StoreStandin
from tests.platform.test_process import configuration

TARGET = {'service': 'ledger', 'zone': 'a', 'slots': 400, 'state': 'ready'}
# A caller leaves if its request is not read within this time.
READ_WITHIN_S = 1.0
CALM_COUNT = 20
BURST_COUNT = 8
BURST_SIZE = 60
BURST_INTERVAL_S = 0.3
# Requests are served at the first attempt at least so often as before.
MIN_SHARE = 0.75


class ManyConnectionsTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        store = StoreStandin()
        self.addCleanup(store.close)
        target = ScriptedTarget(lambda _: [answer()])
        self.addCleanup(target.close)
        entry = TARGET | {'address': target.address}
        store.put('servers/i-1', json.dumps(entry))
        store.put('op/config', configuration())
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.program = Program(store, folder)
        self.addCleanup(self.program.process.wait)
        self.addCleanup(self.program.process.kill)
        self.program.wait_until_ready()
        self.addOnException(
            lambda _: self.addDetail(
                'log', text_content(self.program.log.read_text())
            )
        )

    def call(self) -> bool:
        """Send a request on a new connection; return whether it is served."""
        started_s = clock_s()
        with contextlib.suppress(OSError):
            address = ('127.0.0.1', self.program.port)
            with socket.create_connection(address, READ_WITHIN_S) as sock:
                sock.sendall(request_bytes('/confirm/1'))
                content = sock.recv(65536)
            is_in_time = clock_s() - started_s < READ_WITHIN_S
            return is_in_time and content.startswith(b'HTTP/1.1 200')
        return False

    def served_share(self, calls: list[GreenThread]) -> float:
        return sum(call.wait() for call in calls) / len(calls)

    def test_new_connections_are_served_at_the_first_attempt(self) -> None:
        """Guards against a node that many callers choose at the same time."""
        calm = self.served_share(
            [eventlet.spawn(self.call) for _ in range(CALM_COUNT)]
        )
        calls = []
        for _ in range(BURST_COUNT):
            calls += [eventlet.spawn(self.call) for _ in range(BURST_SIZE)]
            eventlet.sleep(BURST_INTERVAL_S)
        self.assertEqual(1.0, calm)
        self.assertGreaterEqual(self.served_share(calls), MIN_SHARE * calm)
