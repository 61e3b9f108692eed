"""The number of engines that a service needs, by failure domain and kind.

Load: demand moves in waves and bursts, and all reclaimable (spot) engines of a
domain can go at a few seconds' notice, with no new ones there for a while.
First tokens that are late made the older plan order the whole range, with
engines at the full price in place of missing ones, though most were idle.

The plan follows the engine time that callers ask for, with a reserve for the
loss of a domain. Going up it acts at once, as a boot takes seconds. Going down
it takes a few engines at a time, after the need was lower for its hold time.
"""

import enum
import math
from collections import Counter
from collections.abc import Sequence

import attrs

from dandelionyoke_dispatch._configuration import ScalingRange
from dandelionyoke_dispatch._engine_need import EngineNeed
from dandelionyoke_dispatch._engine_plan import (
    EngineCountPlan,
    FleetNeed,
    WantedCount,
)
from dandelionyoke_dispatch._peak import Peak
from dandelionyoke_dispatch._registry import RegisteredTarget


@attrs.frozen
class CapacityPlanSettings:
    """How fast the numbers follow the need, and the use of on-demand engines.

    `removed` engines at a time leave a domain, one time in `removal_interval_s`,
    in which the registry shows what is left. They must have been too many for
    `hold_s`: other domains take over while a domain is without reclaimable
    engines, and it is asked again and again. While no need is known, what runs
    is kept for `keep_s`. Each of the `on_demand_domains` cheapest domains keeps
    an on-demand engine. A domain that gets no reclaimable engines may have
    on-demand engines up to `fallback_share` of its maximum. If the plan was not
    asked for `max_gap_s`, other nodes may have ordered meanwhile. Engines that
    register within `registration_s` of the first plan ran before it.
    """

    removed: int = 2
    removal_interval_s: float = 2.0
    hold_s: float = 10.0
    keep_s: float = 30.0
    on_demand_domains: int = 2
    fallback_share: float = 0.6
    max_gap_s: float = 5.0
    registration_s: float = 4.0


@enum.unique
class PlanBasis(enum.Enum):
    """What the numbers of engines follow."""

    NEED = 'by need'
    KEPT = 'kept'
    WHOLE_RANGE = 'whole range'


@attrs.frozen
class PlannedEngines:
    """The numbers of engines of both kinds behind the latest plan.

    `needed` are planned for the demand, `total` with the `reserve` for the
    loss of a domain. Below `least`, callers are not served. None: unknown.
    """

    basis: PlanBasis
    needed: int | None = None
    least: int | None = None
    reserve: int = 0
    present: int = 0

    @property
    def total(self) -> int | None:
        """The wanted number of engines of all domains."""
        return None if self.needed is None else self.needed + self.reserve


