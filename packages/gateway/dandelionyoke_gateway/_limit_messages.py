"""How nodes keep the limits of organisations together."""

import math

import attrs

from dandelionyoke_core import PeerMessage
from dandelionyoke_dispatch import GroupUse, LimitVerdict


@attrs.frozen
class ChargeAsked(PeerMessage):
    """A call that is large against its limit; `number` names the question."""

    number: int
    organisation: str
    amount: float

    @property
    def is_possible(self) -> bool:
        """Whether the amount can be that of a call."""
        return math.isfinite(self.amount) and self.amount >= 0


@attrs.frozen
class ChargeTold(PeerMessage):
    """The answer to a question."""

    number: int
    verdict: LimitVerdict


@attrs.frozen
class UseReported(PeerMessage):
    """What a node let in by itself or refunds, by organisation."""

    amounts: dict[str, float]

    @property
    def is_possible(self) -> bool:
        """Whether the amounts are numbers."""
        return all(map(math.isfinite, self.amounts.values()))


@attrs.frozen
class OverLimit(PeerMessage):
    """Organisations that are over their limits, and for how long yet."""

    for_s: dict[str, float]


@attrs.frozen
class GroupUseTold(PeerMessage):
    """What one limiter has let in since its start."""

    use: GroupUse

    @property
    def is_possible(self) -> bool:
        """Whether the figures can be those of a limiter."""
        is_finite = all(map(math.isfinite, self.use.spent.values()))
        return self.use.nodes >= 0 and is_finite
