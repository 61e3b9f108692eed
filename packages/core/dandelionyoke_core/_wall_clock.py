"""Wall time derived from one clock reading at the start of the process.

The core reads no clock itself. A change of the system clock while the
process runs has no effect on this one.
"""


class WallClock:
    """Seconds since the epoch, advanced by the monotonic clock of the node."""

    def __init__(self) -> None:
        self._offset_s: float | None = None

    def start(self, wall_s: float, now_s: float) -> None:
        """Set the wall time that was read at the start of the process."""
        self._offset_s = wall_s - now_s

    @property
    def is_set(self) -> bool:
        """Whether `start` was called."""
        return self._offset_s is not None

    def wall_s(self, now_s: float) -> float:
        """Return the wall time, in seconds since the epoch."""
        return now_s + (self._offset_s or 0)
