"""How many engines of each kind a service should have, by failure domain.

Reclaimable engines cost a fraction of the others, but all of a domain can be
taken away on a few seconds' notice. So each domain keeps a few steady engines
for the work that is hard to move, and the rest are reclaimable, more of them
than the load needs: when one domain loses its own, the others carry on.
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

    `wanted_share` of the most that a domain may have, which is about half as
    many again as the operator starts with: at a fifth to a sixth of the price
    they cost about six tenths of what those cost. Below `scarce_share` of the engines wanted in
    all domains together, steady ones are ordered for those that are missing.
    """

    wanted_share: float = 0.8
    steady_in_domain: int = 1
    scarce_share: float = 0.6


@attrs.frozen
class WantedCount:
    """A number of engines of one kind wanted in a domain."""

    domain: str
    is_reclaimable: bool
    count: int


class EnginePlan:
    """Compares the engines of a service with the range it may have."""

    def __init__(self, settings: EnginePlanSettings) -> None:
        self._settings = settings

    def wanted(
        self,
        scaling: ScalingRange,
        engines: Sequence[RegisteredTarget],
        refusing: Collection[str] = (),
    ) -> list[WantedCount]:
        """List the counts wanted, those that are already there included.

        `refusing` names the domains in which no reclaimable engines are to
        be had; the others take their part as far as the range allows.
        """
        if scaling.reclaimable_price_share is None:
            return []
        total = self._total(scaling)
        domains = sorted(scaling.domain_prices)
        is_scarce = len(engines) < (
            self._settings.scarce_share * total * len(domains)
        )
        steady = _by_domain(engines, is_reclaimable=False)
        reclaimable = _by_domain(engines, is_reclaimable=True)
        spread = self._spread(scaling, total, domains, refusing)
        found = []
        for domain in domains:
            count = self._steady(
                total - reclaimable[domain], steady[domain], is_scarce
            )
            found.append(WantedCount(domain, False, count))
            found.append(WantedCount(domain, True, spread[domain]))
        return found

    def _spread(
        self,
        scaling: ScalingRange,
        total: int,
        domains: Sequence[str],
        refusing: Collection[str],
    ) -> dict[str, int]:
        """Choose the number of reclaimable engines of each domain."""
        usual = max(0, total - self._settings.steady_in_domain)
        most = max(0, scaling.most - self._settings.steady_in_domain)
        giving = [domain for domain in domains if domain not in refusing]
        missing = usual * (len(domains) - len(giving))
        more = math.ceil(missing / len(giving)) if giving else 0
        return {
            domain: min(most, usual + more) if domain in giving else usual
            for domain in domains
        }

    def _total(self, scaling: ScalingRange) -> int:
        share = math.ceil(self._settings.wanted_share * scaling.most)
        return max(scaling.least, min(scaling.most, share))

    def _steady(self, missing: int, present: int, is_scarce: bool) -> int:
        """Choose the number of steady engines of a domain.

        Those that are there are kept until reclaimable ones have come.
        """
        if not is_scarce:
            missing = min(missing, present)
        return max(self._settings.steady_in_domain, missing)


def _by_domain(
    engines: Sequence[RegisteredTarget], *, is_reclaimable: bool
) -> Counter[str]:
    return Counter(
        one.domain for one in engines if one.is_reclaimable is is_reclaimable
    )
