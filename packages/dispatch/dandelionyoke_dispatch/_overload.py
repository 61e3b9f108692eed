"""Detects overload of a service from late first tokens."""

from collections import deque

import attrs


@attrs.frozen
class OverloadSettings:
    """When a service counts as overloaded, and for how long.

    A first token is slow if it takes more than `slow_goal_share` of its goal.
    The service lacks engines if more than `max_slow_share` of the first tokens
    within `window_s` were slow. Bursts recur, so the state lasts for `hold_s`.
    With fewer than `min_calls` in a window, a single slow call would be
    decisive.
    """

    slow_goal_share: float = 0.7
    max_slow_share: float = 0.2
    window_s: float = 2.0
    min_calls: int = 5
    hold_s: float = 30.0


class OverloadDetector:
    """Tracks the time to first token of the calls to a service at this node."""

    def __init__(self, settings: OverloadSettings) -> None:
        self._settings = settings
        self._calls: deque[tuple[float, bool]] = deque()
        self._overloaded_s: float | None = None
        self._is_known = False

    def record_first_token(
        self, took_s: float, goal_s: float, now_s: float
    ) -> None:
        """Add the time to first token of a call."""
        self._take(took_s > self._settings.slow_goal_share * goal_s, now_s)

    def record_refusal(self, now_s: float) -> None:
        """Record a call that was refused since it could not start in time."""
        self._take(is_slow=True, now_s=now_s)

    def is_overloaded(self, now_s: float) -> bool:
        """Whether the service is overloaded, or nothing is known yet."""
        if not self._is_known:
            return True
        if self._overloaded_s is None:
            return False
        return now_s - self._overloaded_s < self._settings.hold_s

    def recent(self, now_s: float) -> tuple[int, int]:
        """Return the numbers of all calls and slow calls in the window."""
        oldest_s = now_s - self._settings.window_s
        while self._calls and self._calls[0][0] < oldest_s:
            self._calls.popleft()
        return len(self._calls), sum(is_slow for _, is_slow in self._calls)

    def update(self, calls: int, slow: int, now_s: float) -> None:
        """Update the state from the calls in a window, also of other nodes."""
        if calls < self._settings.min_calls:
            return
        self._is_known = True
        if slow > self._settings.max_slow_share * calls:
            self._overloaded_s = now_s

    def _take(self, is_slow: bool, now_s: float) -> None:
        self._calls.append((now_s, is_slow))
        self.update(*self.recent(now_s), now_s)
