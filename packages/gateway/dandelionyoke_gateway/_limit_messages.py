"""Messages with which nodes enforce rate limits jointly.

An account is an organisation or a target, as the scope says. Nodes of earlier
versions know accounts of organisations only, hence the name of that field.
"""

import math

import attrs

from dandelionyoke_core import PeerMessage
from dandelionyoke_dispatch import (
    GroupUse,
    LimitScope,
    LimitVerdict,
    TargetLimitNote,
)


@attrs.frozen
class ChargeAsked(PeerMessage):
    """Request to charge a large call; `number` identifies the request."""

    number: int
    organisation: str
    amount: float
    scope: LimitScope = LimitScope.ORGANISATION

    @property
    def is_valid(self) -> bool:
        """Whether the amount is valid: finite and not negative."""
        return math.isfinite(self.amount) and self.amount >= 0


@attrs.frozen
class ChargeTold(PeerMessage):
    """Answer to a `ChargeAsked` with the same number."""

    number: int
    verdict: LimitVerdict
    scope: LimitScope = LimitScope.ORGANISATION


@attrs.frozen
class UseReported(PeerMessage):
    """What a node admitted locally, less its refunds, by account.

    `notes` are the limits that targets named to it, or their ends.
    """

    amounts: dict[str, float]
    scope: LimitScope = LimitScope.ORGANISATION
    notes: tuple[TargetLimitNote, ...] = ()

    @property
    def is_valid(self) -> bool:
        """Whether all amounts are finite."""
        return all(map(math.isfinite, self.amounts.values()))


@attrs.frozen
class OverLimit(PeerMessage):
    """Accounts over their limits, with the seconds that remain."""

    for_s: dict[str, float]
    scope: LimitScope = LimitScope.ORGANISATION


@attrs.frozen
class GroupUseTold(PeerMessage):
    """What one domain's limiter has admitted since its start.

    `notes` are the limits of targets that it knows of, or their ends.
    """

    use: GroupUse
    scope: LimitScope = LimitScope.ORGANISATION
    notes: tuple[TargetLimitNote, ...] = ()

    @property
    def is_valid(self) -> bool:
        """Whether all figures are finite and the node count not negative."""
        is_finite = all(map(math.isfinite, self.use.spent.values()))
        return self.use.nodes >= 0 and is_finite
