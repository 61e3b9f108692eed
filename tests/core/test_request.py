"""Callers get their whole answer, or a refusal that is true."""

from typing import Any

import testtools
from hypothesis import given, strategies

import dandelionyoke_core as core
from tests.core.fakes import Entry, Store, ask, confirm, engine, serve

ANSWER = tuple(f'crate{place} ' for place in range(8))
NO, UNKNOWN = core.RunState.NO, core.RunState.UNKNOWN
WITHDRAWN = core.KeyWithdrawn('hash of key-1')


def output(attempt: str, start: int, end: int, name: str = 'r1') -> core.Event:
    return core.TokensArrived(name, attempt, start, ANSWER[start:end])


def end_of(attempt: str, offset: int = 8, name: str = 'r1') -> core.Event:
    return core.AttemptEnded(name, attempt, 'stop', offset, 3)


def broken(attempt: str, name: str = 'r1') -> core.Event:
    return core.AttemptFailed(name, attempt, sent=True, cause='reset')


def unreached(attempt: str, name: str = 'r1') -> core.Event:
    return core.AttemptFailed(name, attempt, sent=False, cause='refused')


def draining(attempt: str, name: str = 'r1') -> core.Event:
    return core.AttemptRefused(name, attempt, 'draining')


def tokens_of(entry: Entry) -> tuple[str, ...]:
    return sum((sent.tokens for sent in entry.all(core.SendTokens)), ())


def stream(entry: Entry) -> str:
    """Name the stream that the entry opened last."""
    opened = core.StartAttempt | core.ResumeAttempt
    return [a.attempt_id for a in entry.said if isinstance(a, opened)][-1]


def asked(entry: Entry) -> Entry:
    entry.tell(ask())
    return entry


