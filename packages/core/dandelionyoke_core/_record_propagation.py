"""Propagation of shared records over the links of one node."""

from collections.abc import Iterable

import attrs

from dandelionyoke_core._actions import Action, SendPeer
from dandelionyoke_core._events import SharedRecord
from dandelionyoke_core._gossip import GossipSettings, RecordTable, batches
from dandelionyoke_core._membership_messages import (
    RecordBatch,
    RecordEntry,
    RecordSummary,
)
from dandelionyoke_core._names import Domain, InstanceId
from dandelionyoke_core._records import Instance


@attrs.frozen
class _PendingEntry:
    entry: RecordEntry
    source: InstanceId | None = None


class RecordPropagation:
    """Forward each record once, if it is newer than the known version.

    On a new link both ends exchange the versions that they have, and each
    sends the records that the other lacks. A domain-local record is sent only
    to peers that have announced the same domain.
    """

    def __init__(self, own: Instance, settings: GossipSettings) -> None:
        self._own = own
        self._table = RecordTable(settings)
        self._peer_domains: dict[InstanceId, Domain] = {}
        self._pending: list[_PendingEntry] = []

    def find(self, record_key: str) -> SharedRecord | None:
        """Return a record by its key."""
        return self._table.find(record_key)

    def expire(self, now_s: float) -> None:
        """Remove expired records."""
        self._table.expire(now_s)

    def share(
        self, record: SharedRecord, everywhere: bool, now_s: float
    ) -> None:
        """Queue a record of this node for the next flush."""
        entry = self._table.store_local(record, everywhere, now_s)
        if entry is not None:
            self._pending.append(_PendingEntry(entry))

    def summary_for(self, peer_id: InstanceId) -> SendPeer:
        """Create the summary of known versions for a new peer."""
        summary = RecordSummary(self._own, self._table.versions())
        return SendPeer(peer_id, summary)

    def forget(self, peer_id: InstanceId) -> None:
        """Remove the state of a closed link."""
        self._peer_domains.pop(peer_id, None)

    def send_missing(
        self, peer_id: InstanceId, summary: RecordSummary, now_s: float
    ) -> list[Action]:
        """Send a new peer the records that its summary lacks."""
        self._peer_domains[peer_id] = summary.instance.domain
        missing = self._table.newer_than(
            summary.versions, self._shares_domain(peer_id), now_s
        )
        return [SendPeer(peer_id, batch) for batch in batches(missing)]

    def receive(
        self, peer_id: InstanceId, batch: RecordBatch, now_s: float
    ) -> list[SharedRecord]:
        """Store the records of a peer and return those that are newer."""
        newer_records: list[SharedRecord] = []
        for entry in batch.entries:
            accepted = self._table.store_received(entry, now_s)
            if accepted is not None:
                record, forwarded = accepted
                self._pending.append(_PendingEntry(forwarded, peer_id))
                newer_records.append(record)
        return newer_records

    def flush(self, peer_ids: Iterable[InstanceId]) -> list[Action]:
        """Send the pending records over the links that are up."""
        if not self._pending:
            return []
        pending = self._pending
        self._pending = []
        actions: list[Action] = []
        for peer_id in peer_ids:
            entries = self._entries_for(peer_id, pending)
            actions.extend(
                SendPeer(peer_id, batch) for batch in batches(entries)
            )
        return actions

    def _entries_for(
        self, peer_id: InstanceId, pending: Iterable[_PendingEntry]
    ) -> list[RecordEntry]:
        same_domain = self._shares_domain(peer_id)
        return [
            item.entry
            for item in pending
            if item.source != peer_id and (same_domain or item.entry.everywhere)
        ]

    def _shares_domain(self, peer_id: InstanceId) -> bool:
        return self._peer_domains.get(peer_id) == self._own.domain
