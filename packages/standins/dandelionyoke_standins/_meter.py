"""Call counts per kind, their highest rate per second, and rate limits."""

from collections import Counter
from collections.abc import Mapping
from types import MappingProxyType

import attrs

from dandelionyoke_standins._errors import RateLimitError

# The group of each kind of store call; the store's limits apply to groups.
GROUP_OF_KIND = MappingProxyType(
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
    """Calls since the start, per kind and group of kinds."""

    calls: dict[str, int]
    highest_per_s: dict[str, int]


class CallMeter:
    """Call counter that limits groups of kinds per whole second."""

    def __init__(self, limits_per_s: Mapping[str, int] | None = None) -> None:
        self._limits_per_s = dict(limits_per_s or {})
        self._calls: Counter[str] = Counter()
        self._highest_per_s: Counter[str] = Counter()
        self._second_counts: Counter[str] = Counter()
        self._current_second = 0

    def count(self, kind: str, now_s: float) -> None:
        """Count a call.

        Raises RateLimitError when its group is over its limit in this second.
        """
        if int(now_s) != self._current_second:
            self._current_second = int(now_s)
            self._second_counts.clear()
        self._count(kind)
        group = GROUP_OF_KIND.get(kind)
        if group is not None:
            self._count(group)
            self._enforce_limit(group)

    @property
    def counts(self) -> CallCounts:
        """The counts up to now."""
        return CallCounts(dict(self._calls), dict(self._highest_per_s))

    def _count(self, name: str) -> None:
        self._calls[name] += 1
        self._second_counts[name] += 1
        calls_this_second = self._second_counts[name]
        self._highest_per_s[name] = max(
            self._highest_per_s[name], calls_this_second
        )

    def _enforce_limit(self, group: str) -> None:
        limit = self._limits_per_s.get(group)
        if limit is not None and self._second_counts[group] > limit:
            raise RateLimitError(cause='rate', limit_per_s=limit)
