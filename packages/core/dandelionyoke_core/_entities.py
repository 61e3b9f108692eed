"""What the operator declares: the typed content of a configuration."""

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
    """What stands behind a service."""

    ENGINE = 'engine'
    PLAIN = 'plain'


@attrs.frozen
class Organisation:
    """A customer: its place in the queue and its limits over all entries.

    `priority` is 0 (lowest) to 9; `weight` is its part of the served work
    among organisations of equal priority. `knowledge_age_limit_s` bounds how
    old an entry's configuration may be for its calls to be served; None
    means that an entry cut off from the platform serves on.
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
    """A key of an organisation, kept as the SHA-256 of its text, in hex."""

    key_hash: str
    organisation_id: OrganisationId
    label: str = ''


@attrs.frozen
class Service:
    """A group of targets that are interchangeable for their callers.

    `reclaimable_share` (0 to 1) is the most of its work that may go to
    reclaimable targets. `unrepeatable` lists calls that run at most once,
    as `METHOD /path`; a path that ends in `*` covers all below it.
    """

    service_name: ServiceName
    kind: ServiceKind = ServiceKind.ENGINE
    reclaimable_share: float = 0.0
    min_targets: int = 1
    max_targets: int = DEFAULT_MAX_TARGETS
    unrepeatable: tuple[str, ...] = ()


@attrs.frozen
class Model:
    """A model that callers name, and the service that carries it."""

    model_name: ModelName
    service_name: ServiceName
    version: str = '1'
    adapters: tuple[str, ...] = ()
    context_tokens: int = DEFAULT_CONTEXT_TOKENS


Entity = Organisation | ApiKey | Service | Model


@enum.unique
class Section(enum.Enum):
    """The sections of a configuration, one for each type of entity."""

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
    """Remove one entity, which has to exist."""

    section: Section
    name: str


Operation = Put | Remove


@attrs.frozen
class Change:
    """One accepted change; the log of changes is the audit trail.

    `revision` is the configuration's revision after the change (1 for the
    first); `committed_wall_s` is seconds since the epoch at the operator.
    """

    change_id: ChangeId
    revision: int
    author: str
    reason: str
    committed_wall_s: float
    operations: tuple[Operation, ...]


@attrs.frozen
class Snapshot:
    """A whole configuration at one revision; 0 is the empty one."""

    revision: int = 0
    organisations: Mapping[OrganisationId, Organisation] = attrs.field(
        factory=dict
    )
    keys: Mapping[str, ApiKey] = attrs.field(factory=dict)
    services: Mapping[ServiceName, Service] = attrs.field(factory=dict)
    models: Mapping[ModelName, Model] = attrs.field(factory=dict)
