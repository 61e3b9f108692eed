"""Autoscaling: the duty's holder orders on-demand and spot engines.

Spot engines are called reclaimable in the code.
"""

import attrs
from eventlet import sleep

from dandelionyoke_core import CountMetric
from dandelionyoke_dispatch import (
    CapacityPlan,
    CapacityPlanSettings,
    EngineCountPlan,
    EnginePlan,
    EnginePlanSettings,
    FleetNeed,
    OverloadDetector,
    Service,
    WantedCount,
)
from dandelionyoke_gateway._clock import clock_s
from dandelionyoke_gateway._duty_task import DutyTask
from dandelionyoke_gateway._engine_capacity import (
    EngineCapacities,
    EngineCapacity,
)
from dandelionyoke_gateway._knowledge import Knowledge
from dandelionyoke_gateway._log import DecisionLog
from dandelionyoke_gateway._phase_task import PendingFleetChanges
from dandelionyoke_gateway._ports import (
    DutyClient,
    DutyOutcome,
    TargetCountOrder,
)

CHECK_INTERVAL_S = 0.5
# An ordered count shows in the registry after the engines have started and
# sent a heartbeat. If it still differs after this, it is ordered again.
ORDER_EFFECT_TIMEOUT_S = 8.0
ORDER_RETRY_INTERVAL_S = 2.0
# A change is visible here after a heartbeat and a read of the registry.
REGISTRY_LAG_S = 2.0
# A refusal of reclaimable engines by a domain expires after this. Must be
# longer than the interval between two attempts.
REFUSAL_TTL_S = 3.0
# When the whole fleet starts, engines register within three heartbeats. A
# count before that would order replacements for engines that are starting.
STARTUP_SETTLE_S = 4.0


@attrs.frozen
class _PendingOrder:
    """The last order for a count, and the most engines seen since it."""

    count: int
    max_present: int
    expires_s: float

    def is_awaited(
        self, wanted: WantedCount, present: int, now_s: float
    ) -> bool:
        """Whether the order may still take effect.

        False once engines have gone: their domain would be without them for
        seconds.
        """
        is_enough = wanted.count <= self.count and present >= self.max_present
        return is_enough and now_s < self.expires_s


