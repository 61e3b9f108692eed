"""Starts the tasks of a process again if an error ends them.

An error that nobody foresaw would end a green thread for good, and the process
would go on with what it knew last.
"""

import traceback
from collections.abc import Callable
from random import Random

import eventlet

from dandelionyoke_core import BackOff, BackOffSettings, CountMetric
from dandelionyoke_gateway._clock import clock_s
from dandelionyoke_gateway._log import DecisionLog

RESTART_BACK_OFF = BackOffSettings(initial_s=0.1, max_s=2.0)
# A task that has run for so long does not fail each time.
STEADY_S = 10.0
MAX_TRACEBACK_LENGTH = 2000


class TaskGuard:
    """Runs tasks until the process exits."""

    def __init__(self, log: DecisionLog, random: Random) -> None:
        self._log = log
        self._random = random

    def start(self, name: str, run: Callable[[], None]) -> None:
        """Start a task; `run` is called again each time that it fails."""
        eventlet.spawn_n(self._run_always, name, run)

    def _run_always(self, name: str, run: Callable[[], None]) -> None:
        back_off = BackOff(RESTART_BACK_OFF, self._random)
        while True:
            started_s = clock_s()
            try:
                return run()
            except Exception:
                self._record_failure(name, clock_s() - started_s)
            if clock_s() - started_s >= STEADY_S:
                back_off.reset()
            eventlet.sleep(back_off.next_s())

    def _record_failure(self, name: str, ran_s: float) -> None:
        self._log.count(CountMetric('task.failures', label=name))
        self._log.decide(
            'task.failed',
            name,
            outcome='started again',
            cause=traceback.format_exc()[-MAX_TRACEBACK_LENGTH:],
            ran_s=ran_s,
        )
