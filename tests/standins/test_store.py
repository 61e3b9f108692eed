"""Tests that every implementation of the store must pass."""

import itertools

import testtools

from dandelionyoke_standins import (
    ConflictError,
    GoneError,
    MissingError,
    Store,
    StoreModel,
    TooLargeError,
)


class StoreContract:
    """Tests for any store; a test case inherits it and creates the store."""

    TTL_S = 10.0

    def make_store(self) -> Store:
        raise NotImplementedError

    def test_a_write_needs_the_current_revision(self) -> None:
        store = self.make_store()
        first = store.write('a', 'one', 0)
        refusal = self.assertRaises(ConflictError, store.write, 'a', 'two', 0)
        self.assertEqual('one', refusal.answer['value'])
        second = store.write('a', 'two', first.revision)
        self.assertGreater(second.revision, first.revision)
        self.assertEqual('two', store.read('a').value)

    def test_one_counter_numbers_the_writes_of_all_keys(self) -> None:
        store = self.make_store()
        revisions = [store.write(key, '', 0).revision for key in 'abc']
        pairs = itertools.pairwise(revisions)
        self.assertTrue(all(right == left + 1 for left, right in pairs))

    def test_a_removed_key_is_absent_and_its_change_is_seen(self) -> None:
        store = self.make_store()
        entry = store.write('a', 'one', 0)
        removal = store.delete('a', entry.revision)
        self.assertEqual(0, store.read('a').revision)
        self.assertRaises(ConflictError, store.delete, 'a', removal.revision)
        seen = store.changes_after('a', entry.revision).items
        self.assertEqual([None], [change.value for change in seen])

    def test_a_list_contains_only_the_prefix(self) -> None:
        store = self.make_store()
        for key in ('p/b', 'q/a', 'p/a'):
            store.write(key, key, 0)
        items = store.list_prefix('p/').items
        self.assertEqual(['p/a', 'p/b'], [entry.key for entry in items])

    def test_changes_come_in_order_and_only_after_the_revision(self) -> None:
        store = self.make_store()
        first = store.write('p/a', '1', 0)
        other = store.write('q/a', '1', 0)
        store.write('p/b', '1', 0)
        store.write('p/a', '2', first.revision)
        seen = store.changes_after('p/', other.revision).items
        self.assertEqual(
            [('p/b', '1'), ('p/a', '2')],
            [(change.key, change.value) for change in seen],
        )

    def test_a_revoked_lease_removes_its_keys(self) -> None:
        store = self.make_store()
        lease_id = store.grant_lease(self.TTL_S, 0)
        store.write('held', 'mine', 0, lease_id)
        store.write('free', 'all', 0)
        store.revoke_lease(lease_id, 1)
        self.assertEqual(0, store.read('held').revision)
        self.assertEqual('all', store.read('free').value)
        self.assertRaises(MissingError, store.renew_lease, lease_id, 1)

    def test_a_rewritten_key_outlives_its_former_lease(self) -> None:
        store = self.make_store()
        lease_id = store.grant_lease(self.TTL_S, 0)
        held = store.write('key', 'mine', 0, lease_id)
        store.write('key', 'theirs', held.revision)
        store.revoke_lease(lease_id, 1)
        self.assertEqual('theirs', store.read('key').value)

    def test_a_value_over_the_limit_is_refused(self) -> None:
        store = self.make_store()
        store.write('fits', 'x' * 1_048_576, 0)
        self.assertRaises(
            TooLargeError, store.write, 'over', 'x' * 1_048_577, 0
        )


class StoreModelTest(StoreContract, testtools.TestCase):
    def make_store(self) -> StoreModel:
        return StoreModel()

    def test_a_lease_expires_unless_it_is_renewed(self) -> None:
        # A holder that was paused beyond its lease must find its key gone,
        # or two holders would both act on the same duty.
        store = StoreModel()
        lease_id = store.grant_lease(10, 0)
        store.write('duty', 'mine', 0, lease_id)
        store.renew_lease(lease_id, 9)
        self.assertEqual(19, store.next_expiry_s)
        store.expire(18.9)
        self.assertEqual('mine', store.read('duty').value)
        store.expire(19)
        self.assertEqual(0, store.read('duty').revision)
        self.assertRaises(MissingError, store.renew_lease, lease_id, 19)
        self.assertRaises(
            MissingError, store.write, 'duty', 'late', 0, lease_id
        )


class StoreCopyTest(testtools.TestCase):
    """A store that comes back from a copy."""

    def test_what_came_after_the_copy_is_lost_and_given_out_again(self) -> None:
        store = StoreModel()
        store.write('kept', 'a', 0)
        held = store.take_copy()
        lost = store.write('lost', 'b', 0)
        lease_id = store.grant_lease(10.0, 0.0)
        store.return_from(held, 1.0)
        self.assertEqual(2, store.era)
        self.assertEqual(0, store.read('lost').revision)
        self.assertEqual('a', store.read('kept').value)
        self.assertEqual(lost.revision, store.write('x', 'c', 0).revision)
        self.assertEqual(lease_id, store.grant_lease(10.0, 1.0))

    def test_leases_of_the_copy_begin_anew(self) -> None:
        store = StoreModel()
        lease_id = store.grant_lease(10.0, 0.0)
        store.write('k', 'a', 0, lease_id)
        held = store.take_copy()
        store.expire(20.0)
        store.return_from(held, 20.0)
        store.expire(29.0)
        self.assertEqual('a', store.read('k').value)
        store.expire(30.0)
        self.assertIsNone(store.read('k').value)

    def test_a_watch_from_a_lost_revision_is_refused(self) -> None:
        store = StoreModel()
        held = store.take_copy()
        lost = store.write('k', 'a', 0)
        store.return_from(held, 0.0)
        self.assertRaises(GoneError, store.changes_after, 'k', lost.revision)
