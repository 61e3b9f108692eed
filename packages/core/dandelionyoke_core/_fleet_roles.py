"""Decisions on role changes: one engine at a time, with hysteresis."""

from collections import Counter
from collections.abc import Iterator, Sequence

import attrs

from dandelionyoke_core._fleet_notices import RoleChangeRequested
from dandelionyoke_core._fleet_settings import FleetSettings
from dandelionyoke_core._fleet_view import FleetScope, TargetStatus
from dandelionyoke_core._mix_history import MixHistory
from dandelionyoke_core._records import Role
from dandelionyoke_core._role_plan import (
    WorkRow,
    utilisation,
    with_role_changed,
)


@attrs.frozen
class RoleChange:
    """A requested role change and the time of its decision."""

    request: RoleChangeRequested
    decided_s: float


@attrs.define
class RoleDecider:
    """Decides on the role changes of one service in one domain."""

    settings: FleetSettings
    history: MixHistory
    _change: RoleChange | None = None
    _sent_s: float = 0.0
    _cooldown_until_s: float = 0.0

    def decide(
        self,
        scope: FleetScope,
        rows: Sequence[WorkRow],
        statuses: Sequence[TargetStatus],
        now_s: float,
    ) -> list[RoleChangeRequested]:
        """Track the pending change, or request one whose gain exceeds its cost."""
        self.history.learn(rows, self.settings.speed, now_s)
        if self._change is not None:
            return self._track(self._change, scope, statuses, now_s)
        if now_s < self._cooldown_until_s:
            return []
        # The first calls after a start are too few to estimate the mix.
        if self.history.observed_s(now_s) < self.settings.min_observation_s:
            return []
        request = self._find_best(scope, rows, statuses, now_s)
        if request is None:
            return []
        self._change = RoleChange(request, now_s)
        self._sent_s = now_s
        return [request]

    def cancel(self) -> None:
        """Drop the pending change, for example when another node decides."""
        self._change = None

    def _track(
        self,
        change: RoleChange,
        scope: FleetScope,
        statuses: Sequence[TargetStatus],
        now_s: float,
    ) -> list[RoleChangeRequested]:
        request = change.request
        is_done = any(
            status.target.target_id == request.target_id
            and status.role is request.role
            and status.is_usable
            for status in statuses
        )
        if (
            is_done
            or now_s - change.decided_s > self.settings.role_change_timeout_s
        ):
            self._change = None
            self._cooldown_until_s = now_s + self.settings.role_cooldown_s
            return []
        if now_s - self._sent_s < self.settings.resend_interval_s:
            return []
        self._sent_s = now_s
        return [attrs.evolve(request, fence=scope.fence)]

    def _find_best(
        self,
        scope: FleetScope,
        rows: Sequence[WorkRow],
        statuses: Sequence[TargetStatus],
        now_s: float,
    ) -> RoleChangeRequested | None:
        usable = [status for status in statuses if status.is_usable]
        # The work of a draining engine moves to the others of the domain.
        if len(usable) < 2 or len(usable) < len(statuses):
            return None
        counts = Counter(status.role for status in usable)
        speed = self.settings.speed
        before = utilisation(rows, counts, speed)
        if before <= self.settings.min_utilisation_for_change:
            return None
        candidates = [
            (
                utilisation(rows, with_role_changed(counts, old, new), speed),
                old,
                new,
            )
            for old, new in _possible_changes(counts)
        ]
        after, old, new = min(candidates, key=lambda candidate: candidate[0])
        gain_s = self._gain_s(before, after, len(usable), now_s)
        if gain_s < self.settings.change_cost_s * self.settings.gain_factor:
            return None
        chosen = min(
            (status for status in usable if status.role is old),
            key=lambda status: (status.calls, status.target.target_id),
        )
        reason = (
            f'stress {before:.2f} -> {after:.2f},'
            f' gain {gain_s:.0f} engine seconds'
        )
        return RoleChangeRequested(
            chosen.target.target_id, scope.service, new, scope.fence, reason
        )

    def _gain_s(
        self, before: float, after: float, engine_count: int, now_s: float
    ) -> float:
        """Return the engine seconds saved while the mix is expected to last."""
        settings = self.settings
        stable_s = self.history.stable_s(now_s)
        hold_s = min(settings.max_hold_s, max(settings.min_hold_s, stable_s))
        min_utilisation = settings.min_utilisation_for_change
        saved_share = max(before, min_utilisation) - max(after, min_utilisation)
        return saved_share * engine_count * hold_s


def _possible_changes(counts: Counter[Role]) -> Iterator[tuple[Role, Role]]:
    for old in Role:
        for new in Role:
            if old is not new and counts[old]:
                yield old, new
