"""Waits for the answers of other nodes."""

from typing import Any

import eventlet
from eventlet.queue import Empty, LightQueue

from dandelionyoke_gateway._clock import clock_s, stalled_s


class AnswerWait:
    """A wait of `timeout_s` for items of a queue.

    If this process stood still meanwhile, the other one may have as well: it
    gets the whole time again, once.
    """

    def __init__(self, timeout_s: float) -> None:
        self._timeout_s = timeout_s
        self._began_s = clock_s()
        self._deadline_s = self._began_s + timeout_s
        self._is_extended = False

    def get(self, answers: LightQueue) -> Any:
        """Return the next item.

        Raises:
            Empty: none came in time.
        """
        try:
            return answers.get(timeout=max(0, self._deadline_s - clock_s()))
        except Empty:
            # It may have come together with the timeout.
            eventlet.sleep(0)
        if answers.empty() and self._extend():
            return answers.get(timeout=self._timeout_s)
        return answers.get_nowait()

    def _extend(self) -> bool:
        if self._is_extended or not stalled_s(self._began_s):
            return False
        self._is_extended = True
        self._deadline_s = clock_s() + self._timeout_s
        return True
