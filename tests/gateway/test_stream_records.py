"""Tests of the records of streams in the store."""

from random import Random

import eventlet
import testtools

from dandelionyoke_core import (
    Action,
    LeaseGrant,
    LeaseGranted,
    LeaseId,
    Metrics,
    StoreConflict,
    StoreFailed,
    StoreItem,
    StoreList,
    StoreListing,
    StorePut,
    StoreResult,
    StoreWatch,
    StoreWritten,
    record_from_json,
)
from dandelionyoke_dispatch import (
    OpenStreamsRecord,
    StreamOrigin,
    VersionsRecord,
    stream_key,
)
from dandelionyoke_gateway import clock_s
from dandelionyoke_gateway._knowledge import Knowledge, new_knowledge
from dandelionyoke_gateway._log import DecisionLog
from dandelionyoke_gateway._stream_record_reader import (
    MIN_READ_INTERVAL_S,
    StreamRecordReader,
)
from dandelionyoke_gateway._stream_records import (
    OPEN_PREFIX,
    VERSIONS_PREFIX,
    StreamRecordTask,
)
from tests.gateway.settings import new_settings
from tests.platform.node_harness import LogLines

V1 = StreamOrigin('lm', 'v1')
V2 = StreamOrigin('lm', 'v2')
READ_S = 0.05
# Longer than a stream lasts.
LONG_S = 60


class MemoryStore:
    """A store that counts its calls, and may lose answers or refuse."""

    def __init__(self) -> None:
        self.items: dict[str, StoreItem] = {}
        self.revision = 0
        self.actions: list[Action] = []
        self.is_down = False
        self.loses_answers = False

    def perform(self, action: Action) -> StoreResult:
        """Perform an action."""
        eventlet.sleep(READ_S)
        self.actions.append(action)
        if self.is_down:
            return StoreFailed('down', may_have_been_applied=False)
        match action:
            case LeaseGrant():
                return LeaseGranted(LeaseId('1'), action.ttl_s)
            case StorePut():
                return self._put(action)
            case StoreList(prefix=prefix):
                return StoreListing(self.revision, self._after(prefix, 0))
            case StoreWatch(prefix=prefix, after_revision=after):
                return StoreListing(self.revision, self._after(prefix, after))
        raise AssertionError(action)

    def count(self, kind: type[Action]) -> int:
        """Return the number of calls of a kind."""
        return sum(isinstance(action, kind) for action in self.actions)

    def versions(self) -> list[tuple[str, ...]]:
        """Return the recorded versions of all services."""
        return [
            record_from_json(str(item.value), VersionsRecord).versions
            for key, item in self.items.items()
            if key.startswith(VERSIONS_PREFIX)
        ]

    def streams(self) -> set[tuple[StreamOrigin, str]]:
        """Return the recorded streams by where they began."""
        return {
            (group.origin, key)
            for name, item in self.items.items()
            if name.startswith(OPEN_PREFIX)
            for group in record_from_json(
                str(item.value), OpenStreamsRecord
            ).groups
            for key in group.split_keys()
        }

    def _put(self, action: StorePut) -> StoreResult:
        present = self.items.get(action.key, StoreItem(action.key, 0, None))
        if present.revision != action.expected_revision:
            return StoreConflict(present)
        self.revision += 1
        self.items[action.key] = StoreItem(
            action.key, self.revision, action.value
        )
        if self.loses_answers:
            return StoreFailed('lost', may_have_been_applied=True)
        return StoreWritten(action.key, self.revision)

    def _after(self, prefix: str, revision: int) -> tuple[StoreItem, ...]:
        return tuple(
            item
            for key, item in self.items.items()
            if key.startswith(prefix) and item.revision > revision
        )


class StreamRecordTaskTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.store = MemoryStore()
        self.log = LogLines()
        self.knowledge, self.task = self.new_task()

    def new_task(self) -> tuple[Knowledge, StreamRecordTask]:
        """Start the task of a new process."""
        knowledge = new_knowledge(new_settings(), Random(1))
        log = DecisionLog(self.log, 'n-1', Metrics())
        self.addCleanup(log.close)
        return knowledge, StreamRecordTask(knowledge, self.store, log)

    def begin(self, number: int, origin: StreamOrigin) -> str:
        """Begin a stream at a version that is listed; return its key."""
        key = stream_key(f'a-{number}')
        self.observe(origin)
        self.knowledge.open_streams.begin(key, origin, clock_s(), LONG_S)
        return key

    def observe(self, *origins: StreamOrigin) -> None:
        history = self.knowledge.registry.version_history
        history.observe(origins, clock_s())

    def observe_for_long(self, *origins: StreamOrigin) -> None:
        history = self.knowledge.registry.version_history
        for age_s in range(LONG_S, -1, -2):
            history.observe(origins, clock_s() - age_s)

    def test_the_streams_of_the_only_version_are_not_written(self) -> None:
        """Guards against a cost of the days with one version."""
        self.begin(1, V1)
        for _ in range(3):
            self.task.save()
        self.assertEqual([('v1',)], self.store.versions())
        self.assertEqual(1, len(self.store.actions))

    def test_a_second_version_lets_all_open_streams_be_written(self) -> None:
        """Guards against streams that began before that version came."""
        key = self.begin(1, V1)
        self.task.save()
        self.observe(V1, V2)
        self.task.save()
        self.assertEqual([('v1', 'v2')], self.store.versions())
        self.assertEqual({(V1, key)}, self.store.streams())

    def test_the_same_streams_are_written_once(self) -> None:
        """Guards against a call a second without a change."""
        keys = {self.begin(1, V1), self.begin(2, V2)}
        for _ in range(3):
            self.task.save()
        self.assertEqual(1, self.store.count(LeaseGrant))
        self.assertEqual(2, self.store.count(StorePut))
        self.knowledge.open_streams.end(stream_key('a-1'))
        self.task.save()
        self.assertEqual(2, self.store.count(StorePut))
        self.assertEqual(keys, {key for _, key in self.store.streams()})

    def test_a_lost_answer_is_made_up_for(self) -> None:
        """Guards against a record that is never written again."""
        self.begin(1, V1)
        self.begin(2, V2)
        self.store.loses_answers = True
        self.task.save()
        self.task.save()
        self.store.loses_answers = False
        self.task.save()
        third = self.begin(3, V2)
        self.task.save()
        self.task.save()
        self.assertEqual([('v1', 'v2')], self.store.versions())
        self.assertIn((V2, third), self.store.streams())
        self.assertIn('stream.unsaved', self.log.text)

    def test_a_started_process_keeps_the_versions_before_it(self) -> None:
        """Guards against a version that began streams before the start."""
        self.begin(1, V1)
        self.task.save()
        self.knowledge, self.task = self.new_task()
        key = self.begin(2, V2)
        self.task.save()
        self.assertEqual([('v1', 'v2')], self.store.versions())
        self.assertEqual({(V2, key)}, self.store.streams())

    def test_a_version_that_is_gone_for_long_is_dropped(self) -> None:
        """Guards against records of streams that cost a call a second."""
        self.begin(1, V1)
        self.begin(2, V2)
        self.task.save()
        self.knowledge, self.task = self.new_task()
        self.observe_for_long(V2)
        self.begin(3, V2)
        self.task.save()
        self.assertEqual([('v2',)], self.store.versions())

    def test_an_unreadable_record_of_versions_is_left_alone(self) -> None:
        """Guards against a version that a later program has recorded."""
        self.begin(1, V1)
        self.task.save()
        (key,) = self.store.items
        self.store.revision += 1
        odd = StoreItem(key, self.store.revision, '{"kinds": 1}')
        self.store.items[key] = odd
        self.observe(V1, V2)
        self.task.save()
        self.assertEqual(odd, self.store.items[key])
        self.observe_for_long(V2)
        self.knowledge, self.task = self.new_task()
        self.observe_for_long(V2)
        self.begin(2, V2)
        self.task.save()
        self.assertEqual([('v2',)], self.store.versions())

    def test_a_store_from_a_copy_gets_all_again(self) -> None:
        """Guards against records that the copy lacks."""
        self.begin(1, V1)
        self.begin(2, V2)
        self.task.save()
        streams = self.store.streams()
        self.store.items.clear()
        self.task.store_replaced()
        self.task.save()
        self.assertEqual([('v1', 'v2')], self.store.versions())
        self.assertEqual(streams, self.store.streams())

    def test_a_store_that_is_down_is_not_called_each_second(self) -> None:
        """Guards against refused calls, which are priced as well."""
        self.begin(1, V1)
        self.store.is_down = True
        thread = eventlet.spawn(self.task.run)
        self.addCleanup(thread.kill)
        eventlet.sleep(4)
        self.assertLessEqual(len(self.store.actions), 3)

    def test_a_stopped_process_saves_the_streams_that_it_cuts(self) -> None:
        """Guards against streams of a node that another one saves for."""
        self.begin(1, V1)
        key = self.begin(2, V2)
        self.knowledge.news_received_s = clock_s()
        self.task.finish()
        self.assertIn((V2, key), self.store.streams())


class StreamRecordReaderTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.store = MemoryStore()
        self.log = LogLines()
        log = DecisionLog(self.log, 'n-1', Metrics())
        self.addCleanup(log.close)
        self.reader = StreamRecordReader(self.store, Random(1), log)

    def read(self, timeout_s: float = 1.0) -> bool:
        now_s = clock_s()
        return self.reader.read(now_s, now_s + timeout_s)

    def test_all_that_wait_share_a_read(self) -> None:
        """Guards against a read for each caller after a start."""
        reads = [eventlet.spawn(self.read) for _ in range(50)]
        self.assertEqual({True}, {each.wait() for each in reads})
        self.assertEqual(1, len(self.store.actions))

    def test_calls_one_after_the_other_cause_few_reads(self) -> None:
        """Guards against callers that make up streams."""
        until_s = clock_s() + 3 * MIN_READ_INTERVAL_S
        while clock_s() < until_s:
            self.assertTrue(self.read())
        self.assertLessEqual(len(self.store.actions), 5)
        self.assertEqual(1, self.store.count(StoreList))

    def test_a_read_of_before_the_call_does_not_count(self) -> None:
        """Guards against records that came since then."""
        self.assertTrue(self.read())
        versions = '{"service":"lm","versions":["v1"]}'
        key = f'{VERSIONS_PREFIX}1'
        self.store.revision = 1
        self.store.items[key] = StoreItem(key, 1, versions)
        self.assertTrue(self.read())
        self.assertEqual({'v1'}, self.reader.recorded.versions('lm'))

    def test_a_store_that_is_down_holds_no_call(self) -> None:
        """Guards against callers that wait without a bound."""
        self.store.is_down = True
        began_s = clock_s()
        self.assertFalse(self.read(0.3))
        self.assertLess(clock_s() - began_s, 0.6)
        self.assertIn('not read', self.log.text)

    def test_one_unreadable_record_leaves_the_others(self) -> None:
        """Guards against an entry of another writer."""
        values = ('{', '{"service":"lm","versions":["v1"]}', '[]')
        for number, text in enumerate(values, 1):
            key = f'{VERSIONS_PREFIX}{number}'
            self.store.items[key] = StoreItem(key, number, text)
        self.assertTrue(self.read())
        self.assertEqual({'v1'}, self.reader.recorded.versions('lm'))
        self.assertIn('left out', self.log.text)
