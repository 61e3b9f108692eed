"""The small engine of the measures, and the measures' own arithmetic."""

import testtools
from hypothesis import given, settings, strategies as st

from dandelionyoke_core import AttemptId, Role
from dandelionyoke_standins._policy_deployments import MWAKILEMA
from dandelionyoke_standins._policy_engine import (
    EngineFake,
    EngineFakeSettings,
    Work,
)
from dandelionyoke_standins._policy_figures import figures, max_min
from dandelionyoke_standins._policy_runs import Scenario, run, system_node
from dandelionyoke_standins._policy_scenarios import scenarios
from dandelionyoke_standins._policy_workload import Demand, Phase

STEP_S = 0.04
# Small enough that calls preempt each other.
SMALL = EngineFakeSettings(kv_blocks=80, max_running=6)


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
    def test_all_work_ends_once_and_its_memory_comes_back(
        self, sizes: list[tuple[int, int, int]], role: Role
    ) -> None:
        engine = EngineFake('e', SMALL, role)
        for number, (prompt, output, document) in enumerate(sizes):
            shared = min(prompt // 16, 8)
            names = tuple(f'{document}/{block}' for block in range(shared))
            name = AttemptId(f'a{number}')
            engine.add(Work(name, prompt, output, names, number % 3))
        ended = []
        now_s = 0.0
        while engine.busy and now_s < 600:
            now_s += STEP_S
            for progress in engine.step(STEP_S, now_s):
                if progress.ended:
                    ended.append((progress.attempt_id, progress.done))
        engine.sample(now_s)
        wanted = [(f'a{n}', output) for n, (_, output, _) in enumerate(sizes)]
        self.assertEqual(sorted(wanted), sorted(ended))
        self.assertEqual(0, engine.report(now_s + 9).kv_used_blocks)

    def test_a_run_is_the_same_for_the_same_seed(self) -> None:
        demand = Demand((Phase(8, {'history': 6, 'roadside': 8}),))
        scenario = Scenario('short', MWAKILEMA, demand)
        first, again, other = (
            figures(run(scenario, system_node, seed)) for seed in (1, 1, 2)
        )
        self.assertEqual(first, again)
        self.assertNotEqual(first.offered, other.offered)
        self.assertEqual((1.0, 0), (first.good_share, first.cut))

    def test_scenarios_name_both_users_and_what_goes_wrong(self) -> None:
        found = {(one.deployment.name, one.name) for one in scenarios()}
        names = ('swing', 'swing and crash', 'reclaim', 'cut', 'greedy')
        for user in ('mwakilema', 'aforo'):
            for name in names:
                self.assertIn((user, name), found)

    @given(
        st.dictionaries(st.sampled_from('abcde'), st.floats(0, 100)),
        st.floats(0, 300),
    )
    def test_max_min_gives_no_more_than_is_wanted_or_there(
        self, wanted: dict[str, float], room: float
    ) -> None:
        weights = {name: 1 + ord(name) % 3 for name in wanted}
        given_out = max_min(wanted, weights, room)
        self.assertLessEqual(sum(given_out.values()), room + 1e-6)
        levels = {n: given_out[n] / weights[n] for n in wanted}
        for name, got in given_out.items():
            self.assertLessEqual(got, wanted[name])
            # Whoever got less than it wants got as much as anyone.
            if got < wanted[name] - 1e-6:
                self.assertGreaterEqual(
                    levels[name] + 1e-6, max(levels.values())
                )
