"""Leaving waits for what must not be cut, and for nothing for good."""

import testtools

from dandelionyoke_core import (
    LifecyclePart,
    LifecycleSettings,
    ShutdownForced,
    ShutdownRequested,
    StopProcess,
    Woken,
)


class LifecycleTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.open = 0
        self.unsaved_count = 0
        self.part = LifecyclePart(
            LifecycleSettings(balancer_notice_s=2, save_timeout_s=30),
            lambda: self.open,
            lambda: self.unsaved_count,
        )

    def stops_at(self, last_s: int) -> tuple[int, bool] | None:
        """Wake the part each second; tell when it stops, and how."""
        for second in range(last_s + 1):
            for output in self.part.handle(Woken(), second):
                if isinstance(output, StopProcess):
                    return second, output.clean
        return None

    def test_calls_are_taken_until_the_balancer_must_have_noticed(self) -> None:
        self.part.handle(ShutdownRequested(), 0)
        self.assertTrue(self.part.leaving)
        self.assertEqual((2, True), self.stops_at(9))

    def test_open_calls_are_waited_for(self) -> None:
        self.open = 1
        self.part.handle(ShutdownRequested(), 0)
        self.assertIsNone(self.stops_at(600))

    def test_ends_that_the_store_must_hear_are_waited_for_a_while(self) -> None:
        """The store is out while an entry leaves. Its last confirmation is
        answered but not recorded; the entry waits, so that a repeat gets
        the answer, but not for as long as the store is out."""
        self.unsaved_count = 1
        self.part.handle(ShutdownRequested(), 0)
        self.assertEqual((32, True), self.stops_at(60))

    def test_a_second_signal_says_whether_it_cut(self) -> None:
        self.open = 1
        self.part.handle(ShutdownRequested(), 0)
        outputs = self.part.handle(ShutdownForced(), 1)
        self.assertIn(StopProcess(clean=False), outputs)
