"""Calls that wait for an engine, and engines that leave meanwhile."""

import eventlet
import testtools

from dandelionyoke_gateway import clock_s
from dandelionyoke_gateway._gate_turns import GateTurns, Turn


class GateTurnsTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.turns = GateTurns()

    def waiting(self, call_id: str, target_id: str, for_s: float = 5):  # type: ignore[no-untyped-def]
        thread = eventlet.spawn(
            self.turns.wait, call_id, target_id, clock_s() + for_s
        )
        eventlet.sleep(0)
        return thread

    def test_a_call_hears_of_its_place(self) -> None:
        first = self.waiting('a', 'i-1')
        self.turns.give('a')
        self.assertIs(Turn.GO, first.wait())

    def test_a_wait_ends_when_it_is_of_no_use(self) -> None:
        self.assertIs(Turn.TOO_LATE, self.waiting('a', 'i-1', 0.05).wait())

    def test_calls_in_line_for_an_engine_that_leaves_go_elsewhere(self) -> None:
        """An engine says that it leaves while calls wait for it.

        They would reach it seconds later, when it takes no more work, and
        their callers would wait in vain.
        """
        leaving = self.waiting('a', 'i-1')
        staying = self.waiting('b', 'i-2')
        self.turns.send_away(frozenset(('i-1',)))
        self.assertIs(Turn.TARGET_LEFT, leaving.wait())
        self.turns.give('b')
        self.assertIs(Turn.GO, staying.wait())

    def test_a_place_given_twice_is_taken_once(self) -> None:
        first = self.waiting('a', 'i-1')
        self.turns.give('a')
        self.turns.send_away(frozenset(('i-1',)))
        self.assertIs(Turn.GO, first.wait())
        self.turns.give('a')
