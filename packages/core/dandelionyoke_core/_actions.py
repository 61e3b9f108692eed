"""Actions: input and output that a node requests and the wire performs."""

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
    """Base class of all actions."""


# Answers to callers.


@attrs.frozen
class SendTokens(Action):
    """Forward output tokens to the caller."""

    request_id: RequestId
    tokens: tuple[str, ...]


@attrs.frozen
class FinishCall(Action):
    """Complete the answer to a model call."""

    request_id: RequestId
    end_reason: str
    prompt_tokens: int
    output_tokens: int


@attrs.frozen
class RespondService(Action):
    """Forward a plain service's answer to the caller."""

    request_id: RequestId
    status: int
    content_type: str
    body: bytes = attrs.field(repr=False)


@attrs.frozen
class RespondModels(Action):
    """Send the list of models to the caller."""

    request_id: RequestId
    models: tuple[Model, ...]


@attrs.frozen
class NodeStatus:
    """State of a node, for the operator's status command.

    `knowledge_age_s` is the age of its configuration, None if it has none.
    `live` lists the entry instances that it considers alive.
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
class RespondStatus(Action):
    """Send this node's state to the operator."""

    request_id: RequestId
    status: NodeStatus


@attrs.frozen
class RefuseCall(Action):
    """End a call with a refusal, inside the stream if one has started."""

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
    """Continue reading an engine's attempt at an offset, on a new connection.

    Events of the new stream carry `attempt_id`; `resumed_attempt_id` is the
    id under which the engine runs the attempt.
    """

    request_id: RequestId
    attempt_id: AttemptId
    resumed_attempt_id: AttemptId
    target_id: TargetId
    address: str
    offset: int


@attrs.frozen
class CancelAttempt(Action):
    """Tell an engine to stop an attempt, and stop reading its output."""

    request_id: RequestId
    attempt_id: AttemptId
    target_id: TargetId
    address: str


@attrs.frozen
class AbandonAttempt(Action):
    """Close this node's connection of an attempt and discard its state."""

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
    """Read an engine's cache events after a sequence number."""

    target_id: TargetId
    address: str
    after_sequence: int


@attrs.frozen
class SendEngineOrder(Action):
    """Send an order, but never after `not_after_s` of this node's clock.

    A process that is paused between decision and sending may have lost its
    lease meanwhile. The wire therefore checks the clock right before each
    write and answers UNKNOWN instead of sending late.
    """

    target_id: TargetId
    address: str
    order: EngineOrder
    not_after_s: float


@attrs.frozen
class ReadEngineOrder(Action):
    """Ask an engine for the state of an order."""

    target_id: TargetId
    address: str
    order_id: OrderId


@attrs.frozen
class SendTargetOrder(Action):
    """Order targets from the platform, but never after `not_after_s`."""

    order: TargetOrder
    not_after_s: float


@attrs.frozen
class SubmitUsage(Action):
    """Report a closed usage window, but never after `not_after_s`."""

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
    """Read a key. Answered by StoreItem or StoreFailed."""

    operation_id: OperationId
    key: str


@attrs.frozen
class StoreList(Action):
    """Read all keys below a prefix. Answered by StoreListing or StoreFailed.

    `allow_stale` allows a stale read from a replica that is seconds behind.
    """

    operation_id: OperationId
    prefix: str
    allow_stale: bool = False


@attrs.frozen
class StorePut(Action):
    """Write a key if it is at the expected revision (0: the key is absent).

    Answered by StoreWritten, StoreConflict or StoreFailed.
    """

    operation_id: OperationId
    key: str
    value: str = attrs.field(repr=False)
    expected_revision: int
    lease_id: LeaseId | None = None


@attrs.frozen
class StoreDelete(Action):
    """Delete a key if it is at the expected revision."""

    operation_id: OperationId
    key: str
    expected_revision: int


@attrs.frozen
class StoreWatch(Action):
    """Watch a prefix for changes. Answered by StoreListing or StoreFailed."""

    operation_id: OperationId
    prefix: str
    after_revision: int
    wait_s: float


@attrs.frozen
class LeaseGrant(Action):
    """Request a lease. Answered by LeaseGranted or StoreFailed."""

    operation_id: OperationId
    ttl_s: float


@attrs.frozen
class LeaseRenew(Action):
    """Renew a lease. Answered by LeaseGranted, LeaseExpired or StoreFailed."""

    operation_id: OperationId
    lease_id: LeaseId


@attrs.frozen
class LeaseRelease(Action):
    """Release a lease; the store deletes its keys."""

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
    """Send a message over a link; it is dropped if the link is down."""

    peer_id: InstanceId
    message: PeerMessage


# Logging, metrics and the process.


@attrs.frozen
class WriteLog(Action):
    """Write one log record; `subject` is the id of the thing it concerns."""

    kind: str
    subject: str
    detail: str = ''
    cause: str = ''


@attrs.frozen
class CountMetric(Action):
    """Increase a counter."""

    metric: str
    amount: int = 1
    label: str = ''


@attrs.frozen
class ObserveLatency(Action):
    """Add a duration to a latency histogram."""

    metric: str
    elapsed_s: float


@attrs.frozen
class StopProcess(Action):
    """End the process; `clean` is False if calls in progress are cut off."""

    clean: bool
