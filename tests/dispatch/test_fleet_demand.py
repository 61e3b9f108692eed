"""What the callers of many nodes ask of a service."""

import testtools

from dandelionyoke_dispatch import (
    DemandSample,
    FleetDemand,
    FleetDemandSettings,
    ServiceDemand,
    Strain,
    StrainSettings,
)


def sample(streams: int, begun: int = 0, slow: int = 0) -> DemandSample:
    return DemandSample(1, (ServiceDemand('lm', streams, begun, slow),))


class FleetDemandTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.demand = FleetDemand(FleetDemandSettings(lifetime_s=2.5))

    def test_a_node_that_sees_one_call_in_195_judges_by_all(self) -> None:
        """Guards against a holder that never judges and orders all engines."""
        strain = Strain(StrainSettings(least_calls=5))
        strain.began(0.1, 1.0, 0)
        self.assertTrue(strain.holds(0))
        for node in range(39):
            self.demand.take(f'n-{node}', sample(1, begun=1), 0)
        known = self.demand.of_service('lm', 0)
        strain.judge(known.begun, known.slow, 0)
        self.assertFalse(strain.holds(0))

    def test_slow_calls_of_many_nodes_are_strain(self) -> None:
        """Guards against callers who wait while no node sees enough of it."""
        strain = Strain(StrainSettings(least_calls=5, strained_share=0.2))
        strain.judge(39, 0, 0)
        for node in range(39):
            self.demand.take(f'n-{node}', sample(0, 1, node % 3 == 0), 1)
        known = self.demand.of_service('lm', 1)
        strain.judge(known.begun, known.slow, 1)
        self.assertTrue(strain.holds(1))

    def test_streams_of_other_domains_are_counted_in(self) -> None:
        """Guards against engines for the streams of one domain in five."""
        for node in range(39):
            self.demand.take(f'n-{node}', sample(2), 0)
        self.assertEqual(390, self.demand.expected('lm', 195, 0).streams)
        self.assertEqual(78, self.demand.expected('lm', 20, 0).streams)

    def test_a_newer_sample_replaces_the_older_one(self) -> None:
        """Guards against calls that are counted twice."""
        self.demand.take('n-1', sample(4), 0)
        self.demand.take('n-1', sample(3), 1)
        self.assertEqual(3, self.demand.of_service('lm', 1).streams)

    def test_samples_of_a_node_that_is_gone_fade(self) -> None:
        """Guards against streams of a node that died long ago."""
        self.demand.take('n-1', sample(4), 0)
        self.assertEqual(0, self.demand.expected('lm', 9, 2.6).streams)

    def test_a_sum_replaces_what_it_holds(self) -> None:
        """Guards against counting a node beside the sum that holds it."""
        self.demand.take('n-1', sample(4), 0)
        told = DemandSample(3, (ServiceDemand('lm', 9, 0, 0),))
        self.demand.take_sum('n-2', told, 0)
        self.assertEqual(told, self.demand.total(0))

    def test_impossible_figures_are_dropped(self) -> None:
        """Guards against a plan made from another version's figures."""
        self.demand.take('n-1', sample(-5), 0)
        self.demand.take('n-2', sample(1, begun=1, slow=3), 0)
        self.demand.take('n-3', DemandSample(0, ()), 0)
        self.assertEqual(DemandSample(0, ()), self.demand.total(0))
