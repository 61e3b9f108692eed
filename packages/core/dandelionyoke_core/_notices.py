"""Notices: events between the parts of a node."""

import attrs

from dandelionyoke_core._entities import Change, Snapshot
from dandelionyoke_core._events import Notice, SharedRecord
from dandelionyoke_core._names import (
    AttemptId,
    InstanceId,
    OrganisationId,
    RequestId,
    ServiceName,
    TargetId,
)
from dandelionyoke_core._refusals import Refusal


@attrs.frozen
class ConfigurationInForce(Notice):
    """This node applies a higher revision of the configuration."""

    snapshot: Snapshot
    changes: tuple[Change, ...] = ()


@attrs.frozen
class KeyRevoked(Notice):
    """An API key was revoked; its calls in progress end."""

    key_hash: str


@attrs.frozen
class CallAdmitted(Notice):
    """A queued call may be sent to a target now."""

    request_id: RequestId


@attrs.frozen
class CallRejected(Notice):
    """A queued call is refused."""

    request_id: RequestId
    refusal: Refusal


@attrs.frozen
class UsageDelivered(Notice):
    """Usage to count: output forwarded to the caller for the first time.

    `requests` is 1 only once per call, at its end. Output tokens are
    reported as they are forwarded, so that an answer that is cut off counts
    up to that point.
    """

    request_id: RequestId
    organisation: OrganisationId
    service: ServiceName
    requests: int = 0
    prompt_tokens: int = 0
    output_tokens: int = 0


@attrs.frozen
class ClaimGranted(Notice):
    """This node alone may send the call, and only once."""

    request_id: RequestId


@attrs.frozen
class ClaimAnswered(Notice):
    """The call has a stored result, which is returned as its answer."""

    request_id: RequestId
    status: int
    content_type: str
    body: bytes = attrs.field(repr=False)


@attrs.frozen
class ClaimRefused(Notice):
    """This request may not send the call."""

    request_id: RequestId
    refusal: Refusal


@attrs.frozen
class TargetCrashed(Notice):
    """A target died or restarted while these attempts were in progress.

    `is_presumed` if it only was silent for too long, and may go on.
    """

    target_id: TargetId
    attempt_ids: tuple[AttemptId, ...]
    is_presumed: bool = False


@attrs.frozen
class TargetLeaving(Notice):
    """A target is draining and receives no new work."""

    target_id: TargetId
    cause: str


@attrs.frozen
class ReplicateRecord(Notice):
    """Replicate a record; `everywhere` is False for this domain only."""

    record: SharedRecord
    everywhere: bool = False


@attrs.frozen
class RecordReceived(Notice):
    """A peer sent a record that is newer than the one this node has."""

    record: SharedRecord
    from_peer: InstanceId


@attrs.frozen
class DutyGained(Notice):
    """This node now holds a duty of its domain, with a fencing token."""

    duty: str
    fence: int
    until_s: float


@attrs.frozen
class DutyExtended(Notice):
    """The lease of a duty now lasts until `until_s` of this node's clock."""

    duty: str
    fence: int
    until_s: float


@attrs.frozen
class DutyLost(Notice):
    """This node no longer holds the duty and must stop acting for it."""

    duty: str
    fence: int


@attrs.frozen
class LivePeersChanged(Notice):
    """The entries that this node considers live, including itself."""

    live: tuple[InstanceId, ...]
    live_in_domain: tuple[InstanceId, ...]


@attrs.frozen
class StoreReplaced(Notice):
    """The store came back from a copy that may lack its last writes."""


@attrs.frozen
class Leaving(Notice):
    """This node is draining: it hands duties over and cuts no call off."""
