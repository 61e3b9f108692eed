"""Orders of a duty's holder, after its term, in partitions, and refused."""

import contextlib
import errno
import signal
import subprocess  # noqa: S404 - the sender has to be stopped
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager
from unittest import mock

import eventlet
import testtools

from dandelionyoke_core import DutyLeaseSettings
from dandelionyoke_dispatch import Phase, RegisteredTarget, WindowCounts
from dandelionyoke_gateway import (
    DutyCallResult,
    DutyOutcome,
    ExchangeError,
    FencingStamp,
    PhaseOrder,
    TargetCountOrder,
    TargetPool,
    _target_connection as target_connection,
    clock_s,
)
from dandelionyoke_gateway._duty_task import MAX_SEND_TIME_S
from dandelionyoke_gateway._target_pool import CONNECT_TIMEOUT_S
from dandelionyoke_links import receive
from dandelionyoke_links._sockets import (
    KEEPALIVE_IDLE_S,
    KEEPALIVE_INTERVAL_S,
    KEEPALIVE_PROBES,
)
from dandelionyoke_platform._duties import CALL_TIMEOUT_S, PlatformDuties
from tests.links.partition import cut, heal
from tests.platform.node_harness import Script, ScriptedTarget, answer

ORDER = TargetCountOrder('lm', 'a', 3, True)
# Longer than a send buffer.
LONG_NAME = 'x' * (8 << 20)
# An unacknowledged order is sent again at most this long after the last time.
RETRANSMIT_S = 2.0

# Connects, waits for a line, sends an order, and tells of each step.
SENDER = """
import sys
from contextlib import contextmanager
from dandelionyoke_gateway import (
    FencingStamp, TargetCountOrder, TargetPool, clock_s
)
from dandelionyoke_gateway._target_connection import TargetConnection
from dandelionyoke_links import install_event_loop
from dandelionyoke_platform._duties import PlatformDuties
install_event_loop()
write = TargetConnection.send
def send(connection, *arguments):
    print('connected', flush=True)
    sys.stdin.readline()
    write(connection, *arguments)
    print('sent', flush=True)
TargetConnection.send = send
duties = PlatformDuties(sys.argv[1], TargetPool())
stamp = FencingStamp('n-1', 9, clock_s() + 60)
duties.order_targets(TargetCountOrder('lm', 'a', 3, True), stamp)
"""


class PausedPool(TargetPool):
    """Pool that simulates a pause of the process right after connecting."""

    def __init__(self, pause_s: float) -> None:
        super().__init__()
        self._pause_s = pause_s

    @contextmanager
    def acquire_brief(self, address: str) -> Iterator:
        with super().acquire_brief(address) as connection:
            eventlet.sleep(self._pause_s)
            yield connection

    @contextmanager
    def acquire_new(self, address: str) -> Iterator:
        with super().acquire_new(address) as connection:
            eventlet.sleep(self._pause_s)
            yield connection


