"""The highest of the last values of a figure."""

from collections import deque


class Peak:
    """Follows a rise at once, and a fall only after `hold_s`."""

    def __init__(self, hold_s: float) -> None:
        self._hold_s = hold_s
        # Falling values, the oldest first, each with the time it was seen.
        self._values: deque[tuple[float, float]] = deque()

    def take(self, seen: float, now_s: float) -> float:
        """Take a value; return the highest of those not yet too old."""
        while self._values and self._values[-1][0] <= seen:
            self._values.pop()
        self._values.append((seen, now_s))
        while now_s - self._values[0][1] > self._hold_s:
            self._values.popleft()
        return self._values[0][0]
