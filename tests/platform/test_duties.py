"""Orders and reports of a duty's holder."""

from collections.abc import Iterator
from contextlib import contextmanager

import eventlet
import testtools

from dandelionyoke_dispatch import Phase, RegisteredTarget
from dandelionyoke_gateway import (
    DutyAnswer,
    DutyOutcome,
    DutyStamp,
    PhaseOrder,
    TargetCount,
    TargetPool,
    clock_s,
)
from dandelionyoke_links._sockets import (
    KEEPALIVE_IDLE_S,
    KEEPALIVE_INTERVAL_S,
    KEEPALIVE_PROBES,
)
from dandelionyoke_platform._duties import CALL_TIMEOUT_S, PlatformDuties
from tests.platform.path import Script, ScriptedTarget, answer

ORDER = TargetCount('lm', 'a', 3, True)


class PausedPool(TargetPool):
    """Lends connections to a process that is paused right after connecting."""

    def __init__(self, pause_s: float) -> None:
        super().__init__()
        self._pause_s = pause_s

    @contextmanager
    def lend(self, address: str) -> Iterator:
        with super().lend(address) as connection:
            eventlet.sleep(self._pause_s)
            yield connection

    @contextmanager
    def lend_new(self, address: str) -> Iterator:
        with super().lend_new(address) as connection:
            eventlet.sleep(self._pause_s)
            yield connection


class DutyEndTest(testtools.TestCase):
    def order(self, pause_s: float) -> list[str]:
        """Send an order in a term of 50 ms; list what the platform got."""
        target = ScriptedTarget(lambda _: [answer('200 OK', b'{}', '')])
        self.addCleanup(target.close)
        duties = PlatformDuties(target.address, PausedPool(pause_s))
        duties.order_targets(ORDER, DutyStamp('n-1', 9, clock_s() + 0.05))
        eventlet.sleep(0.05)
        return [seen.line for seen in target.seen]

    def test_an_order_within_the_term_is_sent(self) -> None:
        self.assertEqual(1, len(self.order(0)))

    def test_no_order_leaves_after_the_term(self) -> None:
        """Guards against two holders: paused between connect and send."""
        self.assertEqual([], self.order(0.1))


class PartitionTest(testtools.TestCase):
    """Its receiver is out of reach, and open connections do not tell."""

    def test_no_order_waits_behind_a_partition(self) -> None:
        """Guards against an order that arrives once a partition heals."""
        target = ScriptedTarget(lambda _: [answer('200 OK', b'{}', '')])
        self.addCleanup(target.close)
        duties = PlatformDuties(target.address, TargetPool())
        stamp = DutyStamp('n-1', 9, clock_s() + 5)
        self.assertTrue(duties.order_targets(ORDER, stamp).is_accepted)
        target.refuse_connections()
        behind = duties.order_targets(ORDER, stamp)
        self.assertIs(DutyOutcome.NOT_SENT, behind.outcome)
        self.assertEqual(1, len(target.seen))

    def test_an_orders_limit_ends_before_the_kernels_probes(self) -> None:
        """Guards against orders whose connection can be reset no more."""
        probes_s = KEEPALIVE_PROBES * KEEPALIVE_INTERVAL_S
        self.assertLess(CALL_TIMEOUT_S, KEEPALIVE_IDLE_S + probes_s)

    def test_no_engine_order_waits_behind_a_partition(self) -> None:
        """Guards against two holders' orders at an engine, the old one last."""
        report = b'{"phase": "prefill", "seq": 0, "busy": false}'
        target = ScriptedTarget(lambda _: [answer('200 OK', report, '')])
        self.addCleanup(target.close)
        duties = PlatformDuties(target.address, TargetPool())
        engine = RegisteredTarget('i-1', 'lm', target.address, 'a', 4, False)
        self.assertIsNotNone(duties.read_report(engine))
        target.refuse_connections()
        stamp = DutyStamp('n-1', 9, clock_s() + 5)
        order = PhaseOrder(engine, Phase.DECODE, 0)
        behind = duties.order_phase(order, stamp)
        self.assertIs(DutyOutcome.NOT_SENT, behind.outcome)
        self.assertEqual(1, len(target.seen))


class DutyAnswerTest(testtools.TestCase):
    """What the log is told of an order that was not accepted."""

    def order(self, script: Script) -> DutyAnswer:
        target = ScriptedTarget(script)
        self.addCleanup(target.close)
        duties = PlatformDuties(target.address, TargetPool())
        stamp = DutyStamp('n-1', 9, clock_s() + 5)
        return duties.order_targets(ORDER, stamp)

    def test_a_refusal_names_the_status(self) -> None:
        answer_of = self.order(lambda _: [answer('409 Conflict', b'{}', '')])
        self.assertEqual(
            (DutyOutcome.REFUSED, 'answered 409'),
            (answer_of.outcome, answer_of.cause),
        )

    def test_an_order_without_an_answer_is_in_doubt(self) -> None:
        answer_of = self.order(lambda _: [None])
        self.assertIs(DutyOutcome.UNKNOWN, answer_of.outcome)
        self.assertNotEqual('', answer_of.cause)
