"""Protocols and value types through which the fleet part reads other parts."""

from typing import Protocol

import attrs

from dandelionyoke_core._names import Domain, ServiceName
from dandelionyoke_core._records import Role, Target
from dandelionyoke_core._work_mix import MixRow


@attrs.frozen
class TargetStatus:
    """State of a target as known to routing.

    `calls` is the number of calls in progress, `is_usable` whether the
    target takes new calls, and `is_reachable` whether it answers polls.
    """

    target: Target
    role: Role
    calls: float
    is_usable: bool
    is_reachable: bool


class TargetView(Protocol):
    """Provides the targets of a service."""

    def target_statuses(
        self, service: ServiceName, now_s: float
    ) -> tuple[TargetStatus, ...]:
        """Return the targets of a service in all domains."""

    def uncached_share(self, service: ServiceName) -> float:
        """Return the share of prompt tokens that are not in a KV cache."""


class WorkView(Protocol):
    """Provides the current demand."""

    def mix(self, service: ServiceName, now_s: float) -> tuple[MixRow, ...]:
        """Estimate the demand on all entries, per ratio of prompt to output."""


@attrs.frozen
class FleetScope:
    """Domain and service that a decision covers.

    `fence` is the fencing token of the duty that makes the decision.
    """

    domain: Domain
    service: ServiceName
    fence: int
