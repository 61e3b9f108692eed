"""What an organisation may still use, from what it has used.

A bucket gives out a steady rate after a burst. A window holds what a limit
over sliding windows allows, but lets all of it come at once, before others
have heard of any. Both together give out the whole of each window evenly.
"""

from collections import deque
from collections.abc import Collection
from typing import Protocol

import attrs

from dandelionyoke_core import TokenBucket
from dandelionyoke_dispatch._rate_limit import RateLimit

# Of the burst of a limit over windows, what may come at once.
AT_ONCE_SHARE = 0.9
SLOTS = 32
TINY = 1e-9


class LimitBudget(Protocol):
    """One organisation's use against a part of its limit.

    `sender` names the limiter that let something in, the empty one is this
    node; `heard` are the senders whose use counts.
    """

    def spend(self, amount: float, sender: str, now_s: float) -> None:
        """Charge an amount; a negative one is a refund."""

    def level(
        self,
        limit: RateLimit,
        share: float,
        heard: Collection[str],
        now_s: float,
    ) -> float:
        """Tell what is left; negative while the organisation is in debt."""

    def wait_s(
        self,
        limit: RateLimit,
        share: float,
        missing: float,
        heard: Collection[str],
        now_s: float,
    ) -> float:
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

    def spend(self, amount: float, sender: str, now_s: float) -> None:
        """Charge an amount; a negative one is a refund."""
        self._bucket.level -= amount

    def level(
        self,
        limit: RateLimit,
        share: float,
        heard: Collection[str],
        now_s: float,
    ) -> float:
        """Tell what is left; negative while the organisation is in debt."""
        burst = limit.burst * share
        if self._window_s:
            burst *= AT_ONCE_SHARE
        self._bucket.refill(self._rate_per_s(limit, share), burst, now_s)
        return self._bucket.level

    def wait_s(
        self,
        limit: RateLimit,
        share: float,
        missing: float,
        heard: Collection[str],
        now_s: float,
    ) -> float:
        """Tell how long until the level has risen by what is missing."""
        return max(0.0, missing) / self._rate_per_s(limit, share)

    def _rate_per_s(self, limit: RateLimit, share: float) -> float:
        rate_per_s = limit.rate_per_s
        if self._window_s:
            rate_per_s += limit.burst / self._window_s
        return max(rate_per_s * share, TINY)


class SteadyWindowBudget:
    """The whole of each window, given out evenly after a burst."""

    def __init__(self, window_s: float, now_s: float) -> None:
        self._bucket = BucketBudget(now_s, window_s)
        self._window = WindowBudget(window_s, now_s)

    def spend(self, amount: float, sender: str, now_s: float) -> None:
        """Charge an amount; a negative one is a refund."""
        self._bucket.spend(amount, sender, now_s)
        self._window.spend(amount, sender, now_s)

    def level(
        self,
        limit: RateLimit,
        share: float,
        heard: Collection[str],
        now_s: float,
    ) -> float:
        """Tell what is left; negative while the organisation is in debt."""
        return min(
            self._bucket.level(limit, share, heard, now_s),
            self._window.level(limit, share, heard, now_s),
        )

    def wait_s(
        self,
        limit: RateLimit,
        share: float,
        missing: float,
        heard: Collection[str],
        now_s: float,
    ) -> float:
        """Tell how long until the level has risen by what is missing."""
        level = self.level(limit, share, heard, now_s)
        waits_s = []
        for part in (self._bucket, self._window):
            own = part.level(limit, share, heard, now_s) - level
            waits_s.append(
                part.wait_s(limit, share, missing - own, heard, now_s)
            )
        return max(waits_s)


@attrs.define
class _Slot:
    begins_s: float
    amount: float


class WindowBudget:
    """What each sender let in during the last seconds, in short slots.

    It begins as if all of the limit had been used evenly until then: what was
    used before is unknown.
    """

    def __init__(self, window_s: float, now_s: float) -> None:
        self._window_s = window_s
        self._slot_s = window_s / SLOTS
        self._slots: dict[str, deque[_Slot]] = {}
        self._began_s = now_s

    def spend(self, amount: float, sender: str, now_s: float) -> None:
        """Charge an amount; a negative one is a refund."""
        slots = self._slots.setdefault(sender, deque())
        if not slots or now_s - slots[-1].begins_s >= self._slot_s:
            slots.append(_Slot(now_s, 0.0))
        slots[-1].amount += amount

    def level(
        self,
        limit: RateLimit,
        share: float,
        heard: Collection[str],
        now_s: float,
    ) -> float:
        """Tell what is left; negative while the organisation is in debt."""
        used = sum(one.amount for one in self._recent(heard, now_s))
        known_share = min(1.0, (now_s - self._began_s) / self._window_s)
        return self._whole(limit) * share * known_share - used

    def wait_s(
        self,
        limit: RateLimit,
        share: float,
        missing: float,
        heard: Collection[str],
        now_s: float,
    ) -> float:
        """Tell how long until the level has risen by what is missing."""
        # What was let in before the beginning is forgotten evenly.
        rate_per_s = self._whole(limit) * share / self._window_s
        if now_s + missing / rate_per_s < self._began_s + self._window_s:
            return max(0.0, missing / rate_per_s)
        left_s = 0.0
        recent = self._recent(heard, now_s)
        for slot in sorted(recent, key=lambda one: one.begins_s):
            if missing <= 0:
                break
            missing -= slot.amount
            left_s = slot.begins_s + self._slot_s + self._window_s - now_s
        return max(0.0, left_s)

    def _whole(self, limit: RateLimit) -> float:
        return limit.rate_per_s * self._window_s + limit.burst

    def _recent(self, heard: Collection[str], now_s: float) -> list[_Slot]:
        """List the slots that still count; a slot ends after its beginning."""
        oldest_s = now_s - self._window_s - self._slot_s
        for slots in self._slots.values():
            while slots and slots[0].begins_s < oldest_s:
                slots.popleft()
        return [
            slot
            for sender, slots in self._slots.items()
            if not sender or sender in heard
            for slot in slots
        ]
