"""The fleet's decisions against one that never changes a role."""

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
    MixRow,
    Output,
    Role,
    RoleWanted,
    ServiceName,
    TargetId,
    TargetSight,
    TargetsWanted,
    Woken,
)
from dandelionyoke_core._role_plan import WorkRow, stress
from tests.core.policy_fakes import (
    AWAY,
    HOME,
    SERVICE,
    make_directory,
    make_targets,
)

SPEED = EngineSpeed()
SETTINGS = FleetSettings()
FOREVER_S = 1e9
# How long a change takes an engine away in these tests.
CHANGE_S = 6.0
# Prompt and output tokens a second that four engines can just about do.
LONG_PROMPTS = (26000.0, 400.0)
LONG_OUTPUTS = (800.0, 3000.0)
BALANCED = (6000.0, 1500.0)


@attrs.define
class FakeFleet:
    """Targets and a mix, and role changes that take their time."""

    mix_now: tuple[float, float] = BALANCED
    domains: tuple[Domain, ...] = (HOME, HOME, HOME, HOME)
    reclaimable: tuple[int, ...] = ()
    roles: dict[TargetId, Role] = attrs.field(factory=dict)
    cut: tuple[str, ...] = ()
    away: dict[TargetId, tuple[float, Role]] = attrs.field(factory=dict)
    now_s: float = 0

    def sights(
        self, service: ServiceName, now_s: float
    ) -> tuple[TargetSight, ...]:
        targets = make_targets(len(self.domains))
        return tuple(
            TargetSight(
                attrs.evolve(
                    target,
                    domain=domain,
                    reclaimable=row in self.reclaimable,
                ),
                self.roles.get(target.target_id, Role.MIXED),
                calls=row,
                is_usable=target.target_id not in {*self.away, *self.cut},
                is_reached=target.target_id not in self.cut,
            )
            for row, (target, domain) in enumerate(
                zip(targets, self.domains, strict=True)
            )
        )

    def fresh_share(self, service: ServiceName) -> float:
        return 1

    def mix(self, service: ServiceName, now_s: float) -> tuple[MixRow, ...]:
        prompt, output = self.mix_now
        return (MixRow(SERVICE, 0, prompt, output, prompt, output),)

    def carry_out(self, outputs: list[Output], now_s: float) -> None:
        """Take engines away for a change, and bring them back in the role."""
        for output in outputs:
            if isinstance(output, RoleWanted):
                ready = (now_s + CHANGE_S, output.role)
                self.away.setdefault(output.target_id, ready)
        for target_id, (ready_s, role) in tuple(self.away.items()):
            if now_s >= ready_s:
                self.roles[target_id] = role
                self.away.pop(target_id)

    def lost_s(self) -> float:
        """Engine seconds a second that are asked for and not there."""
        usable = [one for one in self.sights(SERVICE, 0) if one.is_usable]
        counts = Counter(one.role for one in usable)
        rows = [WorkRow(*self.mix_now)]
        return max(0, stress(rows, counts, SPEED) - 1) * len(usable)


def make_fleet_part(
    fleet: FakeFleet, *, duty: bool = True, **service: object
) -> FleetPart:
    directory = make_directory(**service)
    part = FleetPart(SETTINGS, directory, fleet, fleet, HOME)
    if duty:
        part.handle(DutyGained(CONTROL_DUTY, 7, FOREVER_S), 0)
    return part


def pass_time(
    part: FleetPart, fleet: FakeFleet, seconds: int
) -> tuple[list[Output], float]:
    """Let time pass; give what was wanted and the work that was lost."""
    wanted: list[Output] = []
    lost_s = 0.0
    for _ in range(seconds):
        fleet.now_s += 1
        outputs = part.handle(Woken(), fleet.now_s)
        fleet.carry_out(outputs, fleet.now_s)
        wanted += outputs
        lost_s += fleet.lost_s()
    return wanted, lost_s


def changes_in(outputs: list[Output]) -> int:
    roles = {
        (one.target_id, one.role)
        for one in outputs
        if isinstance(one, RoleWanted)
    }
    return len(roles)


