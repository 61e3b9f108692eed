"""Asks another node for news instead of the store."""

from typing import TypeGuard

import eventlet
from eventlet.queue import Empty, LightQueue

from dandelionyoke_core import (
    Event,
    InstanceId,
    OperationId,
    PeerConnected,
    PeerDisconnected,
    PeerMessage,
    PeerMessageArrived,
    StoreGet,
    StoreItem,
)
from dandelionyoke_dispatch import ListingMark, Member
from dandelionyoke_gateway._clock import clock_s
from dandelionyoke_gateway._configuration_keeper import ConfigurationKeeper
from dandelionyoke_gateway._knowledge import NEVER_S, Knowledge
from dandelionyoke_gateway._log import DecisionLog
from dandelionyoke_gateway._news_desk import NewsDesk
from dandelionyoke_gateway._news_messages import (
    ConfigurationNews,
    NewsAsked,
    NewsTold,
)
from dandelionyoke_gateway._ports import Dialect, Store
from dandelionyoke_gateway._registry_keeper import RegistryKeeper
from dandelionyoke_gateway._reliance import Reliance
from dandelionyoke_links import PeerHub

# A sound node answers within its hold and a few milliseconds, and takes a
# link at once; what is slower is passed over, and the store is asked.
ANSWER_MARGIN_S = 0.4
LINK_TIMEOUT_S = 0.4
# An answer that cannot be used comes at once each time it is asked for.
LEAST_CYCLE_S = 0.1
# While nobody is to be asked, it is looked again whether this has changed.
IDLE_S = 0.25
# A node whose answers are old for so long has lost the store. One that began
# to ask the store more often because others ask it needs a second for that.
STALE_S = 2.0