class WholeAnswerTest(testtools.TestCase):
    def whole(self, entry: Entry) -> None:
        """The caller has all, once; nothing is held; usage counts it once."""
        self.assertEqual(ANSWER, tokens_of(entry))
        self.assertEqual(
            [core.FinishCall('r1', 'stop', 3, 8)], entry.all(core.FinishCall)
        )
        self.assertEqual([], entry.all(core.RefuseCall))
        self.assertEqual(set(), entry.admitter.held)
        self.assertEqual({}, entry.router.running)
        observed = {
            observed.metric for observed in entry.all(core.ObserveLatency)
        }
        self.assertEqual({'request.first_token', 'request.total'}, observed)
        usage = entry.usage
        self.assertEqual(
            (1, 3, 8),
            (usage.requests, usage.prompt_tokens, usage.output_tokens),
        )

    def test_an_engine_crashes_halfway(self) -> None:
        """The engine dies while the answer is being written. The salesman
        sees a short pause; the rest comes from another engine, which is
        told what he has got already.
        """
        entry = asked(Entry())
        entry.tell(output('r1.1', 0, 3))
        entry.tell(broken('r1.1'))
        self.assertEqual(3, entry.last(core.ResumeAttempt).offset)
        entry.tell(unreached('r1.2'))
        start = entry.last(core.StartAttempt)
        self.assertEqual(
            (core.TargetId('b'), ANSWER[:3]),
            (start.target_id, start.resume_tokens),
        )
        entry.tell(output('r1.3', 3, 8))
        entry.tell(end_of('r1.3'))
        self.whole(entry)

    def test_a_connection_goes_silent_while_the_engine_works(self) -> None:
        """Something between the ends forgets the connection: nothing comes
        and nothing fails. The rest is read on over a new connection from
        where the caller stands, and the engine does no work twice.
        """
        entry = asked(Entry())
        entry.tell(output('r1.1', 0, 3))
        entry.wait(core.RequestSettings().silence_limit_s)
        self.assertEqual(
            (core.DropAttempt('r1', 'r1.1'), 3, 'r1.1'),
            (
                entry.last(core.DropAttempt),
                entry.last(core.ResumeAttempt).offset,
                entry.last(core.ResumeAttempt).resumed_attempt_id,
            ),
        )
        entry.tell(core.AttemptAccepted('r1', 'r1.2'))
        entry.tell(output('r1.2', 3, 8))
        entry.tell(end_of('r1.2'))
        self.whole(entry)
        self.assertEqual(1, len(entry.all(core.StartAttempt)))

    def test_an_engine_goes_silent_for_good(self) -> None:
        """The engine is paused or cut off: a new connection is silent too.
        The work moves to another engine, the first is told to stop for when
        it hears again, and what it still says late is not passed on.
        """
        entry = asked(Entry())
        entry.tell(output('r1.1', 0, 3))
        entry.wait(core.RequestSettings().silence_limit_s)
        entry.wait(core.RequestSettings().accept_limit_s)
        self.assertEqual('r1.1', entry.last(core.CancelAttempt).attempt_id)
        self.assertEqual(
            core.TargetId('b'), entry.last(core.StartAttempt).target_id
        )
        for late in (
            output('r1.1', 3, 8),
            output('r1.2', 3, 8),
            end_of('r1.2'),
        ):
            (counted,) = entry.tell(late)
            self.assertIsInstance(counted, core.CountMetric)
        entry.tell(output('r1.3', 3, 8))
        entry.tell(end_of('r1.3'))
        self.whole(entry)

    def test_a_full_engine_is_not_taken_for_a_silent_one(self) -> None:
        """A long prompt waits in the engine's queue and no token comes. To
        start it elsewhere would only make the wait longer; reading on over
        a new connection does no harm, and tells whether the engine lives.
        """
        for answers in (False, True):
            entry = asked(Entry())
            if answers:
                entry.tell(core.AttemptAccepted('r1', 'r1.1'))
            entry.wait(5)
            self.assertEqual(1, len(entry.all(core.ResumeAttempt)))
            if answers:
                entry.tell(core.AttemptAccepted('r1', 'r1.2'))
            entry.wait(25)
            self.assertEqual(1, len(entry.all(core.StartAttempt)))
            entry.tell(output('r1.2', 0, 8))
            entry.tell(end_of('r1.2'))
            self.whole(entry)

    def test_overlaps_are_trimmed_and_gaps_resumed(self) -> None:
        """A resumed stream starts a little early, or a piece of it is lost
        on the way. The caller must see neither a doubled nor a missing
        word.
        """
        entry = asked(Entry())
        entry.tell(output('r1.1', 0, 3))
        entry.tell(output('r1.1', 1, 4))
        entry.tell(output('r1.1', 0, 2))
        entry.tell(output('r1.1', 5, 6))
        self.assertEqual(4, entry.last(core.ResumeAttempt).offset)
        entry.tell(output('r1.2', 4, 6))
        entry.tell(end_of('r1.2'))
        self.assertEqual(6, entry.last(core.ResumeAttempt).offset)
        entry.tell(output('r1.3', 6, 8))
        entry.tell(end_of('r1.3'))
        self.whole(entry)

    def test_answers_that_crossed(self) -> None:
        """Two callers ask at once and a proxy mixes up the streams. Neither
        may see a word of the other's answer, nor its end.
        """
        entry = asked(Entry())
        entry.tell(ask('r2', 'another prompt'))
        for crossed in (
            core.TokensArrived('r1', 'r2.1', 0, ('secret',)),
            core.TokensArrived('r9', 'r9.1', 0, ('secret',)),
            end_of('r2.1'),
            core.ServiceAnswered('r1', 'r1.1', 200, 't', b'secret'),
        ):
            (counted,) = entry.tell(crossed)
            self.assertIsInstance(counted, core.CountMetric)
        entry.tell(output('r2.1', 0, 2, 'r2'))
        entry.tell(end_of('r2.1', 1, 'r2'))
        self.assertEqual([], entry.all(core.FinishCall))

    def test_a_reclaimed_engine_is_left_at_once(self) -> None:
        """The platform takes a cheap engine away on a few seconds' notice.
        Its answers go on elsewhere before it is gone; an engine that merely
        leaves finishes what it has.
        """
        entry = asked(Entry())
        entry.tell(output('r1.1', 0, 3))
        entry.tell(core.TargetLeaving(core.TargetId('a'), 'leaving'))
        self.assertEqual(1, len(entry.all(core.StartAttempt)))
        entry.tell(core.TargetLeaving(core.TargetId('a'), 'reclaimed'))
        self.assertEqual(
            ANSWER[:3], entry.last(core.StartAttempt).resume_tokens
        )
        self.assertEqual('r1.1', entry.last(core.CancelAttempt).attempt_id)

    def test_a_begun_answer_waits_for_an_engine(self) -> None:
        """The only engine restarts in the middle of an answer. The caller
        holds half of it; the other half comes when the engine is back.
        """
        entry = Entry()
        entry.router.targets = (engine('a'),)
        asked(entry).tell(output('r1.1', 0, 3))
        entry.tell(core.TargetCrashed(core.TargetId('a'), ('r1.1',)))
        self.assertEqual(1, len(entry.all(core.StartAttempt)))
        entry.wait(3)
        self.assertEqual(
            ANSWER[:3], entry.last(core.StartAttempt).resume_tokens
        )
        entry.tell(output('r1.2', 3, 8))
        entry.tell(end_of('r1.2'))
        self.whole(entry)

    @given(
        strategies.lists(
            strategies.tuples(strategies.integers(0, 8), strategies.integers()),
            max_size=25,
        )
    )
    def test_any_faults_leave_the_answer_of_a_naive_reader(
        self, faults: list[tuple[int, int]]
    ) -> None:
        """Streams break, repeat, skip, refuse, go silent and speak late in
        any order. Who reads the engine's output in one go sees the same
        words; a refusal cuts them short, and never changes them.
        """
        entry = asked(Entry())
        for fault, place in faults:
            self.disturb(entry, fault, place)
        while entry.request.in_progress:
            entry.tell(output(stream(entry), len(tokens_of(entry)), 8))
            entry.tell(end_of(stream(entry)))
            entry.wait(0.5)
        if entry.refusal('r1') is None:
            self.whole(entry)
        got = tokens_of(entry)
        self.assertEqual(ANSWER[: len(got)], got)
        self.assertEqual(len(got), entry.usage.output_tokens)
        self.assertEqual(
            (set(), {}), (entry.admitter.held, entry.router.running)
        )
        logs = [log.detail for log in entry.all(core.WriteLog)]
        not_run = sum('did not run' in detail for detail in logs)
        self.assertLessEqual(len(entry.all(core.StartAttempt)) - not_run, 6)

    def disturb(self, entry: Entry, fault: int, place: int) -> None:
        present, got = stream(entry), len(tokens_of(entry))
        start = place % 8
        events = (
            output(present, got, 1 + start),
            output(present, start, 8),
            end_of(present, 8 if start % 2 else got - 1),
            broken(present),
            unreached(present),
            draining(present),
            output(f'r1.{1 + place % 3}', start, 8),
            core.AttemptAccepted('r1', present),
        )
        if fault < len(events):
            entry.tell(events[fault])
        else:
            entry.wait(6)


