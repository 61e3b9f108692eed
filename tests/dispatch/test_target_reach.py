"""When a node finds that it reaches no target of a service."""

import testtools

from dandelionyoke_dispatch import TargetReach, TargetReachSettings

TARGETS = 9


class TargetReachTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.reach = TargetReach(TargetReachSettings())

    def cut_off(self, now_s: float) -> None:
        self.reach.failed('lm', 'i-1', TARGETS, now_s)
        self.reach.failed('lm', 'i-2', TARGETS, now_s)
        probed = dict.fromkeys(('i-1', 'i-2', 'i-3', 'i-4'), False)
        self.assertTrue(self.reach.probed('lm', probed, now_s))

    def test_a_crashed_target_starts_no_probe(self) -> None:
        """Guards against calls that leave a node for one crashed target."""
        for at_s in (1.0, 1.1, 1.2, 1.3):
            self.assertFalse(self.reach.failed('lm', 'i-1', TARGETS, at_s))

    def test_a_silent_target_among_others_starts_no_probe(self) -> None:
        """Guards against calls that leave a node for a second's silence."""
        self.assertFalse(self.reach.silent('lm', 'i-1', TARGETS, 1.0))
        self.reach.heard('lm')
        self.assertFalse(self.reach.silent('lm', 'i-2', TARGETS, 1.1))
        self.assertTrue(self.reach.silent('lm', 'i-1', TARGETS, 1.2))

    def test_a_new_connection_clears_failures(self) -> None:
        """Guards against probes while single targets break calls off."""
        self.assertFalse(self.reach.failed('lm', 'i-1', TARGETS, 1.0))
        self.reach.connected('lm')
        self.assertFalse(self.reach.failed('lm', 'i-2', TARGETS, 1.1))

    def test_old_failures_expire(self) -> None:
        self.assertFalse(self.reach.failed('lm', 'i-1', TARGETS, 1.0))
        self.assertFalse(self.reach.failed('lm', 'i-2', TARGETS, 3.5))

    def test_an_open_connection_does_not_hide_refused_ones(self) -> None:
        """Guards against a cut that only shows with new connections."""
        self.assertFalse(self.reach.failed('lm', 'i-1', TARGETS, 1.0))
        self.reach.heard('lm')
        self.assertTrue(self.reach.failed('lm', 'i-2', TARGETS, 1.1))

    def test_a_service_with_one_target_can_be_cut_off(self) -> None:
        self.assertTrue(self.reach.failed('ledger', 'i-1', 1, 1.0))

    def test_no_probe_starts_during_a_cut(self) -> None:
        self.cut_off(1.0)
        self.assertFalse(self.reach.failed('lm', 'i-3', TARGETS, 1.2))

    def test_one_reached_target_is_no_cut(self) -> None:
        """Guards against a cut for crashed targets of a reached service."""
        probed = {'i-1': False, 'i-2': False, 'i-3': True, 'i-4': False}
        self.assertFalse(self.reach.probed('lm', probed, 1.0))
        self.assertFalse(self.reach.is_cut_off('lm'))

    def test_a_cut_of_one_service_leaves_the_others(self) -> None:
        """Guards against calls that leave a node without need."""
        self.cut_off(1.0)
        self.assertTrue(self.reach.is_cut_off('lm'))
        self.assertFalse(self.reach.is_cut_off('ledger'))

    def test_a_cut_ends_when_half_of_a_probe_is_reached(self) -> None:
        """Guards against a cut that lasts as long as one target is down."""
        self.cut_off(1.0)
        self.assertFalse(
            self.reach.probed('lm', {'i-1': True, 'i-2': True}, 1.5)
        )
        self.assertTrue(self.reach.is_cut_off('lm'))
        quarter = {'i-1': True, 'i-2': False, 'i-3': False, 'i-4': False}
        self.assertFalse(self.reach.probed('lm', quarter, 2.1))
        half = quarter | {'i-2': True}
        self.assertTrue(self.reach.probed('lm', half, 2.6))
        self.assertFalse(self.reach.is_cut_off('lm'))

    def test_a_service_without_targets_is_not_cut_off(self) -> None:
        self.assertFalse(self.reach.probed('lm', {}, 1.0))
        self.assertFalse(self.reach.is_cut_off('lm'))
