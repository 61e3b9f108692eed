"""What reaches a node: everything outside becomes one of these."""

import attrs

from dandelionyoke_core._names import (
    AttemptId,
    InstanceId,
    ModelName,
    OperationId,
    OrderId,
    RequestId,
    ServiceName,
    TargetId,
    WindowId,
)
from dandelionyoke_core._records import (
    CacheEvent,
    Instance,
    LoadReport,
    OrderState,
    StoreResult,
    Target,
)


@attrs.frozen
class Event:
    """Base of all that a node handles."""


@attrs.frozen
class Notice(Event):
    """An event from one part of a node to its other parts."""


@attrs.frozen
class PeerMessage:
    """Base of all that entries send to each other."""


@attrs.frozen
class SharedRecord(PeerMessage):
    """A small versioned record that every entry in its scope learns.

    Of two records with one `record_key` the higher `version` wins, whoever
    relays it. Subclasses add their content. Membership drops a record
    `lifetime_s` after it was first heard.
    """

    record_key: str
    version: int
    lifetime_s: float


# Callers.


@attrs.frozen
class ModelCalled(Event):
    """A caller asks a model. `deadline_in_s` counts from arrival."""

    request_id: RequestId
    bearer_key: str = attrs.field(repr=False)
    model_name: ModelName
    prompt: str = attrs.field(repr=False)
    max_output_tokens: int
    deadline_in_s: float | None = None


@attrs.frozen
class ServiceCalled(Event):
    """A caller calls a plain service."""

    request_id: RequestId
    bearer_key: str = attrs.field(repr=False)
    service_name: ServiceName
    method: str
    path: str
    content_type: str = ''
    body: bytes = attrs.field(default=b'', repr=False)
    idempotency_key: str | None = None
    deadline_in_s: float | None = None


@attrs.frozen
class ModelsAsked(Event):
    """A caller asks which models its key may use."""

    request_id: RequestId
    bearer_key: str = attrs.field(repr=False)


@attrs.frozen
class StatusAsked(Event):
    """The operator asks what this node knows of itself."""

    request_id: RequestId


@attrs.frozen
class CallerGone(Event):
    """The caller's connection ended before its answer did."""

    request_id: RequestId


# Attempts at targets. Each is matched by request, attempt and offset.


@attrs.frozen
class AttemptAccepted(Event):
    """The target took the work and began its answer."""

    request_id: RequestId
    attempt_id: AttemptId


@attrs.frozen
class TokensArrived(Event):
    """Output tokens; `offset` counts from the whole answer's first token."""

    request_id: RequestId
    attempt_id: AttemptId
    offset: int
    tokens: tuple[str, ...]


@attrs.frozen
class AttemptEnded(Event):
    """The whole output was sent; `offset` is its length in tokens."""

    request_id: RequestId
    attempt_id: AttemptId
    end_reason: str
    offset: int
    prompt_tokens: int
    cached_tokens: int = 0


@attrs.frozen
class AttemptRefused(Event):
    """The target says that it did not run this attempt."""

    request_id: RequestId
    attempt_id: AttemptId
    cause: str
    retry_after_s: float | None = None


@attrs.frozen
class AttemptFailed(Event):
    """The attempt broke; `sent` is False if no byte of it left."""

    request_id: RequestId
    attempt_id: AttemptId
    sent: bool
    cause: str


@attrs.frozen
class ServiceAnswered(Event):
    """A plain service's whole answer."""

    request_id: RequestId
    attempt_id: AttemptId
    status: int
    content_type: str
    body: bytes = attrs.field(repr=False)


# Targets and the platform.


@attrs.frozen
class LoadReported(Event):
    """An engine's load report was read."""

    target_id: TargetId
    report: LoadReport


@attrs.frozen
class TargetUnreachable(Event):
    """A poll of a target failed."""

    target_id: TargetId
    cause: str


@attrs.frozen
class CacheEventsReported(Event):
    """Cache events after a sequence; `first_sequence` shows a gap."""

    target_id: TargetId
    first_sequence: int
    next_sequence: int
    events: tuple[CacheEvent, ...]


@attrs.frozen
class EngineOrderAnswered(Event):
    """What an engine said of an order; UNKNOWN where no answer came."""

    target_id: TargetId
    order_id: OrderId
    state: OrderState
    cause: str = ''


@attrs.frozen
class TargetOrderAnswered(Event):
    """What the platform said of an order; UNKNOWN where no answer came."""

    order_id: OrderId
    state: OrderState
    cause: str = ''


@attrs.frozen
class TargetsListed(Event):
    """The platform's list of targets."""

    targets: tuple[Target, ...]


@attrs.frozen
class InstancesListed(Event):
    """The platform's lagging list of entry instances."""

    instances: tuple[Instance, ...]


@attrs.frozen
class ListingFailed(Event):
    """The platform gave no list."""

    cause: str


@attrs.frozen
class UsageAnswered(Event):
    """Whether the platform took a usage window; None: not known."""

    window_id: WindowId
    accepted: bool | None


@attrs.frozen
class StoreAnswered(Event):
    """The end of a store operation."""

    operation_id: OperationId
    result: StoreResult


# Peers.


@attrs.frozen
class PeerConnected(Event):
    """A link to a peer is up and the peer has proved that it belongs."""

    peer_id: InstanceId


@attrs.frozen
class PeerDisconnected(Event):
    """A link to a peer ended or could not be opened."""

    peer_id: InstanceId
    cause: str


@attrs.frozen
class PeerMessageArrived(Event):
    """A peer sent a message."""

    peer_id: InstanceId
    message: PeerMessage


# The process itself.


@attrs.frozen
class Started(Event):
    """The process is up; `wall_s` is seconds since the epoch."""

    wall_s: float


@attrs.frozen
class Woken(Event):
    """A wake-up that a part asked for is due."""


@attrs.frozen
class ShutdownRequested(Event):
    """The process was asked to leave; nothing may be cut."""


@attrs.frozen
class ShutdownForced(Event):
    """The process was asked a second time, and cuts short."""
