"""Events: all input that a node handles."""

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
    """Base class of all events."""


@attrs.frozen
class Notice(Event):
    """Event that one part of a node sends to its other parts."""


@attrs.frozen
class PeerMessage:
    """Base class of all messages between entry instances."""


@attrs.frozen
class SharedRecord(PeerMessage):
    """Small versioned record that is replicated to every entry in its scope.

    Of two records with the same `record_key` the one with the higher
    `version` wins, whichever peer relays it. Subclasses add their content.
    Membership expires a record `lifetime_s` after it was first received.
    """

    record_key: str
    version: int
    lifetime_s: float


# Calls.


@attrs.frozen
class CompletionRequested(Event):
    """A caller calls a model; `deadline_in_s` is relative to the arrival."""

    request_id: RequestId
    bearer_key: str = attrs.field(repr=False)
    model_name: ModelName
    prompt: str = attrs.field(repr=False)
    max_output_tokens: int
    deadline_in_s: float | None = None


@attrs.frozen
class ServiceCallRequested(Event):
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
class ModelListRequested(Event):
    """A caller requests the list of models that its key may use."""

    request_id: RequestId
    bearer_key: str = attrs.field(repr=False)


@attrs.frozen
class StatusRequested(Event):
    """The operator requests the state of this node."""

    request_id: RequestId


@attrs.frozen
class CallerDisconnected(Event):
    """The caller disconnected before its answer was complete."""

    request_id: RequestId


# Attempts at targets, matched by request id, attempt id and offset.


@attrs.frozen
class AttemptAccepted(Event):
    """The target accepted the attempt and started its answer."""

    request_id: RequestId
    attempt_id: AttemptId


@attrs.frozen
class TokensArrived(Event):
    """Output tokens arrived; `offset` is their position in the whole answer."""

    request_id: RequestId
    attempt_id: AttemptId
    offset: int
    tokens: tuple[str, ...]


@attrs.frozen
class AttemptEnded(Event):
    """The target sent the whole output; `offset` is its length in tokens."""

    request_id: RequestId
    attempt_id: AttemptId
    end_reason: str
    offset: int
    prompt_tokens: int
    cached_tokens: int = 0


@attrs.frozen
class AttemptRefused(Event):
    """The target stated that it did not run this attempt."""

    request_id: RequestId
    attempt_id: AttemptId
    cause: str
    retry_after_s: float | None = None


@attrs.frozen
class AttemptFailed(Event):
    """The attempt failed; `sent` is False if no byte of it was sent."""

    request_id: RequestId
    attempt_id: AttemptId
    sent: bool
    cause: str


@attrs.frozen
class ServiceAnswered(Event):
    """A plain service sent its whole answer."""

    request_id: RequestId
    attempt_id: AttemptId
    status: int
    content_type: str
    body: bytes = attrs.field(repr=False)


# Targets and the platform.


@attrs.frozen
class LoadReported(Event):
    """A load report of an engine arrived."""

    target_id: TargetId
    report: LoadReport


@attrs.frozen
class TargetUnreachable(Event):
    """Polling a target failed; `is_silent` if only the time ran out."""

    target_id: TargetId
    cause: str
    is_silent: bool = False


@attrs.frozen
class CacheEventsReported(Event):
    """Cache events arrived; `first_sequence` reveals a gap before them."""

    target_id: TargetId
    first_sequence: int
    next_sequence: int
    events: tuple[CacheEvent, ...]


@attrs.frozen
class EngineOrderResponded(Event):
    """An engine answered an order; the state is UNKNOWN without an answer."""

    target_id: TargetId
    order_id: OrderId
    state: OrderState
    cause: str = ''


@attrs.frozen
class TargetOrderResponded(Event):
    """The platform answered an order; UNKNOWN without an answer."""

    order_id: OrderId
    state: OrderState
    cause: str = ''


@attrs.frozen
class TargetsListed(Event):
    """The platform's list of targets arrived."""

    targets: tuple[Target, ...]


@attrs.frozen
class InstancesListed(Event):
    """The platform's list of entry instances arrived; it may be stale."""

    instances: tuple[Instance, ...]


@attrs.frozen
class ListingFailed(Event):
    """Reading a list from the platform failed."""

    cause: str


@attrs.frozen
class UsageReportResponded(Event):
    """The platform accepted a usage window or not; None if unknown."""

    window_id: WindowId
    accepted: bool | None


@attrs.frozen
class StoreResponded(Event):
    """A store operation ended."""

    operation_id: OperationId
    result: StoreResult


# Peers.


@attrs.frozen
class PeerConnected(Event):
    """A link to a peer is up and the peer is authenticated."""

    peer_id: InstanceId


@attrs.frozen
class PeerDisconnected(Event):
    """A link to a peer closed or could not be opened."""

    peer_id: InstanceId
    cause: str


@attrs.frozen
class PeerMessageArrived(Event):
    """A peer sent a message."""

    peer_id: InstanceId
    message: PeerMessage


# The process.


@attrs.frozen
class Started(Event):
    """The process has started; `wall_s` is seconds since the epoch."""

    wall_s: float


@attrs.frozen
class TimerFired(Event):
    """A wake-up time that a part returned from `next_wakeup_s` is due."""


@attrs.frozen
class ShutdownRequested(Event):
    """The process must drain and stop without cutting calls off."""


@attrs.frozen
class ProcessStalled(Event):
    """This process stood still, and could not hear anyone meanwhile."""

    stalled_s: float


@attrs.frozen
class ShutdownForced(Event):
    """A second stop request: the process ends and cuts calls off."""
