"""Fleet-wide rate limits, in simulated time."""

import attrs
import testtools

from dandelionyoke_dispatch import (
    FleetLimiter,
    FleetLimiterSettings,
    GroupUse,
    LimitUnit,
    Prompt,
    RateLimit,
)
from tests.dispatch.limiter_simulation import (
    LIMIT,
    Hotspot,
    LimiterSimulation,
    Partition,
)

ALL_DOMAINS = 'abc'
SEEDS = range(1, 6)


class RateLimitTest(testtools.TestCase):
    def test_the_amount_that_a_call_is_charged(self) -> None:
        prompt = Prompt('m', 900, 60)
        tokens = RateLimit(500, 1000, LimitUnit.TOKENS, 200)
        self.assertEqual(960, tokens.amount_of(prompt))
        self.assertEqual(200, tokens.amount_of(None))
        self.assertEqual(1, RateLimit(5, 10).amount_of(prompt))

    def test_invalid_figures_are_rejected(self) -> None:
        """Guards against a limit that refuses, or admits, everything."""
        for rate_per_s, burst in (
            (-1.0, 1.0),
            (0.0, 1.0),
            (float('nan'), 1.0),
            (float('inf'), 1.0),
            (1.0, float('inf')),
            (1.0, 0.5),
        ):
            self.assertRaises(ValueError, RateLimit, rate_per_s, burst)
        self.assertRaises(
            ValueError, RateLimit, 500, 100, LimitUnit.TOKENS, 200
        )


class FleetLimiterTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.limiter = FleetLimiter(FleetLimiterSettings())
        self.limiter.take_limits({'acme': RateLimit(100.0, 100.0)})

    def admit_all(self, now_s: float) -> int:
        """Admit calls until one is refused; return their number."""
        calls = 0
        while self.limiter.admit('acme', 1.0, now_s).is_admitted:
            calls += 1
        return calls

    def test_a_call_larger_than_the_burst_leaves_a_debt(self) -> None:
        """Guards against large calls that starve, or that are free."""
        self.assertTrue(self.limiter.admit('acme', 500.0, 1).is_admitted)
        refused = self.limiter.admit('acme', 1.0, 1)
        self.assertFalse(refused.is_admitted)
        self.assertEqual(5.0, refused.over_s)
        self.assertFalse(self.limiter.admit('acme', 1.0, 5.9).is_admitted)
        self.assertTrue(self.limiter.admit('acme', 1.0, 6.1).is_admitted)

    def test_retry_times_of_refused_callers_are_staggered(self) -> None:
        """Guards against callers that all retry at once and fail again."""
        self.limiter.admit('acme', 100.0, 1)
        waits_s = [
            self.limiter.admit('acme', 50.0, 1).retry_after_s for _ in range(3)
        ]
        self.assertEqual([1.0, 1.5, 2.0], waits_s)

    def test_a_refund_restores_the_budget(self) -> None:
        self.limiter.admit('acme', 300.0, 1)
        self.limiter.charge('acme', -300.0, 1)
        self.assertTrue(self.limiter.admit('acme', 1.0, 1).is_admitted)

    def test_a_new_process_starts_with_an_empty_bucket(self) -> None:
        """Guards against an extra burst after each restart."""
        self.assertEqual(1, self.admit_all(now_s=50))

    def test_a_reduced_limit_caps_the_burst(self) -> None:
        """Guards against a burst that is larger than a reduced limit."""
        self.limiter.admit('acme', 0.0, 1)
        self.assertAlmostEqual(101, self.admit_all(now_s=9), delta=1)
        self.limiter.admit('acme', 0.0, 20)
        self.limiter.take_limits({'acme': RateLimit(10.0, 10.0)})
        self.assertAlmostEqual(11, self.admit_all(now_s=20), delta=1)

    def test_amounts_admitted_by_another_group_are_charged(self) -> None:
        self.limiter.take_nodes(1, 2, 1)
        self.limiter.update_group_use(
            'b', GroupUse('b.1', 1, {'acme': 40.0}), 1
        )
        self.limiter.admit('acme', 0.0, 1)
        self.limiter.update_group_use(
            'b', GroupUse('b.1', 1, {'acme': 120.0}), 1.5
        )
        self.assertFalse(self.limiter.admit('acme', 1.0, 1.5).is_admitted)

    def test_a_restarted_limiter_counts_from_zero(self) -> None:
        """Guards against a refund of all that was admitted before a restart."""
        self.limiter.take_nodes(1, 2, 1)
        self.limiter.update_group_use(
            'b', GroupUse('b.1', 1, {'acme': 900.0}), 1
        )
        self.limiter.admit('acme', 0.0, 1)
        self.limiter.update_group_use(
            'b', GroupUse('b.2', 1, {'acme': 5.0}), 1.2
        )
        self.assertLess(self.admit_all(now_s=1.2), 25)

    def test_a_partitioned_group_admits_its_share(self) -> None:
        self.limiter.take_nodes(20, 60, 1)
        self.limiter.update_group_use('b', GroupUse('b.1', 40, {}), 1)
        self.assertEqual(1.0, self.limiter.share(1.5))
        self.assertAlmostEqual(1 / 3, self.limiter.share(2.5))
        # The nodes on the other side are removed from the list of nodes.
        self.limiter.take_nodes(20, 20, 3)
        self.assertAlmostEqual(1 / 3, self.limiter.share(3))

    def test_a_limiter_that_stood_still_is_not_partitioned(self) -> None:
        """Guards against a limit that is exceeded after a standstill."""
        self.limiter.take_nodes(1, 2, 1)
        self.limiter.update_group_use('b', GroupUse('b.1', 1, {}), 1)
        self.limiter.admit('acme', 0.0, 1)
        self.limiter.leave_out(4)
        self.assertEqual(1.0, self.limiter.share(5.5))
        self.limiter.update_group_use(
            'b', GroupUse('b.1', 1, {'acme': 900.0}), 5.5
        )
        self.assertFalse(self.limiter.admit('acme', 1.0, 5.5).is_admitted)
        self.assertEqual(0.5, self.limiter.share(6.5))

    def test_an_organisation_without_a_limit_is_always_admitted(self) -> None:
        self.assertTrue(self.limiter.admit('other', 9e9, 1).is_admitted)
        self.limiter.charge('other', 9e9, 1)
        self.limiter.update_group_use(
            'b', GroupUse('b.1', 1, {'other': 9e9}), 1
        )
        self.assertEqual(0, self.limiter.over_s('other', 1))