class TermEndTest(testtools.TestCase):
    def order(self, pause_s: float) -> list[str]:
        """Send an order with 50 ms of the term left; list what arrived."""
        target = ScriptedTarget(lambda _: [answer('200 OK', b'{}', '')])
        self.addCleanup(target.close)
        duties = PlatformDuties(target.address, PausedPool(pause_s))
        duties.order_targets(ORDER, FencingStamp('n-1', 9, clock_s() + 0.05))
        eventlet.sleep(0.05)
        return [request.line for request in target.received_requests]

    def test_an_order_within_the_term_is_sent(self) -> None:
        self.assertEqual(1, len(self.order(0)))

    def test_an_order_after_the_end_of_the_term_is_not_sent(self) -> None:
        """The holder is paused between connecting and sending.

        If the order were still sent, two holders would act.
        """
        self.assertEqual([], self.order(0.1))

    def test_a_pause_before_the_write_prevents_it(self) -> None:
        """Guards against an order written after its sender was paused.

        The process is paused after it has connected, while it serialises the
        order.
        """

        def pause_and_serialise(*arguments: object) -> bytes:
            time.sleep(0.1)
            return serialise(*arguments)

        serialise = target_connection._request_bytes
        with mock.patch.object(
            target_connection, '_request_bytes', pause_and_serialise
        ):
            self.assertEqual([], self.order(0))

    def order_in_standstill(self, term_s: float) -> list[str]:
        """Stand still while an order connects; list what arrived."""
        target = ScriptedTarget(lambda _: [answer('200 OK', b'{}', '')])
        self.addCleanup(target.close)
        duties = PlatformDuties(target.address, TargetPool())
        stamp = FencingStamp('n-1', 9, clock_s() + term_s)
        order = eventlet.spawn(duties.order_targets, ORDER, stamp)
        eventlet.sleep(0)
        time.sleep(CONNECT_TIMEOUT_S * 1.1)
        order.wait()
        return [request.line for request in target.received_requests]

    def test_a_standstill_within_the_term_prevents_no_order(self) -> None:
        """Guards against an order given up as its sender stood still."""
        self.assertEqual(1, len(self.order_in_standstill(5)))

    def test_a_standstill_over_the_end_of_the_term_prevents_it(self) -> None:
        """Guards against an order written after its sender stood still."""
        self.assertEqual([], self.order_in_standstill(CONNECT_TIMEOUT_S / 2))

    def test_the_rest_of_a_long_report_is_not_sent_after_the_term(self) -> None:
        """Guards against a report that its receiver completes after the term.

        The receiver reads nothing for a while, so that the send buffer holds a
        part of the report only.
        """
        listener = eventlet.listen(('127.0.0.1', 0))
        self.addCleanup(listener.close)
        host, port = listener.getsockname()
        duties = PlatformDuties(f'{host}:{port}', TargetPool())
        counts = WindowCounts(7, ((LONG_NAME, 1),))
        stamp = FencingStamp('n-1', 9, clock_s() + 0.4)
        report = eventlet.spawn(duties.report_usage, counts, stamp)
        self.addCleanup(report.kill)
        sock, _ = listener.accept()
        self.addCleanup(sock.close)
        eventlet.sleep(0.6)
        content = b''
        sock.settimeout(0.2)
        with contextlib.suppress(OSError):
            while data := sock.recv(1 << 20):
                content += data
        self.assertIn(b'"window_id": 7', content)
        self.assertLess(len(content), len(LONG_NAME))


class PartitionTest(testtools.TestCase):
    """The receiver is unreachable, but open connections show no error."""

    def test_no_target_order_is_sent_into_a_partition(self) -> None:
        """Guards against an order that arrives after the partition heals."""
        target = ScriptedTarget(lambda _: [answer('200 OK', b'{}', '')])
        self.addCleanup(target.close)
        duties = PlatformDuties(target.address, TargetPool())
        stamp = FencingStamp('n-1', 9, clock_s() + 5)
        self.assertTrue(duties.order_targets(ORDER, stamp).is_accepted)
        target.refuse_connections()
        answer_behind = duties.order_targets(ORDER, stamp)
        self.assertIs(DutyOutcome.NOT_SENT, answer_behind.outcome)
        self.assertEqual(1, len(target.received_requests))

    def test_an_order_times_out_before_the_keepalive_probes(self) -> None:
        """Guards against orders whose connection can no longer be reset."""
        probes_s = KEEPALIVE_PROBES * KEEPALIVE_INTERVAL_S
        self.assertLess(CALL_TIMEOUT_S, KEEPALIVE_IDLE_S + probes_s)

    def test_no_engine_order_is_sent_into_a_partition(self) -> None:
        """Guards against an old holder's order that arrives after a new one."""
        report = b'{"phase": "prefill", "seq": 0, "busy": false}'
        target = ScriptedTarget(lambda _: [answer('200 OK', report, '')])
        self.addCleanup(target.close)
        duties = PlatformDuties(target.address, TargetPool())
        engine = RegisteredTarget('i-1', 'lm', target.address, 'a', 4, False)
        self.assertIsNotNone(duties.read_report(engine))
        target.refuse_connections()
        stamp = FencingStamp('n-1', 9, clock_s() + 5)
        order = PhaseOrder(engine, Phase.DECODE, 0)
        answer_behind = duties.order_phase(order, stamp)
        self.assertIs(DutyOutcome.NOT_SENT, answer_behind.outcome)
        self.assertEqual(1, len(target.received_requests))


