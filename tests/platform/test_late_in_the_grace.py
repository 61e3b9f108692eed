"""Calls that a leaving process cannot end before the platform kills it."""

import contextlib
import json
import signal
import tempfile
from collections.abc import Iterator

import attrs
import eventlet
import testtools
from eventlet.green import socket
from eventlet.greenthread import GreenThread
from testtools.content import text_content

from dandelionyoke_core import InstanceId
from dandelionyoke_dispatch import CallKind
from dandelionyoke_gateway import clock_s
from dandelionyoke_gateway._handover_messages import (
    BodyPart,
    CallHanded,
    CallTerms,
    ResponseBegun,
)
from dandelionyoke_links import PeerHub, PeerSettings
from tests.platform.node_harness import (
    API_KEY,
    HOST,
    ReceivedRequest,
    ScriptedTarget,
    ScriptStep,
    answer,
    chunk,
    stream_head,
)
from tests.platform.program import Program, wait_for, wait_for_secret
from tests.platform.store_standin import StoreStandin

# As in the settings of the program; the platform kills it then.
GRACE_S = 8.0
# New calls are taken for so long after the signal.
NOTICE_S = 3.0
# Longer than the grace, as the times that the callers and the routes allow.
ENDLESS_S = 20.0
ROUTE_MS = 20000
# A refusal or an answer that needs no work.
AT_ONCE_S = 1.0
BEFORE_NOTICE_S = 2.6
AFTER_NOTICE_S = 4.5
STANDSTILL_S = 3.0
LONG_WORK_S = 4.5
EVENT_INTERVAL_S = 0.3
OPEN_TIMEOUT_S = 0.4
MEMBERS_LISTED_S = 4.5
UNREACHABLE = '127.0.0.1:1'
ROUTES = {
    '/confirm/': ('non_idempotent', 'ledger', False),
    '/look/': ('idempotent', 'ledger', False),
    '/ask/': ('streaming', 'lm', False),
    '/resume/': ('streaming', 'lm', True),
}


def configuration() -> str:
    routes = [
        {
            'name': path,
            'host': HOST,
            'path_prefix': path,
            'kind': kind,
            'allow_resume': is_resumable,
            'timeout_ms': ROUTE_MS,
            'service': service,
            'max_attempts': 2,
        }
        for path, (kind, service, is_resumable) in ROUTES.items()
    ]
    services = [
        {'name': name, 'max_connections': 99} for name in ('ledger', 'lm')
    ]
    return json.dumps(
        {
            'version': 1,
            'routes': routes,
            'services': services,
            'tenants': [{'name': 'acme', 'api_keys': [API_KEY]}],
        }
    )


def call_bytes(path: str, call_id: str) -> bytes:
    """Build a request whose time ends after the grace."""
    return (
        f'POST {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {call_id}\r\n'
        f'Deadline-Ms: {ROUTE_MS}\r\nX-Api-Key: {API_KEY}\r\n'
        'Content-Length: 4\r\n\r\nbody'
    ).encode()


def respond(request: ReceivedRequest) -> Iterator[ScriptStep]:
    """Work for the seconds that the path names, then answer."""
    _, kind, work_s, *more = request.line.split()[1].split('/')
    call_id = request.headers['attempt-id']
    signed = f'Response-Signature: s\r\nAttempt-Id: {call_id}\r\n'
    if kind in {'ask', 'resume'}:
        yield stream_head().replace(b'a1', call_id.encode())
        for number in range(round(float(work_s) / EVENT_INTERVAL_S)):
            yield chunk(f'id: {number}\ndata: t\n\n'.encode())
            yield EVENT_INTERVAL_S
        yield chunk(b'')
        return
    yield float(work_s)
    if 'error' in more:
        yield answer('500 Error', b'no', signed)
    else:
        yield answer(extra=signed)


@attrs.frozen
class Outcome:
    """What a caller got; `status` is 0 if nothing came."""

    status: int
    is_whole: bool
    elapsed_s: float


def read_outcome(sock: socket.socket, sent_s: float) -> Outcome:
    """Read an answer to its end."""
    content = b''
    with contextlib.suppress(OSError):
        while not _is_whole(content):
            data = sock.recv(65536)
            if not data:
                break
            content += data
    status = int(content.split(b' ')[1]) if content else 0
    return Outcome(status, _is_whole(content), clock_s() - sent_s)


def _is_whole(content: bytes) -> bool:
    head, separator, body = content.partition(b'\r\n\r\n')
    if not separator:
        return False
    for line in head.lower().split(b'\r\n'):
        name, _, text = line.partition(b':')
        if name == b'content-length':
            return len(body) >= int(text)
    return body.endswith(b'0\r\n\r\n')


