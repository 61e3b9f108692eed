"""A request that crashes engines is stopped, and its neighbours are not."""

from random import Random
from typing import Any

import testtools
from hypothesis import given, strategies

import dandelionyoke_core as core
from tests.core.fakes import Entry, ask, engine

POISON = 'crash'
RESTART_S = 6
SLOW_S = 1.2
TICK_S = 0.4


class Fleet:
    """Entries that share engines, which die of a poisonous prompt."""

    def __init__(self, entries: int, engines: int, seed: int = 0) -> None:
        self.random = Random(seed)
        self.engines = [engine(f'e{place}') for place in range(engines)]
        self.entries = [Entry(f'entry-{place}') for place in range(entries)]
        self.work: dict[str, tuple[Entry, core.StartAttempt, float]] = {}
        self.streams: dict[str, str] = {}
        self.down: dict[core.TargetId, float] = {}
        self.crashes: list[core.TargetId] = []
        self.slow_s = SLOW_S
        for entry in self.entries:
            entry.router.targets = tuple(self.engines)

    @property
    def now_s(self) -> float:
        return self.entries[0].now_s

    def tell(self, entry: Entry, event: Any) -> None:
        self.take(entry, entry.tell(event))

    def take(self, entry: Entry, actions: list[core.Action]) -> None:
        self.spread(entry)
        for action in actions:
            if isinstance(action, core.StartAttempt | core.ResumeAttempt):
                self.connect(entry, action)
            elif isinstance(action, core.CancelAttempt):
                self.work.pop(action.attempt_id, None)

    def connect(self, entry: Entry, action: Any) -> None:
        if isinstance(action, core.ResumeAttempt):
            lost = action.resumed_attempt_id not in self.work
            self.streams[action.resumed_attempt_id] = action.attempt_id
        else:
            lost = action.target_id in self.down
        if lost:
            ids = action.request_id, action.attempt_id
            failed = core.AttemptFailed(*ids, sent=False, cause='refused')
            self.tell(entry, failed)
        elif isinstance(action, core.StartAttempt):
            self.work[action.attempt_id] = entry, action, self.now_s

    def ids(self, start: core.StartAttempt) -> tuple[Any, Any]:
        """Name the stream on which an engine's work is read."""
        stream = self.streams.pop(start.attempt_id, start.attempt_id)
        return start.request_id, stream

    def spread(self, entry: Entry) -> None:
        """Give what an entry shares to the others."""
        shared, entry.gossip.shared = entry.gossip.shared, []
        for other in self.entries:
            if other is entry:
                continue
            for record in shared:
                learned = core.RecordLearned(
                    record, core.InstanceId(entry.name)
                )
                self.take(other, other.tell(learned))

    def crash(self, target_id: core.TargetId) -> None:
        self.crashes.append(target_id)
        self.down[target_id] = self.now_s + RESTART_S
        lost = [
            (entry, start)
            for entry, start, _ in self.work.values()
            if start.target_id == target_id
        ]
        self.random.shuffle(lost)
        for _, start in lost:
            self.work.pop(start.attempt_id)
        for entry, start in lost:
            ids = self.ids(start)
            self.tell(entry, core.AttemptFailed(*ids, sent=True, cause='reset'))

    def tick(self) -> None:
        """Let engines crash, answer and come back."""
        poisoned = {
            start.target_id
            for _, start, began_s in self.work.values()
            if POISON in start.prompt and began_s < self.now_s
        }
        for target_id in sorted(poisoned):
            self.crash(target_id)
        for entry, start, began_s in tuple(self.work.values()):
            if began_s + self.slow_s <= self.now_s:
                self.work.pop(start.attempt_id)
                ids = self.ids(start)
                self.tell(entry, core.TokensArrived(*ids, 0, ('a', 'b')))
                self.tell(entry, core.AttemptEnded(*ids, 'stop', 2, 3))
        for entry in self.entries:
            self.take(entry, entry.wait(TICK_S))
        self.down = {t: s for t, s in self.down.items() if s > self.now_s}

    def run(self, duration_s: float = 60) -> None:
        for _ in range(int(duration_s / TICK_S)):
            self.tick()

    def ends(self) -> dict[str, Any]:
        """How each call ended: True, or the kind of its refusal."""
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


