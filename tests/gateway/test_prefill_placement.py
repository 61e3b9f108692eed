"""Where prompts are prefilled when engines are lost and of unequal speed."""

import attrs
import eventlet
import testtools

from dandelionyoke_dispatch import (
    PrefillPlacement,
    Prompt,
    PromptPart,
)
from dandelionyoke_gateway import clock_s
from dandelionyoke_gateway._prefill_queue import (
    PrefillGrant,
    PrefillRequest,
    PrefillResult,
)
from tests.gateway.test_prefill_queue import Network, engine

TOKEN_S = 0.00001
ENGINES = tuple(f'i-{number}' for number in range(4))


def request(
    shared: int = 9000, own: int = 3000, key: str = 'hot'
) -> PrefillRequest:
    parts = (PromptPart(key, shared), PromptPart('own', own))
    now_s = clock_s()
    return PrefillRequest(
        service='lm',
        prompt=Prompt('m', shared + own, 10, parts),
        rank=1,
        arrived_s=now_s,
        goal_s=1.0,
        deadline_s=now_s + 5.0,
    )


def placed(grant: PrefillGrant) -> PrefillPlacement:
    assert grant.placement is not None
    return grant.placement


def source_id(grant: PrefillGrant) -> str | None:
    source = placed(grant).source
    return None if source is None else source.target_id


class PrefillPlacementTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.start()

    def start(self, *slowness: float) -> None:
        """Start two nodes that know the engines and their slowness."""
        self.network = Network(2, [engine(name) for name in ENGINES])
        self.source, self.other = self.network.source, self.network.others[0]
        for node in self.network.nodes.values():
            self.addCleanup(node.log.close)
            prefill_time = node.knowledge.service_state('lm').prefill_time
            prefill_time.add_sample(Prompt('m', 10000, 10), 10000 * TOKEN_S)
            for name, slow in zip(ENGINES, slowness or (1,) * 4, strict=True):
                node.knowledge.speeds.observe(engine(name), slow, clock_s())

    def place(self, asked: PrefillRequest) -> PrefillGrant:
        return self.source.local_queue.acquire(asked)

    def place_id(self, asked: PrefillRequest) -> str:
        return placed(self.place(asked)).target.target_id

    def end(self, grant: PrefillGrant) -> None:
        self.source.local_queue.release(grant, PrefillResult(0.05))

    def prefill(self, asked: PrefillRequest) -> str:
        grant = self.place(asked)
        self.end(grant)
        return placed(grant).target.target_id

    def test_a_tiny_prefix_is_never_fetched(self) -> None:
        """Guards against short prompts that wait for a prefix of no use.

        A burst of them arrives at the first engine of the prefix.
        """
        grants = [self.place(request(350, 1110)) for _ in range(8)]
        self.assertEqual({None}, {source_id(grant) for grant in grants})
        self.assertLess(1, len({placed(grant).target for grant in grants}))

    def test_nothing_is_fetched_from_an_engine_that_is_gone(self) -> None:
        """Guards against prompts that wait for a fetch from a crashed engine.

        It is still listed, but another node has found it unreachable.
        """
        first = self.prefill(request())
        self.other.knowledge.loads.unreachable(first, clock_s())
        eventlet.sleep(0.02)
        sources = {source_id(self.place(request())) for _ in range(6)}
        self.assertNotIn(first, sources)

    def test_a_slow_fetch_at_another_node_reaches_the_choice(self) -> None:
        """Guards against a placing node that names a silent engine again."""
        first = self.prefill(request())
        self.assertEqual(first, self.place_id(request()))
        grant = self.other.queue.acquire(request())
        self.assertEqual(first, source_id(grant))
        self.other.queue.release(grant, PrefillResult(0.6, is_slow_fetch=True))
        eventlet.sleep(0.02)
        grants = [self.other.queue.acquire(request()) for _ in range(6)]
        self.assertNotIn(first, {source_id(grant) for grant in grants})

    def test_a_prefill_that_waited_for_others_blames_no_fetch(self) -> None:
        """Guards against prefixes prefilled again because engines are busy."""
        first = self.prefill(request())
        grant = [self.other.queue.acquire(request()) for _ in range(4)][-1]
        self.assertEqual(first, source_id(grant))
        waited = PrefillResult(0.2, is_slow_fetch=True)
        self.other.queue.release(grant, waited)
        eventlet.sleep(0.02)
        fetches = self.source.knowledge.fetches
        self.assertFalse(fetches.is_in_cooldown(first, clock_s()))

    def test_a_restarted_engine_does_not_attract_its_old_prefixes(self) -> None:
        """Guards against prompts that queue for a cache that is lost."""
        first = self.prefill(request())
        grants = [self.place(request()) for _ in range(2)]
        second = placed(grants[1]).target.target_id
        self.assertNotEqual(first, second)
        for grant in grants:
            self.end(grant)
        self.assertIn(self.prefill(request()), {first, second})
        restarted = attrs.evolve(engine(first), started_ms=2)
        others = [engine(name) for name in ENGINES if name != first]
        self.source.knowledge.registry.replace([*others, restarted], clock_s())
        self.assertEqual(second, self.prefill(request()))

    def test_a_new_placing_node_ranks_as_the_lost_one_did(self) -> None:
        """Guards against prefixes that all move when a placing node is lost."""
        keys = [f'p{number}' for number in range(12)]
        before = [self.prefill(request(key=key)) for key in keys]
        self.start()
        self.assertEqual(
            before, [self.prefill(request(key=key)) for key in keys]
        )
        self.assertLess(1, len(set(before)))

    def test_a_fast_engine_gets_more_than_a_slow_one(self) -> None:
        """Guards against callers that wait at slow engines beside fast ones."""
        self.start(0.7, 0.7, 1.7, 1.7)
        chosen = [self.place_id(request(0, 9000, f'p{n}')) for n in range(7)]
        self.assertEqual(5, sum(name in ENGINES[:2] for name in chosen))
        capacity = self.source.knowledge.placement.prefill_capacity(
            'lm', (), clock_s()
        )
        self.assertAlmostEqual(2 / 0.7 + 2 / 1.7, capacity, places=3)
