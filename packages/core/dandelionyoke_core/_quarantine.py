"""Requests that crash each engine that runs them.

A crash makes all that ran on the engine suspects, guilty and innocent.
Each suspect is then tried on an engine that no other suspect is on; the
innocent ones end and are cleared, the guilty one crashes its second engine
as the only suspect there, and is refused from then on.
"""

from collections import OrderedDict, deque
from typing import ClassVar

import attrs

from dandelionyoke_core._events import Event
from dandelionyoke_core._names import AttemptId, TargetId
from dandelionyoke_core._notices import (
    RecordLearned,
    ShareRecord,
    TargetCrashed,
)
from dandelionyoke_core._ports import Output
from dandelionyoke_core._quarantine_messages import (
    Suspicion,
    SuspicionShared,
    TrialShared,
)
from dandelionyoke_core._quarantine_settings import QuarantineSettings
from dandelionyoke_core._refusals import Refusal, RefusalKind
from dandelionyoke_core._suspects import Suspects


@attrs.frozen
class Run:
    """A request in progress on an engine; `trial` if it was a suspect."""

    target_id: TargetId
    fingerprint: str
    trial: bool = False


@attrs.frozen
class Incident:
    """An engine broke; the suspects that were on it at that moment."""

    target_id: TargetId
    began_s: float
    suspects: frozenset[str]


