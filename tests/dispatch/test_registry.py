"""Targets that come, leave, and lapse with the store."""

import testtools

from dandelionyoke_dispatch import (
    RegisteredTarget,
    RegistrySettings,
    TargetRegistry,
)


def target(
    name: str, *, leaving: bool = False, born: int = 1
) -> RegisteredTarget:
    return RegisteredTarget(
        name, 'lm', '10.0.0.1:1', 'a', 4, leaving, started_ms=born
    )


class TargetRegistryTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.registry = TargetRegistry(RegistrySettings())

    def names(self) -> list[str]:
        return [one.target_id for one in self.registry.of_service('lm')]

    def test_a_leaving_target_gets_no_new_work(self) -> None:
        self.registry.replace([target('i-1'), target('i-2', leaving=True)], 0)
        self.assertEqual(['i-1'], self.names())

    def test_a_missing_target_is_gone(self) -> None:
        self.registry.replace([target('i-1'), target('i-2')], 0)
        self.registry.replace([target('i-1')], 0.7)
        self.assertEqual(['i-1'], self.names())

    def test_targets_may_be_missing_right_after_an_outage(self) -> None:
        """The store was away and the entries of all targets lapsed.

        They are back within two seconds. Until then callers would get
        refusals although every target is there and idle.
        """
        self.registry.replace([target('i-1')], 0)
        self.registry.store_failed(2)
        self.registry.store_failed(8)
        self.registry.replace([], 10)
        self.assertEqual(['i-1'], self.names())
        for now_s in (11, 12, 12.6):
            self.registry.replace([], now_s)
        self.assertEqual([], self.names())

    def test_missing_targets_are_gone_when_their_grace_ends(self) -> None:
        """Guards against work for a target that left during an outage."""
        self.registry.replace([target('i-1')], 0)
        self.registry.store_failed(2)
        self.registry.replace([], 10)
        self.assertEqual(2.5, self.registry.grace_left_s(10))
        self.registry.end_grace(12.4)
        self.assertEqual(['i-1'], self.names())
        self.registry.end_grace(12.5)
        self.assertEqual([], self.names())
        self.assertIsNone(self.registry.grace_left_s(12.5))

    def test_a_target_that_is_back_outlives_the_grace(self) -> None:
        self.registry.replace([target('i-1')], 0)
        self.registry.store_failed(2)
        self.registry.replace([], 10)
        self.registry.replace([target('i-1')], 11)
        self.registry.end_grace(13)
        self.assertEqual(['i-1'], self.names())

    def test_a_quiet_registry_is_no_outage(self) -> None:
        """Nothing changes for a while, then a target is gone.

        Taken for an outage, the target would get work for seconds after it
        left.
        """
        self.registry.replace([target('i-1')], 0)
        self.registry.replace([], 30)
        self.assertEqual([], self.names())

    def test_an_old_listing_does_not_call_a_leaving_target_back(self) -> None:
        """A target refuses a call since it leaves; the listing lags.

        Work sent to it again would be cut when it goes.
        """
        self.registry.replace([target('i-1')], 0)
        self.registry.mark_leaving('i-1', 1)
        self.registry.replace([target('i-1')], 0.7)
        self.assertEqual([], self.names())
        self.registry.replace([target('i-1', born=2)], 1.4)
        self.assertEqual(['i-1'], self.names())
