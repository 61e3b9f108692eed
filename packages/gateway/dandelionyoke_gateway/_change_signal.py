"""Notification of tasks that wait for a change of this node's knowledge."""

import eventlet
from eventlet import event as green_event


class ChangeSignal:
    """A condition on which any number of tasks wait.

    Each notification wakes all of them.
    """

    def __init__(self) -> None:
        self._event = green_event.Event()

    def notify(self) -> None:
        """Wake all waiting tasks."""
        event = self._event
        self._event = green_event.Event()
        event.send()

    def wait(self, timeout_s: float) -> None:
        """Wait for the next notification or until the timeout ends."""
        with eventlet.Timeout(max(0, timeout_s), exception=False):
            self._event.wait()
