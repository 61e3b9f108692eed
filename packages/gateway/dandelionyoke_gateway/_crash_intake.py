"""Takes reports of crashes from any source and logs what follows from them."""

from dandelionyoke_dispatch import CrashReport
from dandelionyoke_gateway._knowledge import Knowledge
from dandelionyoke_gateway._log import DecisionLog


class CrashIntake:
    """Adds reports to what this node knows."""

    def __init__(self, knowledge: Knowledge, log: DecisionLog) -> None:
        self._knowledge = knowledge
        self._log = log

    def take(self, report: CrashReport, source: str) -> None:
        """Take a report that came from a source: a node, or the store."""
        crashes = self._knowledge.crashes
        known_count = crashes.report_count
        blamed = self._knowledge.take_crash(report)
        if crashes.report_count > known_count:
            self._log.decide(
                'crash.taken',
                report.target or report.alive,
                outcome='counted' if report.target else 'answers',
                reporter=report.reporter,
                source=source,
                age_s=report.age_s,
                keys=len(set(report.keys)),
            )
        for key in blamed:
            self._log.decide(
                'key.blamed',
                key.key,
                outcome='refused',
                targets=','.join(key.targets),
            )
