"""The clocks of this process, and the wall clock."""

import time

from dandelionyoke_links import clock_s, last_ran_s, running_s, stalled_s

__all__ = ('clock_s', 'last_ran_s', 'running_s', 'stalled_s', 'wall_s')


def wall_s() -> float:
    """Read the time of day, in seconds since the epoch."""
    return time.time()
