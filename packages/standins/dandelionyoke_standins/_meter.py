"""Counts of calls per kind, their highest per second, and rate limits."""

from collections import Counter
from collections.abc import Mapping
from types import MappingProxyType

import attrs

from dandelionyoke_standins._errors import RateLimitError

# The kinds that the store's limits count together.
KIND_GROUPS = MappingProxyType(
    {
        'read': 'store_reads',
        'list': 'store_reads',
        'watch': 'store_reads',
        'write': 'store_writes',
        'lease': 'store_writes',
    }
)


@attrs.frozen
class CallCounts:
    """What was called since the start, per kind and group of kinds."""

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
        self._count(kind)
        group = KIND_GROUPS.get(kind)
        if group is not None:
            self._count(group)
            self._check(group)

    @property
    def counts(self) -> CallCounts:
        """The counts up to now."""
        return CallCounts(dict(self._calls), dict(self._highest))

    def _count(self, name: str) -> None:
        self._calls[name] += 1
        self._this_second[name] += 1
        seen = self._this_second[name]
        self._highest[name] = max(self._highest[name], seen)

    def _check(self, group: str) -> None:
        limit = self._limits_per_s.get(group)
        if limit is not None and self._this_second[group] > limit:
            raise RateLimitError(cause='rate', limit_per_s=limit)
