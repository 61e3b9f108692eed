"""Measures how fast news spreads among many nodes, and what that costs.

Run as `python -m dandelionyoke_standins._spread [nodes ...]`. Everything is
in virtual time and follows from the seeds, but for the handling time, which
is this thread's processor time in the node and in the codec.
"""

import random as random_module
import sys
from collections.abc import Callable, Iterable, Sequence
from functools import partial

import attrs

from dandelionyoke_core import (
    ApiKey,
    ChangeId,
    CommitOutcome,
    Committed,
    Committer,
    InstanceId,
    Model,
    ModelName,
    Operation,
    Organisation,
    OrganisationId,
    Proposal,
    Put,
    Service,
    ServiceName,
    SharedRecord,
    ShareRecord,
    StoreAnswered,
    hash_key,
)
from dandelionyoke_standins._spread_node import VirtualNode, WorldSettings
from dandelionyoke_standins._spread_store import VirtualStore
from dandelionyoke_standins._spread_world import World

SIZES = (8, 64, 410)
CHANGES_PER_DAY = 5200
DAY_S = 86_400.0
ORGANISATIONS = 720
KEYS_EACH = 2
MODELS = 13
WARM_UP_S = 40.0
STEADY_S = 120.0
PAUSE_S = 20.0
LONG_CUT_S = 3600.0
# An hour of this many nodes' heartbeats would take most of an hour.
LONG_CUT_NODES = 64
SHORT_CUT_S = 300.0
PLATFORM = 'platform'

Report = Callable[[str], object]


@attrs.frozen
class SpreadSettings:
    """What is measured, and how often."""

    sizes: tuple[int, ...] = SIZES
    changes: int = 30
    faults: int = 5
    seeds: tuple[int, ...] = (1, 2, 3)


def domains_of(nodes: int) -> tuple[tuple[str, int], ...]:
    """Share nodes out to domains: three for today's size, else six."""
    names = (
        ('n1', 'n2', 's1')
        if nodes < 16
        else ('n1', 'n2', 'n3', 's1', 's2', 's3')
    )
    each, left = divmod(nodes, len(names))
    return tuple(
        (name, each + (place < left)) for place, name in enumerate(names)
    )


def commit(store: VirtualStore, operations: Iterable[Operation]) -> None:
    """Commit a change as the operator's command does, at once."""
    committer = Committer(
        Proposal(
            change_id=ChangeId(f'change-{store.revision}'),
            base_revision=None,
            author='operator@example.org',
            reason='a key for the night shift',
            committed_wall_s=0,
            operations=tuple(operations),
        )
    )
    calls = committer.begin()
    while calls:
        call = calls[0]
        if not hasattr(call, 'operation_id'):
            break
        answer = StoreAnswered(call.operation_id, store.call(call))
        calls = committer.handle(answer, 0)
    outcome: CommitOutcome | None = committer.outcome
    if not isinstance(outcome, Committed):
        raise RuntimeError(f'not committed: {outcome}')


def target_configuration() -> tuple[Operation, ...]:
    """Make a configuration of the size that the system is meant for."""
    operations: list[Operation] = [Put(Service(ServiceName('chat')))]
    operations.extend(
        Put(Model(ModelName(f'model-{number}'), ServiceName('chat')))
        for number in range(MODELS)
    )
    for number in range(ORGANISATIONS):
        name = OrganisationId(f'organisation-{number}')
        operations.append(Put(Organisation(name)))
        operations.extend(
            Put(ApiKey(hash_key(f'{number}/{key}'), name, 'issued'))
            for key in range(KEYS_EACH)
        )
    return tuple(operations)


def small_change(number: int) -> tuple[Operation, ...]:
    """Issue one key."""
    owner = OrganisationId(f'organisation-{number % ORGANISATIONS}')
    return (Put(ApiKey(hash_key(f'new {number}'), owner, 'night shift')),)


