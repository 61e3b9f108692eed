"""What the fleet's decisions ask of the part that gives orders."""

import attrs

from dandelionyoke_core._events import Notice
from dandelionyoke_core._names import Domain, ServiceName, TargetId
from dandelionyoke_core._records import Role


@attrs.frozen
class RoleWanted(Notice):
    """An engine should change its role: drain it, order, undrain it.

    It is asked for again while the target does not report the role; the
    part that gives the orders takes a repeated wish for the same one.
    `fence` is the number of the duty under which it was decided.
    """

    target_id: TargetId
    service: ServiceName
    role: Role
    fence: int
    reason: str


@attrs.frozen
class TargetsWanted(Notice):
    """A service should get more targets in a domain, or lose some.

    Targets in `remove` have to be drained before they are given back.
    """

    service: ServiceName
    domain: Domain
    fence: int
    reason: str
    add_steady: int = 0
    add_reclaimable: int = 0
    remove: tuple[TargetId, ...] = ()
