"""Records that expire in the store together with their lease."""

from dandelionyoke_core import (
    LeaseGrant,
    LeaseGranted,
    LeaseId,
    LeaseRenew,
    OperationId,
    StoreConflict,
    StoreFailed,
    StorePut,
    StoreResult,
    StoreWritten,
)
from dandelionyoke_gateway._clock import clock_s
from dandelionyoke_gateway._ports import Store

# After this share of its TTL, a lease is renewed or replaced by a new one.
RENEW_AFTER_SHARE = 0.5


class LeasedRecords:
    """Writes records under a lease; the store removes them when it expires."""

    def __init__(
        self, store: Store, ttl_s: float, *, renews: bool = False
    ) -> None:
        self._store = store
        self._ttl_s = ttl_s
        self._renews = renews
        self._lease_id: LeaseId | None = None
        self._granted_s = 0.0
        self._kept_keys: set[str] = set()

    def write(self, key: str, text: str, expected_revision: int) -> StoreResult:
        """Write a record if it has the expected revision; 0 creates it.

        Without a lease nothing is written: the record would never expire.
        """
        lease_id = self._current_lease()
        if lease_id is None:
            return StoreFailed('no lease', may_have_been_applied=False)
        answer = self._store.perform(
            StorePut(
                OperationId('record'),
                key,
                text,
                expected_revision,
                lease_id,
            )
        )
        if not isinstance(answer, StoreWritten | StoreConflict):
            self._lease_id = None
        return answer

    def keep_alive(self, key: str, text: str) -> None:
        """Write a record once and keep its lease alive; call this regularly.

        A record with the same text is taken over, as it may be of a copy of
        the store, with a lease that nobody renews. Another one that an earlier
        process left under the key must first expire with its lease.
        """
        lease_id = self._current_lease()
        if key in self._kept_keys or lease_id is None:
            return
        answer = self.write(key, text, 0)
        if isinstance(answer, StoreConflict) and answer.present.value == text:
            answer = self.write(key, text, answer.present.revision)
        if isinstance(answer, StoreWritten):
            self._kept_keys.add(key)

    def forget_lease(self) -> None:
        """Use a new lease from now on: the store may have lost the last one."""
        self._lease_id = None
        self._kept_keys.clear()

    def _current_lease(self) -> LeaseId | None:
        now_s = clock_s()
        age_s = now_s - self._granted_s
        if self._lease_id and age_s < RENEW_AFTER_SHARE * self._ttl_s:
            return self._lease_id
        if self._lease_id and self._renews and self._renew(self._lease_id):
            self._granted_s = now_s
            return self._lease_id
        granted = self._store.perform(
            LeaseGrant(OperationId('records'), self._ttl_s)
        )
        self._kept_keys.clear()
        if isinstance(granted, LeaseGranted):
            self._lease_id = granted.lease_id
            self._granted_s = now_s
        elif age_s >= self._ttl_s:
            self._lease_id = None
        return self._lease_id

    def _renew(self, lease_id: LeaseId) -> bool:
        answer = self._store.perform(
            LeaseRenew(OperationId('records'), lease_id)
        )
        return isinstance(answer, LeaseGranted)
