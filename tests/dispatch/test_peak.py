"""The highest of the last values."""

import testtools

from dandelionyoke_dispatch._peak import Peak


class PeakTest(testtools.TestCase):
    def test_a_rise_is_followed_at_once_and_a_fall_later(self) -> None:
        peak = Peak(10)
        self.assertEqual(5, peak.take(5, 0))
        self.assertEqual(8, peak.take(8, 1))
        self.assertEqual(8, peak.take(2, 4))
        self.assertEqual(8, peak.take(3, 11))
        self.assertEqual(3, peak.take(1, 12))
        self.assertEqual(1, peak.take(1, 22))
