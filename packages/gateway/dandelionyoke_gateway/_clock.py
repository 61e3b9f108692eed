"""The clocks of a process."""

import time


def clock_s() -> float:
    """Read a clock that never jumps and runs on while a machine stands still.

    The usual monotonic clock leaves out the time for which a machine was
    suspended, so that a lease or a withdrawn key would seem younger than it
    is and be trusted too long.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_s() -> float:
    """Read the time of day, in seconds since the epoch."""
    return time.time()
