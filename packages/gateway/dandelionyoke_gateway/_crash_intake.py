"""Takes reports of crashes from any source and logs what follows from them."""

from dandelionyoke_dispatch import CrashFindings, CrashReport
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
        findings = self._knowledge.take_crash(report)
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
        self.log_findings(findings)

    def log_findings(self, findings: CrashFindings) -> None:
        """Log which keys are refused or served again from now on, and why."""
        for blamed in findings.blamed:
            self._log.decide(
                'key.blamed',
                blamed.key,
                outcome='refused',
                targets=','.join(blamed.targets),
            )
        for key in findings.released:
            self._log.decide('key.cleared', key, outcome='served again')
