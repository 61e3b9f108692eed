"""A clock that leaves out the time in which this process stood still.

Who judges another process by the time in which nothing came from it must not
count the time in which this one could not have seen it.
"""

from collections import deque

from dandelionyoke_links._clock import clock_s

# A step of the event loop that takes longer is a standstill.
MAX_STEP_S = 0.1
MAX_KEPT_STANDSTILLS = 64


class RunningClock:
    """Counts the time of the steps of an event loop, each up to its limit.

    What a step takes beyond its limit is a standstill: the processor was taken
    away, the process was stopped, or one computation took that long.
    """

    def __init__(self) -> None:
        self._running_s = 0.0
        self._step_began_s = clock_s()
        self._limit_s = MAX_STEP_S
        # The ends and durations of the last standstills.
        self._standstills: deque[tuple[float, float]] = deque(
            maxlen=MAX_KEPT_STANDSTILLS
        )

    def now_s(self) -> float:
        """Read the clock, in seconds; its start is arbitrary."""
        elapsed_s = clock_s() - self._step_began_s
        return self._running_s + min(elapsed_s, self._limit_s)

    def stalled_s(self, since_s: float) -> float:
        """Return how long the process stood still since a time of `clock_s`."""
        now_s = clock_s()
        current_s = now_s - self._step_began_s - self._limit_s
        standstills = (*self._standstills, (now_s, current_s))
        return sum(
            max(0, min(duration_s, end_s - since_s))
            for end_s, duration_s in standstills
        )

    def last_ran_s(self) -> float:
        """Return when this process last ran for sure, a time of `clock_s`.

        That is now, or the begin of the step in which it has stood still.
        """
        now_s = clock_s()
        is_stalled = now_s - self._step_began_s > self._limit_s
        return self._step_began_s if is_stalled else now_s

    def begin_step(self, wait_s: float = 0) -> None:
        """Begin a step of the event loop, which may wait for `wait_s`."""
        now_s = clock_s()
        elapsed_s = now_s - self._step_began_s
        self._running_s += min(elapsed_s, self._limit_s)
        if elapsed_s > self._limit_s:
            self._standstills.append((now_s, elapsed_s - self._limit_s))
        self._step_began_s = now_s
        self._limit_s = wait_s + MAX_STEP_S
