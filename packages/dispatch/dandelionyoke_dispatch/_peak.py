"""The peak of a value over a time window."""

from collections import deque


class Peak:
    """Follows an increase immediately, and a decrease after `hold_s`."""

    def __init__(self, hold_s: float) -> None:
        self._hold_s = hold_s
        # Decreasing values with their times, oldest first.
        self._values: deque[tuple[float, float]] = deque()

    def update(self, value: float, now_s: float) -> float:
        """Add a value; return the maximum of the last `hold_s`."""
        while self._values and self._values[-1][0] <= value:
            self._values.pop()
        self._values.append((value, now_s))
        while now_s - self._values[0][1] > self._hold_s:
            self._values.popleft()
        return self._values[0][0]
