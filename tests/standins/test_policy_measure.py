"""Tests of the simulated engine and of the figures of the policy measures."""

import testtools
from hypothesis import given, settings, strategies as st

from dandelionyoke_core import AttemptId, Role
from dandelionyoke_standins._policy_deployments import MWAKILEMA
from dandelionyoke_standins._policy_engine import (
    EngineAttempt,
    SimulatedEngine,
    SimulatedEngineSettings,
)
from dandelionyoke_standins._policy_figures import (
    compute_figures,
    max_min_fair_shares,
)
from dandelionyoke_standins._policy_runs import Scenario, run, system_node
from dandelionyoke_standins._policy_scenarios import scenarios
from dandelionyoke_standins._policy_workload import Demand, Phase

STEP_S = 0.04
# Few enough blocks that attempts preempt each other.
SMALL_ENGINE = SimulatedEngineSettings(kv_blocks=80, max_running=6)


class PolicyMeasureTest(testtools.TestCase):
    @given(
        st.lists(
            st.tuples(
                st.integers(0, 400), st.integers(1, 120), st.integers(0, 3)
            ),
            min_size=1,
            max_size=12,
        ),
        st.sampled_from(Role),
    )
    @settings(max_examples=40)
    def test_each_attempt_ends_once_and_releases_its_memory(
        self, sizes: list[tuple[int, int, int]], role: Role
    ) -> None:
        engine = SimulatedEngine('e', SMALL_ENGINE, role)
        for number, (prompt, output, document) in enumerate(sizes):
            shared = min(prompt // 16, 8)
            blocks = tuple(f'{document}/{block}' for block in range(shared))
            attempt_id = AttemptId(f'a{number}')
            engine.add(
                EngineAttempt(attempt_id, prompt, output, blocks, number % 3)
            )
        ended = []
        now_s = 0.0
        while engine.has_work and now_s < 600:
            now_s += STEP_S
            for progress in engine.step(STEP_S, now_s):
                if progress.ended:
                    ended.append(
                        (progress.attempt_id, progress.generated_tokens)
                    )
        engine.sample(now_s)
        expected = [(f'a{n}', output) for n, (_, output, _) in enumerate(sizes)]
        self.assertEqual(sorted(expected), sorted(ended))
        self.assertEqual(0, engine.report(now_s + 9).kv_used_blocks)

    def test_the_same_seed_gives_the_same_figures(self) -> None:
        demand = Demand((Phase(8, {'history': 6, 'roadside': 8}),))
        scenario = Scenario('short', MWAKILEMA, demand)
        first, again, other = (
            compute_figures(run(scenario, system_node, seed))
            for seed in (1, 1, 2)
        )
        self.assertEqual(first, again)
        self.assertNotEqual(first.offered, other.offered)
        self.assertEqual((1.0, 0), (first.goodput_share, first.cut))

    def test_both_users_have_a_scenario_of_each_fault(self) -> None:
        found = {
            (scenario.deployment.name, scenario.name)
            for scenario in scenarios()
        }
        names = ('swing', 'swing and crash', 'reclaim', 'cut', 'greedy')
        for user in ('mwakilema', 'aforo'):
            for name in names:
                self.assertIn((user, name), found)

    @given(
        st.dictionaries(st.sampled_from('abcde'), st.floats(0, 100)),
        st.floats(0, 300),
    )
    def test_fair_shares_stay_within_demand_and_capacity(
        self, demands: dict[str, float], capacity: float
    ) -> None:
        weights = {name: 1 + ord(name) % 3 for name in demands}
        shares = max_min_fair_shares(demands, weights, capacity)
        self.assertLessEqual(sum(shares.values()), capacity + 1e-6)
        levels = {owner: shares[owner] / weights[owner] for owner in demands}
        for name, share in shares.items():
            self.assertLessEqual(share, demands[name])
            # An unsatisfied organisation gets the highest share per weight.
            if share < demands[name] - 1e-6:
                self.assertGreaterEqual(
                    levels[name] + 1e-6, max(levels.values())
                )
