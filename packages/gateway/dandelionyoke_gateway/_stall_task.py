"""Logs when this process stood still.

Others take a node that stands still for a silent one, and a node that stood
still itself may take the others for silent: only its own log shows which.
"""

import eventlet

from dandelionyoke_gateway._clock import clock_s
from dandelionyoke_gateway._log import DecisionLog

CHECK_INTERVAL_S = 0.25
# The time by which an answer to a news request may be late.
MIN_STALL_S = 0.4


class StallTask:
    """Compares the time of each wake-up with the time it was due."""

    def __init__(self, instance_id: str, log: DecisionLog) -> None:
        self._instance_id = instance_id
        self._log = log

    def run(self) -> None:
        """Watch for stalls until the process exits."""
        while True:
            due_s = clock_s() + CHECK_INTERVAL_S
            eventlet.sleep(CHECK_INTERVAL_S)
            late_s = clock_s() - due_s
            if late_s >= MIN_STALL_S:
                self._log.decide(
                    'process.stalled', self._instance_id, late_s=late_s
                )
