"""The scenarios that both deployments are run through."""

from collections.abc import Mapping
from types import MappingProxyType

from dandelionyoke_core import Domain, OrganisationId, ServiceName
from dandelionyoke_standins._policy_deployments import AFORO, MWAKILEMA
from dandelionyoke_standins._policy_engine import SimulatedEngineSettings
from dandelionyoke_standins._policy_runs import Fault, Scenario
from dandelionyoke_standins._policy_workload import (
    Demand,
    Deployment,
    Phase,
)
from dandelionyoke_standins._policy_world import Simulation

RECLAIM_NOTICE_S = 5.0
SURGE_FACTOR = 10.0
SLOW_ENGINE_FACTOR = 0.6
SWING_PHASE_ENDS_S = (60.0, 150.0, 210.0)

# Calls per second of each class before, during and after a swing of the
# demand between classes.
SWING_RATES: Mapping[str, tuple[Mapping[str, float], ...]] = MappingProxyType(
    {
        MWAKILEMA.name: (
            {'history': 3, 'van-load': 4, 'roadside': 12, 'confirm': 6},
            {'history': 18, 'van-load': 6, 'roadside': 3, 'confirm': 12},
            {'history': 2, 'van-load': 4, 'roadside': 18, 'confirm': 4},
        ),
        AFORO.name: (
            {'reconciliation': 0.6, 'lookup': 10, 'question': 12, 'invoice': 4},
            {'reconciliation': 4, 'lookup': 8, 'question': 3, 'invoice': 6},
            {'reconciliation': 0.4, 'lookup': 10, 'question': 16, 'invoice': 3},
        ),
    }
)


def scenarios() -> list[Scenario]:
    """Return all scenarios of both users' deployments."""
    return [
        scenario
        for deployment in (MWAKILEMA, AFORO)
        for scenario in _scenarios_of(deployment)
    ]


def _scenarios_of(deployment: Deployment) -> list[Scenario]:
    swing = _swing(deployment)
    engine_service = deployment.groups[0].service
    first_domain = deployment.domains()[0]
    second_domain = deployment.domains()[1]
    # The second smallest organisation demands far more than its fair share.
    greedy = deployment.customers[-2].organisation.organisation_id
    return [
        Scenario('swing', deployment, swing),
        Scenario(
            'swing and crash',
            deployment,
            swing,
            ((100, _crash(engine_service)),),
        ),
        Scenario(
            'reclaim', deployment, swing, ((110, _reclaim(first_domain)),)
        ),
        Scenario(
            'cut',
            deployment,
            _constant_demand(deployment),
            ((60, _isolate_domain(second_domain)), (120, _reconnect_domains)),
        ),
        Scenario('greedy', deployment, _constant_demand(deployment, greedy)),
        Scenario(
            'slow engines',
            deployment,
            _scaled(swing, SLOW_ENGINE_FACTOR),
            engine=_slow_engines(),
        ),
    ]


def _swing(deployment: Deployment) -> Demand:
    rates = SWING_RATES[deployment.name]
    return Demand(
        tuple(
            Phase(until_s, phase_rates)
            for until_s, phase_rates in zip(
                SWING_PHASE_ENDS_S, rates, strict=True
            )
        )
    )


def _constant_demand(
    deployment: Deployment, greedy: OrganisationId | None = None
) -> Demand:
    """Return the mean of the first two phases of the swing.

    The greedy organisation, if any, demands ten times its usual share.
    """
    first, second, _ = SWING_RATES[deployment.name]
    mean = {name: (first[name] + second[name]) / 2 for name in first}
    surges = {} if greedy is None else {greedy: SURGE_FACTOR}
    return Demand((Phase(SWING_PHASE_ENDS_S[1], mean),), surges)


def _scaled(demand: Demand, factor: float) -> Demand:
    phases = tuple(
        Phase(
            phase.until_s,
            {name: rate * factor for name, rate in phase.calls_per_s.items()},
        )
        for phase in demand.phases
    )
    return Demand(phases, demand.surges)


def _slow_engines() -> SimulatedEngineSettings:
    """Return settings of engines that are slower than the system expects."""
    usual = SimulatedEngineSettings()
    return SimulatedEngineSettings(
        prefill_tokens_per_s=usual.prefill_tokens_per_s * SLOW_ENGINE_FACTOR,
        decode_tokens_per_s=usual.decode_tokens_per_s * SLOW_ENGINE_FACTOR,
    )


def _crash(service: ServiceName) -> Fault:
    def inject(simulation: Simulation) -> None:
        simulated_target = next(
            simulated_target
            for simulated_target in simulation.platform.live(
                simulation.clock.now_s
            )
            if simulated_target.target.service == service
        )
        simulation.targets.crash(simulated_target)

    return inject


def _reclaim(domain: Domain) -> Fault:
    def inject(simulation: Simulation) -> None:
        simulation.targets.reclaim(domain, RECLAIM_NOTICE_S)

    return inject


def _isolate_domain(domain: Domain) -> Fault:
    def inject(simulation: Simulation) -> None:
        simulation.targets.isolate_domain(domain)

    return inject


def _reconnect_domains(simulation: Simulation) -> None:
    simulation.targets.reconnect_domains()
