"""Calls to engines that no caller waits for, within the engines' limits."""

from eventlet import sleep

from dandelionyoke_dispatch import RegisteredTarget, WindowCounts
from dandelionyoke_gateway._ports import (
    CacheSource,
    DutyCallResult,
    DutyClient,
    DutyOutcome,
    EngineClient,
    EngineReport,
    FactsListener,
    FencingStamp,
    PhaseOrder,
    ResponseFacts,
    TargetCountOrder,
    TargetIdentity,
)
from dandelionyoke_gateway._target_gate import TargetGate, TargetLimitedError

# Engines hold a KV cache that nobody takes for a few seconds.
MAX_RELEASE_DELAY_S = 5.0


class LimitedEngineClient:
    """Leaves out calls that an engine would get beyond its limit."""

    def __init__(self, engines: EngineClient, gate: TargetGate) -> None:
        self._engines = engines
        self._gate = gate
        self._listener: FactsListener | None = None
        # The targets whose last answer came from another one.
        self._misdirected_ids: set[str] = set()

    def listen(self, listener: FactsListener) -> None:
        """Set the listener for what engines say of themselves in answers."""
        self._listener = listener
        self._engines.listen(self._hear)

    def read_report(self, target: RegisteredTarget) -> EngineReport | None:
        """Fetch the report of an engine; None if that fails."""
        try:
            self._gate.enter(target, 'report')
        except TargetLimitedError:
            # The caller uses the report of the next round instead.
            return None
        return self._engines.read_report(target)

    def identify(self, target: RegisteredTarget) -> TargetIdentity:
        """Ask an engine for its report, which names its start.

        A report is for one target in any phase, so that another one alone
        answers that it is not for it.
        """
        report = self.read_report(target)
        if report is None:
            is_other = target.target_id in self._misdirected_ids
            self._misdirected_ids.discard(target.target_id)
            return TargetIdentity.OTHER if is_other else TargetIdentity.UNKNOWN
        if None in {report.started_ms, target.started_ms}:
            return TargetIdentity.SAME
        is_same = report.started_ms == target.started_ms
        return TargetIdentity.SAME if is_same else TargetIdentity.OTHER

    def release_cache(self, cache: CacheSource) -> None:
        """Free the KV cache of a prompt that is no longer needed."""
        rest_left_s = self._gate.rest_left_s(cache.target)
        if rest_left_s > MAX_RELEASE_DELAY_S:
            # The engine releases the handle itself when its hold time ends.
            return
        if rest_left_s:
            sleep(rest_left_s)
        try:
            self._gate.enter(cache.target, 'release')
        except TargetLimitedError:
            # The engine releases the handle itself when its hold time ends.
            return
        self._engines.release_cache(cache)

    def _hear(self, target: RegisteredTarget, facts: ResponseFacts) -> None:
        if facts.is_misdirected:
            self._misdirected_ids.add(target.target_id)
        else:
            self._misdirected_ids.discard(target.target_id)
        if self._listener is not None:
            self._listener(target, facts)


class LimitedDutyClient:
    """Sends no order that an engine would get beyond its limit."""

    def __init__(self, duties: DutyClient, gate: TargetGate) -> None:
        self._duties = duties
        self._gate = gate

    def report_usage(
        self, counts: WindowCounts, stamp: FencingStamp
    ) -> DutyCallResult:
        """Report the usage counts of a window."""
        return self._duties.report_usage(counts, stamp)

    def order_targets(
        self, order: TargetCountOrder, stamp: FencingStamp
    ) -> DutyCallResult:
        """Order the platform to run a number of targets."""
        return self._duties.order_targets(order, stamp)

    def order_phase(
        self, order: PhaseOrder, stamp: FencingStamp
    ) -> DutyCallResult:
        """Order an engine to change its phase."""
        try:
            self._gate.enter(order.target, 'order')
        except TargetLimitedError as error:
            return DutyCallResult(DutyOutcome.NOT_SENT, str(error), 0.0)
        return self._duties.order_phase(order, stamp)
