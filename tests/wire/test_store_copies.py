"""The product's own client and a platform that comes back from a copy."""

from dandelionyoke_core import (
    LeaseExpired,
    LeaseGrant,
    LeaseGranted,
    LeaseRenew,
    OperationId,
    StoreConflict,
    StoreFailed,
    StoreGet,
    StoreItem,
    StorePut,
    StoreResult,
    StoreWatch,
    StoreWritten,
    era_of,
)
from dandelionyoke_wire import StoreClient
from tests.standins.processes import ProcessTestCase

OPERATION = OperationId('o')


class StoreCopyTest(ProcessTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.platform = self.standin('platform')
        self.store = StoreClient(self.platform.address)
        self.eras: list[int] = []
        self.store.era.listen(self)

    def era_began(self, era: int) -> None:
        self.eras.append(era)

    def era_unreadable(self, text: str) -> None:
        raise AssertionError(text)

    def put(self, key: str, text: str, expected: int = 0) -> StoreResult:
        return self.store.perform(StorePut(OPERATION, key, text, expected))

    def written(self, key: str, text: str, expected: int = 0) -> int:
        answer = self.put(key, text, expected)
        assert isinstance(answer, StoreWritten), answer
        return answer.revision

    def read(self, key: str) -> StoreItem:
        item = self.store.perform(StoreGet(OPERATION, key))
        assert isinstance(item, StoreItem), item
        return item

    def test_revisions_rise_over_a_return(self) -> None:
        """Guards against a change that an entry or the operator leaves out."""
        kept = self.written('kept', 'a')
        self.platform.call('POST', '/standin/copy')
        lost = [self.written(f'k{number}', 'b') for number in range(9)]
        self.platform.call('POST', '/standin/return')
        again = self.written('k0', 'c')
        self.assertGreater(again, max(lost))
        self.assertGreater(self.read('kept').revision, kept)
        self.assertEqual([2], self.eras)

    def test_a_write_over_a_lost_revision_conflicts(self) -> None:
        """Guards against a snapshot that overwrites another one's change."""
        self.platform.call('POST', '/standin/copy')
        mine = self.written('k', 'mine')
        self.platform.call('POST', '/standin/return')
        self.read('k')
        theirs = self.written('k', 'theirs')
        self.assertEqual(era_of(mine) + 1, era_of(theirs))
        answer = self.put('k', 'mine again', mine)
        assert isinstance(answer, StoreConflict), answer
        self.assertEqual('theirs', answer.present.value)

    def test_a_lost_lease_is_not_another_ones(self) -> None:
        """Guards against two holders by one lease id."""
        self.platform.call('POST', '/standin/copy')
        first = self.grant()
        self.platform.call('POST', '/standin/return')
        self.read('k')
        second = self.grant()
        self.assertNotEqual(first.lease_id, second.lease_id)
        renewed = self.store.perform(LeaseRenew(OPERATION, first.lease_id))
        self.assertEqual(LeaseExpired(first.lease_id), renewed)

    def test_a_watch_from_a_lost_revision_fails(self) -> None:
        """Guards against a watch that misses what came before it."""
        self.platform.call('POST', '/standin/copy')
        lost = self.written('k', 'a')
        self.platform.call('POST', '/standin/return')
        for _ in range(2):
            answer = self.store.perform(StoreWatch(OPERATION, 'k', lost, 0.1))
            self.assertIsInstance(answer, StoreFailed)

    def grant(self) -> LeaseGranted:
        granted = self.store.perform(LeaseGrant(OPERATION, 10.0))
        assert isinstance(granted, LeaseGranted), granted
        return granted
