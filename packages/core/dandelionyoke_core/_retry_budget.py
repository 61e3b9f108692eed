"""Limit on retries, as a share of the traffic that causes them."""


class RetryBudget:
    """Token bucket that each call fills by a share and each retry draws from.

    When targets fail, retries add load to the remaining ones. Without a limit
    the retries alone keep these overloaded after the cause has gone.
    `reserve` is the capacity of the bucket and its initial balance.
    """

    def __init__(
        self, share: float, reserve: float, refill_per_s: float
    ) -> None:
        self._share = share
        self._capacity = reserve
        self._refill_per_s = refill_per_s
        self._balance = reserve
        self._refilled_at_s: float | None = None

    def add_call(self, now_s: float) -> None:
        """Add the share of one new call."""
        self._refill(now_s)
        self._balance = min(self._capacity, self._balance + self._share)

    def try_charge(self, now_s: float, sends: int = 1) -> bool:
        """Charge a retry; False if the balance does not allow it.

        A retry of several sends needs a balance of one send only and may
        overdraw the rest, which delays later retries. The small part that a
        node has of a budget shared by many nodes would never reach the full
        cost.
        """
        self._refill(now_s)
        if sends and self._balance < 1:
            return False
        self._balance -= sends
        return True

    def _refill(self, now_s: float) -> None:
        if self._refilled_at_s is not None:
            refilled = (now_s - self._refilled_at_s) * self._refill_per_s
            self._balance = min(self._capacity, self._balance + refilled)
        self._refilled_at_s = now_s
