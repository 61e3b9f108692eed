"""Detection of overload from late first tokens."""

import testtools

from dandelionyoke_dispatch import OverloadDetector, OverloadSettings

GOAL_S = 0.2


class OverloadDetectorTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.overload = OverloadDetector(OverloadSettings(hold_s=10))

    def add_calls(self, took_s: float, *, at_s: float, count: int = 10) -> None:
        for number in range(count):
            self.overload.record_first_token(
                took_s, GOAL_S, at_s + number / 100
            )

    def test_missing_data_counts_as_overload(self) -> None:
        """A process becomes the planner right after its start.

        If missing data counted as no overload, it would return engines in the
        middle of a burst that it has not observed yet.
        """
        self.assertTrue(self.overload.is_overloaded(0))
        self.add_calls(0.01, at_s=0, count=2)
        self.assertTrue(self.overload.is_overloaded(1))

    def test_fast_first_tokens_are_no_overload(self) -> None:
        self.add_calls(0.05, at_s=0)
        self.assertFalse(self.overload.is_overloaded(1))

    def test_slow_first_tokens_are_overload_for_the_hold_time(self) -> None:
        self.add_calls(0.19, at_s=0)
        self.add_calls(0.05, at_s=5)
        self.assertTrue(self.overload.is_overloaded(6))
        self.assertFalse(self.overload.is_overloaded(11))

    def test_refused_calls_are_overload(self) -> None:
        self.add_calls(0.05, at_s=0)
        for number in range(3):
            self.overload.record_refusal(0.2 + number / 100)
        self.assertTrue(self.overload.is_overloaded(1))

    def test_a_single_slow_call_is_no_overload(self) -> None:
        self.add_calls(0.05, at_s=0)
        self.add_calls(0.19, at_s=0.5, count=1)
        self.assertFalse(self.overload.is_overloaded(1))
