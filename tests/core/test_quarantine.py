"""Tests that only requests that crash engines are quarantined."""

from random import Random
from typing import Any

import testtools
from hypothesis import given, strategies

import dandelionyoke_core as core
from tests.core.fakes import Entry, ask, engine

CRASH_PROMPT = 'crash'
RESTART_S = 6
SLOW_S = 1.2
TICK_S = 0.4


class Fleet:
    """Entries that share engines, which crash on certain prompts.

    An engine crashes while it runs a prompt that contains `CRASH_PROMPT`.
    """

    def __init__(self, entries: int, engines: int, seed: int = 0) -> None:
        self.random = Random(seed)
        self.engines = [engine(f'e{index}') for index in range(engines)]
        self.entries = [Entry(f'entry-{index}') for index in range(entries)]
        self.running_attempts: dict[
            str, tuple[Entry, core.StartAttempt, float]
        ] = {}
        self.stream_of_attempt: dict[str, str] = {}
        self.down_until_s: dict[core.TargetId, float] = {}
        self.crashes: list[core.TargetId] = []
        self.slow_s = SLOW_S
        for entry in self.entries:
            entry.router.targets = tuple(self.engines)

    @property
    def now_s(self) -> float:
        return self.entries[0].now_s

    def send_event(self, entry: Entry, event: Any) -> None:
        self.apply_actions(entry, entry.tell(event))

    def apply_actions(self, entry: Entry, actions: list[core.Action]) -> None:
        self.share_records(entry)
        for action in actions:
            if isinstance(action, core.StartAttempt | core.ResumeAttempt):
                self.start_or_resume(entry, action)
            elif isinstance(action, core.CancelAttempt):
                self.running_attempts.pop(action.attempt_id, None)

    def start_or_resume(self, entry: Entry, action: Any) -> None:
        if isinstance(action, core.ResumeAttempt):
            has_failed = action.resumed_attempt_id not in self.running_attempts
            self.stream_of_attempt[action.resumed_attempt_id] = (
                action.attempt_id
            )
        else:
            has_failed = action.target_id in self.down_until_s
        if has_failed:
            ids = action.request_id, action.attempt_id
            event = core.AttemptFailed(*ids, sent=False, cause='refused')
            self.send_event(entry, event)
        elif isinstance(action, core.StartAttempt):
            self.running_attempts[action.attempt_id] = entry, action, self.now_s

    def stream_ids(self, start: core.StartAttempt) -> tuple[Any, Any]:
        """Return the ids of the request and of the stream that reads it.

        The stream of a resumed attempt has an id of its own.
        """
        stream = self.stream_of_attempt.pop(start.attempt_id, start.attempt_id)
        return start.request_id, stream

    def share_records(self, entry: Entry) -> None:
        """Deliver the records that an entry shares to the other entries."""
        shared, entry.gossip.shared = entry.gossip.shared, []
        for other in self.entries:
            if other is entry:
                continue
            for record in shared:
                learned = core.RecordReceived(
                    record, core.InstanceId(entry.name)
                )
                self.apply_actions(other, other.tell(learned))

    def crash(self, target_id: core.TargetId) -> None:
        self.crashes.append(target_id)
        self.down_until_s[target_id] = self.now_s + RESTART_S
        failed = [
            (entry, start)
            for entry, start, _ in self.running_attempts.values()
            if start.target_id == target_id
        ]
        self.random.shuffle(failed)
        for _, start in failed:
            self.running_attempts.pop(start.attempt_id)
        for entry, start in failed:
            ids = self.stream_ids(start)
            self.send_event(
                entry, core.AttemptFailed(*ids, sent=True, cause='reset')
            )

    def tick(self) -> None:
        """Let engines crash, answer and restart; advance time by `TICK_S`."""
        crashing = {
            start.target_id
            for _, start, started_s in self.running_attempts.values()
            if CRASH_PROMPT in start.prompt and started_s < self.now_s
        }
        for target_id in sorted(crashing):
            self.crash(target_id)
        for entry, start, started_s in tuple(self.running_attempts.values()):
            if started_s + self.slow_s <= self.now_s:
                self.running_attempts.pop(start.attempt_id)
                ids = self.stream_ids(start)
                self.send_event(entry, core.TokensArrived(*ids, 0, ('a', 'b')))
                self.send_event(entry, core.AttemptEnded(*ids, 'stop', 2, 3))
        for entry in self.entries:
            self.apply_actions(entry, entry.wait(TICK_S))
        self.down_until_s = {
            engine_id: until_s
            for engine_id, until_s in self.down_until_s.items()
            if until_s > self.now_s
        }

    def run(self, duration_s: float = 60) -> None:
        for _ in range(int(duration_s / TICK_S)):
            self.tick()

    def outcomes(self) -> dict[str, Any]:
        """Return True for each finished call, or the kind of its refusal."""
        found: dict[str, Any] = {}
        for entry in self.entries:
            for end in entry.all(core.FinishCall):
                found[end.request_id] = True
            for name in self.names:
                refusal = entry.refusal(name)
                if refusal is not None:
                    found[name] = refusal.kind
        return found

    names: tuple[str, ...] = ()


