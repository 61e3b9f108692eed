"""What a node asks of the world; the wire performs these."""

import attrs

from dandelionyoke_core._entities import Model
from dandelionyoke_core._events import PeerMessage
from dandelionyoke_core._names import (
    AttemptId,
    Domain,
    InstanceId,
    LeaseId,
    ModelName,
    OperationId,
    OrderId,
    RequestId,
    TargetId,
)
from dandelionyoke_core._records import (
    EngineOrder,
    TargetOrder,
    UsageWindow,
)
from dandelionyoke_core._refusals import Refusal


@attrs.frozen
class Action:
    """Base of all that a node asks for."""


# Callers.


@attrs.frozen
class SendTokens(Action):
    """Pass output on to the caller."""

    request_id: RequestId
    tokens: tuple[str, ...]


@attrs.frozen
class FinishCall(Action):
    """Close a whole answer."""

    request_id: RequestId
    end_reason: str
    prompt_tokens: int
    output_tokens: int


@attrs.frozen
class AnswerService(Action):
    """Pass a plain service's answer on to the caller."""

    request_id: RequestId
    status: int
    content_type: str
    body: bytes = attrs.field(repr=False)


@attrs.frozen
class AnswerModels(Action):
    """List models to the caller."""

    request_id: RequestId
    models: tuple[Model, ...]


@attrs.frozen
class NodeStatus:
    """What a node knows of itself, for the operator's command.

    `knowledge_age_s` is the age of its configuration; None: it has none.
    """

    instance_id: InstanceId
    domain: Domain
    revision: int
    knowledge_age_s: float | None
    leaving: bool
    in_progress: int
    live: tuple[InstanceId, ...]
    usable_targets: int = 0
    duties: tuple[str, ...] = ()


@attrs.frozen
class AnswerStatus(Action):
    """Tell the operator what this node knows of itself."""

    request_id: RequestId
    status: NodeStatus


@attrs.frozen
class RefuseCall(Action):
    """End a call with a refusal, in the stream if one has begun."""

    request_id: RequestId
    refusal: Refusal


# Attempts at targets.


@attrs.frozen
class StartAttempt(Action):
    """Send a model call to an engine."""

    request_id: RequestId
    attempt_id: AttemptId
    target_id: TargetId
    address: str
    model_name: ModelName
    prompt: str = attrs.field(repr=False)
    resume_tokens: tuple[str, ...] = attrs.field(repr=False)
    max_output_tokens: int
    priority: int


@attrs.frozen
class ResumeAttempt(Action):
    """Read on an engine's attempt from an offset, on a new connection.

    The new stream is matched by `attempt_id`; the engine knows the work by
    `resumed_attempt_id`.
    """

    request_id: RequestId
    attempt_id: AttemptId
    resumed_attempt_id: AttemptId
    target_id: TargetId
    address: str
    offset: int


@attrs.frozen
class CancelAttempt(Action):
    """Tell an engine to stop, and stop reading."""

    request_id: RequestId
    attempt_id: AttemptId
    target_id: TargetId
    address: str


@attrs.frozen
class DropAttempt(Action):
    """Close this side's connection of an attempt and forget it."""

    request_id: RequestId
    attempt_id: AttemptId


@attrs.frozen
class CallService(Action):
    """Send a call to a plain service."""

    request_id: RequestId
    attempt_id: AttemptId
    target_id: TargetId
    address: str
    method: str
    path: str
    content_type: str
    body: bytes = attrs.field(repr=False)
    idempotency_key: str | None
    timeout_s: float


# Targets and the platform.


@attrs.frozen
class PollLoad(Action):
    """Read a target's load report."""

    target_id: TargetId
    address: str


@attrs.frozen
class PollCacheEvents(Action):
    """Read an engine's cache events after a sequence."""

    target_id: TargetId
    address: str
    after_sequence: int


@attrs.frozen
class SendEngineOrder(Action):
    """Send an order, but never after `not_after_s` of this node's clock.

    A process that was paused between deciding and sending would send with
    an authority that it has lost; the wire compares the clock right before
    each byte leaves and answers UNKNOWN instead of sending late.
    """

    target_id: TargetId
    address: str
    order: EngineOrder
    not_after_s: float


@attrs.frozen
class ReadEngineOrder(Action):
    """Ask an engine what became of an order."""

    target_id: TargetId
    address: str
    order_id: OrderId


@attrs.frozen
class SendTargetOrder(Action):
    """Order targets of the platform, but never after `not_after_s`."""

    order: TargetOrder
    not_after_s: float


@attrs.frozen
class SubmitUsage(Action):
    """Report a closed window, but never after `not_after_s`."""

    window: UsageWindow
    not_after_s: float


@attrs.frozen
class ListTargets(Action):
    """Read the platform's list of targets."""


@attrs.frozen
class ListInstances(Action):
    """Read the platform's list of entry instances."""


# The platform's store.


@attrs.frozen
class StoreGet(Action):
    """Read a key: StoreItem or StoreFailed."""

    operation_id: OperationId
    key: str


@attrs.frozen
class StoreList(Action):
    """Read all keys below a prefix: StoreListing or StoreFailed.

    `may_be_old` lets the store answer from a copy that is seconds behind.
    """

    operation_id: OperationId
    prefix: str
    may_be_old: bool = False


@attrs.frozen
class StorePut(Action):
    """Write a key if it is at the expected revision (0: absent).

    Answered by StoreWritten, StoreConflict or StoreFailed.
    """

    operation_id: OperationId
    key: str
    value: str = attrs.field(repr=False)
    expected_revision: int
    lease_id: LeaseId | None = None


@attrs.frozen
class StoreDelete(Action):
    """Remove a key if it is at the expected revision."""

    operation_id: OperationId
    key: str
    expected_revision: int


@attrs.frozen
class StoreWatch(Action):
    """Wait for changes below a prefix: StoreListing or StoreFailed."""

    operation_id: OperationId
    prefix: str
    after_revision: int
    wait_s: float


@attrs.frozen
class LeaseGrant(Action):
    """Ask for a lease: LeaseGranted or StoreFailed."""

    operation_id: OperationId
    ttl_s: float


@attrs.frozen
class LeaseRenew(Action):
    """Renew a lease: LeaseGranted, LeaseLapsed or StoreFailed."""

    operation_id: OperationId
    lease_id: LeaseId


@attrs.frozen
class LeaseRelease(Action):
    """Give a lease up; its keys are removed."""

    operation_id: OperationId
    lease_id: LeaseId


# Peers.


@attrs.frozen
class ConnectPeer(Action):
    """Open a link to a peer."""

    peer_id: InstanceId
    address: str


@attrs.frozen
class DisconnectPeer(Action):
    """Close a link to a peer."""

    peer_id: InstanceId


@attrs.frozen
class SendPeer(Action):
    """Send a message over a link; dropped if the link is not up."""

    peer_id: InstanceId
    message: PeerMessage


# Explanations and the process itself.


@attrs.frozen
class WriteLog(Action):
    """Write one log record. `subject` is the id that it is about."""

    kind: str
    subject: str
    detail: str = ''
    cause: str = ''


@attrs.frozen
class CountMetric(Action):
    """Add to a counter."""

    metric: str
    amount: int = 1
    label: str = ''


@attrs.frozen
class ObserveLatency(Action):
    """Record a duration in a histogram."""

    metric: str
    elapsed_s: float


@attrs.frozen
class StopProcess(Action):
    """All is finished; the process may end."""

    clean: bool
