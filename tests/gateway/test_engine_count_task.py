"""Orders for engines that the platform does not accept."""

from random import Random

import testtools

from dandelionyoke_core import Metrics
from dandelionyoke_dispatch import (
    DemandSample,
    RegisteredTarget,
    ScalingRange,
    Service,
    ServiceDemand,
    WantedCount,
)
from dandelionyoke_gateway import (
    DutyCallResult,
    DutyOutcome,
    FencingStamp,
    TargetCountOrder,
    clock_s,
)
from dandelionyoke_gateway._engine_count_task import EngineCountTask
from dandelionyoke_gateway._knowledge import new_knowledge
from dandelionyoke_gateway._log import DecisionLog
from dandelionyoke_gateway._phase_task import PendingFleetChanges
from tests.gateway.settings import new_settings, planned_by_need
from tests.platform.node_harness import LogLines


class HeldDuty:
    """A duty that this node holds."""

    @property
    def stamp(self) -> FencingStamp:
        return FencingStamp('n-1', 9, clock_s() + 5)


class FakePlatform:
    """A platform that answers each order with the same outcome."""

    def __init__(self, outcome: DutyOutcome) -> None:
        self._outcome = outcome
        self.orders: list[TargetCountOrder] = []

    def order_targets(
        self, order: TargetCountOrder, stamp: FencingStamp
    ) -> DutyCallResult:
        self.orders.append(order)
        return DutyCallResult(self._outcome, 'as the test says', 0.001)


class UnacceptedOrderTest(testtools.TestCase):
    def refusing_domains(self, outcome: DutyOutcome) -> list[str]:
        """Order reclaimable engines; list the domains that count as unavailable."""
        log = DecisionLog(LogLines(), 'n-1', Metrics())
        self.addCleanup(log.close)
        task = EngineCountTask(
            new_knowledge(new_settings(), Random(3)),
            HeldDuty(),
            FakePlatform(outcome),
            PendingFleetChanges(),
            log,
        )
        task._send_order(Service('lm', 9), WantedCount('a', True, 5), 0)
        return list(task._fleet_need('lm').unavailable_domains)

    def test_a_domain_that_refuses_has_no_reclaimable_engines(self) -> None:
        self.assertEqual(['a'], self.refusing_domains(DutyOutcome.REFUSED))

    def test_an_unsent_order_is_no_refusal(self) -> None:
        """Guards against on-demand engines ordered because a link was cut."""
        self.assertEqual([], self.refusing_domains(DutyOutcome.NOT_SENT))

    def test_an_order_with_unknown_outcome_is_no_refusal(self) -> None:
        self.assertEqual([], self.refusing_domains(DutyOutcome.UNKNOWN))


class CapacityOrderTest(testtools.TestCase):
    def ordered_spot(self, *, has_slowness: bool) -> set[int]:
        """Return the numbers of reclaimable engines that are ordered."""
        log = DecisionLog(LogLines(), 'n-1', Metrics())
        self.addCleanup(log.close)
        knowledge = new_knowledge(planned_by_need(), Random(3))
        platform = FakePlatform(DutyOutcome.ACCEPTED)
        task = EngineCountTask(
            knowledge, HeldDuty(), platform, PendingFleetChanges(), log
        )
        targets = [
            RegisteredTarget(
                f'i-{n}', 'lm', '', 'ab'[n % 2], 128, False, is_reclaimable=True
            )
            for n in range(14)
        ]
        knowledge.registry.replace(targets, clock_s())
        demand = ServiceDemand('lm', 8, 9, 0, 4, 3.0, 0.5, has_slowness)
        sample = DemandSample(1, (demand,))
        knowledge.demand.take_sum('n-2', sample, clock_s())
        scaling = ScalingRange(1, 20, 4.0, 0.2, {'a': 1.0, 'b': 1.0})
        task._reconcile_service(Service('lm', 9, scaling=scaling))
        return {one.count for one in platform.orders if one.is_reclaimable}

    def test_a_holder_that_does_not_know_the_need_yet_plans_as_before(
        self,
    ) -> None:
        """Guards against callers refused while a fleet with few engines learns."""
        self.assertEqual({20}, self.ordered_spot(has_slowness=True))

    def test_services_without_slowness_are_planned_as_before(self) -> None:
        """Guards against a plan by capacity for those that did not ask."""
        self.assertEqual({20}, self.ordered_spot(has_slowness=False))