class CrashingRequestTest(testtools.TestCase):
    def check_outcomes(self, fleet: Fleet, engines: int = 2) -> None:
        outcomes = fleet.outcomes()
        for name in fleet.names:
            expected = (
                core.RefusalKind.QUARANTINED if CRASH_PROMPT in name else True
            )
            self.assertEqual((name, expected), (name, outcomes.get(name)))
        self.assertLessEqual(len(fleet.crashes), engines)
        for entry in fleet.entries:
            self.assertEqual(
                (set(), {}), (entry.admitter.held, entry.router.running)
            )

    @given(
        strategies.integers(0, 9),
        strategies.integers(3, 6),
        strategies.integers(1, 4),
        strategies.randoms(use_true_random=False),
    )
    def test_other_requests_on_crashed_engines_are_answered(
        self, other_count: int, engines: int, entries: int, random: Random
    ) -> None:
        """One prompt crashes every engine that runs it.

        The other requests on the same engine, from any entry, are retried
        together and may run beside it again when the next engine crashes.
        All of them must be answered, and the crashing request must be
        refused after two engines.
        """
        fleet = Fleet(entries, engines, random.randrange(1000))
        names = [*(f'n{index}' for index in range(other_count)), CRASH_PROMPT]
        random.shuffle(names)
        fleet.names = tuple(names)
        for name in names:
            entry = random.choice(fleet.entries)
            fleet.send_event(entry, ask(name, f'prompt {name}'))
        fleet.run()
        self.check_outcomes(fleet)

    def test_a_crashing_request_resent_through_every_entry(self) -> None:
        """A caller resends a crashing request each time it is refused.

        The load balancer sends it to each entry in turn. It must not crash a
        third engine, and other requests must be served.
        """
        fleet = Fleet(4, 5)
        for round_number in range(12):
            name = f'{CRASH_PROMPT}{round_number}'
            fleet.names += (name, f'n{round_number}', f'm{round_number}')
            entry = fleet.entries[round_number % 4]
            fleet.send_event(entry, ask(name, CRASH_PROMPT))
            for other, prefix in ((entry, 'n'), (fleet.entries[0], 'm')):
                fleet.send_event(
                    other,
                    ask(f'{prefix}{round_number}', f'question {round_number}'),
                )
            fleet.run(8)
        fleet.run()
        self.check_outcomes(fleet)

    def test_suspects_that_wait_for_each_other(self) -> None:
        """Two engines serve a service with long answers.

        The suspects of a crash wait minutes for their trials. They must be
        answered late rather than be refused because of another request.
        """
        fleet = Fleet(2, 2)
        fleet.slow_s = 20
        fleet.names = (*(f'n{index}' for index in range(6)), CRASH_PROMPT)
        for index, name in enumerate(fleet.names):
            fleet.send_event(
                fleet.entries[index % 2], ask(name, f'prompt {name}')
            )
        fleet.run(200)
        self.check_outcomes(fleet)

    def test_copies_of_a_crashing_request_sent_at_once(self) -> None:
        """A client sends a crashing request to four entries at once.

        All copies fail on the same engine. If each were retried on an engine
        of its own, four more engines would crash.
        """
        fleet = Fleet(4, 6)
        fleet.names = tuple(f'{CRASH_PROMPT}{index}' for index in range(4))
        first, *others = fleet.engines
        for name, entry in zip(fleet.names, fleet.entries, strict=True):
            # The second choice of each entry's router is a different engine.
            entry.router.targets = (first, *others)
            others = others[1:] + others[:1]
            fleet.send_event(entry, ask(name, CRASH_PROMPT))
        fleet.run()
        self.check_outcomes(fleet)

    def test_engines_that_fall_silent(self) -> None:
        """Two engines lose power in turn, and their streams fall silent.

        The request must wait for a report about its second engine before it
        is retried on a third, and must be refused when the crash is
        reported.
        """
        entry = Entry()
        entry.tell(ask())
        for name, attempt in (('a', 'r1.1'), ('b', 'r1.3')):
            entry.tell(core.AttemptAccepted('r1', attempt))
            entry.wait(7)
            entry.tell(core.TargetCrashed(core.TargetId(name), ()))
        entry.wait(4)
        refusal = entry.refusal('r1')
        assert refusal is not None
        self.assertEqual(422, refusal.kind.status)
        self.assertEqual(2, len(entry.all(core.StartAttempt)))

    def test_silent_engines_that_answer_again(self) -> None:
        """Two engines stand still in turn and go on.

        The request must not be blamed for crashes that did not happen.
        """
        entry = Entry()
        for name in 'ab':
            entry.tell(answer_of(name))
        entry.tell(ask())
        for name, attempt in (('a', 'r1.1'), ('b', 'r1.2')):
            entry.tell(core.AttemptAccepted('r1', attempt))
            entry.wait(3)
            entry.tell(
                core.TargetCrashed(core.TargetId(name), (attempt,), True)
            )
            entry.wait(1)
            entry.tell(answer_of(name))
        entry.wait(4)
        self.assertIsNone(entry.refusal('r1'))
        self.assertEqual(3, len(entry.all(core.StartAttempt)))

    def test_a_prompt_sent_by_many_callers_is_not_quarantined(self) -> None:
        """Many callers send the same prompt, which runs on all engines.

        Two different requests crash two engines. The prompt ran on both
        engines and must still be answered.
        """
        fleet = Fleet(3, 6)
        for round_number in range(3):
            names = [f'n{round_number}.{index}' for index in range(6)]
            name = f'{CRASH_PROMPT}{round_number}'
            for index, call_name in enumerate([*names, name]):
                prompt = (
                    'van load'
                    if call_name in names
                    else f'{CRASH_PROMPT} {round_number}'
                )
                fleet.send_event(
                    fleet.entries[index % 3], ask(call_name, prompt)
                )
            fleet.names += (*names, name)
            fleet.run(20)
        fleet.run()
        self.check_outcomes(fleet, engines=6)

    def test_a_zone_outage_quarantines_no_request(self) -> None:
        """All engines of a zone fail at once, then those that replaced them.

        Their requests ran on two engines that failed, but none of them was
        the cause, so all must be answered.
        """
        fleet = Fleet(2, 8)
        for index in range(8):
            fleet.names += (f'n{index}',)
            entry = fleet.entries[index % 2]
            first = fleet.engines[index % 4].target_id
            entry.router.targets = (engine(first), *fleet.engines[4:])
            fleet.send_event(entry, ask(f'n{index}', f'prompt {index}'))
        for zone in (fleet.engines[:4], fleet.engines[4:]):
            for target in zone:
                fleet.crash(target.target_id)
            fleet.tick()
        for entry in fleet.entries:
            entry.router.targets = tuple(fleet.engines)
        fleet.run(30)
        self.check_outcomes(fleet, engines=8)


