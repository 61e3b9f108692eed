"""Notices with which the fleet part requests changes from the orders part."""

import attrs

from dandelionyoke_core._events import Notice
from dandelionyoke_core._names import Domain, ServiceName, TargetId
from dandelionyoke_core._records import Role


@attrs.frozen
class RoleChangeRequested(Notice):
    """Requests a role change of an engine: drain, change role, undrain.

    The request is repeated until the target reports the role; the orders
    part treats a repeated request as the same one. `fence` is the fencing
    token of the duty under which the change was decided.
    """

    target_id: TargetId
    service: ServiceName
    role: Role
    fence: int
    reason: str


@attrs.frozen
class FleetSizeChangeRequested(Notice):
    """Requests more targets for a service in a domain, or fewer.

    `add_on_demand` counts on-demand targets, `add_reclaimable` spot targets.
    Targets in `remove` must be drained before they are returned to the
    platform.
    """

    service: ServiceName
    domain: Domain
    fence: int
    reason: str
    add_on_demand: int = 0
    add_reclaimable: int = 0
    remove: tuple[TargetId, ...] = ()
