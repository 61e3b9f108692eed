"""Assigns the prefill or decode phase to engines, under the duty."""

from collections.abc import Mapping, Sequence

import attrs
from eventlet import sleep, spawn_n

from dandelionyoke_dispatch import (
    BalancedSplit,
    CapacityPhasePlan,
    CapacityPhaseSettings,
    Phase,
    PhaseChange,
    PhaseLoad,
    PhasePlan,
    PhasePlanSettings,
    PhaseSwitchSettings,
    RegisteredTarget,
)
from dandelionyoke_gateway._clock import clock_s
from dandelionyoke_gateway._duty_task import DutyTask
from dandelionyoke_gateway._engine_capacity import (
    WAITING_STREAM_SHARE,
    EngineCapacities,
)
from dandelionyoke_gateway._knowledge import Knowledge
from dandelionyoke_gateway._log import DecisionLog
from dandelionyoke_gateway._ports import (
    DutyClient,
    EngineClient,
    PhaseOrder,
)

CHECK_INTERVAL_S = 0.5
# The registry shows an accepted order after a heartbeat, the registry's lag
# and the switch itself. Until then the new phase is assumed.
ORDER_EFFECT_TIMEOUT_S = 5.0
ORDER_RETRY_INTERVAL_S = 1.5

LogFields = Mapping[str, str | float | None]


@attrs.frozen
class _PlannedChanges:
    """The phase changes wanted now, and what they are based on."""

    changes: Sequence[PhaseChange]
    inputs: LogFields


@attrs.frozen
class _AssumedPhase:
    """The phase that an engine is assumed to have, and until when."""

    phase: Phase
    expires_s: float


class PendingFleetChanges:
    """Tracks until when engines start or stop because of this fleet's orders.

    Phases chosen meanwhile may go to engines that the platform is about to
    remove, and the engines that stay need seconds to switch again.
    """

    def __init__(self) -> None:
        self._until_s = 0.0

    def expect(self, duration_s: float) -> None:
        """Expect engines to start or stop for the next `duration_s` seconds."""
        self._until_s = max(self._until_s, clock_s() + duration_s)

    @property
    def in_progress(self) -> bool:
        """Whether engines are still expected to start or stop."""
        return clock_s() < self._until_s


