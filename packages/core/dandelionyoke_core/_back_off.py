"""Waits between tries: longer after each failure, and never in step."""

from random import Random

import attrs

FACTOR = 2.0
LEAST_JITTER = 0.5
MOST_JITTER = 1.5


@attrs.frozen
class BackOffSettings:
    """The first wait, and the longest."""

    first_s: float = 0.2
    longest_s: float = 5.0


class BackOff:
    """Counts failures in a row and says how long to wait."""

    def __init__(self, settings: BackOffSettings, random: Random) -> None:
        self._settings = settings
        self._random = random
        self._pause_s = settings.first_s

    def next_s(self) -> float:
        """Give the wait after one more failure."""
        pause_s = self._pause_s
        self._pause_s = min(self._settings.longest_s, pause_s * FACTOR)
        return pause_s * self._random.uniform(LEAST_JITTER, MOST_JITTER)

    def reset(self) -> None:
        """Begin anew after a success."""
        self._pause_s = self._settings.first_s
