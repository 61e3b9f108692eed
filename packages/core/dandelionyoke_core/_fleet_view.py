"""What the fleet's decisions ask other parts on the spot."""

from typing import Protocol

import attrs

from dandelionyoke_core._names import Domain, ServiceName
from dandelionyoke_core._records import Role, Target
from dandelionyoke_core._work_mix import MixRow


@attrs.frozen
class TargetSight:
    """A target as routing sees it; `is_reached` if it answers its polls."""

    target: Target
    role: Role
    calls: float
    is_usable: bool
    is_reached: bool


class TargetView(Protocol):
    """Shows the targets of a service."""

    def sights(
        self, service: ServiceName, now_s: float
    ) -> tuple[TargetSight, ...]:
        """Show the targets of a service, everywhere."""

    def fresh_share(self, service: ServiceName) -> float:
        """Tell which part of the prompts is not found in caches."""


class WorkView(Protocol):
    """Shows what is asked for."""

    def mix(self, service: ServiceName, now_s: float) -> tuple[MixRow, ...]:
        """Estimate the work that all entries are asked for."""


@attrs.frozen
class FleetPlace:
    """Where the decisions are made and for whom."""

    domain: Domain
    service: ServiceName
    fence: int
