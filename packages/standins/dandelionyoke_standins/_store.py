"""A pure model of the platform's store: revisions, leases and changes."""

import copy
import math
from collections import OrderedDict
from collections.abc import Iterator
from typing import Protocol

import attrs

from dandelionyoke_standins._errors import (
    ConflictError,
    GoneError,
    MissingError,
    TooLargeError,
)

MAX_VALUE_BYTES = 1_048_576
MAX_TOMBSTONES = 100_000


@attrs.frozen
class StoreEntry:
    """A key at a revision; the value is None once the key is removed."""

    key: str
    revision: int
    value: str | None = None


@attrs.frozen
class StoreChanges:
    """The latest change of each key, in order of revision."""

    revision: int
    items: tuple[StoreEntry, ...]


class Store(Protocol):
    """The interface of a store; callers pass the current time."""

    def read(self, key: str) -> StoreEntry:
        """Return the entry; an absent key has revision 0."""

    def write(
        self,
        key: str,
        value: str,
        expected_revision: int,
        lease_id: str | None = None,
    ) -> StoreEntry:
        """Write a value if the key is at this revision (0: absent)."""

    def delete(self, key: str, expected_revision: int) -> StoreEntry:
        """Remove a key if it is at this revision."""

    def list_prefix(self, prefix: str) -> StoreChanges:
        """Return all present keys with a prefix, sorted by key."""

    def changes_after(self, prefix: str, revision: int) -> StoreChanges:
        """Return the changes to keys with a prefix after a revision."""

    def grant_lease(self, ttl_s: float, now_s: float) -> str:
        """Grant a lease that expires unless it is renewed."""

    def renew_lease(self, lease_id: str, now_s: float) -> float:
        """Restart the full term of a lease and return the term (s)."""

    def revoke_lease(self, lease_id: str, now_s: float) -> None:
        """Revoke a lease and remove its keys."""


@attrs.define
class _Lease:
    ttl_s: float
    expires_s: float
    keys: set[str] = attrs.field(factory=set)


@attrs.frozen
class StoreCopy:
    """What a store held, to come back from."""

    revision: int
    lease_count: int
    entries: OrderedDict[str, StoreEntry]
    leases: dict[str, _Lease]
    lease_of: dict[str, str]


