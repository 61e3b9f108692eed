"""A call that may not be repeated runs at most once, whatever fails."""

from collections import Counter
from typing import Any

import attrs
import testtools
from hypothesis import given, strategies

import dandelionyoke_core as core
from tests.core.fakes import Entry, Schedule, Store, confirm, schedules, serve

STORE_CALLS = (core.StoreGet, core.StorePut, core.StoreDelete)
SETTLED_S = 200
OK, LOST_ANSWER, LOST_CALL = range(3)


@attrs.define
class Flight:
    """A call that an entry made and that has not reached its end."""

    entry: Entry
    action: Any


class World:
    """Entries, their store and a service that counts its runs."""

    def __init__(self, entries: int, schedule: Schedule) -> None:
        self.store = Store()
        self.schedule = schedule
        self.entries = [Entry(f'entry-{place}') for place in range(entries)]
        self.dead: set[str] = set()
        self.flights: list[Flight] = []
        self.runs: Counter[str] = Counter()
        self.ran: set[str] = set()

    def tell(self, entry: Entry, event: Any) -> None:
        if entry.name not in self.dead:
            self.take(entry, entry.tell(event))

    def take(self, entry: Entry, actions: list[core.Action]) -> None:
        self.flights += [
            Flight(entry, action)
            for action in actions
            if isinstance(action, (*STORE_CALLS, core.CallService))
        ]

    def run(self, kill: bool = False) -> None:
        """Let things happen in the schedule's order until all is quiet."""
        deaths = 1 if kill else 0
        until_s = self.entries[0].now_s + SETTLED_S
        while True:
            while self.flights:
                choice = self.schedule.choose(len(self.flights) * 3 + deaths)
                if choice == len(self.flights) * 3:
                    self.dead.add(self.flights[0].entry.name)
                    deaths = 0
                    continue
                self.land(self.flights.pop(choice // 3), choice % 3)
            if not self.pass_time(until_s):
                return

    def land(self, flight: Flight, mode: int) -> None:
        action = flight.action
        if isinstance(action, core.CallService):
            self.serve(flight.entry, action, mode)
            return
        result: Any = core.StoreFailed('cut', may_have_happened=True)
        if mode != LOST_CALL:
            performed = self.store.perform(action)
            result = performed if mode == OK else result
        self.tell(flight.entry, core.StoreAnswered(action.operation_id, result))

    def serve(self, entry: Entry, call: core.CallService, mode: int) -> None:
        ids = call.request_id, call.attempt_id
        if mode == LOST_CALL:
            self.tell(entry, core.AttemptRefused(*ids, 'draining'))
            return
        assert call.idempotency_key is not None
        self.runs[call.idempotency_key] += 1
        self.ran.add(call.request_id)
        if mode == OK:
            self.tell(entry, core.ServiceAnswered(*ids, 200, 't', b'done'))
        else:
            self.tell(entry, core.AttemptFailed(*ids, sent=True, cause='cut'))

    def pass_time(self, until_s: float) -> bool:
        due = [
            (wakeup_s, place)
            for place, entry in enumerate(self.entries)
            if entry.name not in self.dead
            and (wakeup_s := entry.node.next_wakeup_s()) is not None
        ]
        if not due or min(due)[0] > until_s:
            return False
        now_s, place = min(due)
        for entry in self.entries:
            entry.now_s = max(entry.now_s, now_s)
        self.tell(self.entries[place], core.Woken())
        return True

    def ends(self, entry: Entry) -> list[Any]:
        return [
            action
            for action in entry.said
            if isinstance(action, core.AnswerService | core.RefuseCall)
        ]

    def check(self) -> None:
        """At most one run, one end for each caller, and each end true."""
        assert max(self.runs.values(), default=0) <= 1, self.runs
        for entry in self.entries:
            if entry.name in self.dead:
                continue
            asked = [end.request_id for end in self.ends(entry)]
            assert len(asked) == len(set(asked)) == 1, asked
            for end in self.ends(entry):
                answered = isinstance(end, core.AnswerService)
                assert not answered or self.runs.total() == 1
                if (
                    isinstance(end, core.RefuseCall)
                    and end.request_id in self.ran
                ):
                    assert end.refusal.run is core.RunState.UNKNOWN
            assert entry.once.in_progress == 0, 'a claim was never closed'


class RaceTest(testtools.TestCase):
    def test_eight_entries_race_for_one_claim(self) -> None:
        """A salesman's phone loses its answer and sends the confirmation
        again and again, and the balancer gives each copy to another entry,
        all within a moment. The duka owner must be charged once, and each
        copy must get one end, even when the store's or the service's
        answers are lost on the way.
        """
        runs = 0
        for schedule in schedules(deviations=2, limit=1500):
            world = World(8, schedule)
            for place, entry in enumerate(world.entries):
                world.tell(entry, confirm(f'r{place}'))
            world.run()
            world.check()
            runs += world.runs.total()
        self.assertGreater(runs, 1000)

    def test_an_entry_is_killed_at_any_step(self) -> None:
        """The entry that has the confirmation dies before its claim is
        written, after it, after the call was sent or before its end is
        recorded; the salesman sends it again to two other entries, which
        race. Whatever step it died at, nothing runs a second time, and a
        repeat after the owner's time is up hears that the end is unknown.
        """
        deaths = 0
        for schedule in schedules(deviations=3, limit=2500):
            world = World(3, schedule)
            world.tell(world.entries[0], confirm('r0'))
            world.tell(world.entries[1], confirm('r1'))
            world.run(kill=True)
            world.tell(world.entries[2], confirm('r2'))
            world.run()
            world.check()
            deaths += len(world.dead)
        self.assertGreater(deaths, 100)


def told(
    entry: Entry, request_id: str
) -> tuple[core.RefusalKind, core.RunState]:
    refusal = entry.refusal(request_id)
    assert refusal is not None
    return refusal.kind, refusal.run


class RepeatTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.store = Store()
        self.first, self.other = Entry('entry-1'), Entry('entry-2')

    def send(
        self, entry: Entry, name: str, **more: Any
    ) -> core.CallService | None:
        serve(entry, self.store, entry.tell(confirm(name, **more)))
        for _ in range(4):
            serve(entry, self.store, entry.wait(0.2))
        calls = entry.all(core.CallService)
        return calls[-1] if calls and calls[-1].request_id == name else None

    def end(self, entry: Entry, event: Any) -> None:
        serve(entry, self.store, entry.tell(event))

    def test_a_repeat_at_another_entry_while_the_first_runs(self) -> None:
        """The phone gives up waiting and sends again to another entry while
        the service still works on the first. The caller is told that it is
        in progress and when to come back, and gets the first one's answer
        then.
        """
        call = self.send(self.first, 'r1')
        assert call is not None
        self.assertIsNone(self.send(self.other, 'r2'))
        refusal = self.other.refusal('r2')
        assert refusal is not None
        self.assertEqual(core.RefusalKind.IN_PROGRESS, refusal.kind)
        self.assertEqual(1, refusal.retry_after_s)
        answer = core.ServiceAnswered('r1', call.attempt_id, 201, 't', b'done')
        self.end(self.first, answer)
        said = self.first.all(core.StorePut), self.first.all(core.StoreGet)
        self.assertEqual([2, 0], list(map(len, said)))
        self.assertIsNone(self.send(self.other, 'r3'))
        self.assertEqual(
            [core.AnswerService('r3', 201, 't', b'done')],
            self.other.all(core.AnswerService),
        )

    def test_a_repeat_in_the_moment_of_the_answer(self) -> None:
        """The first answer is lost on its way to the phone, which asks
        again at once, before the end of the first call is in the store. The
        repeat waits a moment for it and gets it.
        """
        call = self.send(self.first, 'r1')
        assert call is not None
        answer = core.ServiceAnswered('r1', call.attempt_id, 200, 't', b'done')
        on_its_way = self.first.tell(answer)
        serve(self.other, self.store, self.other.tell(confirm('r2')))
        serve(self.first, self.store, on_its_way)
        serve(self.other, self.store, self.other.wait(0.3))
        self.assertEqual('r2', self.other.last(core.AnswerService).request_id)

    def test_an_owner_that_died_leaves_its_claim_in_doubt(self) -> None:
        """The entry is killed while the service works. Nobody can know
        whether the invoice was issued, so each repeat is told so, hours
        later too, and it is never sent again.
        """
        self.send(self.first, 'r1')
        for name, wait_s in (('r2', 121), ('r3', 86_400)):
            self.other.wait(wait_s)
            self.assertIsNone(self.send(self.other, name))
            self.assertEqual(
                (core.RefusalKind.END_UNKNOWN, core.RunState.UNKNOWN),
                told(self.other, name),
            )

    def test_a_replacement_does_not_take_its_predecessors_claim(self) -> None:
        """An instance is killed with a confirmation in progress and comes
        back under the same name, with the same seed. If it took the claim
        in the store for its own, it would charge the duka owner again.
        """
        self.send(self.first, 'r1')
        replacement = Entry('entry-1', started_wall_s=1_000_060)
        self.assertIsNone(self.send(replacement, 'r1'))
        self.assertEqual(
            core.RefusalKind.IN_PROGRESS, told(replacement, 'r1')[0]
        )

    def test_a_late_end_is_recorded_though_the_caller_left(self) -> None:
        """The van drives into a dead spot while the service works, and the
        phone sends the same confirmation again afterwards. The first one's
        end was recorded all the same, and is the answer.
        """
        call = self.send(self.first, 'r1')
        assert call is not None
        self.end(self.first, core.CallerGone('r1'))
        answer = core.ServiceAnswered('r1', call.attempt_id, 200, 't', b'done')
        self.end(self.first, answer)
        self.assertEqual([], self.first.all(core.AnswerService))
        self.send(self.other, 'r2')
        self.assertEqual(b'done', self.other.last(core.AnswerService).body)
        self.assertEqual(1, self.first.usage.requests)

    def test_each_end_of_an_attempt(self) -> None:
        """A target refuses, cannot be reached, or breaks off. Only the
        last may have run the call, so only then is it refused as unknown
        for good; else it goes to another target.
        """
        refused = core.AttemptRefused('r1', 'r1.1', 'draining')
        unreached = core.AttemptFailed(
            'r1', 'r1.1', sent=False, cause='refused'
        )
        broken = core.AttemptFailed('r1', 'r1.1', sent=True, cause='reset')
        put = {'method': 'PUT', 'path': '/stock'}
        for event, elsewhere, more in (
            (refused, True, {}),
            (unreached, True, {}),
            (broken, False, {}),
            (broken, False, put),
        ):
            entry = Entry('entry-1')
            self.store = Store()
            self.send(entry, 'r1', **more)
            self.end(entry, event)
            self.assertEqual(
                2 if elsewhere else 1, len(entry.all(core.CallService))
            )
            if elsewhere:
                continue
            expected = (core.RefusalKind.END_UNKNOWN, core.RunState.UNKNOWN)
            self.assertEqual(expected, told(entry, 'r1'))
            other = Entry('entry-2')
            self.send(other, 'r2', **more)
            self.assertEqual(expected, told(other, 'r2'))

    def test_a_call_that_no_target_ran_may_be_sent_again(self) -> None:
        """Each target of the service drains at once. The refusal says that
        the call did not run, so the caller's repeat under the same key must
        be free to run.
        """
        self.send(self.first, 'r1')
        for number in range(1, 4):
            self.end(
                self.first,
                core.AttemptRefused('r1', f'r1.{number}', 'draining'),
            )
        self.assertEqual(
            (core.RefusalKind.NO_TARGET, core.RunState.NO),
            told(self.first, 'r1'),
        )
        self.assertIsNotNone(self.send(self.other, 'r2'))

    def test_a_key_stands_for_one_request(self) -> None:
        """A program sends two different invoices under one key by mistake.
        Answering the second with the first one's end would lose it without
        a sign, so it is refused.
        """
        self.send(self.first, 'r1')
        self.assertIsNone(self.send(self.other, 'r2', body=b'5 crates'))
        kind, run = told(self.other, 'r2')
        self.assertEqual((422, core.RunState.NO), (kind.status, run))

    def test_a_large_answer_is_not_kept_but_its_run_is(self) -> None:
        """A service answers with more than a claim may hold. The caller
        gets it whole; a repeat is told that it ran and that the answer is
        not kept, and the call is not sent again.
        """
        call = self.send(self.first, 'r1')
        assert call is not None
        body = bytes(core.OnceSettings().max_kept_answer_bytes + 1)
        self.end(
            self.first,
            core.ServiceAnswered('r1', call.attempt_id, 200, 't', body),
        )
        self.assertEqual(body, self.first.last(core.AnswerService).body)
        self.assertIsNone(self.send(self.other, 'r2'))
        refusal = self.other.refusal('r2')
        assert refusal is not None
        self.assertIn('ran once', refusal.detail)

    def test_a_record_that_cannot_be_read_stands(self) -> None:
        """During a replacement a newer version has written a claim that
        this one cannot read. To write over it could issue an invoice twice,
        so the call is refused as of unknown end.
        """
        self.send(self.first, 'r1')
        (key,) = self.store.items
        self.store.items[key] = core.StoreItem(key, 1, '{"version": 9}')
        self.assertIsNone(self.send(self.other, 'r2'))
        self.assertEqual(
            core.RefusalKind.END_UNKNOWN, told(self.other, 'r2')[0]
        )

    def test_a_claim_is_dropped_after_its_retention_only(self) -> None:
        """Claims are swept from the store so that it does not fill up. One
        that went too early would let an old repeat run again, so each is
        judged by the expiry in it and by nothing else.
        """
        self.send(self.first, 'r1')
        (item,) = self.store.items.values()
        settings = core.OnceSettings()
        kept_s = settings.retention_s + settings.clock_margin_s
        for wait_s, deletes in ((kept_s - 1000, 0), (2000, 1)):
            self.other.now_s += wait_s
            self.send(self.other, f'r{wait_s}', idempotency_key='other')
            self.other.wait(settings.sweep_interval_s * 2)
            listing = self.other.last(core.StoreList)
            answer = core.StoreListing(1, (item,))
            self.other.tell(core.StoreAnswered(listing.operation_id, answer))
            self.assertEqual(deletes, len(self.other.all(core.StoreDelete)))


class StoreFailureTest(testtools.TestCase):
    def test_a_store_that_is_down_or_slow(self) -> None:
        """The store refuses every call, or gives no answer at all. The
        caller hears within two seconds that its call was not sent, and
        that is true: nothing ever reaches the service.
        """
        for failed in (core.StoreFailed('503', may_have_happened=False), None):
            entry = Entry()
            answered = 0
            entry.tell(confirm())
            while entry.now_s < 102.5:
                puts = entry.all(core.StorePut)
                if failed is not None and answered < len(puts):
                    answered += 1
                    operation_id = puts[-1].operation_id
                    entry.tell(core.StoreAnswered(operation_id, failed))
                entry.wait(0.05)
            expected = (core.RefusalKind.STORE_DOWN, core.RunState.NO)
            self.assertEqual(expected, told(entry, 'r1'))
            self.assertEqual([], entry.all(core.CallService))

    def test_an_end_is_recorded_when_the_store_comes_back(self) -> None:
        """The store fails between the claim and the end, for an hour. The
        caller gets its answer at once; the end is written when the store is
        back, so that a repeat finds it.
        """
        entry, store = Entry(), Store()
        serve(entry, store, entry.tell(confirm()))
        entry.tell(core.ServiceAnswered('r1', 'r1.1', 200, 't', b'done'))
        self.assertEqual(b'done', entry.last(core.AnswerService).body)
        for _ in range(100):
            put = entry.last(core.StorePut)
            failed = core.StoreFailed('503', may_have_happened=False)
            entry.tell(core.StoreAnswered(put.operation_id, failed))
            entry.wait(6)
        serve(entry, store, [entry.last(core.StorePut)])
        self.assertEqual(0, entry.once.in_progress)
        serve(entry, store, entry.tell(confirm('r2')))
        self.assertEqual('r2', entry.last(core.AnswerService).request_id)
        self.assertLess(len(entry.all(core.StorePut)), 110)

    def test_a_claim_whose_answer_was_lost_is_read_not_written(self) -> None:
        """The claim takes effect and its answer is lost. The entry must
        find its own claim and send the call once; a second write would
        meet its own claim and refuse a call that nobody runs.
        """
        entry, store = Entry(), Store()
        (put,) = entry.tell(confirm())[-1:]
        assert isinstance(put, core.StorePut)
        store.perform(put)
        failed = core.StoreFailed('cut', may_have_happened=True)
        entry.tell(core.StoreAnswered(put.operation_id, failed))
        (read,) = entry.wait(1)
        self.assertIsInstance(read, core.StoreGet)
        serve(entry, store, [read])
        self.assertEqual(1, len(entry.all(core.CallService)))

    def test_a_late_write_of_a_refused_claim_cannot_land(self) -> None:
        """The claim is held up in the network for so long that the caller
        is told that nothing was sent, and arrives then. A repeat must be
        free to run, and must not be told of a run that never was.
        """
        entry, store = Entry(), Store()
        (late,) = entry.tell(confirm())[-1:]
        for _ in range(20):
            serve(entry, store, entry.wait(1))
        self.assertEqual(core.RefusalKind.STORE_DOWN, told(entry, 'r1')[0])
        store.perform(late)
        other = Entry('entry-2')
        serve(other, store, other.tell(confirm('r2')))
        self.assertEqual(1, len(other.all(core.CallService)))


class Ledger:
    """Obviously right: one process that does one call at a time."""

    def __init__(self) -> None:
        self.kept: dict[str, tuple[bytes, Any]] = {}

    def call(self, key: str, body: bytes, outcome: int) -> Any:
        if key in self.kept:
            first_body, end = self.kept[key]
            return end if first_body == body else core.RefusalKind.KEY_REUSED
        ends = {OK: b'done', LOST_ANSWER: core.RefusalKind.END_UNKNOWN}
        if outcome in ends:
            self.kept[key] = body, ends[outcome]
        return ends.get(outcome, core.RefusalKind.NO_TARGET)


def told_of_outage(end: Any) -> bool:
    refused = isinstance(end, core.RefuseCall)
    return refused and end.refusal.kind is core.RefusalKind.STORE_DOWN


class DifferentialTest(testtools.TestCase):
    @given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, 2),
                strategies.sampled_from(('k1', 'k2')),
                strategies.sampled_from((b'a', b'b')),
                strategies.integers(0, 2),
                strategies.lists(strategies.integers(0, 2), max_size=4),
            ),
            max_size=12,
        )
    )
    def test_three_entries_answer_as_one_ledger_does(
        self, calls: list[tuple[int, str, bytes, int, list[int]]]
    ) -> None:
        """Calls go to any of three entries while answers of the store and
        calls to it are lost. One after the other, they must end as in one
        process that keeps a list.
        """
        ledger, world = Ledger(), World(3, Schedule(()))
        for number, (place, key, body, outcome, faults) in enumerate(calls):
            entry = world.entries[place]
            name, lost = f'r{number}', sum(map(bool, faults))
            world.tell(entry, confirm(name, idempotency_key=key, body=body))
            while world.flights or world.pass_time(entry.now_s + 20):
                if not world.flights:
                    continue
                flight = world.flights.pop(0)
                store_call = not isinstance(flight.action, core.CallService)
                fault = faults.pop(0) if store_call and faults else OK
                world.land(flight, fault if store_call else outcome)
            end = world.ends(entry)[-1]
            if told_of_outage(end):
                # Its claim was given back, as if it had never come.
                self.assertGreater(lost, 2)
                continue
            self.assertEqual(name, end.request_id)
            answered = isinstance(end, core.AnswerService)
            self.assertEqual(
                ledger.call(key, body, outcome),
                end.body if answered else end.refusal.kind,
            )
