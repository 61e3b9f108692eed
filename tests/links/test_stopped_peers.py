"""Links and channels of which one end stands still."""

import signal
import subprocess  # noqa: S404 - the peer has to be stopped
import sys
import time
from collections.abc import Callable

import eventlet
import testtools
from eventlet.green import socket

from dandelionyoke_core import (
    Event,
    InstanceId,
    PeerConnected,
    PeerMessageArrived,
)
from dandelionyoke_gateway._handover_messages import BodyPart
from dandelionyoke_gateway._limit_messages import UseReported
from dandelionyoke_links import CallChannel, LinkError, PeerHub, PeerSettings

# Sends each message back, over a channel 0.2 s later.
PEER = """
import eventlet
eventlet.monkey_patch(thread=False)
from dandelionyoke_links import install_event_loop
install_event_loop()
from dandelionyoke_core import PeerMessageArrived
from dandelionyoke_gateway._handover_messages import BodyPart
from dandelionyoke_gateway._limit_messages import UseReported
from dandelionyoke_links import PeerHub, PeerSettings, listen
def emit(event):
    if isinstance(event, PeerMessageArrived):
        hub.send(event.peer_id, event.message)
def answer(channel):
    while True:
        message = channel.receive(None)
        eventlet.sleep(0.2)
        channel.send(message)
hub = PeerHub(PeerSettings('n-1', b'a secret'), emit)
hub.serve_calls(answer)
listener = listen('127.0.0.1', 0)
print(listener.getsockname()[1], flush=True)
hub.serve(listener)
"""
PEER_ID = InstanceId('n-1')
STANDSTILLS_S = (1.2, 2.2)
STEP_S = 0.1
WAIT_S = 8.0
# Shorter than the standstill, longer than the peer needs.
SHORT_WAIT_S = 0.6


class StoppedPeerTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.peer = subprocess.Popen(  # noqa: S603 - our own program
            [sys.executable, '-W', 'ignore', '-c', PEER],
            stdout=subprocess.PIPE,
        )
        self.addCleanup(self.peer.stdout.close)
        self.addCleanup(self.peer.wait)
        self.addCleanup(self.peer.kill)
        self.address = f'127.0.0.1:{int(self.peer.stdout.readline())}'
        self.events: list[Event] = []
        self.hub = PeerHub(
            PeerSettings(InstanceId('n-2'), b'a secret'), self.events.append
        )

    def open_call(self, timeout_s: float = WAIT_S) -> CallChannel:
        channel = self.hub.open_call(PEER_ID, self.address, timeout_s)
        self.addCleanup(channel.close)
        return channel

    def open_link(self) -> None:
        url = f'ws://{self.address}/'
        dialler = eventlet.spawn(self.hub.connect, PEER_ID, url)
        self.addCleanup(dialler.kill)
        eventlet.sleep(STEP_S * 3)

    def stop(self, duration_s: float) -> None:
        """Stop the peer for a while."""
        self.peer.send_signal(signal.SIGSTOP)
        eventlet.spawn_after(duration_s, self.peer.send_signal, signal.SIGCONT)

    def stand_still(self, duration_s: float) -> None:
        """Let this process stand still at its next input.

        Its peer goes on then.
        """
        near, far = socket.socketpair()
        self.addCleanup(near.close)
        self.addCleanup(far.close)

        def compute() -> None:
            near.recv(1)
            self.peer.send_signal(signal.SIGCONT)
            time.sleep(duration_s)

        eventlet.spawn(compute)
        eventlet.sleep(0)
        far.sendall(b'x')

    def check_call(self, stop: Callable[[float], None], wait_s: float) -> None:
        """Check that calls sent in standstills get their answers."""
        channel = self.open_call()
        for number, duration_s in enumerate(STANDSTILLS_S):
            part = BodyPart(b'%d' % number, is_last=False)
            stop(duration_s)
            channel.send(part)
            self.assertEqual(part, channel.receive(wait_s))

    def check_link(self, stop: Callable[[float], None]) -> None:
        """Check that a link outlasts standstills and loses no message."""
        self.open_link()
        messages = []
        for number, duration_s in enumerate(STANDSTILLS_S):
            message = UseReported({'acme': float(number)})
            messages.append(PeerMessageArrived(PEER_ID, message))
            stop(duration_s)
            self.assertTrue(self.hub.send(PEER_ID, message))
            eventlet.sleep(duration_s + STEP_S * 3)
        self.assertEqual([PeerConnected(PEER_ID), *messages], self.events)

    def test_a_call_outlasts_a_stop_of_its_node(self) -> None:
        """Guards against an answer lost with a node that stood still."""
        self.check_call(self.stop, WAIT_S)

    def test_a_call_outlasts_a_standstill_of_this_node(self) -> None:
        """Guards against a node taken for silent by one that stood still."""
        self.check_call(self.stand_still, SHORT_WAIT_S)

    def test_a_link_outlasts_stops_of_its_peer(self) -> None:
        """Guards against messages lost with a peer that stood still."""
        self.check_link(self.stop)

    def test_a_link_outlasts_standstills_of_this_node(self) -> None:
        """Guards against messages lost by a node that stood still."""
        self.check_link(self.stand_still)

    def test_a_handshake_outlasts_a_standstill_of_this_node(self) -> None:
        """Guards against a node passed over by one that stood still."""
        self.peer.send_signal(signal.SIGSTOP)
        self.stand_still(STANDSTILLS_S[0])
        channel = self.open_call(SHORT_WAIT_S)
        part = BodyPart(b'0', is_last=True)
        channel.send(part)
        self.assertEqual(part, channel.receive(WAIT_S))

    def test_a_stopped_node_is_given_up_in_time(self) -> None:
        """Guards against a call that waits for a node that stands still."""
        self.stop(STANDSTILLS_S[0])
        self.assertRaises(LinkError, self.open_call, SHORT_WAIT_S)