class RefusalTest(testtools.TestCase):
    def test_each_refusal_tells_the_truth_about_the_run(self) -> None:
        """A call is given up on at each stage of its life. "Not run" is a
        promise that sending it again is safe, so it is said only when no
        byte left, or each target that got it said that it did not run.
        """
        cases: list[tuple[list[core.Event], str, core.RunState]] = [
            ([draining(f'r1.{n}') for n in (1, 2, 3, 4)], 'TARGET_FAILED', NO),
            ([unreached(f'r1.{n}') for n in (1, 2, 3, 4)], 'TARGET_FAILED', NO),
            ([WITHDRAWN], 'WITHDRAWN', UNKNOWN),
            ([core.ShutdownForced()], 'LEAVING', UNKNOWN),
            ([broken('r1.1'), WITHDRAWN], 'WITHDRAWN', UNKNOWN),
            ([output('r1.1', 0, 2), WITHDRAWN], 'WITHDRAWN', UNKNOWN),
            (
                [
                    draining('r1.1'),
                    broken('r1.2'),
                    unreached('r1.3'),
                    draining('r1.4'),
                    draining('r1.5'),
                ],
                'TARGET_FAILED',
                UNKNOWN,
            ),
        ]
        for events, kind, run in cases:
            entry = Entry(settings=core.RequestSettings(max_attempts=4))
            asked(entry)
            for event in events:
                entry.tell(event)
            for _ in range(40):
                entry.tell(draining(stream(entry)))
                entry.wait(1)
            refusal = entry.refusal('r1')
            assert refusal is not None, events
            self.assertEqual(
                (core.RefusalKind[kind], run),
                (refusal.kind, refusal.run),
                events,
            )
            if kind == 'TARGET_FAILED':
                self.assertEqual(3, refusal.retry_after_s)
            self.assertEqual(set(), entry.admitter.held)
            self.assertEqual({}, entry.router.running)

    def test_a_queued_call_that_ends_was_not_run(self) -> None:
        """A call waits in the queue when its key is withdrawn, its deadline
        passes or the queue gives it up. It never left, so the refusal says
        "not run", and its place is given back.
        """
        overloaded = core.Refusal(core.RefusalKind.OVERLOADED, 'full', 'wait')
        for event in (
            WITHDRAWN,
            core.ShutdownForced(),
            core.CallRejected('r1', overloaded),
            None,
        ):
            entry = Entry()
            entry.admitter.place = core.Queued()
            entry.tell(ask(deadline_in_s=5))
            if event is None:
                entry.wait(5)
            else:
                entry.tell(event)
            refusal = entry.refusal('r1')
            assert refusal is not None
            self.assertEqual(NO, refusal.run)
            self.assertEqual(set(), entry.admitter.held)
            self.assertEqual([], entry.tell(core.CallAdmitted('r1')))

    def test_refusals_on_arrival_name_a_remedy(self) -> None:
        """A caller makes a mistake or comes at a bad time. It must learn at
        once what is wrong and what to do, and nothing may leave for a
        target.
        """
        full = core.Refusal(
            core.RefusalKind.OVERLOADED, 'full', 'wait', retry_after_s=4
        )
        for event, kind, place in (
            (ask(prompt='a ' * 40_000), core.RefusalKind.TOO_LARGE, None),
            (ask(), core.RefusalKind.OVERLOADED, full),
            (
                confirm(idempotency_key=None),
                core.RefusalKind.KEY_REQUIRED,
                None,
            ),
        ):
            entry = Entry()
            entry.admitter.place = place or entry.admitter.place
            entry.tell(event)
            refusal = entry.refusal('r1')
            assert refusal is not None
            self.assertEqual((kind, NO), (refusal.kind, refusal.run))
            self.assertTrue(refusal.remedy)
            self.assertEqual([], entry.router.needs)
            self.assertIn(
                'request.refused', [w.kind for w in entry.all(core.WriteLog)]
            )

    def test_a_deadline_ends_a_call_and_its_work(self) -> None:
        """The vessel sails before the reconciliation is done. The caller is
        told in time, and the engine stops work that nobody waits for.
        """
        entry = Entry()
        entry.tell(ask(deadline_in_s=4))
        entry.tell(output('r1.1', 0, 3))
        entry.wait(4)
        refusal = entry.refusal('r1')
        assert refusal is not None
        self.assertEqual(
            (core.RefusalKind.DEADLINE, UNKNOWN), (refusal.kind, refusal.run)
        )
        self.assertEqual('r1.1', entry.last(core.CancelAttempt).attempt_id)

    def test_a_caller_that_left_costs_no_more(self) -> None:
        """The driver closes the app in the middle of an answer. Work that
        nobody reads stops, and what he got is counted once.
        """
        entry = asked(Entry())
        entry.tell(output('r1.1', 0, 3))
        entry.tell(core.CallerGone('r1'))
        self.assertEqual('r1.1', entry.last(core.CancelAttempt).attempt_id)
        self.assertEqual([], entry.all(core.RefuseCall))
        self.assertEqual(
            (1, 3), (entry.usage.requests, entry.usage.output_tokens)
        )
        self.assertEqual(
            (set(), {}), (entry.admitter.held, entry.router.running)
        )

    def test_a_key_is_never_seen_past_the_door(self) -> None:
        """A key in a log or in a call to a target could be used by whoever
        reads it there. So nothing that an entry says holds it.
        """
        entry, store = asked(Entry()), Store()
        serve(entry, store, entry.tell(confirm('r2')))
        serve(entry, store, entry.tell(broken('r2.1', 'r2')))
        entry.tell(WITHDRAWN)
        said = [repr(vars_of(action)) for action in entry.said]
        self.assertEqual([], [text for text in said if 'key-1' in text])


