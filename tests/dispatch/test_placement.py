"""Which engine reads a prompt, and which one streams its answer."""

from collections import Counter

import testtools

from dandelionyoke_dispatch import (
    LineSettings,
    LineTicket,
    Phase,
    Placement,
    PrefillHome,
    Prompt,
    PromptPace,
    PromptPart,
    ReadingLine,
    ReadingPaceSettings,
    RegisteredTarget,
    RegistrySettings,
    SuspicionSettings,
    TargetLoads,
    TargetRegistry,
)

ENGINES = ('e1', 'e2', 'e3', 'e4')
TOKEN_S = 0.00001


def prompt(part: str, shared: int = 6000, own: int = 3000) -> Prompt:
    parts = (PromptPart(part, shared), PromptPart('own', own))
    return Prompt('m', shared + own, 10, parts)


class PrefillPlacementTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        registry = TargetRegistry(RegistrySettings())
        registry.replace(
            [
                RegisteredTarget(
                    name, 'lm', f'10.0.0.{n}:1', 'a', 32, False, Phase.PREFILL
                )
                for n, name in enumerate(ENGINES)
            ],
            0,
        )
        loads = TargetLoads(SuspicionSettings())
        self.fetches = TargetLoads(SuspicionSettings(failures_in_a_row=1))
        self.placement = Placement(registry, loads, self.fetches, 'a', 'n-1')
        self.line = ReadingLine(LineSettings(most_at_engine=99))
        self.pace = PromptPace(ReadingPaceSettings())
        self.pace.took(prompt('y'), 9000 * TOKEN_S)
        self.count = 0

    def home(self, asked: Prompt, now_s: float = 0) -> PrefillHome:
        home = self.placement.prefill_home(
            'lm', asked, self.pace, self.line, (), now_s
        )
        assert home is not None
        return home

    def place(self, asked: Prompt, now_s: float = 0) -> str:
        return self.home(asked, now_s).target.target_id

    def begin(self, asked: Prompt, now_s: float = 0) -> str:
        chosen = self.place(asked, now_s)
        self.count += 1
        name = str(self.count)
        ticket = LineTicket(name, 0, 0, 1, 1, asked.token_count)
        self.line.enter(ticket, len(ENGINES), now_s)
        self.line.placed(name, chosen, now_s)
        return chosen

    def test_a_shared_part_goes_where_it_was_read(self) -> None:
        homes = set()
        for number in range(5):
            homes.add(self.begin(prompt('x'), number))
            self.line.leave(str(self.count), 0.1, number)
        self.assertEqual(1, len(homes))

    def test_a_burst_on_one_part_spreads_over_the_engines(self) -> None:
        """All callers of a moment ask about the same thing.

        Had they all gone to the engine that keeps it, they would be read
        one after the other there while the other engines stand idle.
        """
        chosen = [
            self.begin(prompt('x'), number / 1000) for number in range(12)
        ]
        self.assertEqual(set(ENGINES), set(chosen))

    def test_another_engine_fetches_what_the_first_one_keeps(self) -> None:
        first = self.begin(prompt('x'))
        self.begin(prompt('x'))
        home = self.home(prompt('x'))
        assert home.source is not None
        self.assertNotEqual(first, home.target.target_id)
        self.assertEqual(first, home.source.target_id)

    def test_nothing_is_fetched_from_an_engine_that_was_slow(self) -> None:
        """A domain is cut off, and its engines still stand in the registry.

        Each prompt whose shared part is fetched from one of them waits for
        the connection, ten times as long as reading the part would take.
        """
        first = self.begin(prompt('x'))
        self.begin(prompt('x'))
        self.fetches.failed(first, 0)
        home = self.home(prompt('x'))
        source_id = home.source.target_id if home.source else None
        self.assertNotEqual(first, source_id)

    def test_little_to_read_is_no_reason_to_leave_a_long_shared_part(
        self,
    ) -> None:
        long = prompt('x', shared=20000, own=100)
        first = self.place(long)
        self.line.enter(LineTicket('short', 0, 0, 1, 1, 500), 4, 0)
        self.line.placed('short', first, 0)
        self.assertEqual(first, self.place(long))

    def test_equals_take_turns(self) -> None:
        """Prompts without a shared part come one by one.

        Drawn at random, some engines would have three of many nodes at a
        time and others none.
        """
        chosen = []
        for number in range(8):
            alone = Prompt('m', 3000, 10, (PromptPart(f'p{number}', 3000),))
            chosen.append(self.begin(alone, 1 + number))
            self.line.leave(str(self.count), 0.03, number)
        self.assertEqual(
            {name: 2 for name in ENGINES},
            {name: chosen.count(name) for name in ENGINES},
        )

    def test_before_any_answer_the_tokens_under_way_decide(self) -> None:
        self.pace = PromptPace(ReadingPaceSettings())
        chosen = {self.begin(prompt('x'), number) for number in range(12)}
        self.assertEqual(set(ENGINES), chosen)


class DecodePlacementTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.registry = TargetRegistry(RegistrySettings(new_s=5))
        loads = TargetLoads(SuspicionSettings())
        fetches = TargetLoads(SuspicionSettings())
        self.loads = loads
        self.placement = Placement(self.registry, loads, fetches, 'a', 'n-1')

    def list(self, *names: str, at_s: float) -> None:
        self.registry.replace(
            [
                RegisteredTarget(
                    name, 'lm', '10.0.0.1:1', 'a', 32, False, Phase.DECODE
                )
                for name in names
            ],
            at_s,
        )

    def chosen(self, at_s: float) -> str:
        target = self.placement.decode_target('lm', None, (), at_s)
        assert target is not None
        return target.target_id

    def test_engines_that_have_just_come_get_no_streams(self) -> None:
        """A domain gets its engines back; they start with either phase.

        Those that make tokens are told to read prompts at once. Until the
        nodes hear of it they look idle; all send them their streams, and
        callers whose prompts were read already are refused.
        """
        self.list('old', at_s=0)
        for _ in range(20):
            self.loads.began('old')
        self.list('old', 'new', at_s=10)
        self.assertEqual('old', self.chosen(at_s=11))
        self.assertEqual('new', self.chosen(at_s=16))

    def test_a_new_engine_is_better_than_none(self) -> None:
        self.list('old', at_s=0)
        self.list('new', at_s=10)
        self.assertEqual('new', self.chosen(at_s=11))

    def test_engines_of_the_first_listing_are_not_new(self) -> None:
        """A process starts while the fleet runs; it has seen no engine come."""
        self.list('e1', 'e2', at_s=100)
        self.assertFalse(self.registry.is_new('e1', 100))


class DecodeSpreadTest(testtools.TestCase):
    def first_choices(self, nodes: int, engines: int) -> list[str]:
        """Let each node place one stream, knowing of no other."""
        loads = TargetLoads(SuspicionSettings())
        registry = TargetRegistry(RegistrySettings())
        registry.replace(
            [
                RegisteredTarget(
                    f'e{n}', 'lm', '10.0.0.1:1', 'a', 64, False, Phase.DECODE
                )
                for n in range(engines)
            ],
            0,
        )
        chosen = []
        for node in range(nodes):
            placement = Placement(registry, loads, loads, 'a', f'n-{node}')
            target = placement.decode_target('lm', 'a', (), 0)
            assert target is not None
            chosen.append(target.target_id)
        return chosen

    def test_195_nodes_spread_their_streams(self) -> None:
        """Guards against one engine that gets the streams of all nodes."""
        crowd = Counter(self.first_choices(nodes=195, engines=16))
        self.assertEqual(16, len(crowd))
        self.assertLess(max(crowd.values()), 2.5 * 195 / 16)

    def test_a_node_comes_back_to_its_engine(self) -> None:
        """Guards against a new connection for each stream."""
        self.assertEqual(self.first_choices(20, 8), self.first_choices(20, 8))
