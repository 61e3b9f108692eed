"""Application of the fleet part's decisions to the simulated targets.

A target is drained before its role changes or it is removed, and has one
change at a time.
"""

from collections.abc import Callable
from functools import partial
from typing import ClassVar

import attrs

from dandelionyoke_core import (
    Action,
    Event,
    FleetSizeChangeRequested,
    Output,
    Presence,
    Role,
    RoleChangeRequested,
    TargetId,
)
from dandelionyoke_standins._policy_clock import VirtualClock
from dandelionyoke_standins._policy_platform import (
    SimulatedPlatform,
    SimulatedTarget,
)
from dandelionyoke_standins._policy_targets import TargetPool

ROLE_CHANGE_DURATION_S = 3.0
IDLE_CHECK_INTERVAL_S = 0.25
DRAIN_TIMEOUT_S = 90.0


@attrs.frozen
class ApplyDecision(Action):
    """Request to apply a decision of the fleet part."""

    decision: RoleChangeRequested | FleetSizeChangeRequested


class OrdersPart:
    """Node part that requests the simulation to apply the fleet's decisions."""

    handles: ClassVar[tuple[type[Event], ...]] = (
        RoleChangeRequested,
        FleetSizeChangeRequested,
    )

    _wakeup_s: float | None = None

    def handle(self, event: Event, now_s: float) -> list[Output]:
        """Return the action that applies a decision."""
        if isinstance(event, RoleChangeRequested | FleetSizeChangeRequested):
            return [ApplyDecision(event)]
        return []

    def next_wakeup_s(self) -> float | None:
        """Return None: this part needs no wakeup."""
        return self._wakeup_s


class OrderExecutor:
    """Executor that drains, adds and removes targets and changes roles."""

    def __init__(
        self,
        clock: VirtualClock,
        platform: SimulatedPlatform,
        targets: TargetPool,
    ) -> None:
        self.role_changes = 0
        self._clock = clock
        self._platform = platform
        self._targets = targets
        self._changing: set[TargetId] = set()

    def apply(self, action: ApplyDecision) -> None:
        """Apply a decision."""
        match action.decision:
            case RoleChangeRequested(target_id=target_id, role=role):
                self._change_role(self._platform.targets[target_id], role)
            case FleetSizeChangeRequested():
                self._change_targets(action.decision)

    def _change_role(
        self, simulated_target: SimulatedTarget, role: Role
    ) -> None:
        target_id = simulated_target.target.target_id
        if target_id in self._changing or simulated_target.engine.role is role:
            return
        self._changing.add(target_id)
        simulated_target.engine.draining = True
        self._run_when_idle(
            simulated_target,
            partial(self._begin_role_change, simulated_target, role),
            0,
        )

    def _begin_role_change(
        self, simulated_target: SimulatedTarget, role: Role
    ) -> None:
        until_s = self._clock.now_s + ROLE_CHANGE_DURATION_S
        self.role_changes += 1
        simulated_target.engine.draining = False
        simulated_target.engine.role_change_until_s = until_s
        self._clock.call_at(
            until_s, partial(self._end_role_change, simulated_target, role)
        )

    def _end_role_change(
        self, simulated_target: SimulatedTarget, role: Role
    ) -> None:
        simulated_target.engine.switch_role(role, self._clock.now_s)
        self._changing.discard(simulated_target.target.target_id)

    def _change_targets(self, decision: FleetSizeChangeRequested) -> None:
        additions = (
            (False, decision.add_on_demand),
            (True, decision.add_reclaimable),
        )
        for reclaimable, count in additions:
            for _ in range(count):
                self._platform.add(
                    decision.service,
                    decision.domain,
                    self._clock.now_s,
                    reclaimable=reclaimable,
                )
        for target_id in decision.remove:
            self._drain_and_remove(self._platform.targets[target_id])

    def _drain_and_remove(self, simulated_target: SimulatedTarget) -> None:
        target_id = simulated_target.target.target_id
        if target_id in self._changing:
            return
        self._changing.add(target_id)
        simulated_target.engine.draining = True
        self._platform.set_state(simulated_target, Presence.LEAVING)
        remove_target = partial(
            self._targets.remove_target, simulated_target, reclaimed=False
        )
        self._run_when_idle(simulated_target, remove_target, 0)

    def _run_when_idle(
        self,
        simulated_target: SimulatedTarget,
        callback: Callable[[], None],
        waited_s: float,
    ) -> None:
        if simulated_target.removed_s is not None:
            return
        # Attempts may still be in flight right after the drain starts.
        if waited_s and not simulated_target.engine.has_work:
            callback()
            return
        if waited_s > DRAIN_TIMEOUT_S:
            simulated_target.engine.draining = False
            self._changing.discard(simulated_target.target.target_id)
            return
        check_again = partial(
            self._run_when_idle,
            simulated_target,
            callback,
            waited_s + IDLE_CHECK_INTERVAL_S,
        )
        self._clock.call_later(IDLE_CHECK_INTERVAL_S, check_again)