class LateCallCase(testtools.TestCase):
    """A process, its engines and a platform that kills it after the grace."""

    def setUp(self) -> None:
        super().setUp()
        self.store = StoreStandin()
        self.addCleanup(self.store.close)
        self.store.put('op/config', configuration())
        self.targets = [
            self.add_target(service, number)
            for service in ('ledger', 'lm')
            for number in range(2)
        ]
        self.folder = self.enterContext(tempfile.TemporaryDirectory())
        self.term_s = 0.0
        self._call_count = 0
        self.program = self.start_program()
        self.program.wait_until_ready()

    def add_target(self, service: str, number: int) -> ScriptedTarget:
        target = ScriptedTarget(respond)
        self.addCleanup(target.close)
        entry = {
            'service': service,
            'address': target.address,
            'zone': 'a',
            'slots': 99,
            'state': 'ready',
        }
        self.store.put(f'servers/{service}-{number}', json.dumps(entry))
        return target

    def start_program(
        self, domain: str = 'a', store_address: str = ''
    ) -> Program:
        program = Program(
            self.store,
            self.folder,
            domain=domain,
            store_address=store_address,
        )
        self.addCleanup(program.process.wait)
        self.addCleanup(program.process.kill)
        self.addOnException(lambda _: self.show_log(program))
        return program

    def show_log(self, program: Program) -> None:
        """Attach the log of a process to the test's failure."""
        log = program.log.read_text()
        self.addDetail(f'log-{program.port}', text_content(log))

    def leave(self) -> None:
        """Send SIGTERM now, and SIGKILL after the grace."""
        self.term_s = clock_s()
        self.program.send_signal(signal.SIGTERM)
        killer = eventlet.spawn_after(
            GRACE_S, self.program.send_signal, signal.SIGKILL
        )
        self.addCleanup(killer.kill)

    def sleep_until(self, since_term_s: float) -> None:
        """Sleep until so long after the signal was sent."""
        eventlet.sleep(max(0.0, self.term_s + since_term_s - clock_s()))

    def connect(self) -> socket.socket:
        """Open a connection and use it once."""
        caller = eventlet.connect(('127.0.0.1', self.program.port))
        self.addCleanup(caller.close)
        caller.settimeout(ENDLESS_S)
        self.assertEqual(200, self.call('/confirm/0.05', caller).wait().status)
        return caller

    def call(
        self, path: str, caller: socket.socket, pause_s: float = 0.0
    ) -> GreenThread:
        """Send a request, its last byte after a pause; return its outcome."""
        self._call_count += 1
        content = call_bytes(path, f'c-{self._call_count}')

        def run() -> Outcome:
            caller.sendall(content[:-1])
            eventlet.sleep(pause_s)
            with contextlib.suppress(OSError):
                caller.sendall(content[-1:])
            return read_outcome(caller, clock_s())

        return eventlet.spawn(run)

    def received(self, path: str) -> int:
        """Return how often engines got a request for a path."""
        return sum(
            f' {path} ' in request.line
            for target in self.targets
            for request in target.received_requests
        )

    def check_refused(self, call: GreenThread, path: str) -> None:
        """Check that a call was refused at once and reached no engine."""
        outcome = call.wait()
        self.assertEqual(503, outcome.status, outcome)
        self.assertLess(outcome.elapsed_s, AT_ONCE_S)
        self.assertEqual(0, self.received(path))

    def check_timed_out(self, call: GreenThread) -> None:
        """Check that a call that may have run was told so in the grace."""
        outcome = call.wait()
        self.assertEqual((504, True), (outcome.status, outcome.is_whole))
        self.assertLess(clock_s() - self.term_s, GRACE_S)

    def check_ended(self) -> None:
        """Check that the process ended by itself, and cleanly."""
        wait_for(self.program.has_ended, 'the end')
        self.assertEqual(0, self.program.process.returncode)


