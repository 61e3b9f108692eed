"""The fleet decisions, compared with a fleet that never changes a role."""

from collections import Counter

import attrs
import testtools
from hypothesis import given, settings, strategies as st

from dandelionyoke_core import (
    CONTROL_DUTY,
    Domain,
    DutyExtended,
    DutyGained,
    DutyLost,
    EngineSpeed,
    FleetPart,
    FleetSettings,
    FleetSizeChangeRequested,
    MixRow,
    Output,
    Role,
    RoleChangeRequested,
    ServiceName,
    TargetId,
    TargetStatus,
    TimerFired,
)
from dandelionyoke_core._role_plan import WorkRow, utilisation
from tests.core.policy_fakes import (
    AWAY,
    HOME,
    SERVICE,
    make_configuration_view,
    make_targets,
)

SPEED = EngineSpeed()
SETTINGS = FleetSettings()
FOREVER_S = 1e9
# How long a role change makes an engine unavailable in these tests.
CHANGE_S = 6.0
# Prompt and output tokens per second at the capacity of four engines.
PROMPT_HEAVY = (26000.0, 400.0)
OUTPUT_HEAVY = (800.0, 3000.0)
BALANCED = (6000.0, 1500.0)
# A mix and its seconds; the mix swings right after a change for the last one.
SWINGS_AFTER_A_CHANGE = (
    ((PROMPT_HEAVY, 48), (OUTPUT_HEAVY, 32)),
    ((PROMPT_HEAVY, 48), (OUTPUT_HEAVY, 60)),
    ((OUTPUT_HEAVY, 48), (PROMPT_HEAVY, 24)),
    ((OUTPUT_HEAVY, 54), (PROMPT_HEAVY, 24)),
    ((PROMPT_HEAVY, 60), (OUTPUT_HEAVY, 73), (PROMPT_HEAVY, 31)),
)


@attrs.define
class FakeFleet:
    """Targets, a mix of work, and role changes that take `CHANGE_S`."""

    mix_now: tuple[float, float] = BALANCED
    domains: tuple[Domain, ...] = (HOME, HOME, HOME, HOME)
    reclaimable: tuple[int, ...] = ()
    roles: dict[TargetId, Role] = attrs.field(factory=dict)
    cut: tuple[str, ...] = ()
    changing: dict[TargetId, tuple[float, Role]] = attrs.field(factory=dict)
    now_s: float = 0

    def target_statuses(
        self, service: ServiceName, now_s: float
    ) -> tuple[TargetStatus, ...]:
        targets = make_targets(len(self.domains))
        return tuple(
            TargetStatus(
                attrs.evolve(
                    target,
                    domain=domain,
                    reclaimable=row in self.reclaimable,
                ),
                self.roles.get(target.target_id, Role.MIXED),
                calls=row,
                is_usable=target.target_id not in {*self.changing, *self.cut},
                is_reachable=target.target_id not in self.cut,
            )
            for row, (target, domain) in enumerate(
                zip(targets, self.domains, strict=True)
            )
        )

    def uncached_share(self, service: ServiceName) -> float:
        return 1

    def mix(self, service: ServiceName, now_s: float) -> tuple[MixRow, ...]:
        prompt, output = self.mix_now
        return (MixRow(SERVICE, 0, prompt, output, prompt, output),)

    def apply_role_changes(self, outputs: list[Output], now_s: float) -> None:
        """Begin requested role changes, and complete those that are ready."""
        for output in outputs:
            if isinstance(output, RoleChangeRequested):
                ready = (now_s + CHANGE_S, output.role)
                self.changing.setdefault(output.target_id, ready)
        for target_id, (ready_s, role) in tuple(self.changing.items()):
            if now_s >= ready_s:
                self.roles[target_id] = role
                self.changing.pop(target_id)

    def unserved_s(self) -> float:
        """Return the missing capacity, in engine seconds per second."""
        usable = [
            one for one in self.target_statuses(SERVICE, 0) if one.is_usable
        ]
        counts = Counter(one.role for one in usable)
        rows = [WorkRow(*self.mix_now)]
        return max(0, utilisation(rows, counts, SPEED) - 1) * len(usable)


def make_fleet_part(
    fleet: FakeFleet, *, duty: bool = True, **service: object
) -> FleetPart:
    configuration_view = make_configuration_view(**service)
    part = FleetPart(SETTINGS, configuration_view, fleet, fleet, HOME)
    if duty:
        part.handle(DutyGained(CONTROL_DUTY, 7, FOREVER_S), 0)
    return part


