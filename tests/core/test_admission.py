"""Tests of admission against a shared queue and a global counter."""

import itertools
from collections import Counter
from itertools import pairwise

import testtools
from hypothesis import given, settings, strategies as st

from dandelionyoke_core import (
    AdmissionPart,
    AdmissionSettings,
    Admitted,
    CallAdmitted,
    CallRejected,
    DemandShared,
    LivePeersChanged,
    Queued,
    RecordReceived,
    Refusal,
    RefusalKind,
    ReplicateRecord,
    RequestId,
    RunState,
    TimerFired,
    message_from_mapping,
    message_to_mapping,
)
from dandelionyoke_core._limits import demand_share
from tests.core.policy_fakes import (
    FixedCapacity,
    FixedPeers,
    entry,
    make_admission,
    make_ticket,
)

ENTRIES = 8
LIMIT = 40.0
BURST_S = 4.0


def admitted_by(outputs: list[object]) -> list[RequestId]:
    return [out.request_id for out in outputs if isinstance(out, CallAdmitted)]


def drain(part: AdmissionPart, now_s: float) -> list[object]:
    """Wake a part until no wake-up is due."""
    outputs: list[object] = []
    while (due_s := part.next_wakeup_s()) is not None and due_s <= now_s:
        outputs += part.handle(TimerFired(), now_s)
    return outputs


class Fleet:
    """A group of entries that receive each other's records if `joined`."""

    def __init__(self, count: int, *, joined: bool) -> None:
        names = tuple(entry(number) for number in range(count))
        peers = FixedPeers(names, names)
        self.joined = joined
        self.parts = [
            make_admission(FixedCapacity(), peers=peers, here=name)
            for name in names
        ]
        self._ids = itertools.count()

    def run_second(self, now_s: float, calls: list[int]) -> int:
        """Offer calls at each entry within a second and count the admitted."""
        self._share(now_s)
        admitted = 0
        for part, count in zip(self.parts, calls, strict=True):
            for position in range(count):
                at_s = now_s + position / count
                ticket = make_ticket(
                    next(self._ids), limits={'requests_per_s': LIMIT}
                )
                if isinstance(part.offer(ticket, at_s), Admitted):
                    admitted += 1
                    part.finish(ticket.request_id, 100, 5, at_s)
        return admitted

    def _share(self, now_s: float) -> None:
        for part in self.parts:
            for output in drain(part, now_s):
                if isinstance(output, ReplicateRecord) and self.joined:
                    self._spread(part, output, now_s)

    def _spread(
        self, part: AdmissionPart, share: ReplicateRecord, now_s: float
    ) -> None:
        mapping = message_to_mapping(share.record)
        record = message_from_mapping(mapping)
        for other in self.parts:
            if other is not part:
                learned = RecordReceived(record, share.record.instance_id)
                other.handle(learned, now_s)


