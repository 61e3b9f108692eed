"""The choice of the prefill engine and of the decode engine of a call."""

from collections import Counter
from random import Random

import testtools

from dandelionyoke_dispatch import (
    Phase,
    Placement,
    PrefillPlacement,
    PrefillTimeEstimate,
    PrefillTimeSettings,
    Prompt,
    PromptPart,
    PromptQueue,
    PromptQueueSettings,
    QueuedPrompt,
    RegisteredTarget,
    RegistrySettings,
    SuspicionSettings,
    TargetLimits,
    TargetLimitSettings,
    TargetLoads,
    TargetRegistry,
    TargetRests,
    TargetRestSettings,
)

ENGINES = ('e1', 'e2', 'e3', 'e4')
TOKEN_S = 0.00001
NO_LIMITS = TargetLimits(TargetLimitSettings())
NO_RESTS = TargetRests(TargetRestSettings(), Random(1))


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
        self.placement = Placement(
            registry, loads, self.fetches, NO_LIMITS, NO_RESTS, 'a', 'n-1'
        )
        self.queue = PromptQueue(PromptQueueSettings(max_prompts_per_engine=99))
        self.prefill_time = PrefillTimeEstimate(PrefillTimeSettings())
        self.prefill_time.add_sample(prompt('y'), 9000 * TOKEN_S)
        self.count = 0

    def choose(self, request: Prompt, now_s: float = 0) -> PrefillPlacement:
        placement = self.placement.choose_prefill_engine(
            'lm', request, self.prefill_time, self.queue, (), now_s
        )
        assert placement is not None
        return placement

    def place(self, request: Prompt, now_s: float = 0) -> str:
        return self.choose(request, now_s).target.target_id

    def place_and_start(self, request: Prompt, now_s: float = 0) -> str:
        chosen = self.place(request, now_s)
        self.count += 1
        name = str(self.count)
        queued_prompt = QueuedPrompt(name, 0, 0, 1, 1, request.token_count)
        self.queue.enter(queued_prompt, len(ENGINES), now_s)
        self.queue.assign(name, chosen, now_s)
        return chosen

    def test_a_shared_prefix_goes_to_the_engine_that_cached_it(self) -> None:
        engine_ids = set()
        for number in range(5):
            engine_ids.add(self.place_and_start(prompt('x'), number))
            self.queue.leave(str(self.count), 0.1, number)
        self.assertEqual(1, len(engine_ids))

    def test_a_burst_on_one_prefix_spreads_over_the_engines(self) -> None:
        """Many callers use the same shared prefix at once.

        If all their prompts went to the engine that has it cached, they would
        be prefilled one after the other there while the other engines are idle.
        """
        chosen = [
            self.place_and_start(prompt('x'), number / 1000)
            for number in range(12)
        ]
        self.assertEqual(set(ENGINES), set(chosen))

    def test_another_engine_fetches_the_prefix_from_the_first(self) -> None:
        first = self.place_and_start(prompt('x'))
        self.place_and_start(prompt('x'))
        placement = self.choose(prompt('x'))
        assert placement.source is not None
        self.assertNotEqual(first, placement.target.target_id)
        self.assertEqual(first, placement.source.target_id)

    def test_nothing_is_fetched_from_a_suspect_engine(self) -> None:
        """A domain is partitioned, but its engines are still registered.

        Each prompt that fetches its shared prefix from one of them waits for
        the connection, ten times as long as the prefill of the prefix would
        take.
        """
        first = self.place_and_start(prompt('x'))
        self.place_and_start(prompt('x'))
        self.fetches.failed(first, 0)
        placement = self.choose(prompt('x'))
        source_id = placement.source.target_id if placement.source else None
        self.assertNotEqual(first, source_id)

    def test_a_short_backlog_does_not_outweigh_a_long_shared_prefix(
        self,
    ) -> None:
        long_prompt = prompt('x', shared=20000, own=100)
        first = self.place(long_prompt)
        self.queue.enter(QueuedPrompt('short', 0, 0, 1, 1, 500), 4, 0)
        self.queue.assign('short', first, 0)
        self.assertEqual(first, self.place(long_prompt))

    def test_equal_engines_take_turns(self) -> None:
        """Prompts without a shared prefix arrive one by one.

        With a random choice, some engines would have three prompts of many
        nodes at a time and others none.
        """
        chosen = []
        for number in range(8):
            alone = Prompt('m', 3000, 10, (PromptPart(f'p{number}', 3000),))
            chosen.append(self.place_and_start(alone, 1 + number))
            self.queue.leave(str(self.count), 0.03, number)
        self.assertEqual(
            {name: 2 for name in ENGINES},
            {name: chosen.count(name) for name in ENGINES},
        )

    def test_tokens_in_flight_decide_before_the_first_response(self) -> None:
        self.prefill_time = PrefillTimeEstimate(PrefillTimeSettings())
        chosen = {
            self.place_and_start(prompt('x'), number) for number in range(12)
        }
        self.assertEqual(set(ENGINES), chosen)


