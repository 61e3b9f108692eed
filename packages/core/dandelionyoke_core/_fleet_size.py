"""Scales the number of targets of a service up and down, by load and cost."""

from collections import Counter
from collections.abc import Sequence

import attrs

from dandelionyoke_core._entities import Service
from dandelionyoke_core._fleet_notices import FleetSizeChangeRequested
from dandelionyoke_core._fleet_settings import FleetSettings
from dandelionyoke_core._fleet_view import FleetScope, TargetStatus
from dandelionyoke_core._names import Domain
from dandelionyoke_core._role_plan import WorkRow, utilisation


@attrs.define
class TargetCountScaler:
    """Decides on the number of targets of one service in one domain.

    New targets start too late for a short swing in load, so decisions use
    the slow work mix and only conditions that have lasted. Work flows
    between domains, so the load of all targets counts; the domain with the
    fewest targets adds one and the domain with the most removes one. During
    a network partition each side sees its own targets and decides alone.
    """

    settings: FleetSettings
    _overloaded_since_s: float | None = None
    _underused_since_s: float | None = None
    _cooldown_until_s: float = 0.0

    def decide(
        self,
        scope: FleetScope,
        service: Service,
        rows: Sequence[WorkRow],
        statuses: Sequence[TargetStatus],
        now_s: float,
    ) -> list[FleetSizeChangeRequested]:
        """Request one more target, one fewer, or no change."""
        usable = [status for status in statuses if status.is_usable]
        local = [
            candidate
            for candidate in usable
            if candidate.target.domain == scope.domain
        ]
        if not local or now_s < self._cooldown_until_s:
            return []
        self._update_load(rows, usable, now_s)
        if self._should_scale_up(scope, service, statuses, now_s):
            return self._start_cooldown(
                _scale_up(scope, service, statuses), now_s
            )
        if self._should_scale_down(scope, service, statuses, now_s):
            return self._start_cooldown(_scale_down(scope, local), now_s)
        return []

    def _should_scale_up(
        self,
        scope: FleetScope,
        service: Service,
        statuses: Sequence[TargetStatus],
        now_s: float,
    ) -> bool:
        after_s = self.settings.grow_after_s
        if not _has_lasted(self._overloaded_since_s, after_s, now_s):
            return False
        by_domain = _counts_by_domain(statuses)
        smallest = min(by_domain, key=lambda name: (by_domain[name], name))
        return len(statuses) < service.max_targets and smallest == scope.domain

    def _should_scale_down(
        self,
        scope: FleetScope,
        service: Service,
        statuses: Sequence[TargetStatus],
        now_s: float,
    ) -> bool:
        after_s = self.settings.shrink_after_s
        if not _has_lasted(self._underused_since_s, after_s, now_s):
            return False
        by_domain = _counts_by_domain(statuses)
        largest = max(by_domain, key=lambda name: (by_domain[name], name))
        if len(statuses) <= service.min_targets or by_domain[largest] < 2:
            return False
        return largest == scope.domain

    def _update_load(
        self,
        rows: Sequence[WorkRow],
        usable: Sequence[TargetStatus],
        now_s: float,
    ) -> None:
        settings = self.settings
        counts = Counter(status.role for status in usable)
        is_overloaded = (
            utilisation(rows, counts, settings.speed)
            > settings.grow_utilisation
        )
        counts[_choose_removal(usable).role] -= 1
        reduced_utilisation = (
            0 if is_overloaded else utilisation(rows, counts, settings.speed)
        )
        is_underused = (
            not is_overloaded
            and reduced_utilisation < settings.shrink_utilisation
        )
        self._overloaded_since_s = _condition_since(
            is_overloaded, self._overloaded_since_s, now_s
        )
        self._underused_since_s = _condition_since(
            is_underused, self._underused_since_s, now_s
        )

    def _start_cooldown(
        self, request: FleetSizeChangeRequested, now_s: float
    ) -> list[FleetSizeChangeRequested]:
        self._overloaded_since_s = None
        self._underused_since_s = None
        self._cooldown_until_s = now_s + self.settings.size_cooldown_s
        return [request]


def _scale_up(
    scope: FleetScope, service: Service, statuses: Sequence[TargetStatus]
) -> FleetSizeChangeRequested:
    """Add a spot target while the allowed share permits it, else on-demand."""
    reclaimable = sum(status.target.reclaimable for status in statuses)
    allowed = service.reclaimable_share * (len(statuses) + 1)
    is_spot_allowed = reclaimable + 1 <= allowed
    return FleetSizeChangeRequested(
        service=scope.service,
        domain=scope.domain,
        fence=scope.fence,
        reason='the targets have been saturated for longer than grow_after_s',
        add_on_demand=int(not is_spot_allowed),
        add_reclaimable=int(is_spot_allowed),
    )


def _scale_down(
    scope: FleetScope, usable: Sequence[TargetStatus]
) -> FleetSizeChangeRequested:
    return FleetSizeChangeRequested(
        service=scope.service,
        domain=scope.domain,
        fence=scope.fence,
        reason='one target fewer has sufficed for longer than shrink_after_s',
        remove=(_choose_removal(usable).target.target_id,),
    )


def _counts_by_domain(statuses: Sequence[TargetStatus]) -> Counter[Domain]:
    return Counter(status.target.domain for status in statuses)


def _choose_removal(usable: Sequence[TargetStatus]) -> TargetStatus:
    """Choose the target to remove: on-demand targets before spot targets.

    Among equals, choose the one with the fewest calls, which drains first.
    """
    return min(
        usable,
        key=lambda status: (
            status.target.reclaimable,
            status.calls,
            status.target.target_id,
        ),
    )


def _condition_since(
    holds: bool, since_s: float | None, now_s: float
) -> float | None:
    if not holds:
        return None
    return now_s if since_s is None else since_s


def _has_lasted(since_s: float | None, limit_s: float, now_s: float) -> bool:
    return since_s is not None and now_s - since_s >= limit_s
