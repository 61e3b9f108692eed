"""The slowness of targets, as they report it."""

import testtools

from dandelionyoke_dispatch import (
    RegisteredTarget,
    TargetSpeeds,
    TargetSpeedSettings,
)

SLOW = RegisteredTarget('slow', 'lm', '10.0.0.1:1', 'a', 8, is_leaving=False)


class TargetSpeedTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.speeds = TargetSpeeds(TargetSpeedSettings())

    def test_a_single_report_does_not_replace_the_mean(self) -> None:
        """Guards against following a figure that is over at the next call."""
        for tick in range(40):
            self.speeds.observe(SLOW, 1.0, tick / 10)
        self.speeds.observe(SLOW, 3.0, 4.0)
        self.assertLess(self.speeds.slowness('slow', 4.0), 1.3)

    def test_a_target_that_stays_slow_is_known_as_slow(self) -> None:
        """Guards against taking a slow target for a usual one."""
        for tick in range(40):
            self.speeds.observe(SLOW, 1.0 + tick % 3, tick / 10)
        self.assertGreater(self.speeds.slowness('slow', 4.0), 1.5)

    def test_an_old_mean_is_not_used(self) -> None:
        """Guards against leaving out a target that has long recovered."""
        self.speeds.observe(SLOW, 3.0, 0.0)
        self.assertEqual(1.0, self.speeds.slowness('slow', 60.0))

    def test_a_service_without_reports_is_told_apart(self) -> None:
        """Guards against new decisions where no target asks for them."""
        self.speeds.observe(SLOW, 1.0, 0.0)
        self.assertTrue(self.speeds.is_balanced('lm'))
        self.assertFalse(self.speeds.is_balanced('app'))

    def test_all_services_are_balanced_where_settings_ask(self) -> None:
        """Guards against a setting that acts only after a report."""
        self.speeds.balance_all()
        self.assertTrue(self.speeds.is_balanced('app'))
