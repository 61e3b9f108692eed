"""How calls wait for the engine that reads their prompt."""

import testtools

from dandelionyoke_dispatch import (
    Entry,
    GateSettings,
    GateTicket,
    PrefillGate,
)

ENGINE = 'i-1'
READ_S = 0.2


def ticket(
    call_id: str, *, rank: int = 1, arrived_s: float = 0, until_s: float = 3
) -> GateTicket:
    return GateTicket(call_id, ENGINE, rank, arrived_s, until_s)


class PrefillGateTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.gate = PrefillGate(GateSettings(first_mean_s=READ_S))

    def test_only_a_few_prompts_enter_at_once(self) -> None:
        entries = [self.gate.enter(ticket(name), 0) for name in 'abc']
        self.assertEqual([Entry.GO, Entry.GO, Entry.WAIT], entries)

    def test_the_more_urgent_goes_first(self) -> None:
        for name in 'ab':
            self.gate.enter(ticket(name), 0)
        self.gate.enter(ticket('late', rank=2), 0)
        self.gate.enter(ticket('urgent', rank=0, arrived_s=1), 1)
        self.assertEqual('urgent', self.gate.leave(ENGINE, 'a', READ_S))
        self.assertEqual('late', self.gate.leave(ENGINE, 'b', READ_S))

    def test_a_call_that_left_while_waiting_gets_no_place(self) -> None:
        """A caller leaves while its call waits.

        If its place were kept, the engine would stand idle by one place for
        good, and after a few such callers no prompt would be read at all.
        """
        for name in 'abcd':
            self.gate.enter(ticket(name), 0)
        self.assertIsNone(self.gate.leave(ENGINE, 'c', None))
        self.assertEqual('d', self.gate.leave(ENGINE, 'a', READ_S))

    def test_a_burst_is_refused_on_arrival_not_at_its_deadline(self) -> None:
        """Long prompts come at five times the rate at which they are read.

        Held until they cannot be served, their callers have no time left to
        come back. So none of those that wait may wait past its use, and the
        others must hear of it as they arrive.
        """
        refused = served = 0
        running: list[tuple[float, str]] = []
        waited: list[float] = []
        now_s = 0.0
        for number in range(400):
            now_s = number * READ_S / 10
            while running and running[0][0] <= now_s:
                ended_s, name = running.pop(0)
                following = self.gate.leave(ENGINE, name, READ_S)
                if following is not None:
                    running.append((ended_s + READ_S, following))
                    waited.append(ended_s - float(following))
            name = str(now_s)
            entry = self.gate.enter(
                ticket(name, arrived_s=now_s, until_s=now_s + 2), now_s
            )
            refused += entry is Entry.TOO_LATE
            served += entry is not Entry.TOO_LATE
            if entry is Entry.GO:
                running.append((now_s + READ_S, name))
        self.assertLess(max(waited), 2)
        self.assertGreater(refused, 200)
        self.assertGreater(served, 80)

    def test_a_refused_call_learns_when_the_line_is_half_done(self) -> None:
        for name in 'abcdef':
            self.gate.enter(ticket(name), 0)
        self.assertAlmostEqual(0.25, self.gate.retry_after_s(ENGINE))