class SpreadRun:
    """One world of a size and a seed, and what is measured in it."""

    def __init__(self, nodes: int, seed: int, settings: SpreadSettings) -> None:
        self._settings = settings
        self._random = random_module.Random(seed)
        self._world = World(seed, WorldSettings(domains_of(nodes)))
        self._number = 0
        commit(self._world.store, target_configuration())
        for _ in range(2):
            self._commit()
        self._world.run(WARM_UP_S)

    def steady(self) -> dict[str, float]:
        """Measure the cost at the target's rate of changes."""
        world = self._world
        nodes = world.live_nodes()
        _reset(world)
        begun_s = world.now_s
        ages: list[float] = []
        while world.now_s - begun_s < STEADY_S:
            pause_s = self._random.expovariate(CHANGES_PER_DAY / DAY_S)
            world.run(min(pause_s, STEADY_S))
            self._commit()
            ages.extend(_ages(world))
        per = len(nodes) * (world.now_s - begun_s)
        return {
            'messages_per_node_s': sum(n.sent.total() for n in nodes) / per,
            'sent_bytes_per_node_s': (
                sum(n.sent_bytes.total() for n in nodes) / per
            ),
            'handling_core_share': sum(n.handling_s for n in nodes) / per,
            'coding_core_share': sum(n.coding_s for n in nodes) / per,
            'store_calls_per_s': (
                world.store.calls.total() / (world.now_s - begun_s)
            ),
            'age_p50_s': _quantile(ages, 0.5),
            'age_max_s': max(ages),
            'links_max': max(len(n.membership.linked) for n in nodes),
        }

    def in_force(self) -> list[float]:
        """Take the times to in force, node by node, without a fault."""
        times: list[float] = []
        for _ in range(self._settings.changes):
            times.extend(self._spread_one())
            self._world.run(self._random.uniform(0, 4))
        return times

    def in_force_under_faults(self) -> list[float]:
        """Take them with a paused, a killed and a cut-off part each time."""
        world = self._world
        times: list[float] = []
        for number in range(self._settings.faults):
            first, second = self._random.sample(world.live_nodes(), 2)
            domain = self._random.choice(world.live_nodes()).instance.domain
            world.pause(first, PAUSE_S)
            world.kill(second)
            world.cut(domain, PLATFORM)
            world.run(self._random.uniform(0, 5))
            times.extend(self._spread_one())
            world.heal()
            world.start(f'new-{number}', second.instance.domain)
            world.run(WARM_UP_S)
        return times

    def store_is_out(self) -> list[float]:
        """Take the times from the end of an outage with a change after it."""
        world = self._world
        world.store.is_out = True
        world.run(60)
        world.store.is_out = False
        return self._spread_one()

    def detection(self) -> list[float]:
        """Take the times until all have missed a killed instance."""
        world = self._world
        times: list[float] = []
        for number in range(self._settings.faults):
            gone = self._random.choice(world.live_nodes())
            world.kill(gone)
            is_missed = partial(_is_missed, world, gone.instance.instance_id)
            times.append(world.run_until(is_missed, 60))
            world.start(f'again-{number}', gone.instance.domain)
            world.run(WARM_UP_S)
        return times

    def pauses(self) -> dict[str, float]:
        """Pause one instance at a time for 20 s."""
        world = self._world
        returns: list[float] = []
        others = 0
        for _ in range(self._settings.faults):
            node = self._random.choice(world.live_nodes())
            name = node.instance.instance_id
            before = len(world.live_nodes())
            _reset(world)
            world.pause(node, PAUSE_S)
            world.run(PAUSE_S)
            returns.append(world.run_until(partial(_sees_all, world), 60))
            others += _losses(world, name, before)
            world.run(WARM_UP_S)
        return {
            'return_max_s': max(returns),
            'others_dropped': others,
        }

    def regions(self, cut_s: float) -> dict[str, float]:
        """Cut the regions apart, and take how they find together again."""
        world = self._world
        names = {node.instance.domain for node in world.live_nodes()}
        for north in names:
            for south in names:
                if north.startswith('n') and south.startswith('s'):
                    world.cut(north, south)
        world.run(cut_s)
        apart = max(len(n.membership.live) for n in world.live_nodes())
        _reset(world)
        world.heal()
        took_s = world.run_until(lambda: _sees_all(world), 300)
        nodes = world.live_nodes()
        sent = [node.sent_bytes.total() for node in nodes]
        return {
            'cut_s': cut_s,
            'live_in_larger_half': apart,
            'recovered_s': took_s,
            'bytes_per_node': sum(sent) / len(sent),
            'bytes_max': max(sent),
        }

    def record_cost(self, everywhere: bool) -> dict[str, float]:
        """Share one record and take what that costs."""
        world = self._world
        world.run(1)
        _reset(world)
        record = SharedRecord(f'probe/{everywhere}', 1, lifetime_s=60)
        sender = world.live_nodes()[0]
        world.give(sender, ShareRecord(record, everywhere))
        world.run(0.5)
        domain = sender.instance.domain
        reached = [
            node
            for node in world.live_nodes()
            if everywhere or node.instance.domain == domain
        ]
        kind = 'RecordBatch'
        return {
            'sends_per_node': sum(n.sent[kind] for n in reached) / len(reached),
            'bytes_per_node': (
                sum(n.sent_bytes[kind] for n in reached) / len(reached)
            ),
        }

    def _commit(self) -> None:
        self._number += 1
        commit(self._world.store, small_change(self._number))

    def _spread_one(self) -> list[float]:
        world = self._world
        self._commit()
        begun_s = world.now_s
        revision = max(node.revision for node in world.live_nodes()) + 1
        waiting = {
            node.instance.instance_id: node
            for node in world.live_nodes()
            if not node.is_paused
        }
        world.run_until(lambda: _all_at(waiting.values(), revision), 120)
        return [
            _first_at(node, revision) - begun_s for node in waiting.values()
        ]