class LateCallTest(LateCallCase):
    def test_a_body_that_ends_late_is_not_passed_on(self) -> None:
        """Guards against calls that are passed on late in the grace."""
        paths = [f'{route}{ENDLESS_S}' for route in ROUTES]
        callers = [self.connect() for _ in paths]
        self.leave()
        self.sleep_until(BEFORE_NOTICE_S)
        calls = [
            self.call(path, caller, AFTER_NOTICE_S - BEFORE_NOTICE_S)
            for path, caller in zip(paths, callers, strict=True)
        ]
        for path, call in zip(paths, calls, strict=True):
            self.check_refused(call, path)
        self.check_ended()

    def test_calls_longer_than_the_rest_of_the_grace_are_refused(self) -> None:
        """Guards against calls that are passed on to be cut off."""
        callers = [self.connect() for _ in range(6)]
        paths = [f'/confirm/{LONG_WORK_S}', f'/ask/{LONG_WORK_S}']
        before = [
            self.call(path, caller)
            for path, caller in zip(paths * 3, callers, strict=True)
        ]
        self.assertEqual({200}, {call.wait().status for call in before})
        self.leave()
        in_time = [
            self.call(path, caller)
            for path, caller in zip(paths, callers, strict=False)
        ]
        self.sleep_until(BEFORE_NOTICE_S)
        counts = [self.received(path) for path in paths]
        late = [
            self.call(path, caller)
            for path, caller in zip(paths, callers[2:], strict=False)
        ]
        for call in late:
            outcome = call.wait()
            self.assertEqual(503, outcome.status, outcome)
            self.assertLess(outcome.elapsed_s, AT_ONCE_S)
        self.assertEqual(counts, [self.received(path) for path in paths])
        for call in in_time:
            outcome = call.wait()
            self.assertEqual((200, True), (outcome.status, outcome.is_whole))
        self.check_ended()

    def test_a_late_error_is_passed_on_and_not_repeated(self) -> None:
        """Guards against repeats that cannot end before the process does."""
        path = f'/look/{AFTER_NOTICE_S - BEFORE_NOTICE_S}/error'
        caller = self.connect()
        self.leave()
        self.sleep_until(BEFORE_NOTICE_S)
        outcome = self.call(path, caller).wait()
        self.assertEqual(500, outcome.status)
        self.assertEqual(1, self.received(path))

    def test_calls_that_were_sent_are_awaited_and_answered(self) -> None:
        """Guards against calls that the end of the process cuts off.

        Their own time ends after the grace.
        """
        callers = [self.connect() for _ in range(4)]
        calls = [self.call(f'/confirm/{ENDLESS_S}', callers[0])]
        eventlet.sleep(0.2)
        self.leave()
        self.program.send_signal(signal.SIGHUP)
        self.sleep_until(1.0)
        calls.append(self.call(f'/confirm/{ENDLESS_S}', callers[1]))
        self.program.send_signal(signal.SIGHUP)
        self.sleep_until(BEFORE_NOTICE_S)
        calls.append(self.call(f'/look/{ENDLESS_S}', callers[2]))
        calls.append(self.call('/confirm/1.5', callers[3]))
        self.assertEqual(200, calls.pop().wait().status)
        for call in calls:
            self.check_timed_out(call)
        self.check_ended()

    def test_a_repeated_sigterm_cuts_no_call(self) -> None:
        """Guards against a platform or supervisor that sends it again."""
        caller = self.connect()
        call = self.call('/confirm/2', caller)
        eventlet.sleep(0.2)
        self.leave()
        for _ in range(3):
            eventlet.sleep(0.3)
            self.program.send_signal(signal.SIGTERM)
        self.assertEqual(200, call.wait().status)
        self.check_ended()


class StoppedProcessTest(LateCallCase):
    """A process that stands still as the signal arrives."""

    def leave_in_a_standstill(self) -> None:
        self.program.send_signal(signal.SIGSTOP)
        eventlet.sleep(0.2)
        self.leave()
        self.sleep_until(STANDSTILL_S)
        self.program.send_signal(signal.SIGCONT)

    def test_calls_late_in_the_grace_are_refused(self) -> None:
        """Guards against a grace that is counted from the standstill's end."""
        paths = [f'{route}{ENDLESS_S}' for route in ROUTES]
        callers = [self.connect() for _ in paths]
        self.program.send_signal(signal.SIGSTOP)
        eventlet.sleep(0.2)
        self.leave()
        self.sleep_until(BEFORE_NOTICE_S)
        calls = [
            self.call(path, caller)
            for path, caller in zip(paths, callers, strict=True)
        ]
        self.sleep_until(STANDSTILL_S)
        self.program.send_signal(signal.SIGCONT)
        for path, call in zip(paths, calls, strict=True):
            self.check_refused(call, path)

    def test_calls_in_progress_are_answered_before_the_kill(self) -> None:
        """Guards against calls that the kill cuts off with no answer."""
        callers = [self.connect(), self.connect()]
        calls = [
            self.call(f'/confirm/{ENDLESS_S}', callers[0]),
            self.call('/confirm/5', callers[1]),
        ]
        eventlet.sleep(0.2)
        self.leave_in_a_standstill()
        self.assertEqual(200, calls[1].wait().status)
        self.check_timed_out(calls[0])
        self.check_ended()


