"""The peak of a value over a time window."""

import testtools

from dandelionyoke_dispatch._peak import Peak


class PeakTest(testtools.TestCase):
    def test_an_increase_is_immediate_and_a_decrease_is_delayed(self) -> None:
        peak = Peak(10)
        self.assertEqual(5, peak.update(5, 0))
        self.assertEqual(8, peak.update(8, 1))
        self.assertEqual(8, peak.update(2, 4))
        self.assertEqual(8, peak.update(3, 11))
        self.assertEqual(3, peak.update(1, 12))
        self.assertEqual(1, peak.update(1, 22))
