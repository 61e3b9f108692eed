"""Tests of records that are written while the store grants no lease."""

import testtools

from dandelionyoke_core import (
    Action,
    LeaseGrant,
    LeaseGranted,
    LeaseId,
    StoreConflict,
    StoreFailed,
    StoreItem,
    StorePut,
    StoreResult,
    StoreWritten,
)
from dandelionyoke_gateway._leased_records import LeasedRecords


class FakeStore:
    """A store that accepts all records and may grant no lease."""

    def __init__(self) -> None:
        self.grants_leases = True
        # What it holds under any key, which a write must expect.
        self.present: StoreItem | None = None
        self.lease_ids: list[LeaseId | None] = []

    def perform(self, action: Action) -> StoreResult:
        """Perform an action."""
        if isinstance(action, StorePut):
            present = self.present
            if present and action.expected_revision != present.revision:
                return StoreConflict(present)
            self.lease_ids.append(action.lease_id)
            return StoreWritten(action.key, 1)
        if isinstance(action, LeaseGrant) and self.grants_leases:
            return LeaseGranted(LeaseId('7'), action.ttl_s)
        return StoreFailed('busy', may_have_been_applied=False)


class LeasedRecordsTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.store = FakeStore()

    def test_a_record_without_a_lease_is_not_written(self) -> None:
        """Guards against records that never expire."""
        self.store.grants_leases = False
        records = LeasedRecords(self.store, 60.0)
        self.assertIsInstance(records.write('k', 'x', 0), StoreFailed)
        self.assertEqual([], self.store.lease_ids)

    def test_an_expired_lease_is_not_used(self) -> None:
        """Guards against a write that the store refuses."""
        records = LeasedRecords(self.store, 0.0)
        records.write('k', 'x', 0)
        self.store.grants_leases = False
        self.assertIsInstance(records.write('k', 'x', 1), StoreFailed)
        self.assertEqual(['7'], self.store.lease_ids)

    def test_a_lease_that_cannot_be_replaced_yet_is_used(self) -> None:
        records = LeasedRecords(self.store, 60.0)
        records.write('k', 'x', 0)
        self.store.grants_leases = False
        self.assertIsInstance(records.write('k', 'x', 1), StoreWritten)
        self.assertEqual(['7', '7'], self.store.lease_ids)

    def test_a_kept_record_of_a_copy_is_taken_over(self) -> None:
        """Guards against a record that expires as nobody renews its lease."""
        records = LeasedRecords(self.store, 60.0)
        self.store.present = StoreItem('k', 5, 'x')
        records.keep_alive('k', 'x')
        self.assertEqual(['7'], self.store.lease_ids)
        records.keep_alive('k', 'x')
        self.assertEqual(['7'], self.store.lease_ids)

    def test_a_record_of_an_earlier_process_is_left_to_expire(self) -> None:
        records = LeasedRecords(self.store, 60.0)
        self.store.present = StoreItem('k', 5, 'another')
        records.keep_alive('k', 'x')
        self.assertEqual([], self.store.lease_ids)

    def test_a_kept_record_is_written_again_under_a_new_lease(self) -> None:
        """Guards against a record that is lost with the store's last writes."""
        records = LeasedRecords(self.store, 60.0)
        records.keep_alive('k', 'x')
        records.forget_lease()
        records.keep_alive('k', 'x')
        self.assertEqual(['7', '7'], self.store.lease_ids)
