"""What is known of targets from calls to them."""

import testtools

from dandelionyoke_dispatch import (
    SuspicionSettings,
    TargetFailure,
    TargetLoads,
)


class LostTargetTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.loads = TargetLoads(SuspicionSettings())

    def test_one_that_takes_no_connection_is_lost(self) -> None:
        """An engine that makes tokens crashes.

        The registry lists it for some heartbeats more. Counted as there until
        then, nobody takes its place, and callers wait at the ones left.
        """
        self.loads.unreachable('i-1', 0)
        self.assertTrue(self.loads.is_lost('i-1', 0.1))

    def test_it_is_tried_again_later(self) -> None:
        self.loads.unreachable('i-1', 0)
        self.assertFalse(self.loads.is_lost('i-1', 9))

    def test_one_that_answers_is_not_lost(self) -> None:
        self.loads.unreachable('i-1', 0)
        self.loads.succeeded('i-1')
        self.assertFalse(self.loads.is_lost('i-1', 0.1))

    def test_one_that_refuses_is_there(self) -> None:
        self.loads.unreachable('i-1', 0)
        self.loads.refused('i-1', 0)
        self.assertFalse(self.loads.is_lost('i-1', 0.1))
        self.assertTrue(self.loads.rests('i-1', 0.1))

    def test_one_that_was_slow_is_not_lost(self) -> None:
        self.loads.failed('i-1', 0)
        self.loads.failed('i-1', 0)
        self.assertFalse(self.loads.is_lost('i-1', 0.1))

    def test_failures_of_many_nodes_at_once_count_once(self) -> None:
        """Guards against a long pause for one short failure."""
        for _ in range(39):
            self.loads.told('i-1', TargetFailure.REFUSED, 0)
        self.assertTrue(self.loads.rests('i-1', 0.9))
        self.assertFalse(self.loads.rests('i-1', 1.1))

    def test_old_failures_are_forgotten(self) -> None:
        """Guards against ever longer pauses for rare failures."""
        for at_s in range(0, 100, 10):
            self.loads.told('i-1', TargetFailure.REFUSED, at_s)
        self.assertFalse(self.loads.rests('i-1', 91.1))

    def test_one_that_others_suspect_is_left_alone_for_a_moment(self) -> None:
        """Guards against a suspicion that outlasts its reason."""
        self.loads.suspected('i-1', 0)
        self.assertEqual(['i-1'], self.loads.resting(0.3))
        self.assertEqual([], self.loads.resting(0.5))

    def test_only_one_that_takes_no_connection_is_listed_as_lost(self) -> None:
        """Guards against full engines that get ever more prompts."""
        self.loads.told('i-1', TargetFailure.REFUSED, 0)
        self.loads.told('i-2', TargetFailure.UNREACHABLE, 0)
        self.assertEqual(['i-2'], self.loads.lost(0.1))
