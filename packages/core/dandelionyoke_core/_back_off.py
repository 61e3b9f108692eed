"""Exponential backoff with jitter, so that retries do not synchronise."""

from random import Random

import attrs

GROWTH_FACTOR = 2.0
MIN_JITTER = 0.5
MAX_JITTER = 1.5


@attrs.frozen
class BackOffSettings:
    """Delay after the first failure, and the maximum, both before jitter."""

    initial_s: float = 0.2
    max_s: float = 5.0


class BackOff:
    """Delay that grows with each consecutive failure."""

    def __init__(self, settings: BackOffSettings, random: Random) -> None:
        self._settings = settings
        self._random = random
        self._delay_s = settings.initial_s

    def next_s(self) -> float:
        """Return the delay after one more failure."""
        delay_s = self._delay_s
        self._delay_s = min(self._settings.max_s, delay_s * GROWTH_FACTOR)
        return delay_s * self._random.uniform(MIN_JITTER, MAX_JITTER)

    def reset(self) -> None:
        """Return to the first delay after a success."""
        self._delay_s = self._settings.initial_s
