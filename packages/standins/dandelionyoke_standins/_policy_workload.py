"""Who calls what and when: the two users' deployments, with fixed seeds."""

from collections.abc import Iterator, Mapping
from random import Random

import attrs

from dandelionyoke_core import (
    BLOCK_TOKENS,
    Domain,
    Organisation,
    OrganisationId,
    RequestId,
    ServiceName,
)

MAX_OUTPUT_FACTOR = 2
SPREAD = 0.4


@attrs.frozen
class CallClass:
    """Calls of one kind.

    `shared_tokens` of the prompt are the same for all calls about one of
    the organisation's `documents`.
    """

    name: str
    service: ServiceName
    prompt_tokens: int
    output_tokens: int
    deadline_s: float
    shared_tokens: int = 0
    documents: int = 1
    steady: bool = False


@attrs.frozen
class Customer:
    """An organisation and its part of the demand."""

    organisation: Organisation
    demand: float


@attrs.frozen
class TargetGroup:
    """The targets of one service in one domain."""

    service: ServiceName
    domain: Domain
    steady: int
    reclaimable: int = 0
    plain: bool = False


@attrs.frozen
class Deployment:
    """One user's customers, calls, entries and targets."""

    name: str
    entries: Mapping[Domain, int]
    groups: tuple[TargetGroup, ...]
    customers: tuple[Customer, ...]
    classes: tuple[CallClass, ...]
    reclaimable_share: float

    def domains(self) -> tuple[Domain, ...]:
        """Name the failure domains."""
        return tuple(self.entries)


@attrs.frozen
class Phase:
    """Calls a second of each class, until a time."""

    until_s: float
    rates: Mapping[str, float]


@attrs.frozen
class Call:
    """One call as it will come."""

    request_id: RequestId
    customer: Customer
    kind: CallClass
    arrived_s: float
    prompt_tokens: int
    output_tokens: int
    entry: int
    names: tuple[str, ...] = attrs.field(repr=False)

    @property
    def max_output_tokens(self) -> int:
        """What the caller asks for at most; it knows no better."""
        return self.kind.output_tokens * MAX_OUTPUT_FACTOR

    @property
    def deadline_s(self) -> float:
        """When the caller stops waiting."""
        return self.arrived_s + self.kind.deadline_s


@attrs.frozen
class Demand:
    """The phases, and who asks for how many times its usual share."""

    phases: tuple[Phase, ...]
    surges: Mapping[OrganisationId, float] = attrs.field(factory=dict)

    @property
    def duration_s(self) -> float:
        """When the last call may come."""
        return self.phases[-1].until_s


def arrivals(
    deployment: Deployment, demand: Demand, seed: int
) -> Iterator[Call]:
    """Give the calls in order; the same for the same seed."""
    maker = _CallMaker(deployment, demand, Random(seed))
    at_s = 0.0
    for phase in demand.phases:
        yield from maker.calls(phase, at_s)
        at_s = phase.until_s


class _CallMaker:
    def __init__(
        self, deployment: Deployment, demand: Demand, random: Random
    ) -> None:
        self._customers = deployment.customers
        self._kinds = {kind.name: kind for kind in deployment.classes}
        self._entries = sum(deployment.entries.values())
        self._weights = _weights(deployment, demand)
        self._random = random
        self._number = 0

    def calls(self, phase: Phase, from_s: float) -> Iterator[Call]:
        usual = sum(customer.demand for customer in self._customers)
        surge = sum(self._weights) / usual
        per_s = surge * sum(phase.rates.values())
        at_s = from_s + self._random.expovariate(per_s)
        while at_s < phase.until_s:
            yield self._call(phase, at_s)
            at_s += self._random.expovariate(per_s)

    def _call(self, phase: Phase, at_s: float) -> Call:
        random = self._random
        self._number += 1
        customer = random.choices(self._customers, self._weights)[0]
        rates = phase.rates
        name = random.choices(tuple(rates), tuple(rates.values()))[0]
        kind = self._kinds[name]
        own_tokens = kind.prompt_tokens - kind.shared_tokens
        return Call(
            request_id=RequestId(f'r{self._number}'),
            customer=customer,
            kind=kind,
            arrived_s=at_s,
            prompt_tokens=kind.shared_tokens + self._around(own_tokens),
            output_tokens=max(1, self._around(kind.output_tokens)),
            entry=random.randrange(self._entries),
            names=self._names(customer, kind),
        )

    def _names(self, customer: Customer, kind: CallClass) -> tuple[str, ...]:
        document = self._random.randrange(kind.documents)
        owner = customer.organisation.organisation_id
        blocks = kind.shared_tokens // BLOCK_TOKENS
        return tuple(
            f'{owner}/{kind.name}/{document}/{block}' for block in range(blocks)
        )

    def _around(self, tokens: int) -> int:
        return round(tokens * self._random.uniform(1 - SPREAD, 1 + SPREAD))


def _weights(deployment: Deployment, demand: Demand) -> list[float]:
    return [
        customer.demand
        * demand.surges.get(customer.organisation.organisation_id, 1)
        for customer in deployment.customers
    ]
