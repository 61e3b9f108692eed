"""Tests of links between two processes."""

import cbor2
import eventlet
import testtools

from dandelionyoke_core import (
    Event,
    InstanceId,
    PeerConnected,
    PeerDisconnected,
    PeerMessageArrived,
    message_to_mapping,
)
from dandelionyoke_gateway._news_messages import NewsAsked
from dandelionyoke_links import LinkError, PeerHub, PeerSettings, listen
from dandelionyoke_links._peers import NONCE_BYTES, _dial

# Without a port, the one of the scheme is meant.
ODD_ADDRESSES = (
    '127.0.0.1:99999',
    '127.0.0.1:-1',
    '127.0.0.1:port',
    ':80',
    '',
    f'127.0.0.1:{"9" * 5000}',
    '[:80',
)


class PeerHubTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.events: list[Event] = []
        self.listener = listen('127.0.0.1', 0)
        self.addCleanup(self.listener.close)
        self.port = self.listener.getsockname()[1]
        self.hub = PeerHub(
            PeerSettings(InstanceId('n-1'), b'one secret'), self.events.append
        )
        server = eventlet.spawn(self.hub.serve, self.listener)
        self.addCleanup(server.kill)

    def dial(
        self, secret: bytes, peer_id: InstanceId = InstanceId('n-1')
    ) -> tuple[PeerHub, list[Event]]:
        events: list[Event] = []
        hub = PeerHub(PeerSettings(InstanceId('n-2'), secret), events.append)
        address = f'ws://127.0.0.1:{self.port}/'
        dialler = eventlet.spawn(hub.connect, peer_id, address)
        self.addCleanup(dialler.kill)
        eventlet.sleep(0.3)
        return hub, events

    def test_messages_are_delivered_with_a_shared_secret(self) -> None:
        hub, events = self.dial(b'one secret')
        self.assertEqual([PeerConnected(InstanceId('n-1'))], events)
        message = NewsAsked(3, 'n-2.x', 0.4, 5)
        self.assertTrue(hub.send(InstanceId('n-1'), message))
        eventlet.sleep(0.1)
        self.assertEqual(
            PeerMessageArrived(InstanceId('n-2'), message), self.events[-1]
        )

    def test_an_address_that_is_none_is_reported(self) -> None:
        """Guards against a link that counts as being opened for ever.

        Another writer of the store may have left such an entry of a node.
        """
        peer_id = InstanceId('n-9')
        for address in ODD_ADDRESSES:
            self.events.clear()
            self.hub.connect(peer_id, f'ws://{address}/')
            (event,) = self.events
            self.assertIsInstance(event, PeerDisconnected, address)
            with testtools.ExpectedException(LinkError):
                self.hub.open_call(peer_id, address, 1.0)

    def test_a_message_that_comes_with_the_proof_is_delivered(self) -> None:
        """Guards against a lost first message at a busy node.

        The dialling end sends it right after its proof, so a node that reads
        late finds both at once.
        """
        own_id, nonce = InstanceId('n-2'), b'n' * NONCE_BYTES
        dialler = PeerHub(PeerSettings(own_id, b'one secret'), self.ignore)
        channel = _dial(f'ws://127.0.0.1:{self.port}/')
        self.addCleanup(channel.close)
        channel.send({'nonce': nonce, 'instance_id': own_id})
        hello = channel.receive_one()
        nonces = nonce + hello['nonce']
        proof = dialler._proof(nonces, own_id, dialled=True)
        message = NewsAsked(3, 'n-2.x', 0.4, 5)
        channel._protocol.send_binary(cbor2.dumps({'proof': proof}))
        channel.send(message_to_mapping(message))
        eventlet.sleep(0.1)
        self.assertEqual(
            [PeerConnected(own_id), PeerMessageArrived(own_id, message)],
            self.events,
        )

    def test_a_message_that_fails_at_its_handler_ends_the_link(self) -> None:
        """Guards against a link that nobody reads and that counts as open."""
        hub, events = self.dial(b'one secret')
        self.hub._emit = self.fail_at_messages
        hub.send(InstanceId('n-1'), NewsAsked(3, 'n-2.x', 0.4, 5))
        eventlet.sleep(0.2)
        self.assertIsInstance(events[-1], PeerDisconnected)
        self.assertFalse(
            self.hub.send(InstanceId('n-2'), NewsAsked(1, 'x', 0, 0))
        )

    def test_a_message_that_cannot_be_encoded_ends_the_link(self) -> None:
        """Guards against a link that sends nothing and counts as open."""
        hub, events = self.dial(b'one secret')
        hub.send(InstanceId('n-1'), NewsAsked(3, '\ud800', 0.4, 5))
        eventlet.sleep(0.2)
        self.assertIsInstance(events[-1], PeerDisconnected)

    def fail_at_messages(self, event: Event) -> None:
        if isinstance(event, PeerMessageArrived):
            raise RuntimeError('a message that nobody foresaw')

    def ignore(self, event: Event) -> None:
        """Take an event that does not matter."""

    def test_another_peer_at_the_address_is_rejected(self) -> None:
        """The address of a node belongs to another one after a restart.

        If the link were kept, the dialler would wait for the first node and
        never dial it again.
        """
        hub, events = self.dial(b'one secret', InstanceId('n-8'))
        cause = 'the peer is n-1, not n-8'
        self.assertEqual([PeerDisconnected(InstanceId('n-8'), cause)], events)
        self.assertFalse(hub.send(InstanceId('n-1'), NewsAsked(1, '', 0, 0)))
        self.assertIsInstance(self.events[-1], PeerDisconnected)

    def test_a_peer_without_the_secret_is_rejected(self) -> None:
        """Another process on the network connects to a node's peer port.

        What it sends about targets or keys must not be accepted.
        """
        hub, events = self.dial(b'another one')
        self.assertIsInstance(events[-1], PeerDisconnected)
        self.assertEqual([], self.events)
        self.assertFalse(hub.send(InstanceId('n-1'), NewsAsked(1, '', 0, 0)))
