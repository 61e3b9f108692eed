"""Store entries and answers with bytes that no reader expects."""

import json
from random import Random

import attrs
import cbor2
import testtools
from hypothesis import given, strategies

from dandelionyoke_core import (
    Action,
    CodecError,
    Metrics,
    OperationId,
    StoreItem,
    StoreList,
    StoreListing,
    StoreResult,
    message_from_mapping,
    message_to_mapping,
    record_from_json,
)
from dandelionyoke_dispatch import (
    ConfigurationError,
    CrashReport,
    ListingChanges,
    ListingMark,
    Member,
    WindowCounts,
    WindowRecord,
)
from dandelionyoke_gateway import FieldError, TargetPool, parse_object
from dandelionyoke_gateway._knowledge import new_knowledge
from dandelionyoke_gateway._log import DecisionLog
from dandelionyoke_gateway._news_messages import NewsTold, TargetNews
from dandelionyoke_gateway._registry_updater import RegistryUpdater
from dandelionyoke_gateway._store_poll_policy import (
    StorePollPolicy,
    StorePollSettings,
)
from dandelionyoke_gateway._store_watch_tasks import (
    RegistryTask,
    StorePollIntervals,
)
from dandelionyoke_platform._dialect import PlatformDialect
from dandelionyoke_platform._store import PlatformStore
from tests.gateway.settings import new_settings
from tests.platform.node_harness import LogLines, ScriptedTarget, answer

RECORDS = (CrashReport, Member, WindowCounts, WindowRecord)
ENTRY = {
    'service': 'lm',
    'address': '10.0.0.9:8080',
    'zone': 'a',
    'slots': 4,
    'state': 'ready',
    'born': 17,
}
ENTRY_TEXT = json.dumps(ENTRY)
# More than the parser's own limit, around a thousand.
nested = strategies.builds(
    ''.join,
    strategies.lists(
        strategies.sampled_from(('[' * 3000, '{"a":' * 3000, '[{"b":' * 3000)),
        min_size=1,
        max_size=3,
    ),
)
# Texts that cannot be encoded, and numbers that no float holds.
odd_values = strategies.sampled_from(
    ('\ud800', 'a\udfff', 10**400, -(10**400), 2**63, True, None, [], {})
)
odd_entries = strategies.dictionaries(
    strategies.sampled_from((*ENTRY, 'version', 'phase', 'x\ud800')),
    odd_values,
    min_size=1,
).map(lambda odd: json.dumps(ENTRY | odd))
texts = nested | strategies.text() | odd_entries


class ReaderTest(testtools.TestCase):
    """Each reader returns what it read, or fails with its own error."""

    @given(texts)
    def test_any_target(self, text: str) -> None:
        """Guards against an entry that ends the watch on the targets."""
        target = PlatformDialect().read_target('servers/i-1', text)
        if target is not None:
            # What is told to other nodes, and computed with.
            cbor2.dumps(attrs.asdict(target), default=str)
            self.assertLess(0, float(target.slots))
            self.assertLess(0, float(abs(target.started_ms or 0)) + 1)

    @given(texts)
    def test_any_target_is_told(self, text: str) -> None:
        """Guards against an entry that ends the links to other nodes."""
        target = PlatformDialect().read_target('servers/i-1', text)
        if target is None:
            return
        mark = ListingMark('n-1', 1)
        changes = ListingChanges(mark, True, (target,), ())
        told = NewsTold(1, targets=TargetNews(0, changes))
        frame = cbor2.dumps(message_to_mapping(told))
        self.assertEqual(told, message_from_mapping(cbor2.loads(frame)))

    def test_a_key_that_cannot_be_encoded_leaves_the_others(self) -> None:
        """Guards against a listing that one key of another writer spoils."""
        rows = [
            {'key': 'servers/\ud800', 'revision': 2, 'value': ''},
            {'key': 'servers/i-1', 'revision': 3, 'value': ''},
        ]
        body = json.dumps({'items': rows, 'current_rev': 3}).encode()
        target = ScriptedTarget(lambda _: [answer(body=body, extra='')])
        self.addCleanup(target.close)
        store = PlatformStore(target.address, TargetPool())
        found = store.perform(StoreList(OperationId('o'), 'servers/'))
        self.assertIsInstance(found, StoreListing)
        self.assertEqual(
            ['servers/?', 'servers/i-1'], [item.key for item in found.items]
        )

    @given(texts)
    def test_any_configuration(self, text: str) -> None:
        """Guards against a configuration that ends the watch on it."""
        try:
            PlatformDialect().read_configuration(text)
        except ConfigurationError:
            return

    @given(texts, strategies.sampled_from(RECORDS))
    def test_any_record(self, text: str, record_type: type) -> None:
        """Guards against counts, crashes or members that end their task."""
        try:
            record_from_json(text, record_type)
        except CodecError:
            return

    @given(texts)
    def test_any_answer(self, text: str) -> None:
        """Guards against an answer to this node that ends its task."""
        try:
            parse_object(text.encode(errors='replace'))
        except FieldError:
            return

    @given(texts)
    def test_any_prefill(self, text: str) -> None:
        """Guards against an answer to a prefill that ends its call."""
        PlatformDialect().read_prefill(text.encode(errors='replace'))


class OneListing:
    """A store with a fixed listing."""

    def __init__(self, items: dict[str, str]) -> None:
        self.items = items

    def perform(self, action: Action) -> StoreResult:
        found = [
            StoreItem(key, 7, text) for key, text in sorted(self.items.items())
        ]
        return StoreListing(7, tuple(found))


class RegistryPageTest(testtools.TestCase):
    def test_an_unreadable_entry_leaves_the_others(self) -> None:
        """Guards against a page that one entry of another writer spoils."""
        knowledge = new_knowledge(new_settings(), Random(3))
        log = DecisionLog(LogLines(), 'n-1', Metrics())
        self.addCleanup(log.close)
        items = {
            'servers/a-note': '[' * 4096,
            'servers/i-1': ENTRY_TEXT,
            'servers/z-note': '{"x":' * 4096,
        }
        task = RegistryTask(
            RegistryUpdater(knowledge, log),
            knowledge,
            StorePollPolicy(knowledge, StorePollSettings()),
            PlatformDialect(),
            OneListing(items),
            log,
            StorePollIntervals(registry_share=0),
        )
        task._poll_store()
        found = [each.target_id for each in knowledge.registry.of_service('lm')]
        self.assertEqual(['i-1'], found)
