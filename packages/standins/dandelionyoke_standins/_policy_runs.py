"""Setup and run of a scenario with nodes of the system or the baseline."""

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
from dandelionyoke_standins._policy_caller import CallPart
from dandelionyoke_standins._policy_engine import SimulatedEngineSettings
from dandelionyoke_standins._policy_ledger import Ledger
from dandelionyoke_standins._policy_naive import NaiveAdmitter, NaiveRouter
from dandelionyoke_standins._policy_nodes import SimulatedNode
from dandelionyoke_standins._policy_orders import OrdersPart
from dandelionyoke_standins._policy_peers import BroadcastPart, SimulatedPeers
from dandelionyoke_standins._policy_platform import SimulatedPlatform
from dandelionyoke_standins._policy_workload import (
    Call,
    Demand,
    Deployment,
    generate_calls,
)
from dandelionyoke_standins._policy_world import Simulation

WARM_UP_S = 3.0
# Longer than the deadline of every call class.
DRAIN_S = 65.0

Fault = Callable[[Simulation], None]


@attrs.frozen
class Scenario:
    """A deployment with a demand and timed faults.

    The time of each fault is in seconds after the warm-up.
    """

    name: str
    deployment: Deployment
    demand: Demand
    faults: tuple[tuple[float, Fault], ...] = ()
    engine: SimulatedEngineSettings = attrs.field(
        factory=SimulatedEngineSettings
    )


@attrs.frozen
class Run:
    """A finished run with its ledger and the state of the simulation."""

    scenario: Scenario
    ledger: Ledger
    simulation: Simulation


@attrs.frozen
class StaticConfigurationView:
    """A configuration that never changes."""

    snapshot: Snapshot

    def knowledge_age_s(self, now_s: float) -> float | None:
        """Return zero: the configuration is never stale."""
        return 0


def make_snapshot(deployment: Deployment) -> Snapshot:
    """Make the configuration snapshot of a deployment."""
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
    peers: SimulatedPeers,
    ledger: Ledger,
) -> Composition:
    """Compose a node of the system."""
    configuration_view = StaticConfigurationView(make_snapshot(deployment))
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
    calls = CallPart(admission, routing, ledger)
    fleet = FleetPart(
        FleetSettings(), configuration_view, routing, admission, domain
    )
    return Composition(
        (routing, admission, calls, BroadcastPart(), fleet, OrdersPart())
    )


def naive_node(
    deployment: Deployment,
    domain: Domain,
    instance_id: InstanceId,
    peers: SimulatedPeers,
    ledger: Ledger,
) -> Composition:
    """Compose a node of the naive baseline."""
    router = NaiveRouter()
    admitter = NaiveAdmitter(router, sum(deployment.entries.values()))
    calls = CallPart(admitter, router, ledger)
    return Composition((router, admitter, calls))


NodeFactory = Callable[
    [Deployment, Domain, InstanceId, SimulatedPeers, Ledger], Composition
]


def run(scenario: Scenario, make_node: NodeFactory, seed: int) -> Run:
    """Run a scenario until all its calls have ended."""
    deployment = scenario.deployment
    ledger = Ledger()
    platform = SimulatedPlatform(deployment, scenario.engine)
    simulation = Simulation(platform, ledger)
    simulation.start(_make_nodes(deployment, make_node, ledger))
    for call in generate_calls(deployment, scenario.demand, seed):
        simulation.clock.call_at(
            call.arrived_s + WARM_UP_S,
            partial(simulation.start_call, _delayed(call, WARM_UP_S)),
        )
    for at_s, fault in scenario.faults:
        simulation.clock.call_at(at_s + WARM_UP_S, partial(fault, simulation))
    simulation.clock.run(scenario.demand.duration_s + WARM_UP_S + DRAIN_S)
    return Run(scenario, ledger, simulation)


def _delayed(call: Call, delay_s: float) -> Call:
    return attrs.evolve(call, arrived_s=call.arrived_s + delay_s)


def _make_nodes(
    deployment: Deployment, make_node: NodeFactory, ledger: Ledger
) -> list[SimulatedNode]:
    entries = [
        (InstanceId(f'entry-{domain}-{number}'), domain)
        for domain, count in deployment.entries.items()
        for number in range(count)
    ]
    nodes = []
    for name, domain in entries:
        peers = SimulatedPeers((), ())
        peers.learn(
            tuple(other for other, _ in entries),
            tuple(other for other, place in entries if place == domain),
        )
        composition = make_node(deployment, domain, name, peers, ledger)
        nodes.append(SimulatedNode(name, domain, peers, composition))
    return nodes
