"""Lists of the platform with one odd entry beside sound ones."""

import json
from itertools import product

import testtools

from dandelionyoke_core import (
    Event,
    Instance,
    InstancesListed,
    ListingFailed,
    Target,
    TargetsListed,
    WriteLog,
)
from dandelionyoke_wire import PlatformClient
from tests.wire.broken_engine import BrokenEngine

TARGET = {
    'target_id': 't-1',
    'service': 'lm',
    'domain': 'a',
    'address': 'http://10.0.0.1:8080',
}
INSTANCE = {
    'instance_id': 'n-1',
    'domain': 'a',
    'caller_address': '10.0.0.2:80',
    'peer_address': '10.0.0.2:81',
}
DEEP = '[' * 100_000
CLOSED_DEEP = f'{DEEP}{"]" * 100_000}'
MANY_DIGITS = '9' * 5000
# Nested less deeply than the parser allows, with little room above it.
ALMOST_DEEP = tuple('[' * depth + ']' * depth for depth in range(880, 1000, 10))
ODD_VALUES = (
    *ALMOST_DEEP,
    CLOSED_DEEP,
    MANY_DIGITS,
    '1e400',
    'null',
    '[]',
    '"\\ud800"',
    '"a\\"],[b"',
)
ODD_ADDRESSES = (
    'http://10.0.0.9:99999',
    f'http://10.0.0.9:{MANY_DIGITS}',
    'http://10.0.0.9:-1',
    'http://10.0.0.9:port',
    'http://:80',
    'http://[:80',
    '',
)


class PlatformListTest(testtools.TestCase):
    """Guards against one entry that keeps all others from being followed."""

    def read(self, path: str, content: str) -> Event:
        """Return the event of a list that is read."""
        body = content.encode()
        head = b'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n'
        engine = BrokenEngine(head + body)
        self.addCleanup(engine.close)
        events: list[Event] = []
        self.log: list[WriteLog] = []
        self.client = PlatformClient(
            engine.address, events.append, self.log.append
        )
        if path == 'targets':
            self.client.list_targets()
        else:
            self.client.list_instances()
        (event,) = events
        return event

    def read_beside(self, path: str, odd: str, sound: dict[str, str]) -> Event:
        """Return the event of a list with an odd entry between sound ones."""
        text = json.dumps(sound)
        return self.read(path, f'{{"{path}": [{text}, {odd}, {text}]}}')

    def test_odd_targets(self) -> None:
        expected = TargetsListed((Target(**TARGET),) * 2)
        fields = (
            json.dumps(TARGET | {name: '@'}).replace('"@"', odd_value)
            for name, odd_value in product(
                TARGET, (CLOSED_DEEP, MANY_DIGITS, *ALMOST_DEEP)
            )
        )
        for odd in (*ODD_VALUES, '5', '"x"', '{}', *fields):
            found = self.read_beside('targets', odd, TARGET)
            self.assertEqual(expected, found, odd[:60])

    def test_odd_addresses(self) -> None:
        expected = TargetsListed((Target(**TARGET),) * 2)
        for address in ODD_ADDRESSES:
            odd = json.dumps(TARGET | {'address': address})
            found = self.read_beside('targets', odd, TARGET)
            self.assertEqual(expected, found, address[:40])

    def test_odd_instances(self) -> None:
        expected = InstancesListed((Instance(**INSTANCE),) * 2)
        for odd in ODD_VALUES:
            found = self.read_beside('instances', odd, INSTANCE)
            self.assertEqual(expected, found, odd[:20])

    def test_an_empty_list(self) -> None:
        self.assertEqual(
            TargetsListed(()), self.read('targets', '{"targets": []}')
        )

    def test_answers_that_are_no_list(self) -> None:
        """Guards against a fleet that looks empty."""
        for content in (
            '',
            '{}',
            '[]',
            '{"targets": {}}',
            '{"targets": 5}',
            f'{{"other": [{DEEP}',
            f'{{"targets": {{"targets": [{CLOSED_DEEP}]}}}}',
            '{"targets": [',
        ):
            found = self.read('targets', content)
            self.assertIsInstance(found, ListingFailed, content[:40])

    def test_an_odd_entry_is_logged_once(self) -> None:
        """Guards against a line for each of many equal lists."""
        self.read_beside('targets', 'null', TARGET)
        self.client.list_targets()
        line = WriteLog('targets.unreadable', 'targets', '1 left out', 'None')
        self.assertEqual([line], self.log)
