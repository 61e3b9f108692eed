"""A bound on retries, as a share of the traffic that causes them."""


class RetryBudget:
    """Saves a share of each call, and pays for retries from it.

    When targets fail, each caller's retry adds load to the rest; without a
    bound the retries alone keep the rest overloaded after the cause is gone.
    """

    def __init__(
        self, share: float, reserve: float, refill_per_s: float
    ) -> None:
        self._share = share
        self._reserve = reserve
        self._refill_per_s = refill_per_s
        self._balance = reserve
        self._refilled_s: float | None = None

    def resize(self, reserve: float) -> None:
        """Change what can be saved, when its part of a whole changes."""
        grown = max(0, reserve - self._reserve)
        self._reserve = reserve
        self._balance = min(reserve, self._balance + grown)

    def earn(self, now_s: float) -> None:
        """Save the share of one new call."""
        self._refill(now_s)
        self._balance = min(self._reserve, self._balance + self._share)

    def spend(self, now_s: float, sends: int = 1) -> bool:
        """Pay for a retry; False when too little was saved.

        A retry of several sends may begin once there is enough for one, and
        those that follow wait until it is paid: a small part of a budget
        that many nodes share would never hold enough for all at once.
        """
        self._refill(now_s)
        if sends and self._balance < 1:
            return False
        self._balance -= sends
        return True

    def _refill(self, now_s: float) -> None:
        if self._refilled_s is not None:
            earned = (now_s - self._refilled_s) * self._refill_per_s
            self._balance = min(self._reserve, self._balance + earned)
        self._refilled_s = now_s
