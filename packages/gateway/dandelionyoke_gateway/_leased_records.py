"""Records in the store that go by themselves."""

from dandelionyoke_core import (
    LeaseGrant,
    LeaseGranted,
    LeaseId,
    LeaseRenew,
    OperationId,
    StoreConflict,
    StorePut,
    StoreResult,
    StoreWritten,
)
from dandelionyoke_gateway._clock import clock_s
from dandelionyoke_gateway._ports import Store

# The part of its time after which a lease takes no new records, or is renewed.
RENEW_AFTER_SHARE = 0.5


class LeasedRecords:
    """Writes records under a lease, so that the store removes them."""

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
        """Write a record at its expected revision; 0 creates it."""
        answer = self._store.perform(
            StorePut(
                OperationId('record'),
                key,
                text,
                expected_revision,
                self._current_lease(),
            )
        )
        if not isinstance(answer, StoreWritten | StoreConflict):
            self._lease_id = None
        return answer

    def keep_alive(self, key: str, text: str) -> None:
        """Keep a record of this process alone for as long as this is called.

        One that an earlier process left under the key goes with its lease.
        """
        lease_id = self._current_lease()
        if key in self._kept_keys or lease_id is None:
            return
        if isinstance(self.write(key, text, 0), StoreWritten):
            self._kept_keys.add(key)

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
        return self._lease_id

    def _renew(self, lease_id: LeaseId) -> bool:
        answer = self._store.perform(
            LeaseRenew(OperationId('records'), lease_id)
        )
        return isinstance(answer, LeaseGranted)
