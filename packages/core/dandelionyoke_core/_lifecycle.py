"""How an entry leaves without cutting a request."""

from collections.abc import Callable
from typing import ClassVar

import attrs

from dandelionyoke_core._actions import StopProcess, WriteLog
from dandelionyoke_core._events import (
    Event,
    ShutdownForced,
    ShutdownRequested,
    Started,
    Woken,
)
from dandelionyoke_core._notices import Leaving
from dandelionyoke_core._ports import Output

LOG_SUBJECT = 'process'


@attrs.frozen
class LifecycleSettings:
    """How long leaving takes.

    The balancer goes on sending calls for `balancer_notice_s` after the
    health check has begun to fail; calls are accepted for that long. When
    all are answered, what the store has still to be told is waited for,
    `record_limit_s` at most: the store may be out for long.
    """

    balancer_notice_s: float = 5.0
    check_interval_s: float = 0.1
    record_limit_s: float = 30.0


class LifecyclePart:
    """Says that the node is leaving, and stops it when all is finished."""

    handles: ClassVar[tuple[type[Event], ...]] = (
        Started,
        ShutdownRequested,
        ShutdownForced,
        Woken,
    )

    def __init__(
        self,
        settings: LifecycleSettings,
        in_progress: Callable[[], int],
        unrecorded: Callable[[], int],
    ) -> None:
        self._settings = settings
        self._in_progress = in_progress
        self._unrecorded = unrecorded
        self._answered_s: float | None = None
        self._leaving_since_s: float | None = None
        self._wakeup_s: float | None = None
        self._stopped = False

    @property
    def leaving(self) -> bool:
        """Whether the node was asked to leave."""
        return self._leaving_since_s is not None

    def handle(self, event: Event, now_s: float) -> list[Output]:
        """Take an event and say what follows from it."""
        match event:
            case Started():
                return [WriteLog('process.started', LOG_SUBJECT)]
            case ShutdownRequested():
                return self._leave(now_s)
            case ShutdownForced():
                return self._stop(clean=self._in_progress() == 0)
        return self._check(now_s)

    def next_wakeup_s(self) -> float | None:
        """Tell when this part has to be woken, or None."""
        return self._wakeup_s

    def _leave(self, now_s: float) -> list[Output]:
        if self.leaving:
            return []
        self._leaving_since_s = now_s
        self._wakeup_s = now_s + self._settings.balancer_notice_s
        return [WriteLog('process.leaving', LOG_SUBJECT), Leaving()]

    def _check(self, now_s: float) -> list[Output]:
        if self._wakeup_s is None or now_s < self._wakeup_s:
            return []
        if self._in_progress() or self._is_recording(now_s):
            self._wakeup_s = now_s + self._settings.check_interval_s
            return []
        return self._stop(clean=True)

    def _is_recording(self, now_s: float) -> bool:
        """Tell whether the store still has to be told of ends.

        A process that stopped before would leave answered calls in doubt:
        whoever repeats one would hear that its end is not known.
        """
        if self._answered_s is None:
            self._answered_s = now_s
        waited_s = now_s - self._answered_s
        limit_s = self._settings.record_limit_s
        return waited_s < limit_s and self._unrecorded() > 0

    def _stop(self, *, clean: bool) -> list[Output]:
        self._wakeup_s = None
        if self._stopped:
            return []
        self._stopped = True
        cause = '' if clean else 'a second signal cut requests short'
        return [
            WriteLog('process.stopped', LOG_SUBJECT, cause=cause),
            StopProcess(clean=clean),
        ]
