"""Refusal of calls that crash the engines running them.

Such calls are sent again, through any node, and would take one engine after
the other out of service. The nodes tell each other which calls broke off when
a target crashed. A key that is in the calls of several crashes, and with which
no answer began well since, is refused by all nodes.
"""

from collections import Counter, OrderedDict
from collections.abc import Callable, Iterable

import attrs

from dandelionyoke_dispatch._crash_keys import CrashKeys
from dandelionyoke_dispatch._crash_quarantine import (
    CrashQuarantine,
    CrashVerdict,
    QuarantineSettings,
)


@attrs.frozen
class CrashSettings:
    """What counts against a key and for it, and what is remembered.

    A key counts in a crash while its call has not begun or has begun less
    than `settled_s` before; an answer that lasted longer began well. A key
    without an answer in the last `memory_s` is refused after `crashes`
    targets, another one after `proven_crashes` in rounds that are `round_s`
    apart: targets that crash at once may share a rack. Calls with a key in
    `suspect_crashes` are not sent again.
    """

    crashes: int = 3
    proven_crashes: int = 5
    suspect_crashes: int = 2
    round_s: float = 1.0
    settled_s: float = 1.0
    memory_s: float = 60.0
    max_crashes: int = 256
    max_answers: int = 8192
    quarantine: QuarantineSettings = attrs.field(factory=QuarantineSettings)


@attrs.frozen
class KeyAnswer:
    """How long ago the last answer to a call with a key began."""

    key: str
    age_s: float


@attrs.frozen
class CrashReport:
    """What a node knows of the crash of a target, and how long ago it was.

    `keys` are those of the calls that broke off, each as often as calls had
    it. A report of answers alone names no target. The target `alive`, if any,
    has answered after its crash was reported.
    """

    target: str
    reporter: str
    age_s: float
    keys: tuple[str, ...] = ()
    answers: tuple[KeyAnswer, ...] = ()
    alive: str = ''


@attrs.frozen
class BlamedKey:
    """A key that is refused from now on, and the crashes that show it."""

    key: str
    targets: tuple[str, ...]


@attrs.define
class _Crash:
    """The crash of a target: how many broken calls had each key."""

    crashed_s: float
    calls: Counter[str] = attrs.field(factory=Counter)


@attrs.frozen
class _Suspicion:
    """The unexplained crashes of a key."""

    key: str
    is_proven: bool
    times_s: tuple[float, ...]
    call_count: int

    @property
    def rank(self) -> tuple[bool, int, int, str]:
        """The order in which keys are blamed; the first one is the cause."""
        return (
            self.is_proven,
            -len(self.times_s),
            self.call_count,
            self.key,
        )


