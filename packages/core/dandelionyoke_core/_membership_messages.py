"""Messages for heartbeats, membership and the exchange of shared records."""

import enum
from collections.abc import Mapping
from typing import Any

import attrs

from dandelionyoke_core._events import PeerMessage, SharedRecord
from dandelionyoke_core._names import InstanceId
from dandelionyoke_core._records import Instance


@enum.unique
class MemberState(enum.Enum):
    """State of an instance in a member record."""

    LIVE = 'live'
    LEAVING = 'leaving'
    SUSPECTED = 'suspected'


@attrs.frozen
class Heartbeat(PeerMessage):
    """Periodic message that shows that the sender is alive."""

    sequence: int


@attrs.frozen
class MemberRecord(SharedRecord):
    """State of an instance, announced by itself or suspected by a peer.

    `said_by` is the author of the record. Announcements of an instance have
    even versions; a suspicion has the odd version after the last known one.
    With one sequence for both, two regions separated by a partition could
    give the same version to an announcement and to a suspicion, and would
    then never agree on which is newer.
    """

    instance: Instance
    state: MemberState
    said_by: InstanceId


@attrs.frozen
class RecordEntry:
    """A shared record in transit, as a mapping that names its type.

    `everywhere` is False for a record that stays in its domain, and
    `remaining_s` is what is left of its lifetime.
    """

    record: Mapping[str, Any]
    everywhere: bool
    remaining_s: float


@attrs.frozen
class RecordBatch(PeerMessage):
    """Shared records that are new to the sender or missing at the receiver."""

    entries: tuple[RecordEntry, ...]


@attrs.frozen
class RecordSummary(PeerMessage):
    """Identity and record versions of the sender, sent on a new link."""

    instance: Instance
    versions: Mapping[str, int]


def member_record_key(instance_id: InstanceId) -> str:
    """Return the key of the member record of an instance."""
    return f'member/{instance_id}'


def next_announcement_version(version: int) -> int:
    """Return the next announcement version, higher than any version so far."""
    return (version // 2 + 1) * 2


def suspicion_version(version: int) -> int:
    """Return the version of a suspicion that follows a known version."""
    return version // 2 * 2 + 1
