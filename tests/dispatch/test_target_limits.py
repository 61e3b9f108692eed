"""The limits that targets name, and how a fleet keeps to them."""

import attrs
import testtools

from dandelionyoke_dispatch import (
    Phase,
    RegisteredTarget,
    TargetLimitNote,
    TargetLimits,
    TargetLimitSettings,
)
from tests.dispatch.target_limit_simulation import TargetLimitSimulation

TARGET = RegisteredTarget(
    'i-1', 'lm', '10.0.0.1:1', 'a', 8, False, Phase.DECODE, started_ms=1
)
OTHER = attrs.evolve(TARGET, target_id='i-2')


class TargetLimitsTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.limits = TargetLimits(TargetLimitSettings())

    def rate(self, target_id: str = 'i-1') -> float | None:
        """Return the rate that the limiter enforces; None if there is none."""
        limit = self.limits.rate_limits().get(target_id)
        return None if limit is None else limit.rate_per_s

    def test_the_last_answer_decides(self) -> None:
        """Guards against a limit that outlives its last naming."""
        self.assertFalse(self.limits.observe(TARGET, None, 1))
        self.assertTrue(self.limits.observe(TARGET, 2.5, 2))
        self.assertFalse(self.limits.observe(TARGET, 2.5, 3))
        self.assertEqual(2.5, self.rate())
        self.assertTrue(self.limits.observe(TARGET, 0.5, 4))
        self.assertEqual(0.5, self.rate())
        self.assertTrue(self.limits.observe(TARGET, None, 5))
        self.assertIsNone(self.rate())

    def test_older_news_from_another_node_is_ignored(self) -> None:
        """Guards against a limit that another node's old answer brings back."""
        self.limits.observe(TARGET, 2.5, 10)
        self.limits.observe(TARGET, None, 20)
        self.assertFalse(
            self.limits.take([TargetLimitNote('i-1', 1, 2.5, 8.0)], 21)
        )
        self.assertIsNone(self.rate())
        self.assertTrue(
            self.limits.take([TargetLimitNote('i-1', 1, 1.5, 0.1)], 22)
        )
        self.assertEqual(1.5, self.rate())

    def test_the_end_of_a_limit_is_told_for_a_while(self) -> None:
        """Guards against nodes that never hear that a limit has ended."""
        self.limits.observe(TARGET, 2.5, 10)
        self.limits.observe(TARGET, None, 20)
        self.assertEqual(
            (TargetLimitNote('i-1', 1, None, 5.0),), self.limits.notes(25)
        )
        self.assertEqual((), self.limits.notes(31))

    def test_the_newest_limits_are_told_first(self) -> None:
        """Guards against messages that grow with the fleet's targets."""
        for number in range(100):
            target = attrs.evolve(TARGET, target_id=f'i-{number}')
            self.limits.observe(target, 1.0, number)
        notes = self.limits.notes(100)
        self.assertEqual(64, len(notes))
        self.assertEqual('i-99', notes[0].target_id)

    def test_invalid_notes_are_ignored(self) -> None:
        """Guards against a node that tells figures that cannot be a limit."""
        for rate, age_s in ((-1.0, 0), (float('nan'), 0), (1.0, float('inf'))):
            note = TargetLimitNote('i-1', 1, rate, age_s)
            self.assertFalse(self.limits.take([note], 5))

    def test_a_target_that_takes_none_gets_a_request_now_and_then(self) -> None:
        """Guards against a limit of 0 whose end nobody could see."""
        self.limits.observe(TARGET, 0.0, 1)
        self.assertEqual(0.1, self.rate())

    def test_a_restarted_target_has_no_limit_yet(self) -> None:
        """Guards against a limit that the process before had named."""
        self.limits.observe(TARGET, 2.5, 1)
        self.assertFalse(self.limits.forget([TARGET]))
        restarted = attrs.evolve(TARGET, started_ms=2)
        self.assertTrue(self.limits.forget([restarted]))
        self.assertIsNone(self.rate())

    def test_a_withheld_target_takes_requests_again(self) -> None:
        self.limits.withhold('i-1', 9)
        self.assertFalse(self.limits.is_withheld('i-1', 2))
        self.limits.observe(TARGET, 2.5, 1)
        self.limits.withhold('i-1', 9)
        self.assertTrue(self.limits.is_withheld('i-1', 2))
        self.assertFalse(self.limits.are_all_withheld([TARGET, OTHER], 2))
        self.assertTrue(self.limits.are_all_withheld([TARGET], 2))
        self.assertFalse(self.limits.is_withheld('i-1', 9))
        self.limits.observe(TARGET, None, 3)
        self.assertFalse(self.limits.is_withheld('i-1', 4))

    def test_refused_callers_return_in_order_at_the_rate(self) -> None:
        """Guards against callers that all return at once and fail again."""
        self.limits.observe(TARGET, 4.0, 1)
        self.limits.withhold('i-1', 1.5)
        waits_s = [
            self.limits.retry_after_s('lm', [TARGET], 2, 1) for _ in range(3)
        ]
        self.assertEqual([0.5, 1.0, 1.5], waits_s)
        for _ in range(50):
            wait_s = self.limits.retry_after_s('lm', [TARGET], 2, 1)
        self.assertEqual(10.0, wait_s)


# Nodes and failure domains, from the smallest fleet to the largest.
FLEETS = ((6, 4), (8, 3), (69, 3), (195, 5), (410, 6))
RATES_PER_S = (0.3, 1.0, 2.7, 20.0)


class TargetLimitSimulationTest(testtools.TestCase):
    """The sum over all nodes, compared with the limit of one target."""

    def assert_limit_kept(
        self, simulation: TargetLimitSimulation, min_used: float = 0.0
    ) -> None:
        """Assert that no window exceeds the limit and that it is used."""
        for seed in (1, 2, 3):
            played = attrs.evolve(simulation, seed=seed).run()
            self.assertLessEqual(played.most_in_window, played.allowed, played)
            self.assertGreaterEqual(played.used_share, min_used, played)

    def test_fleets_of_all_sizes_keep_to_the_limit_and_use_it(self) -> None:
        """Guards against a sum that grows with the fleet, or shrinks to 0."""
        for nodes, domains in FLEETS:
            for rate in RATES_PER_S:
                self.assert_limit_kept(
                    TargetLimitSimulation(nodes, domains, rate), min_used=0.8
                )

    def test_both_sides_of_a_partition(self) -> None:
        """Guards against using the whole limit on each side."""
        for nodes, domains in FLEETS:
            self.assert_limit_kept(
                TargetLimitSimulation(nodes, domains, 2.7, cut=(0,)),
                min_used=0.7,
            )

    def test_limiters_that_restart(self) -> None:
        """Guards against a full budget for each limiter that starts."""
        for nodes, domains in FLEETS:
            self.assert_limit_kept(
                TargetLimitSimulation(
                    nodes, domains, 1.0, killed=tuple(range(domains))
                ),
                min_used=0.7,
            )

    def test_late_reports(self) -> None:
        """Guards against domains that each use what another one has used."""
        for delay_s in (0.02, 0.1):
            self.assert_limit_kept(
                TargetLimitSimulation(410, 6, 2.7, delay_s=delay_s),
                min_used=0.7,
            )
