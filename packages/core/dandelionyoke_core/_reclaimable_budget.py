"""How much of a service's work may go to reclaimable targets."""

import attrs

from dandelionyoke_core._rate import DecayingRate

WINDOW_S = 60.0
# Room for the first calls, so that a share of a few calls is not zero.
BURST_ENGINE_S = 1.0


def _make_rate() -> DecayingRate:
    return DecayingRate(WINDOW_S)


@attrs.define
class ReclaimableBudget:
    """Work that this entry sent lately, in seconds of an engine."""

    _total: DecayingRate = attrs.field(factory=_make_rate)
    _reclaimable: DecayingRate = attrs.field(factory=_make_rate)

    def add(self, engine_s: float, now_s: float, *, reclaimable: bool) -> None:
        """Count work that was sent."""
        self._total.add(engine_s, now_s)
        if reclaimable:
            self._reclaimable.add(engine_s, now_s)

    def allows(self, engine_s: float, share: float, now_s: float) -> bool:
        """Tell whether more work may go to reclaimable targets."""
        if share <= 0:
            return False
        total = self._total.amount(now_s) + engine_s + BURST_ENGINE_S
        reclaimable = self._reclaimable.amount(now_s) + engine_s
        return reclaimable <= share * total
