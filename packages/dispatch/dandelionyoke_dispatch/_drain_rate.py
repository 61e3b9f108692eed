"""The rate at which engines do the work that waits for them.

Load: prompts take a multiple of their expected time while engines have lost
their shared prefixes. A forecast from the expected time alone would admit calls
that end up too late.
"""

MEASURE_S = 0.25
# The weight of a new measurement in the moving average.
MEAN_WEIGHT = 0.5
# A rate that is older says nothing of the present.
LIFETIME_S = 2.0


class DrainRate:
    """Measures the work that ends while other work waits."""

    def __init__(self) -> None:
        self._work_s = 0.0
        self._since_s: float | None = None
        self._mean: float | None = None
        self._measured_s = 0.0

    def add(self, work_s: float, now_s: float, *, has_waiting: bool) -> None:
        """Add work that has ended; `has_waiting` is whether other work waits.

        Without it the rate is that of the arrivals.
        """
        if not has_waiting:
            self._since_s = None
            return
        if self._since_s is None:
            self._begin(now_s)
            return
        self._work_s += work_s
        elapsed_s = now_s - self._since_s
        if elapsed_s >= MEASURE_S:
            self._measure(self._work_s / elapsed_s, now_s)

    def rate(self, now_s: float) -> float | None:
        """Return the work done in a second; None if that is unknown."""
        if now_s - self._measured_s > LIFETIME_S:
            self._mean = None
        return self._mean

    def _measure(self, rate: float, now_s: float) -> None:
        known = self.rate(now_s)
        self._mean = (
            rate if known is None else known + MEAN_WEIGHT * (rate - known)
        )
        self._measured_s = now_s
        self._begin(now_s)

    def _begin(self, now_s: float) -> None:
        self._since_s = now_s
        self._work_s = 0.0
