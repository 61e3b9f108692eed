"""What the numbers of engines follow when an order is not accepted."""

from random import Random

import testtools

from dandelionyoke_core import Metrics
from dandelionyoke_dispatch import Service, WantedCount
from dandelionyoke_gateway import (
    DutyAnswer,
    DutyOutcome,
    DutyStamp,
    TargetCount,
    clock_s,
)
from dandelionyoke_gateway._engine_count_task import EngineCountTask
from dandelionyoke_gateway._knowledge import new_knowledge
from dandelionyoke_gateway._log import DecisionLog
from dandelionyoke_gateway._phase_task import FleetChanges
from tests.gateway.settings import new_settings
from tests.platform.path import Lines


class HeldDuty:
    """A duty that is held."""

    @property
    def stamp(self) -> DutyStamp:
        return DutyStamp('n-1', 9, clock_s() + 5)


class Orders:
    """A platform that answers each order in the same way."""

    def __init__(self, outcome: DutyOutcome) -> None:
        self._outcome = outcome

    def order_targets(self, order: TargetCount, stamp: DutyStamp) -> DutyAnswer:
        return DutyAnswer(self._outcome, 'as the test says', 0.001)


class UnacceptedOrderTest(testtools.TestCase):
    def refusing(self, outcome: DutyOutcome) -> list[str]:
        """Order reclaimable engines; list the domains that have none."""
        log = DecisionLog(Lines(), 'n-1', Metrics())
        self.addCleanup(log.close)
        task = EngineCountTask(
            new_knowledge(new_settings(), Random(3)),
            HeldDuty(),
            Orders(outcome),
            FleetChanges(),
            log,
        )
        task._send_order(Service('lm', 9), WantedCount('a', True, 5), 0)
        return list(task._fleet_need('lm').refusing)

    def test_a_domain_that_refuses_has_no_reclaimable_engines(self) -> None:
        self.assertEqual(['a'], self.refusing(DutyOutcome.REFUSED))

    def test_an_order_that_was_not_sent_is_no_refusal(self) -> None:
        """Guards against on-demand engines ordered since a link was cut."""
        self.assertEqual([], self.refusing(DutyOutcome.NOT_SENT))

    def test_an_order_in_doubt_is_no_refusal(self) -> None:
        self.assertEqual([], self.refusing(DutyOutcome.UNKNOWN))
