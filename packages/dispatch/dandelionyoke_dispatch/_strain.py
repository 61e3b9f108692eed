"""Whether callers have waited too long of late for their first token."""

from collections import deque

import attrs


@attrs.frozen
class StrainSettings:
    """When a service counts as strained, and for how long.

    A first token is slow past `slow_share` of its goal. Engines are missing
    where more than `strained_share` of those of a span were slow; bursts
    come again, so that this holds for `hold_s`. With fewer than
    `least_calls` in a span one slow call would decide.
    """

    slow_share: float = 0.7
    strained_share: float = 0.2
    span_s: float = 2.0
    least_calls: int = 5
    hold_s: float = 30.0


class Strain:
    """Follows the first tokens of a service's calls at this node."""

    def __init__(self, settings: StrainSettings) -> None:
        self._settings = settings
        self._calls: deque[tuple[float, bool]] = deque()
        self._strained_s: float | None = None
        self._has_judged = False

    def began(self, took_s: float, goal_s: float, now_s: float) -> None:
        """Take the time from a call's arrival to its first token."""
        self._take(took_s > self._settings.slow_share * goal_s, now_s)

    def turned_away(self, now_s: float) -> None:
        """Note that a call could not begin in time."""
        self._take(is_slow=True, now_s=now_s)

    def holds(self, now_s: float) -> bool:
        """Whether the service is strained, or nothing is known yet."""
        if not self._has_judged:
            return True
        if self._strained_s is None:
            return False
        return now_s - self._strained_s < self._settings.hold_s

    def recent(self, now_s: float) -> tuple[int, int]:
        """Count the calls of the span, and those of them that were slow."""
        oldest_s = now_s - self._settings.span_s
        while self._calls and self._calls[0][0] < oldest_s:
            self._calls.popleft()
        return len(self._calls), sum(is_slow for _, is_slow in self._calls)

    def judge(self, calls: int, slow: int, now_s: float) -> None:
        """Judge by the calls of a span, those of other nodes included."""
        if calls < self._settings.least_calls:
            return
        self._has_judged = True
        if slow > self._settings.strained_share * calls:
            self._strained_s = now_s

    def _take(self, is_slow: bool, now_s: float) -> None:
        self._calls.append((now_s, is_slow))
        self.judge(*self.recent(now_s), now_s)
