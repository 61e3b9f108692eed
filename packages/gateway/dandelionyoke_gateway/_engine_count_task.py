"""What the duty's holder orders: how many engines of each kind."""

from collections import Counter

from eventlet import sleep

from dandelionyoke_dispatch import (
    EnginePlan,
    EnginePlanSettings,
    Service,
    WantedCount,
)
from dandelionyoke_gateway._clock import clock_s
from dandelionyoke_gateway._duty_task import DutyTask
from dandelionyoke_gateway._knowledge import Knowledge
from dandelionyoke_gateway._log import DecisionLog
from dandelionyoke_gateway._phase_task import FleetChanges
from dandelionyoke_gateway._ports import (
    DutyClient,
    TargetCount,
)

CHECK_S = 0.5
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
