"""Table of shared records, and selection of the records to send to a peer."""

import heapq
from collections.abc import Iterable, Iterator, Mapping

import attrs

from dandelionyoke_core._codec import message_from_mapping, message_to_mapping
from dandelionyoke_core._errors import CodecError
from dandelionyoke_core._events import SharedRecord
from dandelionyoke_core._membership_messages import RecordBatch, RecordEntry

RECORDS_PER_BATCH = 32


@attrs.frozen
class GossipSettings:
    """Limit of the record table.

    A full table rejects new keys but still accepts new versions of the keys
    that it holds.
    """

    max_records: int = 8192


@attrs.frozen
class _StoredRecord:
    record: SharedRecord
    mapping: Mapping[str, object]
    everywhere: bool
    expires_s: float


class RecordTable:
    """Stores the newest version of each shared record until it expires."""

    def __init__(self, settings: GossipSettings) -> None:
        self._settings = settings
        self._stored: dict[str, _StoredRecord] = {}
        self._expiry_heap: list[tuple[float, str]] = []

    def __len__(self) -> int:
        return len(self._stored)

    def find(self, record_key: str) -> SharedRecord | None:
        """Return the record with this key, or None."""
        stored = self._stored.get(record_key)
        return None if stored is None else stored.record

    def store_local(
        self, record: SharedRecord, everywhere: bool, now_s: float
    ) -> RecordEntry | None:
        """Store a record of this node; return the entry to send if new."""
        if not self._is_newer(record.record_key, record.version):
            return None
        return self._store(
            _StoredRecord(
                record=record,
                mapping=message_to_mapping(record),
                everywhere=everywhere,
                expires_s=now_s + record.lifetime_s,
            ),
            now_s,
        )

    def store_received(
        self, entry: RecordEntry, now_s: float
    ) -> tuple[SharedRecord, RecordEntry] | None:
        """Store a record received from a peer if its version is newer.

        Returns the record and the entry to pass on to other peers. Ignores
        records that cannot be decoded.
        """
        # Most received records are already known, so skip decoding them.
        record_key = entry.record.get('record_key')
        if not self._is_newer(record_key, entry.record.get('version')):
            return None
        try:
            record = message_from_mapping(entry.record)
        except CodecError:
            return None
        if not isinstance(record, SharedRecord):
            return None
        remaining_s = min(entry.remaining_s, record.lifetime_s)
        stored = _StoredRecord(
            record=record,
            mapping=entry.record,
            everywhere=entry.everywhere,
            expires_s=now_s + remaining_s,
        )
        return record, self._store(stored, now_s)

    def expire(self, now_s: float) -> None:
        """Remove expired records."""
        while self._expiry_heap and self._expiry_heap[0][0] <= now_s:
            _, record_key = heapq.heappop(self._expiry_heap)
            stored = self._stored.get(record_key)
            if stored is not None and stored.expires_s <= now_s:
                self._stored.pop(record_key)

    def versions(self) -> dict[str, int]:
        """Return the version of each stored record by key."""
        return {
            record_key: stored.record.version
            for record_key, stored in self._stored.items()
        }

    def newer_than(
        self, versions: Mapping[str, int], same_domain: bool, now_s: float
    ) -> Iterator[RecordEntry]:
        """Yield the records that are newer than the given versions.

        Records of one domain are included only for a peer in that domain.
        """
        for record_key, stored in self._stored.items():
            in_scope = same_domain or stored.everywhere
            if in_scope and stored.record.version > versions.get(
                record_key, -1
            ):
                yield _make_entry(stored, now_s)

    def _is_newer(self, record_key: object, version: object) -> bool:
        if not isinstance(record_key, str) or not isinstance(version, int):
            return False
        stored = self._stored.get(record_key)
        if stored is None:
            return len(self._stored) < self._settings.max_records
        return version > stored.record.version

    def _store(self, stored: _StoredRecord, now_s: float) -> RecordEntry:
        record_key = stored.record.record_key
        self._stored[record_key] = stored
        heapq.heappush(self._expiry_heap, (stored.expires_s, record_key))
        return _make_entry(stored, now_s)


def batches(entries: Iterable[RecordEntry]) -> Iterator[RecordBatch]:
    """Split entries into batches that fit in one frame."""
    pending = tuple(entries)
    for start in range(0, len(pending), RECORDS_PER_BATCH):
        yield RecordBatch(pending[start : start + RECORDS_PER_BATCH])


def _make_entry(stored: _StoredRecord, now_s: float) -> RecordEntry:
    return RecordEntry(
        record=stored.mapping,
        everywhere=stored.everywhere,
        remaining_s=stored.expires_s - now_s,
    )
