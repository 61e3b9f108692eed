"""How calls wait until an engine reads their prompt."""

import heapq

import testtools

from dandelionyoke_dispatch import (
    Entry,
    LineSettings,
    LineTicket,
    ReadingLine,
)

READ_S = 0.03
GOAL_S = 0.15


def ticket(
    turn_id: str,
    *,
    rank: int = 1,
    arrived_s: float = 0,
    goal_s: float = GOAL_S,
    patience_s: float = 2,
) -> LineTicket:
    return LineTicket(
        turn_id=turn_id,
        rank=rank,
        arrived_s=arrived_s,
        in_time_until_s=arrived_s + 0.8 * goal_s - READ_S,
        useful_until_s=arrived_s + patience_s,
        tokens=1000,
    )


class ReadingLineTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.line = ReadingLine(LineSettings(most_at_engine=2))

    def fill(self, names: str = 'ab') -> None:
        for name in names:
            self.line.enter(ticket(name), 1, 0)

    def test_only_a_few_prompts_enter_at_once(self) -> None:
        entries = [self.line.enter(ticket(name), 1, 0) for name in 'abc']
        self.assertEqual([Entry.GO, Entry.GO, Entry.WAIT], entries)

    def test_more_engines_take_more(self) -> None:
        entries = [self.line.enter(ticket(name), 3, 0) for name in 'abcdef']
        self.assertEqual([Entry.GO] * 6, entries)

    def test_the_more_urgent_goes_first(self) -> None:
        self.fill()
        self.line.enter(ticket('later', rank=2), 1, 0)
        self.line.enter(ticket('urgent', rank=0, arrived_s=0.01), 1, 0.01)
        self.assertEqual(['urgent'], self.line.leave('a', READ_S, 0.02))
        self.assertEqual(['later'], self.line.leave('b', READ_S, 0.02))

    def test_a_call_in_time_goes_before_one_that_is_late(self) -> None:
        """A burst has made a call late, and new ones arrive.

        First come, first served, the late one would make the next one late
        as well, and so on until the burst is over: all callers would wait
        too long where one has to.
        """
        self.fill()
        self.line.enter(ticket('late'), 1, 0)
        self.line.enter(ticket('fresh', arrived_s=0.2), 1, 0.2)
        self.assertEqual(['fresh'], self.line.leave('a', READ_S, 0.25))
        self.assertEqual(['late'], self.line.leave('b', READ_S, 0.25))

    def test_prompts_at_lost_engines_hold_no_places(self) -> None:
        """Guards against a partition that stops the prompts of a domain."""
        self.fill()
        for name in 'ab':
            self.line.placed(name, 'lost', 0)
        self.assertEqual(Entry.WAIT, self.line.enter(ticket('c'), 1, 0))
        self.line.lost(frozenset({'lost'}))
        self.assertEqual(Entry.GO, self.line.enter(ticket('d'), 1, 0.1))
        self.assertEqual(['c'], self.line.leave('x', None, 0.1))

    def test_a_call_that_left_while_waiting_gets_no_place(self) -> None:
        """A caller leaves while its call waits.

        If its place were kept, the engine would stand idle by one place for
        good, and after a few such callers no prompt would be read at all.
        """
        self.fill('abcd')
        self.assertEqual([], self.line.leave('c', None, 0))
        self.assertEqual(['d'], self.line.leave('a', READ_S, 0))

    def test_a_burst_makes_few_callers_late(self) -> None:
        """Prompts come at one and a third times the rate of reading.

        In the order of their arrival nearly all of them would be late, and
        with no end to the line the later ones would be served for nothing.
        """
        in_time, late, refused = self.play(every_s=READ_S / 2 / 1.33)
        self.assertGreater(in_time, 0.6)
        self.assertGreater(refused, 0.05)
        self.assertLess(late, 0.3)

    def test_a_call_that_would_wait_in_vain_is_refused_on_arrival(
        self,
    ) -> None:
        """Prompts come at five times the rate of reading.

        Held until they cannot be served, their callers have no time left to
        come back. So they must hear of it as they arrive.
        """
        _, _, refused = self.play(every_s=READ_S / 10)
        self.assertGreater(refused, 0.5)
        self.assertLess(self.longest_hold_s, GOAL_S)

    def test_engines_that_are_gone_are_forgotten(self) -> None:
        self.fill('a')
        self.line.placed('a', 'i-1', 5)
        self.line.forget(frozenset(('i-2',)))
        self.assertEqual(0, self.line.placed_s('i-1'))

    def test_a_refused_call_learns_when_the_line_will_be_done(self) -> None:
        self.fill('abcdef')
        for name in 'ab':
            self.line.leave(name, 0.3, 0)
        self.assertLess(0.25, self.line.retry_after_s())

    def play(self, every_s: float) -> tuple[float, float, float]:
        """Let calls arrive and be read by two at once; count how it ends.

        Returns the shares that began in time, began late, were refused.
        """
        counts = {'in time': 0, 'late': 0, 'refused': 0}
        self.longest_hold_s = 0.0
        arrivals = [number * every_s for number in range(600)]
        events: list[tuple[float, int, str]] = []
        tickets: dict[str, LineTicket] = {}
        for number, at_s in enumerate(arrivals):
            name = f'call {number}'
            tickets[name] = ticket(name, arrived_s=at_s)
            heapq.heappush(events, (at_s, 0, name))

        def begin(name: str, now_s: float) -> None:
            is_late = now_s > tickets[name].in_time_until_s
            counts['late' if is_late else 'in time'] += 1
            heapq.heappush(events, (now_s + READ_S, 1, name))

        def refuse(name: str, now_s: float) -> None:
            counts['refused'] += 1
            held_s = now_s - tickets[name].arrived_s
            self.longest_hold_s = max(self.longest_hold_s, held_s)

        waiting: set[str] = set()
        while events:
            now_s, kind, name = heapq.heappop(events)
            if kind == 0:
                entry = self.line.enter(tickets[name], 1, now_s)
                if entry is Entry.GO:
                    begin(name, now_s)
                elif entry is Entry.TOO_LATE:
                    refuse(name, now_s)
                else:
                    waiting.add(name)
                    until_s = tickets[name].in_time_until_s
                    heapq.heappush(events, (until_s, 2, name))
            elif kind == 1:
                for following in self.line.leave(name, READ_S, now_s):
                    waiting.discard(following)
                    begin(following, now_s)
            elif name in waiting and not self.line.stays(name, now_s):
                waiting.discard(name)
                refuse(name, now_s)
        return (
            counts['in time'] / len(arrivals),
            counts['late'] / len(arrivals),
            counts['refused'] / len(arrivals),
        )
