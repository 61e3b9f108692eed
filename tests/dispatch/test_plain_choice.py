"""The choice among the targets of a plain service, and what is believed."""

from collections import Counter
from random import Random

import testtools

from dandelionyoke_dispatch import (
    ExpectedTimeChoice,
    LoadReport,
    PlainChoice,
    PlainChoiceSettings,
    PlainLoads,
    PlainLoadSettings,
    RegisteredTarget,
    SuspicionSettings,
    TargetLoads,
    TargetSpeeds,
    TargetSpeedSettings,
)

SLOTS = 6
TARGETS = [
    RegisteredTarget(f'i-{number}', 'app', f'10.0.0.{number}:1', *rest)
    for number, rest in enumerate((domain, SLOTS, False) for domain in 'aabbc')
]
NODES_PER_DOMAIN = 20


class Node:
    """What one node knows, and its choice."""

    def __init__(self, domain: str = 'a', seed: int = 1) -> None:
        self.loads = TargetLoads(SuspicionSettings())
        self.speeds = TargetSpeeds(TargetSpeedSettings())
        self.plain_loads = PlainLoads(
            PlainLoadSettings(), self.loads, self.speeds
        )
        self.choice: PlainChoice = ExpectedTimeChoice(
            PlainChoiceSettings(), self.plain_loads, domain, Random(seed)
        )

    def call(self, now_s: float, slowness: dict[str, float]) -> str:
        """Choose a target, and take its report of slowness."""
        target = self.choice.choose(TARGETS, now_s)
        told = slowness.get(target.target_id, 1.0)
        self.speeds.observe(target, told, now_s)
        self.plain_loads.reported(target, report(0, told), now_s)
        return target.target_id

    def has_room(self, target: RegisteredTarget, now_s: float) -> bool:
        """Whether a call may be sent to the only target of a service."""
        return target in self.plain_loads.with_room([target], 60, now_s)


def report(busy: int, slowness: float = 1.0) -> LoadReport:
    return LoadReport(min(SLOTS, busy), max(0, busy - SLOTS), SLOTS, slowness)


class PlainChoiceTest(testtools.TestCase):
    def test_nodes_that_know_nothing_spread_over_the_targets(self) -> None:
        """Guards against all nodes choosing the same target of a domain."""
        calls = Counter(
            Node(domain, seed).choice.choose(TARGETS, 0.0).target_id
            for domain in 'abc'
            for seed in range(NODES_PER_DOMAIN)
        )
        self.assertEqual(NODES_PER_DOMAIN, calls.pop('i-4'))
        self.assertEqual(4, len(calls))
        self.assertLess(max(calls.values()), 0.8 * NODES_PER_DOMAIN)

    def test_a_slow_target_gets_few_calls_until_it_recovers(self) -> None:
        """Guards against calls to a slow target, and against its loss."""
        node = Node()
        slow = Counter(
            node.call(tick / 100, {'i-0': 3.0}) for tick in range(1000)
        )
        self.assertLess(slow['i-0'], 100)
        self.assertGreater(slow['i-0'], 5)
        recovered = Counter(
            node.call(10 + tick / 100, {}) for tick in range(1000)
        )
        self.assertGreater(recovered['i-0'], 300)

    def test_calls_cross_domains_only_to_save_a_round_trip(self) -> None:
        """Guards against idle targets elsewhere while callers wait here."""
        node = Node('c')
        own = TARGETS[-1]
        node.plain_loads.reported(own, report(SLOTS // 3), 0.0)
        self.assertEqual('i-4', node.choice.choose(TARGETS, 0.0).target_id)
        for busy in (SLOTS - 1, 3 * SLOTS):
            node.plain_loads.reported(own, report(busy), 0.0)
            chosen = node.choice.choose(TARGETS, 0.0)
            self.assertNotEqual('i-4', chosen.target_id, busy)


class PlainLoadTest(testtools.TestCase):
    def test_an_old_report_does_not_keep_calls_away(self) -> None:
        """Guards against leaving out a target that has long been free."""
        node, target = Node(), TARGETS[0]
        node.loads.call_started(target.target_id)
        node.plain_loads.reported(target, report(4 * SLOTS), 0.0)
        self.assertFalse(node.has_room(target, 0.0))
        self.assertTrue(node.has_room(target, 3.0))

    def test_a_target_that_refused_is_left_until_its_queue_ends(self) -> None:
        """Guards against sends that are refused again at once."""
        node, target = Node(), TARGETS[0]
        node.plain_loads.answered(target, 0.06, 0.0)
        node.plain_loads.refused(target, report(5 * SLOTS), 0.0)
        node.plain_loads.reported(target, report(5 * SLOTS), 0.1)
        self.assertFalse(node.has_room(target, 0.2))
        self.assertTrue(node.has_room(target, 0.25))