def answer_of(
    name: str, incarnation: str = 'first', age_s: float = 0
) -> core.LoadReported:
    """Return the load report of an engine."""
    target_id = core.TargetId(name)
    report = core.LoadReport(target_id, incarnation, 0, age_s)
    return core.LoadReported(target_id, report)


class QuarantinePartTest(testtools.TestCase):
    def crash(
        self, part: core.QuarantinePart, number: int, prompt: str
    ) -> None:
        attempt_id, target_id = (
            core.AttemptId(f'a{number}'),
            core.TargetId(f'e{number}'),
        )
        now_s = number * 50.0
        part.started(attempt_id, target_id, prompt, now_s)
        part.handle(core.TargetCrashed(target_id, (attempt_id,)), now_s + 1)

    def test_suspicion_and_quarantine_expire(self) -> None:
        """Engines also crash for reasons other than a request.

        A prompt that ran during one crash must not be refused after an
        unrelated crash days later. A quarantine must end too, so that a
        repaired engine can run the prompt.
        """
        settings = core.QuarantineSettings(suspect_lifetime_s=40)
        part = core.QuarantinePart(settings)
        for number in (1, 2):
            self.crash(part, number, 'p')
        self.assertIsNone(part.refusal('p', 110))
        self.crash(part, 2, 'p')
        self.assertIsNotNone(part.refusal('p', 110))
        self.assertIsNone(part.refusal('p', 110 + settings.quarantine_s))

    def quarantined_part(self) -> core.QuarantinePart:
        """Return a part that quarantines `p` after crashes of e1 and e2."""
        part = core.QuarantinePart(core.QuarantineSettings())
        for number in (1, 2):
            part.handle(answer_of(f'e{number}'), 0)
            self.crash(part, number, 'p')
        return part

    def test_a_quarantine_ends_with_the_crash_that_caused_it(self) -> None:
        """The second of the two engines was only silent.

        The request is a suspect of the first crash again, no less: its next
        crash quarantines it.
        """
        part = self.quarantined_part()
        (shared,) = part.handle(answer_of('e2'), 110)
        self.assertEqual('cleared', shared.record.suspicion.value)
        self.assertIsNone(part.refusal('p', 110))
        self.crash(part, 3, 'p')
        refusal = part.refusal('p', 160)
        assert refusal is not None
        self.assertEqual(core.RefusalKind.QUARANTINED, refusal.kind)

    def test_a_quarantine_after_the_suspicion_of_a_peer_ends_too(self) -> None:
        """The crash of the peer's engine was one, that of this entry not."""
        part = core.QuarantinePart(core.QuarantineSettings())
        suspicion = core.SuspicionShared(
            'suspicion/p', 1, 600, 'p', core.Suspicion.SUSPECT
        )
        part.handle(core.RecordReceived(suspicion, core.InstanceId('x')), 0)
        part.handle(answer_of('e2'), 0)
        self.crash(part, 2, 'p')
        self.assertIsNotNone(part.refusal('p', 110))
        part.handle(answer_of('e2'), 110)
        self.assertIsNone(part.refusal('p', 110))

    def test_a_report_from_before_the_crash_disproves_nothing(self) -> None:
        """The engine crashed after it made the report, or has restarted.

        The request would crash one engine after the other.
        """
        part = self.quarantined_part()
        for report in (answer_of('e2', age_s=10), answer_of('e2', 'second')):
            self.assertEqual([], part.handle(report, 110))
        self.assertEqual([], part.handle(answer_of('e2'), 111))
        self.assertIsNotNone(part.refusal('p', 111))

    def test_a_report_that_a_peer_shares_may_be_old(self) -> None:
        """A peer relays a report that the engine made before it crashed."""
        part = self.quarantined_part()
        loads = core.LoadsShared(
            'loads/x',
            1,
            20,
            (core.TargetId('e2'),),
            ('first',),
            (0,),
            (core.Role.MIXED,),
            (0,),
            (0,),
            (0,),
            (0,),
        )
        received = core.RecordReceived(loads, core.InstanceId('x'))
        part.handle(received, 110)
        self.assertIsNotNone(part.refusal('p', 110))
        part.handle(received, 130)
        self.assertIsNone(part.refusal('p', 130))

    def test_the_suspect_table_is_bounded(self) -> None:
        """Engines crash continuously, each with a different prompt.

        The table of suspects must not grow until the entry runs out of
        memory.
        """
        settings = core.QuarantineSettings(
            max_suspects=10, suspect_lifetime_s=1e9
        )
        part = core.QuarantinePart(settings)
        for number in range(50):
            self.crash(part, number, f'p{number}')
        self.assertEqual(10, len(part._suspects))
