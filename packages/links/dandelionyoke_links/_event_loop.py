"""The event loop of a process."""

from typing import Any

from eventlet.hubs import epolls, get_hub, use_hub

from dandelionyoke_links._running_clock import RunningClock

# The longest wait for input, so that a standstill within it is seen.
MAX_WAIT_S = 0.25


class EventLoop(epolls.Hub):  # type: ignore[misc] # eventlet has no types
    """An event loop that knows when the process stood still."""

    def __init__(self, clock: Any = None) -> None:
        super().__init__(clock)
        self.running_clock = RunningClock()

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
        self.running_clock.begin_step(wait_s)
        found = super().do_poll(wait_s)
        self.running_clock.begin_step()
        return found


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
