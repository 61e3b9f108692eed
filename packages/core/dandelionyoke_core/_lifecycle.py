"""Graceful shutdown of an entry, without interrupting a request."""

from collections.abc import Callable
from typing import ClassVar

import attrs

from dandelionyoke_core._actions import StopProcess, WriteLog
from dandelionyoke_core._events import (
    Event,
    ProcessStalled,
    ShutdownForced,
    ShutdownRequested,
    Started,
    TimerFired,
)
from dandelionyoke_core._notices import Leaving
from dandelionyoke_core._ports import Output

LOG_SUBJECT = 'process'


@attrs.frozen
class LifecycleSettings:
    """Timeouts of a graceful shutdown.

    The load balancer keeps sending calls for `balancer_notice_s` after the
    health check begins to fail; calls are accepted for that long. After all
    calls are answered, the node waits for pending writes to the store, but
    at most `save_timeout_s`, since a store outage may last long.
    """

    balancer_notice_s: float = 5.0
    check_interval_s: float = 0.1
    save_timeout_s: float = 30.0


class LifecyclePart:
    """Announces a shutdown and stops the process when its work is finished."""

    handles: ClassVar[tuple[type[Event], ...]] = (
        Started,
        ProcessStalled,
        ShutdownRequested,
        ShutdownForced,
        TimerFired,
    )

    def __init__(
        self,
        settings: LifecycleSettings,
        in_progress: Callable[[], int],
        unsaved_count: Callable[[], int],
    ) -> None:
        self._settings = settings
        self._in_progress = in_progress
        self._unsaved_count = unsaved_count
        self._calls_finished_s: float | None = None
        self._leaving_since_s: float | None = None
        self._wakeup_s: float | None = None
        self._stopped = False

    @property
    def leaving(self) -> bool:
        """Whether a shutdown was requested."""
        return self._leaving_since_s is not None

    def handle(self, event: Event, now_s: float) -> list[Output]:
        """Handle an event and return the resulting outputs."""
        match event:
            case Started():
                return [WriteLog('process.started', LOG_SUBJECT)]
            case ProcessStalled(stalled_s=stalled_s):
                detail = f'{stalled_s:.3f} s'
                return [WriteLog('process.stalled', LOG_SUBJECT, detail)]
            case ShutdownRequested():
                return self._begin_shutdown(now_s)
            case ShutdownForced():
                return self._stop(clean=self._in_progress() == 0)
        return self._check_finished(now_s)

    def next_wakeup_s(self) -> float | None:
        """Return the time at which this part needs a wake-up, or None."""
        return self._wakeup_s

    def _begin_shutdown(self, now_s: float) -> list[Output]:
        if self.leaving:
            return []
        self._leaving_since_s = now_s
        self._wakeup_s = now_s + self._settings.balancer_notice_s
        return [WriteLog('process.leaving', LOG_SUBJECT), Leaving()]

    def _check_finished(self, now_s: float) -> list[Output]:
        if self._wakeup_s is None or now_s < self._wakeup_s:
            return []
        if self._in_progress() or self._is_saving(now_s):
            self._wakeup_s = now_s + self._settings.check_interval_s
            return []
        return self._stop(clean=True)

    def _is_saving(self, now_s: float) -> bool:
        """Return whether results are still to be saved, within the timeout.

        A process that stopped earlier would leave answered calls without a
        recorded result: a caller that retried one would be told that its
        outcome is unknown.
        """
        if self._calls_finished_s is None:
            self._calls_finished_s = now_s
        waited_s = now_s - self._calls_finished_s
        timeout_s = self._settings.save_timeout_s
        return waited_s < timeout_s and self._unsaved_count() > 0

    def _stop(self, *, clean: bool) -> list[Output]:
        self._wakeup_s = None
        if self._stopped:
            return []
        self._stopped = True
        cause = '' if clean else 'a second signal interrupted requests'
        return [
            WriteLog('process.stopped', LOG_SUBJECT, cause=cause),
            StopProcess(clean=clean),
        ]
