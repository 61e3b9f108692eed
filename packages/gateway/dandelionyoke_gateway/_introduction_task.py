"""Makes a node known to others before they list it.

A node lists the members every few seconds. One that the store refuses in the
meantime would not know the nodes that started later, and could not poll them.
"""

import eventlet

from dandelionyoke_core import (
    Event,
    InstanceId,
    PeerConnected,
    PeerDisconnected,
    PeerMessageArrived,
    era_of,
    number_of,
)
from dandelionyoke_dispatch import Member
from dandelionyoke_gateway._clock import clock_s
from dandelionyoke_gateway._knowledge import NEVER_S, Knowledge
from dandelionyoke_gateway._log import DecisionLog
from dandelionyoke_gateway._news_messages import NewsAsked
from dandelionyoke_gateway._news_server import Send
from dandelionyoke_gateway._source_links import Connect

CHECK_INTERVAL_S = 0.25
DIAL_INTERVAL_S = 2.0
# Answers to this request are ignored, as news requests have higher numbers.
INTRODUCTION_NUMBER = 0


class IntroductionTask:
    """Introduces this node as a source, and takes introductions of others.

    Other nodes introduce themselves with their first news request. A source
    node sends none, so it introduces itself to the node that would be the
    source without it. Normally that node already polls this one.
    """

    def __init__(self, knowledge: Knowledge, log: DecisionLog) -> None:
        self._knowledge = knowledge
        self._log = log
        self._linked: set[InstanceId] = set()
        # Linked nodes that know this one.
        self._acquainted: set[InstanceId] = set()
        self._last_dial_s = NEVER_S

    def run(self, send: Send, connect: Connect) -> None:
        """Introduce this node where it is not known until the process exits."""
        while True:
            if self._knowledge.sources.is_source(clock_s()):
                member = self._knowledge.sources.node_to_meet()
                if member is not None:
                    self._meet(member, send, connect)
            eventlet.sleep(CHECK_INTERVAL_S)

    def handle_event(self, event: Event) -> None:
        """Note links and introductions; the event is not used up."""
        match event:
            case PeerConnected(peer_id=peer_id):
                self._linked.add(peer_id)
            case PeerDisconnected(peer_id=peer_id):
                self._linked.discard(peer_id)
                self._acquainted.discard(peer_id)
            case PeerMessageArrived(
                peer_id=peer_id, message=NewsAsked(member=member)
            ):
                self._acquainted.add(peer_id)
                if member is not None:
                    self._take_introduction(peer_id, member)

    def _meet(self, member: Member, send: Send, connect: Connect) -> None:
        peer_id, now_s = InstanceId(member.instance_id), clock_s()
        if peer_id in self._acquainted:
            return
        if peer_id in self._linked:
            revision = self._knowledge.configuration_revision
            introduction = NewsAsked(
                INTRODUCTION_NUMBER,
                self._knowledge.process_name,
                hold_s=0,
                configuration_revision=number_of(revision),
                member=self._knowledge.own_member,
                configuration_era=era_of(revision),
            )
            if send(peer_id, introduction):
                self._acquainted.add(peer_id)
        elif now_s - self._last_dial_s >= DIAL_INTERVAL_S:
            self._last_dial_s = now_s
            eventlet.spawn_n(connect, peer_id, f'ws://{member.address}/')

    def _take_introduction(self, peer_id: InstanceId, member: Member) -> None:
        if member.instance_id != peer_id:
            self._log.decide(
                'peer.introduced',
                peer_id,
                outcome='ignored',
                cause=f'the entry is of {member.instance_id}',
            )
        elif self._knowledge.sources.introduce(member, clock_s()):
            self._log.decide(
                'peer.introduced',
                peer_id,
                outcome='known',
                domain=member.domain,
                address=member.address,
            )
