"""What the deployments go through."""

from collections.abc import Mapping
from types import MappingProxyType

from dandelionyoke_core import Domain, OrganisationId, ServiceName
from dandelionyoke_standins._policy_deployments import AFORO, MWAKILEMA
from dandelionyoke_standins._policy_engine import EngineFakeSettings
from dandelionyoke_standins._policy_runs import Fault, Scenario
from dandelionyoke_standins._policy_workload import (
    Demand,
    Deployment,
    Phase,
)
from dandelionyoke_standins._policy_world import World

RECLAIM_NOTICE_S = 5.0
SURGE = 10.0
SLOW = 0.6
SWING_S = (60.0, 150.0, 210.0)

# Calls a second of each class: before, through and after a swing.
RATES: Mapping[str, tuple[Mapping[str, float], ...]] = MappingProxyType(
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
    """All scenarios of both users."""
    return [
        scenario
        for deployment in (MWAKILEMA, AFORO)
        for scenario in _scenarios_of(deployment)
    ]


def _scenarios_of(deployment: Deployment) -> list[Scenario]:
    swing = _swing(deployment)
    engines = deployment.groups[0].service
    home = deployment.domains()[0]
    away = deployment.domains()[1]
    # The smallest but one: it asks for far more than its fair part.
    greedy = deployment.customers[-2].organisation.organisation_id
    return [
        Scenario('swing', deployment, swing),
        Scenario(
            'swing and crash', deployment, swing, ((100, _crash(engines)),)
        ),
        Scenario('reclaim', deployment, swing, ((110, _reclaim(home)),)),
        Scenario(
            'cut',
            deployment,
            _steady(deployment),
            ((60, _cut(away)), (120, _heal)),
        ),
        Scenario('greedy', deployment, _steady(deployment, greedy)),
        Scenario(
            'slow engines', deployment, _scaled(swing, SLOW), engine=_slow()
        ),
    ]


def _swing(deployment: Deployment) -> Demand:
    rates = RATES[deployment.name]
    return Demand(
        tuple(
            Phase(until_s, part)
            for until_s, part in zip(SWING_S, rates, strict=True)
        )
    )


def _steady(
    deployment: Deployment, greedy: OrganisationId | None = None
) -> Demand:
    """A mean of the swing, perhaps with one who asks for ten times."""
    first, second, _ = RATES[deployment.name]
    mean = {name: (first[name] + second[name]) / 2 for name in first}
    surges = {} if greedy is None else {greedy: SURGE}
    return Demand((Phase(SWING_S[1], mean),), surges)


def _scaled(demand: Demand, factor: float) -> Demand:
    phases = tuple(
        Phase(
            phase.until_s,
            {name: rate * factor for name, rate in phase.rates.items()},
        )
        for phase in demand.phases
    )
    return Demand(phases, demand.surges)


def _slow() -> EngineFakeSettings:
    """Engines slower than any setting of the system says."""
    usual = EngineFakeSettings()
    return EngineFakeSettings(
        prefill_tokens_per_s=usual.prefill_tokens_per_s * SLOW,
        decode_tokens_per_s=usual.decode_tokens_per_s * SLOW,
    )


def _crash(service: ServiceName) -> Fault:
    def strike(world: World) -> None:
        box = next(
            box
            for box in world.platform.live(world.clock.now_s)
            if box.target.service == service
        )
        world.targets.crash(box)

    return strike


def _reclaim(domain: Domain) -> Fault:
    def strike(world: World) -> None:
        world.targets.reclaim(domain, RECLAIM_NOTICE_S)

    return strike


def _cut(domain: Domain) -> Fault:
    def strike(world: World) -> None:
        world.targets.cut(domain)

    return strike


def _heal(world: World) -> None:
    world.targets.heal()