class CrashGuard:
    """The crashes of targets, and the keys that are refused for them."""

    def __init__(self, settings: CrashSettings) -> None:
        self.settings = settings
        self._crashes: OrderedDict[str, _Crash] = OrderedDict()
        # When the last answer began that speaks for a key.
        self._answers_s: OrderedDict[str, float] = OrderedDict()
        self._quarantine = CrashQuarantine(settings.quarantine)
        # Reports for the other nodes, with the time of each, the oldest first.
        self._reports: list[tuple[float, CrashReport]] = []
        # The number of reports so far; those that were dropped count.
        self.report_count = 0

    def take_report(
        self, report: CrashReport, now_s: float
    ) -> tuple[BlamedKey, ...]:
        """Take a report of this node or another one; return what is blamed.

        A report that is known already changes nothing.
        """
        reported_s = now_s - report.age_s
        if self._is_known(report) or report.age_s > self.settings.memory_s:
            return ()
        self._keep_report(report, reported_s, now_s)
        for answer in report.answers:
            self._take_answer(answer.key, now_s - answer.age_s)
        if report.alive:
            self.disprove_crash(report.alive, reported_s)
        if not report.target:
            return ()
        self._add_crash(report, reported_s)
        extended = self._extend(report, reported_s)
        return extended + self._judge(frozenset(report.keys), now_s)

    def record_answer(self, keys: CrashKeys, begun_s: float) -> tuple[str, ...]:
        """Record an answer that began well; return the keys it cleared."""
        named = keys.all if self._crashes else keys.parts
        return tuple(key for key in named if self._take_answer(key, begun_s))

    def disprove_crash(self, target: str, begun_s: float) -> bool:
        """Take a crash back if an answer of the target began after it.

        A path that is cut looks like a crash. Returns whether it did.
        """
        crash = self._crashes.get(target)
        if crash is None or begun_s <= crash.crashed_s:
            return False
        self._crashes.pop(target)
        for key in crash.calls:
            if self._crash_count(key) < self.settings.crashes:
                self._quarantine.lift(key)
        return True

    def admit(
        self, keys: CrashKeys, now_s: float, may_try: Callable[[str], bool]
    ) -> CrashVerdict:
        """Decide whether a call may be sent.

        `may_try` tells whether this node tries calls with a key whose
        quarantine is over.
        """
        for key in keys.all:
            verdict = self._quarantine.admit(key, now_s, may_try)
            if verdict != CrashVerdict():
                return verdict
        return CrashVerdict()

    def may_repeat(self, keys: CrashKeys, now_s: float) -> bool:
        """Whether a call may be sent again that a target may have run."""
        if not self._crashes:
            return True
        return not any(
            not suspicion.is_proven
            and len(suspicion.times_s) >= self.settings.suspect_crashes
            for suspicion in self._suspicions(frozenset(keys.all), now_s)
        )

    def answers_to(
        self, keys: Iterable[str], now_s: float
    ) -> tuple[KeyAnswer, ...]:
        """Return when the last answers with some keys began, if any did."""
        return tuple(
            KeyAnswer(key, now_s - self._answers_s[key])
            for key in sorted(set(keys))
            if key in self._answers_s
        )

    def reports_since(
        self, count: int, now_s: float
    ) -> tuple[CrashReport, ...]:
        """Return the reports after the first `count`, unless expired."""
        first = self.report_count - len(self._reports)
        oldest_s = now_s - self.settings.memory_s
        return tuple(
            attrs.evolve(
                report,
                age_s=now_s - reported_s,
                answers=tuple(
                    attrs.evolve(
                        answer,
                        age_s=answer.age_s + now_s - reported_s - report.age_s,
                    )
                    for answer in report.answers
                ),
            )
            for reported_s, report in self._reports[max(0, count - first) :]
            if reported_s >= oldest_s
        )

    # Evidence.

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

    def _add_crash(self, report: CrashReport, crashed_s: float) -> None:
        crash = self._crashes.setdefault(report.target, _Crash(crashed_s))
        crash.crashed_s = min(crash.crashed_s, crashed_s)
        crash.calls.update(report.keys)
        while len(self._crashes) > self.settings.max_crashes:
            self._crashes.popitem(last=False)

    def _take_answer(self, key: str, begun_s: float) -> bool:
        """Record an answer; return whether it ends a quarantine."""
        known_s = self._answers_s.pop(key, begun_s)
        self._answers_s[key] = max(known_s, begun_s)
        while len(self._answers_s) > self.settings.max_answers:
            self._answers_s.popitem(last=False)
        return self._quarantine.answered(key, begun_s)

    def _crash_count(self, key: str) -> int:
        return sum(key in crash.calls for crash in self._crashes.values())

    # Verdicts.

    def _extend(
        self, report: CrashReport, crashed_s: float
    ) -> tuple[BlamedKey, ...]:
        """Refuse keys longer whose trial crashed a target."""
        return tuple(
            BlamedKey(key, (report.target,))
            for key in sorted(set(report.keys))
            if self._quarantine.crashed(key, crashed_s)
        )

    def _judge(
        self, keys: frozenset[str], now_s: float
    ) -> tuple[BlamedKey, ...]:
        """Blame the most likely of some keys until none is left to blame."""
        blamed = []
        while (cause := self._find_cause(keys, now_s)) is not None:
            targets = tuple(
                target
                for target, crash in self._crashes.items()
                if cause in crash.calls
            )
            self._quarantine.add(cause, now_s)
            blamed.append(BlamedKey(cause, targets))
        return tuple(blamed)

    def _find_cause(self, keys: frozenset[str], now_s: float) -> str | None:
        likely = [
            suspicion
            for suspicion in self._suspicions(keys, now_s)
            if self._is_sufficient(suspicion)
        ]
        if not likely:
            return None
        return min(likely, key=lambda suspicion: suspicion.rank).key

    def _is_sufficient(self, suspicion: _Suspicion) -> bool:
        times_s = suspicion.times_s
        if not suspicion.is_proven:
            return len(times_s) >= self.settings.crashes
        if len(times_s) < self.settings.proven_crashes:
            return False
        return max(times_s) - min(times_s) >= self.settings.round_s

    def _suspicions(
        self, keys: frozenset[str], now_s: float
    ) -> list[_Suspicion]:
        """Look for keys in the crashes that no refused key explains."""
        oldest_s = now_s - self.settings.memory_s
        unexplained = [
            crash
            for crash in self._crashes.values()
            if crash.crashed_s >= oldest_s
            and not self._is_explained(crash, now_s)
        ]
        return [self._suspicion(key, unexplained, oldest_s) for key in keys]

    def _suspicion(
        self, key: str, unexplained: Iterable[_Crash], oldest_s: float
    ) -> _Suspicion:
        """Count the crashes after the last answer to a call with a key."""
        answered_s = self._answers_s.get(key, oldest_s)
        crashes = [
            crash
            for crash in unexplained
            if key in crash.calls and crash.crashed_s >= answered_s
        ]
        return _Suspicion(
            key,
            answered_s > oldest_s,
            tuple(crash.crashed_s for crash in crashes),
            sum(crash.calls[key] for crash in crashes),
        )

    def _is_explained(self, crash: _Crash, now_s: float) -> bool:
        return any(
            self._quarantine.is_refused(key, now_s) for key in crash.calls
        )
