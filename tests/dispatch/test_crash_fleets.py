"""Calls with a part that crashes engines, at small and large fleets."""

import testtools

from tests.dispatch.crash_simulation import (
    CrashSimulation,
    Figures,
    Workload,
)

SMALL = Workload(nodes=6, engines=10, calls_per_s=17, crashing_per_s=6)
LARGE = Workload(nodes=410, engines=890, calls_per_s=2000, crashing_per_s=20)
SEEDS = range(5)
CRASHING_FROM_S = 10.0
# How long nodes may take to agree after the fifth crash.
CONTACT_S = 3.0
MAX_CRASHES = 5
MAX_LATE = 3
LONG_AFTER_S = 1000.0


class CrashFleetTest(testtools.TestCase):
    """Waves of crashes that take most engines of a small fleet."""

    def play(
        self,
        workload: Workload,
        seed: int,
        until_s: float,
        restarts_s: float = LONG_AFTER_S,
    ) -> Figures:
        simulation = CrashSimulation(workload, seed)
        return simulation.run(until_s, CRASHING_FROM_S, restarts_s)

    def check(self, figures: Figures) -> None:
        """Check what is sent after the nodes had time to agree."""
        crashes_s = sorted(figures.crashes_s)
        fifth_s = crashes_s[:MAX_CRASHES][-1]
        late = [
            sent_s
            for sent_s in figures.crashing_sent_s
            if sent_s > fifth_s + CONTACT_S
        ]
        self.assertLessEqual(len(late), MAX_LATE)
        # Sound calls share their first parts with them.
        self.assertEqual(0, figures.sound_refused)

    def test_a_small_fleet_refuses_the_part_only(self) -> None:
        """Guards against a part that goes on to crash engines for minutes."""
        for seed in SEEDS:
            self.check(self.play(SMALL, seed, 60.0))

    def test_nodes_that_start_anew_refuse_the_part(self) -> None:
        """Guards against engines that each restarted node loses again."""
        for seed in SEEDS:
            self.check(self.play(SMALL, seed, 40.0, CRASHING_FROM_S + 5))

    def test_a_large_fleet_refuses_the_part_only(self) -> None:
        """Guards against a design that holds for few nodes only."""
        self.check(self.play(LARGE, 1, 20.0))
