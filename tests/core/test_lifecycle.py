"""Tests of the graceful shutdown of an entry and its timeouts."""

import testtools

from dandelionyoke_core import (
    LifecyclePart,
    LifecycleSettings,
    ShutdownForced,
    ShutdownRequested,
    StopProcess,
    TimerFired,
)


class LifecycleTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.in_progress = 0
        self.unsaved_count = 0
        self.part = LifecyclePart(
            LifecycleSettings(balancer_notice_s=2, save_timeout_s=30),
            lambda: self.in_progress,
            lambda: self.unsaved_count,
        )

    def run_until_stopped(self, last_s: int) -> tuple[int, bool] | None:
        """Wake the part each second; return when and how it stops."""
        for second in range(last_s + 1):
            for output in self.part.handle(TimerFired(), second):
                if isinstance(output, StopProcess):
                    return second, output.clean
        return None

    def test_calls_are_accepted_for_the_balancer_notice(self) -> None:
        self.part.handle(ShutdownRequested(), 0)
        self.assertTrue(self.part.leaving)
        self.assertEqual((2, True), self.run_until_stopped(9))

    def test_calls_in_progress_delay_the_stop(self) -> None:
        self.in_progress = 1
        self.part.handle(ShutdownRequested(), 0)
        self.assertIsNone(self.run_until_stopped(600))

    def test_unsaved_results_delay_the_stop_until_the_timeout(self) -> None:
        """The store is unavailable while an entry shuts down.

        Its last call is answered but the result is not saved. The entry
        waits, so that a retry of the call gets the answer, but only until
        its timeout.
        """
        self.unsaved_count = 1
        self.part.handle(ShutdownRequested(), 0)
        self.assertEqual((32, True), self.run_until_stopped(60))

    def test_a_second_signal_reports_interrupted_calls(self) -> None:
        self.in_progress = 1
        self.part.handle(ShutdownRequested(), 0)
        outputs = self.part.handle(ShutdownForced(), 1)
        self.assertIn(StopProcess(clean=False), outputs)
