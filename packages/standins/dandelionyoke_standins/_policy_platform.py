"""The targets of a run: ordered, listed late, reclaimed, crashed."""

from collections.abc import Iterator

import attrs

from dandelionyoke_core import (
    Domain,
    Presence,
    Role,
    ServiceName,
    Target,
    TargetId,
    TargetKind,
)
from dandelionyoke_standins._policy_engine import (
    EngineFake,
    EngineFakeSettings,
)
from dandelionyoke_standins._policy_workload import Deployment, TargetGroup

STEADY_PRICE_PER_H = 1.0
RECLAIMABLE_PRICE_PER_H = 0.35
BOOT_S = 60.0
SECONDS_PER_H = 3600


@attrs.define(eq=False)
class TargetBox:
    """A target with its engine and the time that is paid for."""

    target: Target
    engine: EngineFake
    ready_s: float
    paid_from_s: float
    gone_s: float | None = None
    ticking: bool = False

    def serves(self, now_s: float) -> bool:
        """Whether it answers at all."""
        return self.gone_s is None and now_s >= self.ready_s

    def cost(self, until_s: float) -> float:
        """What it cost up to a time."""
        end_s = until_s if self.gone_s is None else self.gone_s
        price = STEADY_PRICE_PER_H
        if self.target.reclaimable:
            price = RECLAIMABLE_PRICE_PER_H
        return max(0, end_s - self.paid_from_s) * price / SECONDS_PER_H


class PlatformFake:
    """Every target that there was, and the list as the platform gives it."""

    def __init__(
        self, deployment: Deployment, settings: EngineFakeSettings
    ) -> None:
        self.boxes: dict[TargetId, TargetBox] = {}
        self._settings = settings
        self._listing: tuple[Target, ...] = ()
        for group in deployment.groups:
            self._fill(group)
        self.refresh(0)

    def refresh(self, now_s: float) -> None:
        """Bring the list up to date; in between it lags."""
        self._listing = tuple(
            box.target for box in self.boxes.values() if box.serves(now_s)
        )

    def listing(self) -> tuple[Target, ...]:
        """Give the list."""
        return self._listing

    def live(self, now_s: float) -> Iterator[TargetBox]:
        """Go through the targets that answer."""
        return (box for box in self.boxes.values() if box.serves(now_s))

    def add(
        self,
        service: ServiceName,
        domain: Domain,
        now_s: float,
        *,
        reclaimable: bool,
        plain: bool = False,
        boot_s: float = BOOT_S,
    ) -> TargetBox:
        """Order a target; it is paid at once and serves after its boot."""
        name = TargetId(f'{service}-{domain}-{len(self.boxes)}')
        kind = TargetKind.PLAIN if plain else TargetKind.ENGINE
        target = Target(name, service, domain, name, kind, reclaimable)
        engine = EngineFake(name, self._settings, Role.MIXED)
        box = TargetBox(target, engine, now_s + boot_s, now_s)
        self.boxes[name] = box
        return box

    def mark(self, box: TargetBox, state: Presence) -> None:
        """Say that a target is leaving or reclaimed."""
        box.target = attrs.evolve(box.target, state=state)

    def cost(self, until_s: float) -> float:
        """What all targets cost up to a time."""
        return sum(box.cost(until_s) for box in self.boxes.values())

    def _fill(self, group: TargetGroup) -> None:
        for number in range(group.steady + group.reclaimable):
            self.add(
                group.service,
                group.domain,
                0,
                reclaimable=number >= group.steady,
                plain=group.plain,
                boot_s=0,
            )
