"""Calls with a part that crashes engines, at small and large fleets."""

import attrs
import testtools

from tests.dispatch.crash_simulation import (
    CrashSimulation,
    Figures,
    Workload,
)

SMALL = Workload(nodes=6, engines=10, calls_per_s=17, crashing_per_s=6)
LARGE = Workload(nodes=410, engines=890, calls_per_s=2000, crashing_per_s=20)
# Calls that come again and again, beside callers that repeat what broke off.
SMALL_REPEATED = Workload(
    nodes=6,
    engines=24,
    calls_per_s=30,
    crashing_per_s=4,
    crashing_calls=3,
    repeats=4,
    min_delay_s=0.01,
    max_delay_s=2.5,
)
MIDDLE_REPEATED = attrs.evolve(
    SMALL_REPEATED, nodes=60, engines=130, calls_per_s=200
)
LARGE_REPEATED = attrs.evolve(
    SMALL_REPEATED,
    nodes=410,
    engines=890,
    calls_per_s=1500,
    crashing_per_s=8,
    crashing_calls=5,
)
SEEDS = range(5)
CRASHING_FROM_S = 10.0
# How long nodes may take to agree after the fifth crash.
CONTACT_S = 3.0
MAX_CRASHES = 5
MAX_LATE = 3
CRASHES = 3
LONG_AFTER_S = 1000.0
# Over the time that reports take, after the last of them.
ENDS_S = 30.0


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


class RepeatedCallTest(testtools.TestCase):
    """Calls that crash engines beside sound ones that are sent again."""

    def play(self, workload: Workload, seed: int) -> None:
        simulation = CrashSimulation(workload, seed)
        figures = simulation.run(ENDS_S, CRASHING_FROM_S, LONG_AFTER_S)
        for fingerprint, crashes_s in figures.crashes_of.items():
            if len(crashes_s) < CRASHES:
                continue
            late = [
                sent_s
                for sent_s in figures.sent_of[fingerprint]
                if sent_s > crashes_s[CRASHES - 1] + CONTACT_S
            ]
            self.assertLessEqual(len(late), MAX_LATE, f'seed {seed}')
        refused = simulation.refused_by(ENDS_S)
        self.assertEqual(1, len(set(refused)), f'seed {seed}')

    def test_six_nodes_refuse_the_same_calls(self) -> None:
        """Guards against nodes that blame a call beside the one that crashes.

        Nodes that heard in another order blamed another call, and its crashes
        were not counted for the one that went on to crash engines.
        """
        for seed in range(20):
            self.play(SMALL_REPEATED, seed)

    def test_sixty_nodes_refuse_the_same_calls(self) -> None:
        """Guards against an agreement that holds for few nodes only."""
        for seed in range(5):
            self.play(MIDDLE_REPEATED, seed)

    def test_a_large_fleet_refuses_the_same_calls(self) -> None:
        """Guards against an agreement that holds for few nodes only."""
        self.play(LARGE_REPEATED, 1)
