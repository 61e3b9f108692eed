"""Requests that crash each engine that runs them."""

from typing import ClassVar

import attrs

from dandelionyoke_core._events import Event
from dandelionyoke_core._names import AttemptId, TargetId
from dandelionyoke_core._notices import RecordLearned, TargetCrashed
from dandelionyoke_core._ports import Output
from dandelionyoke_core._refusals import Refusal, RefusalKind


@attrs.frozen
class QuarantineSettings:
    """After how many engines a request is refused, and for how long."""

    engines: int = 2


class QuarantinePart:
    """Counts the engines that died of a request."""

    handles: ClassVar[tuple[type[Event], ...]] = (TargetCrashed, RecordLearned)

    def __init__(self, settings: QuarantineSettings) -> None:
        self._settings = settings
        self._started: dict[AttemptId, tuple[TargetId, str]] = {}
        self._engines: dict[str, set[TargetId]] = {}

    def handle(self, event: Event, now_s: float) -> list[Output]:
        """Take an event and say what follows from it."""
        if not isinstance(event, TargetCrashed):
            return []
        for attempt_id in event.attempt_ids:
            self.broke(attempt_id, now_s)
        return []

    def next_wakeup_s(self) -> float | None:
        """Nothing here waits for a time."""

    def refusal(self, fingerprint: str, now_s: float) -> Refusal | None:
        """Refuse a call whose fingerprint is quarantined."""
        engines = self._engines.get(fingerprint, ())
        if len(engines) < self._settings.engines:
            return None
        return Refusal(
            RefusalKind.QUARANTINED,
            f'{len(engines)} engines crashed while they ran this request',
            'Change the prompt; the operator can look the request up',
        )

    def started(
        self, attempt_id: AttemptId, target_id: TargetId, fingerprint: str
    ) -> None:
        """Remember what is in progress where."""
        self._started[attempt_id] = (target_id, fingerprint)

    def ended(self, attempt_id: AttemptId) -> None:
        """Forget an attempt that ended without harm."""
        self._started.pop(attempt_id, None)

    def broke(self, attempt_id: AttemptId, now_s: float) -> list[Output]:
        """An attempt broke off; its target may have crashed of it."""
        target_id, fingerprint = self._started.pop(attempt_id, (None, ''))
        if target_id is not None:
            self._engines.setdefault(fingerprint, set()).add(target_id)
        return []
