"""Quarantine of requests that crash every engine that runs them.

After a crash every request that was in progress on the engine is a suspect.
Each suspect is then run again on an engine without another suspect, as a
trial. Harmless requests complete and are cleared. The request that caused
the crash crashes a second engine as the only suspect there, and is refused
from then on. An engine that answers again under its incarnation was silent
and did not crash, so that this crash is taken back.
"""

from typing import ClassVar

import attrs

from dandelionyoke_core._crash_evidence import CrashEvidence
from dandelionyoke_core._events import Event, LoadReported
from dandelionyoke_core._incidents import Incident, Incidents
from dandelionyoke_core._names import AttemptId, TargetId
from dandelionyoke_core._notices import (
    RecordReceived,
    ReplicateRecord,
    TargetCrashed,
)
from dandelionyoke_core._observation import LoadsShared
from dandelionyoke_core._ports import Output
from dandelionyoke_core._quarantine_messages import (
    Suspicion,
    SuspicionShared,
    TrialShared,
)
from dandelionyoke_core._quarantine_settings import QuarantineSettings
from dandelionyoke_core._refusals import Refusal, RefusalKind
from dandelionyoke_core._runs import Run, Runs
from dandelionyoke_core._suspects import Suspect, SuspectTable


class QuarantinePart:
    """Identifies requests that crash engines and refuses them.

    Other requests that were in progress on the same engine are retried.
    """

    handles: ClassVar[tuple[type[Event], ...]] = (
        TargetCrashed,
        LoadReported,
        RecordReceived,
    )

    def __init__(self, settings: QuarantineSettings) -> None:
        self._settings = settings
        self._suspects = SuspectTable(settings)
        self._runs = Runs(settings)
        self._incidents = Incidents(settings)
        self._evidence = CrashEvidence(settings)
        self._version = 0

    def handle(self, event: Event, now_s: float) -> list[Output]:
        """Handle an event and return the resulting outputs."""
        match event:
            case TargetCrashed():
                return self._on_target_crashed(event, now_s)
            case LoadReported(target_id=target_id, report=report):
                taken_s = now_s - report.age_s
                return self._on_report(target_id, report.incarnation, taken_s)
            case RecordReceived(record=LoadsShared() as loads):
                return self._on_loads_shared(loads, now_s)
            case RecordReceived(record=SuspicionShared() as suspicion):
                return self._apply_suspicion(suspicion, now_s)
            case RecordReceived(record=TrialShared() as trial):
                self._apply_trial(trial, now_s)
        return []

    def next_wakeup_s(self) -> float | None:
        """Return None: this part needs no wake-up."""

    # Methods of the `Quarantine` protocol.

    def refusal(self, fingerprint: str, now_s: float) -> Refusal | None:
        """Return a refusal if the request is quarantined or in a trial."""
        suspect = self._suspects.find(fingerprint, now_s)
        if suspect is None:
            return None
        quarantined_s = suspect.quarantined_s
        if quarantined_s is None:
            in_trial = self._is_in_trial(fingerprint, now_s)
            return self._retry_later() if in_trial else None
        if now_s < quarantined_s + self._settings.outage_window_s:
            return self._retry_later()
        return _quarantine_refusal(self._settings.quarantine_s)

    def excluded_targets(
        self, fingerprint: str, now_s: float
    ) -> frozenset[TargetId]:
        """Return the engines on which other suspects are in progress."""
        if self._suspects.find(fingerprint, now_s) is None:
            return frozenset()
        return frozenset(
            run.target_id
            for run in self._runs.all_runs(now_s)
            if run.fingerprint != fingerprint and self._is_suspected(run, now_s)
        )

    def started(
        self,
        attempt_id: AttemptId,
        target_id: TargetId,
        fingerprint: str,
        now_s: float,
    ) -> list[Output]:
        """Record an attempt in progress; announce it if it is a trial."""
        trial = self._suspects.find(fingerprint, now_s) is not None
        incarnation = self._evidence.incarnation(target_id)
        run = Run(attempt_id, target_id, fingerprint, now_s, incarnation, trial)
        self._runs.start(run)
        return [self._announce_trial(run)] if trial else []

    def ended(self, attempt_id: AttemptId, whole: bool = False) -> list[Output]:
        """Remove an attempt; clear its request if it ran to completion."""
        run = self._runs.end(attempt_id)
        if run is None:
            return []
        outputs: list[Output] = []
        if run.announced:
            outputs.append(self._share_trial(run, over=True))
        if whole and self._suspects.clear(run.fingerprint):
            outputs.append(
                self._share_suspicion(run.fingerprint, Suspicion.CLEARED)
            )
        return outputs

    def attempt_abandoned(
        self, attempt_id: AttemptId, now_s: float
    ) -> list[Output]:
        """Suspect a request whose attempt was abandoned on a silent engine.

        It is not yet known whether the engine crashed, so a second such
        engine counts against a suspect only after its crash is reported.
        """
        run = self._runs.find(attempt_id)
        if run is None:
            return []
        self._find_or_open_incident(run, now_s)
        if self._incidents.is_outage(now_s):
            return self._clear_recent_suspicions(now_s)
        self._runs.add_lost(run, now_s)
        if self._is_suspected(run, now_s):
            return []
        return self._suspect(run, now_s)

    def attempt_failed(
        self, attempt_id: AttemptId, now_s: float
    ) -> list[Output]:
        """Count a crash against the request of an attempt that failed."""
        run = self._runs.find(attempt_id)
        if run is None:
            return []
        outputs = self._record_crash(run, now_s)
        return [*outputs, *self.ended(attempt_id)]

    # Crashes.

    def _on_target_crashed(
        self, event: TargetCrashed, now_s: float
    ) -> list[Output]:
        outputs = [
            output
            for attempt_id in event.attempt_ids
            for output in self.attempt_failed(attempt_id, now_s)
        ]
        for run in self._runs.recent_lost(now_s):
            if run.target_id == event.target_id:
                outputs.extend(self._record_crash(run, now_s))
        return outputs

    def _record_crash(self, run: Run, now_s: float) -> list[Output]:
        incident = self._find_or_open_incident(run, now_s)
        if self._incidents.is_outage(now_s):
            return self._clear_recent_suspicions(now_s)
        fingerprint = run.fingerprint
        suspect = self._suspects.find(fingerprint, now_s)
        if suspect is None:
            return self._suspect(run, now_s)
        if not run.trial or suspect.quarantined_s is not None:
            # This copy was already running when the first engine crashed. A
            # prompt sent by many callers runs on many engines at once, and
            # any two unrelated crashes would quarantine it.
            return []
        self._count_crash(suspect, run, now_s)
        if incident.suspects - {fingerprint}:
            suspect.shared_crashes += 1
            if suspect.shared_crashes < self._settings.shared_crash_limit:
                return []
        self._suspects.quarantine(fingerprint, now_s)
        return [self._share_suspicion(fingerprint, Suspicion.CONVICTED)]

    def _suspect(self, run: Run, now_s: float) -> list[Output]:
        suspect = self._suspects.suspect(run.fingerprint, now_s)
        self._count_crash(suspect, run, now_s)
        return [self._share_suspicion(run.fingerprint, Suspicion.SUSPECT)]

    def _count_crash(self, suspect: Suspect, run: Run, now_s: float) -> None:
        suspect.crashed.add(run.target_id)
        self._evidence.add(run, now_s)

    def _on_loads_shared(
        self, loads: LoadsShared, now_s: float
    ) -> list[Output]:
        shared_s = now_s - self._settings.max_shared_report_age_s
        return [
            output
            for target_id, report in loads.reports()
            for output in self._on_report(
                target_id, report.incarnation, shared_s - report.age_s
            )
        ]

    def _on_report(
        self, target_id: TargetId, incarnation: str, taken_s: float
    ) -> list[Output]:
        """Take back the crashes that a report disproves."""
        self._runs.remove_lost(target_id, incarnation, taken_s)
        disproved = self._evidence.learn(target_id, incarnation, taken_s)
        return [
            self._share_suspicion(run.fingerprint, Suspicion.CLEARED)
            for run in disproved
            if self._suspects.withdraw_crash(run.fingerprint, target_id)
        ]

    def _find_or_open_incident(self, run: Run, now_s: float) -> Incident:
        """Return the incident that a failed run belongs to, or open one.

        The suspects are recorded when the incident opens, before this crash
        makes the other requests on the engine suspects too.
        """
        existing = self._incidents.find(run, now_s)
        if existing is not None:
            return existing
        suspects = frozenset(
            other.fingerprint
            for other in self._runs.all_runs(now_s)
            if other.target_id == run.target_id
            and self._is_suspected(other, now_s)
        )
        incident = Incident(run.target_id, now_s, suspects)
        self._incidents.add(incident)
        return incident

    def _clear_recent_suspicions(self, now_s: float) -> list[Output]:
        # A request crashes one engine at a time. Many crashes at once are a
        # network partition or a lost zone, for which no request is to blame.
        # The suspicions of the last `outage_window_s` are cleared; otherwise
        # all requests that ran there would be tried one by one, and would
        # wait for minutes.
        since_s = now_s - self._settings.outage_window_s
        return [
            self._share_suspicion(fingerprint, Suspicion.CLEARED)
            for fingerprint in self._suspects.flagged_since(since_s)
            if self._suspects.clear(fingerprint)
        ]

    def _is_suspected(self, run: Run, now_s: float) -> bool:
        return self._suspects.find(run.fingerprint, now_s) is not None

    def _is_in_trial(self, fingerprint: str, now_s: float) -> bool:
        # A trial that was abandoned on a silent engine stays open until it is
        # known whether the engine crashed. Otherwise the request would run on
        # a third engine before the crash of its second one is reported.
        if any(
            run.trial and run.fingerprint == fingerprint
            for run in self._runs.recent_lost(now_s)
        ):
            return True
        return any(
            run.fingerprint == fingerprint for run in self._runs.all_runs(now_s)
        )

    # Peers.

    def _apply_suspicion(
        self, record: SuspicionShared, now_s: float
    ) -> list[Output]:
        self._version = max(self._version, record.version)
        fingerprint = record.fingerprint
        match record.suspicion:
            case Suspicion.CLEARED:
                self._suspects.clear(fingerprint)
            case Suspicion.CONVICTED:
                suspect = self._suspects.quarantine(fingerprint, now_s)
                suspect.by_peer = Suspicion.CONVICTED
            case Suspicion.SUSPECT:
                suspect = self._suspects.suspect(fingerprint, now_s)
                suspect.by_peer = suspect.by_peer or Suspicion.SUSPECT
                return list(
                    map(self._announce_trial, self._runs.copies(fingerprint))
                )
        return []

    def _announce_trial(self, run: Run) -> Output:
        self._runs.start(attrs.evolve(run, announced=True))
        return self._share_trial(run)

    def _apply_trial(self, record: TrialShared, now_s: float) -> None:
        self._version = max(self._version, record.version)
        if record.over:
            self._runs.remove_peer_trial(record.attempt_id)
            return
        run = Run(
            record.attempt_id, record.target_id, record.fingerprint, now_s
        )
        self._runs.add_peer_trial(run, now_s)

    def _share_suspicion(
        self, fingerprint: str, suspicion: Suspicion
    ) -> Output:
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
        return ReplicateRecord(record, everywhere=True)

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
        return ReplicateRecord(record, everywhere=True)

    def _retry_later(self) -> Refusal:
        return Refusal(
            RefusalKind.OVERLOADED,
            'An engine crashed while it ran this request, and it is being '
            'found out whether the request was the cause',
            'Send the request again after retry_after_s',
            retry_after_s=self._settings.retry_after_s,
        )


def _quarantine_refusal(quarantine_s: float) -> Refusal:
    return Refusal(
        RefusalKind.QUARANTINED,
        'Two engines crashed while they ran this request',
        'Change the prompt, or send it again when the quarantine of '
        f'{quarantine_s / 3600:.0f} hours is over',
    )
