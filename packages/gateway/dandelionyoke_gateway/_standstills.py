"""The standstills of this process."""

from dandelionyoke_gateway._clock import clock_s, running_s


class Standstills:
    """Tells each standstill of this process once."""

    def __init__(self) -> None:
        self._told_s = _total_s()

    def take_s(self) -> float:
        """Return how long this process stood still since the last call."""
        told_s = self._told_s
        self._told_s = max(told_s, _total_s())
        return self._told_s - told_s


def _total_s() -> float:
    return clock_s() - running_s()
