"""What the duty's holder orders: phases of engines, numbers of engines."""

from collections import Counter
from collections.abc import Sequence

import attrs
from eventlet import sleep, spawn_n

from dandelionyoke_dispatch import (
    EnginePlan,
    EnginePlanSettings,
    Phase,
    PhaseChange,
    PhasePlan,
    PhasePlanSettings,
    RegisteredTarget,
    Service,
    WantedCount,
)
from dandelionyoke_gateway._clock import clock_s
from dandelionyoke_gateway._duty_tasks import DutyTask
from dandelionyoke_gateway._knowledge import Knowledge
from dandelionyoke_gateway._log import DecisionLog
from dandelionyoke_gateway._ports import (
    DutyClient,
    EngineClient,
    PhaseOrder,
    TargetCount,
)

CHECK_S = 0.5
# An engine that took an order says so in the registry within a heartbeat,
# the registry's lag and the switch itself; until then its new phase is
# assumed.
ORDER_REST_S = 5.0
ORDER_RETRY_S = 1.5
# A number that was ordered shows in the registry after the engines' start
# and a heartbeat; it is ordered again when it then still differs.
COUNT_REST_S = 8.0
COUNT_RETRY_S = 2.0
# A change shows in the registry after a heartbeat and a reading of it.
NOTICE_S = 2.0
# A domain that had no reclaimable engines is counted on again after this; it
# has to outlast the pause between two tries.
REFUSAL_LIFETIME_S = 3.0
# Engines enter themselves within three heartbeats of a common start; to count
# before that would order engines in place of some that are on their way.
SETTLE_S = 4.0


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
            if self._duty.stamp is not None:
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
        engines = self._with_assumed(
            self._knowledge.registry.of_service(service), now_s
        )
        phases = {engine.phase for engine in engines}
        has_both = {Phase.PREFILL, Phase.DECODE} <= phases
        if has_both and self._changes.under_way:
            return
        plan = self._plans.setdefault(service, PhasePlan(PhasePlanSettings()))
        for change in plan.changes(engines, self._busy_share(engines, now_s)):
            self._assume(change, ORDER_RETRY_S)
            spawn_n(self._send, change)

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

    def _send(self, change: PhaseChange) -> None:
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
        accepted = self._client.order_phase(order, stamp)
        if accepted:
            self._assume(change, ORDER_REST_S)
        self._log.decide(
            'engine.ordered',
            target.target_id,
            outcome=str(accepted),
            phase=order.phase.value,
            fence=stamp.fence,
            order_count=order.expected_order_count,
        )

    def _busy_share(
        self, engines: Sequence[RegisteredTarget], now_s: float
    ) -> float:
        decode = [one for one in engines if one.phase is Phase.DECODE]
        slots = sum(one.slots for one in decode)
        busy = sum(
            self._knowledge.loads.busy(one.target_id, now_s) for one in decode
        )
        return busy / slots if slots else 0.0


class EngineCountTask:
    """Orders the numbers of engines that are wanted, under the duty."""

    def __init__(
        self,
        knowledge: Knowledge,
        duty: DutyTask,
        client: DutyClient,
        changes: FleetChanges,
        log: DecisionLog,
    ) -> None:
        self._knowledge = knowledge
        self._duty = duty
        self._client = client
        self._changes = changes
        self._log = log
        plan = EnginePlanSettings()
        self._plan = EnginePlan(plan)
        self._steady_in_domain = plan.steady_in_domain
        # When the reclaimable engines that were ordered last are there.
        self._due_s = 0.0
        self._listed_s: float | None = None
        self._rest_until_s: dict[tuple[str, WantedCount], float] = {}
        # Domains in which no reclaimable engines were to be had, until when.
        self._refusing: dict[str, float] = {}

    def run(self) -> None:
        """Compare for as long as the process lives."""
        while True:
            sleep(CHECK_S)
            if self._duty.stamp is not None:
                self._compare()

    def _compare(self) -> None:
        configuration = self._knowledge.configuration
        if configuration is None:
            return
        for service in configuration.services.values():
            if service.engine is not None:
                self._compare_service(service)

    def _expect(
        self, service: Service, wanted: WantedCount, present: int
    ) -> None:
        boot_s = service.scaling.boot_s if service.scaling else 0
        if wanted.is_reclaimable and wanted.count > present:
            self._due_s = clock_s() + boot_s + NOTICE_S
            if self._has_surplus(service):
                # Those that come are followed by some that go.
                self._changes.expect(boot_s + NOTICE_S)
        if not wanted.is_reclaimable and wanted.count < present:
            self._changes.expect(NOTICE_S)

    def _has_surplus(self, service: Service) -> bool:
        engines = self._knowledge.registry.of_service(service.name)
        steady = Counter(
            one.domain for one in engines if not one.is_reclaimable
        )
        return max(steady.values(), default=0) > self._steady_in_domain

    def _may_order(self, wanted: WantedCount, present: int) -> bool:
        """Whether the time has come for an order."""
        if wanted.is_reclaimable:
            return True
        # Steady engines are not ordered in place of those on their way.
        is_due = wanted.count > present and clock_s() < self._due_s
        return self._has_settled() and not is_due

    def _has_settled(self) -> bool:
        if not self._knowledge.registry.is_known:
            return False
        if self._listed_s is None:
            self._listed_s = clock_s()
        return clock_s() - self._listed_s >= SETTLE_S

    def _compare_service(self, service: Service) -> None:
        if service.scaling is None:
            return
        engines = self._knowledge.registry.of_service(service.name)
        now_s = clock_s()
        refusing = [
            domain
            for domain, until_s in self._refusing.items()
            if now_s < until_s
        ]
        for wanted in self._plan.wanted(service.scaling, engines, refusing):
            present = sum(
                one.domain == wanted.domain
                and one.is_reclaimable is wanted.is_reclaimable
                for one in engines
            )
            rest_s = self._rest_until_s.get((service.name, wanted), 0)
            if present == wanted.count or now_s < rest_s:
                continue
            if self._may_order(wanted, present):
                self._order(service, wanted, present)

    def _order(
        self, service: Service, wanted: WantedCount, present: int
    ) -> None:
        stamp = self._duty.stamp
        if stamp is None:
            return
        order = TargetCount(
            service.name, wanted.domain, wanted.count, wanted.is_reclaimable
        )
        accepted = self._client.order_targets(order, stamp)
        if accepted:
            self._expect(service, wanted, present)
        if wanted.is_reclaimable and accepted is False:
            self._refusing[wanted.domain] = clock_s() + REFUSAL_LIFETIME_S
        pause_s = COUNT_REST_S if accepted else COUNT_RETRY_S
        self._rest_until_s[service.name, wanted] = clock_s() + pause_s
        self._log.decide(
            'engines.ordered',
            f'{service.name} in {wanted.domain}',
            outcome=str(accepted),
            count=wanted.count,
            reclaimable=str(wanted.is_reclaimable),
            fence=stamp.fence,
        )
