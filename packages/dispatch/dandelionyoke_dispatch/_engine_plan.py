"""The number of engines per kind and failure domain that a service needs.

Reclaimable (spot) engines cost a fraction of on-demand engines, but a failure
domain can lose all of them at a few seconds' notice and get no new ones for a
while. A few on-demand engines are kept for work that is hard to move. The rest
of the range is filled with reclaimable engines, more than the load needs, so
that the other domains can take over when one domain loses its own. On-demand
engines replace reclaimable ones where too few of those are left.
"""

import math
from collections import Counter
from collections.abc import Collection, Sequence
from typing import Protocol

import attrs

from dandelionyoke_dispatch._configuration import ScalingRange
from dandelionyoke_dispatch._engine_need import EngineNeed
from dandelionyoke_dispatch._registry import RegisteredTarget


@attrs.frozen
class EnginePlanSettings:
    """How much of the range is used, and when to use on-demand engines.

    Unless the service is overloaded, reclaimable engines fill the range as long
    as they cost at most `max_cost_share` of the whole range at the on-demand
    price. Each of the `on_demand_domains` cheapest domains keeps one on-demand
    engine. A domain that cannot get reclaimable engines is filled with
    on-demand engines up to `fallback_share` of its maximum, or
    `relaxed_fallback_share` while the service is not overloaded. The headroom
    above that share lets the first reclaimable engines start before the
    on-demand ones are removed.
    """

    max_cost_share: float = 0.25
    on_demand_domains: int = 2
    fallback_share: float = 0.6
    relaxed_fallback_share: float = 0.3


@attrs.frozen
class WantedCount:
    """The wanted number of engines of one kind in a domain."""

    domain: str
    is_reclaimable: bool
    count: int


@attrs.frozen
class FleetNeed:
    """Whether a service is overloaded, and where engines are unavailable.

    `unavailable_domains` names the domains that recently had no reclaimable engines.
    `engine_need` is known at `now_s` of services that are planned by capacity;
    the engines that run have `mean_speed` times the usual speed.
    """

    is_overloaded: bool = False
    unavailable_domains: Collection[str] = ()
    engine_need: EngineNeed | None = None
    mean_speed: float = 1.0
    now_s: float = 0.0


class EngineCountPlan(Protocol):
    """A strategy for the numbers of engines of a service."""

    def wanted(
        self,
        scaling: ScalingRange,
        engines: Sequence[RegisteredTarget],
        need: FleetNeed,
    ) -> list[WantedCount]:
        """Return the wanted counts, including the engines that already run."""


class EnginePlan:
    """Computes the wanted number of engines of a service."""

    def __init__(self, settings: EnginePlanSettings) -> None:
        self._settings = settings

    def wanted(
        self,
        scaling: ScalingRange,
        engines: Sequence[RegisteredTarget],
        need: FleetNeed,
    ) -> list[WantedCount]:
        """Return the wanted counts, including the engines that already run."""
        if scaling.reclaimable_price_share is None:
            return []
        domains = sorted(scaling.domain_prices)
        on_demand = _count_by_domain(engines, is_reclaimable=False)
        reclaimable = _count_by_domain(engines, is_reclaimable=True)
        min_on_demand = self._min_on_demand(scaling)
        fallback = self._fallback_count(scaling, need)
        max_engines = self._max_engines(scaling, need)
        counts = []
        for domain in domains:
            missing = fallback - reclaimable[domain]
            if domain not in need.unavailable_domains:
                missing = min(missing, on_demand[domain])
            counts.append(
                WantedCount(domain, False, max(min_on_demand[domain], missing))
            )
            # The range limits both kinds together, so on-demand engines reduce
            # the headroom of reclaimable ones.
            headroom = max(0, max_engines - on_demand[domain])
            counts.append(WantedCount(domain, True, headroom))
        return counts

    def _fallback_count(self, scaling: ScalingRange, need: FleetNeed) -> int:
        settings = self._settings
        share = settings.relaxed_fallback_share
        if need.is_overloaded:
            share = settings.fallback_share
        return math.ceil(share * scaling.max_targets)

    def _max_engines(self, scaling: ScalingRange, need: FleetNeed) -> int:
        """Return the wanted number of engines of both kinds per domain."""
        price_share = scaling.reclaimable_price_share
        if need.is_overloaded or not price_share:
            return scaling.max_targets
        affordable = self._settings.max_cost_share / price_share
        max_engines = math.ceil(min(1.0, affordable) * scaling.max_targets)
        return max(scaling.min_targets, max_engines)

    def _min_on_demand(self, scaling: ScalingRange) -> Counter[str]:
        """Return the number of on-demand engines to keep by domain."""
        prices = scaling.domain_prices
        cheapest = sorted(prices, key=lambda domain: (prices[domain], domain))
        return Counter(cheapest[: self._settings.on_demand_domains])


def _count_by_domain(
    engines: Sequence[RegisteredTarget], *, is_reclaimable: bool
) -> Counter[str]:
    return Counter(
        engine.domain
        for engine in engines
        if engine.is_reclaimable is is_reclaimable
    )
