"""Fakes shared by the tests of routing, admission and the fleet part."""

from random import Random

import attrs

from dandelionyoke_core import (
    AdmissionPart,
    AdmissionSettings,
    CallForecast,
    Domain,
    InstanceId,
    Organisation,
    OrganisationId,
    RequestId,
    RouteRequirements,
    RoutingPart,
    RoutingSettings,
    Service,
    ServiceCapacity,
    ServiceName,
    Snapshot,
    Started,
    Target,
    TargetId,
    TargetsListed,
    Ticket,
    WorkSize,
)

SERVICE = ServiceName('route-assistant')
HOME = Domain('kurasini')
AWAY = Domain('ubungo')


def entry(number: int) -> InstanceId:
    return InstanceId(f'entry-{number:03}')


HERE = entry(0)


@attrs.define
class FixedConfigurationView:
    snapshot: Snapshot = Snapshot()

    def knowledge_age_s(self, now_s: float) -> float | None:
        return 0


@attrs.define
class FixedPeers:
    live: tuple[InstanceId, ...] = (HERE,)
    live_in_domain: tuple[InstanceId, ...] = (HERE,)


@attrs.define
class FixedCapacity:
    """A fixed number of slots; each call takes `run_s`."""

    slots: float = 1e9
    can_start: bool = True
    run_s: float = 1

    def capacity(self, service: ServiceName, now_s: float) -> ServiceCapacity:
        return ServiceCapacity(1, self.slots)

    def forecast(
        self, service: ServiceName, size: WorkSize, now_s: float
    ) -> CallForecast | None:
        if not self.slots:
            return None
        return CallForecast(self.can_start, 0.1, self.run_s, self.run_s)


def make_configuration_view(**fields: object) -> FixedConfigurationView:
    service = Service(SERVICE, **fields)
    return FixedConfigurationView(
        Snapshot(revision=1, services={SERVICE: service})
    )


def make_targets(count: int, **fields: object) -> tuple[Target, ...]:
    given = {'service': SERVICE, 'domain': HOME, **fields}
    return tuple(
        Target(target_id=TargetId(f't{n}'), address=f'10.0.0.{n}:80', **given)
        for n in range(count)
    )


def make_routing(
    targets: tuple[Target, ...],
    *,
    peers: FixedPeers | None = None,
    share: float = 1.0,
    here: InstanceId = HERE,
    seed: int = 1,
    settings: RoutingSettings | None = None,
) -> RoutingPart:
    part = RoutingPart(
        settings or RoutingSettings(),
        make_configuration_view(reclaimable_share=share),
        peers or FixedPeers(),
        HOME,
        here,
        Random(seed),
    )
    part.handle(Started(0), 0)
    part.handle(TargetsListed(targets), 0)
    return part


def make_requirements(**fields: object) -> RouteRequirements:
    given = {'prompt_tokens': 100, 'max_output_tokens': 100, **fields}
    return RouteRequirements(OrganisationId('duka'), SERVICE, **given)


def make_admission(
    capacity: FixedCapacity,
    *,
    peers: FixedPeers | None = None,
    here: InstanceId = HERE,
    **settings: object,
) -> AdmissionPart:
    part = AdmissionPart(
        AdmissionSettings(slot_margin=1, **settings),
        FixedConfigurationView(),
        peers or FixedPeers(),
        capacity,
        here,
    )
    part.handle(Started(0), 0)
    return part


def make_ticket(
    name: object,
    organisation: str = 'duka',
    *,
    now_s: float = 0,
    limits: dict[str, object] | None = None,
    **fields: object,
) -> Ticket:
    given = {'prompt_tokens': 100, 'max_output_tokens': 10, **fields}
    unlimited = {
        'tokens_per_s': 10**9,
        'requests_per_s': 10**9,
        'concurrent_requests': 10**9,
    }
    return Ticket(
        RequestId(str(name)),
        Organisation(
            OrganisationId(organisation), **{**unlimited, **(limits or {})}
        ),
        SERVICE,
        arrived_s=now_s,
        **given,
    )