class OrderInFlightTest(testtools.TestCase):
    """The path is cut between the handshake and the order's arrival."""

    def setUp(self) -> None:
        super().setUp()
        self.listener = eventlet.listen(('127.0.0.1', 0))
        self.addCleanup(self.listener.close)
        host, port = self.listener.getsockname()
        self.sender = subprocess.Popen(  # noqa: S603 - our own program
            [sys.executable, '-W', 'ignore', '-c', SENDER, f'{host}:{port}'],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        self.addCleanup(self.sender.stdout.close)
        self.addCleanup(self.sender.stdin.close)
        self.addCleanup(self.sender.wait)
        self.addCleanup(self.sender.kill)
        self.assertEqual(b'connected\n', self.sender.stdout.readline())
        self.sock, _ = self.listener.accept()
        self.addCleanup(self.sock.close)
        cut(self.sock)
        self.sender.stdin.write(b'\n')
        self.sender.stdin.flush()
        self.assertEqual(b'sent\n', self.sender.stdout.readline())

    def test_the_kernel_gives_up_the_order_of_a_stopped_process(self) -> None:
        """Guards against an order that arrives after its holder's term.

        A stopped process does not reset its connection. The term reserves
        `MAX_SEND_TIME_S` for an order, after which the kernel must not send it
        again. A byte that it receives then is answered with a reset.
        """
        self.sender.send_signal(signal.SIGSTOP)
        time.sleep(MAX_SEND_TIME_S)
        heal(self.sock)
        self.sock.sendall(b'x')
        self.assertRaises(ConnectionResetError, self._receive)

    def test_the_kernel_discards_the_order_of_a_killed_process(self) -> None:
        """Guards against an order that arrives after its sender was killed.

        The reset is lost on the cut path, so that nothing at all arrives.
        """
        self.sender.kill()
        self.sender.wait()
        heal(self.sock)
        self.assertRaises(TimeoutError, self._receive)

    def _receive(self) -> bytes:
        return receive(self.sock, 65536, RETRANSMIT_S)


class OrderTimeoutTest(testtools.TestCase):
    def test_an_order_without_an_answer_in_time_is_reset(self) -> None:
        """Guards against an order in flight after the end of its time."""
        listener = eventlet.listen(('127.0.0.1', 0))
        self.addCleanup(listener.close)
        host, port = listener.getsockname()
        duties = PlatformDuties(f'{host}:{port}', TargetPool())
        stamp = FencingStamp('n-1', 9, clock_s() + 5)
        order = eventlet.spawn(duties.order_targets, ORDER, stamp)
        sock, _ = listener.accept()
        self.addCleanup(sock.close)
        self.assertIn(b'POST /scale', receive(sock, 65536, CALL_TIMEOUT_S))
        self.assertIs(DutyOutcome.UNKNOWN, order.wait().outcome)
        self.assertRaises(ConnectionResetError, receive, sock, 1, 0.1)

    def test_the_time_of_an_order_begins_before_it_connects(self) -> None:
        """Guards against an order that can no longer be reset.

        The process is paused after it has connected, and its order is written
        late. If the time limit began with the write, the kernel's keepalive
        probes could end the connection before it.
        """
        listener = eventlet.listen(('127.0.0.1', 0))
        self.addCleanup(listener.close)
        host, port = listener.getsockname()
        pause_s = CALL_TIMEOUT_S + 0.2
        duties = PlatformDuties(f'{host}:{port}', PausedPool(pause_s))
        stamp = FencingStamp('n-1', 9, clock_s() + 5)
        order = eventlet.spawn(duties.order_targets, ORDER, stamp)
        sock, _ = listener.accept()
        self.addCleanup(sock.close)
        duty_answer = order.wait()
        self.assertIs(DutyOutcome.UNKNOWN, duty_answer.outcome)
        self.assertLess(duty_answer.elapsed_s, pause_s + CALL_TIMEOUT_S)
        with testtools.ExpectedException(ConnectionResetError):
            while receive(sock, 65536, 0.1):
                continue


class SingleOrderTest(testtools.TestCase):
    """An order or report is sent once, on a connection of its own."""

    def received(self, script: Script) -> list[str]:
        """Send an order and a report; list the requests that arrived."""
        target = ScriptedTarget(script)
        self.addCleanup(target.close)
        duties = PlatformDuties(target.address, TargetPool())
        stamp = FencingStamp('n-1', 9, clock_s() + 5)
        duties.order_targets(ORDER, stamp)
        duties.report_usage(WindowCounts(7, (('acme', 1),)), stamp)
        eventlet.sleep(0.05)
        return [request.line for request in target.received_requests]

    def test_an_order_without_an_answer_is_not_sent_again(self) -> None:
        """Guards against an order that arrives twice, the second time late."""
        self.assertEqual(
            ['POST /scale HTTP/1.1', 'POST /usage HTTP/1.1'],
            self.received(lambda _: [None]),
        )

    def test_a_refused_order_is_not_sent_again(self) -> None:
        """Guards against a client that repeats a refused order by itself."""
        refusal = answer('503 Service Unavailable', b'{}', '')
        self.assertEqual(
            ['POST /scale HTTP/1.1', 'POST /usage HTTP/1.1'],
            self.received(lambda _: [refusal]),
        )

    def test_the_connection_of_an_order_is_not_kept(self) -> None:
        """Guards against an order sent on a connection that is cut off."""
        target = ScriptedTarget(lambda _: [answer('200 OK', b'{}', '')])
        self.addCleanup(target.close)
        pool, address = TargetPool(), target.address
        stamp = FencingStamp('n-1', 9, clock_s() + 5)
        duties = PlatformDuties(address, pool)
        self.assertTrue(duties.order_targets(ORDER, stamp).is_accepted)
        target.refuse_connections()
        with (
            testtools.ExpectedException(ExchangeError),
            pool.acquire_brief(address),
        ):
            self.fail('a connection was kept')


class SuspensionTest(testtools.TestCase):
    def test_an_order_is_reset_soon_after_a_suspension(self) -> None:
        """Guards against an order that arrives after a suspended holder's term.

        The machine is suspended while the order waits for its answer. The
        event loop's timer has most of the order's time left afterwards.
        """
        target = ScriptedTarget(lambda _: [RETRANSMIT_S, None])
        self.addCleanup(target.close)
        duties = PlatformDuties(target.address, TargetPool())
        stamp = FencingStamp('n-1', 9, clock_s() + 5)
        order = eventlet.spawn(duties.order_targets, ORDER, stamp)
        self.addCleanup(order.kill)
        eventlet.sleep(0.2)
        with (
            mock.patch.object(
                target_connection, 'clock_s', lambda: clock_s() + 10
            ),
            eventlet.Timeout(CALL_TIMEOUT_S / 2),
        ):
            self.assertIs(DutyOutcome.UNKNOWN, order.wait().outcome)


class ReservedTimeTest(testtools.TestCase):
    """A successor acts when nothing of its predecessor can arrive any more."""

    def test_an_order_ends_before_the_lease_of_its_holder(self) -> None:
        self.assertLessEqual(CALL_TIMEOUT_S, MAX_SEND_TIME_S)

    def test_an_order_ends_before_its_holder_hands_the_duty_over(self) -> None:
        """An order may have begun right before its process is told to leave."""
        handover_delay_s = DutyLeaseSettings().handover_delay_s
        self.assertLessEqual(CALL_TIMEOUT_S, handover_delay_s)


class DutyAnswerTest(testtools.TestCase):
    """Outcome and cause that are logged for an order that is not accepted."""

    def order(self, script: Script) -> DutyCallResult:
        target = ScriptedTarget(script)
        self.addCleanup(target.close)
        duties = PlatformDuties(target.address, TargetPool())
        stamp = FencingStamp('n-1', 9, clock_s() + 5)
        return duties.order_targets(ORDER, stamp)

    def test_the_cause_of_a_refusal_contains_the_status(self) -> None:
        duty_answer = self.order(lambda _: [answer('409 Conflict', b'{}', '')])
        self.assertEqual(
            (DutyOutcome.REFUSED, 'answered 409'),
            (duty_answer.outcome, duty_answer.cause),
        )

    def test_the_outcome_of_an_order_without_an_answer_is_unknown(self) -> None:
        duty_answer = self.order(lambda _: [None])
        self.assertIs(DutyOutcome.UNKNOWN, duty_answer.outcome)
        self.assertNotEqual('', duty_answer.cause)

    def test_an_order_without_a_file_descriptor_is_not_sent(self) -> None:
        """Guards against a task that ends for good at a shortage."""
        error = OSError(errno.EMFILE, 'Too many open files')
        with mock.patch.object(
            target_connection.socket, 'socket', side_effect=error
        ):
            duties = PlatformDuties('127.0.0.1:1', TargetPool())
            stamp = FencingStamp('n-1', 9, clock_s() + 5)
            duty_answer = duties.order_targets(ORDER, stamp)
        self.assertIs(DutyOutcome.NOT_SENT, duty_answer.outcome)
        self.assertIn('Too many open files', duty_answer.cause)
