"""How many engines of each kind a service should have, by failure domain.

Reclaimable engines cost a fraction of the others, but all of a domain can be
taken away on a few seconds' notice, and none may be had there for a while. So
a few steady engines stay for the work that is hard to move, and the range is
filled with reclaimable ones, more than the load needs: when one domain loses
its own, the others carry on. Steady engines stand in where too few are left.
"""

import math
from collections import Counter
from collections.abc import Collection, Sequence

import attrs

from dandelionyoke_dispatch._configuration import ScalingRange
from dandelionyoke_dispatch._registry import RegisteredTarget


@attrs.frozen
class EnginePlanSettings:
    """How far the range is used, and when steady engines stand in.

    Unless callers wait, reclaimable engines fill the range as far as they
    cost no more than `afforded_share` of what the whole of it would cost at
    the full price. `steady_domains` is the number of domains, the cheapest
    ones, that keep a steady engine each. Where a domain has no reclaimable
    engines to give, steady ones stand in up to `assured_share` of the most it
    may have, less while callers do not wait. The room above that lets the
    first reclaimable ones come before those that stood in go.
    """

    afforded_share: float = 0.25
    steady_domains: int = 2
    assured_share: float = 0.6
    assured_share_calm: float = 0.3


@attrs.frozen
class WantedCount:
    """A number of engines of one kind wanted in a domain."""

    domain: str
    is_reclaimable: bool
    count: int


@attrs.frozen
class FleetNeed:
    """Whether callers wait too long, and which domains could not give.

    `refusing` names those that had no reclaimable engines of late.
    """

    is_strained: bool = False
    refusing: Collection[str] = ()


class EnginePlan:
    """Compares the engines of a service with the range it may have."""

    def __init__(self, settings: EnginePlanSettings) -> None:
        self._settings = settings

    def wanted(
        self,
        scaling: ScalingRange,
        engines: Sequence[RegisteredTarget],
        need: FleetNeed,
    ) -> list[WantedCount]:
        """List the counts wanted, those that are already there included."""
        if scaling.reclaimable_price_share is None:
            return []
        domains = sorted(scaling.domain_prices)
        steady = _by_domain(engines, is_reclaimable=False)
        reclaimable = _by_domain(engines, is_reclaimable=True)
        kept = self._kept(scaling)
        assured = self._assured(scaling, need)
        most = self._most(scaling, need)
        found = []
        for domain in domains:
            missing = assured - reclaimable[domain]
            if domain not in need.refusing:
                missing = min(missing, steady[domain])
            found.append(WantedCount(domain, False, max(kept[domain], missing)))
            # The range holds both kinds, so that reclaimable engines get the
            # room that steady ones leave.
            room = max(0, most - steady[domain])
            found.append(WantedCount(domain, True, room))
        return found

    def _assured(self, scaling: ScalingRange, need: FleetNeed) -> int:
        settings = self._settings
        share = settings.assured_share_calm
        if need.is_strained:
            share = settings.assured_share
        return math.ceil(share * scaling.most)

    def _most(self, scaling: ScalingRange, need: FleetNeed) -> int:
        """Tell how many engines of both kinds a domain is to have."""
        price_share = scaling.reclaimable_price_share
        if need.is_strained or not price_share:
            return scaling.most
        afforded = self._settings.afforded_share / price_share
        most = math.ceil(min(1.0, afforded) * scaling.most)
        return max(scaling.least, most)

    def _kept(self, scaling: ScalingRange) -> Counter[str]:
        """Choose the domains that keep a steady engine: the cheapest."""
        prices = scaling.domain_prices
        cheapest = sorted(prices, key=lambda domain: (prices[domain], domain))
        return Counter(cheapest[: self._settings.steady_domains])


def _by_domain(
    engines: Sequence[RegisteredTarget], *, is_reclaimable: bool
) -> Counter[str]:
    return Counter(
        one.domain for one in engines if one.is_reclaimable is is_reclaimable
    )
