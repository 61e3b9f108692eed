"""Logs when this process stood still.

Others take a node that stands still for a silent one, and a node that stood
still itself may take the others for silent: only its own log shows which.
"""

import eventlet

from dandelionyoke_gateway._clock import clock_s, stalled_s
from dandelionyoke_gateway._log import DecisionLog

CHECK_INTERVAL_S = 0.25
# Shorter ones are part of a busy process.
MIN_STALL_S = 0.1


class StallTask:
    """Logs the standstills that the event loop has seen."""

    def __init__(self, instance_id: str, log: DecisionLog) -> None:
        self._instance_id = instance_id
        self._log = log

    def run(self) -> None:
        """Watch for stalls until the process exits."""
        while True:
            since_s = clock_s()
            eventlet.sleep(CHECK_INTERVAL_S)
            late_s = stalled_s(since_s)
            if late_s >= MIN_STALL_S:
                self._log.decide(
                    'process.stalled', self._instance_id, late_s=late_s
                )