class QuarantinePart:
    """Finds out which request crashes engines, and spares its neighbours."""

    handles: ClassVar[tuple[type[Event], ...]] = (TargetCrashed, RecordLearned)

    def __init__(self, settings: QuarantineSettings) -> None:
        self._settings = settings
        self._suspects = Suspects(settings)
        self._runs: dict[AttemptId, Run] = {}
        self._lost: deque[tuple[float, Run]] = deque(maxlen=settings.max_lost)
        self._incidents: deque[Incident] = deque(maxlen=settings.max_incidents)
        self._trials: OrderedDict[str, tuple[TargetId, float]] = OrderedDict()
        self._version = 0

    def handle(self, event: Event, now_s: float) -> list[Output]:
        """Take an event and say what follows from it."""
        match event:
            case TargetCrashed():
                return self._crashed(event, now_s)
            case RecordLearned(record=SuspicionShared() as suspicion):
                return self._suspicion_learned(suspicion, now_s)
            case RecordLearned(record=TrialShared() as trial):
                self._trial_learned(trial, now_s)
        return []

    def next_wakeup_s(self) -> float | None:
        """Nothing here waits for a time."""

    # The Quarantine port.

    def refusal(self, fingerprint: str, now_s: float) -> Refusal | None:
        """Refuse a request in quarantine, or while a copy is being tried."""
        suspect = self._suspects.find(fingerprint, now_s)
        if suspect is None:
            return None
        convicted_s = suspect.convicted_s
        if convicted_s is None:
            tried = self._is_tried(fingerprint, now_s)
            return self._wait() if tried else None
        if now_s < convicted_s + self._settings.outage_window_s:
            return self._wait()
        return _quarantined(self._settings.quarantine_s)

    def crowded(self, fingerprint: str, now_s: float) -> frozenset[TargetId]:
        """Tell which engines other suspects are on."""
        if self._suspects.find(fingerprint, now_s) is None:
            return frozenset()
        return frozenset(
            target_id
            for other, target_id in self._suspects_in_progress(now_s)
            if other != fingerprint
        )

    def started(
        self,
        attempt_id: AttemptId,
        target_id: TargetId,
        fingerprint: str,
        now_s: float,
    ) -> list[Output]:
        """Remember what is in progress where."""
        trial = self._suspects.find(fingerprint, now_s) is not None
        run = Run(target_id, fingerprint, trial)
        self._runs[attempt_id] = run
        return [self._share_trial(run)] if trial else []

    def ended(self, attempt_id: AttemptId, whole: bool = False) -> list[Output]:
        """Forget an attempt; one that ran to its end clears its request."""
        run = self._runs.pop(attempt_id, None)
        if run is None:
            return []
        outputs: list[Output] = []
        if run.trial:
            outputs.append(self._share_trial(run, over=True))
        if whole and self._suspects.clear(run.fingerprint):
            outputs.append(self._share(run.fingerprint, Suspicion.CLEARED))
        return outputs

    def lost(self, attempt_id: AttemptId, now_s: float) -> None:
        """Remember an attempt that was left at a silent engine."""
        run = self._runs.get(attempt_id)
        if run is not None:
            self._lost.append((now_s, run))

    def broke(self, attempt_id: AttemptId, now_s: float) -> list[Output]:
        """Count the engine of an attempt that broke off."""
        run = self._runs.get(attempt_id)
        if run is None:
            return []
        outputs = self._count(run, now_s)
        return [*outputs, *self.ended(attempt_id)]

    # Crashes.

    def _crashed(self, event: TargetCrashed, now_s: float) -> list[Output]:
        outputs = [
            output
            for attempt_id in event.attempt_ids
            for output in self.broke(attempt_id, now_s)
        ]
        since_s = now_s - self._settings.lost_window_s
        for lost_s, run in tuple(self._lost):
            if run.target_id == event.target_id and lost_s >= since_s:
                outputs.extend(self._count(run, now_s))
        return outputs

    def _count(self, run: Run, now_s: float) -> list[Output]:
        incident = self._incident(run.target_id, now_s)
        if self._is_outage(now_s):
            return self._excuse_all(now_s)
        fingerprint = run.fingerprint
        suspect = self._suspects.find(fingerprint, now_s)
        if suspect is None:
            self._suspects.suspect(fingerprint, now_s)
            return [self._share(fingerprint, Suspicion.SUSPECT)]
        if not run.trial or suspect.convicted_s is not None:
            # A copy that was already running when the first engine crashed.
            # A prompt that many callers share runs on many engines at once,
            # and any two crashes would condemn it.
            return []
        if incident.suspects - {fingerprint}:
            suspect.joint += 1
            if suspect.joint < self._settings.joint_limit:
                return []
        self._suspects.convict(fingerprint, now_s)
        return [self._share(fingerprint, Suspicion.CONVICTED)]

    def _incident(self, target_id: TargetId, now_s: float) -> Incident:
        """Find or open the incident that a broken attempt belongs to.

        The attempts of one crash break one after the other. Who was a
        suspect is settled by the first, before the rest become suspects by
        this very crash.
        """
        since_s = now_s - self._settings.lost_window_s
        for known in self._incidents:
            if known.target_id == target_id and known.began_s >= since_s:
                return known
        on_it = frozenset(
            fingerprint
            for fingerprint, where in self._suspects_in_progress(now_s)
            if where == target_id
        )
        incident = Incident(target_id, now_s, on_it)
        self._incidents.append(incident)
        return incident

    def _is_outage(self, now_s: float) -> bool:
        since_s = now_s - self._settings.outage_window_s
        engines = {
            incident.target_id
            for incident in self._incidents
            if incident.began_s >= since_s
        }
        return len(engines) >= self._settings.outage_engines

    def _excuse_all(self, now_s: float) -> list[Output]:
        # A request crashes one engine at a time. Many at once are a cut
        # network or a zone taken away, which condemns nobody; so verdicts
        # of the last moments are taken back.
        since_s = now_s - self._settings.outage_window_s
        return [
            self._share(fingerprint, Suspicion.CLEARED)
            for fingerprint in self._suspects.convicted_since(since_s)
            if self._suspects.clear(fingerprint)
        ]

    # Trials.

    def _suspects_in_progress(self, now_s: float) -> list[tuple[str, TargetId]]:
        here = [
            (run.fingerprint, run.target_id)
            for run in self._runs.values()
            if self._suspects.find(run.fingerprint, now_s) is not None
        ]
        elsewhere = [
            (fingerprint, target_id)
            for fingerprint, (target_id, until_s) in self._trials.items()
            if now_s < until_s
        ]
        return here + elsewhere

    def _is_tried(self, fingerprint: str, now_s: float) -> bool:
        return any(
            other == fingerprint
            for other, _ in self._suspects_in_progress(now_s)
        )

    # Peers.

    def _suspicion_learned(
        self, record: SuspicionShared, now_s: float
    ) -> list[Output]:
        self._version = max(self._version, record.version)
        fingerprint = record.fingerprint
        match record.suspicion:
            case Suspicion.CLEARED:
                self._suspects.clear(fingerprint)
            case Suspicion.CONVICTED:
                self._suspects.convict(fingerprint, now_s)
            case Suspicion.SUSPECT:
                self._suspects.suspect(fingerprint, now_s)
                return self._share_runs(fingerprint)
        return []

    def _share_runs(self, fingerprint: str) -> list[Output]:
        return [
            self._share_trial(run)
            for run in self._runs.values()
            if run.fingerprint == fingerprint
        ]

    def _trial_learned(self, record: TrialShared, now_s: float) -> None:
        self._version = max(self._version, record.version)
        self._trials.pop(record.fingerprint, None)
        if record.over:
            return
        until_s = now_s + self._settings.trial_lifetime_s
        self._trials[record.fingerprint] = (record.target_id, until_s)
        if len(self._trials) > self._settings.max_trials:
            self._trials.popitem(last=False)

    def _share(self, fingerprint: str, suspicion: Suspicion) -> Output:
        self._version += 1
        record = SuspicionShared(
            f'suspicion/{fingerprint}',
            self._version,
            self._settings.quarantine_s,
            fingerprint,
            suspicion,
        )
        return ShareRecord(record, everywhere=True)

    def _share_trial(self, run: Run, *, over: bool = False) -> Output:
        self._version += 1
        record = TrialShared(
            f'trial/{run.fingerprint}',
            self._version,
            self._settings.trial_lifetime_s,
            run.fingerprint,
            run.target_id,
            over,
        )
        return ShareRecord(record, everywhere=True)

    def _wait(self) -> Refusal:
        return Refusal(
            RefusalKind.OVERLOADED,
            'An engine crashed while it ran this request, and it is being '
            'found out whether the request was the cause',
            'Send the request again after retry_after_s',
            retry_after_s=self._settings.retry_after_s,
        )


def _quarantined(quarantine_s: float) -> Refusal:
    return Refusal(
        RefusalKind.QUARANTINED,
        'Two engines crashed while they ran this request',
        'Change the prompt, or send it again when the quarantine of '
        f'{quarantine_s / 3600:.0f} hours is over',
    )
