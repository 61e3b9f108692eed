"""The demand of the callers of many nodes for a service."""

import testtools

from dandelionyoke_dispatch import (
    DemandSample,
    FleetDemand,
    FleetDemandSettings,
    OverloadDetector,
    OverloadSettings,
    ServiceDemand,
)


def sample(streams: int, begun: int = 0, slow: int = 0) -> DemandSample:
    return DemandSample(1, (ServiceDemand('lm', streams, begun, slow),))


class FleetDemandTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.demand = FleetDemand(FleetDemandSettings(lifetime_s=2.5))

    def test_a_node_with_one_call_in_195_uses_the_fleet_demand(self) -> None:
        """Guards against ordering all engines because a node has too few calls.

        With few calls of its own, the node would never leave the initial state,
        which counts as overload.
        """
        overload = OverloadDetector(OverloadSettings(min_calls=5))
        overload.record_first_token(0.1, 1.0, 0)
        self.assertTrue(overload.is_overloaded(0))
        for node in range(39):
            self.demand.take(f'n-{node}', sample(1, begun=1), 0)
        known = self.demand.of_service('lm', 0)
        overload.update(known.begun, known.slow, 0)
        self.assertFalse(overload.is_overloaded(0))

    def test_slow_calls_spread_over_many_nodes_are_overload(self) -> None:
        """Guards against undetected overload.

        Callers would wait while no single node sees enough slow calls.
        """
        overload = OverloadDetector(
            OverloadSettings(min_calls=5, max_slow_share=0.2)
        )
        overload.update(39, 0, 0)
        for node in range(39):
            self.demand.take(f'n-{node}', sample(0, 1, node % 3 == 0), 1)
        known = self.demand.of_service('lm', 1)
        overload.update(known.begun, known.slow, 1)
        self.assertTrue(overload.is_overloaded(1))

    def test_streams_of_unknown_nodes_are_extrapolated(self) -> None:
        """Guards against planning for the streams of one domain in five."""
        for node in range(39):
            self.demand.take(f'n-{node}', sample(2), 0)
        self.assertEqual(390, self.demand.expected('lm', 195, 0).streams)
        self.assertEqual(78, self.demand.expected('lm', 20, 0).streams)

    def test_a_newer_sample_replaces_the_older_one(self) -> None:
        """Guards against calls that are counted twice."""
        self.demand.take('n-1', sample(4), 0)
        self.demand.take('n-1', sample(3), 1)
        self.assertEqual(3, self.demand.of_service('lm', 1).streams)

    def test_samples_of_a_node_that_is_gone_expire(self) -> None:
        """Guards against counting the streams of a node that is gone."""
        self.demand.take('n-1', sample(4), 0)
        self.assertEqual(0, self.demand.expected('lm', 9, 2.6).streams)

    def test_a_sum_replaces_the_samples_it_includes(self) -> None:
        """Guards against counting a node twice, alone and within the sum."""
        self.demand.take('n-1', sample(4), 0)
        total = DemandSample(3, (ServiceDemand('lm', 9, 0, 0),))
        self.demand.take_sum('n-2', total, 0)
        self.assertEqual(total, self.demand.total(0))

    def test_invalid_figures_are_dropped(self) -> None:
        """Guards against a plan based on figures of an incompatible version."""
        self.demand.take('n-1', sample(-5), 0)
        self.demand.take('n-2', sample(1, begun=1, slow=3), 0)
        self.demand.take('n-3', DemandSample(0, ()), 0)
        self.assertEqual(DemandSample(0, ()), self.demand.total(0))
