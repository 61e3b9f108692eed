"""Revisions and leases of a store that comes back from a copy."""

import testtools

from dandelionyoke_core import (
    Action,
    LeaseExpired,
    LeaseGrant,
    LeaseGranted,
    LeaseId,
    LeaseRenew,
    OperationId,
    StoreConflict,
    StoreDelete,
    StoreEra,
    StoreFailed,
    StoreGet,
    StoreItem,
    StoreList,
    StoreListing,
    StorePut,
    StoreResult,
    StoreWatch,
    StoreWritten,
    era_of,
    number_of,
    revision_in,
)

OPERATION = OperationId('o')
GET = StoreGet(OPERATION, 'k')


class Listener:
    def __init__(self) -> None:
        self.eras: list[int] = []
        self.unreadable: list[str] = []

    def era_began(self, era: int) -> None:
        self.eras.append(era)

    def era_unreadable(self, text: str) -> None:
        self.unreadable.append(text)


class EraTestCase(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.era = StoreEra()
        self.listener = Listener()
        self.era.listen(self.listener)

    def answer(
        self, result: StoreResult, era: str | None, action: Action = GET
    ) -> StoreResult:
        return self.era.interpret(action, result, era)

    def revision(self, number: int, era: str | None) -> int:
        """Return the revision of an item that the store has at a number."""
        item = self.answer(StoreItem('k', number, 'v'), era)
        assert isinstance(item, StoreItem), item
        return item.revision


class RevisionTest(EraTestCase):
    def test_a_store_without_eras_keeps_its_numbers(self) -> None:
        self.assertEqual(7, self.revision(7, None))
        put = StorePut(OPERATION, 'k', 'v', 7)
        self.assertEqual(put, self.era.translate(put))

    def test_a_lower_number_of_a_later_era_is_newer(self) -> None:
        """Guards against a change that is left out as an older one."""
        before, after = self.revision(500, '1'), self.revision(420, '2')
        self.assertGreater(after, before)
        self.assertEqual((2, 420), (era_of(after), number_of(after)))
        self.assertEqual(after, revision_in(2, 420))

    def test_a_missing_key_stays_missing(self) -> None:
        self.assertEqual(0, self.revision(0, '3'))

    def test_all_results_are_of_their_era(self) -> None:
        item = StoreItem('k', 5, 'v')
        expected = revision_in(2, 5)
        written = self.answer(StoreWritten('k', 5), '2')
        self.assertEqual(StoreWritten('k', expected), written)
        conflict = self.answer(StoreConflict(item), '2')
        self.assertEqual(StoreConflict(StoreItem('k', expected, 'v')), conflict)
        listing = self.answer(StoreListing(9, (item,)), '2')
        self.assertEqual(
            StoreListing(revision_in(2, 9), (StoreItem('k', expected, 'v'),)),
            listing,
        )


class EraTest(EraTestCase):
    def test_only_a_return_is_told(self) -> None:
        """Guards against a start that is taken for a return."""
        for era in ('3', '3', None, '4'):
            self.answer(StoreItem('k', 1, 'v'), era)
        self.assertEqual([4], self.listener.eras)

    def test_an_answer_of_an_earlier_era_is_not_used(self) -> None:
        """Guards against a late answer that brings back what was lost."""
        self.revision(1, '2')
        late = self.answer(StoreItem('k', 500, 'old'), '1')
        self.assertIsInstance(late, StoreFailed)
        self.assertEqual([], self.listener.eras)

    def test_an_era_that_is_no_number_changes_nothing(self) -> None:
        """Guards against a header that makes all later answers too old."""
        self.revision(1, '2')
        for text in ('', 'x', '-1', '2.5', '9' * 30, '99999', '٣'):
            self.assertEqual(revision_in(2, 7), self.revision(7, text))
        self.assertEqual(1, len(self.listener.unreadable))
        self.assertEqual([], self.listener.eras)


class LostTest(EraTestCase):
    """Actions that depend on what may be lost."""

    def setUp(self) -> None:
        super().setUp()
        self.held = self.revision(5, '1')
        granted = self.answer(
            LeaseGranted(LeaseId('8'), 4.0), '1', LeaseGrant(OPERATION, 4.0)
        )
        assert isinstance(granted, LeaseGranted)
        self.lease_id = granted.lease_id
        self.put = StorePut(OPERATION, 'k', 'v', 0, self.lease_id)
        self.renew = LeaseRenew(OPERATION, self.lease_id)
        self.watch = StoreWatch(OPERATION, 'k', self.held, 1.0)

    def translated(self, action: Action) -> Action:
        sent = self.era.translate(action)
        assert isinstance(sent, Action), sent
        return sent

    def test_they_are_sent_in_the_stores_terms(self) -> None:
        put = self.translated(self.put)
        self.assertEqual(StorePut(OPERATION, 'k', 'v', 0, LeaseId('8')), put)
        self.assertEqual(
            LeaseRenew(OPERATION, LeaseId('8')), self.translated(self.renew)
        )
        self.assertEqual(
            StoreWatch(OPERATION, 'k', 5, 1.0), self.translated(self.watch)
        )
        renewed = self.answer(LeaseGranted(LeaseId('8'), 4.0), '1', self.renew)
        self.assertEqual(LeaseGranted(self.lease_id, 4.0), renewed)

    def test_they_are_not_sent_in_a_later_era(self) -> None:
        """Guards against a lease that is another node's by now."""
        self.revision(1, '2')
        self.assertIsInstance(self.era.translate(self.put), StoreFailed)
        self.assertIsInstance(self.era.translate(self.watch), StoreFailed)
        self.assertEqual(
            LeaseExpired(self.lease_id), self.era.translate(self.renew)
        )

    def test_a_write_over_a_lost_revision_conflicts(self) -> None:
        """Guards against a write over another one with the same number."""
        self.revision(1, '2')
        put = self.translated(StorePut(OPERATION, 'k', 'v', self.held))
        delete = self.translated(StoreDelete(OPERATION, 'k', self.held))
        for action in (put, delete):
            assert isinstance(action, StorePut | StoreDelete)
            self.assertGreater(action.expected_revision, 10**9)

    def test_they_are_answered_by_a_later_era(self) -> None:
        """Guards against a node that learns of the return by their answers."""
        listing = self.answer(StoreListing(9, ()), '2', self.watch)
        self.assertIsInstance(listing, StoreFailed)
        self.assertEqual([2], self.listener.eras)
        renewed = self.answer(LeaseGranted(LeaseId('8'), 4.0), '2', self.renew)
        self.assertEqual(LeaseExpired(self.lease_id), renewed)
        written = self.answer(StoreWritten('k', 9), '2', self.put)
        assert isinstance(written, StoreFailed)
        self.assertTrue(written.may_have_been_applied)

    def test_reads_are_answered_by_a_later_era(self) -> None:
        listing = self.answer(
            StoreListing(9, ()), '2', StoreList(OPERATION, 'k')
        )
        self.assertEqual(StoreListing(revision_in(2, 9), ()), listing)
