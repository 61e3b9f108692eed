"""Tests that callers get a complete answer or a correct refusal."""

from typing import Any

import testtools
from hypothesis import given, strategies

import dandelionyoke_core as core
from tests.core.fakes import Entry, Store, ask, confirm, engine, serve

ANSWER = tuple(f'crate{index} ' for index in range(8))
NO, UNKNOWN = core.RunState.NO, core.RunState.UNKNOWN
WITHDRAWN = core.KeyRevoked('hash of key-1')


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
    """Return the attempt id of the stream that the entry opened last."""
    opened = core.StartAttempt | core.ResumeAttempt
    return [
        action.attempt_id for action in entry.said if isinstance(action, opened)
    ][-1]


def entry_with_call(entry: Entry) -> Entry:
    entry.tell(ask())
    return entry


class WholeAnswerTest(testtools.TestCase):
    def check_whole_answer(self, entry: Entry) -> None:
        """Check for one complete answer, released slots and correct usage."""
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

    def test_an_engine_crashes_in_the_middle_of_an_answer(self) -> None:
        """The engine crashes in the middle of an answer.

        Another engine generates the rest, starting from the tokens that the
        caller already has.
        """
        entry = entry_with_call(Entry())
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
        self.check_whole_answer(entry)

    def test_a_connection_goes_silent_while_the_engine_works(self) -> None:
        """A network device drops the connection without an error.

        The rest is read over a new connection from the position of the
        caller, and the engine repeats no work.
        """
        entry = entry_with_call(Entry())
        entry.tell(output('r1.1', 0, 3))
        entry.wait(core.RequestSettings().silence_timeout_s)
        self.assertEqual(
            (core.AbandonAttempt('r1', 'r1.1'), 3, 'r1.1'),
            (
                entry.last(core.AbandonAttempt),
                entry.last(core.ResumeAttempt).offset,
                entry.last(core.ResumeAttempt).resumed_attempt_id,
            ),
        )
        entry.tell(core.AttemptAccepted('r1', 'r1.2'))
        entry.tell(output('r1.2', 3, 8))
        entry.tell(end_of('r1.2'))
        self.check_whole_answer(entry)
        self.assertEqual(1, len(entry.all(core.StartAttempt)))

    def test_a_standstill_of_the_entry_is_no_silence(self) -> None:
        """The entry stands still for longer than a stream may be silent.

        What arrived meanwhile is read late, and would be taken for missing.
        """
        entry = entry_with_call(Entry())
        entry.tell(output('r1.1', 0, 3))
        silence_timeout_s = core.RequestSettings().silence_timeout_s
        entry.now_s += silence_timeout_s
        entry.tell(core.ProcessStalled(silence_timeout_s))
        entry.wait(silence_timeout_s - 1)
        self.assertEqual([], entry.all(core.ResumeAttempt))
        entry.wait(1)
        self.assertEqual(1, len(entry.all(core.ResumeAttempt)))

    def test_an_engine_becomes_permanently_silent(self) -> None:
        """The engine is paused or cut off, and a new connection is silent too.

        The work moves to another engine. The first engine is told to cancel
        it, and its late output is not passed on.
        """
        entry = entry_with_call(Entry())
        entry.tell(output('r1.1', 0, 3))
        entry.wait(core.RequestSettings().silence_timeout_s)
        entry.wait(core.RequestSettings().accept_timeout_s)
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
        self.check_whole_answer(entry)

    def test_a_full_engine_is_not_treated_as_silent(self) -> None:
        """A long prompt waits in the queue of an engine without any token.

        A restart on another engine would only take longer. A resume over a
        new connection is harmless and shows whether the engine is alive.
        """
        for accepts in (False, True):
            entry = entry_with_call(Entry())
            if accepts:
                entry.tell(core.AttemptAccepted('r1', 'r1.1'))
            entry.wait(5)
            self.assertEqual(1, len(entry.all(core.ResumeAttempt)))
            if accepts:
                entry.tell(core.AttemptAccepted('r1', 'r1.2'))
            entry.wait(25)
            self.assertEqual(1, len(entry.all(core.StartAttempt)))
            entry.tell(output('r1.2', 0, 8))
            entry.tell(end_of('r1.2'))
            self.check_whole_answer(entry)

    def test_overlaps_are_trimmed_and_gaps_resumed(self) -> None:
        """A resumed stream overlaps, or a part of it is lost in transit.

        The caller must get neither a duplicated nor a missing token.
        """
        entry = entry_with_call(Entry())
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
        self.check_whole_answer(entry)

    def test_output_of_another_call_is_ignored(self) -> None:
        """A proxy mixes up the streams of two concurrent calls.

        Neither caller may get tokens or the end of the other's answer.
        """
        entry = entry_with_call(Entry())
        entry.tell(ask('r2', 'another prompt'))
        for foreign in (
            core.TokensArrived('r1', 'r2.1', 0, ('secret',)),
            core.TokensArrived('r9', 'r9.1', 0, ('secret',)),
            end_of('r2.1'),
            core.ServiceAnswered('r1', 'r1.1', 200, 't', b'secret'),
        ):
            (counted,) = entry.tell(foreign)
            self.assertIsInstance(counted, core.CountMetric)
        entry.tell(output('r2.1', 0, 2, 'r2'))
        entry.tell(end_of('r2.1', 1, 'r2'))
        self.assertEqual([], entry.all(core.FinishCall))

    def test_a_reclaimed_engine_is_left_at_once(self) -> None:
        """The platform reclaims a spot engine with a few seconds' notice.

        Its answers continue on another engine before it is removed. An engine
        that is only leaving finishes its calls.
        """
        entry = entry_with_call(Entry())
        entry.tell(output('r1.1', 0, 3))
        entry.tell(core.TargetLeaving(core.TargetId('a'), 'leaving'))
        self.assertEqual(1, len(entry.all(core.StartAttempt)))
        entry.tell(core.TargetLeaving(core.TargetId('a'), 'reclaimed'))
        self.assertEqual(
            ANSWER[:3], entry.last(core.StartAttempt).resume_tokens
        )
        self.assertEqual('r1.1', entry.last(core.CancelAttempt).attempt_id)

    def test_a_partial_answer_waits_for_an_engine(self) -> None:
        """The only engine restarts in the middle of an answer.

        The caller has half of it and gets the rest when the engine is back.
        """
        entry = Entry()
        entry.router.targets = (engine('a'),)
        entry_with_call(entry).tell(output('r1.1', 0, 3))
        entry.tell(core.TargetCrashed(core.TargetId('a'), ('r1.1',)))
        self.assertEqual(1, len(entry.all(core.StartAttempt)))
        entry.wait(3)
        self.assertEqual(
            ANSWER[:3], entry.last(core.StartAttempt).resume_tokens
        )
        entry.tell(output('r1.2', 3, 8))
        entry.tell(end_of('r1.2'))
        self.check_whole_answer(entry)

    def test_a_silent_engine_is_left_only_for_another_one(self) -> None:
        """All engines are silent for some seconds, and then go on.

        The work would be thrown away though nothing else can do it.
        """
        entry = Entry()
        entry.router.targets = (engine('a'),)
        entry_with_call(entry).tell(output('r1.1', 0, 3))
        entry.router.targets = ()
        silent = core.TargetCrashed(core.TargetId('a'), ('r1.1',), True)
        entry.tell(silent)
        self.assertEqual([], entry.all(core.CancelAttempt))
        entry.tell(output('r1.1', 3, 8))
        entry.tell(end_of('r1.1'))
        self.check_whole_answer(entry)

    def test_a_silent_engine_is_left_for_another_one(self) -> None:
        """The engine is cut off for good, and others can do the work."""
        entry = entry_with_call(Entry())
        entry.tell(output('r1.1', 0, 3))
        entry.tell(core.TargetCrashed(core.TargetId('a'), ('r1.1',), True))
        self.assertEqual(
            core.TargetId('b'), entry.last(core.StartAttempt).target_id
        )

    def test_calls_wait_for_silent_targets(self) -> None:
        """All targets are silent when a call arrives, and then go on.

        The call would be refused, or use up its attempts.
        """
        for call in (ask(), confirm()):
            entry, store = Entry(), Store()
            targets = entry.router.targets
            entry.router.targets = ()
            entry.router.is_silent = True
            serve(entry, store, entry.tell(call))
            entry.wait(1)
            entry.router.targets = targets
            entry.wait(1)
            self.assertIsNone(entry.refusal('r1'))
            routed = core.StartAttempt | core.CallService
            self.assertEqual(
                1, sum(isinstance(action, routed) for action in entry.said)
            )

    def test_a_call_is_refused_when_silent_targets_are_gone(self) -> None:
        """The silent targets do not go on. The caller would wait for them."""
        for call in (ask(), confirm()):
            entry, store = Entry(), Store()
            entry.router.targets = ()
            entry.router.is_silent = True
            serve(entry, store, entry.tell(call))
            self.assertIsNone(entry.refusal('r1'))
            entry.router.is_silent = False
            entry.wait(1)
            refusal = entry.refusal('r1')
            assert refusal is not None
            self.assertEqual(
                (core.RefusalKind.NO_TARGET, NO), (refusal.kind, refusal.run)
            )

    @given(
        strategies.lists(
            strategies.tuples(strategies.integers(0, 8), strategies.integers()),
            max_size=25,
        )
    )
    def test_any_faults_leave_the_output_unchanged(
        self, faults: list[tuple[int, int]]
    ) -> None:
        """Streams break, repeat, skip, refuse, stall and send late output.

        In any order of these faults the caller gets the output of an
        undisturbed engine. A refusal may cut it short but never changes it.
        """
        entry = entry_with_call(Entry())
        for fault, index in faults:
            self.inject_fault(entry, fault, index)
        while entry.request.in_progress:
            entry.tell(output(stream(entry), len(tokens_of(entry)), 8))
            entry.tell(end_of(stream(entry)))
            entry.wait(0.5)
        if entry.refusal('r1') is None:
            self.check_whole_answer(entry)
        received = tokens_of(entry)
        self.assertEqual(ANSWER[: len(received)], received)
        self.assertEqual(len(received), entry.usage.output_tokens)
        self.assertEqual(
            (set(), {}), (entry.admitter.held, entry.router.running)
        )
        logs = [log.detail for log in entry.all(core.WriteLog)]
        not_run = sum('did not run' in detail for detail in logs)
        self.assertLessEqual(len(entry.all(core.StartAttempt)) - not_run, 6)

    def inject_fault(self, entry: Entry, fault: int, index: int) -> None:
        current, received = stream(entry), len(tokens_of(entry))
        start = index % 8
        events = (
            output(current, received, 1 + start),
            output(current, start, 8),
            end_of(current, 8 if start % 2 else received - 1),
            broken(current),
            unreached(current),
            draining(current),
            output(f'r1.{1 + index % 3}', start, 8),
            core.AttemptAccepted('r1', current),
        )
        if fault < len(events):
            entry.tell(events[fault])
        else:
            entry.wait(6)


