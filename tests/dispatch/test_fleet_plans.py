"""Numbers and phases of engines."""

from collections import Counter
from random import Random

import testtools

from dandelionyoke_dispatch import (
    EnginePlan,
    EnginePlanSettings,
    FleetNeed,
    Phase,
    PhaseLoad,
    PhasePlan,
    PhasePlanSettings,
    RegisteredTarget,
    ScalingRange,
    StreamSplit,
    WantedCount,
)
from dandelionyoke_dispatch._phase_plan import _choose_decode

SCALING = ScalingRange(1, 5, 4.0, 0.2, {'a': 1.0, 'b': 0.8})


def engine(
    name: str,
    domain: str,
    phase: Phase = Phase.PREFILL,
    *,
    reclaimable: bool = False,
) -> RegisteredTarget:
    return RegisteredTarget(
        name, 'lm', '10.0.0.1:1', domain, 64, False, phase, reclaimable
    )


class EnginePlanTest(testtools.TestCase):
    def wanted(
        self, *engines: RegisteredTarget, need: FleetNeed | None = None
    ) -> dict[str, int]:
        plan = EnginePlan(EnginePlanSettings(steady_domains=1))
        wanted = plan.wanted(SCALING, engines, need or FleetNeed())
        return {
            f'{one.domain} {"cheap" if one.is_reclaimable else "steady"}': (
                one.count
            )
            for one in wanted
        }

    def test_steady_engines_stay_until_cheap_ones_have_come(self) -> None:
        """Cheap engines are ordered, and none can be had for a while.

        Had the steady ones been given back at once, callers would be turned
        away until the cheap ones come.
        """
        steady = [engine(f's{n}{d}', d) for n in range(3) for d in 'ab']
        strained = FleetNeed(is_strained=True)
        self.assertEqual(
            {'a steady': 3, 'a cheap': 2, 'b steady': 3, 'b cheap': 2},
            self.wanted(*steady, need=strained),
        )
        cheap = [engine(f'c{n}', 'a', reclaimable=True) for n in range(2)]
        some = self.wanted(*steady, *cheap, need=strained)
        self.assertEqual(1, some['a steady'])
        cheap.append(engine('c2', 'a', reclaimable=True))
        more = self.wanted(*steady, *cheap, need=strained)
        self.assertEqual(0, more['a steady'])

    def test_cheap_engines_take_the_room_of_those_that_go(self) -> None:
        there = [engine('s0', 'a'), engine('s1', 'a')]
        self.assertEqual(3, self.wanted(*there)['a cheap'])
        self.assertEqual(4, self.wanted(there[0])['a cheap'])

    def test_the_cheapest_domains_keep_a_steady_engine(self) -> None:
        cheap = [
            engine(f'c{n}{d}', d, reclaimable=True)
            for n in range(5)
            for d in 'ab'
        ]
        wanted = self.wanted(*cheap)
        self.assertEqual(0, wanted['a steady'])
        self.assertEqual(1, wanted['b steady'])

    def test_a_domain_without_cheap_engines_is_borne_at_ease(self) -> None:
        refusing = FleetNeed(refusing=('a',))
        there = [engine('s1', 'a'), engine('s2', 'a'), engine('s3', 'b')]
        self.assertEqual(2, self.wanted(*there, need=refusing)['a steady'])

    def test_steady_engines_stand_in_while_callers_wait(self) -> None:
        """A domain loses its cheap engines in a burst and gets none back.

        Without others in their place each caller would wait until the burst
        is over. When cheap ones come again those that stood in go, one for
        each that came, so that the callers never find fewer.
        """
        need = FleetNeed(is_strained=True, refusing=('a',))
        there = [engine('s1', 'b')]
        self.assertEqual(3, self.wanted(*there, need=need)['a steady'])
        there += [engine(f'n{n}', 'a') for n in range(3)]
        giving = FleetNeed(is_strained=True)
        self.assertEqual(3, self.wanted(*there, need=giving)['a steady'])
        self.assertEqual(2, self.wanted(*there, need=giving)['a cheap'])
        there.append(engine('c1', 'a', reclaimable=True))
        self.assertEqual(2, self.wanted(*there, need=giving)['a steady'])

    def test_nobody_stands_in_where_cheap_engines_are_on_their_way(
        self,
    ) -> None:
        strained = FleetNeed(is_strained=True)
        there = [engine('s1', 'b')]
        self.assertEqual(0, self.wanted(*there, need=strained)['a steady'])

    def test_dear_reclaimable_engines_fill_the_range_in_need_only(
        self,
    ) -> None:
        """Another customer's reclaimable engines cost half of the others.

        As many of them as of cheap ones would stand idle at that price; while
        callers wait, all that may be had are wanted.
        """
        scaling = ScalingRange(1, 8, 4.0, 0.5, {'a': 1.0})
        plan = EnginePlan(EnginePlanSettings(steady_domains=0))
        wanted = plan.wanted(scaling, [], FleetNeed())
        self.assertIn(WantedCount('a', True, 4), wanted)
        wanted = plan.wanted(scaling, [], FleetNeed(is_strained=True))
        self.assertIn(WantedCount('a', True, 8), wanted)

    def test_a_price_of_nothing_is_borne(self) -> None:
        scaling = ScalingRange(1, 8, 4.0, 0.0, {'a': 1.0})
        plan = EnginePlan(EnginePlanSettings(steady_domains=0))
        wanted = plan.wanted(scaling, [], FleetNeed())
        self.assertIn(WantedCount('a', True, 8), wanted)

    def test_without_cheap_engines_nothing_is_ordered(self) -> None:
        scaling = ScalingRange(1, 5, 4.0, None, {'a': 1.0})
        plan = EnginePlan(EnginePlanSettings())
        wanted = plan.wanted(scaling, [engine('s1', 'a')], FleetNeed())
        self.assertEqual([], wanted)

    def test_a_wanted_count_names_its_kind(self) -> None:
        plan = EnginePlan(EnginePlanSettings())
        wanted = plan.wanted(SCALING, [], FleetNeed())
        self.assertIn(WantedCount('a', True, 5), wanted)


class PhasePlanTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.plan = PhasePlan(PhasePlanSettings(), StreamSplit())

    def test_a_steady_engine_decodes_where_one_more_is_needed(self) -> None:
        engines = [
            engine('c1', 'a', reclaimable=True),
            engine('c2', 'b', reclaimable=True),
            engine('s1', 'a'),
            engine('s2', 'b', Phase.DECODE),
            engine('c3', 'b', reclaimable=True),
            engine('c4', 'a', reclaimable=True),
        ]
        self.assertEqual([('s1', Phase.DECODE)], self.changes(engines))

    def test_a_steady_engine_stays_where_one_is_too_many(self) -> None:
        engines = [
            engine('c1', 'a', Phase.DECODE, reclaimable=True),
            engine('c2', 'b', reclaimable=True),
            engine('s1', 'a', Phase.DECODE),
            engine('s2', 'b', Phase.DECODE),
            engine('c3', 'b', reclaimable=True),
            engine('c4', 'a', Phase.DECODE, reclaimable=True),
        ]
        self.assertEqual(
            [('c1', Phase.PREFILL), ('c4', Phase.PREFILL)],
            self.changes(engines),
        )

    def test_no_engine_changes_for_its_kind_alone(self) -> None:
        """Guards against streams refused while stand-ins come and go."""
        engines = [
            engine(f'c{n}', 'a', Phase.DECODE, reclaimable=True)
            for n in range(4)
        ]
        engines += [engine(f's{n:02}', 'b') for n in range(16)]
        self.assertEqual([], self.changes(engines))

    def changes(
        self,
        engines: list[RegisteredTarget],
        settled: frozenset[str] | None = None,
    ) -> list[tuple[str, Phase]]:
        return [
            (one.target.target_id, one.phase)
            for one in self.plan.changes(engines, PhaseLoad(6.4), 0, settled)
        ]

    def test_engines_make_tokens_until_others_do(self) -> None:
        """More engines than needed were ordered to decode.

        When those that go changed at once, they refused calls before the
        others took any, and callers were refused for seconds.
        """
        engines = [
            engine(f'c{n}', 'a', Phase.DECODE, reclaimable=True)
            for n in range(4)
        ]
        engines += [engine(f's{n:02}', 'b') for n in range(16)]
        ordered = [
            *engines[:4],
            *(engine(f's{n:02}', 'b', Phase.DECODE) for n in range(4)),
            *engines[8:],
        ]
        still = frozenset(one.target_id for one in (*ordered[:4], *ordered[8:]))
        self.assertEqual([], self.changes(ordered, still))
        half = still | {'s00', 's01'}
        self.assertEqual(2, len(self.changes(ordered, half)))
        self.assertEqual(4, len(self.changes(ordered)))

    def test_one_engine_more_than_wanted_is_left_alone(self) -> None:
        """A domain loses its engines and gets them back seconds later.

        Had an engine changed its phase twice meanwhile, it would have done
        no work for most of that time.
        """
        engines = [engine(f'p{n}', 'a') for n in range(7)]
        engines += [engine(f'd{n}', 'b', Phase.DECODE) for n in range(3)]
        self.assertEqual([], self.plan.changes(engines, PhaseLoad(6.4), 0))

    def test_full_decode_engines_get_help(self) -> None:
        engines = [engine(f'p{n}', 'a') for n in range(4)]
        engines.append(engine('d', 'a', Phase.DECODE))
        changes = self.plan.changes(engines, PhaseLoad(58), 0)
        self.assertEqual([Phase.DECODE], [one.phase for one in changes])

    def test_engines_for_tokens_outlast_a_pause_of_the_streams(self) -> None:
        """Streams come in bursts a few seconds apart.

        Had an engine changed back in each pause, every burst would find too
        few engines and callers would wait for seconds.
        """
        engines = [engine(f'p{n}', 'a') for n in range(7)]
        engines += [engine(f'd{n}', 'a', Phase.DECODE) for n in range(4)]
        self.assertEqual([], self.plan.changes(engines, PhaseLoad(4 * 40), 0))
        self.assertEqual([], self.plan.changes(engines, PhaseLoad(10), 5))
        self.assertEqual([], self.plan.changes(engines, PhaseLoad(4 * 40), 7))
        self.assertEqual([], self.plan.changes(engines, PhaseLoad(10), 14))

    def test_a_number_falls_once_it_was_too_high_for_long(self) -> None:
        engines = [engine(f'p{n}', 'a') for n in range(6)]
        engines += [engine(f'd{n}', 'a', Phase.DECODE) for n in range(5)]
        self.assertEqual([], self.plan.changes(engines, PhaseLoad(5 * 40), 0))
        self.assertEqual(2, len(self.plan.changes(engines, PhaseLoad(10), 9)))

    def test_the_last_engines_keep_both_phases(self) -> None:
        engines = [
            engine('d1', 'a', Phase.DECODE),
            engine('d2', 'b', Phase.DECODE),
        ]
        self.assertEqual(1, len(self.plan.changes(engines, PhaseLoad(115), 0)))
        self.assertEqual([], self.plan.changes(engines[:1], PhaseLoad(115), 0))

    def test_the_choice_is_that_of_one_engine_after_the_other(self) -> None:
        """Guards against other engines that decode than the rules name."""
        random = Random(7)
        for _ in range(200):
            engines = [
                engine(
                    f'i-{number}',
                    random.choice('abc'),
                    random.choice((Phase.PREFILL, Phase.DECODE)),
                    reclaimable=random.random() < 0.5,
                )
                for number in random.sample(range(100), 12)
            ]
            count = random.randint(0, len(engines))
            self.assertEqual(
                one_after_the_other(engines, count),
                _choose_decode(engines, count),
            )


def one_after_the_other(
    engines: list[RegisteredTarget], count: int
) -> frozenset[str]:
    """The naive form: each time the best of all that are left."""
    left = list(engines)
    crowd: Counter[str] = Counter()
    for _ in range(count):
        best = min(
            left,
            key=lambda one: (
                one.phase is not Phase.DECODE,
                one.is_reclaimable,
                crowd[one.domain],
                one.target_id,
            ),
        )
        left.remove(best)
        crowd[best.domain] += 1
    return frozenset(one.target_id for one in engines if one not in left)