def run_for(
    part: FleetPart, fleet: FakeFleet, seconds: int
) -> tuple[list[Output], float]:
    """Run for some seconds; return the outputs and the unserved work."""
    wanted: list[Output] = []
    unserved_s = 0.0
    for _ in range(seconds):
        fleet.now_s += 1
        outputs = part.handle(TimerFired(), fleet.now_s)
        fleet.apply_role_changes(outputs, fleet.now_s)
        wanted += outputs
        unserved_s += fleet.unserved_s()
    return wanted, unserved_s


def count_role_changes(outputs: list[Output]) -> int:
    roles = {
        (one.target_id, one.role)
        for one in outputs
        if isinstance(one, RoleChangeRequested)
    }
    return len(roles)


class FleetTest(testtools.TestCase):
    @given(
        st.lists(
            st.tuples(
                st.sampled_from((PROMPT_HEAVY, OUTPUT_HEAVY, BALANCED)),
                st.integers(10, 120),
            ),
            min_size=1,
            max_size=3,
        )
    )
    @settings(max_examples=15)
    def test_role_changes_reduce_unserved_work(
        self, phases: list[tuple[tuple[float, float], int]]
    ) -> None:
        """The mix swings between long prompts and long outputs.

        Without role changes callers wait through each swing. With a change at
        each sign of a swing they wait for engines that are changing.
        """
        fleet = FakeFleet()
        part = make_fleet_part(fleet, max_targets=4, min_targets=4)
        unserved_s = baseline_unserved_s = 0.0
        changes = 0
        for mix, seconds in phases:
            fleet.mix_now = mix
            wanted, phase_unserved_s = run_for(part, fleet, seconds)
            unserved_s += phase_unserved_s
            baseline_unserved_s += FakeFleet(mix).unserved_s() * seconds
            changes += count_role_changes(wanted)
        # A swing may come right after the roles were adapted to the last mix
        # and then cost a role change of each of the four engines.
        change_cost_s = (
            CHANGE_S + SETTINGS.role_cooldown_s + SETTINGS.decision_interval_s
        )
        allowance_s = len(phases) * 4 * change_cost_s
        self.assertLessEqual(unserved_s, baseline_unserved_s + allowance_s)
        self.assertLessEqual(changes, 6 * len(phases))
        if len(phases) == 1 and phases[0][1] > 60 and baseline_unserved_s:
            self.assertLess(unserved_s, 0.7 * baseline_unserved_s)

    def test_engines_that_serve_all_work_keep_their_roles(self) -> None:
        """Guards against callers who wait because no engine fits the next mix.

        Changes that save nothing would leave all engines in the role of the
        last mix.
        """
        test = type(self).test_role_changes_reduce_unserved_work
        for phases in SWINGS_AFTER_A_CHANGE:
            test.hypothesis.inner_test(self, list(phases))

    def test_a_mix_that_swings_too_fast_causes_few_role_changes(
        self,
    ) -> None:
        fleet = FakeFleet()
        part = make_fleet_part(fleet, max_targets=4, min_targets=4)
        wanted: list[Output] = []
        for number in range(60):
            fleet.mix_now = (PROMPT_HEAVY, OUTPUT_HEAVY)[number % 2]
            wanted += run_for(part, fleet, 4)[0]
        # A change at each swing would make sixty changes.
        self.assertLess(count_role_changes(wanted), 10)

    def test_a_partitioned_domain_plans_for_all_of_its_work(self) -> None:
        """A domain is partitioned from the engines of the other domains.

        If it still counted on them, it would leave its own engines in the
        wrong roles, and its callers would wait for the whole partition.
        """
        wanted = []
        for cut in (False, True):
            fleet = FakeFleet(BALANCED, (HOME, HOME, AWAY, AWAY))
            fleet.mix_now = (13000.0, 200.0)
            fleet.cut = ('t2', 't3') if cut else ()
            part = make_fleet_part(fleet, max_targets=4, min_targets=4)
            wanted.append(count_role_changes(run_for(part, fleet, 60)[0]))
        self.assertLess(wanted[0], wanted[1])

    def test_one_engine_changes_at_a_time_and_never_the_last(self) -> None:
        fleet = FakeFleet(PROMPT_HEAVY)
        part = make_fleet_part(fleet, max_targets=4, min_targets=4)
        for _ in range(120):
            run_for(part, fleet, 1)
            self.assertLessEqual(len(fleet.changing), 1)
        self.assertIn(Role.PREFILL, fleet.roles.values())
        single = FakeFleet(PROMPT_HEAVY, domains=(HOME, AWAY, AWAY, AWAY))
        part = make_fleet_part(single, max_targets=4, min_targets=4)
        self.assertEqual(0, count_role_changes(run_for(part, single, 60)[0]))

    def test_only_the_duty_holder_decides(self) -> None:
        """A node is paused, its lease expires, and another node takes over.

        If the first node kept deciding, both would give an engine conflicting
        roles, and callers would wait for an engine that keeps changing.
        """
        cases = (
            ([], False),
            ([DutyGained(CONTROL_DUTY, 7, FOREVER_S)], True),
            ([DutyGained('report', 7, FOREVER_S)], False),
            ([DutyGained(CONTROL_DUTY, 7, 0.5)], False),
            (
                [
                    DutyGained(CONTROL_DUTY, 7, 0.5),
                    DutyExtended(CONTROL_DUTY, 8, FOREVER_S),
                ],
                True,
            ),
            (
                [
                    DutyGained(CONTROL_DUTY, 7, FOREVER_S),
                    DutyLost(CONTROL_DUTY, 7),
                ],
                False,
            ),
        )
        for events, is_active in cases:
            fleet = FakeFleet(PROMPT_HEAVY)
            part = make_fleet_part(fleet, duty=False)
            for event in events:
                part.handle(event, 0)
            outputs, _ = run_for(part, fleet, 30)
            self.assertEqual(is_active, bool(outputs), events)
            if outputs:
                self.assertEqual(events[-1].fence, outputs[0].fence)

    def test_sizes_follow_lasting_load_within_bounds_and_by_cost(self) -> None:
        """Demand stays high or low for minutes.

        Too few targets keep callers waiting, and too many cost money.
        """
        high = (30000.0, 3000.0)
        low = (300.0, 100.0)
        mixed = (HOME, HOME, AWAY, AWAY, AWAY)
        rich = (HOME, HOME, HOME, AWAY)
        cases = (
            (high, mixed, 300, {}, (1, 0, 0)),
            (high, mixed, 300, {'reclaimable_share': 0.5}, (0, 1, 0)),
            (high, mixed, 300, {'max_targets': 5}, (0, 0, 0)),
            (high, mixed, 10, {}, (0, 0, 0)),
            (high, rich, 300, {}, (0, 0, 0)),
            (low, rich, 300, {}, (0, 0, 1)),
            (low, rich, 300, {'min_targets': 4}, (0, 0, 0)),
            (low, rich, 100, {}, (0, 0, 0)),
            (low, mixed, 300, {}, (0, 0, 0)),
        )
        for mix, domains, seconds, service, expected in cases:
            fleet = FakeFleet(mix, domains, reclaimable=(0,))
            part = make_fleet_part(fleet, **service)
            outputs, _ = run_for(part, fleet, seconds)
            requests = [
                one
                for one in outputs
                if isinstance(one, FleetSizeChangeRequested)
            ]
            first = (
                requests[0]
                if requests
                else FleetSizeChangeRequested(SERVICE, HOME, 7, '')
            )
            found = (
                first.add_on_demand,
                first.add_reclaimable,
                len(first.remove),
            )
            self.assertEqual(expected, found, (mix, domains, service))
            self.assertNotIn('t0', first.remove)

    @given(
        st.lists(
            st.tuples(st.floats(1, 5e4), st.floats(1, 5e3)),
            min_size=1,
            max_size=5,
        ),
        st.tuples(*[st.integers(0, 4)] * 3).filter(any),
    )
    @settings(max_examples=80)
    def test_utilisation_bounds(
        self, work: list[tuple[float, float]], engines: tuple[int, int, int]
    ) -> None:
        rows = [WorkRow(*one) for one in work]
        counts = dict(zip(Role, engines, strict=True))
        found = utilisation(rows, counts, SPEED)
        larger_counts = {role: count + 1 for role, count in counts.items()}
        self.assertLessEqual(
            utilisation(rows, larger_counts, SPEED), found * 1.001
        )
        # No role is faster than the best role at prefill and at decode.
        best_s = sum(
            row.prompt_per_s / SPEED.prefill_rate(Role.PREFILL)
            + row.output_per_s / SPEED.decode_rate(Role.DECODE)
            for row in rows
        )
        min_utilisation = min(best_s / sum(engines), 20)
        self.assertGreaterEqual(found * 1.01, min_utilisation)
