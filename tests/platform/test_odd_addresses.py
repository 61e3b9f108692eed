"""Targets whose addresses are none, as another node tells them.

What a node reads from the registry itself is checked there; a node of another
version may let more through.
"""

import testtools

from dandelionyoke_gateway import ExchangeError
from dandelionyoke_gateway._target_connection import connect
from tests.platform.node_harness import NodeHarness
from tests.platform.scripts import answers_ok, status

TIMEOUT_S = 1.0
CALLS = 4
ODD_ADDRESSES = (
    '127.0.0.1:99999',
    '127.0.0.1:-1',
    '127.0.0.1:port',
    '127.0.0.1:',
    '127.0.0.1',
    ':0',
    '',
    f'{"x" * 300}:80',
    'a\0b:80',
    'a\ud800:80',
    f'127.0.0.1:{"9" * 5000}',
)


class OddTarget:
    def __init__(self, address: str) -> None:
        self.address = address


class OddAddressTest(testtools.TestCase):
    """Guards against a call that ends without an answer."""

    def test_no_connection_is_opened(self) -> None:
        for address in ODD_ADDRESSES:
            error = self.assertRaises(
                ExchangeError, connect, address, TIMEOUT_S
            )
            self.assertFalse(error.sent, address)

    def test_calls_go_to_a_sound_target(self) -> None:
        for address in ODD_ADDRESSES:
            node = NodeHarness()
            self.addCleanup(node.close)
            node.register(OddTarget(address))
            node.add_target(answers_ok)
            statuses = [status(node.call('/confirm/1')) for _ in range(CALLS)]
            self.assertEqual([200] * CALLS, statuses, address)
