"""What nodes tell each other of themselves and of shared records."""

import enum
from collections.abc import Mapping
from typing import Any

import attrs

from dandelionyoke_core._events import PeerMessage, SharedRecord
from dandelionyoke_core._names import InstanceId
from dandelionyoke_core._records import Instance


@enum.unique
class MemberState(enum.Enum):
    """What is said of an instance."""

    LIVE = 'live'
    LEAVING = 'leaving'
    SUSPECTED = 'suspected'


@attrs.frozen
class Heartbeat(PeerMessage):
    """The sender is alive."""

    sequence: int


@attrs.frozen
class MemberRecord(SharedRecord):
    """What an instance says of itself, or a peer that misses it.

    An instance's own versions are even, suspicions have the odd one after
    the last that was known. With one run of numbers for both, two regions
    that lost each other would give one version to an announcement and to a
    suspicion, and would stay apart in what they take for the newest.
    """

    instance: Instance
    state: MemberState
    said_by: InstanceId


@attrs.frozen
class RecordEntry:
    """A shared record on its way, as a mapping that names its type."""

    record: Mapping[str, Any]
    everywhere: bool
    remaining_s: float


@attrs.frozen
class RecordBatch(PeerMessage):
    """Shared records that are new to the sender, or to the receiver."""

    entries: tuple[RecordEntry, ...]


@attrs.frozen
class RecordSummary(PeerMessage):
    """Who the sender is and the versions it has, told on a new link."""

    instance: Instance
    versions: Mapping[str, int]


def member_record_key(instance_id: InstanceId) -> str:
    """Name the record of an instance."""
    return f'member/{instance_id}'


def next_announcement_version(version: int) -> int:
    """Give the version with which an instance outbids what is said of it."""
    return (version // 2 + 1) * 2


def suspicion_version(version: int) -> int:
    """Give the version of a suspicion of what was said last."""
    return version // 2 * 2 + 1
