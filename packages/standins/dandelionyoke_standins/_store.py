"""The platform's store as a pure model: revisions, leases and changes."""

import math
from collections import OrderedDict
from collections.abc import Iterator
from typing import Protocol

import attrs

from dandelionyoke_standins._errors import (
    ConflictError,
    MissingError,
    TooLargeError,
)

MAX_VALUE_BYTES = 1_048_576
MAX_REMOVALS = 100_000


@attrs.frozen
class StoreEntry:
    """A key at a revision; no value once it is removed."""

    key: str
    revision: int
    value: str | None = None


@attrs.frozen
class StoreChanges:
    """The latest change of each key, in order of revision."""

    revision: int
    items: tuple[StoreEntry, ...]


class Store(Protocol):
    """What any implementation of the store offers, with time passed in."""

    def read(self, key: str) -> StoreEntry:
        """Give the entry, at revision 0 when the key is absent."""

    def write(
        self,
        key: str,
        value: str,
        expected_revision: int,
        lease_id: str | None = None,
    ) -> StoreEntry:
        """Write if the key is at that revision (0: absent)."""

    def delete(self, key: str, expected_revision: int) -> StoreEntry:
        """Remove if the key is at that revision."""

    def list_prefix(self, prefix: str) -> StoreChanges:
        """Give every present key with the prefix, in order of key."""

    def changes_after(self, prefix: str, revision: int) -> StoreChanges:
        """Give the changes of keys with the prefix after a revision."""

    def grant_lease(self, ttl_s: float, now_s: float) -> str:
        """Open a lease that lapses unless it is renewed."""

    def renew_lease(self, lease_id: str, now_s: float) -> float:
        """Let a lease run for its whole time again."""

    def revoke_lease(self, lease_id: str, now_s: float) -> None:
        """End a lease and remove its keys."""


@attrs.define
class _Lease:
    ttl_s: float
    expires_s: float
    keys: set[str] = attrs.field(factory=set)


class StoreModel:
    """One store in memory. It moves on only when it is called."""

    def __init__(self) -> None:
        self.revision = 0
        self._entries: OrderedDict[str, StoreEntry] = OrderedDict()
        self._removed_count = 0
        self._leases: dict[str, _Lease] = {}
        self._lease_of: dict[str, str] = {}
        self._granted = 0
        # No lease lapses before this time.
        self._checked_until_s = math.inf

    def read(self, key: str) -> StoreEntry:
        """Give the entry, at revision 0 when the key is absent."""
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
        """Write if the key is at that revision (0: absent)."""
        if len(value.encode()) > MAX_VALUE_BYTES:
            raise TooLargeError(key=key, limit_bytes=MAX_VALUE_BYTES)
        self._expect(key, expected_revision)
        if lease_id is not None and lease_id not in self._leases:
            raise MissingError(lease_id=lease_id, cause='lease_lapsed')
        self._detach(key)
        if lease_id is not None:
            self._leases[lease_id].keys.add(key)
            self._lease_of[key] = lease_id
        return self._put(key, value)

    def delete(self, key: str, expected_revision: int) -> StoreEntry:
        """Remove if the key is at that revision."""
        if expected_revision == 0:
            raise ConflictError(**attrs.asdict(self.read(key)))
        self._expect(key, expected_revision)
        return self._remove(key)

    def list_prefix(self, prefix: str) -> StoreChanges:
        """Give every present key with the prefix, in order of key."""
        present = [
            entry
            for entry in self._entries.values()
            if entry.value is not None and entry.key.startswith(prefix)
        ]
        present.sort(key=lambda entry: entry.key)
        return StoreChanges(self.revision, tuple(present))

    def changes_after(self, prefix: str, revision: int) -> StoreChanges:
        """Give the changes of keys with the prefix after a revision."""
        found = [
            entry
            for entry in self._newest_first(revision)
            if entry.key.startswith(prefix)
        ]
        return StoreChanges(self.revision, tuple(reversed(found)))

    def grant_lease(self, ttl_s: float, now_s: float) -> str:
        """Open a lease that lapses unless it is renewed."""
        self._granted += 1
        lease_id = f'lease-{self._granted}'
        expires_s = now_s + ttl_s
        self._checked_until_s = min(self._checked_until_s, expires_s)
        self._leases[lease_id] = _Lease(ttl_s, expires_s)
        return lease_id

    def renew_lease(self, lease_id: str, now_s: float) -> float:
        """Let a lease run for its whole time again."""
        self.expire(now_s)
        lease = self._live_lease(lease_id)
        lease.expires_s = now_s + lease.ttl_s
        return lease.ttl_s

    def revoke_lease(self, lease_id: str, now_s: float) -> None:
        """End a lease and remove its keys."""
        self.expire(now_s)
        self._live_lease(lease_id)
        self._end_lease(lease_id)

    def expire(self, now_s: float) -> None:
        """End the leases whose time is over."""
        if now_s < self._checked_until_s:
            return
        lapsed = [
            lease_id
            for lease_id, lease in self._leases.items()
            if lease.expires_s <= now_s
        ]
        for lease_id in lapsed:
            self._end_lease(lease_id)
        self._checked_until_s = self.next_expiry_s or math.inf

    @property
    def next_expiry_s(self) -> float | None:
        """When the next lease lapses, if any is open."""
        times = (lease.expires_s for lease in self._leases.values())
        return min(times, default=None)

    def _expect(self, key: str, expected_revision: int) -> None:
        present = self.read(key)
        if present.revision != expected_revision:
            raise ConflictError(**attrs.asdict(present))

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
        self._detach(key)
        entry = self._put(key, None)
        self._removed_count += 1
        if self._removed_count > MAX_REMOVALS:
            self._forget_removals()
        return entry

    def _detach(self, key: str) -> None:
        lease = self._leases.get(self._lease_of.pop(key, ''))
        if lease is not None:
            lease.keys.discard(key)

    def _forget_removals(self) -> None:
        """Drop the older half, which no waiting watch asks for any more."""
        gone = [key for key, entry in self._entries.items() if _is_gone(entry)]
        for key in gone[: len(gone) // 2]:
            self._entries.pop(key)
        self._removed_count = len(gone) - len(gone) // 2

    def _newest_first(self, revision: int) -> Iterator[StoreEntry]:
        for entry in reversed(self._entries.values()):
            if entry.revision <= revision:
                return
            yield entry


def _is_gone(entry: StoreEntry) -> bool:
    return entry.value is None
