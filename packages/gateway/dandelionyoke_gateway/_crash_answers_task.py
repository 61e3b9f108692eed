"""Tells the other nodes answers that a verdict of theirs may lack."""

import eventlet

from dandelionyoke_gateway._crash_task import CrashTask
from dandelionyoke_gateway._knowledge import Knowledge

# A node that is told meanwhile does not tell the same itself.
MAX_DELAY_S = 0.3
MAX_WAIT_S = 5.0


class CrashAnswersTask:
    """Looks after each change whether this node has something to tell."""

    def __init__(self, knowledge: Knowledge, crashes: CrashTask) -> None:
        self._knowledge = knowledge
        self._crashes = crashes

    def run(self) -> None:
        """Tell answers until the process exits."""
        while True:
            self._knowledge.signal.wait(MAX_WAIT_S)
            if self._knowledge.crashes.has_untold:
                delay_s = self._knowledge.random.uniform(0, MAX_DELAY_S)
                eventlet.sleep(delay_s)
                self._crashes.tell_untold()
