"""What a node knows of the engines that callers need."""

import json
from random import Random

import eventlet
import testtools

from dandelionyoke_core import Metrics, record_from_json, record_to_json
from dandelionyoke_dispatch import (
    DemandSample,
    Phase,
    Prompt,
    RegisteredTarget,
    ServiceDemand,
)
from dandelionyoke_gateway import (
    DutyCallResult,
    DutyOutcome,
    FencingStamp,
    clock_s,
)
from dandelionyoke_gateway._engine_capacity import EngineCapacities
from dandelionyoke_gateway._knowledge import new_knowledge
from dandelionyoke_gateway._log import DecisionLog
from dandelionyoke_gateway._phase_task import PendingFleetChanges, PhaseTask
from dandelionyoke_gateway._ports import EngineReport, PhaseOrder
from dandelionyoke_gateway._prefill_queue import (
    LocalPrefillQueue,
    PrefillRequest,
    PrefillResult,
)
from tests.gateway.settings import planned_by_need
from tests.platform.node_harness import LogLines

MEASURED = ServiceDemand('lm', 8, 9, 0, 4, 3.0, 0.5, has_slowness=True)


class EngineCapacityTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.knowledge = new_knowledge(planned_by_need(), Random(3))
        self.knowledge.node_count = 30
        self.capacities = EngineCapacities(self.knowledge)

    def take(self, nodes: int, demand: ServiceDemand) -> None:
        sample = DemandSample(nodes, (demand,))
        self.knowledge.demand.take_sum('n-2', sample, clock_s())
        self.capacities.observe('lm', clock_s())

    def test_prompts_count_where_they_are_placed(self) -> None:
        """Guards against a need of nothing while all prompts wait."""
        target = RegisteredTarget('i-1', 'lm', '', 'a', 8, False, Phase.PREFILL)
        self.knowledge.registry.replace([target], clock_s())
        self.knowledge.speeds.observe(target, 2.0, clock_s())
        queue, now_s = LocalPrefillQueue(self.knowledge), clock_s()
        request = PrefillRequest(
            'lm', Prompt('', 10_000, 9), 0, now_s, 9.0, now_s + 9
        )
        for result in (PrefillResult(0.2), PrefillResult(9.0, True)):
            queue.release(queue.acquire(request), result)
        for _ in range(6):
            queue.enqueue(request)
        own = self.knowledge.own_demand(clock_s()).services[0]
        # 0.1 s of a usual engine for each but the first, which has no estimate.
        self.assertAlmostEqual(0.35, own.prefill_s_per_s)

    def test_a_domain_without_samples_counts_like_the_others(self) -> None:
        """Guards against a need that falls because samples are missing."""
        self.take(20, MEASURED)
        peak = self.capacities.read('lm', clock_s()).need.peak
        self.assertEqual((4.5, 0.75), (peak.prefill, peak.decode))

    def test_a_few_nodes_say_nothing_of_the_fleet(self) -> None:
        """Guards against the work of a placing node, scaled to all nodes."""
        self.take(1, MEASURED)
        self.assertIsNone(self.capacities.read('lm', clock_s()).need)

    def test_nodes_that_do_not_measure_make_the_need_unknown(self) -> None:
        """Guards against too few engines while nodes are replaced."""
        earlier = '{"service":"lm","streams":3,"begun":2,"slow":0,"prompts":1}'
        demand = record_from_json(earlier, ServiceDemand)
        self.knowledge.demand.take('n-3', DemandSample(9, (demand,)), 0)
        self.take(20, demand)
        self.assertIsNone(self.capacities.read('lm', clock_s()).need)
        known = record_from_json(record_to_json(MEASURED), ServiceDemand)
        self.assertEqual(MEASURED, known)


class HeldDuty:
    """A duty that this node holds."""

    stamp = FencingStamp('n-1', 9, 9e9)


class Engines:
    """Engines that all prefill and accept each order."""

    def read_report(self, target: RegisteredTarget) -> EngineReport:
        return EngineReport(Phase.PREFILL, 0, is_busy_with_order=False)

    def order_phase(
        self, order: PhaseOrder, stamp: FencingStamp
    ) -> DutyCallResult:
        return DutyCallResult(DutyOutcome.ACCEPTED, '', 0.001)


class CapacityPhaseTaskTest(testtools.TestCase):
    def test_an_order_tells_the_need_behind_it(self) -> None:
        """Guards against a log that does not tell why engines switched."""
        lines = LogLines()
        knowledge = new_knowledge(planned_by_need(), Random(3))
        log = DecisionLog(lines, 'n-1', Metrics())
        self.addCleanup(log.close)
        targets = [
            RegisteredTarget(f'i-{n}', 'lm', '', 'a', 8, False, Phase.PREFILL)
            for n in range(8)
        ]
        knowledge.registry.replace(targets, clock_s())
        sample = DemandSample(1, (MEASURED,))
        knowledge.demand.take_sum('n-2', sample, clock_s())
        task = PhaseTask(
            knowledge,
            HeldDuty(),
            Engines(),
            Engines(),
            PendingFleetChanges(),
            log,
        )
        task._reconcile_service('lm')
        eventlet.sleep(0)
        ordered = [
            json.loads(line)
            for line in lines.text.splitlines()
            if 'engine.ordered' in line
        ]
        self.assertEqual(['decode'] * 2, [one['phase'] for one in ordered])
        self.assertEqual(7.5, ordered[0]['need_prefill'])
        self.assertEqual(8, ordered[0]['capacity_prefill'])
