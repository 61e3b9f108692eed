"""How long targets take to answer the calls of each route."""

import math
from collections import deque

import attrs


@attrs.frozen
class AnswerTimeSettings:
    """How an answer time is expected.

    It is the time within which `covered_share` of the last `max_kept` answers
    came; nothing is expected before `min_count` of them.
    """

    max_kept: int = 32
    min_count: int = 3
    covered_share: float = 0.9


class AnswerTimes:
    """The times of the last answers by route, from the send to their end."""

    def __init__(self, settings: AnswerTimeSettings) -> None:
        self._settings = settings
        self._times_s: dict[str, deque[float]] = {}

    def add(self, route: str, elapsed_s: float) -> None:
        """Record the time of a whole answer."""
        times_s = self._times_s.get(route)
        if times_s is None:
            times_s = deque(maxlen=self._settings.max_kept)
            self._times_s[route] = times_s
        times_s.append(elapsed_s)

    def expected_s(self, route: str) -> float | None:
        """Return the time that most calls of a route take; None: unknown."""
        times_s = sorted(self._times_s.get(route, ()))
        if len(times_s) < self._settings.min_count:
            return None
        covered_count = math.ceil(self._settings.covered_share * len(times_s))
        return times_s[covered_count - 1]
