"""What a call does while its target is silent.

A silent target may go on after a second or so, or be dead. Its connection is
kept until another target has answered, or until the deadline of the call.
"""

import math
from collections.abc import Callable
from typing import Generic, Protocol, TypeVar

import attrs
import eventlet
from eventlet.greenthread import GreenThread

from dandelionyoke_dispatch import RegisteredTarget
from dandelionyoke_gateway._clock import clock_s, running_s
from dandelionyoke_gateway._errors import ExchangeTimeoutError
from dandelionyoke_links import MAX_SILENCE_S

# A response that takes longer than this to begin or go on may never come.
SILENCE_S = 0.6
# A third node is tried beside another node that is silent for this long; that
# one tries another engine itself before.
HANDED_STALL_TIMEOUT_S = 1.6
# How soon a second try that has succeeded takes the place of the first one.
SECOND_TRY_POLL_S = 0.05
# When the first target goes on, the second one may have begun as well, as it
# was silent for the same reason or this process was busy. What it has sent by
# then is waited for.
SECOND_TRY_GRACE_S = 0.1

# So much of a silence is left out at most if this process stood still. A
# process that is busy all the time must leave a dead target as well.
MAX_LEFT_OUT_S = MAX_SILENCE_S

Result = TypeVar('Result')


class SilenceTimer:
    """Measures a silence, and when its watch is to be called next.

    Standstills of this process are left out, as far as `MAX_LEFT_OUT_S`.
    """

    def __init__(self) -> None:
        self._since_s = clock_s()
        self._running_since_s = running_s()
        self._due_s = SILENCE_S

    @property
    def duration_s(self) -> float:
        """How long the silence has lasted."""
        ran_s = running_s() - self._running_since_s
        return max(ran_s, clock_s() - self._since_s - MAX_LEFT_OUT_S)

    @property
    def remaining_s(self) -> float:
        """The time until the watch is to be called; 0: now."""
        return max(0, self._due_s - self.duration_s)

    def wait(self, wait_s: float) -> None:
        """Set the time until the watch is to be called next."""
        self._due_s = self.duration_s + wait_s


@attrs.frozen
class Silence:
    """The time in which nothing has arrived from a target.

    A standstill of this process does not count as silence. It is another node that is silent if `target` is None. `is_cut_off` is
    whether this node reaches no target of the service.
    """

    target: RegisteredTarget | None
    duration_s: float
    is_cut_off: bool


class SilenceWatch(Protocol):
    """Decides what to do while a target is silent."""

    def silent(self, silence: Silence) -> float:
        """Return how long to wait before this is called again, in seconds.

        Raises:
            ExchangeTimeoutError: the exchange is given up.
            SupersededError: another target has answered.
        """

    def heard(self) -> None:
        """Take note that the target sent something.

        Raises:
            SupersededError: another target has answered before.
        """


class PatientWatch:
    """Waits until the deadline of the exchange."""

    def silent(self, silence: Silence) -> float:
        """Wait on."""
        return SILENCE_S

    def heard(self) -> None:
        """Do nothing."""


class CutOffWatch(PatientWatch):
    """Gives up what no answer depends on once no target is reached."""

    def silent(self, silence: Silence) -> float:
        """Wait on while any target is reached."""
        if silence.is_cut_off:
            raise ExchangeTimeoutError(
                'no response, and no target is reached', sent=True
            )
        return SILENCE_S


class SwitchedWatch:
    """Waits until another watch is to decide."""

    def __init__(self) -> None:
        self._watch: SilenceWatch = PatientWatch()

    def follow(self, watch: SilenceWatch) -> None:
        """Let another watch decide from now on."""
        self._watch = watch

    def silent(self, silence: Silence) -> float:
        """Let the watch decide."""
        return self._watch.silent(silence)

    def heard(self) -> None:
        """Tell the watch."""
        self._watch.heard()


class SupersededError(Exception):
    """A second try has succeeded before the target of the first went on."""


class SecondTry(Generic[Result]):
    """Another try of a call, made while the target of the first is silent."""

    def __init__(self, run: Callable[[], Result]) -> None:
        self._run = run
        self.is_done = False
        self.done_s = math.inf
        self._result: Result | None = None
        self._error: Exception | None = None
        self._thread: GreenThread = eventlet.spawn(self._try)

    @property
    def has_succeeded(self) -> bool:
        """Whether it has a result."""
        return self._result is not None

    @property
    def cause(self) -> str:
        """Why it has no result; empty while it is under way."""
        if self._error is not None:
            return f'{type(self._error).__name__}: {self._error}'
        return 'no result' if self.is_done else ''

    def wait(self) -> Result | None:
        """Wait for its end; return its result, if any, or raise its error."""
        self._thread.wait()
        if self._error is not None:
            raise self._error
        return self._result

    def settle(self, timeout_s: float) -> None:
        """Wait for its end for some time."""
        with eventlet.Timeout(timeout_s, False):
            self._thread.wait()

    def cancel(self) -> Result | None:
        """End it; return its result if it has one."""
        self._thread.kill()
        return self._result

    def _try(self) -> None:
        # Its error is for the first try, which may outlast it. Its frames
        # hold the call, and a thread that ends with an error keeps them.
        try:
            self._result = self._run()
        except Exception as error:
            self._error = error.with_traceback(None)
        except eventlet.greenlet.GreenletExit:
            return
        finally:
            self.done_s = clock_s()
            self.is_done = True
