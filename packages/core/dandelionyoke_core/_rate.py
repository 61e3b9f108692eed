"""Exponentially decaying rates, and token buckets."""

import math

import attrs


@attrs.define
class DecayingRate:
    """Rate per second that decays with the time constant `window_s`."""

    window_s: float
    _sum: float = 0.0
    _updated_s: float = 0.0
    _since_s: float | None = None

    def add(self, amount: float, now_s: float) -> None:
        """Add an amount at `now_s`."""
        if self._since_s is None:
            self._since_s = now_s
        self._decay(now_s)
        self._sum += amount

    def amount(self, now_s: float) -> float:
        """Return the decayed sum."""
        self._decay(now_s)
        return self._sum

    def per_s(self, now_s: float) -> float:
        """Return the current rate per second; 0 if nothing was added yet.

        Until the window is full, only its elapsed part counts, but at least a
        tenth of it, so that the first figures are neither far too high nor
        far too low.
        """
        if self._since_s is None:
            return 0.0
        self._decay(now_s)
        age_s = max(now_s - self._since_s, self.window_s / 10)
        filled = 1 - math.exp(-age_s / self.window_s)
        return self._sum / (self.window_s * filled)

    def _decay(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self._updated_s)
        self._sum *= math.exp(-elapsed_s / self.window_s)
        self._updated_s = max(self._updated_s, now_s)


@attrs.define
class TokenBucket:
    """Token bucket; its level can become negative (debt)."""

    level: float
    at_s: float

    def refill(self, rate_per_s: float, burst: float, now_s: float) -> None:
        """Add the tokens gained until `now_s`, up to `burst`."""
        gained = max(0.0, now_s - self.at_s) * rate_per_s
        self.level = min(burst, self.level + gained)
        self.at_s = max(self.at_s, now_s)

    def wait_s(self, rate_per_s: float) -> float:
        """Return the seconds until the level is above zero."""
        if self.level > 0:
            return 0
        return -self.level / rate_per_s if rate_per_s > 0 else math.inf
