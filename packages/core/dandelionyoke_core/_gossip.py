"""The table of shared records, and what of it a link has to carry."""

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
    """How many records are kept; a full table takes no new keys."""

    max_records: int = 8192


@attrs.frozen
class _Held:
    record: SharedRecord
    mapping: Mapping[str, object]
    everywhere: bool
    expires_s: float


class RecordTable:
    """The newest version of each shared record, for as long as it lives."""

    def __init__(self, settings: GossipSettings) -> None:
        self._settings = settings
        self._held: dict[str, _Held] = {}
        self._expiries: list[tuple[float, str]] = []

    def __len__(self) -> int:
        return len(self._held)

    def find(self, record_key: str) -> SharedRecord | None:
        """Look a record up."""
        held = self._held.get(record_key)
        return None if held is None else held.record

    def keep(
        self, record: SharedRecord, everywhere: bool, now_s: float
    ) -> RecordEntry | None:
        """Take a record of this node; return what links have to carry."""
        if not self._is_new(record.record_key, record.version):
            return None
        return self._hold(
            _Held(
                record=record,
                mapping=message_to_mapping(record),
                everywhere=everywhere,
                expires_s=now_s + record.lifetime_s,
            ),
            now_s,
        )

    def learn(
        self, entry: RecordEntry, now_s: float
    ) -> tuple[SharedRecord, RecordEntry] | None:
        """Take a peer's record, if it is new here."""
        # Most of what arrives is known already; it is not worth decoding.
        record_key = entry.record.get('record_key')
        if not self._is_new(record_key, entry.record.get('version')):
            return None
        try:
            record = message_from_mapping(entry.record)
        except CodecError:
            return None
        if not isinstance(record, SharedRecord):
            return None
        remaining_s = min(entry.remaining_s, record.lifetime_s)
        held = _Held(
            record=record,
            mapping=entry.record,
            everywhere=entry.everywhere,
            expires_s=now_s + remaining_s,
        )
        return record, self._hold(held, now_s)

    def expire(self, now_s: float) -> None:
        """Drop the records whose lifetime is over."""
        while self._expiries and self._expiries[0][0] <= now_s:
            _, record_key = heapq.heappop(self._expiries)
            held = self._held.get(record_key)
            if held is not None and held.expires_s <= now_s:
                self._held.pop(record_key)

    def versions(self) -> dict[str, int]:
        """Sum up what this node has."""
        return {
            record_key: held.record.version
            for record_key, held in self._held.items()
        }

    def newer_than(
        self, versions: Mapping[str, int], same_domain: bool, now_s: float
    ) -> Iterator[RecordEntry]:
        """Find what the sender of a summary lacks."""
        for record_key, held in self._held.items():
            in_scope = same_domain or held.everywhere
            if in_scope and held.record.version > versions.get(record_key, -1):
                yield _entry(held, now_s)

    def _is_new(self, record_key: object, version: object) -> bool:
        if not isinstance(record_key, str) or not isinstance(version, int):
            return False
        held = self._held.get(record_key)
        if held is None:
            return len(self._held) < self._settings.max_records
        return version > held.record.version

    def _hold(self, held: _Held, now_s: float) -> RecordEntry:
        record_key = held.record.record_key
        self._held[record_key] = held
        heapq.heappush(self._expiries, (held.expires_s, record_key))
        return _entry(held, now_s)


def batches(entries: Iterable[RecordEntry]) -> Iterator[RecordBatch]:
    """Cut entries into messages that fit a frame."""
    waiting = tuple(entries)
    for start in range(0, len(waiting), RECORDS_PER_BATCH):
        yield RecordBatch(waiting[start : start + RECORDS_PER_BATCH])


def _entry(held: _Held, now_s: float) -> RecordEntry:
    return RecordEntry(
        record=held.mapping,
        everywhere=held.everywhere,
        remaining_s=held.expires_s - now_s,
    )
