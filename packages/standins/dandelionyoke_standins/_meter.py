"""Counts of calls per kind, their highest per second, and rate limits."""

from collections import Counter
from collections.abc import Mapping

import attrs

from dandelionyoke_standins._errors import RateLimitError


@attrs.frozen
class CallCounts:
    """What was called since the start."""

    calls: dict[str, int]
    highest_per_s: dict[str, int]


class CallMeter:
    """Counts calls in whole seconds of the time passed in."""

    def __init__(self, limits_per_s: Mapping[str, int] | None = None) -> None:
        self._limits_per_s = dict(limits_per_s or {})
        self._calls: Counter[str] = Counter()
        self._highest: Counter[str] = Counter()
        self._this_second: Counter[str] = Counter()
        self._second = 0

    def count(self, kind: str, now_s: float) -> None:
        """Count a call; refuse it when this second holds too many."""
        if int(now_s) != self._second:
            self._second = int(now_s)
            self._this_second.clear()
        self._calls[kind] += 1
        self._this_second[kind] += 1
        seen = self._this_second[kind]
        self._highest[kind] = max(self._highest[kind], seen)
        limit = self._limits_per_s.get(kind)
        if limit is not None and seen > limit:
            raise RateLimitError(cause='rate', limit_per_s=limit)

    @property
    def counts(self) -> CallCounts:
        """The counts up to now."""
        return CallCounts(dict(self._calls), dict(self._highest))