def measure_spread(settings: SpreadSettings, report: Report) -> None:
    """Measure all sizes, and report one line for each figure."""
    for nodes in settings.sizes:
        _measure_size(nodes, settings, report)


def _measure_size(nodes: int, settings: SpreadSettings, report: Report) -> None:
    in_force: list[float] = []
    under_faults: list[float] = []
    after_outage: list[float] = []
    detection: list[float] = []
    for seed in settings.seeds:
        run = SpreadRun(nodes, seed, settings)
        in_force.extend(run.in_force())
        under_faults.extend(run.in_force_under_faults())
        after_outage.extend(run.store_is_out())
        detection.extend(run.detection())
    run = SpreadRun(nodes, 0, settings)
    cut_s = LONG_CUT_S if nodes <= LONG_CUT_NODES else SHORT_CUT_S
    for name, figures in (
        ('steady', run.steady()),
        ('in force', _distribution(in_force)),
        ('in force under faults', _distribution(under_faults)),
        ('in force after an outage', _distribution(after_outage)),
        ('dead instance missed', _distribution(detection)),
        ('record everywhere', run.record_cost(everywhere=True)),
        ('record in domain', run.record_cost(everywhere=False)),
        ('paused for 20 s', run.pauses()),
        ('regions apart', run.regions(cut_s)),
    ):
        told = ' '.join(
            f'{key}={amount:.4g}' for key, amount in figures.items()
        )
        report(f'{nodes} nodes, {name}: {told}')


def _reset(world: World) -> None:
    world.store.calls.clear()
    for node in world.nodes.values():
        node.sent.clear()
        node.sent_bytes.clear()
        node.handling_s = 0
        node.coding_s = 0
        node.recorder.peers.clear()


def _ages(world: World) -> list[float]:
    ages = (
        node.configuration.knowledge_age_s(world.now_s)
        for node in world.live_nodes()
    )
    return [age_s for age_s in ages if age_s is not None]


def _all_at(nodes: Iterable[VirtualNode], revision: int) -> bool:
    return all(node.revision >= revision for node in nodes)


def _first_at(node: VirtualNode, revision: int) -> float:
    return next(
        (at_s for at_s, at in node.recorder.in_force if at >= revision),
        float('inf'),
    )


def _is_missed(world: World, name: InstanceId) -> bool:
    return all(name not in node.membership.live for node in world.live_nodes())


def _sees_all(world: World) -> bool:
    nodes = world.live_nodes()
    return all(len(node.membership.live) == len(nodes) for node in nodes)


def _losses(world: World, name: str, count: int) -> int:
    """Count the times that a node dropped another than the paused one."""
    return sum(
        1
        for node in world.live_nodes()
        for _, known in node.recorder.peers
        if len(known.live) < count - (name not in known.live)
    )


def _distribution(times: Sequence[float]) -> dict[str, float]:
    return {
        'count': len(times),
        'p50_s': _quantile(times, 0.5),
        'p99_s': _quantile(times, 0.99),
        'max_s': max(times),
    }


def _quantile(numbers: Sequence[float], share: float) -> float:
    ordered = sorted(numbers)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def main(arguments: Sequence[str]) -> None:
    """Measure the sizes that are named, or all."""
    sizes = tuple(int(argument) for argument in arguments) or SIZES
    measure_spread(
        SpreadSettings(sizes=sizes),
        lambda line: sys.stdout.write(f'{line}\n') and sys.stdout.flush(),
    )


if __name__ == '__main__':
    main(sys.argv[1:])
