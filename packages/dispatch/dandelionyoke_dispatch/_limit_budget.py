"""What an organisation may still use, from what it has used.

There are two forms. A bucket gives out a steady rate after a burst. A window
lets whatever lies within the limit come at once, in any order, and is the
form that a limit over sliding windows asks for.
"""

from collections import deque
from collections.abc import Collection
from typing import Protocol

import attrs

from dandelionyoke_core import TokenBucket
from dandelionyoke_dispatch._rate_limit import RateLimit

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
    """A token bucket that begins empty: what was used before is unknown."""

    def __init__(self, limit: RateLimit, now_s: float) -> None:
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
        self._bucket.refill(
            limit.rate_per_s * share, limit.burst * share, now_s
        )
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
        return max(0.0, missing) / max(limit.rate_per_s * share, TINY)


@attrs.define
class _Slot:
    begins_s: float
    amount: float


class WindowBudget:
    """What each sender let in during the last seconds, in short slots.

    It begins as if all of the limit had been used evenly until now: what was
    used before is unknown.
    """

    def __init__(self, limit: RateLimit, window_s: float, now_s: float) -> None:
        self._window_s = window_s
        self._slot_s = window_s / SLOTS
        each = self._whole(limit) / SLOTS
        self._slots: dict[str, deque[_Slot]] = {
            '': deque(
                _Slot(now_s - number * self._slot_s, each)
                for number in reversed(range(SLOTS))
            )
        }

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
        return self._whole(limit) * share - used

    def wait_s(
        self,
        limit: RateLimit,
        share: float,
        missing: float,
        heard: Collection[str],
        now_s: float,
    ) -> float:
        """Tell how long until the level has risen by what is missing."""
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
