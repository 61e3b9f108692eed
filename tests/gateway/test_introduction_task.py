"""Introductions between nodes that have not listed each other yet."""

from random import Random

import eventlet
import testtools

from dandelionyoke_core import (
    InstanceId,
    Metrics,
    PeerConnected,
    PeerDisconnected,
    PeerMessage,
    PeerMessageArrived,
    message_from_mapping,
    message_to_mapping,
)
from dandelionyoke_dispatch import Member
from dandelionyoke_gateway import clock_s
from dandelionyoke_gateway._introduction_task import IntroductionTask
from dandelionyoke_gateway._knowledge import Knowledge, new_knowledge
from dandelionyoke_gateway._log import DecisionLog
from dandelionyoke_gateway._news_messages import NewsAsked
from tests.gateway.settings import new_settings
from tests.platform.node_harness import LogLines

OTHER = InstanceId('m-1')
OTHER_MEMBER = Member(OTHER, 'b', '10.0.0.2:7')


class IntroductionTaskTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.knowledge: Knowledge = new_knowledge(new_settings(), Random(3))
        self.lines = LogLines()
        log = DecisionLog(self.lines, 'n-1', Metrics())
        self.addCleanup(log.close)
        self.task = IntroductionTask(self.knowledge, log)
        self.sent: list[PeerMessage] = []
        self.dialled: list[str] = []
        thread = eventlet.spawn(self.task.run, self.send, self.connect)
        self.addCleanup(thread.kill)

    def send(self, peer_id: InstanceId, message: PeerMessage) -> bool:
        mapping = message_to_mapping(message)
        self.sent.append(message_from_mapping(mapping))
        return True

    def connect(self, peer_id: InstanceId, address: str) -> None:
        self.dialled.append(address)
        self.task.handle_event(PeerConnected(peer_id))

    def receive(self, **fields: object) -> None:
        request = NewsAsked(1, 'm-1.x', 0, 0, **fields)  # type: ignore[arg-type]
        self.task.handle_event(PeerMessageArrived(OTHER, request))

    def list_other(self) -> None:
        self.knowledge.sources.take_members([OTHER_MEMBER], clock_s())
        eventlet.sleep(0.8)

    def test_a_source_introduces_itself_once(self) -> None:
        """Guards against a node unknown to the one it takes over from."""
        self.list_other()
        self.assertEqual(['ws://10.0.0.2:7/'], self.dialled)
        members = [message.member for message in self.sent]
        self.assertEqual([self.knowledge.own_member], members)

    def test_a_new_link_gets_a_new_introduction(self) -> None:
        """Guards against a restarted node that does not know its source."""
        self.list_other()
        self.task.handle_event(PeerDisconnected(OTHER, 'restarted'))
        self.task.handle_event(PeerConnected(OTHER))
        eventlet.sleep(0.3)
        self.assertEqual(2, len(self.sent))

    def test_a_source_dials_no_node_that_polls_it(self) -> None:
        """Guards against links and messages in steady state."""
        self.task.handle_event(PeerConnected(OTHER))
        self.receive()
        self.list_other()
        self.assertEqual([], self.dialled)
        self.assertEqual([], self.sent)

    def test_an_introduced_node_is_known(self) -> None:
        self.receive(member=OTHER_MEMBER)
        sources = self.knowledge.sources
        self.assertEqual(
            OTHER_MEMBER, sources.node_to_poll(clock_s(), has_lost_store=True)
        )

    def test_the_entry_of_another_node_is_ignored(self) -> None:
        """Guards against a node that speaks for another one."""
        self.receive(member=Member('m-2', 'a', '10.0.0.2:7'))
        sources = self.knowledge.sources
        self.assertIsNone(sources.node_to_poll(clock_s(), has_lost_store=True))
