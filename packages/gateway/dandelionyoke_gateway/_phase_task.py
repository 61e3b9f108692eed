"""What the duty's holder orders: which engine does which phase."""

from collections.abc import Sequence

import attrs
from eventlet import sleep, spawn_n

from dandelionyoke_dispatch import (
    BalancedSplit,
    Phase,
    PhaseChange,
    PhaseLoad,
    PhasePlan,
    PhasePlanSettings,
    RegisteredTarget,
)
from dandelionyoke_gateway._clock import clock_s
from dandelionyoke_gateway._duty_task import DutyTask
from dandelionyoke_gateway._knowledge import Knowledge
from dandelionyoke_gateway._log import DecisionLog
from dandelionyoke_gateway._ports import (
    DutyClient,
    EngineClient,
    PhaseOrder,
)

CHECK_INTERVAL_S = 0.5
# An engine that took an order says so in the registry within a heartbeat,
# the registry's lag and the switch itself; until then its new phase is
# assumed.
ORDER_EFFECT_TIMEOUT_S = 5.0
ORDER_RETRY_INTERVAL_S = 1.5
# Of the calls that wait at an engine, those that count as streams: a share
# of its slots.
WAITING_STREAM_SHARE = 0.25


@attrs.frozen
class _AssumedPhase:
    """The phase that an engine is taken to have, until when."""

    phase: Phase
    expires_s: float


class FleetChanges:
    """Until when the numbers of engines are changing by our own orders.

    Phases that are chosen meanwhile are chosen for engines that the platform
    is about to take away, and those that stay need seconds to change again.
    """

    def __init__(self) -> None:
        self._until_s = 0.0

    def expect(self, duration_s: float) -> None:
        """Note that engines will come or go for so long."""
        self._until_s = max(self._until_s, clock_s() + duration_s)

    @property
    def in_progress(self) -> bool:
        """Whether engines are still coming or going."""
        return clock_s() < self._until_s


class PhaseTask:
    """Keeps the engines' phases in step with the mix, under the duty."""

    def __init__(
        self,
        knowledge: Knowledge,
        duty: DutyTask,
        client: DutyClient,
        engines: EngineClient,
        changes: FleetChanges,
        log: DecisionLog,
    ) -> None:
        self._knowledge = knowledge
        self._duty = duty
        self._client = client
        self._engines = engines
        self._changes = changes
        self._log = log
        self._plans: dict[str, PhasePlan] = {}
        self._assumed_phases: dict[str, _AssumedPhase] = {}

    def run(self) -> None:
        """Compare for as long as the process lives."""
        while True:
            sleep(CHECK_INTERVAL_S)
            self._reconcile()

    def _reconcile(self) -> None:
        configuration = self._knowledge.configuration
        if configuration is None:
            return
        for service in configuration.services.values():
            if service.engine is not None:
                self._reconcile_service(service.name)

    def _reconcile_service(self, service: str) -> None:
        now_s = clock_s()
        # Those that crashed make no tokens, although the registry still
        # lists them: others have to take their place now.
        registered = [
            target
            for target in self._knowledge.registry.of_service(service)
            if not self._knowledge.loads.is_lost(target.target_id, now_s)
        ]
        engines = self._with_assumed_phases(registered, now_s)
        settled = frozenset(
            target.target_id
            for target, reported in zip(engines, registered, strict=True)
            if target.phase is reported.phase
        )
        phases = {engine.phase for engine in engines}
        has_both = {Phase.PREFILL, Phase.DECODE} <= phases
        is_deferring = has_both and self._changes.in_progress
        plan = self._plans.setdefault(
            service, PhasePlan(PhasePlanSettings(), BalancedSplit())
        )
        load = self._phase_load(service, engines, settled, now_s)
        if self._duty.stamp is None:
            # A new holder knows how much there was to do of late.
            plan.observe(load, now_s)
            return
        for change in plan.changes(engines, load, now_s, settled):
            if self._duty.stamp is None:
                break
            if is_deferring and not change.target.is_reclaimable:
                continue
            self._assume(change, ORDER_RETRY_INTERVAL_S)
            spawn_n(self._send_order, change, plan)

    def _with_assumed_phases(
        self, engines: Sequence[RegisteredTarget], now_s: float
    ) -> list[RegisteredTarget]:
        self._assumed_phases = {
            target_id: assumed
            for target_id, assumed in self._assumed_phases.items()
            if now_s < assumed.expires_s
        }
        updated = []
        for engine in engines:
            assumed = self._assumed_phases.get(engine.target_id)
            if assumed is not None:
                engine = attrs.evolve(engine, phase=assumed.phase)
            updated.append(engine)
        return updated

    def _assume(self, change: PhaseChange, duration_s: float) -> None:
        self._assumed_phases[change.target.target_id] = _AssumedPhase(
            change.phase, clock_s() + duration_s
        )

    def _send_order(self, change: PhaseChange, plan: PhasePlan) -> None:
        target = change.target
        report = self._engines.read_report(target)
        if report is None or report.is_busy_with_order:
            return
        if report.phase is change.phase:
            self._assume(change, ORDER_EFFECT_TIMEOUT_S)
            return
        stamp = self._duty.stamp
        if stamp is None:
            return
        order = PhaseOrder(target, change.phase, report.order_count)
        answer = self._client.order_phase(order, stamp)
        if answer.is_accepted:
            self._assume(change, ORDER_EFFECT_TIMEOUT_S)
        self._log.decide(
            'engine.ordered',
            target.target_id,
            outcome=answer.outcome.value,
            cause=answer.cause,
            elapsed_s=answer.elapsed_s,
            phase=order.phase.value,
            wanted_decode=plan.wanted,
            peak_streams=plan.peak.streams,
            peak_prompts=plan.peak.prompts,
            fence=stamp.fence,
            order_count=order.expected_order_count,
        )

    def _phase_load(
        self,
        service: str,
        engines: Sequence[RegisteredTarget],
        settled: frozenset[str],
        now_s: float,
    ) -> PhaseLoad:
        """Tell what both phases have to do.

        Streams that wait grow in number while they wait, and most would be
        done by the time that an engine has changed: they count only up to a
        share of the slots of the engines that decode already.
        """
        expected = self._knowledge.demand.expected(
            service, self._knowledge.node_count, now_s
        )
        decode = [target for target in engines if target.phase is Phase.DECODE]
        max_streams = (1 + WAITING_STREAM_SHARE) * sum(
            target.slots for target in decode if target.target_id in settled
        )
        streams = self._count_streams(decode, expected.streams, now_s)
        return PhaseLoad(min(streams, max_streams), expected.prompts)

    def _count_streams(
        self,
        decode: Sequence[RegisteredTarget],
        expected: float,
        now_s: float,
    ) -> float:
        """Count the streams at the engines that decode.

        An engine that has told its load of late is counted by it, all others
        by the streams that the nodes of a domain have under way.
        """
        if not decode:
            return 0
        loads = self._knowledge.loads
        reported = sum(
            loads.is_told(target.target_id, now_s) for target in decode
        )
        observed = sum(
            min(
                loads.busy(target.target_id, now_s),
                target.slots * (1 + WAITING_STREAM_SHARE),
            )
            for target in decode
        )
        unreported_share = 1 - reported / len(decode)
        return observed + unreported_share * max(0, expected - observed)