class PhaseTask:
    """Adapts the engines' phases to the load while this node has the duty."""

    def __init__(
        self,
        knowledge: Knowledge,
        duty: DutyTask,
        client: DutyClient,
        engines: EngineClient,
        changes: PendingFleetChanges,
        log: DecisionLog,
    ) -> None:
        self._knowledge = knowledge
        self._duty = duty
        self._client = client
        self._engines = engines
        self._changes = changes
        self._log = log
        self._plans: dict[str, PhasePlan] = {}
        self._capacities = EngineCapacities(knowledge)
        self._capacity_plans: dict[str, CapacityPhasePlan] = {}
        self._assumed_phases: dict[str, _AssumedPhase] = {}

    def run(self) -> None:
        """Compare planned and registered phases until the process exits."""
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
        if self._knowledge.reach.is_cut_off(service):
            # What this node sees of the engines says nothing of them, and
            # none would get its order.
            return
        now_s = clock_s()
        registered = self._reachable_engines(service, now_s)
        engines = self._with_assumed_phases(registered, now_s)
        settled = frozenset(
            target.target_id
            for target, reported in zip(engines, registered, strict=True)
            if target.phase is reported.phase
        )
        phases = {engine.phase for engine in engines}
        has_both = {Phase.PREFILL, Phase.DECODE} <= phases
        is_deferring = has_both and self._changes.in_progress
        if self._capacities.is_planned(service, now_s):
            self._capacities.observe(service, now_s)
            planned = self._plan_by_capacity(service, engines, settled, now_s)
        else:
            planned = self._plan_by_load(service, engines, settled, now_s)
        for change in planned.changes:
            if self._duty.stamp is None:
                break
            if is_deferring and not change.target.is_reclaimable:
                continue
            self._assume(change, ORDER_RETRY_INTERVAL_S)
            spawn_n(self._send_order, change, planned.inputs)

    def _plan_by_load(
        self,
        service: str,
        engines: Sequence[RegisteredTarget],
        settled: frozenset[str],
        now_s: float,
    ) -> _PlannedChanges:
        plan = self._plans.setdefault(
            service, PhasePlan(PhasePlanSettings(), BalancedSplit())
        )
        load = self._phase_load(service, engines, settled, now_s)
        changes: Sequence[PhaseChange] = ()
        if self._duty.stamp is None:
            # Keep the load history current in case this node gains the duty.
            plan.observe(load, now_s)
        else:
            changes = plan.changes(engines, load, now_s, settled)
        inputs = {
            'wanted_decode': plan.wanted,
            'peak_streams': plan.peak.streams,
            'peak_prompts': plan.peak.prompts,
        }
        return _PlannedChanges(changes, inputs)

    def _plan_by_capacity(
        self,
        service: str,
        engines: Sequence[RegisteredTarget],
        settled: frozenset[str],
        now_s: float,
    ) -> _PlannedChanges:
        if self._duty.stamp is None:
            return _PlannedChanges((), {})
        plan = self._capacity_plans.setdefault(
            service,
            CapacityPhasePlan(CapacityPhaseSettings(), PhaseSwitchSettings()),
        )
        capacity = self._capacities.read(service, now_s)
        changes = plan.changes(engines, capacity.need, capacity.speeds, settled)
        inputs = {
            **capacity.log_fields(),
            'wanted_decode': plan.wanted,
            'capacity_prefill': plan.capacity.prefill,
            'capacity_decode': plan.capacity.decode,
        }
        return _PlannedChanges(changes, inputs)

    def _reachable_engines(
        self, service: str, now_s: float
    ) -> list[RegisteredTarget]:
        """Return the listed engines that have not crashed.

        Crashed engines are still listed but generate no tokens, so others must
        replace them now.
        """
        loads = self._knowledge.loads
        return [
            target
            for target in self._knowledge.registry.of_service(service)
            if not loads.is_unreachable(target.target_id, now_s)
        ]

    def _with_assumed_phases(
        self, engines: Sequence[RegisteredTarget], now_s: float
    ) -> list[RegisteredTarget]:
        self._assumed_phases = {
            target_id: assumed
            for target_id, assumed in self._assumed_phases.items()
            if now_s < assumed.expires_s
        }
        return [
            attrs.evolve(engine, phase=self._phase_of(engine))
            for engine in engines
        ]

    def _phase_of(self, engine: RegisteredTarget) -> Phase:
        """Return the phase to plan with.

        An engine whose phase is unknown counts as listed, so that no other one
        is ordered to take its place.
        """
        assumed = self._assumed_phases.get(engine.target_id)
        if assumed is not None:
            return assumed.phase
        return self._knowledge.registry.listed_phase(engine)

    def _assume(self, change: PhaseChange, duration_s: float) -> None:
        self._assumed_phases[change.target.target_id] = _AssumedPhase(
            change.phase, clock_s() + duration_s
        )

    def _send_order(self, change: PhaseChange, inputs: LogFields) -> None:
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
            version=target.version,
            phase=order.phase.value,
            fence=stamp.fence,
            order_count=order.expected_order_count,
            **inputs,
        )

    def _phase_load(
        self,
        service: str,
        engines: Sequence[RegisteredTarget],
        settled: frozenset[str],
        now_s: float,
    ) -> PhaseLoad:
        """Estimate the load of both phases.

        Waiting streams accumulate, and most would be finished by the time
        that an engine has switched. So they count only up to a share of the
        slots of the engines that already decode.
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
        """Estimate the streams in flight at the decode engines.

        Engines with a recent load report count by it, all others by the
        streams that the nodes of a domain have in flight.
        """
        if not decode:
            return 0
        loads = self._knowledge.loads
        reported = sum(
            loads.has_recent_report(target.target_id, now_s)
            for target in decode
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
