"""Tests of links and channels whose packets are lost for a while."""

import contextlib
import itertools
from collections.abc import Iterator

import eventlet
import testtools
from eventlet.green import socket

from dandelionyoke_core import Event, InstanceId, PeerMessageArrived
from dandelionyoke_gateway._handover_messages import BodyPart
from dandelionyoke_gateway._limit_messages import UseReported
from dandelionyoke_links import (
    CallChannel,
    LinkError,
    PeerHub,
    PeerSettings,
    listen,
)
from tests.links import partition

SILENCES_S = (1.0, 1.5, 2.5)
# Whose packets are lost.
LOST = ('ours', 'theirs', 'both')
STEP_S = 0.2
WAIT_S = 8.0
PARTS = tuple(BodyPart(b'%d' % number, number == 3) for number in range(4))
OWN_ID, PEER_ID = InstanceId('n-2'), InstanceId('n-1')


def new_hub(instance_id: InstanceId, events: list[Event]) -> PeerHub:
    """Make a hub that records its events."""
    return PeerHub(PeerSettings(instance_id, b'a secret'), events.append)


def cut(
    own: socket.socket, peer: socket.socket, lost: str, for_s: float
) -> None:
    """Drop the packets of one end or of both for a while."""
    ends = {'ours': (peer,), 'theirs': (own,), 'both': (own, peer)}
    for end in ends[lost]:
        partition.cut(end)
        eventlet.spawn_after(for_s, _heal, end)


def _heal(sock: socket.socket) -> None:
    # The connection may have ended before.
    with contextlib.suppress(OSError):
        partition.heal(sock)


class SilentCase(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.events: list[Event] = []
        self.listener = listen('127.0.0.1', 0)
        self.addCleanup(self.listener.close)
        self.address = f'127.0.0.1:{self.listener.getsockname()[1]}'
        self.hub = new_hub(PEER_ID, self.events)
        server = eventlet.spawn(self.hub.serve, self.listener)
        self.addCleanup(server.kill)

    def silences(self) -> Iterator[tuple[str, float]]:
        """Name each kind of silence."""
        yield from itertools.product(LOST, SILENCES_S)


class ChannelCase(SilentCase):
    def setUp(self) -> None:
        super().setUp()
        self.accepted: list[CallChannel] = []
        self.hub.serve_calls(self.answer)

    def answer(self, channel: CallChannel) -> None:
        """Answer a call in parts."""
        self.accepted.append(channel)
        channel.receive(WAIT_S)
        for part in PARTS:
            eventlet.sleep(STEP_S)
            channel.send(part)
        eventlet.sleep(WAIT_S)


class SilentChannelTest(ChannelCase):
    def exchange(self, lost: str, for_s: float, silent_from: int) -> list[str]:
        """Return the parts of an answer, and why it ended before its last.

        The silence begins once so many parts were received; before the call is
        sent if it is -1.
        """
        hub = new_hub(OWN_ID, [])
        channel = hub.open_call(PEER_ID, self.address, WAIT_S)
        eventlet.sleep(STEP_S)
        own, peer = (end._channel._sock for end in (channel, self.accepted[-1]))
        received: list[str] = []
        try:
            if silent_from < 0:
                cut(own, peer, lost, for_s)
            channel.send(PARTS[0])
            eventlet.sleep(STEP_S / 2)
            for number in range(len(PARTS)):
                if number == silent_from:
                    cut(own, peer, lost, for_s)
                part = channel.receive(WAIT_S)
                received.append(part.content.decode())
        except (LinkError, TimeoutError) as error:
            received.append(str(error))
        finally:
            channel.close()
        return received

    def failures_from(self, silent_from: int) -> dict[str, list[str]]:
        """Run a call for each silence; return the answers that were cut."""
        runs = {}
        for lost, for_s in self.silences():
            runs[f'{lost}, {for_s} s'] = eventlet.spawn(
                self.exchange, lost, for_s, silent_from
            )
            # The next one has its own accepted end.
            eventlet.sleep(STEP_S * 2)
        whole = [part.content.decode() for part in PARTS]
        answers = {name: run.wait() for name, run in runs.items()}
        return {name: got for name, got in answers.items() if got != whole}

    def test_a_silence_before_a_handed_call_arrives_loses_nothing(self) -> None:
        """Guards against a handed call given up as its node is silent."""
        self.assertEqual({}, self.failures_from(-1))

    def test_a_silence_before_its_answer_loses_nothing(self) -> None:
        """Guards against a handed call given up while it runs."""
        self.assertEqual({}, self.failures_from(0))

    def test_a_silence_within_its_answer_cuts_nothing(self) -> None:
        """Guards against an answer of another node that is cut off."""
        self.assertEqual({}, self.failures_from(2))


class DeadChannelTest(ChannelCase):
    def test_a_dead_channel_has_ended(self) -> None:
        """Guards against a call that goes on after its channel has failed.

        The kernel's time-out was taken for that of the reader, so that the
        node which runs the call did not give it up.
        """
        channel = new_hub(OWN_ID, []).open_call(PEER_ID, self.address, WAIT_S)
        self.addCleanup(channel.close)
        eventlet.sleep(STEP_S)
        cut(channel._channel._sock, self.accepted[0]._channel._sock, 'both', 60)
        self.assertRaises(LinkError, channel.receive, timeout_s=None)


class SilentLinkTest(SilentCase):
    def send_in_silence(self, lost: str, for_s: float, name: str) -> None:
        own_id = InstanceId(name)
        own_hub = new_hub(own_id, [])
        dialler = eventlet.spawn(
            own_hub.connect, PEER_ID, f'ws://{self.address}/'
        )
        eventlet.sleep(STEP_S)
        (own,), (peer,) = own_hub._links[PEER_ID], self.hub._links[own_id]
        cut(own.channel._sock, peer.channel._sock, lost, for_s)
        own_hub.send(PEER_ID, UseReported({name: 1.0}))
        eventlet.sleep(WAIT_S)
        dialler.kill()

    def test_a_charge_that_is_sent_in_a_silence_arrives(self) -> None:
        """Guards against limits that are exceeded after a silence."""
        kinds = [(f'{lost}, {s} s', lost, s) for lost, s in self.silences()]
        runs = [
            eventlet.spawn(self.send_in_silence, lost, for_s, name)
            for name, lost, for_s in kinds
        ]
        for run in runs:
            run.wait()
        arrived = {
            str(event.peer_id)
            for event in self.events
            if isinstance(event, PeerMessageArrived)
        }
        self.assertEqual({name for name, _, _ in kinds}, arrived)
