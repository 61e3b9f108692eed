"""Suspect and unreachable targets."""

import testtools

from dandelionyoke_dispatch import (
    SuspicionSettings,
    TargetFailure,
    TargetLoads,
)


class SuspectTargetTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.loads = TargetLoads(SuspicionSettings())

    def test_a_target_without_connections_is_unreachable(self) -> None:
        """A decode engine crashes.

        The registry lists it for some heartbeats more. If it counted as
        available until then, it would not be replaced, and callers would wait
        at the remaining ones.
        """
        self.loads.unreachable('i-1', 0)
        self.assertTrue(self.loads.is_unreachable('i-1', 0.1))

    def test_an_unreachable_target_is_retried_after_the_cooldown(self) -> None:
        self.loads.unreachable('i-1', 0)
        self.assertFalse(self.loads.is_unreachable('i-1', 9))

    def test_a_target_that_responds_is_reachable(self) -> None:
        self.loads.unreachable('i-1', 0)
        self.loads.succeeded('i-1')
        self.assertFalse(self.loads.is_unreachable('i-1', 0.1))

    def test_a_target_that_refuses_is_reachable(self) -> None:
        self.loads.unreachable('i-1', 0)
        self.loads.refused('i-1', 0)
        self.assertFalse(self.loads.is_unreachable('i-1', 0.1))
        self.assertTrue(self.loads.is_in_cooldown('i-1', 0.1))

    def test_a_target_that_fails_calls_is_reachable(self) -> None:
        self.loads.failed('i-1', 0)
        self.loads.failed('i-1', 0)
        self.assertFalse(self.loads.is_unreachable('i-1', 0.1))

    def test_simultaneous_failures_of_many_nodes_count_once(self) -> None:
        """Guards against a long cooldown after one short failure."""
        for _ in range(39):
            self.loads.record_peer_failure('i-1', TargetFailure.REFUSED, 0)
        self.assertTrue(self.loads.is_in_cooldown('i-1', 0.9))
        self.assertFalse(self.loads.is_in_cooldown('i-1', 1.1))

    def test_old_failures_expire(self) -> None:
        """Guards against growing cooldowns after rare failures."""
        for at_s in range(0, 100, 10):
            self.loads.record_peer_failure('i-1', TargetFailure.REFUSED, at_s)
        self.assertFalse(self.loads.is_in_cooldown('i-1', 91.1))

    def test_refusals_in_a_row_never_end_a_call(self) -> None:
        """Guards against an overflow of the doubled cooldown."""
        for refusal in range(2000):
            self.loads.refused('i-1', refusal * 0.001)
        self.assertTrue(self.loads.is_in_cooldown('i-1', 5.9))
        self.assertFalse(self.loads.is_in_cooldown('i-1', 6.1))

    def test_a_target_suspected_by_others_is_skipped_briefly(self) -> None:
        """Guards against a suspicion that outlasts its reason."""
        self.loads.suspected('i-1', 0)
        self.assertEqual(['i-1'], self.loads.in_cooldown(0.3))
        self.assertEqual([], self.loads.in_cooldown(0.5))

    def test_a_target_that_responds_here_is_not_lost_to_others(self) -> None:
        """Guards against engines that count as crashed for a peer's cut.

        The node that assigns phases would replace them by others.
        """
        self.loads.reported('i-1', 3, 10)
        self.loads.record_peer_failure('i-1', TargetFailure.UNREACHABLE, 10.2)
        self.assertFalse(self.loads.is_unreachable('i-1', 10.3))
        self.loads.record_peer_failure('i-1', TargetFailure.UNREACHABLE, 11.2)
        self.assertTrue(self.loads.is_unreachable('i-1', 11.3))

    def test_only_unreachable_targets_are_listed_as_lost(self) -> None:
        """Guards against full engines that get more and more prompts."""
        self.loads.record_peer_failure('i-1', TargetFailure.REFUSED, 0)
        self.loads.record_peer_failure('i-2', TargetFailure.UNREACHABLE, 0)
        self.assertEqual(['i-2'], self.loads.unreachable_ids(0.1))
