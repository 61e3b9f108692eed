"""The calls that wait at a node for a target of a plain service."""

from random import Random

import testtools

from dandelionyoke_dispatch import (
    PlainQueue,
    PlainQueueSettings,
    RegisteredTarget,
    RetrySpreadSettings,
    WaitingCall,
    spread_retry_s,
)

TARGET = RegisteredTarget('i-1', 'app', '10.0.0.1:1', 'a', 6, is_leaving=False)


class PlainQueueTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.queue = PlainQueue('app', PlainQueueSettings())

    def enter(
        self, organisation: str, rank: int = 0, in_time_until_s: float = 1.0
    ) -> WaitingCall:
        return self.queue.enter(organisation, rank, (), in_time_until_s)

    def take(self, count: int) -> list[tuple[str, int]]:
        """Give turns to the next calls; return whose they are."""
        flows = []
        for _ in range(count):
            call = self.queue.in_order(0.0)[0]
            self.queue.assign(call, TARGET)
            flows.append(call.flow)
        return flows

    def test_a_burst_of_one_organisation_leaves_others_their_share(
        self,
    ) -> None:
        """Guards against a small organisation that waits behind a large one."""
        for _ in range(30):
            self.enter('large', 0)
        self.take(10)
        self.enter('small', 0)
        self.enter('small', 0)
        self.assertEqual(2, self.take(5).count(('small', 0)))

    def test_urgent_calls_go_first_and_others_go_on(self) -> None:
        """Guards against urgent calls that wait, and against starved ones."""
        for _ in range(12):
            self.enter('one', 2)
        for _ in range(12):
            self.enter('one', 0)
        flows = self.take(10)
        self.assertEqual(('one', 0), flows[0])
        self.assertEqual(8, flows.count(('one', 0)))

    def test_a_burst_delays_some_calls_but_not_all(self) -> None:
        """Guards against a queue in which every call comes too late."""
        for _ in range(20):
            self.enter('one')
        fresh = self.enter('one', in_time_until_s=3.0)
        self.assertEqual(20, self.queue.count_ahead(fresh, 0.5))
        self.assertIs(fresh, self.queue.in_order(2.0)[0])

    def test_a_call_that_leaves_costs_its_organisation_nothing(self) -> None:
        """Guards against callers that wait for calls that were given up."""
        for _ in range(8):
            self.queue.leave(self.enter('one', 0))
        self.enter('two', 0)
        last = self.enter('one', 0)
        self.assertEqual(0, self.queue.count_ahead(last, 0.0))


class RetrySpreadTest(testtools.TestCase):
    def test_refused_callers_return_apart_and_with_time_left(self) -> None:
        """Guards against a burst that returns as one, or too late."""
        random = Random(1)
        delays_s = [
            spread_retry_s(RetrySpreadSettings(), 0.3, 1.2, random)
            for _ in range(20)
        ]
        self.assertEqual(20, len(set(delays_s)))
        self.assertGreater(max(delays_s) - min(delays_s), 0.1)
        self.assertLessEqual(max(delays_s), 0.4)
