"""Tests of saving the counts of calls when a node stops."""

from random import Random

import eventlet
import testtools

from dandelionyoke_core import (
    Action,
    LeaseGrant,
    LeaseGranted,
    LeaseId,
    StoreConflict,
    StoreItem,
    StorePut,
    StoreResult,
    StoreWritten,
    record_from_json,
)
from dandelionyoke_dispatch import WindowRecord
from dandelionyoke_gateway import clock_s
from dandelionyoke_gateway._counts_task import CountsTask
from dandelionyoke_gateway._knowledge import new_knowledge
from tests.gateway.settings import new_settings

ANSWER_DELAY_S = 0.1


class SlowStore:
    """A store whose answers to writes take `ANSWER_DELAY_S`."""

    def __init__(self) -> None:
        self.items: dict[str, StoreItem] = {}

    def perform(self, action: Action) -> StoreResult:
        """Perform an action."""
        if isinstance(action, LeaseGrant):
            return LeaseGranted(LeaseId('1'), action.ttl_s)
        assert isinstance(action, StorePut)
        present = self.items.get(action.key, StoreItem(action.key, 0, None))
        result: StoreResult = StoreConflict(present)
        if present.revision == action.expected_revision:
            revision = present.revision + 1
            self.items[action.key] = StoreItem(
                action.key, revision, action.value
            )
            result = StoreWritten(action.key, revision)
        eventlet.sleep(ANSWER_DELAY_S)
        return result


class CountsTaskTest(testtools.TestCase):
    def test_a_stop_during_a_save_saves_the_later_calls(self) -> None:
        """Guards against calls that are not reported after a planned stop."""
        knowledge = new_knowledge(new_settings(), Random(1))
        store = SlowStore()
        task = CountsTask(knowledge, store)
        began_s = clock_s()
        knowledge.usage.count_call('acme', began_s)
        periodic_save = eventlet.spawn(task.save)
        eventlet.sleep(ANSWER_DELAY_S / 2)
        knowledge.usage.count_call('acme', began_s)
        task.finish()
        periodic_save.wait()
        (item,) = store.items.values()
        record = record_from_json(str(item.value), WindowRecord)
        counts = [dict(part.counts) for part in record.parts]
        self.assertEqual([{'acme': 2}], counts)
