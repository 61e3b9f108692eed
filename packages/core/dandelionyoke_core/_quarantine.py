"""Requests that crash each engine that runs them.

A crash makes all that ran on the engine suspects, guilty and innocent.
Each suspect is then tried on an engine that no other suspect is on; the
innocent ones end and are cleared, the guilty one crashes its second engine
as the only suspect there, and is refused from then on.
"""

from typing import ClassVar

import attrs

from dandelionyoke_core._events import Event
from dandelionyoke_core._incidents import Incident, Incidents
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
from dandelionyoke_core._runs import Run, Runs
from dandelionyoke_core._suspects import Suspects


class QuarantinePart:
    """Finds out which request crashes engines, and spares its neighbours."""

    handles: ClassVar[tuple[type[Event], ...]] = (TargetCrashed, RecordLearned)

    def __init__(self, settings: QuarantineSettings) -> None:
        self._settings = settings
        self._suspects = Suspects(settings)
        self._runs = Runs(settings)
        self._incidents = Incidents(settings)
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
        quarantined_s = suspect.quarantined_s
        if quarantined_s is None:
            tried = self._is_tried(fingerprint, now_s)
            return self._wait() if tried else None
        if now_s < quarantined_s + self._settings.outage_window_s:
            return self._wait()
        return _quarantined(self._settings.quarantine_s)

    def crowded(self, fingerprint: str, now_s: float) -> frozenset[TargetId]:
        """Tell which engines other suspects are on."""
        if self._suspects.find(fingerprint, now_s) is None:
            return frozenset()
        return frozenset(
            run.target_id
            for run in self._runs.known(now_s)
            if run.fingerprint != fingerprint and self._suspected(run, now_s)
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
        run = Run(attempt_id, target_id, fingerprint, now_s, trial)
        self._runs.start(run)
        return [self._announce(run)] if trial else []

    def ended(self, attempt_id: AttemptId, whole: bool = False) -> list[Output]:
        """Forget an attempt; one that ran to its end clears its request."""
        run = self._runs.end(attempt_id)
        if run is None:
            return []
        outputs: list[Output] = []
        if run.announced:
            outputs.append(self._share_trial(run, over=True))
        if whole and self._suspects.clear(run.fingerprint):
            outputs.append(self._share(run.fingerprint, Suspicion.CLEARED))
        return outputs

    def lost(self, attempt_id: AttemptId, now_s: float) -> list[Output]:
        """Suspect an attempt that was left at a silent engine.

        It is not yet known whether the engine crashed, so nothing is held
        against a suspect's second one until a crash is told.
        """
        run = self._runs.find(attempt_id)
        if run is None:
            return []
        self._incident(run, now_s)
        if self._incidents.is_outage(now_s):
            return self._excuse_all(now_s)
        self._runs.lose(run, now_s)
        if self._suspected(run, now_s):
            return []
        self._suspects.suspect(run.fingerprint, now_s)
        return [self._share(run.fingerprint, Suspicion.SUSPECT)]

    def broke(self, attempt_id: AttemptId, now_s: float) -> list[Output]:
        """Count the engine of an attempt that broke off."""
        run = self._runs.find(attempt_id)
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
        for run in self._runs.lost(now_s):
            if run.target_id == event.target_id:
                outputs.extend(self._count(run, now_s))
        return outputs

    def _count(self, run: Run, now_s: float) -> list[Output]:
        incident = self._incident(run, now_s)
        if self._incidents.is_outage(now_s):
            return self._excuse_all(now_s)
        fingerprint = run.fingerprint
        suspect = self._suspects.find(fingerprint, now_s)
        if suspect is None:
            self._suspects.suspect(fingerprint, now_s)
            return [self._share(fingerprint, Suspicion.SUSPECT)]
        if not run.trial or suspect.quarantined_s is not None:
            # A copy that was already running when the first engine crashed.
            # A prompt that many callers share runs on many engines at once,
            # and any two crashes would condemn it.
            return []
        if incident.suspects - {fingerprint}:
            suspect.shared_crashes += 1
            if suspect.shared_crashes < self._settings.shared_crash_limit:
                return []
        self._suspects.quarantine(fingerprint, now_s)
        return [self._share(fingerprint, Suspicion.CONVICTED)]

    def _incident(self, run: Run, now_s: float) -> Incident:
        """Find or open the incident that a broken run belongs to.

        Who was a suspect is settled when it opens, before the rest become
        suspects by this very crash.
        """
        known = self._incidents.find(run, now_s)
        if known is not None:
            return known
        on_it = frozenset(
            other.fingerprint
            for other in self._runs.known(now_s)
            if other.target_id == run.target_id
            and self._suspected(other, now_s)
        )
        incident = Incident(run.target_id, now_s, on_it)
        self._incidents.add(incident)
        return incident

    def _excuse_all(self, now_s: float) -> list[Output]:
        # A request crashes one engine at a time. Many at once are a cut
        # network or a zone taken away, which condemns nobody. What was said
        # in the last moments is taken back; else all that ran there would
        # be tried one by one, and wait for minutes.
        since_s = now_s - self._settings.outage_window_s
        return [
            self._share(fingerprint, Suspicion.CLEARED)
            for fingerprint in self._suspects.flagged_since(since_s)
            if self._suspects.clear(fingerprint)
        ]

    def _suspected(self, run: Run, now_s: float) -> bool:
        return self._suspects.find(run.fingerprint, now_s) is not None

    def _is_tried(self, fingerprint: str, now_s: float) -> bool:
        # A trial that was left at a silent engine is one until it is known
        # whether the engine crashed; else the request would go on to a
        # third engine before the end of its second is heard of.
        if any(
            run.trial and run.fingerprint == fingerprint
            for run in self._runs.lost(now_s)
        ):
            return True
        return any(
            run.fingerprint == fingerprint for run in self._runs.known(now_s)
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
                self._suspects.quarantine(fingerprint, now_s)
            case Suspicion.SUSPECT:
                self._suspects.suspect(fingerprint, now_s)
                return list(map(self._announce, self._runs.copies(fingerprint)))
        return []

    def _announce(self, run: Run) -> Output:
        self._runs.start(attrs.evolve(run, announced=True))
        return self._share_trial(run)

    def _trial_learned(self, record: TrialShared, now_s: float) -> None:
        self._version = max(self._version, record.version)
        if record.over:
            self._runs.end_peer(record.attempt_id)
            return
        run = Run(
            record.attempt_id, record.target_id, record.fingerprint, now_s
        )
        self._runs.tell_peer(run, now_s)

    def _share(self, fingerprint: str, suspicion: Suspicion) -> Output:
        self._version += 1
        lifetime_s = self._settings.suspect_lifetime_s
        if suspicion is Suspicion.CONVICTED:
            lifetime_s = self._settings.quarantine_s
        record = SuspicionShared(
            f'suspicion/{fingerprint}',
            self._version,
            lifetime_s,
            fingerprint,
            suspicion,
        )
        return ShareRecord(record, everywhere=True)

    def _share_trial(self, run: Run, *, over: bool = False) -> Output:
        self._version += 1
        record = TrialShared(
            f'trial/{run.attempt_id}',
            self._version,
            self._settings.trial_lifetime_s,
            run.attempt_id,
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