class NewsTask:
    """One question after the other to the node that asks the store."""

    def __init__(
        self,
        knowledge: Knowledge,
        store: Store,
        dialect: Dialect,
        configurations: ConfigurationKeeper,
        registry: RegistryKeeper,
        reliance: Reliance,
        log: DecisionLog,
    ) -> None:
        self._knowledge = knowledge
        self._store = store
        self._dialect = dialect
        self._configurations = configurations
        self._registry = registry
        self._reliance = reliance
        self._log = log
        self._inbox: LightQueue = LightQueue()
        self._linked: set[InstanceId] = set()
        self._number = 0
        self._mark: ListingMark | None = None
        self._source = ''
        self._wants_configuration = False
        self._stale_since_s: float | None = None
        self._fetched_s = NEVER_S

    def run(self, hub: PeerHub) -> None:
        """Ask for as long as the process lives."""
        while True:
            member = self._knowledge.sources.whom_to_ask(
                clock_s(), is_blind=self._reliance.is_blind(clock_s())
            )
            if member is None:
                self._settle()
                eventlet.sleep(IDLE_S)
            else:
                self._ask_member(hub, member)

    def take(self, desk: NewsDesk, event: Event) -> None:
        """Take what the links say."""
        match event:
            case PeerConnected(peer_id=peer_id):
                self._linked.add(peer_id)
            case PeerDisconnected(peer_id=peer_id):
                self._linked.discard(peer_id)
            case PeerMessageArrived(
                peer_id=peer_id, message=NewsAsked() as asked
            ):
                eventlet.spawn_n(desk.answer, peer_id, asked)
                return
        self._inbox.put(event)

    def _settle(self) -> None:
        """Ask nobody: save what others were to save."""
        self._source = ''
        self._stale_since_s = None
        self._knowledge.sender.take_all_back()
        while not self._inbox.empty():
            self._inbox.get_nowait()

    def _ask_member(self, hub: PeerHub, member: Member) -> None:
        asked_s = clock_s()
        told = self._ask(hub, member)
        now_s = clock_s()
        if told is None:
            self._knowledge.sources.suspect(member.instance_id, now_s)
            self._knowledge.sender.take_all_back()
            self._source = ''
            self._log.decide(
                'peer.silent',
                member.instance_id,
                outcome='passed over',
                waited_s=now_s - asked_s,
            )
            hub.disconnect(InstanceId(member.instance_id))
            return
        self._take(told, member, asked_s)
        self._judge(told, member, now_s - asked_s)
        eventlet.sleep(max(0, asked_s + LEAST_CYCLE_S - clock_s()))

    def _ask(self, hub: PeerHub, member: Member) -> NewsTold | None:
        peer_id = InstanceId(member.instance_id)
        if not self._link(hub, member):
            return None
        if self._source != member.instance_id:
            self._source = member.instance_id
            self._stale_since_s = None
            self._log.decide('peer.asked', member.instance_id)
        self._number += 1
        hold_s = self._reliance.hold_s
        asked = NewsAsked(
            self._number,
            self._knowledge.process_name,
            hold_s,
            self._knowledge.configuration_revision,
            self._wants_configuration,
            self._mark,
            self._knowledge.sender.pack(clock_s()),
            self._knowledge.own_demand(clock_s()),
        )
        if not hub.send(peer_id, asked):
            return None
        return self._await_answer(clock_s() + hold_s + ANSWER_MARGIN_S)

    def _link(self, hub: PeerHub, member: Member) -> bool:
        peer_id = InstanceId(member.instance_id)
        if peer_id in self._linked:
            return True
        eventlet.spawn_n(hub.connect, peer_id, f'ws://{member.address}/')
        until_s = clock_s() + LINK_TIMEOUT_S
        while (event := self._next(until_s)) is not None:
            if peer_id in self._linked:
                return True
            if isinstance(event, PeerDisconnected):
                if event.peer_id == peer_id:
                    return False
        return peer_id in self._linked

    def _await_answer(self, until_s: float) -> NewsTold | None:
        while (event := self._next(until_s)) is not None:
            if isinstance(event, PeerMessageArrived):
                if self._is_answer(event.message):
                    return event.message
            elif isinstance(event, PeerDisconnected):
                if event.peer_id == self._source:
                    return None
        return None

    def _is_answer(self, message: PeerMessage) -> TypeGuard[NewsTold]:
        return isinstance(message, NewsTold) and message.number == self._number

    def _next(self, until_s: float) -> Event | None:
        try:
            event: Event = self._inbox.get(timeout=max(0, until_s - clock_s()))
        except Empty:
            return None
        return event

    # Answers.

    def _take(self, told: NewsTold, member: Member, asked_s: float) -> None:
        knowledge = self._knowledge
        knowledge.told_s = clock_s()
        knowledge.sender.confirm(told.saved_parcel)
        if told.demand is not None:
            knowledge.demand.take_sum(
                member.instance_id, told.demand, clock_s()
            )
        for note in told.crashes:
            seen_s = clock_s() - note.age_s
            knowledge.crashes.crashed(note.call, note.target_id, seen_s)
        if told.targets is not None:
            is_taken = self._registry.take_news(
                told.targets.changes,
                asked_s + told.targets.proven_after_s,
                member.instance_id,
            )
            if is_taken:
                self._mark = told.targets.changes.mark
        self._take_configuration(told, member, asked_s)

    def _take_configuration(
        self, told: NewsTold, member: Member, asked_s: float
    ) -> None:
        news = told.configuration
        if news is None:
            return
        if news.revision > self._knowledge.configuration_revision:
            self._fetch(news, member.instance_id)
        self._configurations.prove(news.revision, asked_s + news.proven_after_s)

    def _fetch(self, news: ConfigurationNews, source: str) -> None:
        """Read the newest configuration.

        A large one is not told to all but read from the store; where that
        turns this node away, it asks for the text all the same.
        """
        if news.packed is not None:
            self._configurations.adopt_packed(
                news.packed, news.revision, source
            )
            self._wants_configuration = False
            return
        self._await_fetch()
        read_s = clock_s()
        found = self._store.perform(
            StoreGet(
                OperationId('configuration'), self._dialect.configuration_key
            )
        )
        if isinstance(found, StoreItem) and found.value:
            self._configurations.adopt(found.value, found.revision, 'store')
            self._configurations.prove(found.revision, read_s)
            self._wants_configuration = False
        else:
            self._wants_configuration = True

    def _await_fetch(self) -> None:
        """Wait until the store may be read again.

        In a storm of changes each node would read each of them, and only the
        newest one counts.
        """
        due_s = self._fetched_s + self._reliance.fetch_interval_s
        eventlet.sleep(max(0, due_s - clock_s()))
        self._fetched_s = clock_s()

    def _judge(self, told: NewsTold, member: Member, took_s: float) -> None:
        """Pass a node over whose answers stay old."""
        if self._reliance.is_new(told, took_s):
            self._stale_since_s = None
            return
        now_s = clock_s()
        if self._stale_since_s is None:
            self._stale_since_s = now_s
        elif now_s - self._stale_since_s > STALE_S:
            self._knowledge.sources.suspect(member.instance_id, now_s)
            self._knowledge.sender.take_all_back()
            self._log.decide(
                'peer.stale', member.instance_id, outcome='passed over'
            )
