"""The boot-time clock."""

import time


def clock_s() -> float:
    """Read a monotonic clock that includes the time of a suspended machine.

    `CLOCK_MONOTONIC` leaves that time out, so that a lease or a revoked key
    would seem younger than it is and be trusted for too long.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
