"""What a node knows of the engines that callers need."""

from random import Random

import testtools

from dandelionyoke_core import record_from_json, record_to_json
from dandelionyoke_dispatch import (
    DemandSample,
    Prompt,
    ServiceDemand,
)
from dandelionyoke_gateway import clock_s
from dandelionyoke_gateway._engine_capacity import EngineCapacities
from dandelionyoke_gateway._knowledge import new_knowledge
from dandelionyoke_gateway._prefill_queue import (
    LocalPrefillQueue,
    PrefillRequest,
)
from tests.gateway.settings import new_settings

MEASURED = ServiceDemand('lm', 8, 9, 0, 4, 3.0, 0.5, has_slowness=True)


class EngineCapacityTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.knowledge = new_knowledge(new_settings(), Random(3))
        self.knowledge.node_count = 30
        self.capacities = EngineCapacities(self.knowledge)

    def take(self, nodes: int, demand: ServiceDemand) -> None:
        sample = DemandSample(nodes, (demand,))
        self.knowledge.demand.take_sum('n-2', sample, clock_s())
        self.capacities.observe('lm', clock_s())

    def test_prompts_count_where_they_are_placed(self) -> None:
        """Guards against a need of nothing while all prompts wait."""
        state = self.knowledge.service_state('lm')
        prompt = Prompt('', 10_000, 9)
        state.prefill_time.add_sample(prompt, 0.1)
        queue, now_s = LocalPrefillQueue(self.knowledge), clock_s()
        for _ in range(6):
            queue.enqueue(
                PrefillRequest('lm', prompt, 0, now_s, 9.0, now_s + 9)
            )
        own = self.knowledge.own_demand(clock_s()).services[0]
        self.assertAlmostEqual(0.3, own.prefill_s_per_s)

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
