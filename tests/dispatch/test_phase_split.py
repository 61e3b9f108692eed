"""Engine phases under bursts and changes of the workload, in simulated time."""

from collections.abc import Iterator

import attrs
import testtools

from dandelionyoke_dispatch import (
    BalancedSplit,
    Phase,
    PhaseLoad,
    PhasePlanSettings,
    StreamSplit,
)
from tests.dispatch.phase_simulation import PhaseSimulation, Rate, Release

REPORT_DELAYS_S = (0.2, 1.0, 3.0)
USUAL_CALLS_PER_S = 225.0


def doubled_rate(now_s: float) -> float:
    """Return twice the usual rate for some seconds."""
    return 2 * USUAL_CALLS_PER_S if 20 <= now_s < 32 else USUAL_CALLS_PER_S


def short_burst_rate(now_s: float) -> float:
    """Return four times the usual rate for two seconds."""
    return 4 * USUAL_CALLS_PER_S if 20 <= now_s < 22 else USUAL_CALLS_PER_S


class BalancedSplitTest(testtools.TestCase):
    def test_streams_get_enough_engines_if_available(self) -> None:
        split = BalancedSplit(target_utilisation=0.5, prompts_per_engine=2)
        self.assertEqual(5, split.decode_count(20, 32, PhaseLoad(80, 10)))

    def test_a_shortage_is_shared_by_both_phases(self) -> None:
        """Guards against a phase that gets all engines but one."""
        split = BalancedSplit(target_utilisation=0.5, prompts_per_engine=2)
        self.assertEqual(15, split.decode_count(20, 32, PhaseLoad(480, 20)))

    def test_no_streams_and_no_prompts(self) -> None:
        self.assertEqual(0, BalancedSplit().decode_count(20, 32, PhaseLoad(0)))


class PhaseSimulationTest(testtools.TestCase):
    """Each simulation also runs with the baseline, which follows streams."""

    def run_both(
        self, simulation: PhaseSimulation
    ) -> tuple[PhaseSimulation, PhaseSimulation]:
        baseline = attrs.evolve(
            simulation,
            split=StreamSplit(),
            settings=PhasePlanSettings(max_switching_share=1.0),
        )
        return simulation.run(), baseline.run()

    def test_the_load_doubles_while_a_domain_is_lost(self) -> None:
        """Guards against engines that all leave prefill because of a burst."""
        for report_delay_s in REPORT_DELAYS_S:
            simulation, _ = self.run_both(
                PhaseSimulation(
                    doubled_rate,
                    lost=(12, 13.0, 24.0),
                    report_delay_s=report_delay_s,
                )
            )
            self.assertGreater(simulation.served_share, 0.95)
            self.assertGreater(simulation.min_prefill, simulation.engines / 3)

    def test_all_decode_engines_are_lost(self) -> None:
        """Guards against streams that wait because few engines may switch."""
        for report_delay_s in REPORT_DELAYS_S:
            simulation, baseline = self.run_both(
                PhaseSimulation(
                    lambda now_s: USUAL_CALLS_PER_S,
                    lost=(8, 13.0, 24.0),
                    lose_decode_engines=True,
                    report_delay_s=report_delay_s,
                )
            )
            self.assertGreaterEqual(
                simulation.served_share, baseline.served_share
            )

    def test_a_burst_shorter_than_a_phase_change(self) -> None:
        """Guards against treating a queue of two seconds as lasting demand."""
        for report_delay_s in REPORT_DELAYS_S:
            simulation, baseline = self.run_both(
                PhaseSimulation(short_burst_rate, report_delay_s=report_delay_s)
            )
            self.assertGreater(simulation.served_share, 0.99)
            self.assertLess(simulation.orders, baseline.orders)

    def assert_better_than_baseline(self, rate: float, stream_s: Rate) -> None:
        """Assert that more is served than by the baseline, for each delay."""
        for report_delay_s in REPORT_DELAYS_S:
            simulation, baseline = self.run_both(
                PhaseSimulation(
                    lambda now_s: rate,
                    stream_s=stream_s,
                    report_delay_s=report_delay_s,
                    duration_s=60,
                )
            )
            self.assertGreater(simulation.served_share, baseline.served_share)

    def test_a_lasting_shift_to_streams(self) -> None:
        """Guards against a plan that smooths out a lasting change."""
        self.assert_better_than_baseline(
            200.0, lambda now_s: 0.6 if now_s < 15 else 4.0
        )

    def test_a_shift_back_to_prompts(self) -> None:
        """Guards against decode engines kept for streams that are gone."""
        self.assert_better_than_baseline(
            250.0, lambda now_s: 3.0 if now_s < 20 else 0.5
        )

    def test_a_leader_change_keeps_the_phases(self) -> None:
        """Guards against a new leader without history that reverts all."""
        simulation, _ = self.run_both(
            PhaseSimulation(doubled_rate, leader_change_s=25.0)
        )
        self.assertGreater(simulation.served_share, 0.95)


def usual_rate(engines: int) -> Rate:
    """Return the usual rate of a fleet of some size."""
    return lambda now_s: USUAL_CALLS_PER_S * engines / 36


class ReleaseSimulationTest(testtools.TestCase):
    """Engines of another version replace all engines, or half of them."""

    def simulations(self) -> Iterator[PhaseSimulation]:
        """Run releases in fleets of several sizes."""
        for engines in (4, 6, 12, 36):
            for replaced in (engines, engines // 2):
                for phase in (Phase.PREFILL, Phase.DECODE):
                    release = Release(5.0, 30.0 / engines, replaced, phase)
                    yield PhaseSimulation(
                        usual_rate(engines),
                        engines=engines,
                        releases=(release,),
                        duration_s=60,
                    ).run()

    def test_a_release_costs_hardly_any_calls(self) -> None:
        """Guards against one phase of a version that holds up the other."""
        for simulation in self.simulations():
            self.assertGreater(simulation.served_share, 0.99)

    def test_each_version_has_a_decode_engine_soon(self) -> None:
        """Guards against streams that no engine of their version resumes."""
        for simulation in self.simulations():
            self.assertLess(simulation.stranded_s, 2 * simulation.switch_s)

    def test_a_release_orders_few_engines(self) -> None:
        """Guards against engines that switch with each one replaced."""
        for simulation in self.simulations():
            self.assertLessEqual(simulation.orders, simulation.engines + 4)

    def test_half_of_the_engines_are_new_when_the_load_doubles(self) -> None:
        """Guards against a split by version that is fixed by its start."""
        simulation = PhaseSimulation(
            lambda now_s: doubled_rate(now_s - 10),
            releases=(Release(5.0, 0.5, 18),),
            duration_s=60,
        ).run()
        self.assertGreater(simulation.served_share, 0.98)
