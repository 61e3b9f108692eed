"""Rates measured over a sliding window."""

import math

import attrs


@attrs.define
class DecayingRate:
    """An amount a second, in which the past fades with a time constant."""

    window_s: float
    _sum: float = 0.0
    _at_s: float = 0.0
    _since_s: float | None = None

    def add(self, amount: float, now_s: float) -> None:
        """Count an amount that came now."""
        if self._since_s is None:
            self._since_s = now_s
        self._fade(now_s)
        self._sum += amount

    def amount(self, now_s: float) -> float:
        """Tell the faded sum of the window."""
        self._fade(now_s)
        return self._sum

    def per_s(self, now_s: float) -> float:
        """Tell the present rate; 0 while nothing was counted.

        A window that is not yet full counts for its own length, at least a
        tenth, so that the first figures are neither huge nor tiny.
        """
        if self._since_s is None:
            return 0.0
        self._fade(now_s)
        age_s = max(now_s - self._since_s, self.window_s / 10)
        filled = 1 - math.exp(-age_s / self.window_s)
        return self._sum / (self.window_s * filled)

    def _fade(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self._at_s)
        self._sum *= math.exp(-elapsed_s / self.window_s)
        self._at_s = max(self._at_s, now_s)


@attrs.define
class TokenBucket:
    """Lets a rate through, with a burst; may go into debt."""

    level: float
    at_s: float

    def refill(self, rate_per_s: float, burst: float, now_s: float) -> None:
        """Bring the level up to now."""
        gained = max(0.0, now_s - self.at_s) * rate_per_s
        self.level = min(burst, self.level + gained)
        self.at_s = max(self.at_s, now_s)

    def wait_s(self, rate_per_s: float) -> float:
        """Tell how long until the level is above zero."""
        if self.level > 0:
            return 0
        return -self.level / rate_per_s if rate_per_s > 0 else math.inf
