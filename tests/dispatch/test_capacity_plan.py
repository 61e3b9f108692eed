"""The numbers of engines of services whose targets report slowness."""

from collections import Counter

import attrs
import testtools

from dandelionyoke_dispatch import (
    CapacityPlan,
    CapacityPlanSettings,
    EngineDemand,
    EngineNeed,
    EngineNeedEstimate,
    EngineNeedSettings,
    EnginePlan,
    EnginePlanSettings,
    FleetNeed,
    RegisteredTarget,
    ScalingRange,
    WantedCount,
)

SCALING = ScalingRange(1, 20, 4.0, 0.2, {'a': 1.0, 'b': 0.8, 'c': 1.2})
SLOTS = 128
BUSY = EngineDemand(12.0, 0.4, 60.0)
STEP_S = 0.5


def engines(*, on_demand: str = '', **spot: int) -> list[RegisteredTarget]:
    """Return reclaimable engines, and on-demand ones by their domains."""
    kinds = [
        (domain, True) for domain, count in spot.items() for _ in 'x' * count
    ]
    kinds += [(domain, False) for domain in on_demand]
    return [
        RegisteredTarget(
            f'i-{number}',
            'lm',
            '10.0.0.1:1',
            domain,
            SLOTS,
            False,
            is_reclaimable=is_spot,
        )
        for number, (domain, is_spot) in enumerate(kinds)
    ]


def new_plan() -> CapacityPlan:
    return CapacityPlan(
        CapacityPlanSettings(), EnginePlan(EnginePlanSettings())
    )


class Replay:
    """Plans every half second; each order takes effect at once."""

    def __init__(self, plan: CapacityPlan | EnginePlan, **spot: int) -> None:
        self.plan = plan
        self.estimate = EngineNeedEstimate(EngineNeedSettings())
        self.spot = Counter(spot)
        self.on_demand = Counter('ab')
        self.removed: list[int] = []
        self.now_s = 0.0
        self.scaling = SCALING

    def run(
        self,
        duration_s: float,
        demand: EngineDemand | None,
        *,
        is_late: bool = False,
        dry: tuple[str, ...] = (),
    ) -> 'Replay':
        until_s = self.now_s + duration_s
        while self.now_s < until_s:
            self.now_s += STEP_S
            if demand is not None:
                self.estimate.observe(demand, self.now_s)
            need = FleetNeed(
                is_late, dry, self.need(is_late=is_late), now_s=self.now_s
            )
            present = engines(
                on_demand=''.join(self.on_demand.elements()), **self.spot
            )
            self._apply(self.plan.wanted(self.scaling, present, need), dry)
        return self

    def need(self, *, is_late: bool = False) -> EngineNeed | None:
        return self.estimate.need(SLOTS, self.now_s, is_late=is_late)

    @property
    def total(self) -> int:
        return self.spot.total() + self.on_demand.total()

    def _apply(self, counts: list[WantedCount], dry: tuple[str, ...]) -> None:
        for wanted in counts:
            kind = self.spot if wanted.is_reclaimable else self.on_demand
            added = wanted.count - kind[wanted.domain]
            if added < 0:
                self.removed.append(-added)
            if added < 0 or not (
                wanted.is_reclaimable and wanted.domain in dry
            ):
                kind[wanted.domain] = wanted.count


