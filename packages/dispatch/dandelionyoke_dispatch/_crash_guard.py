"""Refusal of calls that crash the engines running them.

Such calls are sent again, through any node, and would take one engine after
the other out of service. The nodes tell each other which calls broke off when
a target crashed. Nodes that know the same reports refuse the same keys, in
whatever order they heard.
"""

from collections.abc import Callable, Iterable

import attrs

from dandelionyoke_dispatch._crash_evidence import CrashEvidence, KeyCrashes
from dandelionyoke_dispatch._crash_keys import CrashKeys
from dandelionyoke_dispatch._crash_quarantine import (
    CrashQuarantine,
    CrashVerdict,
)
from dandelionyoke_dispatch._crash_reports import (
    BlamedKey,
    CrashFindings,
    CrashReport,
    CrashSettings,
    KeyAnswer,
    UntoldAnswers,
)
from dandelionyoke_dispatch._crash_verdicts import (
    Verdicts,
    is_sufficient,
    judge,
)
from dandelionyoke_dispatch._target_answers import NEVER_S, AliveSpan


class CrashGuard:
    """The crashes of targets, and the keys that are refused for them."""

    def __init__(self, settings: CrashSettings) -> None:
        self.settings = settings
        self._evidence = CrashEvidence(settings)
        self._quarantine = CrashQuarantine(settings.quarantine)
        # Keys that were in enough crashes to be blamed.
        self._suspects: dict[str, KeyCrashes] = {}
        self._verdicts = Verdicts()
        # What other nodes may blame or take for dead, as they lack answers of
        # this node; targets with the time of their report.
        self._untold_keys: set[str] = set()
        self._untold_targets: dict[str, float] = {}
        # Reports for the other nodes, with the time of each, the oldest first.
        self._reports: list[tuple[float, CrashReport]] = []
        # The number of reports so far; those that were dropped count.
        self.report_count = 0

    def take_report(self, report: CrashReport, now_s: float) -> CrashFindings:
        """Take a report of this node or another one.

        A report that is known already changes nothing.
        """
        reported_s = now_s - report.age_s
        if self._is_known(report) or report.age_s > self.settings.memory_s:
            return CrashFindings()
        self._keep_report(report, reported_s, now_s)
        changed = set(report.keys)
        for answer in report.answers:
            begun_s = now_s - answer.age_s
            self._evidence.add_answer(answer.key, begun_s, told=True)
            changed.add(answer.key)
        if report.alive:
            span = AliveSpan(now_s - report.alive_since_age_s, reported_s)
            changed |= self._evidence.add_target_answer(
                report.alive, span, told=True
            )
        if report.target:
            if not self._evidence.add_crash(report, reported_s):
                self._untold_targets[report.target] = reported_s
        extended = self._extend(report, reported_s)
        findings = self._review(changed, now_s)
        return attrs.evolve(findings, blamed=extended + findings.blamed)

    def record_answer(self, keys: CrashKeys, begun_s: float) -> CrashFindings:
        """Record an answer that began well."""
        named = keys.parts if self._evidence.is_empty else keys.all
        for key in named:
            self._evidence.add_answer(key, begun_s, told=False)
        suspected = self._suspects.keys() & set(named)
        findings = self._review(suspected, begun_s)
        cleared = suspected - self._suspects.keys()
        return attrs.evolve(findings, cleared=tuple(sorted(cleared)))

    def disprove_crash(
        self, target: str, begun_s: float, since_s: float = NEVER_S
    ) -> CrashFindings | None:
        """Take a crash back that was reported while the target was alive.

        A path that is cut looks like a crash. `target` names one start of it,
        which was alive from `since_s` until an answer began at `begun_s`.
        Returns None if there is none.
        """
        span = AliveSpan(since_s, begun_s)
        keys = self._evidence.add_target_answer(target, span, told=False)
        return self._review(keys, begun_s) if keys else None

    def has_crash(self, target: str, before_s: float) -> bool:
        """Whether a start of a target is taken for dead since before a time."""
        return self._evidence.has_crash(target, before_s)

    def admit(
        self, keys: CrashKeys, now_s: float, may_try: Callable[[str], bool]
    ) -> CrashVerdict:
        """Decide whether a call may be sent.

        `may_try` tells whether this node tries calls with a key whose
        quarantine is over.
        """
        return self._quarantine.admit(keys.all, now_s, may_try)

    def may_repeat(self, keys: CrashKeys, now_s: float) -> bool:
        """Whether a call may be sent again that a target may have run."""
        if self._evidence.is_empty:
            return True
        return not any(self._is_suspect(key, now_s) for key in keys.all)

    def answers_to(
        self, keys: Iterable[str], now_s: float
    ) -> tuple[KeyAnswer, ...]:
        """Return when the last answers with some keys began, if any did."""
        answers = ((key, self._evidence.answered_s(key)) for key in set(keys))
        return tuple(
            KeyAnswer(key, now_s - begun_s)
            for key, begun_s in sorted(answers)
            if begun_s is not None
        )

    @property
    def has_untold(self) -> bool:
        """Whether this node may have something to tell the others."""
        return bool(self._untold_keys or self._untold_targets)

    def take_untold(self, now_s: float) -> UntoldAnswers:
        """Return once what this node has to tell the others."""
        spans = {
            target: span
            for target, reported_s in self._untold_targets.items()
            if (span := self._evidence.untold_span(target, reported_s))
        }
        untold = UntoldAnswers(
            tuple(
                key
                for key in sorted(self._untold_keys)
                if self._is_untold(key, now_s)
            ),
            tuple(spans),
            tuple(spans.values()),
        )
        self._untold_keys.clear()
        self._untold_targets.clear()
        return untold

    def reports_since(
        self, count: int, now_s: float
    ) -> tuple[CrashReport, ...]:
        """Return the reports after the first `count`, unless expired."""
        first = self.report_count - len(self._reports)
        oldest_s = now_s - self.settings.memory_s
        return tuple(
            report.grown_older(now_s - reported_s - report.age_s)
            for reported_s, report in self._reports[max(0, count - first) :]
            if reported_s >= oldest_s
        )

    # Reports.

    def _is_known(self, report: CrashReport) -> bool:
        return any(
            (kept.target, kept.reporter) == (report.target, report.reporter)
            for _, kept in self._reports
        )

    def _keep_report(
        self, report: CrashReport, reported_s: float, now_s: float
    ) -> None:
        oldest_s = now_s - self.settings.memory_s
        self._reports = [kept for kept in self._reports if kept[0] >= oldest_s][
            1 - self.settings.max_crashes :
        ]
        self._reports.append((reported_s, report))
        self.report_count += 1

    # Verdicts.

    def _extend(
        self, report: CrashReport, crashed_s: float
    ) -> tuple[BlamedKey, ...]:
        """Refuse keys longer whose trial crashed a target."""
        if not report.target:
            return ()
        return tuple(
            BlamedKey(key, (report.target,))
            for key in sorted(set(report.keys))
            if self._quarantine.crashed(key, crashed_s)
        )

    def _review(self, keys: Iterable[str], now_s: float) -> CrashFindings:
        """Judge again after the evidence about some keys has changed."""
        changed = [key for key in keys if self._update_suspect(key, now_s)]
        expired = [key for key in self._suspects if self._is_over(key, now_s)]
        for key in expired:
            self._suspects.pop(key)
        if not changed and not expired:
            return CrashFindings()
        before = self._verdicts.keys
        self._verdicts = judge(self._suspects.values(), self.settings)
        released = sorted(before - self._verdicts.keys)
        for key in released:
            self._quarantine.lift(key)
        blamed = sorted(self._verdicts.keys - before)
        for key in blamed:
            self._quarantine.add(key, now_s)
        return CrashFindings(
            tuple(
                BlamedKey(key, tuple(self._suspects[key].times_s))
                for key in blamed
            ),
            tuple(key for key in released if key not in expired),
        )

    def _update_suspect(self, key: str, now_s: float) -> bool:
        """Count the crashes of a key again; return whether that matters."""
        known = self._suspects.get(key)
        crashes = self._evidence.crashes_of(key, now_s)
        if known is not None:
            crashes = self._keep_expired(crashes, known, now_s)
        if is_sufficient(crashes, self.settings):
            self._suspects[key] = crashes
            return crashes != known
        self._suspects.pop(key, None)
        if self._is_untold(key, now_s):
            self._untold_keys.add(key)
        return known is not None

    def _keep_expired(
        self, crashes: KeyCrashes, known: KeyCrashes, now_s: float
    ) -> KeyCrashes:
        """Keep crashes that are too old to blame a key, but have blamed it."""
        oldest_s = now_s - self.settings.memory_s
        answered_s = self._evidence.answered_s(crashes.key)
        expired = {
            target: crashed_s
            for target, crashed_s in known.times_s.items()
            if crashed_s < oldest_s
            and (answered_s is None or answered_s <= crashed_s)
        }
        return attrs.evolve(crashes, times_s=expired | crashes.times_s)

    def _is_over(self, key: str, now_s: float) -> bool:
        """Whether a key is neither refused nor in a recent crash."""
        if self._quarantine.is_refused(key, now_s):
            return False
        newest_s = max(self._suspects[key].times_s.values())
        return newest_s < now_s - self.settings.memory_s

    def _is_suspect(self, key: str, now_s: float) -> bool:
        """Whether a key was in some crashes that no refused one explains."""
        crashes = self._evidence.crashes_of(key, now_s)
        unexplained = crashes.times_s.keys() - self._verdicts.explained
        return (
            not crashes.is_proven
            and len(unexplained) >= self.settings.suspect_crashes
        )

    def _is_untold(self, key: str, now_s: float) -> bool:
        """Whether only answers of this node keep a key from being blamed."""
        told = self._evidence.crashes_of(key, now_s, told_only=True)
        own = self._evidence.crashes_of(key, now_s)
        return is_sufficient(told, self.settings) and not is_sufficient(
            own, self.settings
        )
