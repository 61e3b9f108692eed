"""Entities of a configuration and changes to them."""

import enum
from collections.abc import Mapping

import attrs

from dandelionyoke_core._names import (
    ChangeId,
    ModelName,
    OrganisationId,
    ServiceName,
)

DEFAULT_PRIORITY = 5
DEFAULT_TOKENS_PER_S = 20_000
DEFAULT_REQUESTS_PER_S = 50
DEFAULT_CONCURRENT_REQUESTS = 64
DEFAULT_MAX_TARGETS = 16
DEFAULT_CONTEXT_TOKENS = 32_768


@enum.unique
class ServiceKind(enum.Enum):
    """Kind of the targets of a service."""

    ENGINE = 'engine'
    PLAIN = 'plain'


@attrs.frozen
class Organisation:
    """A customer, with its priority and its limits across all entries.

    `priority` is 0 (lowest) to 9; `weight` sets its share of the served work
    among organisations of equal priority. `knowledge_age_limit_s` is the
    maximum age of an entry's configuration at which the entry still serves
    its calls; with None an entry cut off from the platform keeps serving.
    """

    organisation_id: OrganisationId
    priority: int = DEFAULT_PRIORITY
    weight: int = 1
    tokens_per_s: int = DEFAULT_TOKENS_PER_S
    requests_per_s: float = DEFAULT_REQUESTS_PER_S
    concurrent_requests: int = DEFAULT_CONCURRENT_REQUESTS
    knowledge_age_limit_s: float | None = None


@attrs.frozen
class ApiKey:
    """API key of an organisation, stored as the SHA-256 of its text in hex."""

    key_hash: str
    organisation_id: OrganisationId
    label: str = ''


@attrs.frozen
class Service:
    """Group of targets that are interchangeable for callers.

    `reclaimable_share` (0 to 1) is the maximum share of its work that may go
    to reclaimable (spot) targets. `unrepeatable` lists calls that run at most
    once, as `METHOD /path`; a path that ends in `*` covers all paths below it.
    """

    service_name: ServiceName
    kind: ServiceKind = ServiceKind.ENGINE
    reclaimable_share: float = 0.0
    min_targets: int = 1
    max_targets: int = DEFAULT_MAX_TARGETS
    unrepeatable: tuple[str, ...] = ()


@attrs.frozen
class Model:
    """Model that callers can name, and the service that serves it."""

    model_name: ModelName
    service_name: ServiceName
    version: str = '1'
    adapters: tuple[str, ...] = ()
    context_tokens: int = DEFAULT_CONTEXT_TOKENS


Entity = Organisation | ApiKey | Service | Model


@enum.unique
class Section(enum.Enum):
    """Section of a configuration, one per type of entity."""

    ORGANISATION = 'organisation'
    KEY = 'key'
    SERVICE = 'service'
    MODEL = 'model'


@attrs.frozen
class Put:
    """Create or replace one entity."""

    entity: Entity


@attrs.frozen
class Remove:
    """Remove one entity, which must exist."""

    section: Section
    name: str


Operation = Put | Remove


@attrs.frozen
class Change:
    """Committed change; the list of all changes is the audit trail.

    `revision` is the configuration's revision after the change (1 for the
    first); `committed_wall_s` is seconds since the epoch on the operator's
    clock.
    """

    change_id: ChangeId
    revision: int
    author: str
    reason: str
    committed_wall_s: float
    operations: tuple[Operation, ...]


@attrs.frozen
class Snapshot:
    """Whole configuration at one revision; revision 0 is empty."""

    revision: int = 0
    organisations: Mapping[OrganisationId, Organisation] = attrs.field(
        factory=dict
    )
    keys: Mapping[str, ApiKey] = attrs.field(factory=dict)
    services: Mapping[ServiceName, Service] = attrs.field(factory=dict)
    models: Mapping[ModelName, Model] = attrs.field(factory=dict)