class AdmissionTest(testtools.TestCase):
    @given(
        st.lists(st.integers(1, 400), min_size=60, max_size=90),
        st.lists(st.integers(1, 400), min_size=60, max_size=90),
        st.integers(1, 4),
    )
    @settings(max_examples=60)
    def test_organisations_get_fair_shares_unlike_in_a_shared_queue(
        self, first: list[int], second: list[int], weight: int
    ) -> None:
        """One organisation queues all its calls just before another one.

        With a first-in-first-out queue the calls of the second organisation
        would wait for all calls of the first, however few they are.
        """
        capacity = FixedCapacity(slots=1)
        part = make_admission(capacity, max_queue_wait_s=1e9)
        costs: dict[str, int] = {}
        part.offer(make_ticket('occupier'), 0)
        for name, prompts in (('a', first), ('b', second)):
            for number, prompt in enumerate(prompts):
                limits = {'weight': weight if name == 'b' else 1}
                ticket = make_ticket(
                    f'{name}{number}',
                    name,
                    limits=limits,
                    prompt_tokens=prompt,
                    max_output_tokens=0,
                )
                costs[ticket.request_id] = prompt
                self.assertEqual(Queued(), part.offer(ticket, 0))
        served: Counter[str] = Counter()
        left = Counter(name[0] for name in costs)
        running = RequestId('occupier')
        for step in range(1, len(costs) + 1):
            part.finish(running, costs.get(running, 100), 0, step)
            (running,) = admitted_by(drain(part, step))
            served[running[0]] += costs[running]
            left[running[0]] -= 1
            if min(left.values()) > 0:
                difference = abs(served['a'] - served['b'] / weight)
                self.assertLessEqual(difference, 400 + 400)

    @given(
        st.lists(st.integers(0, 60), min_size=ENTRIES, max_size=ENTRIES),
        st.booleans(),
    )
    @settings(max_examples=25)
    def test_limits_hold_as_with_a_global_counter(
        self, calls: list[int], joined: bool
    ) -> None:
        """An organisation sends calls to all entries or only to a few.

        Without a shared counter each entry could admit the whole limit, or
        refuse calls although most of the limit is unused.
        """
        fleet = Fleet(ENTRIES, joined=joined)
        seconds = 20
        admitted = sum(
            fleet.run_second(float(second), calls) for second in range(seconds)
        )
        global_counter = min(sum(calls), LIMIT) * seconds
        # The bucket of each entry starts full and holds at least one call.
        burst = LIMIT * BURST_S + ENTRIES
        self.assertLessEqual(admitted, LIMIT * seconds + burst)
        if joined:
            self.assertGreaterEqual(admitted, 0.8 * global_counter)

    def test_a_partition_keeps_the_previous_entry_count(self) -> None:
        """A network partition makes each side consider the other dead.

        Both sides would admit the whole limit of the organisation, and it
        would be billed for more than it agreed to.
        """
        fleet = Fleet(ENTRIES, joined=False)
        part = fleet.parts[0]
        alone = (entry(0),)
        part.handle(LivePeersChanged(alone, alone), 5)
        admitted = sum(
            fleet.run_second(second, [60] + [0] * (ENTRIES - 1))
            for second in range(6, 26)
        )
        equal_share = LIMIT / ENTRIES
        self.assertLessEqual(admitted, equal_share * (20 + BURST_S) + 1)

    @given(
        st.lists(st.floats(0, 500), min_size=1, max_size=20),
        st.floats(1, 1000),
        st.floats(0, 1),
    )
    def test_the_shares_add_up_to_the_limit(
        self, demands: list[float], limit: float, reserved: float
    ) -> None:
        total = sum(demands)
        shares = [
            demand_share(demand, total - demand, limit, len(demands), reserved)
            for demand in demands
        ]
        self.assertAlmostEqual(limit, sum(shares), delta=limit / 1000)

    @given(
        st.lists(
            st.tuples(
                st.sampled_from(('offer', 'finish', 'withdraw', 'wait')),
                st.integers(0, 9),
            ),
            max_size=80,
        )
    )
    @settings(max_examples=80)
    def test_no_call_and_no_slot_is_lost(
        self, operations: list[tuple[str, int]]
    ) -> None:
        part = make_admission(
            FixedCapacity(slots=2), max_queued=6, max_queue_wait_s=20
        )
        waiting: set[str] = set()
        running: set[str] = set()
        now_s = 0.0
        for number, (operation, argument) in enumerate(operations):
            now_s += 0.3
            known = sorted(waiting | running)
            if operation == 'offer':
                ticket = make_ticket(
                    f'r{number:03}', f'o{argument}', now_s=now_s
                )
                decision = part.offer(ticket, now_s)
                if isinstance(decision, Queued):
                    waiting.add(ticket.request_id)
                elif isinstance(decision, Admitted):
                    running.add(ticket.request_id)
                else:
                    self.assertEqual(RunState.NO, decision.run)
                    self.assertGreater(decision.retry_after_s, 0)
            elif operation == 'wait':
                now_s += argument
            elif known:
                name = known[argument % len(known)]
                if operation == 'finish':
                    part.finish(RequestId(name), 100, 5, now_s)
                else:
                    part.withdraw(RequestId(name), now_s)
                waiting.discard(name)
                running.discard(name)
            for output in drain(part, now_s):
                if isinstance(output, CallAdmitted | CallRejected):
                    waiting.remove(output.request_id)
                if isinstance(output, CallAdmitted):
                    running.add(output.request_id)
            self.assertLessEqual(len(running), 2)
            self.assertLessEqual(len(waiting), 6)
            self.assertTrue(len(running) == 2 or not waiting)

    def test_refusals_are_immediate_and_have_a_retry_delay(self) -> None:
        """More calls arrive than the targets can handle.

        A caller that is refused at once can retry elsewhere. A caller that is
        kept waiting learns of the refusal only after its deadline.
        """
        full = FixedCapacity(slots=1, run_s=2)
        cases = (
            (FixedCapacity(slots=0), {}, RefusalKind.NO_TARGET),
            (full, {'deadline_s': 1}, RefusalKind.DEADLINE),
            (full, {'limits': {'tokens_per_s': 0}}, RefusalKind.OVER_LIMIT),
            (full, {'limits': {'requests_per_s': 0}}, RefusalKind.OVER_LIMIT),
            (full, {'organisation': 'a'}, RefusalKind.OVERLOADED),
        )
        for capacity, fields, kind in cases:
            part = make_admission(capacity, max_queued=4, max_queued_share=1)
            for number in range(5 if capacity is full else 0):
                part.offer(make_ticket(number, 'a'), 0)
            refusal = part.offer(make_ticket('last', **fields), 0)
            self.assertIsInstance(refusal, Refusal)
            self.assertEqual(kind, refusal.kind)
            self.assertGreater(refusal.retry_after_s, 0)
            self.assertLessEqual(refusal.retry_after_s, 30)

    def test_a_call_that_was_not_served_is_refunded_its_charge(self) -> None:
        """Guards against a limit that refuses calls for tokens never served.

        The calls of others change the estimate of the output between the
        charge of a call and its end.
        """
        part = make_admission(FixedCapacity())

        def run_calls_of_others(output_tokens: int) -> None:
            for number in range(100):
                other = make_ticket(f'{output_tokens}-{number}', 'other')
                part.offer(other, 0)
                part.finish(other.request_id, 100, output_tokens, 0)

        limits = {'tokens_per_s': 100}
        run_calls_of_others(10)
        ticket = make_ticket('x', limits=limits, max_output_tokens=1000)
        self.assertIsInstance(part.offer(ticket, 0), Admitted)
        run_calls_of_others(1)
        part.withdraw(ticket.request_id, 0)
        self.assertIsInstance(
            part.offer(make_ticket('y', limits=limits), 0), Admitted
        )

    def test_the_retry_delay_follows_the_drain_rate(self) -> None:
        waits = []
        for interval_s in (0.1, 1.0):
            part = make_admission(FixedCapacity(slots=1), max_queue_wait_s=1e9)
            running = f'occupier-{interval_s}'
            part.offer(make_ticket(running), 0)
            for number in range(60):
                name = f'{interval_s}-{number}'
                part.offer(make_ticket(name, now_s=number), 0)
            for number in range(40):
                now_s = number * interval_s + 100 * interval_s
                part.finish(RequestId(running), 100, 5, now_s)
                (running,) = admitted_by(drain(part, now_s)) or (running,)
            waits.append(part.retry_after_s(make_ticket('x').service, now_s))
        self.assertGreater(waits[1], 3 * waits[0])

    def test_a_queued_call_that_would_miss_its_deadline_is_rejected(
        self,
    ) -> None:
        """The deadline of a queued call approaches while other calls run.

        Started too late, the call would use engine time and still miss its
        deadline.
        """
        part = make_admission(FixedCapacity(slots=1, run_s=4))
        part.offer(make_ticket('occupier'), 0)
        self.assertEqual(
            Queued(), part.offer(make_ticket('a', deadline_s=6), 0)
        )
        self.assertEqual([], drain(part, 2)[1:])
        (rejected,) = [
            out for out in drain(part, 2.5) if isinstance(out, CallRejected)
        ]
        self.assertEqual(RefusalKind.DEADLINE, rejected.refusal.kind)

    def test_an_idle_entry_reports_rarely_but_stays_known(self) -> None:
        """An idle entry must keep reporting that it has no demand.

        Otherwise its peers reserve its share of each limit and refuse their
        own callers. Since each record costs every node, it reports rarely.
        """
        part = make_admission(FixedCapacity())
        shared_s = [
            now_s
            for now_s in range(60)
            for output in part.handle(TimerFired(), now_s)
            if isinstance(output, ReplicateRecord)
        ]
        gaps_s = [late - early for early, late in pairwise(shared_s)]
        lifetime_s = AdmissionSettings().demand_lifetime_s
        self.assertLess(max(gaps_s), lifetime_s)
        self.assertLessEqual(len(shared_s), 60 / (lifetime_s - 2))

    def test_large_fleets_share_sums_and_small_fleets_full_records(
        self,
    ) -> None:
        for count, everywhere in ((8, {True}), (68, {True, False})):
            names = tuple(entry(number) for number in range(count))
            peers = FixedPeers(names, names)
            shared = []
            for name in names:
                part = make_admission(FixedCapacity(), peers=peers, here=name)
                limits = {'requests_per_s': 10}
                part.offer(make_ticket('pressing', 'a', limits=limits), 0)
                part.offer(make_ticket('other', 'b'), 0)
                shared += [
                    out
                    for out in drain(part, 1)
                    if isinstance(out, ReplicateRecord)
                ]
            sums = [out for out in shared if out.record.is_sum]
            self.assertEqual(everywhere, {out.everywhere for out in shared})
            self.assertEqual(int(count > 16), len(sums))
            organisation_counts = {
                len(out.record.organisations) for out in shared
            }
            self.assertEqual({1} if count > 16 else {2}, organisation_counts)
            self.assertTrue(
                all(isinstance(out.record, DemandShared) for out in shared)
            )
