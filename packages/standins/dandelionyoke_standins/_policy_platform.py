"""The platform of a run: it starts, lists and bills the targets."""

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
    SimulatedEngine,
    SimulatedEngineSettings,
)
from dandelionyoke_standins._policy_workload import Deployment, TargetGroup

ON_DEMAND_PRICE_PER_HOUR = 1.0
RECLAIMABLE_PRICE_PER_HOUR = 0.35
BOOT_TIME_S = 60.0
SECONDS_PER_HOUR = 3600


@attrs.define(eq=False)
class SimulatedTarget:
    """A target with its engine and the period for which it is billed."""

    target: Target
    engine: SimulatedEngine
    ready_s: float
    billed_from_s: float
    removed_s: float | None = None
    is_stepping: bool = False

    def is_serving(self, now_s: float) -> bool:
        """Return whether the target has booted and is not removed."""
        return self.removed_s is None and now_s >= self.ready_s

    def cost(self, until_s: float) -> float:
        """Return the cost of the target up to a time."""
        end_s = until_s if self.removed_s is None else self.removed_s
        price = ON_DEMAND_PRICE_PER_HOUR
        if self.target.reclaimable:
            price = RECLAIMABLE_PRICE_PER_HOUR
        return max(0, end_s - self.billed_from_s) * price / SECONDS_PER_HOUR


class SimulatedPlatform:
    """All targets of a run, including removed ones, and the target listing."""

    def __init__(
        self, deployment: Deployment, settings: SimulatedEngineSettings
    ) -> None:
        self.targets: dict[TargetId, SimulatedTarget] = {}
        self._settings = settings
        self._listing: tuple[Target, ...] = ()
        for group in deployment.groups:
            self._add_group(group)
        self.refresh(0)

    def refresh(self, now_s: float) -> None:
        """Update the listing, which is stale between updates."""
        self._listing = tuple(
            simulated_target.target
            for simulated_target in self.targets.values()
            if simulated_target.is_serving(now_s)
        )

    def listing(self) -> tuple[Target, ...]:
        """Return the targets as of the last update."""
        return self._listing

    def live(self, now_s: float) -> Iterator[SimulatedTarget]:
        """Return the targets that serve now."""
        return (
            simulated_target
            for simulated_target in self.targets.values()
            if simulated_target.is_serving(now_s)
        )

    def add(
        self,
        service: ServiceName,
        domain: Domain,
        now_s: float,
        *,
        reclaimable: bool,
        plain: bool = False,
        boot_s: float = BOOT_TIME_S,
    ) -> SimulatedTarget:
        """Start a target; it is billed at once and serves after its boot."""
        name = TargetId(f'{service}-{domain}-{len(self.targets)}')
        kind = TargetKind.PLAIN if plain else TargetKind.ENGINE
        target = Target(name, service, domain, name, kind, reclaimable)
        engine = SimulatedEngine(name, self._settings, Role.MIXED)
        simulated_target = SimulatedTarget(
            target, engine, now_s + boot_s, now_s
        )
        self.targets[name] = simulated_target
        return simulated_target

    def set_state(
        self, simulated_target: SimulatedTarget, state: Presence
    ) -> None:
        """Set the state of a target, such as leaving or reclaimed."""
        simulated_target.target = attrs.evolve(
            simulated_target.target, state=state
        )

    def cost(self, until_s: float) -> float:
        """Return the cost of all targets up to a time."""
        return sum(
            simulated_target.cost(until_s)
            for simulated_target in self.targets.values()
        )

    def _add_group(self, group: TargetGroup) -> None:
        for number in range(group.on_demand_count + group.reclaimable_count):
            self.add(
                group.service,
                group.domain,
                0,
                reclaimable=number >= group.on_demand_count,
                plain=group.plain,
                boot_s=0,
            )
