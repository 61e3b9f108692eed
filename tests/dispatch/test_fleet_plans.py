"""The wanted numbers of engines, and their phases."""

from collections import Counter
from random import Random

import attrs
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
from dandelionyoke_dispatch._decode_choice import DecodeBounds, choose_decode

SCALING = ScalingRange(1, 5, 4.0, 0.2, {'a': 1.0, 'b': 0.8})


def engine(
    name: str,
    domain: str,
    phase: Phase = Phase.PREFILL,
    *,
    reclaimable: bool = False,
    version: str = 'v1',
) -> RegisteredTarget:
    return RegisteredTarget(
        name,
        'lm',
        '10.0.0.1:1',
        domain,
        64,
        False,
        phase,
        reclaimable,
        version=version,
    )


class EnginePlanTest(testtools.TestCase):
    def wanted(
        self, *engines: RegisteredTarget, need: FleetNeed | None = None
    ) -> dict[str, int]:
        plan = EnginePlan(EnginePlanSettings(on_demand_domains=1))
        wanted = plan.wanted(SCALING, engines, need or FleetNeed())
        return {
            f'{one.domain} {"cheap" if one.is_reclaimable else "steady"}': (
                one.count
            )
            for one in wanted
        }

    def test_on_demand_engines_stay_until_reclaimable_ones_start(self) -> None:
        """Reclaimable engines are ordered and unavailable for a while.

        If the on-demand ones were returned at once, callers would be refused
        until the reclaimable ones start.
        """
        on_demand = [engine(f's{n}{d}', d) for n in range(3) for d in 'ab']
        overloaded = FleetNeed(is_overloaded=True)
        self.assertEqual(
            {'a steady': 3, 'a cheap': 2, 'b steady': 3, 'b cheap': 2},
            self.wanted(*on_demand, need=overloaded),
        )
        reclaimable_engines = [
            engine(f'c{n}', 'a', reclaimable=True) for n in range(2)
        ]
        some = self.wanted(*on_demand, *reclaimable_engines, need=overloaded)
        self.assertEqual(1, some['a steady'])
        reclaimable_engines.append(engine('c2', 'a', reclaimable=True))
        more = self.wanted(*on_demand, *reclaimable_engines, need=overloaded)
        self.assertEqual(0, more['a steady'])

    def test_reclaimable_engines_use_the_headroom_of_removed_ones(self) -> None:
        engines = [engine('s0', 'a'), engine('s1', 'a')]
        self.assertEqual(3, self.wanted(*engines)['a cheap'])
        self.assertEqual(4, self.wanted(engines[0])['a cheap'])

    def test_the_cheapest_domains_keep_an_on_demand_engine(self) -> None:
        reclaimable_engines = [
            engine(f'c{n}{d}', d, reclaimable=True)
            for n in range(5)
            for d in 'ab'
        ]
        wanted = self.wanted(*reclaimable_engines)
        self.assertEqual(0, wanted['a steady'])
        self.assertEqual(1, wanted['b steady'])

    def test_fewer_on_demand_engines_replace_others_without_overload(
        self,
    ) -> None:
        unavailable = FleetNeed(unavailable_domains=('a',))
        engines = [engine('s1', 'a'), engine('s2', 'a'), engine('s3', 'b')]
        self.assertEqual(2, self.wanted(*engines, need=unavailable)['a steady'])

    def test_on_demand_engines_replace_others_during_overload(self) -> None:
        """A domain loses its reclaimable engines in a burst and gets no others.

        Without replacements, every caller would wait until the burst is over.
        When reclaimable engines are available again, each one that starts
        releases one replacement, so that the number of engines never drops.
        """
        need = FleetNeed(is_overloaded=True, unavailable_domains=('a',))
        engines = [engine('s1', 'b')]
        self.assertEqual(3, self.wanted(*engines, need=need)['a steady'])
        engines += [engine(f'n{n}', 'a') for n in range(3)]
        available = FleetNeed(is_overloaded=True)
        self.assertEqual(3, self.wanted(*engines, need=available)['a steady'])
        self.assertEqual(2, self.wanted(*engines, need=available)['a cheap'])
        engines.append(engine('c1', 'a', reclaimable=True))
        self.assertEqual(2, self.wanted(*engines, need=available)['a steady'])

    def test_no_replacements_while_reclaimable_engines_start(
        self,
    ) -> None:
        overloaded = FleetNeed(is_overloaded=True)
        engines = [engine('s1', 'b')]
        self.assertEqual(0, self.wanted(*engines, need=overloaded)['a steady'])

    def test_expensive_reclaimable_engines_fill_the_range_in_overload(
        self,
    ) -> None:
        """Reclaimable engines cost half the price of on-demand engines.

        At that price, as many idle engines as of cheaper ones would cost too
        much. While callers wait, all available engines are wanted.
        """
        scaling = ScalingRange(1, 8, 4.0, 0.5, {'a': 1.0})
        plan = EnginePlan(EnginePlanSettings(on_demand_domains=0))
        wanted = plan.wanted(scaling, [], FleetNeed())
        self.assertIn(WantedCount('a', True, 4), wanted)
        wanted = plan.wanted(scaling, [], FleetNeed(is_overloaded=True))
        self.assertIn(WantedCount('a', True, 8), wanted)

    def test_a_price_of_zero_is_accepted(self) -> None:
        scaling = ScalingRange(1, 8, 4.0, 0.0, {'a': 1.0})
        plan = EnginePlan(EnginePlanSettings(on_demand_domains=0))
        wanted = plan.wanted(scaling, [], FleetNeed())
        self.assertIn(WantedCount('a', True, 8), wanted)

    def test_without_reclaimable_engines_nothing_is_ordered(self) -> None:
        scaling = ScalingRange(1, 5, 4.0, None, {'a': 1.0})
        plan = EnginePlan(EnginePlanSettings())
        wanted = plan.wanted(scaling, [engine('s1', 'a')], FleetNeed())
        self.assertEqual([], wanted)

    def test_a_wanted_count_includes_its_kind(self) -> None:
        plan = EnginePlan(EnginePlanSettings())
        wanted = plan.wanted(SCALING, [], FleetNeed())
        self.assertIn(WantedCount('a', True, 5), wanted)


class PhasePlanTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.plan = PhasePlan(PhasePlanSettings(), StreamSplit())

    def test_on_demand_engines_are_the_first_to_decode(self) -> None:
        engines = [
            engine('c1', 'a', reclaimable=True),
            engine('c2', 'b', reclaimable=True),
            engine('s1', 'a'),
            engine('s2', 'b', Phase.DECODE),
            engine('c3', 'b', reclaimable=True),
            engine('c4', 'a', reclaimable=True),
        ]
        self.assertEqual([('s1', Phase.DECODE)], self.changes(engines))

    def test_on_demand_engines_are_the_last_to_stop_decoding(self) -> None:
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

    def test_no_engine_switches_because_of_its_kind_alone(self) -> None:
        """Guards against streams refused while replacements start and stop."""
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

    def test_engines_decode_until_replaced(self) -> None:
        """More engines than needed were ordered to decode.

        If the surplus ones switched at once, they would refuse calls before the
        others accept any, and callers would be refused for seconds.
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
        settled = frozenset(
            one.target_id for one in (*ordered[:4], *ordered[8:])
        )
        self.assertEqual([], self.changes(ordered, settled))
        half_settled = settled | {'s00', 's01'}
        self.assertEqual(2, len(self.changes(ordered, half_settled)))
        self.assertEqual(4, len(self.changes(ordered)))

    def test_a_single_surplus_decode_engine_stays(self) -> None:
        """A domain loses its engines and gets them back seconds later.

        An engine that switched phases twice in that time would do no work for
        most of it.
        """
        engines = [engine(f'p{n}', 'a') for n in range(7)]
        engines += [engine(f'd{n}', 'b', Phase.DECODE) for n in range(3)]
        self.assertEqual([], self.plan.changes(engines, PhaseLoad(6.4), 0))

    def test_full_decode_engines_get_another_one(self) -> None:
        engines = [engine(f'p{n}', 'a') for n in range(4)]
        engines.append(engine('d', 'a', Phase.DECODE))
        changes = self.plan.changes(engines, PhaseLoad(58), 0)
        self.assertEqual([Phase.DECODE], [one.phase for one in changes])

    def test_decode_engines_stay_during_a_pause_of_the_streams(self) -> None:
        """Streams arrive in bursts a few seconds apart.

        If engines switched back in each pause, every burst would find too few
        decode engines, and callers would wait for seconds.
        """
        engines = [engine(f'p{n}', 'a') for n in range(7)]
        engines += [engine(f'd{n}', 'a', Phase.DECODE) for n in range(4)]
        self.assertEqual([], self.plan.changes(engines, PhaseLoad(4 * 40), 0))
        self.assertEqual([], self.plan.changes(engines, PhaseLoad(10), 5))
        self.assertEqual([], self.plan.changes(engines, PhaseLoad(4 * 40), 7))
        self.assertEqual([], self.plan.changes(engines, PhaseLoad(10), 14))

    def test_the_number_falls_after_the_hold_time(self) -> None:
        engines = [engine(f'p{n}', 'a') for n in range(6)]
        engines += [engine(f'd{n}', 'a', Phase.DECODE) for n in range(5)]
        self.assertEqual([], self.plan.changes(engines, PhaseLoad(5 * 40), 0))
        self.assertEqual(2, len(self.plan.changes(engines, PhaseLoad(10), 9)))

    def test_both_phases_keep_an_engine(self) -> None:
        engines = [
            engine('d1', 'a', Phase.DECODE),
            engine('d2', 'b', Phase.DECODE),
        ]
        self.assertEqual(1, len(self.plan.changes(engines, PhaseLoad(115), 0)))
        self.assertEqual([], self.plan.changes(engines[:1], PhaseLoad(115), 0))

    def test_each_version_keeps_a_decode_engine(self) -> None:
        """Guards against streams that no engine of their version resumes."""
        engines = [engine(f'd{n}', 'a', Phase.DECODE) for n in range(2)]
        engines += [engine(f'p{n}', 'a') for n in range(2)]
        engines += [engine(f'q{n}', 'b', version='v2') for n in range(2)]
        self.assertEqual([('q0', Phase.DECODE)], self.changes(engines))

    def test_a_version_without_decode_engine_comes_first(self) -> None:
        """Guards against streams that wait while as many as may switch do."""
        engines = [engine(f'd{n}', 'a', Phase.DECODE) for n in range(5)]
        engines += [engine(f'p{n}', 'a') for n in range(12)]
        engines += [engine(f'q{n}', 'b', version='v2') for n in range(2)]
        changes = self.plan.changes(engines, PhaseLoad(64 * 6), 0)
        self.assertEqual(2, len(changes))
        self.assertEqual('v2', changes[0].target.version)

    def test_a_version_keeps_a_prefill_engine(self) -> None:
        """Guards against prompts that only slow decode engines prefill."""
        engines = [engine(f'p{n}', 'a') for n in range(2)]
        engines.append(engine('d0', 'a', Phase.DECODE))
        engines += [
            engine(f'e{n}', 'b', Phase.DECODE, version='v2') for n in range(2)
        ]
        self.assertEqual([('e1', Phase.PREFILL)], self.changes(engines))

    def test_the_only_engine_of_a_version_decodes(self) -> None:
        """Guards against an engine that gets neither streams nor prompts."""
        engines = [engine('d0', 'a', Phase.DECODE), engine('p0', 'a')]
        only = engine('q0', 'b', version='v2')
        self.assertEqual([('q0', Phase.DECODE)], self.changes([*engines, only]))
        pair = [engine('d0', 'a', Phase.DECODE), only]
        self.assertEqual([('q0', Phase.DECODE)], self.changes(pair))

    def test_the_last_decode_engine_of_a_version_stays_until_replaced(
        self,
    ) -> None:
        """Guards against streams that none resumes while engines switch."""
        engines = [
            engine(f'd{n}', 'a', Phase.DECODE, reclaimable=n == 0)
            for n in range(2)
        ]
        engines += [
            engine(f'e{n}', 'b', Phase.DECODE, version='v2') for n in range(2)
        ]
        engines += [engine(f'p{n}', 'b', version='v2') for n in range(6)]
        changes = self.changes(engines, frozenset(('d0', 'e0', 'e1')))
        self.assertNotIn(('d0', Phase.PREFILL), changes)
        self.assertIn(('d0', Phase.PREFILL), self.changes(engines))

    def test_a_version_is_split_like_the_others(self) -> None:
        """Guards against a version whose decode engines hold up its prompts."""
        engines = [engine(f'd{n}', 'a', Phase.DECODE) for n in range(8)]
        engines += [engine(f'p{n}', 'a') for n in range(8)]
        engines += [engine(f'q{n}', 'b', version='v2') for n in range(16)]
        decoding = Counter[str]()
        for _ in range(12):
            for change in self.plan.changes(engines, PhaseLoad(64 * 5.6), 0):
                index = engines.index(change.target)
                engines[index] = attrs.evolve(change.target, phase=change.phase)
        for one in engines:
            decoding[one.version] += one.phase is Phase.DECODE
        self.assertEqual({'v1': 5, 'v2': 3}, decoding)

    def test_every_mix_of_versions_settles(self) -> None:
        """Guards against engines that switch back and forth."""
        random = Random(11)
        for _ in range(200):
            engines = [
                engine(
                    f'i-{number}',
                    random.choice('abc'),
                    random.choice((Phase.PREFILL, Phase.DECODE)),
                    reclaimable=random.random() < 0.5,
                    version=random.choice(('v1', 'v1', 'v2', 'v3')),
                )
                for number in range(random.randint(2, 24))
            ]
            load = PhaseLoad(random.uniform(0, 40 * len(engines)))
            self.assert_settles(engines, load)

    def assert_settles(
        self, engines: list[RegisteredTarget], load: PhaseLoad
    ) -> None:
        """Apply the plan until it orders nothing more; check each version."""
        plan = PhasePlan(PhasePlanSettings(), StreamSplit())
        ordered = Counter[str]()
        while changes := plan.changes(engines, load, 0):
            for change in changes:
                ordered[change.target.target_id] += 1
                engines[engines.index(change.target)] = attrs.evolve(
                    change.target, phase=change.phase
                )
            self.assertLessEqual(max(ordered.values()), 1)
        versions = Counter(one.version for one in engines)
        decoding = Counter(
            one.version for one in engines if one.phase is Phase.DECODE
        )
        for version, count in versions.items():
            self.assertGreaterEqual(decoding[version], 1)
            self.assertLessEqual(decoding[version], max(1, count - 1))

    def test_the_choice_matches_the_reference_implementation(self) -> None:
        """Guards against a choice that deviates from the preference order."""
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
            unbounded = DecodeBounds({'v1': 0}, {'v1': len(engines)})
            self.assertEqual(
                choose_decode_reference(engines, count),
                choose_decode(engines, count, unbounded),
            )


def choose_decode_reference(
    engines: list[RegisteredTarget], count: int
) -> frozenset[str]:
    """Choose the best of all remaining engines, one at a time."""
    remaining = list(engines)
    chosen_by_domain: Counter[str] = Counter()
    for _ in range(count):
        best = min(
            remaining,
            key=lambda one: (
                one.phase is not Phase.DECODE,
                one.is_reclaimable,
                chosen_by_domain[one.domain],
                one.target_id,
            ),
        )
        remaining.remove(best)
        chosen_by_domain[best.domain] += 1
    return frozenset(one.target_id for one in engines if one not in remaining)
