"""Answers of the store that come while this process stands still."""

import json
import time
from collections.abc import Iterator

import testtools

from dandelionyoke_core import (
    OperationId,
    StoreGet,
    StoreItem,
    StoreList,
    StoreListing,
    StoreResult,
)
from dandelionyoke_gateway import TargetPool
from dandelionyoke_platform._store import CALL_TIMEOUT_S, PlatformStore
from tests.platform.node_harness import (
    ReceivedRequest,
    ScriptedTarget,
    ScriptStep,
    answer,
)

STANDSTILL_S = CALL_TIMEOUT_S + 0.3
ITEM = {'key': 'a', 'revision': 3}
LISTING = {'items': [ITEM] * 20_000, 'has_more': False, 'current_rev': 3}


class LateAnswerTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.fields: dict[str, object] = ITEM
        target = ScriptedTarget(self.answer_in_standstill)
        self.addCleanup(target.close)
        self.store = PlatformStore(target.address, TargetPool())
        self.standstill_s = 0.0
        # The next request finds an open connection.
        self.get_item()
        self.standstill_s = STANDSTILL_S

    def answer_in_standstill(
        self, request: ReceivedRequest
    ) -> Iterator[ScriptStep]:
        """Answer, and let the process stand still before it reads that."""
        yield answer('200 OK', json.dumps(self.fields).encode(), '')
        time.sleep(self.standstill_s)

    def get_item(self) -> StoreResult:
        return self.store.perform(StoreGet(OperationId('a'), 'a'))

    def test_an_answer_that_has_come_is_read(self) -> None:
        """Guards against writes repeated, and duties lost, without need."""
        self.assertEqual(StoreItem('a', 3, None), self.get_item())

    def test_a_long_answer_that_has_come_is_read(self) -> None:
        """Guards against a listing of many targets that counts as lost."""
        self.fields = LISTING
        result = self.store.perform(StoreList(OperationId('a'), 'a'))
        self.assertIsInstance(result, StoreListing)
