"""Wall time out of the one reading that a process begins with.

The core reads no clock. Whoever sets the machine's clock while the process
runs does not move this one.
"""


class WallClock:
    """Seconds since the epoch, carried on by the node's own clock."""

    def __init__(self) -> None:
        self._offset_s: float | None = None

    def start(self, wall_s: float, now_s: float) -> None:
        """Take the reading that the process began with."""
        self._offset_s = wall_s - now_s

    @property
    def is_set(self) -> bool:
        """Whether a reading was taken."""
        return self._offset_s is not None

    def wall_s(self, now_s: float) -> float:
        """Tell the wall time."""
        return now_s + (self._offset_s or 0)
