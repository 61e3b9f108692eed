"""Limits on what an organisation may use over the whole fleet."""

import enum
import math
from collections.abc import Mapping
from typing import Protocol

import attrs

from dandelionyoke_dispatch._calls import Prompt


@enum.unique
class LimitUnit(enum.Enum):
    """What a rate limit counts."""

    CALLS = 'calls'
    TOKENS = 'tokens'


def _check_amount(
    limit: object, field: 'attrs.Attribute[float]', amount: float
) -> None:
    if not math.isfinite(amount) or amount < 0:
        raise ValueError(f'{field.name} is {amount}; write a number from 0 up')


@attrs.frozen
class RateLimit:
    """A token bucket for all nodes together.

    `rate_per_s` and `burst` count calls or tokens. A call without a token
    count takes `plain_tokens`.

    Raises:
        ValueError: a figure is negative or not finite, the rate is 0, or the
            burst is less than one call.
    """

    rate_per_s: float = attrs.field(validator=_check_amount)
    burst: float = attrs.field(validator=_check_amount)
    unit: LimitUnit = LimitUnit.CALLS
    plain_tokens: float = attrs.field(default=0.0, validator=_check_amount)

    def __attrs_post_init__(self) -> None:
        if not self.rate_per_s:
            raise ValueError('rate_per_s is 0; leave out a limit of nothing')
        least = 1.0
        if self.unit is LimitUnit.TOKENS:
            least = max(least, self.plain_tokens)
        if self.burst < least:
            raise ValueError(
                f'burst is {self.burst}, less than one call; '
                f'write {least:g} or more'
            )

    def amount_of(self, prompt: Prompt | None) -> float:
        """Tell how much a call takes of the limit."""
        if self.unit is LimitUnit.CALLS:
            return 1.0
        if prompt is None:
            return self.plain_tokens
        return prompt.token_count + prompt.max_output_tokens


@attrs.frozen
class LimitVerdict:
    """What became of a call, and what was known when it was decided.

    `level` is what the bucket held before the call, and is negative while the
    organisation is over its limit for `over_s` more. `share` is the part of
    the limit that the deciding node could give out. The oldest news that it
    went by was `news_age_s` old.
    """

    is_admitted: bool
    retry_after_s: float = 0.0
    over_s: float = 0.0
    level: float = 0.0
    share: float = 1.0
    news_age_s: float = 0.0


class RateLimiter(Protocol):
    """Decides which calls of an organisation are within its limit."""

    def take_limits(self, limits: Mapping[str, RateLimit]) -> None:
        """Put the limits of all organisations in force."""

    def limit_of(self, organisation: str) -> RateLimit | None:
        """Find the limit of an organisation; None: it has none."""

    def take_nodes(self, own: int, total: int, now_s: float) -> None:
        """Take how many nodes this one decides for, of how many."""

    def admit(
        self, organisation: str, amount: float, now_s: float
    ) -> LimitVerdict:
        """Decide on a call, and charge it if it is within the limit."""

    def charge(self, organisation: str, amount: float, now_s: float) -> None:
        """Charge what was let in elsewhere; a negative amount is a refund."""