class HandedToTest(LateCallCase):
    """Calls that another node hands to a leaving one."""

    def setUp(self) -> None:
        super().setUp()
        secret = wait_for_secret(self.store)
        self.hub = PeerHub(PeerSettings(InstanceId('n-2'), secret), id)

    def hand(
        self, path: str, time_left_s: float, pause_s: float = 0.0
    ) -> ResponseBegun:
        """Hand a call over, its body after a pause; return the response."""
        self._call_count += 1
        line, *lines = call_bytes(path, f'h-{self._call_count}').split(b'\r\n')
        headers = tuple(
            (name.decode().lower(), text.strip().decode())
            for name, _, text in (item.partition(b':') for item in lines[:-2])
        )
        terms = CallTerms(
            CallKind.NON_IDEMPOTENT, time_left_s, 1.0, 0.3, 1, False
        )
        channel = self.hub.open_call(
            InstanceId(f'n-{self.program.port}'),
            self.program.peer_address,
            OPEN_TIMEOUT_S,
        )
        try:
            method, target, _ = line.decode().split()
            channel.send(
                CallHanded(
                    method,
                    target,
                    headers,
                    0.0,
                    1,
                    service='ledger',
                    terms=terms,
                )
            )
            eventlet.sleep(pause_s)
            channel.send(BodyPart(b'body', is_last=True))
            begun = channel.receive(ENDLESS_S)
        finally:
            channel.close()
        self.assertIsInstance(begun, ResponseBegun)
        return begun

    def test_calls_handed_before_the_signal_are_answered(self) -> None:
        """Guards against handed calls that the end of the process cuts off."""
        calls = [
            eventlet.spawn(self.hand, f'/confirm/{work_s}', ENDLESS_S)
            for work_s in (2.0, ENDLESS_S)
        ]
        eventlet.sleep(0.3)
        self.leave()
        self.assertEqual(200, calls[0].wait().status)
        begun = calls[1].wait()
        self.assertEqual((504, True), (begun.status, begun.may_have_run))
        self.assertLess(clock_s() - self.term_s, GRACE_S)
        self.check_ended()

    def test_calls_handed_late_are_declined(self) -> None:
        """Guards against handed calls that are passed on to be cut off.

        One can end in time by its own limit, but its body comes late.
        """
        early = eventlet.spawn(self.hand, '/confirm/6', ENDLESS_S)
        eventlet.sleep(0.3)
        self.leave()
        self.sleep_until(1.0)
        begun = self.hand('/confirm/19', ENDLESS_S)
        self.assertTrue(begun.is_elsewhere)
        self.assertFalse(begun.may_have_run)
        begun = self.hand('/confirm/18', 5.0, AFTER_NOTICE_S - 1.0)
        self.assertTrue(begun.is_elsewhere)
        self.assertFalse(begun.may_have_run)
        self.assertEqual(0, self.received('/confirm/19'))
        self.assertEqual(0, self.received('/confirm/18'))
        self.assertEqual(200, early.wait().status)
        self.check_ended()


class HandedByTest(LateCallCase):
    """Calls that a leaving node without paths to engines hands over."""

    def setUp(self) -> None:
        super().setUp()
        self.program.process.kill()
        self.program.process.wait()
        own_store = self.store.open_address()
        self.store.rewrites_at[own_store] = {
            target.address: UNREACHABLE for target in self.targets
        }
        self.store.remove(f'members/n-{self.program.port}')
        self.other = self.start_program()
        self.program = self.start_program('b', own_store)
        self.other.wait_until_ready()
        self.program.wait_until_ready()
        wait_for(lambda: len(self.store.keys('members/')) >= 2, 'members')
        eventlet.sleep(MEMBERS_LISTED_S)

    def test_calls_that_were_handed_over_are_answered(self) -> None:
        """Guards against handed calls that the end of the process cuts off."""
        callers = [self.connect() for _ in range(5)]
        calls = [self.call(f'/confirm/{ENDLESS_S}', callers[0])]
        eventlet.sleep(0.3)
        self.leave()
        self.sleep_until(1.0)
        calls.append(self.call(f'/look/{ENDLESS_S}', callers[1]))
        self.sleep_until(BEFORE_NOTICE_S)
        calls.append(self.call(f'/confirm/{ENDLESS_S}', callers[2]))
        in_time = self.call('/confirm/1', callers[3])
        late = self.call('/confirm/19', callers[4], 1.5)
        self.assertEqual(200, in_time.wait().status)
        for call in calls:
            self.check_timed_out(call)
        self.check_refused(late, '/confirm/19')
        self.check_ended()
