"""How many targets of which kind a service needs, by cost."""

from collections import Counter
from collections.abc import Sequence

import attrs

from dandelionyoke_core._entities import Service
from dandelionyoke_core._fleet_notices import TargetsWanted
from dandelionyoke_core._fleet_settings import FleetSettings
from dandelionyoke_core._fleet_view import FleetPlace, TargetSight
from dandelionyoke_core._names import Domain
from dandelionyoke_core._role_plan import WorkRow, stress


@attrs.define
class SizeDecider:
    """Decides on the number of targets of one service in one domain.

    New targets come too late for a swing, so it looks at the slow mix, and
    only at what has lasted. Work flows between domains, so it looks at all
    targets; of the domains, the poorest grows and the richest shrinks. In a
    cut each side sees its own targets and decides for itself.
    """

    settings: FleetSettings
    _full_since_s: float | None = None
    _idle_since_s: float | None = None
    _quiet_until_s: float = 0.0

    def decide(
        self,
        place: FleetPlace,
        service: Service,
        rows: Sequence[WorkRow],
        sights: Sequence[TargetSight],
        now_s: float,
    ) -> list[TargetsWanted]:
        """Ask for one more target, or one less, or nothing."""
        usable = [sight for sight in sights if sight.is_usable]
        here = [one for one in usable if one.target.domain == place.domain]
        if not here or now_s < self._quiet_until_s:
            return []
        self._note(rows, usable, now_s)
        if self._may_grow(place, service, sights, now_s):
            return self._settle(_grow(place, service, sights), now_s)
        if self._may_shrink(place, service, sights, now_s):
            return self._settle(_shrink(place, here), now_s)
        return []

    def _may_grow(
        self,
        place: FleetPlace,
        service: Service,
        sights: Sequence[TargetSight],
        now_s: float,
    ) -> bool:
        after_s = self.settings.grow_after_s
        if not _lasted(self._full_since_s, after_s, now_s):
            return False
        by_domain = _by_domain(sights)
        poorest = min(by_domain, key=lambda name: (by_domain[name], name))
        return len(sights) < service.max_targets and poorest == place.domain

    def _may_shrink(
        self,
        place: FleetPlace,
        service: Service,
        sights: Sequence[TargetSight],
        now_s: float,
    ) -> bool:
        after_s = self.settings.shrink_after_s
        if not _lasted(self._idle_since_s, after_s, now_s):
            return False
        by_domain = _by_domain(sights)
        richest = max(by_domain, key=lambda name: (by_domain[name], name))
        if len(sights) <= service.min_targets or by_domain[richest] < 2:
            return False
        return richest == place.domain

    def _note(
        self,
        rows: Sequence[WorkRow],
        usable: Sequence[TargetSight],
        now_s: float,
    ) -> None:
        settings = self.settings
        counts = Counter(sight.role for sight in usable)
        full = stress(rows, counts, settings.speed) > settings.grow_stress
        counts[_dearest(usable).role] -= 1
        less = 0 if full else stress(rows, counts, settings.speed)
        idle = not full and less < settings.shrink_stress
        self._full_since_s = _since(full, self._full_since_s, now_s)
        self._idle_since_s = _since(idle, self._idle_since_s, now_s)

    def _settle(self, wish: TargetsWanted, now_s: float) -> list[TargetsWanted]:
        self._full_since_s = None
        self._idle_since_s = None
        self._quiet_until_s = now_s + self.settings.size_settle_s
        return [wish]


def _grow(
    place: FleetPlace, service: Service, sights: Sequence[TargetSight]
) -> TargetsWanted:
    """Take the cheaper kind while its share of the targets allows it."""
    reclaimable = sum(sight.target.reclaimable for sight in sights)
    allowed = service.reclaimable_share * (len(sights) + 1)
    is_cheap = reclaimable + 1 <= allowed
    return TargetsWanted(
        service=place.service,
        domain=place.domain,
        fence=place.fence,
        reason='the targets have been full for a while',
        add_steady=int(not is_cheap),
        add_reclaimable=int(is_cheap),
    )


def _shrink(place: FleetPlace, usable: Sequence[TargetSight]) -> TargetsWanted:
    return TargetsWanted(
        service=place.service,
        domain=place.domain,
        fence=place.fence,
        reason='one target less would do, and has for a while',
        remove=(_dearest(usable).target.target_id,),
    )


def _by_domain(sights: Sequence[TargetSight]) -> Counter[Domain]:
    return Counter(sight.target.domain for sight in sights)


def _dearest(usable: Sequence[TargetSight]) -> TargetSight:
    """Choose what to give back: a steady target before a cheap one.

    Of equal ones the one with the least work goes, as it drains soonest.
    """
    return min(
        usable,
        key=lambda sight: (
            sight.target.reclaimable,
            sight.calls,
            sight.target.target_id,
        ),
    )


def _since(holds: bool, since_s: float | None, now_s: float) -> float | None:
    if not holds:
        return None
    return now_s if since_s is None else since_s


def _lasted(since_s: float | None, limit_s: float, now_s: float) -> bool:
    return since_s is not None and now_s - since_s >= limit_s
