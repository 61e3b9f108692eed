"""Wakes tasks that wait for a change of what this node believes."""

import eventlet
from eventlet import event as green_event


class ChangeSignal:
    """Any number of tasks wait; each change wakes all of them."""

    def __init__(self) -> None:
        self._event = green_event.Event()

    def notify(self) -> None:
        """Wake those who wait."""
        event = self._event
        self._event = green_event.Event()
        event.send()

    def wait(self, timeout_s: float) -> None:
        """Wait for the next change, or until the time is over."""
        with eventlet.Timeout(max(0, timeout_s), exception=False):
            self._event.wait()
