"""Runs that a crash was counted for, until their engines answer again."""

from collections import OrderedDict, deque

import attrs

from dandelionyoke_core._names import TargetId
from dandelionyoke_core._quarantine_settings import QuarantineSettings
from dandelionyoke_core._runs import Run


@attrs.define
class _Engine:
    """The newest report of an engine, and the runs that it is to disprove."""

    incarnation: str
    report_taken_s: float
    evidence: deque[tuple[float, Run]]


class CrashEvidence:
    """Finds out which engines did not crash after all.

    An engine that was silent or cut off looks like one that crashed. A report
    that it makes later, under the incarnation of the run, disproves the crash.
    """

    def __init__(self, settings: QuarantineSettings) -> None:
        self._settings = settings
        self._engines: OrderedDict[TargetId, _Engine] = OrderedDict()

    def incarnation(self, target_id: TargetId) -> str:
        """Return the last known incarnation of an engine, or ''."""
        engine = self._engines.get(target_id)
        return '' if engine is None else engine.incarnation

    def add(self, run: Run, now_s: float) -> None:
        """Record that a crash was counted for a run."""
        engine = self._engines.get(run.target_id)
        if engine is not None:
            engine.evidence.append((now_s, run))

    def learn(
        self, target_id: TargetId, incarnation: str, report_taken_s: float
    ) -> list[Run]:
        """Learn from a report; return the runs that it disproves."""
        engine = self._engines.get(target_id)
        if engine is None:
            engine = _Engine(
                incarnation,
                report_taken_s,
                deque(maxlen=self._settings.max_lost),
            )
            self._engines[target_id] = engine
            self._remove_oldest()
        if report_taken_s < engine.report_taken_s:
            return []
        self._engines.move_to_end(target_id)
        engine.incarnation = incarnation
        engine.report_taken_s = report_taken_s
        return [
            run
            for run in _take_older(engine.evidence, report_taken_s)
            if run.incarnation == incarnation
        ]

    def _remove_oldest(self) -> None:
        if len(self._engines) > self._settings.max_engines:
            self._engines.popitem(last=False)


def _take_older(
    evidence: deque[tuple[float, Run]], until_s: float
) -> list[Run]:
    """Remove and return the runs recorded before a time."""
    taken: list[Run] = []
    while evidence and evidence[0][0] < until_s:
        _, run = evidence.popleft()
        taken.append(run)
    return taken