class CapacityPlanTest(testtools.TestCase):
    def test_late_first_tokens_order_no_idle_engines(self) -> None:
        """Guards against the whole range, ordered for calls late elsewhere."""
        calm = EngineDemand(2.0, 0.1, 10.0)
        before = Replay(EnginePlan(EnginePlanSettings()), a=6, b=6, c=6)
        before.run(10, calm, is_late=True)
        self.assertEqual(60, before.total)
        late = Replay(new_plan(), a=6, b=6, c=6).run(10, calm, is_late=True)
        self.assertLessEqual(late.total, 20)

    def test_late_first_tokens_of_busy_engines_order_more(self) -> None:
        """Guards against prompts that meet at too few engines for long."""
        replay = Replay(new_plan(), a=1, b=1, c=1).run(1, BUSY)
        planned = replay.total
        replay.run(1, BUSY, is_late=True)
        self.assertGreater(replay.total, 1.3 * planned)

    def test_bursts_find_the_engines_of_the_burst_before(self) -> None:
        """Guards against engines removed in a pause between two bursts."""
        replay = Replay(new_plan(), a=19, b=19, c=20)
        for _ in range(8):
            replay.run(2.8, BUSY).run(14, EngineDemand(4.0))
        self.assertLess(replay.total, 40)
        engines_before = replay.total
        replay.run(2.8, BUSY)
        self.assertEqual(engines_before, replay.total)

    def test_engines_leave_a_few_at_a_time_after_the_hold_time(self) -> None:
        """Guards against engines missed while their successors boot."""
        replay = Replay(new_plan(), a=19, b=19, c=20).run(30, BUSY)
        self.assertEqual([], replay.removed)
        replay.run(30, EngineDemand(2.0))
        self.assertNotEqual([], replay.removed)
        self.assertLessEqual(max(replay.removed), 2)
        replay.run(1, BUSY)
        self.assertGreaterEqual(replay.total, replay.need().engines)

    def test_the_loss_of_a_domain_leaves_engines_for_all_callers(self) -> None:
        """Guards against callers without an engine while a domain is dry.

        All reclaimable engines of the fullest domain go at once, and no others
        are to be had there.
        """
        for domains in ('ab', 'abc'):
            replay = Replay(new_plan())
            replay.scaling = attrs.evolve(
                SCALING, domain_prices=dict.fromkeys(domains, 1.0)
            )
            replay.run(40, BUSY)
            fullest = max(replay.spot, key=replay.spot.__getitem__)
            replay.spot[fullest] = 0
            on_demand = replay.on_demand.copy()
            self.assertGreaterEqual(replay.total, replay.need().min_engines)
            for _ in range(4):
                replay.run(2.5, BUSY, dry=(fullest,)).run(0.5, BUSY)
                replay.spot[fullest] = 0
            self.assertEqual(
                ([], on_demand), (replay.removed, replay.on_demand)
            )
        self.assertGreaterEqual(replay.total, replay.need().engines)

    def test_on_demand_engines_replace_what_no_domain_has(self) -> None:
        """Guards against waiting callers while all domains are dry."""
        replay = Replay(new_plan()).run(40, BUSY)
        replay.spot.clear()
        replay.run(5, BUSY, dry=('a', 'b', 'c'))
        least = replay.need().min_engines
        self.assertLess(abs(replay.on_demand.total() - least), 1)
        replay.run(5, BUSY)
        self.assertEqual({'a': 1, 'b': 1}, +replay.on_demand)

    def test_a_new_holder_keeps_what_runs_until_it_knows(self) -> None:
        """Guards against orders by a successor that has no history."""
        replay = Replay(new_plan(), a=7, b=7, c=7).run(5, None)
        self.assertEqual((23, []), (replay.total, replay.removed))
        replay.run(20, EngineDemand(1.0))
        self.assertEqual((23, []), (replay.total, replay.removed))

    def test_reclaimable_engines_replace_those_that_a_fleet_starts_with(
        self,
    ) -> None:
        """Guards against engines at the full price until the need is known."""
        replay = Replay(new_plan())
        replay.on_demand = Counter(a=10, b=10, c=10)
        replay.run(20, EngineDemand(2.0))
        self.assertEqual(Counter(a=1, b=1, c=0), replay.on_demand)
        self.assertEqual(30, replay.total)

    def test_unknown_demand_orders_the_whole_range(self) -> None:
        """Guards against a fleet that shrinks because its nodes say nothing."""
        replay = Replay(new_plan(), a=7, b=7, c=7).run(40, None)
        self.assertGreaterEqual(replay.total, 60)


class EngineNeedTest(testtools.TestCase):
    def test_a_gap_in_the_samples_is_no_low_demand(self) -> None:
        """Guards against engines removed after seconds without samples."""
        estimate = EngineNeedEstimate(EngineNeedSettings())
        for second in (*range(1, 32), *range(40, 60)):
            estimate.observe(BUSY, second)
        need = estimate.need(SLOTS, 59)
        self.assertFalse(need.is_settled)
        self.assertEqual(BUSY, need.peak)
        self.assertIsNone(estimate.need(SLOTS, 90))
