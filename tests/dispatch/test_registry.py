"""Targets that register, leave, and expire during an outage of the store."""

import attrs
import testtools

from dandelionyoke_dispatch import (
    RegisteredTarget,
    RegistrySettings,
    TargetRegistry,
)


def target(
    name: str, *, leaving: bool = False, started_ms: int = 1
) -> RegisteredTarget:
    return RegisteredTarget(
        name, 'lm', '10.0.0.1:1', 'a', 4, leaving, started_ms=started_ms
    )


class TargetRegistryTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.registry = TargetRegistry(RegistrySettings())

    def target_ids(self) -> list[str]:
        return [one.target_id for one in self.registry.of_service('lm')]

    def test_a_leaving_target_gets_no_new_calls(self) -> None:
        self.registry.replace([target('i-1'), target('i-2', leaving=True)], 0)
        self.assertEqual(['i-1'], self.target_ids())

    def test_a_missing_target_is_removed(self) -> None:
        self.registry.replace([target('i-1'), target('i-2')], 0)
        self.registry.replace([target('i-1')], 0.7)
        self.assertEqual(['i-1'], self.target_ids())

    def test_missing_targets_are_kept_after_an_outage(self) -> None:
        """The store was down and the entries of all targets expired.

        They are back within two seconds. Until then, callers would be refused
        although every target is running and idle.
        """
        self.registry.replace([target('i-1')], 0)
        self.registry.store_failed(2)
        self.registry.store_failed(8)
        self.registry.replace([], 10)
        self.assertEqual(['i-1'], self.target_ids())
        for now_s in (11, 12, 12.6):
            self.registry.replace([], now_s)
        self.assertEqual([], self.target_ids())

    def test_missing_targets_are_removed_after_the_grace_period(self) -> None:
        """Guards against calls to a target that left during an outage."""
        self.registry.replace([target('i-1')], 0)
        self.registry.store_failed(2)
        self.registry.replace([], 10)
        self.assertEqual(2.5, self.registry.grace_left_s(10))
        self.registry.end_grace(12.4)
        self.assertEqual(['i-1'], self.target_ids())
        self.registry.end_grace(12.5)
        self.assertEqual([], self.target_ids())
        self.assertIsNone(self.registry.grace_left_s(12.5))

    def test_a_target_that_returns_is_kept_after_the_grace_period(self) -> None:
        self.registry.replace([target('i-1')], 0)
        self.registry.store_failed(2)
        self.registry.replace([], 10)
        self.registry.replace([target('i-1')], 11)
        self.registry.end_grace(13)
        self.assertEqual(['i-1'], self.target_ids())

    def test_targets_that_a_copy_lacks_are_kept(self) -> None:
        """Guards against 503 until targets have registered again."""
        self.registry.replace([target('i-1'), target('i-2')], 0)
        self.registry.store_replaced(5)
        self.registry.replace([target('i-1')], 5)
        self.assertEqual(['i-1', 'i-2'], self.target_ids())
        self.registry.end_grace(7.5)
        self.assertEqual(['i-1'], self.target_ids())

    def test_an_earlier_start_does_not_replace_a_later_one(self) -> None:
        """Guards against a copy of the store that lists the version before."""
        later = attrs.evolve(target('i-1', started_ms=2), version='v2')
        self.registry.replace([later], 0)
        earlier = attrs.evolve(target('i-1', started_ms=1), version='v1')
        self.registry.replace([earlier], 1)
        self.assertEqual(later, self.registry.find('i-1'))
        self.assertEqual({'v2'}, self.registry.versions('lm'))

    def test_a_target_that_left_is_not_used_again(self) -> None:
        """Guards against a copy of the store that lists it as usable."""
        self.registry.replace([target('i-1', leaving=True)], 0)
        self.registry.replace([], 1)
        self.registry.replace([target('i-1')], 2)
        self.assertEqual([], self.target_ids())
        self.registry.replace([target('i-1', started_ms=2)], 3)
        self.assertEqual(['i-1'], self.target_ids())

    def test_a_registry_without_changes_is_no_outage(self) -> None:
        """Nothing changes for a while, then a target is gone.

        If this were treated as an outage, the target would get calls for
        seconds after it left.
        """
        self.registry.replace([target('i-1')], 0)
        self.registry.replace([], 30)
        self.assertEqual([], self.target_ids())

    def test_an_outdated_listing_does_not_reactivate_a_leaving_target(
        self,
    ) -> None:
        """A target refuses a call because it is leaving; the listing lags.

        Calls sent to it again would be cut off when it stops.
        """
        self.registry.replace([target('i-1')], 0)
        self.registry.mark_leaving('i-1', 1)
        self.registry.replace([target('i-1')], 0.7)
        self.assertEqual([], self.target_ids())
        self.registry.replace([target('i-1', started_ms=2)], 1.4)
        self.assertEqual(['i-1'], self.target_ids())