class RefusalTest(testtools.TestCase):
    def test_each_refusal_tells_the_truth_about_the_run(self) -> None:
        """A call is refused in each phase.

        "Not run" promises that a repeat is safe. It is stated only if nothing
        was sent, or if each target that received the call reported that it
        did not run it.
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
            entry_with_call(entry)
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

    def test_a_refused_queued_call_was_not_run(self) -> None:
        """A queued call loses its key, passes its deadline or is rejected.

        It was never sent, so the refusal states "not run" and its slot is
        released.
        """
        overloaded = core.Refusal(core.RefusalKind.OVERLOADED, 'full', 'wait')
        for event in (
            WITHDRAWN,
            core.ShutdownForced(),
            core.CallRejected('r1', overloaded),
            None,
        ):
            entry = Entry()
            entry.admitter.decision = core.Queued()
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
        """An invalid call or an overloaded entry leads to a refusal.

        The refusal is immediate and names the cause and a remedy, and nothing
        is sent to a target.
        """
        full = core.Refusal(
            core.RefusalKind.OVERLOADED, 'full', 'wait', retry_after_s=4
        )
        for event, kind, decision in (
            (ask(prompt='a ' * 40_000), core.RefusalKind.TOO_LARGE, None),
            (ask(), core.RefusalKind.OVERLOADED, full),
            (
                confirm(idempotency_key=None),
                core.RefusalKind.KEY_REQUIRED,
                None,
            ),
        ):
            entry = Entry()
            entry.admitter.decision = decision or entry.admitter.decision
            entry.tell(event)
            refusal = entry.refusal('r1')
            assert refusal is not None
            self.assertEqual((kind, NO), (refusal.kind, refusal.run))
            self.assertTrue(refusal.remedy)
            self.assertEqual([], entry.router.requirements)
            self.assertIn(
                'request.refused',
                [log.kind for log in entry.all(core.WriteLog)],
            )

    def test_a_deadline_cancels_a_call_and_its_work(self) -> None:
        """The deadline passes before the answer is complete.

        The caller is told in time, and the engine cancels the unneeded work.
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

    def test_a_disconnected_caller_causes_no_more_work(self) -> None:
        """The caller disconnects in the middle of an answer.

        The work is cancelled, and the output so far is counted once.
        """
        entry = entry_with_call(Entry())
        entry.tell(output('r1.1', 0, 3))
        entry.tell(core.CallerDisconnected('r1'))
        self.assertEqual('r1.1', entry.last(core.CancelAttempt).attempt_id)
        self.assertEqual([], entry.all(core.RefuseCall))
        self.assertEqual(
            (1, 3), (entry.usage.requests, entry.usage.output_tokens)
        )
        self.assertEqual(
            (set(), {}), (entry.admitter.held, entry.router.running)
        )

    def test_actions_never_contain_an_api_key(self) -> None:
        """No action of an entry contains an API key.

        Anyone who reads a key in a log or in a call to a target could use it.
        """
        entry, store = entry_with_call(Entry()), Store()
        serve(entry, store, entry.tell(confirm('r2')))
        serve(entry, store, entry.tell(broken('r2.1', 'r2')))
        entry.tell(WITHDRAWN)
        said = [repr(slots_of(action)) for action in entry.said]
        self.assertEqual([], [text for text in said if 'key-1' in text])


