"""What an organisation may still use, from what it has used.

A bucket gives out a steady rate after a burst. A window holds what a limit
over sliding windows allows, but lets all of it come at once, before others
have heard of any. Both together give out the whole of each window evenly.
"""

from collections import deque
from typing import Protocol

import attrs

from dandelionyoke_core import TokenBucket
from dandelionyoke_dispatch._rate_limit import RateLimit

# Of the burst of a limit over windows, what may come at once.
AT_ONCE_SHARE = 0.9
SLOTS = 32


@attrs.frozen
class LimitPart:
    """The part of a limit that may be given out here at a moment.

    `heard` names the limiters whose use counts besides this node's own.
    """

    limit: RateLimit
    share: float
    heard: frozenset[str]
    now_s: float

    def whole(self, window_s: float) -> float:
        """Tell how much may be used within a window."""
        limit = self.limit
        return self.share * (limit.rate_per_s * window_s + limit.burst)


class LimitBudget(Protocol):
    """One organisation's use against a part of its limit."""

    def spend(self, amount: float, sender: str, part: LimitPart) -> None:
        """Charge an amount; a negative one is a refund.

        `sender` names the limiter that let it in, an empty one this node.
        """

    def level(self, part: LimitPart) -> float:
        """Tell what is left; negative while the organisation is in debt."""

    def wait_s(self, part: LimitPart, missing: float) -> float:
        """Tell how long until the level has risen by what is missing."""


class BucketBudget:
    """A token bucket that begins empty: what was used before is unknown.

    Where limits are held over windows of `window_s`, the burst of a window
    is given out with its rate, and only a part of it at once: others hear a
    moment later of what was let in here.
    """

    def __init__(self, now_s: float, window_s: float = 0.0) -> None:
        self._window_s = window_s
        self._bucket = TokenBucket(0.0, now_s)

    def spend(self, amount: float, sender: str, part: LimitPart) -> None:
        """Charge an amount; a negative one is a refund."""
        # What was gained until now counts before the charge.
        self.level(part)
        self._bucket.level -= amount

    def level(self, part: LimitPart) -> float:
        """Tell what is left; negative while the organisation is in debt."""
        burst = part.limit.burst * part.share
        if self._window_s:
            burst *= AT_ONCE_SHARE
        self._bucket.refill(self._rate_per_s(part), burst, part.now_s)
        return self._bucket.level

    def wait_s(self, part: LimitPart, missing: float) -> float:
        """Tell how long until the level has risen by what is missing."""
        return max(0.0, missing) / self._rate_per_s(part)

    def _rate_per_s(self, part: LimitPart) -> float:
        if self._window_s:
            return part.whole(self._window_s) / self._window_s
        return part.limit.rate_per_s * part.share


@attrs.define
class _Slot:
    begins_s: float
    amount: float


class WindowBudget:
    """What each limiter let in during the last seconds, in short slots.

    It begins as if all of the limit had been used evenly until then: what
    was used before is unknown.
    """

    def __init__(self, window_s: float, now_s: float) -> None:
        self._window_s = window_s
        self._slot_s = window_s / SLOTS
        self._slots: dict[str, deque[_Slot]] = {}
        self._began_s = now_s

    def spend(self, amount: float, sender: str, part: LimitPart) -> None:
        """Charge an amount; a negative one is a refund."""
        slots = self._slots.setdefault(sender, deque())
        if not slots or part.now_s - slots[-1].begins_s >= self._slot_s:
            slots.append(_Slot(part.now_s, 0.0))
        slots[-1].amount += amount

    def level(self, part: LimitPart) -> float:
        """Tell what is left; negative while the organisation is in debt."""
        known_s = min(self._window_s, part.now_s - self._began_s)
        allowed = part.whole(self._window_s) * known_s / self._window_s
        return allowed - sum(one.amount for one in self._recent(part))

    def wait_s(self, part: LimitPart, missing: float) -> float:
        """Tell how long until the level has risen by what is missing."""
        # What was used before the beginning is forgotten evenly.
        forgotten_s = missing * self._window_s / part.whole(self._window_s)
        if part.now_s + forgotten_s < self._began_s + self._window_s:
            return max(0.0, forgotten_s)
        left_s = 0.0
        recent = self._recent(part)
        for slot in sorted(recent, key=lambda one: one.begins_s):
            if missing <= 0:
                break
            missing -= slot.amount
            ends_s = slot.begins_s + self._slot_s
            left_s = ends_s + self._window_s - part.now_s
        return max(0.0, left_s)

    def _recent(self, part: LimitPart) -> list[_Slot]:
        """List the slots that still count; one counts until its last amount.

        That may have come a slot's length after its beginning.
        """
        oldest_s = part.now_s - self._window_s - self._slot_s
        for slots in self._slots.values():
            while slots and slots[0].begins_s < oldest_s:
                slots.popleft()
        return [
            slot
            for sender, slots in self._slots.items()
            if not sender or sender in part.heard
            for slot in slots
        ]


class SteadyWindowBudget:
    """The whole of each window, given out evenly after a burst."""

    def __init__(self, window_s: float, now_s: float) -> None:
        self._parts: tuple[LimitBudget, ...] = (
            BucketBudget(now_s, window_s),
            WindowBudget(window_s, now_s),
        )

    def spend(self, amount: float, sender: str, part: LimitPart) -> None:
        """Charge an amount; a negative one is a refund."""
        for one in self._parts:
            one.spend(amount, sender, part)

    def level(self, part: LimitPart) -> float:
        """Tell what is left; negative while the organisation is in debt."""
        return min(one.level(part) for one in self._parts)

    def wait_s(self, part: LimitPart, missing: float) -> float:
        """Tell how long until the level has risen by what is missing."""
        wanted = self.level(part) + missing
        return max(
            one.wait_s(part, wanted - one.level(part)) for one in self._parts
        )
