"""Fleet-wide rate limits of organisations and targets."""

import enum
import math
from collections.abc import Mapping
from typing import Protocol

import attrs

from dandelionyoke_dispatch._calls import Prompt


@enum.unique
class LimitScope(enum.Enum):
    """Whose limit it is: an organisation's, or a target's."""

    ORGANISATION = 'organisation'
    TARGET = 'target'


@enum.unique
class LimitUnit(enum.Enum):
    """The unit that a rate limit counts."""

    CALLS = 'calls'
    TOKENS = 'tokens'


def _check_amount(
    limit: object, field: 'attrs.Attribute[float]', amount: float
) -> None:
    if not math.isfinite(amount) or amount < 0:
        raise ValueError(
            f'{field.name} is {amount}; it must be finite and at least 0'
        )


@attrs.frozen
class RateLimit:
    """A token bucket that is shared by all nodes.

    `rate_per_s` and `burst` are in calls or tokens. A call without a token
    count is charged `plain_tokens`.

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
            raise ValueError('rate_per_s is 0; it must be positive')
        min_burst = 1.0
        if self.unit is LimitUnit.TOKENS:
            min_burst = max(min_burst, self.plain_tokens)
        if self.burst < min_burst:
            raise ValueError(
                f'burst is {self.burst}, less than one call; '
                f'it must be {min_burst:g} or more'
            )

    def amount_of(self, prompt: Prompt | None) -> float:
        """Return the amount that a call is charged."""
        if self.unit is LimitUnit.CALLS:
            return 1.0
        if prompt is None:
            return self.plain_tokens
        return prompt.token_count + prompt.max_output_tokens


@attrs.frozen
class LimitVerdict:
    """The decision on a call, and the state on which it was based.

    `level` is the level of the bucket before the call. It is negative while the
    account is over its limit, which lasts for another `over_s`. `share` is
    the share of the limit that the deciding node could admit. The oldest report
    that it used was `news_age_s` old.
    """

    is_admitted: bool
    retry_after_s: float = 0.0
    over_s: float = 0.0
    level: float = 0.0
    share: float = 1.0
    news_age_s: float = 0.0


class RateLimiter(Protocol):
    """Decides which calls of an account are within its limit."""

    def take_limits(self, limits: Mapping[str, RateLimit]) -> None:
        """Replace the limits of all accounts."""

    def limit_of(self, name: str) -> RateLimit | None:
        """Return the limit of an account; None if it has none."""

    def take_nodes(self, own: int, total: int, now_s: float) -> None:
        """Update the number of nodes in this group and in the fleet."""

    def admit(self, name: str, amount: float, now_s: float) -> LimitVerdict:
        """Decide on a call, and charge it if it is admitted."""

    def charge(self, name: str, amount: float, now_s: float) -> None:
        """Charge an amount admitted elsewhere; a negative one is a refund."""
