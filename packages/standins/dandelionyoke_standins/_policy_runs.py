"""One run of a scenario: nodes, world, faults, and the figures of it."""

from collections.abc import Callable
from functools import partial
from random import Random

import attrs

from dandelionyoke_core import (
    AdmissionPart,
    AdmissionSettings,
    Composition,
    Domain,
    FleetPart,
    FleetSettings,
    InstanceId,
    RoutingPart,
    RoutingSettings,
    Service,
    ServiceKind,
    Snapshot,
)
from dandelionyoke_standins._policy_caller import Caller
from dandelionyoke_standins._policy_engine import EngineFakeSettings
from dandelionyoke_standins._policy_ledger import Ledger
from dandelionyoke_standins._policy_naive import NaiveAdmitter, NaiveRouter
from dandelionyoke_standins._policy_nodes import NodeBox
from dandelionyoke_standins._policy_orders import OrdersPart
from dandelionyoke_standins._policy_peers import PeersFake, Spreader
from dandelionyoke_standins._policy_platform import PlatformFake
from dandelionyoke_standins._policy_workload import (
    Call,
    Demand,
    Deployment,
    arrivals,
)
from dandelionyoke_standins._policy_world import World

SETTLE_S = 3.0
END_S = 65.0

Fault = Callable[[World], None]


@attrs.frozen
class Scenario:
    """A demand, and what goes wrong when."""

    name: str
    deployment: Deployment
    demand: Demand
    faults: tuple[tuple[float, Fault], ...] = ()
    engine: EngineFakeSettings = attrs.field(factory=EngineFakeSettings)


@attrs.frozen
class Run:
    """What a run leaves behind."""

    scenario: Scenario
    ledger: Ledger
    world: World


@attrs.frozen
class ConfigurationViewFake:
    """A configuration that never changes."""

    snapshot: Snapshot

    def knowledge_age_s(self, now_s: float) -> float | None:
        """Always fresh."""
        return 0


def snapshot_of(deployment: Deployment) -> Snapshot:
    """Write a deployment down as a configuration."""
    kinds = {group.service: group.plain for group in deployment.groups}
    return Snapshot(
        revision=1,
        organisations={
            customer.organisation.organisation_id: customer.organisation
            for customer in deployment.customers
        },
        services={
            name: Service(
                name,
                ServiceKind.PLAIN if plain else ServiceKind.ENGINE,
                0 if plain else deployment.reclaimable_share,
            )
            for name, plain in kinds.items()
        },
    )


def system_node(
    deployment: Deployment,
    domain: Domain,
    instance_id: InstanceId,
    peers: PeersFake,
    ledger: Ledger,
) -> Composition:
    """Put a node of the system together."""
    configuration_view = ConfigurationViewFake(snapshot_of(deployment))
    routing = RoutingPart(
        RoutingSettings(),
        configuration_view,
        peers,
        domain,
        instance_id,
        Random(instance_id),
    )
    admission = AdmissionPart(
        AdmissionSettings(), configuration_view, peers, routing, instance_id
    )
    caller = Caller(admission, routing, ledger)
    fleet = FleetPart(
        FleetSettings(), configuration_view, routing, admission, domain
    )
    return Composition(
        (routing, admission, caller, Spreader(), fleet, OrdersPart())
    )


def naive_node(
    deployment: Deployment,
    domain: Domain,
    instance_id: InstanceId,
    peers: PeersFake,
    ledger: Ledger,
) -> Composition:
    """Put a node of the naive version together."""
    router = NaiveRouter()
    admitter = NaiveAdmitter(router, sum(deployment.entries.values()))
    caller = Caller(admitter, router, ledger)
    return Composition((router, admitter, caller))


NodeMaker = Callable[
    [Deployment, Domain, InstanceId, PeersFake, Ledger], Composition
]


def run(scenario: Scenario, make: NodeMaker, seed: int) -> Run:
    """Run a scenario to its end."""
    deployment = scenario.deployment
    ledger = Ledger()
    platform = PlatformFake(deployment, scenario.engine)
    world = World(platform, ledger)
    world.start(_boxes(deployment, make, ledger))
    for call in arrivals(deployment, scenario.demand, seed):
        world.clock.at(
            call.arrived_s + SETTLE_S,
            partial(world.arrive, _later(call, SETTLE_S)),
        )
    for at_s, fault in scenario.faults:
        world.clock.at(at_s + SETTLE_S, partial(fault, world))
    world.clock.run(scenario.demand.duration_s + SETTLE_S + END_S)
    return Run(scenario, ledger, world)


def _later(call: Call, by_s: float) -> Call:
    return attrs.evolve(call, arrived_s=call.arrived_s + by_s)


def _boxes(
    deployment: Deployment, make: NodeMaker, ledger: Ledger
) -> list[NodeBox]:
    places = [
        (InstanceId(f'entry-{domain}-{number}'), domain)
        for domain, count in deployment.entries.items()
        for number in range(count)
    ]
    boxes = []
    for name, domain in places:
        peers = PeersFake((), ())
        peers.learn(
            tuple(other for other, _ in places),
            tuple(other for other, where in places if where == domain),
        )
        node = make(deployment, domain, name, peers, ledger)
        boxes.append(NodeBox(name, domain, peers, node))
    return boxes
