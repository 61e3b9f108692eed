"""Records of the world outside: targets, instances, loads, store values."""

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
    """What kind of program a target runs."""

    ENGINE = 'engine'
    PLAIN = 'plain'


@enum.unique
class Presence(enum.Enum):
    """What the platform says of an instance or a target."""

    LIVE = 'live'
    LEAVING = 'leaving'
    RECLAIMED = 'reclaimed'


@enum.unique
class Role(enum.Enum):
    """What work an engine is set up for."""

    MIXED = 'mixed'
    PREFILL = 'prefill'
    DECODE = 'decode'


@attrs.frozen
class Target:
    """A back end as the platform lists it."""

    target_id: TargetId
    service: ServiceName
    domain: Domain
    address: str
    kind: TargetKind = TargetKind.ENGINE
    reclaimable: bool = False
    state: Presence = Presence.LIVE


@attrs.frozen
class Instance:
    """An entry instance as the platform lists it."""

    instance_id: InstanceId
    domain: Domain
    caller_address: str
    peer_address: str
    state: Presence = Presence.LIVE


@attrs.frozen
class LoadReport:
    """What an engine said of itself, `age_s` before it was read.

    `measured_s` is the engine's own monotonic clock and only comparable
    within one `incarnation`. Blocks hold `block_tokens` tokens.
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
    """A prefix block that an engine stored or removed."""

    sequence: int
    stored: bool
    block: str


@enum.unique
class OrderState(enum.Enum):
    """What became of an order, as its receiver says."""

    DONE = 'done'
    ACCEPTED = 'accepted'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'


@enum.unique
class EngineOrderKind(enum.Enum):
    """What an engine can be told to do."""

    DRAIN = 'drain'
    UNDRAIN = 'undrain'
    ROLE = 'role'
    LOAD_MODEL = 'load_model'
    UNLOAD_MODEL = 'unload_model'
    LOAD_ADAPTER = 'load_adapter'
    SET_VERSION = 'set_version'


@attrs.frozen
class EngineOrder:
    """An order to one engine; sent again it keeps its id and its fence."""

    order_id: OrderId
    fence: int
    kind: EngineOrderKind
    argument: str = ''


@enum.unique
class TargetAction(enum.Enum):
    """What the platform can be told to do with targets."""

    ADD = 'add'
    REMOVE = 'remove'


@attrs.frozen
class TargetOrder:
    """An order for targets of one service in one domain."""

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
    """What one organisation used of one service."""

    organisation: OrganisationId
    service: ServiceName
    requests: int = 0
    prompt_tokens: int = 0
    output_tokens: int = 0


@attrs.frozen
class UsageWindow:
    """A closed window's figures, as reported."""

    window_id: WindowId
    domain: Domain
    fence: int
    reporter: InstanceId
    figures: tuple[UsageFigure, ...] = ()


@attrs.frozen
class StoreItem:
    """A key's content at a revision; value None where there is none."""

    key: str
    revision: int
    value: str | None


@attrs.frozen
class StoreWritten:
    """A write took effect at this revision."""

    key: str
    revision: int


@attrs.frozen
class StoreConflict:
    """A write did not take effect; the key's present content."""

    present: StoreItem


@attrs.frozen
class StoreListing:
    """The content below a prefix, or the changes since a revision."""

    revision: int
    items: tuple[StoreItem, ...]


@attrs.frozen
class LeaseGranted:
    """A lease was granted or renewed."""

    lease_id: LeaseId
    ttl_s: float


@attrs.frozen
class LeaseLapsed:
    """The lease is gone, and the keys under it too."""

    lease_id: LeaseId


@attrs.frozen
class StoreFailed:
    """No answer, or a refusal, from the store.

    `may_have_happened` is False only where the call surely had no effect.
    """

    cause: str
    may_have_happened: bool


StoreResult = (
    StoreItem
    | StoreWritten
    | StoreConflict
    | StoreListing
    | LeaseGranted
    | LeaseLapsed
    | StoreFailed
)
