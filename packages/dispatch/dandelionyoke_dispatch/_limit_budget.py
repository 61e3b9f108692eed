"""The remaining budget of an organisation under a rate limit.

A token bucket admits a steady rate after an initial burst. A sliding window
admits everything that the limit allows per window, but possibly all at once,
before the other limiters know of it. Combined, they admit the full amount of
each window at an even rate.
"""

from collections import deque
from typing import Protocol

import attrs

from dandelionyoke_core import TokenBucket
from dandelionyoke_dispatch._rate_limit import RateLimit

# The share of a burst that is available at once, for limits over windows.
IMMEDIATE_BURST_SHARE = 0.9
WINDOW_SLOTS = 32


@attrs.frozen
class LimitPart:
    """The share of a limit that this limiter may admit at `now_s`.

    `included` names the other limiters that are included in the share.
    """

    limit: RateLimit
    share: float
    included: frozenset[str]
    now_s: float

    def window_amount(self, window_s: float) -> float:
        """Return the amount that may be used within a window."""
        limit = self.limit
        return self.share * (limit.rate_per_s * window_s + limit.burst)


class LimitBudget(Protocol):
    """The use of one organisation, compared with its share of a limit."""

    def spend(self, amount: float, sender: str, part: LimitPart) -> None:
        """Charge an amount; a negative one is a refund.

        `sender` names the limiter that admitted it; empty means this one.
        """

    def level(self, part: LimitPart) -> float:
        """Return the remaining amount; negative while in debt."""

    def wait_s(self, part: LimitPart, deficit: float) -> float:
        """Return the time in which the level rises by `deficit`."""


class TokenBucketBudget:
    """A token bucket that starts empty, because earlier use is unknown.

    With a `window_s`, the burst of each window is spread over that window
    together with the rate. Only a share of it is available at once, because the
    other limiters learn of the admitted amount with a delay.
    """

    def __init__(self, now_s: float, window_s: float = 0.0) -> None:
        self._window_s = window_s
        self._bucket = TokenBucket(0.0, now_s)

    def spend(self, amount: float, sender: str, part: LimitPart) -> None:
        """Charge an amount; a negative one is a refund."""
        # Apply the refill up to now before the charge.
        self.level(part)
        self._bucket.level -= amount

    def level(self, part: LimitPart) -> float:
        """Return the remaining amount; negative while in debt."""
        burst = part.limit.burst * part.share
        if self._window_s:
            burst *= IMMEDIATE_BURST_SHARE
        self._bucket.refill(self._rate_per_s(part), burst, part.now_s)
        return self._bucket.level

    def wait_s(self, part: LimitPart, deficit: float) -> float:
        """Return the time in which the level rises by `deficit`."""
        return max(0.0, deficit) / self._rate_per_s(part)

    def _rate_per_s(self, part: LimitPart) -> float:
        if self._window_s:
            return part.window_amount(self._window_s) / self._window_s
        return part.limit.rate_per_s * part.share


@attrs.define
class _Slot:
    start_s: float
    amount: float


class SpacedBudget:
    """Requests at an even rate, with what `burst_s` of it earns at once.

    It starts in debt by one request, because earlier use is unknown. A small
    share of a limit earns whole requests too, only more slowly.
    """

    def __init__(self, now_s: float, burst_s: float) -> None:
        self._burst_s = burst_s
        self._bucket = TokenBucket(-1.0, now_s)

    def spend(self, amount: float, sender: str, part: LimitPart) -> None:
        """Charge an amount; a negative one is a refund."""
        # Apply the refill up to now before the charge.
        self.level(part)
        self._bucket.level -= amount

    def level(self, part: LimitPart) -> float:
        """Return the remaining amount; negative while in debt."""
        rate_per_s = part.limit.rate_per_s * part.share
        self._bucket.refill(rate_per_s, self._burst_s * rate_per_s, part.now_s)
        return self._bucket.level

    def wait_s(self, part: LimitPart, deficit: float) -> float:
        """Return the time in which the level rises by `deficit`."""
        return max(0.0, deficit) / (part.limit.rate_per_s * part.share)


class SlidingWindowBudget:
    """The use in a sliding window, by limiter, kept in short slots.

    It starts as if the whole limit had been used evenly before, because earlier
    use is unknown.
    """

    def __init__(self, window_s: float, now_s: float) -> None:
        self._window_s = window_s
        self._slot_s = window_s / WINDOW_SLOTS
        self._slots: dict[str, deque[_Slot]] = {}
        self._started_s = now_s

    def spend(self, amount: float, sender: str, part: LimitPart) -> None:
        """Charge an amount; a negative one is a refund."""
        slots = self._slots.setdefault(sender, deque())
        if not slots or part.now_s - slots[-1].start_s >= self._slot_s:
            slots.append(_Slot(part.now_s, 0.0))
        slots[-1].amount += amount

    def level(self, part: LimitPart) -> float:
        """Return the remaining amount; negative while in debt."""
        known_s = min(self._window_s, part.now_s - self._started_s)
        allowed = part.window_amount(self._window_s) * known_s / self._window_s
        return allowed - sum(slot.amount for slot in self._recent(part))

    def wait_s(self, part: LimitPart, deficit: float) -> float:
        """Return the time in which the level rises by `deficit`."""
        # The unknown use before the start leaves the window at an even rate.
        expiry_s = deficit * self._window_s / part.window_amount(self._window_s)
        if part.now_s + expiry_s < self._started_s + self._window_s:
            return max(0.0, expiry_s)
        remaining_s = 0.0
        recent = self._recent(part)
        for slot in sorted(recent, key=lambda entry: entry.start_s):
            if deficit <= 0:
                break
            deficit -= slot.amount
            end_s = slot.start_s + self._slot_s
            remaining_s = end_s + self._window_s - part.now_s
        return max(0.0, remaining_s)

    def _recent(self, part: LimitPart) -> list[_Slot]:
        """Return the slots that count against the window.

        A slot counts for one slot length longer than the window, because its
        last amount may have been added that long after its start.
        """
        oldest_s = part.now_s - self._window_s - self._slot_s
        for slots in self._slots.values():
            while slots and slots[0].start_s < oldest_s:
                slots.popleft()
        return [
            slot
            for sender, slots in self._slots.items()
            if not sender or sender in part.included
            for slot in slots
        ]


class PacedWindowBudget:
    """The full amount of each window, admitted at an even rate."""

    def __init__(self, window_s: float, now_s: float) -> None:
        self._budgets: tuple[LimitBudget, ...] = (
            TokenBucketBudget(now_s, window_s),
            SlidingWindowBudget(window_s, now_s),
        )

    def spend(self, amount: float, sender: str, part: LimitPart) -> None:
        """Charge an amount; a negative one is a refund."""
        for budget in self._budgets:
            budget.spend(amount, sender, part)

    def level(self, part: LimitPart) -> float:
        """Return the remaining amount; negative while in debt."""
        return min(budget.level(part) for budget in self._budgets)

    def wait_s(self, part: LimitPart, deficit: float) -> float:
        """Return the time in which the level rises by `deficit`."""
        target_level = self.level(part) + deficit
        return max(
            budget.wait_s(part, target_level - budget.level(part))
            for budget in self._budgets
        )
