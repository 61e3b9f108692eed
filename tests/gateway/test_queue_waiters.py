"""Waking of calls that wait in a queue."""

import eventlet
import testtools

from dandelionyoke_gateway import clock_s
from dandelionyoke_gateway._queue_waiters import QueueWaiters, WaitResult


class QueueWaitersTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.waiters = QueueWaiters()

    def start_waiting(self, call_id: str, timeout_s: float = 5):  # type: ignore[no-untyped-def]
        thread = eventlet.spawn(
            self.waiters.wait, call_id, clock_s() + timeout_s
        )
        eventlet.sleep(0)
        return thread

    def test_an_admitted_call_wakes(self) -> None:
        thread = self.start_waiting('a')
        self.waiters.admit('a')
        self.assertIs(WaitResult.ADMITTED, thread.wait())

    def test_a_wait_ends_at_its_deadline(self) -> None:
        self.assertIs(
            WaitResult.TIMED_OUT, self.start_waiting('a', 0.05).wait()
        )

    def test_a_second_admission_has_no_effect(self) -> None:
        thread = self.start_waiting('a')
        self.waiters.admit('a')
        self.waiters.admit('a')
        self.assertIs(WaitResult.ADMITTED, thread.wait())
        self.waiters.admit('a')
