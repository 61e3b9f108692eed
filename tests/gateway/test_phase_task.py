"""The estimate of streams in flight that decides the engines' phases."""

from random import Random

import testtools

from dandelionyoke_core import Metrics
from dandelionyoke_dispatch import (
    DemandSample,
    Phase,
    RegisteredTarget,
    ServiceDemand,
)
from dandelionyoke_gateway import TargetPool, clock_s
from dandelionyoke_gateway._duty_task import DutyTask
from dandelionyoke_gateway._knowledge import new_knowledge
from dandelionyoke_gateway._log import DecisionLog
from dandelionyoke_gateway._phase_task import PendingFleetChanges, PhaseTask
from dandelionyoke_platform._duties import PlatformDuties
from tests.gateway.settings import new_settings
from tests.platform.node_harness import LogLines


def engine(name: str) -> RegisteredTarget:
    return RegisteredTarget(
        name, 'lm', '10.0.0.1:1', 'a', 32, False, Phase.DECODE
    )


class StreamCountTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.knowledge = new_knowledge(new_settings(), Random(3))
        log = DecisionLog(LogLines(), 'n-1', Metrics())
        self.addCleanup(log.close)
        duties = PlatformDuties('127.0.0.1:1', TargetPool())
        self.task = PhaseTask(
            self.knowledge,
            DutyTask(self.knowledge, None, log),
            duties,
            duties,
            PendingFleetChanges(),
            log,
        )
        self.engines = [engine('i-1'), engine('i-2')]
        self.knowledge.node_count = 12
        self.knowledge.demand.take_sum(
            'n-2',
            DemandSample(4, (ServiceDemand('lm', 20, 0, 0),)),
            clock_s(),
        )

    def streams(self) -> float:
        settled = frozenset(target.target_id for target in self.engines)
        load = self.task._phase_load('lm', self.engines, settled, clock_s())
        return load.streams

    def test_engines_without_load_reports_count_by_demand(self) -> None:
        """Guards against too few decode engines in a large fleet.

        A node that sees one call in 195 must use the demand of all nodes.
        """
        self.assertEqual(60, self.streams())

    def test_engines_with_load_reports_count_by_them(self) -> None:
        """Guards against too few prefill engines for an estimate too high."""
        for target in self.engines:
            self.knowledge.loads.reported(target.target_id, 5, clock_s())
        self.assertEqual(10, self.streams())

    def test_one_engine_of_two_reports_its_load(self) -> None:
        """Guards against an estimate that jumps with each load report."""
        self.knowledge.loads.reported('i-1', 30, clock_s())
        self.assertEqual(45, self.streams())

    def test_a_cut_off_node_assigns_no_phases(self) -> None:
        """Guards against roles chosen for engines that only seem to be gone."""
        self.knowledge.registry.replace(self.engines, clock_s())
        self.task._reconcile_service('lm')
        self.assertEqual(['lm'], list(self.task._plans))
        self.task._plans.clear()
        probed = {target.target_id: False for target in self.engines}
        self.knowledge.reach.probed('lm', probed, clock_s())
        self.task._reconcile_service('lm')
        self.assertEqual([], list(self.task._plans))

    def test_an_engine_of_unknown_phase_counts_as_listed(self) -> None:
        """Guards against an order to another engine to take its place."""
        registry = self.knowledge.registry
        registry.replace(self.engines, clock_s())
        registry.refuse_phase(self.engines[0], clock_s())
        unknown = registry.of_service('lm')
        self.assertIs(Phase.UNKNOWN, unknown[0].phase)
        planned = self.task._with_assumed_phases(unknown, clock_s())
        self.assertEqual(
            [Phase.DECODE] * 2, [target.phase for target in planned]
        )
