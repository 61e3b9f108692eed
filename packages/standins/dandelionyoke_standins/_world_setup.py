"""Setup of a simulated deployment: nodes, targets and a configuration."""

import random
from collections.abc import Callable, Sequence

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
    StoreResponded,
)
from dandelionyoke_standins._engine import EngineModel, EngineSettings
from dandelionyoke_standins._node_simulation import NodeHandler, NodeSimulation
from dandelionyoke_standins._plain import PlainModel
from dandelionyoke_standins._targets import Target
from dandelionyoke_standins._world_store import perform_store
from dandelionyoke_standins._world_targets import VirtualEngine

# An incarnation tells the starts of one instance apart; real nodes use the
# second of their start.
FIRST_INCARNATION = 1_000


@attrs.frozen
class EngineGroup:
    """Engines of one service, assigned to the domains in round-robin order."""

    service: str
    count: int
    settings: EngineSettings
    reclaimable: bool = False


@attrs.frozen
class DeploymentPlan:
    """The domains, number of entries and targets of a deployment."""

    domains: Sequence[str] = ('kurasini', 'mikocheni', 'ubungo')
    entries: int = 6
    engines: Sequence[EngineGroup] = ()
    plain_services: Sequence[str] = ()


def deploy(
    simulation: NodeSimulation,
    plan: DeploymentPlan,
    wrap_node: Callable[[NodeHandler], NodeHandler] | None = None,
) -> tuple[InstanceId, ...]:
    """Start the targets and entries of a plan; return the instance IDs.

    `wrap_node` may wrap each node, for example in a meter.
    """
    targets: list[Target] = []
    for group in plan.engines:
        targets.extend(_add_engines(simulation, group, plan.domains))
    for service in plan.plain_services:
        address = f'plain://{service}'
        simulation.plain_services[address] = PlainModel()
        targets.append(
            Target(f'{service}-0', service, plan.domains[0], address, 'plain')
        )
    simulation.platform.replace_targets(targets, [])
    return tuple(
        add_entry(
            simulation,
            number,
            plan.domains[number % len(plan.domains)],
            wrap_node=wrap_node,
        )
        for number in range(plan.entries)
    )


def add_entry(
    simulation: NodeSimulation,
    number: int,
    domain: str,
    incarnation: int = FIRST_INCARNATION,
    wrap_node: Callable[[NodeHandler], NodeHandler] | None = None,
) -> InstanceId:
    """Start one entry."""
    instance_id = InstanceId(f'entry-{number:03}')
    instance = Instance(
        instance_id,
        Domain(domain),
        f'http://{instance_id}',
        f'ws://{instance_id}',
    )
    seed = simulation.random.getrandbits(64)
    settings = NodeSettings(instance, incarnation)
    node = Node(settings, random.Random(seed))
    simulation.add_node(
        instance, node if wrap_node is None else wrap_node(node)
    )
    simulation.deliver(instance_id, Started(wall_s=0))
    return instance_id


def commit(
    simulation: NodeSimulation,
    operations: Sequence[Operation],
    name: str = 'change',
) -> int:
    """Commit a change without delay; return its revision.

    Raises ValueError when the change is not committed.
    """
    committer = Committer(
        Proposal(ChangeId(name), None, 'operator', name, 0, tuple(operations))
    )
    pending = list(committer.begin())
    while pending:
        action = pending.pop(0)
        result = perform_store(simulation.platform, action, simulation.now_s)
        operation_id = action.operation_id  # type: ignore[attr-defined]
        event = StoreResponded(operation_id, result)
        pending.extend(committer.handle(event, simulation.now_s))
    simulation.answer_watches()
    outcome = committer.outcome
    if not isinstance(outcome, Committed):
        raise ValueError(f'{name} was not committed: {outcome!r}')
    return outcome.change.revision


def _add_engines(
    simulation: NodeSimulation, group: EngineGroup, domains: Sequence[str]
) -> list[Target]:
    targets = []
    for number in range(group.count):
        target_id = f'{group.service}-{number:03}'
        domain = domains[number % len(domains)]
        address = f'engine://{target_id}'
        settings = attrs.evolve(group.settings, engine_id=target_id)
        engine_random = random.Random(simulation.random.getrandbits(64))
        model = EngineModel(settings, engine_random, simulation.now_s)
        simulation.add_engine(address, VirtualEngine(model), domain)
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
