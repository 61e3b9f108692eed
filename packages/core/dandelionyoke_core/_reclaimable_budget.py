"""The budget for sending a service's work to reclaimable (spot) targets."""

import attrs

from dandelionyoke_core._rate import DecayingRate

WINDOW_S = 60.0
# Headroom for the first calls, so that a share of only a few calls is not 0.
BURST_ENGINE_S = 1.0


def _make_rate() -> DecayingRate:
    return DecayingRate(WINDOW_S)


@attrs.define
class ReclaimableBudget:
    """The work that this entry sent recently, in engine seconds."""

    _total: DecayingRate = attrs.field(factory=_make_rate)
    _reclaimable: DecayingRate = attrs.field(factory=_make_rate)

    def add(self, engine_s: float, now_s: float, *, reclaimable: bool) -> None:
        """Record work that was sent."""
        self._total.add(engine_s, now_s)
        if reclaimable:
            self._reclaimable.add(engine_s, now_s)

    def allows(self, engine_s: float, share: float, now_s: float) -> bool:
        """Return whether this work may go to a reclaimable target."""
        if share <= 0:
            return False
        total = self._total.amount(now_s) + engine_s + BURST_ENGINE_S
        reclaimable = self._reclaimable.amount(now_s) + engine_s
        return reclaimable <= share * total
