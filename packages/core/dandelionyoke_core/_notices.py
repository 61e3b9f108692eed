"""What the parts of a node tell each other."""

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
    """A higher revision is in force in this node."""

    snapshot: Snapshot
    changes: tuple[Change, ...] = ()


@attrs.frozen
class KeyWithdrawn(Notice):
    """A key stopped being valid; its work in progress ends."""

    key_hash: str


@attrs.frozen
class CallAdmitted(Notice):
    """A queued call may go to a target now."""

    request_id: RequestId


@attrs.frozen
class CallRejected(Notice):
    """A queued call is given up on."""

    request_id: RequestId
    refusal: Refusal


@attrs.frozen
class CallDelivered(Notice):
    """Output reached the caller for the first time; for usage.

    A call is told with `requests` 1 once, at its end; output tokens are
    told as they are passed on, so that a cut answer is counted as far as
    it went.
    """

    request_id: RequestId
    organisation: OrganisationId
    service: ServiceName
    requests: int = 0
    prompt_tokens: int = 0
    output_tokens: int = 0


@attrs.frozen
class ClaimGranted(Notice):
    """This node, and no other, may send the call, once."""

    request_id: RequestId


@attrs.frozen
class ClaimAnswered(Notice):
    """The call has an end on record, which is its answer again."""

    request_id: RequestId
    status: int
    content_type: str
    body: bytes = attrs.field(repr=False)


@attrs.frozen
class ClaimRefused(Notice):
    """The call may not be sent by this request."""

    request_id: RequestId
    refusal: Refusal


@attrs.frozen
class TargetCrashed(Notice):
    """A target ended or restarted with these attempts in progress."""

    target_id: TargetId
    attempt_ids: tuple[AttemptId, ...]


@attrs.frozen
class TargetLeaving(Notice):
    """A target gets no new work from now on."""

    target_id: TargetId
    cause: str


@attrs.frozen
class ShareRecord(Notice):
    """Spread a record; `everywhere` is False for this domain only."""

    record: SharedRecord
    everywhere: bool = False


@attrs.frozen
class RecordLearned(Notice):
    """A record that is newer than what this node knew."""

    record: SharedRecord
    from_peer: InstanceId


@attrs.frozen
class DutyGained(Notice):
    """This node holds a duty of its domain, with a fencing number."""

    duty: str
    fence: int
    until_s: float


@attrs.frozen
class DutyExtended(Notice):
    """The term of a duty now ends at `until_s` of this node's clock."""

    duty: str
    fence: int
    until_s: float


@attrs.frozen
class DutyLost(Notice):
    """This node must not act for the duty any more."""

    duty: str
    fence: int


@attrs.frozen
class PeersKnown(Notice):
    """The entries that this node takes for live, itself included."""

    live: tuple[InstanceId, ...]
    live_in_domain: tuple[InstanceId, ...]


@attrs.frozen
class Leaving(Notice):
    """This node is going; duties go to others, nothing is cut."""
