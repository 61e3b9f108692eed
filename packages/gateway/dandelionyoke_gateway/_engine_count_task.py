"""What the duty's holder orders: how many engines of each kind."""

import attrs
from eventlet import sleep

from dandelionyoke_dispatch import (
    EnginePlan,
    EnginePlanSettings,
    FleetNeed,
    Service,
    Strain,
    WantedCount,
)
from dandelionyoke_gateway._clock import clock_s
from dandelionyoke_gateway._duty_task import DutyTask
from dandelionyoke_gateway._knowledge import Knowledge
from dandelionyoke_gateway._log import DecisionLog
from dandelionyoke_gateway._phase_task import FleetChanges
from dandelionyoke_gateway._ports import (
    DutyClient,
    DutyOutcome,
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


@attrs.frozen
class _Rest:
    """An order that has its time, and the most engines seen since."""

    count: int
    present: int
    until_s: float

    def holds(self, wanted: WantedCount, present: int, now_s: float) -> bool:
        """Whether what was ordered is waited for.

        Once engines are taken away it is not: their domain would be without
        them for seconds.
        """
        is_enough = wanted.count <= self.count and present >= self.present
        return is_enough and now_s < self.until_s


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
        self._plan = EnginePlan(EnginePlanSettings())
        self._listed_s: float | None = None
        self._rests: dict[tuple[str, str, bool], _Rest] = {}
        # Domains in which no reclaimable engines were to be had, until when.
        self._refusing: dict[tuple[str, str], float] = {}

    def run(self) -> None:
        """Compare for as long as the process lives."""
        while True:
            sleep(CHECK_S)
            # Known before the duty comes: a new holder acts at once.
            self._note_listing()
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
        if wanted.is_reclaimable and not self._has_settled():
            # Those that come are followed by some that go.
            boot_s = service.scaling.boot_s if service.scaling else 0
            self._changes.expect(boot_s + NOTICE_S)
        elif not wanted.is_reclaimable and wanted.count < present:
            self._changes.expect(NOTICE_S)
            # They leave room for more reclaimable ones than were ordered.
            self._rests.pop((service.name, wanted.domain, True), None)

    def _need(self, service: str) -> FleetNeed:
        now_s = clock_s()
        refusing = [
            domain
            for (name, domain), until_s in self._refusing.items()
            if name == service and now_s < until_s
        ]
        demand = self._knowledge.demand.of_service(service, now_s)
        strain = self._strain(service)
        strain.judge(demand.begun, demand.slow, now_s)
        return FleetNeed(strain.holds(now_s), refusing)

    def _strain(self, service: str) -> Strain:
        return self._knowledge.watch_of(service).strain

    def _note_listing(self) -> None:
        if self._listed_s is None and self._knowledge.registry.is_known:
            self._listed_s = clock_s()

    def _has_settled(self) -> bool:
        if self._listed_s is None:
            return False
        return clock_s() - self._listed_s >= SETTLE_S

    def _compare_service(self, service: Service) -> None:
        if service.scaling is None:
            return
        engines = self._knowledge.registry.of_service(service.name)
        need = self._need(service.name)
        for wanted in self._plan.wanted(service.scaling, engines, need):
            present = sum(
                one.domain == wanted.domain
                and one.is_reclaimable is wanted.is_reclaimable
                for one in engines
            )
            if present == wanted.count:
                continue
            if not self._is_resting(service.name, wanted, present):
                self._order(service, wanted, present)

    def _is_resting(
        self, service: str, wanted: WantedCount, present: int
    ) -> bool:
        if not wanted.is_reclaimable and not self._has_settled():
            return True
        key = (service, wanted.domain, wanted.is_reclaimable)
        rest = self._rests.get(key)
        if rest is None or not rest.holds(wanted, present, clock_s()):
            return False
        if present > rest.present:
            self._rests[key] = attrs.evolve(rest, present=present)
        return True

    def _order(
        self, service: Service, wanted: WantedCount, present: int
    ) -> None:
        stamp = self._duty.stamp
        if stamp is None:
            return
        order = TargetCount(
            service.name, wanted.domain, wanted.count, wanted.is_reclaimable
        )
        answer = self._client.order_targets(order, stamp)
        if answer.is_accepted:
            self._expect(service, wanted, present)
        if wanted.is_reclaimable and answer.outcome is DutyOutcome.REFUSED:
            until_s = clock_s() + REFUSAL_LIFETIME_S
            self._refusing[service.name, wanted.domain] = until_s
        pause_s = COUNT_REST_S if answer.is_accepted else COUNT_RETRY_S
        key = (service.name, wanted.domain, wanted.is_reclaimable)
        until_s = clock_s() + pause_s
        self._rests[key] = _Rest(wanted.count, present, until_s)
        self._log.decide(
            'engines.ordered',
            f'{service.name} in {wanted.domain}',
            outcome=answer.outcome.value,
            cause=answer.cause,
            elapsed_s=answer.elapsed_s,
            count=wanted.count,
            present=present,
            reclaimable=str(wanted.is_reclaimable),
            strained=str(self._strain(service.name).holds(clock_s())),
            fence=stamp.fence,
        )
