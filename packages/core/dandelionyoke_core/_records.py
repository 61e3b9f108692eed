"""Records of targets, instances, load, orders, usage and store results."""

import enum

import attrs

from dandelionyoke_core._names import (
    AttemptId,
    Domain,
    InstanceId,
    LeaseId,
    ModelName,
    OrderId,
    OrganisationId,
    ServiceName,
    TargetId,
    WindowId,
)


@enum.unique
class TargetKind(enum.Enum):
    """Kind of program that a target runs."""

    ENGINE = 'engine'
    PLAIN = 'plain'


@enum.unique
class Presence(enum.Enum):
    """State of an instance or a target, as listed by the platform."""

    LIVE = 'live'
    LEAVING = 'leaving'
    RECLAIMED = 'reclaimed'


@enum.unique
class Role(enum.Enum):
    """Phase of the work that an engine is configured for."""

    MIXED = 'mixed'
    PREFILL = 'prefill'
    DECODE = 'decode'


@attrs.frozen
class Target:
    """Target (back end) as listed by the platform."""

    target_id: TargetId
    service: ServiceName
    domain: Domain
    address: str
    kind: TargetKind = TargetKind.ENGINE
    reclaimable: bool = False
    state: Presence = Presence.LIVE


@attrs.frozen
class Instance:
    """Entry instance as listed by the platform."""

    instance_id: InstanceId
    domain: Domain
    caller_address: str
    peer_address: str
    state: Presence = Presence.LIVE


@attrs.frozen
class LoadReport:
    """Load of an engine, measured `age_s` before the report was read.

    `measured_s` is the engine's monotonic clock and comparable only within
    one `incarnation` (one run of its process). A KV cache block holds
    `block_tokens` tokens.
    """

    engine_id: str
    incarnation: str
    measured_s: float
    age_s: float = 0.0
    role: Role = Role.MIXED
    models: tuple[ModelName, ...] = ()
    running: int = 0
    waiting: int = 0
    prefill_queue_tokens: int = 0
    decode_tokens_per_s: float = 0.0
    kv_used_blocks: int = 0
    kv_total_blocks: int = 0
    block_tokens: int = 16
    draining: bool = False
    drain_order_id: OrderId | None = None
    highest_fence: int = 0
    in_progress: tuple[AttemptId, ...] = ()


@attrs.frozen
class CacheEvent:
    """Prefix block that an engine stored in or removed from its cache."""

    sequence: int
    stored: bool
    block: str


@enum.unique
class OrderState(enum.Enum):
    """State of an order according to its receiver."""

    DONE = 'done'
    ACCEPTED = 'accepted'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'


@enum.unique
class EngineOrderKind(enum.Enum):
    """Kind of order to an engine."""

    DRAIN = 'drain'
    UNDRAIN = 'undrain'
    ROLE = 'role'
    LOAD_MODEL = 'load_model'
    UNLOAD_MODEL = 'unload_model'
    LOAD_ADAPTER = 'load_adapter'
    SET_VERSION = 'set_version'


@attrs.frozen
class EngineOrder:
    """Order to one engine; a resend keeps its id and fencing token."""

    order_id: OrderId
    fence: int
    kind: EngineOrderKind
    argument: str = ''


@enum.unique
class TargetAction(enum.Enum):
    """Action that the platform can be ordered to take on targets."""

    ADD = 'add'
    REMOVE = 'remove'


@attrs.frozen
class TargetOrder:
    """Order to the platform for targets of one service in one domain."""

    order_id: OrderId
    fence: int
    domain: Domain
    service: ServiceName
    action: TargetAction
    count: int = 0
    reclaimable: bool = False
    target_ids: tuple[TargetId, ...] = ()


@attrs.frozen
class UsageFigure:
    """Usage of one service by one organisation."""

    organisation: OrganisationId
    service: ServiceName
    requests: int = 0
    prompt_tokens: int = 0
    output_tokens: int = 0


@attrs.frozen
class UsageWindow:
    """Usage figures of a closed window, as reported to the platform."""

    window_id: WindowId
    domain: Domain
    fence: int
    reporter: InstanceId
    figures: tuple[UsageFigure, ...] = ()


@attrs.frozen
class StoreItem:
    """Value of a key at a revision; None if the key does not exist."""

    key: str
    revision: int
    value: str | None


@attrs.frozen
class StoreWritten:
    """Result: a write took effect at this revision."""

    key: str
    revision: int


@attrs.frozen
class StoreConflict:
    """Result: a write was rejected because of the key's present revision."""

    present: StoreItem


@attrs.frozen
class StoreListing:
    """Result: the items below a prefix, or the changes since a revision."""

    revision: int
    items: tuple[StoreItem, ...]


@attrs.frozen
class LeaseGranted:
    """Result: a lease was granted or renewed."""

    lease_id: LeaseId
    ttl_s: float


@attrs.frozen
class LeaseExpired:
    """Result: the lease does not exist any more, nor do its keys."""

    lease_id: LeaseId


@attrs.frozen
class StoreFailed:
    """Result: the store gave no answer or refused the call.

    `may_have_been_applied` is False only if the call certainly had no effect.
    """

    cause: str
    may_have_been_applied: bool


StoreResult = (
    StoreItem
    | StoreWritten
    | StoreConflict
    | StoreListing
    | LeaseGranted
    | LeaseExpired
    | StoreFailed
)
