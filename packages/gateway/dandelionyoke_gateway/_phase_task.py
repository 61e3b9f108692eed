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

CHECK_S = 0.5
# An engine that took an order says so in the registry within a heartbeat,
# the registry's lag and the switch itself; until then its new phase is
# assumed.
ORDER_REST_S = 5.0
ORDER_RETRY_S = 1.5
# Of the calls that wait at an engine, those that count as streams: a share
# of its slots.
WAITING_SHARE = 0.25


@attrs.frozen
class _Assumed:
    """The phase that an engine is taken to have, until when."""

    phase: Phase
    until_s: float


class FleetChanges:
    """Until when the numbers of engines are changing by our own orders.

    Phases that are chosen meanwhile are chosen for engines that the platform
    is about to take away, and those that stay need seconds to change again.
    """

    def __init__(self) -> None:
        self._until_s = 0.0

    def expect(self, for_s: float) -> None:
        """Note that engines will come or go for so long."""
        self._until_s = max(self._until_s, clock_s() + for_s)

    @property
    def under_way(self) -> bool:
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
        self._assumed: dict[str, _Assumed] = {}

    def run(self) -> None:
        """Compare for as long as the process lives."""
        while True:
            sleep(CHECK_S)
            self._compare()

    def _compare(self) -> None:
        configuration = self._knowledge.configuration
        if configuration is None:
            return
        for service in configuration.services.values():
            if service.engine is not None:
                self._compare_service(service.name)

    def _compare_service(self, service: str) -> None:
        now_s = clock_s()
        # Those that crashed make no tokens, although the registry still
        # lists them: others have to take their place now.
        registered = [
            one
            for one in self._knowledge.registry.of_service(service)
            if not self._knowledge.loads.is_lost(one.target_id, now_s)
        ]
        engines = self._with_assumed(registered, now_s)
        settled = frozenset(
            one.target_id
            for one, told in zip(engines, registered, strict=True)
            if one.phase is told.phase
        )
        phases = {engine.phase for engine in engines}
        has_both = {Phase.PREFILL, Phase.DECODE} <= phases
        waits = has_both and self._changes.under_way
        plan = self._plans.setdefault(
            service, PhasePlan(PhasePlanSettings(), BalancedSplit())
        )
        load = self._load(service, engines, settled, now_s)
        if self._duty.stamp is None:
            # A new holder knows how much there was to do of late.
            plan.observe(load, now_s)
            return
        for change in plan.changes(engines, load, now_s, settled):
            if self._duty.stamp is None:
                break
            if waits and not change.target.is_reclaimable:
                continue
            self._assume(change, ORDER_RETRY_S)
            spawn_n(self._send, change, plan)

    def _with_assumed(
        self, engines: Sequence[RegisteredTarget], now_s: float
    ) -> list[RegisteredTarget]:
        self._assumed = {
            target_id: assumed
            for target_id, assumed in self._assumed.items()
            if now_s < assumed.until_s
        }
        found = []
        for engine in engines:
            assumed = self._assumed.get(engine.target_id)
            if assumed is not None:
                engine = attrs.evolve(engine, phase=assumed.phase)
            found.append(engine)
        return found

    def _assume(self, change: PhaseChange, for_s: float) -> None:
        self._assumed[change.target.target_id] = _Assumed(
            change.phase, clock_s() + for_s
        )

    def _send(self, change: PhaseChange, plan: PhasePlan) -> None:
        target = change.target
        report = self._engines.read_report(target)
        if report is None or report.is_busy_with_order:
            return
        if report.phase is change.phase:
            self._assume(change, ORDER_REST_S)
            return
        stamp = self._duty.stamp
        if stamp is None:
            return
        order = PhaseOrder(target, change.phase, report.order_count)
        answer = self._client.order_phase(order, stamp)
        if answer.is_accepted:
            self._assume(change, ORDER_REST_S)
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

    def _load(
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
        decode = [one for one in engines if one.phase is Phase.DECODE]
        most = (1 + WAITING_SHARE) * sum(
            one.slots for one in decode if one.target_id in settled
        )
        streams = self._streams(decode, expected.streams, now_s)
        return PhaseLoad(min(streams, most), expected.prompts)

    def _streams(
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
        told = sum(loads.is_told(one.target_id, now_s) for one in decode)
        seen = sum(
            min(
                loads.busy(one.target_id, now_s),
                one.slots * (1 + WAITING_SHARE),
            )
            for one in decode
        )
        untold_share = 1 - told / len(decode)
        return seen + untold_share * max(0, expected - seen)
