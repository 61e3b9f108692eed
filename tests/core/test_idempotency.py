"""At-most-once execution of calls that are not idempotent, under failures."""

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
class PendingCall:
    """A call of an entry that has no result yet."""

    entry: Entry
    action: Any


class World:
    """Entries, their store, and a service that counts its runs."""

    def __init__(self, entries: int, schedule: Schedule) -> None:
        self.store = Store()
        self.schedule = schedule
        self.entries = [Entry(f'entry-{index}') for index in range(entries)]
        self.dead: set[str] = set()
        self.pending_calls: list[PendingCall] = []
        self.runs: Counter[str] = Counter()
        self.ran: set[str] = set()

    def tell(self, entry: Entry, event: Any) -> None:
        if entry.name not in self.dead:
            self.collect_calls(entry, entry.tell(event))

    def collect_calls(self, entry: Entry, actions: list[core.Action]) -> None:
        self.pending_calls += [
            PendingCall(entry, action)
            for action in actions
            if isinstance(action, (*STORE_CALLS, core.CallService))
        ]

    def run(self, kill: bool = False) -> None:
        """Deliver calls in the order of the schedule until none is pending.

        Each call succeeds, loses its answer or is lost itself. With `kill`,
        the schedule may kill one entry.
        """
        kill_count = 1 if kill else 0
        until_s = self.entries[0].now_s + SETTLED_S
        while True:
            while self.pending_calls:
                choice = self.schedule.choose(
                    len(self.pending_calls) * 3 + kill_count
                )
                if choice == len(self.pending_calls) * 3:
                    self.dead.add(self.pending_calls[0].entry.name)
                    kill_count = 0
                    continue
                self.deliver(self.pending_calls.pop(choice // 3), choice % 3)
            if not self.pass_time(until_s):
                return

    def deliver(self, pending_call: PendingCall, mode: int) -> None:
        action = pending_call.action
        if isinstance(action, core.CallService):
            self.serve(pending_call.entry, action, mode)
            return
        result: Any = core.StoreFailed('cut', may_have_been_applied=True)
        if mode != LOST_CALL:
            performed = self.store.perform(action)
            result = performed if mode == OK else result
        self.tell(
            pending_call.entry, core.StoreResponded(action.operation_id, result)
        )

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
            (wakeup_s, index)
            for index, entry in enumerate(self.entries)
            if entry.name not in self.dead
            and (wakeup_s := entry.node.next_wakeup_s()) is not None
        ]
        if not due or min(due)[0] > until_s:
            return False
        now_s, index = min(due)
        for entry in self.entries:
            entry.now_s = max(entry.now_s, now_s)
        self.tell(self.entries[index], core.TimerFired())
        return True

    def outcomes(self, entry: Entry) -> list[Any]:
        return [
            action
            for action in entry.said
            if isinstance(action, core.RespondService | core.RefuseCall)
        ]

    def check(self) -> None:
        """Check for at most one run, and one correct answer per caller."""
        assert max(self.runs.values(), default=0) <= 1, self.runs
        for entry in self.entries:
            if entry.name in self.dead:
                continue
            request_ids = [end.request_id for end in self.outcomes(entry)]
            assert len(request_ids) == len(set(request_ids)) == 1, request_ids
            for end in self.outcomes(entry):
                answered = isinstance(end, core.RespondService)
                assert not answered or self.runs.total() == 1
                if (
                    isinstance(end, core.RefuseCall)
                    and end.request_id in self.ran
                ):
                    assert end.refusal.run is core.RunState.UNKNOWN
            assert entry.idempotency.in_progress == 0, (
                'a claim was never closed'
            )


class RaceTest(testtools.TestCase):
    def test_eight_entries_race_for_one_claim(self) -> None:
        """A client repeats a call, and eight entries get the copies at once.

        The call must run at most once, and each copy must get one answer,
        even if answers of the store or the service are lost.
        """
        runs = 0
        for schedule in schedules(deviations=2, limit=1500):
            world = World(8, schedule)
            for index, entry in enumerate(world.entries):
                world.tell(entry, confirm(f'r{index}'))
            world.run()
            world.check()
            runs += world.runs.total()
        self.assertGreater(runs, 1000)

    def test_an_entry_killed_at_any_step(self) -> None:
        """An entry is killed before or after any of its writes and calls.

        The client repeats the call on two other entries. The call must not
        run twice, and a repeat after the run limit of the killed owner must
        be told that the outcome is unknown.
        """
        kill_count = 0
        for schedule in schedules(deviations=3, limit=2500):
            world = World(3, schedule)
            world.tell(world.entries[0], confirm('r0'))
            world.tell(world.entries[1], confirm('r1'))
            world.run(kill=True)
            world.tell(world.entries[2], confirm('r2'))
            world.run()
            world.check()
            kill_count += len(world.dead)
        self.assertGreater(kill_count, 100)


def refusal_of(
    entry: Entry, request_id: str
) -> tuple[core.RefusalKind, core.RunState]:
    refusal = entry.refusal(request_id)
    assert refusal is not None
    return refusal.kind, refusal.run


class RepeatTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.store = Store()
        self.first, self.second = Entry('entry-1'), Entry('entry-2')

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

    def test_a_repeat_on_another_entry_during_the_first_call(self) -> None:
        """A client repeats a call on another entry while the first one runs.

        The repeat is refused as in progress with a Retry-After. A later
        repeat gets the answer of the first call.
        """
        call = self.send(self.first, 'r1')
        assert call is not None
        self.assertIsNone(self.send(self.second, 'r2'))
        refusal = self.second.refusal('r2')
        assert refusal is not None
        self.assertEqual(core.RefusalKind.IN_PROGRESS, refusal.kind)
        self.assertEqual(1, refusal.retry_after_s)
        answer = core.ServiceAnswered('r1', call.attempt_id, 201, 't', b'done')
        self.end(self.first, answer)
        store_calls = (
            self.first.all(core.StorePut),
            self.first.all(core.StoreGet),
        )
        self.assertEqual([2, 0], list(map(len, store_calls)))
        self.assertIsNone(self.send(self.second, 'r3'))
        self.assertEqual(
            [core.RespondService('r3', 201, 't', b'done')],
            self.second.all(core.RespondService),
        )

    def test_a_repeat_before_the_end_is_stored_waits_for_it(self) -> None:
        """A client repeats a call just before the first end is stored.

        The repeat waits briefly for the end and gets its answer.
        """
        call = self.send(self.first, 'r1')
        assert call is not None
        answer = core.ServiceAnswered('r1', call.attempt_id, 200, 't', b'done')
        on_its_way = self.first.tell(answer)
        serve(self.second, self.store, self.second.tell(confirm('r2')))
        serve(self.first, self.store, on_its_way)
        serve(self.second, self.store, self.second.wait(0.3))
        self.assertEqual('r2', self.second.last(core.RespondService).request_id)

    def test_the_claim_of_a_killed_owner_is_in_doubt(self) -> None:
        """An entry is killed while the service works on its call.

        The outcome is unknown. Each repeat, even hours later, is told so and
        is not sent again.
        """
        self.send(self.first, 'r1')
        for name, wait_s in (('r2', 121), ('r3', 86_400)):
            self.second.wait(wait_s)
            self.assertIsNone(self.send(self.second, name))
            self.assertEqual(
                (core.RefusalKind.END_UNKNOWN, core.RunState.UNKNOWN),
                refusal_of(self.second, name),
            )

    def test_a_replaced_instance_does_not_resume_an_old_claim(self) -> None:
        """A killed instance restarts with the same name and random seed.

        If it mistook the stored claim for its own, it would run the call a
        second time.
        """
        self.send(self.first, 'r1')
        replacement = Entry('entry-1', started_wall_s=1_000_060)
        self.assertIsNone(self.send(replacement, 'r1'))
        self.assertEqual(
            core.RefusalKind.IN_PROGRESS, refusal_of(replacement, 'r1')[0]
        )

    def test_an_end_is_recorded_after_the_caller_disconnected(self) -> None:
        """A caller disconnects while the service works, and repeats later.

        The end of the first call is recorded anyway and answers the repeat.
        """
        call = self.send(self.first, 'r1')
        assert call is not None
        self.end(self.first, core.CallerDisconnected('r1'))
        answer = core.ServiceAnswered('r1', call.attempt_id, 200, 't', b'done')
        self.end(self.first, answer)
        self.assertEqual([], self.first.all(core.RespondService))
        self.send(self.second, 'r2')
        self.assertEqual(b'done', self.second.last(core.RespondService).body)
        self.assertEqual(1, self.first.usage.requests)

    def test_a_retry_depends_on_how_the_attempt_ended(self) -> None:
        """A target refuses, cannot be reached, or breaks the connection.

        Only in the last case may the call have run, and it is refused with
        an unknown outcome. Otherwise it is sent to another target.
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
            self.assertEqual(expected, refusal_of(entry, 'r1'))
            other = Entry('entry-2')
            self.send(other, 'r2', **more)
            self.assertEqual(expected, refusal_of(other, 'r2'))

    def test_a_call_that_no_target_ran_may_be_sent_again(self) -> None:
        """All targets of the service are draining and refuse the call.

        The refusal says that the call did not run, so a repeat with the same
        key must be allowed to run.
        """
        self.send(self.first, 'r1')
        for number in range(1, 4):
            self.end(
                self.first,
                core.AttemptRefused('r1', f'r1.{number}', 'draining'),
            )
        self.assertEqual(
            (core.RefusalKind.NO_TARGET, core.RunState.NO),
            refusal_of(self.first, 'r1'),
        )
        self.assertIsNotNone(self.send(self.second, 'r2'))

    def test_a_key_reused_for_another_request_is_refused(self) -> None:
        """A client sends two different requests with one idempotency key.

        Answering the second one from the first would silently lose it, so it
        is refused.
        """
        self.send(self.first, 'r1')
        self.assertIsNone(self.send(self.second, 'r2', body=b'5 crates'))
        kind, run = refusal_of(self.second, 'r2')
        self.assertEqual((422, core.RunState.NO), (kind.status, run))

    def test_a_large_answer_is_not_stored_but_its_end_is(self) -> None:
        """A service sends an answer that is too large for a claim.

        The caller gets all of it. A repeat is told that the call ran and that
        its answer was not stored, and the call is not sent again.
        """
        call = self.send(self.first, 'r1')
        assert call is not None
        body = bytes(core.IdempotencySettings().max_kept_answer_bytes + 1)
        self.end(
            self.first,
            core.ServiceAnswered('r1', call.attempt_id, 200, 't', body),
        )
        self.assertEqual(body, self.first.last(core.RespondService).body)
        self.assertIsNone(self.send(self.second, 'r2'))
        refusal = self.second.refusal('r2')
        assert refusal is not None
        self.assertIn('ran once', refusal.detail)

    def test_an_unreadable_record_is_not_overwritten(self) -> None:
        """A newer version has written a claim that this one cannot decode.

        Overwriting it could run a call twice, so the call is refused with an
        unknown outcome.
        """
        self.send(self.first, 'r1')
        (key,) = self.store.items
        self.store.items[key] = core.StoreItem(key, 1, '{"version": 9}')
        self.assertIsNone(self.send(self.second, 'r2'))
        self.assertEqual(
            core.RefusalKind.END_UNKNOWN, refusal_of(self.second, 'r2')[0]
        )

    def test_a_claim_is_deleted_only_after_its_retention(self) -> None:
        """The sweep deletes claims so that the store does not fill up.

        A claim deleted too early would let an old repeat run again, so only
        the expiry time in the record decides.
        """
        self.send(self.first, 'r1')
        (item,) = self.store.items.values()
        settings = core.IdempotencySettings()
        kept_s = settings.retention_s + settings.clock_margin_s
        for wait_s, deletes in ((kept_s - 1000, 0), (2000, 1)):
            self.second.now_s += wait_s
            self.send(self.second, f'r{wait_s}', idempotency_key='other')
            self.second.wait(settings.sweep_interval_s * 2)
            listing = self.second.last(core.StoreList)
            answer = core.StoreListing(1, (item,))
            self.second.tell(core.StoreResponded(listing.operation_id, answer))
            self.assertEqual(deletes, len(self.second.all(core.StoreDelete)))


class StoreFailureTest(testtools.TestCase):
    def test_a_call_is_refused_while_the_store_is_down_or_slow(self) -> None:
        """The store refuses every call, or does not answer at all.

        The caller is told within two seconds that its call was not sent, and
        nothing ever reaches the service.
        """
        for failed in (
            core.StoreFailed('503', may_have_been_applied=False),
            None,
        ):
            entry = Entry()
            answered = 0
            entry.tell(confirm())
            while entry.now_s < 102.5:
                puts = entry.all(core.StorePut)
                if failed is not None and answered < len(puts):
                    answered += 1
                    operation_id = puts[-1].operation_id
                    entry.tell(core.StoreResponded(operation_id, failed))
                entry.wait(0.05)
            expected = (core.RefusalKind.STORE_DOWN, core.RunState.NO)
            self.assertEqual(expected, refusal_of(entry, 'r1'))
            self.assertEqual([], entry.all(core.CallService))

    def test_an_end_is_recorded_when_the_store_recovers(self) -> None:
        """The store fails for an hour between the claim and the end.

        The caller gets its answer at once. The end is written when the store
        has recovered, so that a repeat finds it.
        """
        entry, store = Entry(), Store()
        serve(entry, store, entry.tell(confirm()))
        entry.tell(core.ServiceAnswered('r1', 'r1.1', 200, 't', b'done'))
        self.assertEqual(b'done', entry.last(core.RespondService).body)
        for _ in range(100):
            put = entry.last(core.StorePut)
            failed = core.StoreFailed('503', may_have_been_applied=False)
            entry.tell(core.StoreResponded(put.operation_id, failed))
            entry.wait(6)
        serve(entry, store, [entry.last(core.StorePut)])
        self.assertEqual(0, entry.idempotency.in_progress)
        serve(entry, store, entry.tell(confirm('r2')))
        self.assertEqual('r2', entry.last(core.RespondService).request_id)
        self.assertLess(len(entry.all(core.StorePut)), 110)

    def test_a_claim_whose_answer_was_lost_is_read_back(self) -> None:
        """The write of a claim succeeds but its answer is lost.

        The entry must read its own claim and send the call once. A second
        write would conflict with it and refuse a call that nobody runs.
        """
        entry, store = Entry(), Store()
        (put,) = entry.tell(confirm())[-1:]
        assert isinstance(put, core.StorePut)
        store.perform(put)
        failed = core.StoreFailed('cut', may_have_been_applied=True)
        entry.tell(core.StoreResponded(put.operation_id, failed))
        (read,) = entry.wait(1)
        self.assertIsInstance(read, core.StoreGet)
        serve(entry, store, [read])
        self.assertEqual(1, len(entry.all(core.CallService)))

    def test_a_late_write_of_a_refused_claim_fails(self) -> None:
        """The write of a claim arrives after its call was refused as not sent.

        A repeat must be allowed to run, and must not be told of a run that
        never happened.
        """
        entry, store = Entry(), Store()
        (late,) = entry.tell(confirm())[-1:]
        for _ in range(20):
            serve(entry, store, entry.wait(1))
        self.assertEqual(
            core.RefusalKind.STORE_DOWN, refusal_of(entry, 'r1')[0]
        )
        store.perform(late)
        other = Entry('entry-2')
        serve(other, store, other.tell(confirm('r2')))
        self.assertEqual(1, len(other.all(core.CallService)))


class ReferenceModel:
    """The expected results: one process that runs one call at a time."""

    def __init__(self) -> None:
        self.results: dict[str, tuple[bytes, Any]] = {}

    def call(self, key: str, body: bytes, outcome: int) -> Any:
        if key in self.results:
            first_body, end = self.results[key]
            return end if first_body == body else core.RefusalKind.KEY_REUSED
        outcomes = {OK: b'done', LOST_ANSWER: core.RefusalKind.END_UNKNOWN}
        if outcome in outcomes:
            self.results[key] = body, outcomes[outcome]
        return outcomes.get(outcome, core.RefusalKind.NO_TARGET)


def is_store_down_refusal(end: Any) -> bool:
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
    def test_three_entries_match_the_reference_model(
        self, calls: list[tuple[int, str, bytes, int, list[int]]]
    ) -> None:
        """Sequential calls go to any of three entries with a faulty store.

        Store calls and their answers are lost. The results must match those
        of a single process that keeps a table of results.
        """
        reference, world = ReferenceModel(), World(3, Schedule(()))
        for number, (index, key, body, outcome, faults) in enumerate(calls):
            entry = world.entries[index]
            name, lost = f'r{number}', sum(map(bool, faults))
            world.tell(entry, confirm(name, idempotency_key=key, body=body))
            while world.pending_calls or world.pass_time(entry.now_s + 20):
                if not world.pending_calls:
                    continue
                pending_call = world.pending_calls.pop(0)
                store_call = not isinstance(
                    pending_call.action, core.CallService
                )
                fault = faults.pop(0) if store_call and faults else OK
                world.deliver(pending_call, fault if store_call else outcome)
            end = world.outcomes(entry)[-1]
            if is_store_down_refusal(end):
                # The claim was released, as if the call had never come.
                self.assertGreater(lost, 2)
                continue
            self.assertEqual(name, end.request_id)
            answered = isinstance(end, core.RespondService)
            self.assertEqual(
                reference.call(key, body, outcome),
                end.body if answered else end.refusal.kind,
            )