class CapacityPlan:
    """Computes the wanted numbers of engines of one service by their need."""

    def __init__(
        self, settings: CapacityPlanSettings, without_need: EngineCountPlan
    ) -> None:
        self._settings = settings
        self._without_need = without_need
        # The planned number of engines of both kinds, by domain.
        self._levels: dict[str, int] = {}
        self._goals: dict[str, Peak] = {}
        self._unknown_since_s: float | None = None
        self._asked_s: float | None = None
        self._started_s = 0.0
        self._removed_s = -math.inf
        self.planned = PlannedEngines(PlanBasis.KEPT)

    def wanted(
        self,
        scaling: ScalingRange,
        engines: Sequence[RegisteredTarget],
        need: FleetNeed,
    ) -> list[WantedCount]:
        """Return the wanted counts, including the engines that already run."""
        if scaling.reclaimable_price_share is None:
            return []
        present = Counter(engine.domain for engine in engines)
        self._start_anew_after_gap(need.now_s)
        self._keep_running(scaling, engines, need.now_s)
        if need.engine_need is None:
            if not self._keeps_unknown(need.now_s):
                return self._whole_range(scaling, engines, need)
            self.planned = PlannedEngines(
                PlanBasis.KEPT, present=present.total()
            )
            return self._by_kind(scaling, engines, need)
        self._unknown_since_s = None
        self.planned = _plan_numbers(
            need.engine_need, need.mean_speed, scaling, present.total()
        )
        self._follow(scaling, present, need)
        return self._by_kind(scaling, engines, need)

    def _start_anew_after_gap(self, now_s: float) -> None:
        asked_s = self._asked_s
        self._asked_s = now_s
        if asked_s is None or now_s - asked_s > self._settings.max_gap_s:
            self._started_s = now_s
            self._levels.clear()
            self._goals.clear()
            self._unknown_since_s = None

    def _keeps_unknown(self, now_s: float) -> bool:
        """Whether what runs is kept because the need may soon be known."""
        if self._unknown_since_s is None:
            self._unknown_since_s = now_s
        return now_s - self._unknown_since_s < self._settings.keep_s

    def _whole_range(
        self,
        scaling: ScalingRange,
        engines: Sequence[RegisteredTarget],
        need: FleetNeed,
    ) -> list[WantedCount]:
        self._levels.clear()
        self.planned = PlannedEngines(
            PlanBasis.WHOLE_RANGE, present=len(engines)
        )
        blind = attrs.evolve(need, is_overloaded=True)
        return self._without_need.wanted(scaling, engines, blind)

    def _keep_running(
        self,
        scaling: ScalingRange,
        engines: Sequence[RegisteredTarget],
        now_s: float,
    ) -> None:
        """Set the levels to the engines that ran before the first plan.

        While they register, those of one kind may be there in place of the
        other already, and count once.
        """
        if now_s - self._started_s > self._settings.registration_s:
            return
        on_demand = _count_by_domain(engines, is_reclaimable=False)
        reclaimable = _count_by_domain(engines, is_reclaimable=True)
        kept = self._kept_on_demand(scaling)
        for domain in scaling.domain_prices:
            known = self._levels.get(domain)
            level = on_demand[domain] + reclaimable[domain]
            if known is not None:
                staying = min(kept[domain], on_demand[domain])
                replaced = max(on_demand[domain], reclaimable[domain] + staying)
                level = max(known, replaced)
            self._levels[domain] = min(level, scaling.max_targets)

    def _follow(
        self,
        scaling: ScalingRange,
        present: Counter[str],
        need: FleetNeed,
    ) -> None:
        """Move the levels of all domains towards the planned number."""
        settings = self._settings
        goals = _spread(self.planned.total or 0, scaling, present, need)
        is_settled = (
            need.engine_need is not None and need.engine_need.is_settled
        )
        elapsed_s = need.now_s - self._removed_s
        may_remove = is_settled and elapsed_s >= settings.removal_interval_s
        for domain in scaling.domain_prices:
            goal = goals[domain]
            peak = self._goals.setdefault(domain, Peak(settings.hold_s))
            held = int(peak.update(goal, need.now_s))
            level = self._levels[domain]
            if may_remove and level - settings.removed >= held:
                self._removed_s = need.now_s
                level -= settings.removed
            self._levels[domain] = max(goal, level)

    def _by_kind(
        self,
        scaling: ScalingRange,
        engines: Sequence[RegisteredTarget],
        need: FleetNeed,
    ) -> list[WantedCount]:
        """Divide the levels between on-demand and reclaimable engines.

        On-demand engines that run stay until the level is reached without
        them, and reclaimable ones until the on-demand engines run that take
        their place. Both kinds together are limited by the range.
        """
        on_demand = _count_by_domain(engines, is_reclaimable=False)
        reclaimable = _count_by_domain(engines, is_reclaimable=True)
        kept = self._kept_on_demand(scaling)
        replacing = self._replacing(scaling, engines, need)
        counts = []
        for domain in sorted(scaling.domain_prices):
            level = self._levels[domain]
            staying = min(on_demand[domain], level - reclaimable[domain])
            steady = max(kept[domain], staying, replacing[domain])
            cheap = min(
                level - min(kept[domain], on_demand[domain]),
                scaling.max_targets - on_demand[domain],
            )
            least_left = max(0, reclaimable[domain] - self._settings.removed)
            counts.append(WantedCount(domain, False, steady))
            counts.append(WantedCount(domain, True, max(cheap, least_left)))
        return counts

    def _replacing(
        self,
        scaling: ScalingRange,
        engines: Sequence[RegisteredTarget],
        need: FleetNeed,
    ) -> Counter[str]:
        """Return the on-demand engines in place of missing reclaimable ones.

        Only as many as are missing in all domains together.
        """
        missing = (self.planned.least or 0) - len(engines)
        limit = math.ceil(self._settings.fallback_share * scaling.max_targets)
        counts = _count_by_domain(engines, is_reclaimable=False)
        prices = scaling.domain_prices
        unavailable = sorted(
            (domain for domain in prices if domain in need.unavailable_domains),
            key=lambda domain: (prices[domain], domain),
        )
        replacing: Counter[str] = Counter()
        for domain in unavailable:
            added = max(0, min(missing, limit - counts[domain]))
            replacing[domain] = counts[domain] + added if added else 0
            missing -= added
        return replacing

    def _kept_on_demand(self, scaling: ScalingRange) -> Counter[str]:
        prices = scaling.domain_prices
        cheapest = sorted(prices, key=lambda domain: (prices[domain], domain))
        return Counter(cheapest[: self._settings.on_demand_domains])


def _spread(
    total: int,
    scaling: ScalingRange,
    present: Counter[str],
    need: FleetNeed,
) -> Counter[str]:
    """Spread engines evenly, the odd ones to the cheaper domains.

    The other domains get those of a domain that has none to give.
    """
    prices = scaling.domain_prices
    limits = dict.fromkeys(prices, scaling.max_targets)
    for name in need.unavailable_domains:
        limits[name] = min(scaling.max_targets, present[name])
    counts = Counter(
        {name: min(scaling.min_targets, limits[name]) for name in prices}
    )
    cheapest = sorted(prices, key=lambda name: (prices[name], name))
    while counts.total() < total:
        free = [name for name in cheapest if counts[name] < limits[name]]
        if not free:
            break
        counts[min(free, key=counts.__getitem__)] += 1
    return counts


def _plan_numbers(
    need: EngineNeed, mean_speed: float, scaling: ScalingRange, present: int
) -> PlannedEngines:
    """Return the needed numbers of engines as fast as those that run."""
    needed = math.ceil(need.engines / mean_speed)
    least = math.ceil(need.min_engines / mean_speed)
    total = max(needed, _with_reserve(least, len(scaling.domain_prices)))
    return PlannedEngines(
        PlanBasis.NEED, needed, least, total - needed, present
    )


def _with_reserve(least: int, domains: int) -> int:
    """Return the number of which `least` are left without the fullest domain.

    Engines in a single domain cannot outlast it.
    """
    if domains < 2:
        return least
    total = least
    while total - math.ceil(total / domains) < least:
        total += 1
    return total


def _count_by_domain(
    engines: Sequence[RegisteredTarget], *, is_reclaimable: bool
) -> Counter[str]:
    return Counter(
        engine.domain
        for engine in engines
        if engine.is_reclaimable is is_reclaimable
    )