def vars_of(action: Any) -> dict[str, Any]:
    return {
        name: getattr(action, name)
        for name in action.__slots__
        if name != '__weakref__'
    }


class RetryTest(testtools.TestCase):
    def test_retries_are_a_share_of_the_traffic(self) -> None:
        """Every engine breaks every call. Without a bound each caller's
        retries would multiply the load on what is left; refusals for a
        drain cost no engine anything and are not counted.
        """
        settings = core.RequestSettings(retry_refill_per_s=0)
        for fault, expected in ((broken, (31, 46)), (draining, (120, 120))):
            entry = Entry(settings=settings)
            for number in range(30):
                name = f'r{number}'
                entry.tell(ask(name, f'prompt {number}'))
                for attempt in range(1, 9):
                    entry.tell(fault(f'{name}.{attempt}', name))
            starts = len(entry.all(core.StartAttempt))
            self.assertTrue(expected[0] <= starts <= expected[1], starts)

    def test_plain_calls_are_retried_only_if_repeating_is_harmless(
        self,
    ) -> None:
        """A plain service breaks off in the middle of a call. Reading a
        ledger line again harms nobody; a POST may have had its effect, so
        the caller is told that its end is not known.
        """
        for method, calls in (('GET', 2), ('PUT', 2), ('POST', 1)):
            entry = Entry()
            entry.tell(
                confirm(method=method, path='/lines', idempotency_key=None)
            )
            entry.tell(broken('r1.1'))
            self.assertEqual(calls, len(entry.all(core.CallService)), method)
            refusal = entry.refusal('r1')
            if calls == 1:
                assert refusal is not None
                self.assertEqual(UNKNOWN, refusal.run)

    def test_an_unrepeatable_path_is_known_in_every_spelling(self) -> None:
        """A client writes the path with doubled slashes, dots, escapes or a
        query. The service takes it for the same call, so it must be claimed
        all the same, or a repeat would charge twice.
        """
        for path in (
            '/returns/7',
            '/returns',
            '//returns/7',
            '/x/../returns/7',
            '/%72eturns/7',
            '/returns/7?copy=1',
            '/returns/./7/',
        ):
            entry = Entry()
            entry.tell(confirm(path=path))
            self.assertEqual(1, len(entry.all(core.StorePut)), path)
        for path in ('/returnsheet', '/lines'):
            entry = Entry()
            entry.tell(confirm(path=path))
            self.assertEqual(1, len(entry.all(core.CallService)), path)

    def test_steady_work_stays_off_reclaimable_targets(self) -> None:
        """A long reconciliation or an invoice on a cheap target would be
        lost with it. The router is told of both.
        """
        entry, store = asked(Entry()), Store()
        entry.tell(ask('r2', 'a ' * 9_000))
        serve(entry, store, entry.tell(confirm('r3')))
        steady = [need.steady for need in entry.router.needs]
        self.assertEqual([False, True, True], steady)

    def test_a_call_without_a_route_is_refused_at_once(self) -> None:
        """Every target is gone. The claim is given back, so that the repeat
        that the refusal asks for can run.
        """
        entry, store = Entry(), Store()
        entry.router.targets = ()
        serve(entry, store, entry.tell(confirm()))
        refusal = entry.refusal('r1')
        assert refusal is not None
        self.assertEqual((NO, 2), (refusal.run, refusal.retry_after_s))
        other = Entry('entry-2')
        serve(other, store, other.tell(confirm('r2')))
        other.tell(core.ServiceAnswered('r2', 'r2.1', 200, 't', b'done'))
        self.assertEqual(b'done', other.last(core.AnswerService).body)
