"""Whether callers wait too long."""

import testtools

from dandelionyoke_dispatch import Strain, StrainSettings

GOAL_S = 0.2


class StrainTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.strain = Strain(StrainSettings(hold_s=10))

    def begin(self, took_s: float, *, at_s: float, count: int = 10) -> None:
        for number in range(count):
            self.strain.began(took_s, GOAL_S, at_s + number / 100)

    def test_what_is_not_known_counts_as_strain(self) -> None:
        """A process takes the duty over right after its start.

        Had it taken silence for ease, it would give engines back in the
        middle of a burst that it has not seen yet.
        """
        self.assertTrue(self.strain.holds(0))
        self.begin(0.01, at_s=0, count=2)
        self.assertTrue(self.strain.holds(1))

    def test_quick_first_tokens_are_ease(self) -> None:
        self.begin(0.05, at_s=0)
        self.assertFalse(self.strain.holds(1))

    def test_slow_first_tokens_are_strain_for_a_while(self) -> None:
        self.begin(0.19, at_s=0)
        self.begin(0.05, at_s=5)
        self.assertTrue(self.strain.holds(6))
        self.assertFalse(self.strain.holds(11))

    def test_refused_calls_are_strain(self) -> None:
        self.begin(0.05, at_s=0)
        for number in range(3):
            self.strain.turned_away(0.2 + number / 100)
        self.assertTrue(self.strain.holds(1))

    def test_a_single_slow_call_is_none(self) -> None:
        self.begin(0.05, at_s=0)
        self.begin(0.19, at_s=0.5, count=1)
        self.assertFalse(self.strain.holds(1))