class LimiterSimulationTest(testtools.TestCase):
    """The sum over all nodes, compared with the limit and a central limiter."""

    def assert_limit_kept(
        self, simulation: LimiterSimulation, max_refused: float = 0.005
    ) -> None:
        """Assert that no window exceeds its limit.

        The share of calls that are refused within the limit must also be small.
        """
        simulations = [attrs.evolve(simulation, seed=seed) for seed in SEEDS]
        for seeded in simulations:
            seeded.run()
            self.assertLess(seeded.max_window_use, seeded.allowed)
        refused = sum(seeded.excess_refused for seeded in simulations)
        offered = sum(seeded.offered for seeded in simulations)
        self.assertLess(refused / offered, max_refused)

    def test_usual_load_stays_within_the_limit(self) -> None:
        for nodes in (8, 60, 195, 410):
            self.assert_limit_kept(LimiterSimulation(nodes=nodes))

    def test_a_hot_organisation_at_all_domains(self) -> None:
        """Guards against a separate limit for each of many nodes."""
        for nodes in (8, 60, 195, 410):
            self.assert_limit_kept(
                LimiterSimulation(nodes=nodes, hotspot=Hotspot(ALL_DOMAINS))
            )

    def test_a_hot_organisation_at_one_domain(self) -> None:
        """Guards against a fixed share of the limit for each domain."""
        self.assert_limit_kept(LimiterSimulation(hotspot=Hotspot('a')))

    def test_delayed_reports(self) -> None:
        """Guards against domains that each use what another one has used."""
        for delay_s in (0.2, 1.0, 3.0):
            self.assert_limit_kept(LimiterSimulation(delay_s=delay_s))
            self.assert_limit_kept(
                LimiterSimulation(hotspot=Hotspot(ALL_DOMAINS), delay_s=delay_s)
            )

    def test_both_sides_of_a_partition(self) -> None:
        """Guards against admitting the whole limit on each side."""
        for partition in (
            Partition('a'),
            Partition('ab'),
            Partition('a', duration_s=30),
        ):
            self.assert_limit_kept(
                LimiterSimulation(partition=partition), max_refused=0.03
            )
            simulation = LimiterSimulation(
                partition=partition, hotspot=Hotspot(ALL_DOMAINS)
            )
            self.assert_limit_kept(simulation, max_refused=0.03)

    def test_a_limit_reduced_during_a_partition(self) -> None:
        """Guards against an outdated limit in a part of the fleet."""
        reduced_limit = RateLimit(LIMIT.rate_per_s / 2, LIMIT.burst / 2)
        simulation = LimiterSimulation(
            partition=Partition('a'),
            hotspot=Hotspot(ALL_DOMAINS),
            reduced_limit=reduced_limit,
        )
        self.assert_limit_kept(simulation, max_refused=0.03)

    def test_killed_limiters(self) -> None:
        """Guards against a full bucket for each process that starts."""
        simulation = LimiterSimulation(
            hotspot=Hotspot(ALL_DOMAINS),
            kills=((9.0, 'a'), (11.0, 'b'), (14.0, ALL_DOMAINS)),
        )
        self.assert_limit_kept(simulation)

    def test_clock_skew(self) -> None:
        self.assert_limit_kept(
            LimiterSimulation(hotspot=Hotspot(ALL_DOMAINS), clock_skew_s=1000.0)
        )
