"""Carries out what the fleet's decisions want: drained, one at a time."""

from collections.abc import Callable
from functools import partial
from typing import ClassVar

import attrs

from dandelionyoke_core import (
    Action,
    Event,
    Output,
    Presence,
    Role,
    RoleWanted,
    TargetId,
    TargetsWanted,
)
from dandelionyoke_standins._policy_clock import VirtualClock
from dandelionyoke_standins._policy_platform import PlatformFake, TargetBox
from dandelionyoke_standins._policy_targets import TargetSide

ROLE_CHANGE_S = 3.0
LOOK_S = 0.25
DRAIN_LIMIT_S = 90.0


@attrs.frozen
class CarryOut(Action):
    """Act on a wish of the fleet's decisions."""

    wish: RoleWanted | TargetsWanted


class OrdersPart:
    """Turns the fleet's wishes into orders of the run."""

    handles: ClassVar[tuple[type[Event], ...]] = (RoleWanted, TargetsWanted)

    _wakeup_s: float | None = None

    def handle(self, event: Event, now_s: float) -> list[Output]:
        """Pass a wish on."""
        if isinstance(event, RoleWanted | TargetsWanted):
            return [CarryOut(event)]
        return []

    def next_wakeup_s(self) -> float | None:
        """Never."""
        return self._wakeup_s


class OrderDesk:
    """Drains targets, changes roles, adds targets and gives them back."""

    def __init__(
        self,
        clock: VirtualClock,
        platform: PlatformFake,
        targets: TargetSide,
    ) -> None:
        self.role_changes = 0
        self._clock = clock
        self._platform = platform
        self._targets = targets
        self._busy: set[TargetId] = set()

    def perform(self, action: CarryOut) -> None:
        """Act on a wish."""
        match action.wish:
            case RoleWanted(target_id=target_id, role=role):
                self._change_role(self._platform.boxes[target_id], role)
            case TargetsWanted():
                self._change_targets(action.wish)

    def _change_role(self, box: TargetBox, role: Role) -> None:
        target_id = box.target.target_id
        if target_id in self._busy or box.engine.role is role:
            return
        self._busy.add(target_id)
        box.engine.draining = True
        self._when_idle(box, partial(self._begin_role, box, role), 0)

    def _begin_role(self, box: TargetBox, role: Role) -> None:
        until_s = self._clock.now_s + ROLE_CHANGE_S
        self.role_changes += 1
        box.engine.draining = False
        box.engine.changing_until_s = until_s
        self._clock.at(until_s, partial(self._end_role, box, role))

    def _end_role(self, box: TargetBox, role: Role) -> None:
        box.engine.become(role, self._clock.now_s)
        self._busy.discard(box.target.target_id)

    def _change_targets(self, wish: TargetsWanted) -> None:
        kinds = ((False, wish.add_steady), (True, wish.add_reclaimable))
        for reclaimable, count in kinds:
            for _ in range(count):
                self._platform.add(
                    wish.service,
                    wish.domain,
                    self._clock.now_s,
                    reclaimable=reclaimable,
                )
        for target_id in wish.remove:
            self._remove(self._platform.boxes[target_id])

    def _remove(self, box: TargetBox) -> None:
        target_id = box.target.target_id
        if target_id in self._busy:
            return
        self._busy.add(target_id)
        box.engine.draining = True
        self._platform.mark(box, Presence.LEAVING)
        end = partial(self._targets.end_target, box, reclaimed=False)
        self._when_idle(box, end, 0)

    def _when_idle(
        self, box: TargetBox, then: Callable[[], None], waited_s: float
    ) -> None:
        if box.gone_s is not None:
            return
        # New work may still be on its way right after the drain began.
        if waited_s and not box.engine.busy:
            then()
            return
        if waited_s > DRAIN_LIMIT_S:
            box.engine.draining = False
            self._busy.discard(box.target.target_id)
            return
        again = partial(self._when_idle, box, then, waited_s + LOOK_S)
        self._clock.later(LOOK_S, again)