class EngineCountTask:
    """Orders the planned numbers of engines while this node holds the duty."""

    def __init__(
        self,
        knowledge: Knowledge,
        duty: DutyTask,
        client: DutyClient,
        changes: PendingFleetChanges,
        log: DecisionLog,
    ) -> None:
        self._knowledge = knowledge
        self._duty = duty
        self._client = client
        self._changes = changes
        self._log = log
        self._plan = EnginePlan(EnginePlanSettings())
        self._capacities = EngineCapacities(knowledge)
        self._capacity_plans: dict[str, CapacityPlan] = {}
        # The latest planned numbers that were logged, by service.
        self._logged: dict[str, list[WantedCount]] = {}
        self._first_listed_s: float | None = None
        self._pending_orders: dict[tuple[str, str, bool], _PendingOrder] = {}
        # By service and domain, when a refusal of reclaimable engines expires.
        self._refused_until_s: dict[tuple[str, str], float] = {}

    def run(self) -> None:
        """Compare planned and registered engines until the process exits."""
        while True:
            sleep(CHECK_INTERVAL_S)
            # Recorded without the duty too: a new holder acts at once.
            self._record_first_listing()
            if self._duty.stamp is not None:
                self._reconcile()

    def _reconcile(self) -> None:
        configuration = self._knowledge.configuration
        if configuration is None:
            return
        for service in configuration.services.values():
            if service.engine is not None:
                self._reconcile_service(service)

    def _count_engines(self, service: str, added: int) -> None:
        metric = 'engines_added' if added > 0 else 'engines_removed'
        self._log.count(CountMetric(metric, abs(added), service))

    def _announce_changes(
        self, service: Service, wanted: WantedCount, present: int
    ) -> None:
        if wanted.is_reclaimable and not self._has_settled():
            # Once the new engines have started, others are removed.
            boot_s = service.scaling.boot_s if service.scaling else 0
            self._changes.expect(boot_s + REGISTRY_LAG_S)
        elif not wanted.is_reclaimable and wanted.count < present:
            self._changes.expect(REGISTRY_LAG_S)
            # More reclaimable engines than ordered are now wanted instead.
            self._pending_orders.pop((service.name, wanted.domain, True), None)

    def _fleet_need(self, service: str) -> FleetNeed:
        now_s = clock_s()
        unavailable_domains = [
            domain
            for (name, domain), expires_s in self._refused_until_s.items()
            if name == service and now_s < expires_s
        ]
        demand = self._knowledge.demand.of_service(service, now_s)
        overload = self._overload(service)
        overload.update(demand.begun, demand.slow, now_s)
        return FleetNeed(
            overload.is_overloaded(now_s), unavailable_domains, now_s=now_s
        )

    def _overload(self, service: str) -> OverloadDetector:
        return self._knowledge.service_state(service).overload

    def _record_first_listing(self) -> None:
        if self._first_listed_s is None and self._knowledge.registry.is_known:
            self._first_listed_s = clock_s()

    def _has_settled(self) -> bool:
        if self._first_listed_s is None:
            return False
        return clock_s() - self._first_listed_s >= STARTUP_SETTLE_S

    def _reconcile_service(self, service: Service) -> None:
        if service.scaling is None:
            return
        engines = self._knowledge.registry.of_service(service.name)
        need = self._fleet_need(service.name)
        capacity = self._read_capacity(service.name)
        plan: EngineCountPlan = self._plan
        if capacity is not None:
            plan = self._capacity_plan(service.name)
            need = attrs.evolve(
                need, engine_need=capacity.need, mean_speed=capacity.mean_speed
            )
        counts = plan.wanted(service.scaling, engines, need)
        if capacity is not None:
            self._log_planned(service.name, counts, capacity)
        for wanted in counts:
            present = sum(
                engine.domain == wanted.domain
                and engine.is_reclaimable is wanted.is_reclaimable
                for engine in engines
            )
            if present == wanted.count:
                continue
            if not self._is_pending(service.name, wanted, present):
                self._send_order(service, wanted, present, capacity)

    def _read_capacity(self, service: str) -> EngineCapacity | None:
        """Return what is planned with; None to plan without the need.

        Callers would wait for engines while their need is being learned.
        """
        now_s = clock_s()
        if not self._capacities.is_planned(service, now_s):
            return None
        capacity = self._capacities.read(service, now_s)
        return capacity if capacity.is_settled else None

    def _capacity_plan(self, service: str) -> CapacityPlan:
        return self._capacity_plans.setdefault(
            service, CapacityPlan(CapacityPlanSettings(), self._plan)
        )

    def _log_planned(
        self,
        service: str,
        counts: list[WantedCount],
        capacity: EngineCapacity,
    ) -> None:
        """Log the planned numbers if they differ from the ones before."""
        if self._logged.get(service) == counts:
            return
        self._logged[service] = counts
        planned = self._capacity_plan(service).planned
        by_domain = {
            f'{"spot" if wanted.is_reclaimable else "on_demand"}'
            f'.{wanted.domain}': wanted.count
            for wanted in counts
        }
        self._log.decide(
            'engines.planned',
            service,
            outcome=planned.basis.value,
            needed=planned.needed,
            reserve=planned.reserve,
            least=planned.least,
            present=planned.present,
            **capacity.log_fields(),
            **by_domain,
        )

    def _is_pending(
        self, service: str, wanted: WantedCount, present: int
    ) -> bool:
        if not wanted.is_reclaimable and not self._has_settled():
            return True
        key = (service, wanted.domain, wanted.is_reclaimable)
        pending = self._pending_orders.get(key)
        if pending is None or not pending.is_awaited(
            wanted, present, clock_s()
        ):
            return False
        if present > pending.max_present:
            self._pending_orders[key] = attrs.evolve(
                pending, max_present=present
            )
        return True

    def _send_order(
        self,
        service: Service,
        wanted: WantedCount,
        present: int,
        capacity: EngineCapacity | None = None,
    ) -> None:
        stamp = self._duty.stamp
        if stamp is None:
            return
        order = TargetCountOrder(
            service.name, wanted.domain, wanted.count, wanted.is_reclaimable
        )
        answer = self._client.order_targets(order, stamp)
        if answer.is_accepted:
            self._announce_changes(service, wanted, present)
            if capacity is not None:
                self._count_engines(service.name, wanted.count - present)
        if wanted.is_reclaimable and answer.outcome is DutyOutcome.REFUSED:
            expires_s = clock_s() + REFUSAL_TTL_S
            self._refused_until_s[service.name, wanted.domain] = expires_s
        pause_s = (
            ORDER_EFFECT_TIMEOUT_S
            if answer.is_accepted
            else ORDER_RETRY_INTERVAL_S
        )
        key = (service.name, wanted.domain, wanted.is_reclaimable)
        expires_s = clock_s() + pause_s
        self._pending_orders[key] = _PendingOrder(
            wanted.count, present, expires_s
        )
        self._log.decide(
            'engines.ordered',
            f'{service.name} in {wanted.domain}',
            outcome=answer.outcome.value,
            cause=answer.cause,
            elapsed_s=answer.elapsed_s,
            count=wanted.count,
            present=present,
            reclaimable=str(wanted.is_reclaimable),
            strained=str(self._overload(service.name).is_overloaded(clock_s())),
            fence=stamp.fence,
            **({} if capacity is None else capacity.log_fields()),
        )
