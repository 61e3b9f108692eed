"""Finds out why a target answered that a call is not for it.

The same answer comes from another target at the address and from an engine in
another phase, which the registry lists seconds later.
"""

from eventlet import sleep, spawn_n

from dandelionyoke_dispatch import Phase, RegisteredTarget
from dandelionyoke_gateway._clock import clock_s
from dandelionyoke_gateway._crash_task import CrashReports
from dandelionyoke_gateway._knowledge import Knowledge
from dandelionyoke_gateway._log import DecisionLog
from dandelionyoke_gateway._ports import (
    IdentifyingEngineClient,
    TargetIdentity,
)

# An engine that does not answer is asked again, in vain if it has crashed.
MAX_CHECKS = 3
CHECK_INTERVAL_S = 1.0


class MisdirectedCalls:
    """Asks the targets that answered so, once for all calls."""

    def __init__(
        self,
        knowledge: Knowledge,
        engines: IdentifyingEngineClient,
        crash_reports: CrashReports,
        log: DecisionLog,
    ) -> None:
        self._registry = knowledge.registry
        self._engines = engines
        self._crash_reports = crash_reports
        self._log = log

    def take(self, target: RegisteredTarget, *, is_engine: bool) -> None:
        """Take such an answer to a call; returns at once.

        A target of a plain service has no phase, so that another one answered.
        """
        if not is_engine and target.phase is Phase.ANY:
            self._leave_alone(target)
        elif self._registry.refuse_phase(target, clock_s()):
            spawn_n(self._check, target)

    def _check(self, target: RegisteredTarget) -> None:
        identity = self._identify(target)
        if identity is TargetIdentity.OTHER:
            self._registry.forget_phase(target.target_id)
            self._leave_alone(target)
            return
        phase: Phase | None = None
        if identity is TargetIdentity.SAME:
            phase = self._registry.settle_phase(target)
        else:
            self._registry.forget_phase(target.target_id)
        self._log.decide(
            'target.phase',
            target.target_id,
            outcome=identity.value,
            refused=target.phase.value,
            phase=None if phase is None else phase.value,
        )

    def _identify(self, target: RegisteredTarget) -> TargetIdentity:
        for _ in range(MAX_CHECKS):
            identity = self._engines.identify(target)
            if identity is not TargetIdentity.UNKNOWN:
                return identity
            sleep(CHECK_INTERVAL_S)
        return TargetIdentity.UNKNOWN

    def _leave_alone(self, target: RegisteredTarget) -> None:
        """Send it no call until the registry lists a new start."""
        self._log.decide(
            'target.replaced', target.target_id, outcome='left alone'
        )
        self._registry.mark_leaving(target.target_id, target.started_ms)
        self._crash_reports.replaced(target)
