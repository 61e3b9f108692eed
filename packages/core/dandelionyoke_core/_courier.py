"""Carries shared records over the links of one node."""

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
class _Parcel:
    entry: RecordEntry
    source: InstanceId | None = None


class Courier:
    """Passes each record on once, when it is newer than what was known.

    On a new link both ends say which versions they have, and each sends
    what the other lacks. A record of one domain goes only over links to
    peers that have said that they are in it.
    """

    def __init__(self, own: Instance, settings: GossipSettings) -> None:
        self._own = own
        self._table = RecordTable(settings)
        self._peer_domains: dict[InstanceId, Domain] = {}
        self._parcels: list[_Parcel] = []

    def find(self, record_key: str) -> SharedRecord | None:
        """Look a record up."""
        return self._table.find(record_key)

    def expire(self, now_s: float) -> None:
        """Drop the records whose lifetime is over."""
        self._table.expire(now_s)

    def share(
        self, record: SharedRecord, everywhere: bool, now_s: float
    ) -> None:
        """Take a record of this node, to be flushed."""
        entry = self._table.keep(record, everywhere, now_s)
        if entry is not None:
            self._parcels.append(_Parcel(entry))

    def greet(self, peer_id: InstanceId) -> SendPeer:
        """Tell a new peer what is known here."""
        summary = RecordSummary(self._own, self._table.versions())
        return SendPeer(peer_id, summary)

    def forget(self, peer_id: InstanceId) -> None:
        """Drop what was known of a link that ended."""
        self._peer_domains.pop(peer_id, None)

    def answer(
        self, peer_id: InstanceId, summary: RecordSummary, now_s: float
    ) -> list[Action]:
        """Send a new peer what it lacks."""
        self._peer_domains[peer_id] = summary.instance.domain
        newer = self._table.newer_than(
            summary.versions, self._shares_domain(peer_id), now_s
        )
        return [SendPeer(peer_id, batch) for batch in batches(newer)]

    def take(
        self, peer_id: InstanceId, batch: RecordBatch, now_s: float
    ) -> list[SharedRecord]:
        """Take a peer's records; return those that are news."""
        news: list[SharedRecord] = []
        for entry in batch.entries:
            learned = self._table.learn(entry, now_s)
            if learned is not None:
                record, onward = learned
                self._parcels.append(_Parcel(onward, peer_id))
                news.append(record)
        return news

    def flush(self, peer_ids: Iterable[InstanceId]) -> list[Action]:
        """Send what is new over the links that are up."""
        if not self._parcels:
            return []
        parcels = self._parcels
        self._parcels = []
        actions: list[Action] = []
        for peer_id in peer_ids:
            entries = self._entries_for(peer_id, parcels)
            actions.extend(
                SendPeer(peer_id, batch) for batch in batches(entries)
            )
        return actions

    def _entries_for(
        self, peer_id: InstanceId, parcels: Iterable[_Parcel]
    ) -> list[RecordEntry]:
        same_domain = self._shares_domain(peer_id)
        return [
            parcel.entry
            for parcel in parcels
            if parcel.source != peer_id
            and (same_domain or parcel.entry.everywhere)
        ]

    def _shares_domain(self, peer_id: InstanceId) -> bool:
        return self._peer_domains.get(peer_id) == self._own.domain
