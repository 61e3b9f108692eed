"""Each node's part of the retries that a service may get from all nodes.

All nodes together may send a share of the calls, and some requests more, once
again within a window. Each node keeps to the same sum for its own calls and
its part of the extra requests, so that the bound holds for all of them without
a message between them.
"""

from collections import deque
from itertools import repeat
from random import Random

import attrs

HIGHEST_COUNT_MEMORY_S = 30.0


@attrs.frozen
class RetryBudgetSettings:
    """The bound for all nodes, and how much of it they use.

    All nodes together may retry `share` of the calls of a service and `extra`
    requests more in any `window_s`. Nodes use `used_share` and `used_extra` of
    these: targets call services themselves, which counts as retries if their
    own call was one, and nodes that join or start anew are not known at once.
    A retry may wait for an engine or a connection, and arrives up to
    `arrival_s` after it was charged.

    Other nodes are listed within `settle_s` after a start. After that the
    extra part grows for a window, because an earlier process of the node may
    have used it.
    """

    share: float
    extra: float
    window_s: float
    used_share: float = 0.8
    used_extra: float = 0.6
    arrival_s: float = 3.0
    settle_s: float = 4.0


@attrs.frozen
class RetryVerdict:
    """Whether a retry may be sent, and what was known."""

    is_allowed: bool
    spent: int
    allowed: float
    calls: int
    node_count: int | None


@attrs.define
class _Window:
    # Rounds the node's part up or down, so that the parts of all nodes sum up
    # to the total however small they are.
    rounding: float
    calls_s: deque[float] = attrs.field(factory=deque)
    retries_s: deque[float] = attrs.field(factory=deque)


class RetryBudgets:
    """The retries and the calls of each service in the last window."""

    def __init__(
        self, settings: RetryBudgetSettings, random: Random, started_s: float
    ) -> None:
        self._settings = settings
        self._random = random
        self._started_s = started_s
        self._windows: dict[str, _Window] = {}
        self._node_counts: deque[tuple[float, int]] = deque()

    @property
    def arrival_s(self) -> float:
        """How long a retry that was charged may take to arrive."""
        return self._settings.arrival_s

    def take_nodes(self, count: int, now_s: float) -> None:
        """Record the number of nodes, including this one.

        The highest number of the last seconds counts: the list of nodes may
        be incomplete for a while.
        """
        while self._node_counts and self._node_counts[-1][1] <= count:
            self._node_counts.pop()
        self._node_counts.append((now_s, count))

    def add_call(self, service: str, now_s: float) -> None:
        """Count a call of a caller."""
        calls_s = self._window(service).calls_s
        _drop_before(calls_s, now_s - self._settings.window_s)
        calls_s.append(now_s)

    def try_charge(
        self, service: str, now_s: float, sends: int = 1
    ) -> RetryVerdict:
        """Charge a retry of several sends, all of them or none."""
        window = self._window(service)
        _drop_before(window.calls_s, now_s - self._settings.window_s)
        oldest_s = now_s - self._settings.window_s - self._settings.arrival_s
        _drop_before(window.retries_s, oldest_s)
        spent, calls = len(window.retries_s), len(window.calls_s)
        allowed = self._allowed(calls, now_s) + window.rounding
        is_allowed = spent + sends <= allowed or not sends
        if is_allowed:
            window.retries_s.extend(repeat(now_s, sends))
        return RetryVerdict(
            is_allowed, spent, allowed, calls, self._node_count(now_s)
        )

    def _allowed(self, calls: int, now_s: float) -> float:
        settings = self._settings
        earned = settings.used_share * settings.share * calls
        node_count = self._node_count(now_s)
        if node_count is None:
            return earned
        age_s = now_s - self._started_s - settings.settle_s
        grown = max(0.0, min(1.0, age_s / settings.window_s))
        return earned + grown * settings.used_extra * settings.extra / (
            node_count
        )

    def _node_count(self, now_s: float) -> int | None:
        """Return the highest recent number of nodes; None if none is known."""
        counts = self._node_counts
        oldest_s = now_s - HIGHEST_COUNT_MEMORY_S
        while len(counts) > 1 and counts[0][0] < oldest_s:
            counts.popleft()
        return counts[0][1] if counts else None

    def _window(self, service: str) -> _Window:
        window = self._windows.get(service)
        if window is None:
            window = _Window(rounding=self._random.random())
            self._windows[service] = window
        return window


def _drop_before(times_s: deque[float], oldest_s: float) -> None:
    while times_s and times_s[0] < oldest_s:
        times_s.popleft()