def slots_of(action: Any) -> dict[str, Any]:
    return {
        name: getattr(action, name)
        for name in action.__slots__
        if name != '__weakref__'
    }


class RetryTest(testtools.TestCase):
    def test_retries_are_limited_to_a_share_of_the_traffic(self) -> None:
        """Every engine fails every call.

        Without a maximum the retries would multiply the load on the remaining
        engines. Refusals by draining engines cost nothing and do not count.
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

    def test_only_repeatable_plain_calls_are_retried(
        self,
    ) -> None:
        """A plain service fails in the middle of a call.

        A repeated GET or PUT is harmless. A POST may have taken effect, so the
        caller is told that its outcome is unknown.
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

    def test_an_unrepeatable_path_matches_in_every_spelling(self) -> None:
        """A path has doubled slashes, dot segments, escapes or a query.

        The service treats it as the same call, so it must be claimed as well.
        Otherwise a repeat would charge twice.
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
        """Long and unrepeatable calls are marked for the router.

        On a spot target their work would be lost when it is reclaimed.
        """
        entry, store = entry_with_call(Entry()), Store()
        entry.tell(ask('r2', 'a ' * 9_000))
        serve(entry, store, entry.tell(confirm('r3')))
        steady = [
            requirements.on_demand_only
            for requirements in entry.router.requirements
        ]
        self.assertEqual([False, True, True], steady)

    def test_a_call_without_a_route_is_refused_at_once(self) -> None:
        """No target is available.

        The claim is released, so that the repeat requested by the refusal can
        run.
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
        self.assertEqual(b'done', other.last(core.RespondService).body)
