"""Calls that wait in line for their turn."""

import eventlet
import testtools

from dandelionyoke_gateway import clock_s
from dandelionyoke_gateway._queue_waiters import QueueWaiters, WaitResult


class LineTurnsTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.waiters = QueueWaiters()

    def waiting(self, call_id: str, for_s: float = 5):  # type: ignore[no-untyped-def]
        thread = eventlet.spawn(self.waiters.wait, call_id, clock_s() + for_s)
        eventlet.sleep(0)
        return thread

    def test_a_call_hears_of_its_place(self) -> None:
        first = self.waiting('a')
        self.waiters.admit('a')
        self.assertIs(WaitResult.ADMITTED, first.wait())

    def test_a_wait_ends_when_it_is_of_no_use(self) -> None:
        self.assertIs(WaitResult.TIMED_OUT, self.waiting('a', 0.05).wait())

    def test_a_place_given_twice_is_taken_once(self) -> None:
        first = self.waiting('a')
        self.waiters.admit('a')
        self.waiters.admit('a')
        self.assertIs(WaitResult.ADMITTED, first.wait())
        self.waiters.admit('a')
