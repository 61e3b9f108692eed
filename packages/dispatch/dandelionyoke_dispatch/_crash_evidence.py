"""The crashes that are known, and the answers that speak against them.

It depends on the set of reports, not on the order in which they arrive.
"""

from collections import OrderedDict
from collections.abc import Iterable

import attrs

from dandelionyoke_dispatch._crash_reports import CrashReport, CrashSettings
from dandelionyoke_dispatch._target_answers import AliveSpan, TargetAnswers


@attrs.define
class _Crash:
    """The crash of a target: the keys and the time of each report."""

    reports: list[tuple[float, frozenset[str]]] = attrs.field(factory=list)

    @property
    def crashed_s(self) -> float:
        return min(reported_s for reported_s, _ in self.reports)

    @property
    def keys(self) -> frozenset[str]:
        return frozenset().union(*(keys for _, keys in self.reports))

    def disprove(self, span: AliveSpan) -> bool:
        """Drop the reports from while it lived; return whether any was."""
        kept = [
            report for report in self.reports if not span.includes(report[0])
        ]
        is_disproved = len(kept) < len(self.reports)
        self.reports = kept
        return is_disproved


class _Answers:
    """When the last answer with a key began.

    This node's own answers are kept apart from those in reports, which all
    nodes know.
    """

    def __init__(self, max_answers: int) -> None:
        self._own = _LastTimes(max_answers)
        self._told = _LastTimes(max_answers)

    def take(self, name: str, begun_s: float, *, told: bool) -> None:
        (self._told if told else self._own).take(name, begun_s)

    def last_s(self, name: str, *, told_only: bool = False) -> float | None:
        told_s = self._told.last_s(name)
        own_s = None if told_only else self._own.last_s(name)
        times_s = (
            begun_s for begun_s in (told_s, own_s) if begun_s is not None
        )
        return max(times_s, default=None)


class _LastTimes:
    """The latest time by name, of the names that had one last."""

    def __init__(self, max_names: int) -> None:
        self._max_names = max_names
        self._times_s: OrderedDict[str, float] = OrderedDict()

    def take(self, name: str, time_s: float) -> None:
        self._times_s[name] = max(time_s, self._times_s.pop(name, time_s))
        while len(self._times_s) > self._max_names:
            self._times_s.popitem(last=False)

    def last_s(self, name: str) -> float | None:
        return self._times_s.get(name)


@attrs.frozen
class KeyCrashes:
    """The crashes that count against a key, with their times by target."""

    key: str
    is_proven: bool
    times_s: dict[str, float]


class CrashEvidence:
    """Crashes of targets by key, and answers to calls by key."""

    def __init__(self, settings: CrashSettings) -> None:
        self._settings = settings
        self._crashes: OrderedDict[str, _Crash] = OrderedDict()
        self._targets_of: dict[str, set[str]] = {}
        self._answers = _Answers(settings.max_answers)
        self._target_answers = TargetAnswers(settings.max_answers)

    @property
    def is_empty(self) -> bool:
        """Whether no crash is known."""
        return not self._crashes

    def add_crash(self, report: CrashReport, reported_s: float) -> bool:
        """Add a report; False if its target was alive then."""
        if self._target_answers.was_alive(report.target, reported_s):
            return False
        keys = frozenset(report.keys)
        crash = self._crashes.setdefault(report.target, _Crash())
        crash.reports.append((reported_s, keys))
        for key in keys:
            self._targets_of.setdefault(key, set()).add(report.target)
        while len(self._crashes) > self._settings.max_crashes:
            self._forget_crash(next(iter(self._crashes)))
        return True

    def has_crash(self, target: str, before_s: float) -> bool:
        """Whether a crash of a target was reported before a time."""
        crash = self._crashes.get(target)
        return crash is not None and crash.crashed_s < before_s

    def add_target_answer(
        self, target: str, span: AliveSpan, *, told: bool
    ) -> frozenset[str]:
        """Take back the crashes that were reported while a target lived.

        Returns the keys that this speaks for.
        """
        self._target_answers.take(target, span, told=told)
        crash = self._crashes.get(target)
        if crash is None:
            return frozenset()
        keys = crash.keys
        if not crash.disprove(span):
            return frozenset()
        self._drop_target(target, keys - crash.keys)
        if not crash.reports:
            self._crashes.pop(target)
        return keys

    def untold_span(self, target: str, reported_s: float) -> AliveSpan | None:
        """Return the span of a target that only this node knows, if any."""
        answers = self._target_answers
        if answers.was_alive(target, reported_s, told_only=True):
            return None
        return answers.own_span(target, reported_s)

    def add_answer(self, key: str, begun_s: float, *, told: bool) -> None:
        """Add an answer to a call with a key; `told` if it is in a report."""
        self._answers.take(key, begun_s, told=told)

    def answered_s(self, key: str, *, told_only: bool = False) -> float | None:
        """Return when the last answer with a key began, if one did."""
        return self._answers.last_s(key, told_only=told_only)

    def crashes_of(
        self, key: str, now_s: float, *, told_only: bool = False
    ) -> KeyCrashes:
        """Return the crashes since the last answer to a call with a key."""
        oldest_s = now_s - self._settings.memory_s
        answered_s = self.answered_s(key, told_only=told_only)
        is_proven = answered_s is not None and answered_s > oldest_s
        since_s = oldest_s if answered_s is None else max(answered_s, oldest_s)
        times_s = {
            target: self._crashes[target].crashed_s
            for target in self._targets_of.get(key, ())
        }
        return KeyCrashes(
            key,
            is_proven,
            {
                target: crashed_s
                for target, crashed_s in times_s.items()
                if crashed_s >= since_s
            },
        )

    def _forget_crash(self, target: str) -> None:
        crash = self._crashes.pop(target)
        self._drop_target(target, crash.keys)

    def _drop_target(self, target: str, keys: Iterable[str]) -> None:
        for key in keys:
            targets = self._targets_of[key]
            targets.discard(target)
            if not targets:
                self._targets_of.pop(key)