class FleetTest(testtools.TestCase):
    @given(
        st.lists(
            st.tuples(
                st.sampled_from((LONG_PROMPTS, LONG_OUTPUTS, BALANCED)),
                st.integers(10, 120),
            ),
            min_size=1,
            max_size=3,
        )
    )
    @settings(max_examples=15)
    def test_it_loses_less_than_without_role_changes(
        self, phases: list[tuple[tuple[float, float], int]]
    ) -> None:
        """The mix swings from long prompts to long answers and back.

        With no role change callers wait through each swing; with one at
        each sign of a swing they wait for engines that are changing.
        """
        fleet = FakeFleet()
        part = make_fleet_part(fleet, max_targets=4, min_targets=4)
        lost_s = naive_lost_s = 0.0
        changes = 0
        for mix, seconds in phases:
            fleet.mix_now = mix
            wanted, lost_here_s = pass_time(part, fleet, seconds)
            lost_s += lost_here_s
            naive_lost_s += FakeFleet(mix).lost_s() * seconds
            changes += changes_in(wanted)
        # A swing may come right after the roles were fitted to the last mix;
        # it may then cost what a change of each of the four engines takes.
        each_s = (
            CHANGE_S + SETTINGS.role_cooldown_s + SETTINGS.decision_interval_s
        )
        swings_s = len(phases) * 4 * each_s
        self.assertLessEqual(lost_s, naive_lost_s + swings_s)
        self.assertLessEqual(changes, 6 * len(phases))
        if len(phases) == 1 and phases[0][1] > 60 and naive_lost_s:
            self.assertLess(lost_s, 0.7 * naive_lost_s)

    def test_a_mix_that_swings_faster_than_a_change_pays_is_left_alone(
        self,
    ) -> None:
        fleet = FakeFleet()
        part = make_fleet_part(fleet, max_targets=4, min_targets=4)
        wanted: list[Output] = []
        for number in range(60):
            fleet.mix_now = (LONG_PROMPTS, LONG_OUTPUTS)[number % 2]
            wanted += pass_time(part, fleet, 4)[0]
        # A change at each swing would be sixty.
        self.assertLess(changes_in(wanted), 10)

    def test_in_a_cut_a_side_has_all_of_its_work_to_do(self) -> None:
        """A domain is cut off and can not reach the others' engines.

        If it still counted on them it would leave its own in the wrong
        roles, and callers on its side would wait for the whole cut.
        """
        wanted = []
        for cut in (False, True):
            fleet = FakeFleet(BALANCED, (HOME, HOME, AWAY, AWAY))
            fleet.mix_now = (13000.0, 200.0)
            fleet.cut = ('t2', 't3') if cut else ()
            part = make_fleet_part(fleet, max_targets=4, min_targets=4)
            wanted.append(changes_in(pass_time(part, fleet, 60)[0]))
        self.assertLess(wanted[0], wanted[1])

    def test_one_engine_changes_at_a_time_and_some_stay(self) -> None:
        fleet = FakeFleet(LONG_PROMPTS)
        part = make_fleet_part(fleet, max_targets=4, min_targets=4)
        for _ in range(120):
            pass_time(part, fleet, 1)
            self.assertLessEqual(len(fleet.away), 1)
        self.assertIn(Role.PREFILL, fleet.roles.values())
        lonely = FakeFleet(LONG_PROMPTS, domains=(HOME, AWAY, AWAY, AWAY))
        part = make_fleet_part(lonely, max_targets=4, min_targets=4)
        self.assertEqual(0, changes_in(pass_time(part, lonely, 60)[0]))

    def test_only_the_holder_of_the_duty_decides(self) -> None:
        """A node is paused, its lease lapses, and another takes over.

        Waking up it would pull an engine one way and its successor another,
        and callers would wait for an engine that keeps changing.
        """
        stories = (
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
        for events, acts in stories:
            fleet = FakeFleet(LONG_PROMPTS)
            part = make_fleet_part(fleet, duty=False)
            for event in events:
                part.handle(event, 0)
            outputs, _ = pass_time(part, fleet, 30)
            self.assertEqual(acts, bool(outputs), events)
            if outputs:
                self.assertEqual(events[-1].fence, outputs[0].fence)

    def test_sizes_follow_what_lasts_within_bounds_and_by_cost(self) -> None:
        """Demand stays high or low for minutes.

        Too few targets keep callers waiting, too many cost money at night.
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
            outputs, _ = pass_time(part, fleet, seconds)
            wishes = [one for one in outputs if isinstance(one, TargetsWanted)]
            first = wishes[0] if wishes else TargetsWanted(SERVICE, HOME, 7, '')
            found = (
                first.add_steady,
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
    def test_stress_is_sound(
        self, work: list[tuple[float, float]], engines: tuple[int, int, int]
    ) -> None:
        rows = [WorkRow(*one) for one in work]
        counts = dict(zip(Role, engines, strict=True))
        found = stress(rows, counts, SPEED)
        more = {role: count + 1 for role, count in counts.items()}
        self.assertLessEqual(stress(rows, more, SPEED), found * 1.001)
        # No role does better than the best role's rate for each part.
        best_s = sum(
            row.prompt_per_s / SPEED.prefill_rate(Role.PREFILL)
            + row.output_per_s / SPEED.decode_rate(Role.DECODE)
            for row in rows
        )
        least = min(best_s / sum(engines), 20)
        self.assertGreaterEqual(found * 1.01, least)
