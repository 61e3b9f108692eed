"""The event loop of a process.

A process may stand still: the processor is taken away, a signal stops it, or
one computation takes long. Its timers are then due, and what they wait for may
have arrived. This loop handles what has arrived first, so that no wait times
out for what is there.
"""

import heapq
from operator import itemgetter
from typing import Any

from eventlet.hubs import epolls, get_hub, use_hub

from dandelionyoke_links._running_clock import RunningClock

# The longest wait for input, so that a standstill within it is seen.
MAX_WAIT_S = 0.25
# A timer is this late if the process stood still, or is busy.
MAX_TIMER_DELAY_S = 0.02
# What has arrived may lead to more input at once. Handling it for longer would
# keep the timers of a busy process from firing.
MAX_INPUT_TIME_S = 0.2
# Timers that take longer make those behind them late.
MAX_BATCH_TIME_S = 0.1


class EventLoop(epolls.Hub):  # type: ignore[misc] # eventlet has no types
    """An event loop that looks for input before a late timer fires."""

    timers: list[tuple[float, Any]]

    def __init__(self, clock: Any = None) -> None:
        super().__init__(clock)
        self.running_clock = RunningClock()
        self._has_found_input = False
        self._looked_s = 0.0
        self._input_handled_s = 0.0

    @classmethod
    def is_available(cls) -> bool:
        """Whether this machine can run it; asked by eventlet."""
        return bool(epolls.is_available())

    def wait(self, seconds: float = 0) -> None:
        """Wait for input; run the green threads that have some."""
        if any(self.listeners.values()):
            super().wait(seconds)
        else:
            self.do_poll(seconds)

    def do_poll(self, seconds: float) -> Any:
        """Wait for input; return the descriptors that have some."""
        wait_s = min(seconds, MAX_WAIT_S)
        self._looked_s = self.clock()
        self.running_clock.begin_step(wait_s)
        found = super().do_poll(wait_s)
        self.running_clock.begin_step()
        self._has_found_input = bool(found)
        return found

    def fire_timers(self, when: float) -> None:
        """Fire the timers that are due at a time of the loop's clock."""
        due_s = max(self.sleep_until() or when, self._input_handled_s)
        if when - due_s > MAX_TIMER_DELAY_S:
            self._handle_input()
            # Another standstill may have come after the last look.
            self._input_handled_s = self._looked_s
        self._fire_batch(max(when, self._input_handled_s))

    def _fire_batch(self, when: float) -> None:
        """Fire the timers that are due, the rest later if they take long."""
        until_s = self.clock() + MAX_BATCH_TIME_S
        while self.timers and self.timers[0][0] <= when:
            epolls.Hub.fire_timers(self, self.timers[0][0])
            if self.clock() > until_s:
                return

    def _handle_input(self) -> None:
        """Handle what has arrived, and what follows from it without a delay."""
        # Another standstill must not end this.
        until_s = self.running_clock.now_s() + MAX_INPUT_TIME_S
        while self.running_clock.now_s() < until_s:
            self.wait()
            if not self._fire_undelayed() and not self._has_found_input:
                return

    def _fire_undelayed(self) -> bool:
        """Fire the timers without a delay; return whether there were any."""
        self.prepare_timers()
        undelayed = [item for item in self.timers if item[1].seconds <= 0]
        if not undelayed:
            return False
        delayed = [item for item in self.timers if item[1].seconds > 0]
        # A part of a heap need not be one.
        heapq.heapify(undelayed)
        self.timers = undelayed
        # They are due in any case.
        due_s = max(map(itemgetter(0), undelayed))
        try:
            epolls.Hub.fire_timers(self, due_s)
        finally:
            self.timers.extend(delayed)
            heapq.heapify(self.timers)
        return True


def install_event_loop() -> None:
    """Let all green threads of this thread run on an `EventLoop`.

    To be called before any green thread is started.
    """
    use_hub(EventLoop)


def running_s() -> float:
    """Read the running clock of this process, in seconds."""
    return float(get_hub().running_clock.now_s())


def stalled_s(since_s: float) -> float:
    """Return how long this process stood still since a time of `clock_s`."""
    return float(get_hub().running_clock.stalled_s(since_s))


def last_ran_s() -> float:
    """Return when this process last ran for sure, a time of `clock_s`.

    A signal that is handled now was sent no earlier.
    """
    return float(get_hub().running_clock.last_ran_s())
