"""Orders for engines that the platform does not accept."""

from random import Random

import testtools

from dandelionyoke_core import Metrics
from dandelionyoke_dispatch import Service, WantedCount
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
from tests.gateway.settings import new_settings
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

    def order_targets(
        self, order: TargetCountOrder, stamp: FencingStamp
    ) -> DutyCallResult:
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
