"""A process that ends while its callers still send requests."""

import contextlib
import functools
import json
import signal
import tempfile

import eventlet
import testtools
from eventlet.green import socket
from testtools.content import text_content

from dandelionyoke_core import InstanceId
from dandelionyoke_gateway import ExitStatus, clock_s
from dandelionyoke_links import LinkError, PeerHub, PeerSettings
from tests.platform.node_harness import ScriptedTarget, answer, request_bytes
from tests.platform.program import Program, wait_for, wait_for_secret
from tests.platform.store_standin import StoreStandin
from tests.platform.test_process import configuration

CALLER_COUNT = 8
STANDSTILL_S = 1.8
# As in the settings of the program.
GRACE_S = 8.0
OPEN_TIMEOUT_S = 0.4
BEFORE_THE_END_S = 3.1
CONNECT_INTERVAL_S = 0.005
# Of a caller within its request.
PAUSE_S = 0.5
REQUEST = request_bytes('/confirm/1')
TARGET = {'service': 'ledger', 'zone': 'a', 'slots': 4, 'state': 'ready'}


def exchange(sock: socket.socket) -> bytes:
    """Send a request; return what came of its answer."""
    with contextlib.suppress(OSError):
        sock.sendall(REQUEST)
    return read_answer(sock)


def read_answer(sock: socket.socket) -> bytes:
    """Read an answer whose body is short; return what came of it."""
    content = b''
    with contextlib.suppress(OSError):
        while b'\r\n\r\n' not in content:
            data = sock.recv(65536)
            if not data:
                break
            content += data
    return content


class LeavingProcessTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.store = StoreStandin()
        self.addCleanup(self.store.close)
        target = ScriptedTarget(lambda _: [answer()])
        self.addCleanup(target.close)
        entry = TARGET | {'address': target.address}
        self.store.put('servers/i-1', json.dumps(entry))
        self.store.put('op/config', configuration())
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.program = Program(self.store, folder)
        self.addCleanup(self.program.process.wait)
        self.addCleanup(self.program.process.kill)
        self.addOnException(lambda _: self.show_log())
        self.program.wait_until_ready()
        self.callers = [self.connect() for _ in range(CALLER_COUNT)]

    def show_log(self) -> None:
        """Attach the log of the process to the test's failure."""
        log = self.program.log.read_text()
        self.addDetail('log', text_content(log))

    def connect(self) -> socket.socket:
        """Open a connection to the process and use it once."""
        caller = eventlet.connect(('127.0.0.1', self.program.port))
        self.addCleanup(caller.close)
        caller.settimeout(15)
        caller.sendall(REQUEST)
        self.assertIn(b' 200 ', read_answer(caller))
        return caller

    def end_until_the_last_look(self) -> None:
        """End the process; return when it takes no connections any more."""
        self.program.send_signal(signal.SIGTERM)
        with contextlib.suppress(OSError):
            while True:
                eventlet.connect(('127.0.0.1', self.program.port)).close()
                eventlet.sleep(CONNECT_INTERVAL_S)

    def check_refusals(self) -> None:
        """Check that each caller is told, and that the process ends."""
        statuses = [read_answer(caller)[9:12] for caller in self.callers]
        self.assertEqual([b'503'] * CALLER_COUNT, statuses)
        wait_for(self.program.has_ended, 'the end')
        self.assertEqual(0, self.program.process.returncode)

    def test_requests_that_came_in_a_standstill_are_refused(self) -> None:
        """Guards against a process that ends without a look at its sockets."""
        self.end_until_the_last_look()
        self.program.send_signal(signal.SIGSTOP)
        for caller in self.callers:
            caller.sendall(REQUEST)
        eventlet.sleep(STANDSTILL_S)
        self.program.send_signal(signal.SIGCONT)
        self.check_refusals()

    def test_requests_that_have_begun_are_refused(self) -> None:
        """Guards against requests that are cut off while they are read."""
        self.end_until_the_last_look()
        for caller in self.callers:
            caller.sendall(REQUEST[:-1])
        eventlet.sleep(PAUSE_S)
        for caller in self.callers:
            with contextlib.suppress(OSError):
                caller.sendall(REQUEST[-1:])
        self.check_refusals()

    def test_a_request_that_never_ends_is_not_awaited_for_ever(self) -> None:
        """Guards against a process that is killed at the end of its grace."""
        began_s = clock_s()
        self.end_until_the_last_look()
        self.callers[0].sendall(REQUEST[:-1])
        wait_for(self.program.has_ended, 'the end')
        self.assertLess(clock_s() - began_s, GRACE_S)
        self.assertEqual(ExitStatus.CUT, self.program.process.returncode)

    def test_calls_of_other_nodes_are_not_accepted_any_more(self) -> None:
        """Guards against handed calls that wait for a node that ends."""
        secret = wait_for_secret(self.store)
        hub = PeerHub(PeerSettings(InstanceId('n-2'), secret), id)
        open_call = functools.partial(
            hub.open_call,
            InstanceId(f'n-{self.program.port}'),
            self.program.peer_address,
            timeout_s=OPEN_TIMEOUT_S,
        )
        open_call().close()
        self.end_until_the_last_look()
        self.program.send_signal(signal.SIGSTOP)
        error = self.assertRaises(LinkError, open_call)
        self.program.send_signal(signal.SIGCONT)
        self.assertIn('ECONNREFUSED', str(error))

    def call_until_refused(self) -> list[bytes]:
        """Send requests on new connections; list the statuses."""
        statuses = []
        while True:
            try:
                caller = eventlet.connect(('127.0.0.1', self.program.port))
            except ConnectionError:
                return statuses
            with caller:
                statuses.append(exchange(caller)[9:12])

    def test_connections_that_wait_to_be_accepted_are_refused(self) -> None:
        """Guards against callers whose connection a closed listener resets.

        After a standstill many have to be accepted.
        """
        self.program.send_signal(signal.SIGTERM)
        eventlet.sleep(BEFORE_THE_END_S)
        self.program.send_signal(signal.SIGSTOP)
        callers = [
            eventlet.spawn(self.call_until_refused) for _ in range(CALLER_COUNT)
        ]
        eventlet.sleep(STANDSTILL_S)
        self.program.send_signal(signal.SIGCONT)
        statuses = {status for caller in callers for status in caller.wait()}
        self.assertEqual({b'503'}, statuses)