class NeighbourTest(testtools.TestCase):
    def check(self, fleet: Fleet, engines: int = 2) -> None:
        ends = fleet.ends()
        for name in fleet.names:
            expected = core.RefusalKind.QUARANTINED if POISON in name else True
            self.assertEqual((name, expected), (name, ends.get(name)))
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
    def test_neighbours_of_a_request_that_crashes_engines(
        self, neighbours: int, engines: int, entries: int, random: Random
    ) -> None:
        """One prompt kills every engine that runs it. The questions that
        salesmen had on the same engine, through any entry, move on together
        and are there again when the next engine dies. They must all be
        answered; the one is refused after two engines.
        """
        fleet = Fleet(entries, engines, random.randrange(1000))
        names = [*(f'n{place}' for place in range(neighbours)), POISON]
        random.shuffle(names)
        fleet.names = tuple(names)
        for name in names:
            entry = random.choice(fleet.entries)
            fleet.tell(entry, ask(name, f'prompt {name}'))
        fleet.run()
        self.check(fleet)

    def test_it_is_sent_again_through_every_entry(self) -> None:
        """The caller whose request crashes engines sends it again whenever
        it is refused, and the balancer gives it to each entry in turn. No
        third engine may die of it, and the traffic beside it goes on.
        """
        fleet = Fleet(4, 5)
        for turn in range(12):
            name = f'{POISON}{turn}'
            fleet.names += (name, f'n{turn}', f'm{turn}')
            entry = fleet.entries[turn % 4]
            fleet.tell(entry, ask(name, POISON))
            for other, kind in ((entry, 'n'), (fleet.entries[0], 'm')):
                fleet.tell(other, ask(f'{kind}{turn}', f'question {turn}'))
            fleet.run(8)
        fleet.run()
        self.check(fleet)

    def test_neighbours_that_wait_for_each_other(self) -> None:
        """Only two engines carry the service and the answers take long, so
        that the suspects of a crash wait minutes for their turn. Slow is
        bad; being refused for another's request would be worse.
        """
        fleet = Fleet(2, 2)
        fleet.slow_s = 20
        fleet.names = (*(f'n{place}' for place in range(6)), POISON)
        for place, name in enumerate(fleet.names):
            fleet.tell(fleet.entries[place % 2], ask(name, f'prompt {name}'))
        fleet.run(200)
        self.check(fleet)

    def test_copies_that_are_sent_at_once(self) -> None:
        """An impatient program sends the request four times at once, one to
        each entry. They die on the same engine; if each went on to an
        engine of its own, four more would die.
        """
        fleet = Fleet(4, 6)
        fleet.names = tuple(f'{POISON}{place}' for place in range(4))
        first, *others = fleet.engines
        for name, entry in zip(fleet.names, fleet.entries, strict=True):
            # Each entry's router has another engine for its next choice.
            entry.router.targets = (first, *others)
            others = others[1:] + others[:1]
            fleet.tell(entry, ask(name, POISON))
        fleet.run()
        self.check(fleet)

    def test_engines_that_die_without_a_word(self) -> None:
        """The machine under the engine loses power: the stream is silent,
        and the new one too. The request waits for news of its second engine
        before it is tried on a third, and is refused when the news comes.
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

    def test_a_prompt_that_many_share_is_not_condemned(self) -> None:
        """Every salesman asks the same short question, so that it runs on
        all engines at all times. Two different requests crash two engines;
        the question was on both, and must still be answered.
        """
        fleet = Fleet(3, 6)
        for turn in range(3):
            names = [f'n{turn}.{place}' for place in range(6)]
            name = f'{POISON}{turn}'
            for place, asked in enumerate([*names, name]):
                prompt = 'van load' if asked in names else f'{POISON} {turn}'
                fleet.tell(fleet.entries[place % 3], ask(asked, prompt))
            fleet.names += (*names, name)
            fleet.run(20)
        fleet.run()
        self.check(fleet, engines=6)

    def test_a_zone_that_is_cut_off_condemns_nobody(self) -> None:
        """A zone's engines vanish in one moment, and a little later those
        that took over their work. What ran on them ran on two engines that
        died, but none of it was the cause.
        """
        fleet = Fleet(2, 8)
        for place in range(8):
            fleet.names += (f'n{place}',)
            entry = fleet.entries[place % 2]
            first = fleet.engines[place % 4].target_id
            entry.router.targets = (engine(first), *fleet.engines[4:])
            fleet.tell(entry, ask(f'n{place}', f'prompt {place}'))
        for zone in (fleet.engines[:4], fleet.engines[4:]):
            for target in zone:
                fleet.crash(target.target_id)
            fleet.tick()
        for entry in fleet.entries:
            entry.router.targets = tuple(fleet.engines)
        fleet.run(30)
        self.check(fleet, engines=8)


class PartTest(testtools.TestCase):
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

    def test_suspicion_and_quarantine_end(self) -> None:
        """An engine crashes of its own accord now and then. A prompt that
        was there once must not be refused for the next crash days later,
        and a quarantine ends, so that a mended engine can be used.
        """
        settings = core.QuarantineSettings(suspect_lifetime_s=40)
        part = core.QuarantinePart(settings)
        for number in (1, 2):
            self.crash(part, number, 'p')
        self.assertIsNone(part.refusal('p', 110))
        self.crash(part, 2, 'p')
        self.assertIsNotNone(part.refusal('p', 110))
        self.assertIsNone(part.refusal('p', 110 + settings.quarantine_s))

    def test_tables_are_bounded(self) -> None:
        """A broken fleet crashes engines all day. What is kept of it must
        not grow until the entry itself dies of it.
        """
        settings = core.QuarantineSettings(
            max_suspects=10, suspect_lifetime_s=1e9
        )
        part = core.QuarantinePart(settings)
        for number in range(50):
            self.crash(part, number, f'p{number}')
        self.assertEqual(10, len(part._suspects))