class VersionPlacementTest(testtools.TestCase):
    """Engines of two software versions serve side by side in one service.

    What two versions write does not fit together, and engines do not check it.
    """

    def setUp(self) -> None:
        super().setUp()
        self.registry = TargetRegistry(RegistrySettings())
        self.loads = TargetLoads(SuspicionSettings())
        fetches = TargetLoads(SuspicionSettings())
        self.placement = Placement(
            self.registry, self.loads, fetches, NO_LIMITS, NO_RESTS, 'a', 'n-1'
        )
        self.queue = PromptQueue(PromptQueueSettings(max_prompts_per_engine=99))
        self.prefill_time = PrefillTimeEstimate(PrefillTimeSettings())
        self.prefill_time.add_sample(prompt('y'), 9000 * TOKEN_S)

    def list_engines(self, prefill: str, decode: str) -> None:
        """Register engines by versions, each named by version and number."""
        phases = {Phase.PREFILL: prefill, Phase.DECODE: decode}
        self.registry.replace(
            [
                RegisteredTarget(
                    f'{version}-{phase.value}-{number}',
                    'lm',
                    '10.0.0.1:1',
                    'a',
                    2,
                    False,
                    phase,
                    version=version,
                )
                for phase, versions in phases.items()
                for number, version in enumerate(versions.split())
            ],
            0,
        )

    def choose(
        self,
        request: Prompt,
        avoid: tuple[str, ...] = (),
        version: str | None = None,
    ) -> PrefillPlacement | None:
        bound = {} if version is None else {'version': version}
        return self.placement.choose_prefill_engine(
            'lm',
            request,
            self.prefill_time,
            self.queue,
            avoid,
            0,
            **bound,
        )

    def start(self, request: Prompt, number: int) -> PrefillPlacement:
        placement = self.choose(request)
        assert placement is not None
        queued = QueuedPrompt(str(number), 0, 0, 1, 1, request.token_count)
        self.queue.enter(queued, 6, 0)
        self.queue.assign(str(number), placement.target.target_id, 0)
        return placement

    def chosen_versions(self) -> set[str]:
        """Place prompts until each usable engine has some of them."""
        return {
            self.start(prompt(f'p{number}'), number).target.version
            for number in range(24)
        }

    def test_no_prefix_is_fetched_from_another_version(self) -> None:
        """Guards against a stream whose cache two versions wrote."""
        self.list_engines(prefill='v1 v1 v1 v2 v2 v2', decode='v1 v2')
        fetched = Counter[str]()
        for number in range(48):
            placement = self.start(prompt(f'p{number % 4}'), number)
            if placement.source is not None:
                fetched[placement.target.version] += 1
                self.assertEqual(
                    placement.target.version, placement.source.version
                )
        self.assertEqual({'v1', 'v2'}, set(fetched))

    def test_a_version_without_decode_engine_gets_no_prompt(self) -> None:
        """Guards against prompts that are prefilled in vain."""
        self.list_engines(prefill='v1 v2 v2', decode='v1')
        self.assertEqual({'v1'}, self.chosen_versions())
        self.assertEqual(1, self.placement.count_prefill_engines('lm', (), 0))

    def test_a_version_whose_decode_engine_refused_gets_no_prompt(self) -> None:
        """Guards against prompts that wait for an engine that is full."""
        self.list_engines(prefill='v1 v2', decode='v1 v2')
        self.loads.refused('v2-decode-1', 0)
        self.assertEqual({'v1'}, self.chosen_versions())

    def test_a_version_with_full_decode_engines_gets_no_prompt(self) -> None:
        """Guards against refusals by one version while another has room."""
        self.list_engines(prefill='v1 v2 v2', decode='v1 v2')
        for _ in range(2):
            self.loads.call_started('v2-decode-1')
        self.assertEqual({'v1'}, self.chosen_versions())
        for _ in range(2):
            self.loads.call_started('v1-decode-0')
        self.assertEqual({'v1', 'v2'}, self.chosen_versions())

    def test_no_version_with_both_phases(self) -> None:
        """Guards against calls that are refused, or mix versions.

        The decode engine prefills their prompts itself.
        """
        self.list_engines(prefill='v1', decode='v2')
        self.assertIsNone(self.choose(prompt('x')))
        self.assertEqual(0, self.placement.count_prefill_engines('lm', (), 0))

    def test_a_pause_of_all_decode_engines_does_not_stop_prefills(self) -> None:
        """Guards against calls that are refused before an engine is back."""
        self.list_engines(prefill='v1 v2', decode='v1 v2')
        avoid = ('v1-decode-0', 'v2-decode-1')
        self.assertIsNotNone(self.choose(prompt('x'), avoid))

    def test_a_prompt_is_not_kept_for_a_suspect_engine(self) -> None:
        """Guards against calls that wait for an engine that is gone."""
        self.list_engines(prefill='v1 v2', decode='v1 v2')
        placement = self.choose(prompt('x'), version='v1')
        assert placement is not None
        target = placement.target
        self.assertTrue(self.placement.can_decode(target, (), 0))
        self.loads.unreachable('v1-decode-0', 0)
        self.assertFalse(self.placement.can_decode(target, (), 0))
        self.loads.unreachable('v2-decode-1', 0)
        self.assertTrue(self.placement.can_decode(target, (), 0))

    def test_a_prompt_of_a_version_that_left_is_not_kept(self) -> None:
        """Guards against a refusal while engines of another version serve."""
        self.list_engines(prefill='v1 v2', decode='v1 v2')
        placement = self.choose(prompt('x'), version='v1')
        assert placement is not None
        self.list_engines(prefill='v2', decode='v2')
        self.assertFalse(self.placement.can_decode(placement.target, (), 0))

    def test_a_bound_prompt_is_prefilled_at_its_version(self) -> None:
        """Guards against a resumed stream that mixes versions."""
        self.list_engines(prefill='v1 v2 v2 v2', decode='v1 v2 v2')
        for number in range(12):
            request = prompt(f'p{number}')
            placement = self.choose(request, version='v1')
            assert placement is not None
            self.assertEqual('v1', placement.target.version)
            self.assertIsNone(placement.source)
        self.assertIsNone(self.choose(prompt('x'), version='v3'))
        count = self.placement.count_prefill_engines('lm', (), 0, version='v2')
        self.assertEqual(3, count)

    def test_a_bound_stream_is_decoded_at_its_version(self) -> None:
        """Guards against a stream of one version that goes on at another."""
        self.list_engines(prefill='', decode='v1 v2 v2 v2')
        self.loads.refused('v1-decode-0', 0)
        for bound in ('v1', 'v2'):
            target = self.placement.choose_decode_target(
                'lm', None, (), 0, version=bound
            )
            assert target is not None
            self.assertEqual(bound, target.version)
        unknown = self.placement.choose_decode_target(
            'lm', None, (), 0, version='v3'
        )
        self.assertIsNone(unknown)


class DecodePlacementTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.registry = TargetRegistry(RegistrySettings(new_target_s=5))
        loads = TargetLoads(SuspicionSettings())
        fetches = TargetLoads(SuspicionSettings())
        self.loads = loads
        self.placement = Placement(
            self.registry, loads, fetches, NO_LIMITS, NO_RESTS, 'a', 'n-1'
        )

    def list_engines(self, *names: str, at_s: float) -> None:
        self.registry.replace(
            [
                RegisteredTarget(
                    name, 'lm', '10.0.0.1:1', 'a', 32, False, Phase.DECODE
                )
                for name in names
            ],
            at_s,
        )

    def choose_engine(self, at_s: float) -> str:
        target = self.placement.choose_decode_target('lm', None, (), at_s)
        assert target is not None
        return target.target_id

    def test_new_engines_get_no_streams(self) -> None:
        """A domain gets its engines back, in either phase.

        Those that start in the decode phase are ordered to prefill at once.
        Until the nodes learn of it, these engines look idle; all nodes send
        them their streams, and callers whose prompts were prefilled already are
        refused.
        """
        self.list_engines('old', at_s=0)
        for _ in range(20):
            self.loads.call_started('old')
        self.list_engines('old', 'new', at_s=10)
        self.assertEqual('old', self.choose_engine(at_s=11))
        self.assertEqual('new', self.choose_engine(at_s=16))

    def test_a_new_engine_is_better_than_none(self) -> None:
        self.list_engines('old', at_s=0)
        self.list_engines('new', at_s=10)
        self.assertEqual('new', self.choose_engine(at_s=11))

    def test_engines_of_the_first_listing_are_not_new(self) -> None:
        """A process that starts in a running fleet has seen no engine start."""
        self.list_engines('e1', 'e2', at_s=100)
        self.assertFalse(self.registry.is_new('e1', 100))


class DecodeSpreadTest(testtools.TestCase):
    def first_choices(self, nodes: int, engines: int) -> list[str]:
        """Return the first choice of each node, without any load."""
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
            placement = Placement(
                registry, loads, loads, NO_LIMITS, NO_RESTS, 'a', f'n-{node}'
            )
            target = placement.choose_decode_target('lm', 'a', (), 0)
            assert target is not None
            chosen.append(target.target_id)
        return chosen

    def test_195_nodes_spread_their_streams_over_the_engines(self) -> None:
        """Guards against one engine that gets the streams of all nodes."""
        streams_by_engine = Counter(self.first_choices(nodes=195, engines=16))
        self.assertEqual(16, len(streams_by_engine))
        self.assertLess(max(streams_by_engine.values()), 2.5 * 195 / 16)

    def test_the_choice_of_a_node_is_stable(self) -> None:
        """Guards against a new connection for each stream."""
        self.assertEqual(self.first_choices(20, 8), self.first_choices(20, 8))
