"""Targets whose addresses are none, as another entry tells them."""

import testtools

from dandelionyoke_core import AttemptFailed
from dandelionyoke_wire._guarded import call_guarded
from dandelionyoke_wire._transport import TransportError, call_json, new_pool
from tests.wire.broken_engine import call_service

TIMEOUT_S = 1.0
ODD_ADDRESSES = (
    'http://127.0.0.1:99999',
    'http://127.0.0.1:-1',
    'http://127.0.0.1:port',
    f'http://127.0.0.1:{"9" * 5000}',
    'http://:80',
    'http://[:80',
    '',
)


class OddAddressTest(testtools.TestCase):
    """Guards against a call that has no result, or counts as sent."""

    def test_calls_of_plain_services(self) -> None:
        for address in ODD_ADDRESSES:
            event = call_service(address)
            self.assertIsInstance(event, AttemptFailed, address[:40])
            self.assertFalse(event.sent, address[:40])

    def test_calls_with_json(self) -> None:
        for address in ODD_ADDRESSES:
            error = self.assertRaises(
                TransportError,
                call_json,
                new_pool(),
                'GET',
                f'{address}/load',
                read_timeout_s=TIMEOUT_S,
            )
            self.assertFalse(error.sent, address[:40])

    def test_guarded_calls(self) -> None:
        for address in ODD_ADDRESSES:
            error = self.assertRaises(
                TransportError,
                call_guarded,
                'POST',
                f'{address}/orders',
                {},
                lambda: True,
                TIMEOUT_S,
            )
            self.assertFalse(error.sent, address[:40])
