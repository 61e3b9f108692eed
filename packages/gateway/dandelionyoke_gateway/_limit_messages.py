"""Messages with which nodes enforce the organisations' rate limits jointly."""

import math

import attrs

from dandelionyoke_core import PeerMessage
from dandelionyoke_dispatch import GroupUse, LimitVerdict


@attrs.frozen
class ChargeAsked(PeerMessage):
    """Request to charge a large call; `number` identifies the request."""

    number: int
    organisation: str
    amount: float

    @property
    def is_valid(self) -> bool:
        """Whether the amount is valid: finite and not negative."""
        return math.isfinite(self.amount) and self.amount >= 0


@attrs.frozen
class ChargeTold(PeerMessage):
    """Answer to a `ChargeAsked` with the same number."""

    number: int
    verdict: LimitVerdict


@attrs.frozen
class UseReported(PeerMessage):
    """What a node admitted locally, less its refunds, by organisation."""

    amounts: dict[str, float]

    @property
    def is_valid(self) -> bool:
        """Whether all amounts are finite."""
        return all(map(math.isfinite, self.amounts.values()))


@attrs.frozen
class OverLimit(PeerMessage):
    """Organisations over their limits, with the seconds that remain."""

    for_s: dict[str, float]


@attrs.frozen
class GroupUseTold(PeerMessage):
    """What one domain's limiter has admitted since its start."""

    use: GroupUse

    @property
    def is_valid(self) -> bool:
        """Whether all figures are finite and the node count not negative."""
        is_finite = all(map(math.isfinite, self.use.spent.values()))
        return self.use.nodes >= 0 and is_finite
