"""The prompt queue of engines that are shared by engine time."""

import itertools
from collections import Counter

import testtools

from dandelionyoke_dispatch import (
    FirstArrivals,
    FirstArrivalSettings,
    PrefillCapacity,
    PromptQueue,
    PromptQueueSettings,
    QueueDecision,
    QueuedPrompt,
)

TOKEN_S = 0.00001
SHORT, LONG = 1000, 17000
SHORT_S, LONG_S = SHORT * TOKEN_S, LONG * TOKEN_S


def prompt(
    name: str,
    organisation: str = 'org',
    *,
    rank: int = 1,
    tokens: int = SHORT,
    arrived_s: float = 0,
    goal_s: float = 10,
    patience_s: float = 30,
) -> QueuedPrompt:
    """Build a call of the route that has the name of its rank."""
    return QueuedPrompt(
        name,
        rank,
        arrived_s,
        arrived_s + goal_s,
        arrived_s + patience_s,
        tokens,
        tokens * TOKEN_S,
        organisation,
        f'route-{rank}',
    )


class SharedEngineTimeTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.queue = PromptQueue(PromptQueueSettings())
        self.placed = 0
        self.running: list[str] = []

    def enter(
        self, queued: QueuedPrompt, engines: int = 1, share: float = 1
    ) -> QueueDecision:
        """Enter at the arrival; a call that may start gets an engine."""
        self.queue.share_engine_time(
            PrefillCapacity(engines, engines, TOKEN_S, share)
        )
        decision = self.queue.enter(queued, engines, queued.arrived_s)
        if decision is QueueDecision.START:
            target_id = f'i-{self.placed % engines}'
            self.queue.assign(queued.ticket_id, target_id, queued.arrived_s)
            self.placed += 1
        return decision

    def fill(self) -> None:
        """Keep one engine busy with short prompts until `serve`."""
        names = itertools.count()
        decision = QueueDecision.START
        while decision is QueueDecision.START:
            self.running.append(f'busy {next(names)}')
            decision = self.enter(prompt(self.running[-1], 'busy'))
        self.queue.leave(self.running.pop(), None, 0)

    def serve(
        self, count: int, *, start_s: float = 0, step_s: float = SHORT_S
    ) -> list[str]:
        """End prompts in flight in turn; return the next ones to start."""
        served: list[str] = []
        now_s = start_s
        while self.running and len(served) < count:
            now_s += step_s
            admitted = self.queue.leave(self.running.pop(0), step_s, now_s)
            self.running += admitted
            served += admitted
        return served[:count]

    def share(self, served: list[str]) -> Counter[str]:
        """Count calls by the first letter of their names."""
        return Counter(name[0] for name in served)

    def test_engines_get_engine_time_and_not_prompts(self) -> None:
        """Guards against many long prompts that are all late together."""
        sizes = {SHORT: 0, LONG: 0}
        for tokens in sizes:
            self.queue = PromptQueue(PromptQueueSettings())
            decisions = [
                self.enter(prompt(f'{number}', tokens=tokens), engines=4)
                for number in range(40)
            ]
            sizes[tokens] = decisions.count(QueueDecision.START)
        self.assertEqual(4 * 2 + 1, sizes[LONG])
        self.assertGreaterEqual(sizes[SHORT], 4 * 4)

    def test_an_idle_engine_gets_a_prompt_of_any_size(self) -> None:
        """Guards against a prompt that is too long for the window."""
        decisions = [
            self.enter(prompt(name, tokens=tokens), engines=2)
            for name, tokens in (('a', SHORT), ('b', 99 * LONG), ('c', LONG))
        ]
        self.assertEqual(
            [QueueDecision.START, QueueDecision.START, QueueDecision.WAIT],
            decisions,
        )
        self.queue.leave('a', SHORT_S, 0)

    def test_prompts_of_other_domains_take_room_but_not_all(self) -> None:
        """Guards against domains that fill the engines each for itself.

        Nor may the bursts of others keep a domain from all engines.
        """
        backlog = {f'i-{number}': 4 * LONG for number in range(4)}
        for peer in ('n-1', 'n-2'):
            self.queue.set_peer_backlog(peer, backlog, 0)
        started = [
            self.enter(prompt(f'{number}', tokens=LONG), engines=4)
            for number in range(12)
        ].count(QueueDecision.START)
        self.assertEqual(3, started)
        self.queue.set_peer_backlog('n-1', {}, 0.1)
        self.queue.set_peer_backlog('n-2', {}, 0.1)
        self.assertEqual(6, len(self.queue.admit(0.1)))

    def test_a_node_that_decides_alone_takes_its_part(self) -> None:
        """Guards against nodes that each take the window of all."""
        started = [
            self.enter(prompt(f'{number}', tokens=LONG), 30, share=1 / 60)
            for number in range(8)
        ].count(QueueDecision.START)
        self.assertIn(started, (1, 2))

    def test_calls_that_wait_are_kept_when_engine_time_is_shared(self) -> None:
        """Guards against calls that are lost as a target tells its speed."""
        names = ['a', 'b', 'c', 'd']
        for name in names:
            self.queue.enter(prompt(name), 1, 0)
        self.queue.share_engine_time(PrefillCapacity(1, 1, TOKEN_S))
        self.assertEqual(2, self.queue.queued_count)
        self.assertEqual(['c', 'd'], self.queue.admit(0))

    def test_a_flood_of_one_organisation_delays_itself(self) -> None:
        """Guards against one organisation whose calls go before all others."""
        self.fill()
        for number in range(60):
            self.enter(prompt(f'flood {number}', 'flood'))
        for number in range(5):
            self.enter(prompt(f'small {number}', 'small', arrived_s=0.01))
        self.assertEqual(5, self.share(self.serve(12))['s'])

    def test_engine_time_is_shared_and_not_turns(self) -> None:
        """Guards against long prompts that get nearly all engine time."""
        self.fill()
        for number in range(40):
            self.enter(prompt(f'long {number}', 'large', tokens=LONG))
            self.enter(prompt(f'short {number}', 'small'))
        share = self.share(self.serve(34))
        self.assertGreater(share['s'], 8 * share['l'])

    def test_a_burst_of_urgent_calls_leaves_the_others_a_share(self) -> None:
        """Guards against routes that starve while an urgent one has a burst."""
        self.fill()
        for number in range(60):
            self.enter(prompt(f'urgent {number}', rank=0))
            self.enter(prompt(f'patient {number}', rank=2))
        share = self.share(self.serve(50))
        self.assertGreater(share['u'], 3 * share['p'])
        self.assertGreater(share['p'], 50 // 8)

    def test_late_calls_wait_for_others_but_keep_a_share(self) -> None:
        """Guards against a burst that makes all calls late, or starves some."""
        self.fill()
        for number in range(40):
            self.enter(prompt(f'late {number}', goal_s=0.1))
        for number in range(40):
            self.enter(prompt(f'timely {number}', arrived_s=0.2))
        served = self.serve(40, start_s=0.2, step_s=0)
        share = self.share(served)
        self.assertGreater(share['t'], 2 * share['l'])
        self.assertGreater(share['l'], 40 // 8)

    def test_a_call_is_refused_for_the_work_ahead_in_its_order(self) -> None:
        """Guards against refusals by position, which say little of the wait."""
        self.fill()
        for number in range(20):
            self.enter(
                prompt(f'long {number}', 'large', tokens=LONG, goal_s=0.2)
            )
        behind = prompt('behind', 'large', goal_s=0.2, patience_s=1)
        beside = prompt('beside', 'small', goal_s=0.2, patience_s=1)
        self.assertEqual(QueueDecision.TOO_LATE, self.enter(behind))
        self.assertEqual(QueueDecision.WAIT, self.enter(beside))

    def test_a_call_that_waits_in_vain_is_known_before_its_deadline(
        self,
    ) -> None:
        """Guards against calls that are held until their deadline passes.

        Engines have lost their prefixes: each prompt takes ten times as long.
        """
        self.fill()
        for number in range(40):
            self.enter(prompt(f'{number}'))
        last = prompt('last', patience_s=2)
        self.enter(last)
        self.assertTrue(self.queue.can_start(last, 0))
        self.serve(10, step_s=10 * SHORT_S)
        self.assertFalse(self.queue.can_start(last, 10 * 10 * SHORT_S))

    def test_refused_callers_are_told_different_times(self) -> None:
        """Guards against refused callers that all return at once."""
        self.fill()
        for number in range(100):
            self.enter(prompt(f'{number}'))

        def delay_s(time_left_s: float, random_share: float) -> float:
            return self.queue.spread_retry_after_s(
                time_left_s, random_share, now_s=0
            )

        self.assertGreaterEqual(delay_s(30, 0), 1)
        self.assertGreater(delay_s(30, 1), 1.3 * delay_s(30, 0))
        for random_share in (0, 0.5, 1):
            self.assertLessEqual(delay_s(1.5, random_share), 0.5)
        self.assertNotEqual(delay_s(1.5, 0), delay_s(1.5, 1))

    def test_calls_that_return_go_before_those_that_came_later(self) -> None:
        """Guards against refused callers that are overtaken on their return."""
        arrivals = FirstArrivals(FirstArrivalSettings(5, max_calls=2))
        for number in range(3):
            arrivals.remember(f'key {number}', number, 3)
        self.assertEqual(
            [9, 1, 2],
            [arrivals.find(f'key {number}', 9, 7) for number in range(3)],
        )
        self.assertEqual(20, arrivals.find('key 1', 20, 20))
        self.fill()
        self.enter(prompt('later', arrived_s=8))
        self.enter(prompt('returned', arrived_s=1))
        self.assertEqual(['returned', 'later'], self.serve(2))
