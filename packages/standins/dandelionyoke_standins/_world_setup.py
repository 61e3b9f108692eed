"""A deployment in virtual time: nodes, engines, a configuration."""

import random
from collections.abc import Sequence

import attrs

from dandelionyoke_core import (
    ChangeId,
    Committed,
    Committer,
    Domain,
    Instance,
    InstanceId,
    Node,
    NodeSettings,
    Operation,
    Proposal,
    Started,
    StoreAnswered,
)
from dandelionyoke_standins._engine import EngineModel, EngineSettings
from dandelionyoke_standins._plain import PlainModel
from dandelionyoke_standins._targets import Target
from dandelionyoke_standins._world import World
from dandelionyoke_standins._world_store import perform_store
from dandelionyoke_standins._world_targets import VirtualEngine

# Two starts under one name are told apart by their second of start.
FIRST_INCARNATION = 1_000


@attrs.frozen
class EngineGroup:
    """Engines of one service; they are spread over the domains in turn."""

    service: str
    count: int
    settings: EngineSettings
    reclaimable: bool = False


@attrs.frozen
class DeploymentPlan:
    """What a virtual deployment consists of."""

    domains: Sequence[str] = ('kurasini', 'mikocheni', 'ubungo')
    entries: int = 6
    engines: Sequence[EngineGroup] = ()
    plain_services: Sequence[str] = ()


def deploy(world: World, plan: DeploymentPlan) -> tuple[InstanceId, ...]:
    """Start all of a plan; return the entries' names."""
    targets: list[Target] = []
    for group in plan.engines:
        targets.extend(_add_engines(world, group, plan.domains))
    for service in plan.plain_services:
        address = f'plain://{service}'
        world.plains[address] = PlainModel()
        targets.append(
            Target(f'{service}-0', service, plan.domains[0], address, 'plain')
        )
    world.platform.replace_targets(targets, [])
    return tuple(
        add_entry(world, number, plan.domains[number % len(plan.domains)])
        for number in range(plan.entries)
    )


def add_entry(
    world: World,
    number: int,
    domain: str,
    incarnation: int = FIRST_INCARNATION,
) -> InstanceId:
    """Start one entry."""
    instance_id = InstanceId(f'entry-{number:03}')
    instance = Instance(
        instance_id,
        Domain(domain),
        f'http://{instance_id}',
        f'ws://{instance_id}',
    )
    seed = world.random.getrandbits(64)
    settings = NodeSettings(instance, incarnation)
    node = Node(settings, random.Random(seed))
    world.add_node(instance, node)
    world.send(instance_id, Started(wall_s=0))
    return instance_id


def commit(
    world: World, operations: Sequence[Operation], name: str = 'change'
) -> int:
    """Commit a change at once; return its revision."""
    committer = Committer(
        Proposal(ChangeId(name), None, 'operator', name, 0, tuple(operations))
    )
    waiting = list(committer.begin())
    while waiting:
        action = waiting.pop(0)
        stored = perform_store(world.platform, action, world.now_s)
        operation_id = action.operation_id  # type: ignore[attr-defined]
        event = StoreAnswered(operation_id, stored)
        waiting.extend(committer.handle(event, world.now_s))
    world.tell_watches()
    outcome = committer.outcome
    if not isinstance(outcome, Committed):
        raise ValueError(f'{name} was not committed: {outcome!r}')
    return outcome.change.revision


def _add_engines(
    world: World, group: EngineGroup, domains: Sequence[str]
) -> list[Target]:
    targets = []
    for number in range(group.count):
        target_id = f'{group.service}-{number:03}'
        domain = domains[number % len(domains)]
        address = f'engine://{target_id}'
        settings = attrs.evolve(group.settings, engine_id=target_id)
        chance = random.Random(world.random.getrandbits(64))
        model = EngineModel(settings, chance, world.now_s)
        world.add_engine(address, VirtualEngine(model), domain)
        targets.append(
            Target(
                target_id,
                group.service,
                domain,
                address,
                'engine',
                group.reclaimable,
            )
        )
    return targets
