"""The phases of engines of services whose targets report slowness."""

from collections.abc import Callable, Mapping

import attrs
import testtools

from dandelionyoke_dispatch import (
    BalancedSplit,
    CapacityPhasePlan,
    CapacityPhaseSettings,
    EngineDemand,
    EngineNeedEstimate,
    EngineNeedSettings,
    Phase,
    PhaseChange,
    PhaseLoad,
    PhasePlan,
    PhasePlanSettings,
    PhaseSwitchSettings,
    RegisteredTarget,
)

SLOTS = 32
STEP_S = 0.5
SWITCH_S = 3.0
Engines = list[RegisteredTarget]
Plan = Callable[..., list[PhaseChange]]


def engine(number: int, phase: Phase = Phase.PREFILL) -> RegisteredTarget:
    domain = 'abc'[number % 3]
    return RegisteredTarget(
        f'i-{number}', 'lm', '10.0.0.1:1', domain, SLOTS, False, phase
    )


def fleet(prefill: int, decode: int) -> Engines:
    phases = [Phase.DECODE] * decode + [Phase.PREFILL] * prefill
    return [engine(number, phase) for number, phase in enumerate(phases)]


def swing(now_s: float, period_s: float) -> tuple[float, float]:
    """Return the prompts, in engine seconds a second, and the streams."""
    is_first = int(now_s / period_s) % 2 == 0
    return (8.0, 60.0) if is_first else (4.0, 300.0)


def plan_by_load() -> Plan:
    plan = PhasePlan(PhasePlanSettings(), BalancedSplit())
    return lambda engines, now_s, work, streams, settled: plan.changes(
        engines, PhaseLoad(streams, 2 * work), now_s, settled
    )


def plan_by_capacity() -> Plan:
    plan, estimate = new_plan(), EngineNeedEstimate(EngineNeedSettings())

    def changes(engines, now_s, work, streams, settled) -> list[PhaseChange]:
        estimate.observe(EngineDemand(work, 0.0, streams), now_s)
        need = estimate.need(SLOTS, now_s)
        return plan.changes(engines, need, {}, settled)

    return changes


def new_plan() -> CapacityPhasePlan:
    return CapacityPhasePlan(CapacityPhaseSettings(), PhaseSwitchSettings())


def count_orders(changes: Plan, period_s: float) -> int:
    """Count the changes within 50 s after those of the first bursts."""
    engines = fleet(28, 8)
    switched_s = dict.fromkeys((one.target_id for one in engines), -SWITCH_S)
    orders = 0
    for step in range(160):
        now_s = step * STEP_S
        settled = frozenset(
            name
            for name, at_s in switched_s.items()
            if now_s >= at_s + SWITCH_S
        )
        work, streams = swing(now_s, period_s)
        for change in changes(engines, now_s, work, streams, settled):
            switched_s[change.target.target_id] = now_s
            apply(engines, change)
            orders += now_s >= 30
    return orders


def apply(engines: Engines, change: PhaseChange) -> None:
    index = engines.index(change.target)
    engines[index] = attrs.evolve(change.target, phase=change.phase)


class CapacityPhaseTest(testtools.TestCase):
    def test_bursts_that_change_places_turn_no_engines(self) -> None:
        """Guards against engines that switch with each burst of two kinds."""
        self.assertGreater(count_orders(plan_by_load(), 14.0), 10)
        for period_s in (2.8, 14.0):
            self.assertEqual(0, count_orders(plan_by_capacity(), period_s))

    def settle(
        self,
        engines: Engines,
        work: float,
        streams: float,
        speeds: Mapping[str, float] | None = None,
    ) -> int:
        """Apply all changes; return how many engines decode then."""
        estimate = EngineNeedEstimate(EngineNeedSettings())
        estimate.observe(EngineDemand(work, 0.0, streams), 0)
        plan, need = new_plan(), estimate.need(SLOTS, 0)
        while changes := plan.changes(engines, need, speeds or {}):
            for change in changes:
                apply(engines, change)
        return sum(one.phase is Phase.DECODE for one in engines)

    def test_lost_engines_are_replaced_where_more_is_missing(self) -> None:
        """Guards against streams without engines after a domain was lost."""
        self.assertEqual(8, self.settle(fleet(22, 2), 6.0, 170.0))
        self.assertEqual(9, self.settle(fleet(4, 20), 9.0, 170.0))

    def test_a_shortage_is_shared_by_both_phases(self) -> None:
        """Guards against a phase that takes the engines of the other."""
        self.assertEqual(6, self.settle(fleet(9, 9), 12.0, 220.0))
        self.assertEqual(6, self.settle(fleet(12, 6), 12.0, 220.0))

    def test_slow_engines_count_for_less(self) -> None:
        """Guards against a phase of slow engines that seems to have enough."""
        engines = fleet(20, 8)
        self.assertEqual(8, self.settle(list(engines), 6.0, 170.0))
        slow = {f'i-{number}': 0.5 for number in range(8)}
        self.assertGreater(self.settle(engines, 6.0, 170.0, slow), 10)

    def test_the_loss_of_any_domain_leaves_both_phases(self) -> None:
        """Guards against a domain that takes all engines of a phase with it."""
        engines = [
            attrs.evolve(one, domain='a' if one.phase is Phase.DECODE else 'b')
            for one in fleet(10, 4)
        ]
        self.settle(engines, 0.1, 1.0)
        decoding = [one.domain for one in engines if one.phase is Phase.DECODE]
        self.assertEqual({'a', 'b'}, set(decoding))
