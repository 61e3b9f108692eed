"""Descriptions of deployments and demand, and the calls that follow.

The same seed gives the same calls.
"""

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
LENGTH_VARIATION = 0.4


@attrs.frozen
class CallClass:
    """A class of similar calls.

    `shared_tokens` of the prompt are a prefix that all calls about one of the
    organisation's `documents` share. Calls with `requires_on_demand` must not
    run on reclaimable targets.
    """

    name: str
    service: ServiceName
    prompt_tokens: int
    output_tokens: int
    deadline_s: float
    shared_tokens: int = 0
    documents: int = 1
    requires_on_demand: bool = False


@attrs.frozen
class Customer:
    """An organisation and its share of the demand."""

    organisation: Organisation
    demand_share: float


@attrs.frozen
class TargetGroup:
    """The targets of one service in one domain."""

    service: ServiceName
    domain: Domain
    on_demand_count: int
    reclaimable_count: int = 0
    plain: bool = False


@attrs.frozen
class Deployment:
    """The entries, targets, customers and call classes of one user."""

    name: str
    entries: Mapping[Domain, int]
    groups: tuple[TargetGroup, ...]
    customers: tuple[Customer, ...]
    classes: tuple[CallClass, ...]
    reclaimable_share: float

    def domains(self) -> tuple[Domain, ...]:
        """Return the failure domains."""
        return tuple(self.entries)


@attrs.frozen
class Phase:
    """Calls per second of each class up to a time."""

    until_s: float
    calls_per_s: Mapping[str, float]


@attrs.frozen
class Call:
    """One call with its arrival time and length.

    `entry` is the index of the node that receives it.
    """

    request_id: RequestId
    customer: Customer
    call_class: CallClass
    arrived_s: float
    prompt_tokens: int
    output_tokens: int
    entry: int
    shared_blocks: tuple[str, ...] = attrs.field(repr=False)

    @property
    def max_output_tokens(self) -> int:
        """Output limit of the request; callers overestimate the length."""
        return self.call_class.output_tokens * MAX_OUTPUT_FACTOR

    @property
    def deadline_s(self) -> float:
        """Time at which the caller stops waiting."""
        return self.arrived_s + self.call_class.deadline_s


@attrs.frozen
class Demand:
    """The phases of the demand.

    `surges` maps organisations to a multiple of their usual share.
    """

    phases: tuple[Phase, ...]
    surges: Mapping[OrganisationId, float] = attrs.field(factory=dict)

    @property
    def duration_s(self) -> float:
        """Time after which no call arrives."""
        return self.phases[-1].until_s


def generate_calls(
    deployment: Deployment, demand: Demand, seed: int
) -> Iterator[Call]:
    """Generate the calls in order of arrival, the same for the same seed."""
    generator = _CallGenerator(deployment, demand, Random(seed))
    at_s = 0.0
    for phase in demand.phases:
        yield from generator.calls(phase, at_s)
        at_s = phase.until_s


class _CallGenerator:
    def __init__(
        self, deployment: Deployment, demand: Demand, random: Random
    ) -> None:
        self._customers = deployment.customers
        self._classes = {
            call_class.name: call_class for call_class in deployment.classes
        }
        self._entries = sum(deployment.entries.values())
        self._weights = _weights(deployment, demand)
        self._random = random
        self._number = 0

    def calls(self, phase: Phase, from_s: float) -> Iterator[Call]:
        total_share = sum(customer.demand_share for customer in self._customers)
        surge_factor = sum(self._weights) / total_share
        total_per_s = surge_factor * sum(phase.calls_per_s.values())
        at_s = from_s + self._random.expovariate(total_per_s)
        while at_s < phase.until_s:
            yield self._call(phase, at_s)
            at_s += self._random.expovariate(total_per_s)

    def _call(self, phase: Phase, at_s: float) -> Call:
        random = self._random
        self._number += 1
        customer = random.choices(self._customers, self._weights)[0]
        calls_per_s = phase.calls_per_s
        name = random.choices(tuple(calls_per_s), tuple(calls_per_s.values()))[
            0
        ]
        call_class = self._classes[name]
        own_tokens = call_class.prompt_tokens - call_class.shared_tokens
        return Call(
            request_id=RequestId(f'r{self._number}'),
            customer=customer,
            call_class=call_class,
            arrived_s=at_s,
            prompt_tokens=call_class.shared_tokens + self._vary(own_tokens),
            output_tokens=max(1, self._vary(call_class.output_tokens)),
            entry=random.randrange(self._entries),
            shared_blocks=self._shared_blocks(customer, call_class),
        )

    def _shared_blocks(
        self, customer: Customer, call_class: CallClass
    ) -> tuple[str, ...]:
        document = self._random.randrange(call_class.documents)
        organisation_id = customer.organisation.organisation_id
        blocks = call_class.shared_tokens // BLOCK_TOKENS
        return tuple(
            f'{organisation_id}/{call_class.name}/{document}/{block}'
            for block in range(blocks)
        )

    def _vary(self, tokens: int) -> int:
        return round(
            tokens
            * self._random.uniform(1 - LENGTH_VARIATION, 1 + LENGTH_VARIATION)
        )


def _weights(deployment: Deployment, demand: Demand) -> list[float]:
    return [
        customer.demand_share
        * demand.surges.get(customer.organisation.organisation_id, 1)
        for customer in deployment.customers
    ]