class StoreModel:
    """An in-memory store; leases expire only when it is called."""

    def __init__(self) -> None:
        self.revision = 0
        # Rises each time that the store comes back from a copy.
        self.era = 1
        self._entries: OrderedDict[str, StoreEntry] = OrderedDict()
        self._tombstone_count = 0
        self._leases: dict[str, _Lease] = {}
        self._lease_of: dict[str, str] = {}
        self._lease_count = 0
        # No lease expires before this time.
        self._next_check_s = math.inf

    def read(self, key: str) -> StoreEntry:
        """Return the entry; an absent key has revision 0."""
        entry = self._entries.get(key)
        if entry is None or entry.value is None:
            return StoreEntry(key, 0)
        return entry

    def write(
        self,
        key: str,
        value: str,
        expected_revision: int,
        lease_id: str | None = None,
    ) -> StoreEntry:
        """Write a value if the key is at this revision (0: absent)."""
        if len(value.encode()) > MAX_VALUE_BYTES:
            raise TooLargeError(key=key, limit_bytes=MAX_VALUE_BYTES)
        self._check_revision(key, expected_revision)
        if lease_id is not None and lease_id not in self._leases:
            raise MissingError(lease_id=lease_id, cause='lease_lapsed')
        self._detach_from_lease(key)
        if lease_id is not None:
            self._leases[lease_id].keys.add(key)
            self._lease_of[key] = lease_id
        return self._put(key, value)

    def delete(self, key: str, expected_revision: int) -> StoreEntry:
        """Remove a key if it is at this revision."""
        if expected_revision == 0:
            raise ConflictError(**attrs.asdict(self.read(key)))
        self._check_revision(key, expected_revision)
        return self._remove(key)

    def list_prefix(self, prefix: str) -> StoreChanges:
        """Return all present keys with a prefix, sorted by key."""
        present = [
            entry
            for entry in self._entries.values()
            if entry.value is not None and entry.key.startswith(prefix)
        ]
        present.sort(key=lambda entry: entry.key)
        return StoreChanges(self.revision, tuple(present))

    def changes_after(self, prefix: str, revision: int) -> StoreChanges:
        """Return the changes to keys with a prefix after a revision."""
        if revision > self.revision:
            raise GoneError(revision=revision, cause='unknown_revision')
        changed = [
            entry
            for entry in self._newest_first(revision)
            if entry.key.startswith(prefix)
        ]
        return StoreChanges(self.revision, tuple(reversed(changed)))

    def grant_lease(self, ttl_s: float, now_s: float) -> str:
        """Grant a lease that expires unless it is renewed."""
        self._lease_count += 1
        lease_id = f'lease-{self._lease_count}'
        expires_s = now_s + ttl_s
        self._next_check_s = min(self._next_check_s, expires_s)
        self._leases[lease_id] = _Lease(ttl_s, expires_s)
        return lease_id

    def renew_lease(self, lease_id: str, now_s: float) -> float:
        """Restart the full term of a lease and return the term (s)."""
        self.expire(now_s)
        lease = self._live_lease(lease_id)
        lease.expires_s = now_s + lease.ttl_s
        return lease.ttl_s

    def revoke_lease(self, lease_id: str, now_s: float) -> None:
        """Revoke a lease and remove its keys."""
        self.expire(now_s)
        self._live_lease(lease_id)
        self._end_lease(lease_id)

    def expire(self, now_s: float) -> None:
        """Remove expired leases and their keys."""
        if now_s < self._next_check_s:
            return
        expired = [
            lease_id
            for lease_id, lease in self._leases.items()
            if lease.expires_s <= now_s
        ]
        for lease_id in expired:
            self._end_lease(lease_id)
        self._next_check_s = self.next_expiry_s or math.inf

    def take_copy(self) -> StoreCopy:
        """Copy what the store holds."""
        return StoreCopy(
            self.revision,
            self._lease_count,
            self._entries.copy(),
            copy.deepcopy(self._leases),
            self._lease_of.copy(),
        )

    def return_from(self, held: StoreCopy, now_s: float) -> None:
        """Lose all changes since a copy; its leases begin anew.

        The revisions and leases since are given out again.
        """
        self.era += 1
        self.revision = held.revision
        self._lease_count = held.lease_count
        self._entries = held.entries.copy()
        self._leases = copy.deepcopy(held.leases)
        self._lease_of = held.lease_of.copy()
        for lease in self._leases.values():
            lease.expires_s = now_s + lease.ttl_s
        self._tombstone_count = sum(map(_is_tombstone, self._entries.values()))
        self._next_check_s = self.next_expiry_s or math.inf

    @property
    def next_expiry_s(self) -> float | None:
        """When the next lease expires, or None without leases."""
        times = (lease.expires_s for lease in self._leases.values())
        return min(times, default=None)

    def _check_revision(self, key: str, expected_revision: int) -> None:
        current = self.read(key)
        if current.revision != expected_revision:
            raise ConflictError(**attrs.asdict(current))

    def _live_lease(self, lease_id: str) -> _Lease:
        lease = self._leases.get(lease_id)
        if lease is None:
            raise MissingError(lease_id=lease_id, cause='lease_lapsed')
        return lease

    def _end_lease(self, lease_id: str) -> None:
        lease = self._leases.pop(lease_id)
        for key in sorted(lease.keys):
            self._remove(key)

    def _put(self, key: str, value: str | None) -> StoreEntry:
        self.revision += 1
        entry = StoreEntry(key, self.revision, value)
        self._entries[key] = entry
        self._entries.move_to_end(key)
        return entry

    def _remove(self, key: str) -> StoreEntry:
        self._detach_from_lease(key)
        entry = self._put(key, None)
        self._tombstone_count += 1
        if self._tombstone_count > MAX_TOMBSTONES:
            self._trim_tombstones()
        return entry

    def _detach_from_lease(self, key: str) -> None:
        lease = self._leases.get(self._lease_of.pop(key, ''))
        if lease is not None:
            lease.keys.discard(key)

    def _trim_tombstones(self) -> None:
        """Drop the older half of the tombstones.

        No waiting watch needs them any more.
        """
        tombstones = [
            key for key, entry in self._entries.items() if _is_tombstone(entry)
        ]
        for key in tombstones[: len(tombstones) // 2]:
            self._entries.pop(key)
        self._tombstone_count = len(tombstones) - len(tombstones) // 2

    def _newest_first(self, revision: int) -> Iterator[StoreEntry]:
        for entry in reversed(self._entries.values()):
            if entry.revision <= revision:
                return
            yield entry


def _is_tombstone(entry: StoreEntry) -> bool:
    return entry.value is None
