"""The queue of calls that wait for the prefill of their prompt."""

import heapq

import testtools

from dandelionyoke_dispatch import (
    PromptQueue,
    PromptQueueSettings,
    QueueDecision,
    QueuedPrompt,
)

PREFILL_S = 0.03
GOAL_S = 0.15


def queued_prompt(
    ticket_id: str,
    *,
    rank: int = 1,
    arrived_s: float = 0,
    goal_s: float = GOAL_S,
    patience_s: float = 2,
) -> QueuedPrompt:
    return QueuedPrompt(
        ticket_id=ticket_id,
        rank=rank,
        arrived_s=arrived_s,
        in_time_until_s=arrived_s + 0.8 * goal_s - PREFILL_S,
        deadline_s=arrived_s + patience_s,
        tokens=1000,
    )


class PromptQueueTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.queue = PromptQueue(PromptQueueSettings(max_prompts_per_engine=2))

    def fill(self, names: str = 'ab') -> None:
        for name in names:
            self.queue.enter(queued_prompt(name), 1, 0)

    def test_prompts_beyond_the_limit_are_queued(self) -> None:
        decisions = [
            self.queue.enter(queued_prompt(name), 1, 0) for name in 'abc'
        ]
        self.assertEqual(
            [QueueDecision.START, QueueDecision.START, QueueDecision.WAIT],
            decisions,
        )

    def test_the_limit_grows_with_the_engines(self) -> None:
        decisions = [
            self.queue.enter(queued_prompt(name), 3, 0) for name in 'abcdef'
        ]
        self.assertEqual([QueueDecision.START] * 6, decisions)

    def test_a_lower_rank_goes_first(self) -> None:
        self.fill()
        self.queue.enter(queued_prompt('later', rank=2), 1, 0)
        self.queue.enter(
            queued_prompt('urgent', rank=0, arrived_s=0.01), 1, 0.01
        )
        self.assertEqual(['urgent'], self.queue.leave('a', PREFILL_S, 0.02))
        self.assertEqual(['later'], self.queue.leave('b', PREFILL_S, 0.02))

    def test_a_call_in_time_goes_before_a_late_one(self) -> None:
        """A burst has made a call late, and new ones arrive.

        In order of arrival, the late call would make the next one late as well,
        and so on until the burst is over: all callers would wait too long
        instead of one.
        """
        self.fill()
        self.queue.enter(queued_prompt('late'), 1, 0)
        self.queue.enter(queued_prompt('fresh', arrived_s=0.2), 1, 0.2)
        self.assertEqual(['fresh'], self.queue.leave('a', PREFILL_S, 0.25))
        self.assertEqual(['late'], self.queue.leave('b', PREFILL_S, 0.25))

    def test_prompts_at_unreachable_engines_do_not_count(self) -> None:
        """Guards against a partition that blocks the prompts of a domain."""
        self.fill()
        for name in 'ab':
            self.queue.assign(name, 'lost', 0)
        self.assertEqual(
            QueueDecision.WAIT, self.queue.enter(queued_prompt('c'), 1, 0)
        )
        self.queue.update_unreachable(frozenset({'lost'}))
        self.assertEqual(
            QueueDecision.START, self.queue.enter(queued_prompt('d'), 1, 0.1)
        )
        self.assertEqual(['c'], self.queue.leave('x', None, 0.1))

    def test_a_call_that_left_the_queue_is_not_started(self) -> None:
        """A caller disconnects while its call is queued.

        If its call were started later, it would occupy capacity forever, and
        after a few such callers no prompt would be prefilled at all.
        """
        self.fill('abcd')
        self.assertEqual([], self.queue.leave('c', None, 0))
        self.assertEqual(['d'], self.queue.leave('a', PREFILL_S, 0))

    def test_a_burst_makes_few_calls_late(self) -> None:
        """Prompts arrive at one and a third times the prefill rate.

        In order of arrival, nearly all of them would be late. With an unbounded
        queue, the later ones would be served too late to be of use.
        """
        in_time, late, refused = self.simulate(every_s=PREFILL_S / 2 / 1.33)
        self.assertGreater(in_time, 0.6)
        self.assertGreater(refused, 0.05)
        self.assertLess(late, 0.3)

    def test_a_call_that_cannot_be_served_is_refused_on_arrival(
        self,
    ) -> None:
        """Prompts arrive at five times the prefill rate.

        If calls that cannot be served were kept in the queue, their callers
        would have no time left to retry. They must be refused on arrival.
        """
        _, _, refused = self.simulate(every_s=PREFILL_S / 10)
        self.assertGreater(refused, 0.5)
        self.assertLess(self.max_held_s, GOAL_S)

    def test_engines_that_are_gone_are_removed(self) -> None:
        self.fill('a')
        self.queue.assign('a', 'i-1', 5)
        self.queue.forget(frozenset(('i-2',)))
        self.assertEqual(0, self.queue.placed_s('i-1'))

    def test_the_retry_delay_is_the_time_to_empty_the_queue(self) -> None:
        self.fill('abcdef')
        for name in 'ab':
            self.queue.leave(name, 0.3, 0)
        self.assertLess(0.25, self.queue.retry_after_s())

    def simulate(self, every_s: float) -> tuple[float, float, float]:
        """Simulate arrivals and two concurrent prefills; count the outcomes.

        Returns the shares that started in time, started late and were refused.
        """
        counts = {'in time': 0, 'late': 0, 'refused': 0}
        self.max_held_s = 0.0
        arrivals = [number * every_s for number in range(600)]
        events: list[tuple[float, int, str]] = []
        queued_prompts: dict[str, QueuedPrompt] = {}
        for number, at_s in enumerate(arrivals):
            name = f'call {number}'
            queued_prompts[name] = queued_prompt(name, arrived_s=at_s)
            heapq.heappush(events, (at_s, 0, name))

        def start(name: str, now_s: float) -> None:
            is_late = now_s > queued_prompts[name].in_time_until_s
            counts['late' if is_late else 'in time'] += 1
            heapq.heappush(events, (now_s + PREFILL_S, 1, name))

        def refuse(name: str, now_s: float) -> None:
            counts['refused'] += 1
            held_s = now_s - queued_prompts[name].arrived_s
            self.max_held_s = max(self.max_held_s, held_s)

        waiting: set[str] = set()
        while events:
            now_s, kind, name = heapq.heappop(events)
            if kind == 0:
                decision = self.queue.enter(queued_prompts[name], 1, now_s)
                if decision is QueueDecision.START:
                    start(name, now_s)
                elif decision is QueueDecision.TOO_LATE:
                    refuse(name, now_s)
                else:
                    waiting.add(name)
                    until_s = queued_prompts[name].in_time_until_s
                    heapq.heappush(events, (until_s, 2, name))
            elif kind == 1:
                for next_name in self.queue.leave(name, PREFILL_S, now_s):
                    waiting.discard(next_name)
                    start(next_name, now_s)
            elif name in waiting and not self.queue.keep_waiting(name, now_s):
                waiting.discard(name)
                refuse(name, now_s)
        return (
            counts['in time'] / len(arrivals),
            counts['late'] / len(arrivals),
            counts['refused'] / len(arrivals),
        )
