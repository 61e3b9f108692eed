"""Client side of news requests: polls another node instead of the store."""

import contextlib
import enum
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
    era_of,
    number_of,
)
from dandelionyoke_dispatch import ListingMark, Member
from dandelionyoke_gateway._answer_wait import AnswerWait
from dandelionyoke_gateway._clock import clock_s, stalled_s
from dandelionyoke_gateway._configuration_updater import ConfigurationUpdater
from dandelionyoke_gateway._crash_intake import CrashIntake
from dandelionyoke_gateway._knowledge import NEVER_S, Knowledge
from dandelionyoke_gateway._late_answers import LateAnswers
from dandelionyoke_gateway._log import DecisionLog
from dandelionyoke_gateway._news_messages import (
    ConfigurationNews,
    NewsAsked,
    NewsTold,
)
from dandelionyoke_gateway._news_server import NewsServer
from dandelionyoke_gateway._ports import Dialect, Store
from dandelionyoke_gateway._registry_updater import RegistryUpdater
from dandelionyoke_gateway._store_poll_policy import StorePollPolicy
from dandelionyoke_links import PeerHub

# A healthy node answers within the hold time and a few milliseconds, and
# accepts a link at once. A slower one is suspected, and the store is polled.
ANSWER_MARGIN_S = 0.4
LINK_TIMEOUT_S = 0.4
# Limits the request rate: an answer that this node cannot use comes at once
# each time it is requested.
MIN_POLL_INTERVAL_S = 0.1
# How often to check for a node to poll while there is none.
IDLE_INTERVAL_S = 0.25
# A node that sends stale answers for this long has lost the store. One that
# has only just been polled needs a second to poll the store more often.
STALE_TIMEOUT_S = 2.0


class Silence(enum.Enum):
    """Why a request got no answer."""

    NO_LINK = 'no link'
    NOT_SENT = 'the link was full or has ended'
    LINK_CLOSED = 'the link has ended'
    NO_ANSWER = 'no answer'


class NewsTask:
    """Polls the domain's source node, one request at a time."""

    def __init__(
        self,
        knowledge: Knowledge,
        store: Store,
        dialect: Dialect,
        configurations: ConfigurationUpdater,
        registry: RegistryUpdater,
        store_polling: StorePollPolicy,
        log: DecisionLog,
    ) -> None:
        self._knowledge = knowledge
        self._store = store
        self._dialect = dialect
        self._configurations = configurations
        self._registry = registry
        self._store_polling = store_polling
        self._log = log
        self._crash_intake = CrashIntake(knowledge, log)
        self._late_answers = LateAnswers(knowledge, log)
        self._inbox: LightQueue = LightQueue()
        self._linked: set[InstanceId] = set()
        self._request_number = 0
        self._mark: ListingMark | None = None
        self._limits_version = 0
        self._crash_mark: str | None = None
        self._source_id = ''
        self._wants_configuration = False
        self._stale_since_s: float | None = None
        self._last_fetch_s = NEVER_S

    def run(self, hub: PeerHub) -> None:
        """Poll until the process exits."""
        while True:
            member = self._knowledge.sources.node_to_poll(
                clock_s(),
                has_lost_store=self._store_polling.has_lost_store(clock_s()),
            )
            if member is None:
                self._stop_polling()
                eventlet.sleep(IDLE_INTERVAL_S)
            else:
                self._poll_member(hub, member)

    def handle_event(self, server: NewsServer, event: Event) -> None:
        """Handle a link event; a request is answered in its own thread."""
        match event:
            case PeerConnected(peer_id=peer_id):
                self._linked.add(peer_id)
            case PeerDisconnected(peer_id=peer_id):
                self._linked.discard(peer_id)
                self._late_answers.handle_disconnect(peer_id)
            case PeerMessageArrived(
                peer_id=peer_id, message=NewsAsked() as request
            ):
                eventlet.spawn_n(server.handle_request, peer_id, request)
                return
            case PeerMessageArrived(peer_id=peer_id, message=message):
                self._late_answers.handle_message(peer_id, message)
        self._inbox.put(event)

    def _stop_polling(self) -> None:
        """Take back the counts handed over for saving, and drop old events."""
        self._source_id = ''
        self._stale_since_s = None
        self._knowledge.counts_sender.requeue_all()
        while not self._inbox.empty():
            self._inbox.get_nowait()

    def _poll_member(self, hub: PeerHub, member: Member) -> None:
        sent_s = clock_s()
        answer = self._request_news(hub, member)
        if isinstance(answer, Silence):
            self._pass_over(hub, member, answer, clock_s() - sent_s)
            return
        # An answer that waited for this process was not stale when it came.
        elapsed_s = _running_age_s(sent_s)
        self._apply_answer(answer, member, sent_s)
        self._check_staleness(answer, member, elapsed_s)
        eventlet.sleep(max(0, sent_s + MIN_POLL_INTERVAL_S - clock_s()))

    def _pass_over(
        self, hub: PeerHub, member: Member, silence: Silence, waited_s: float
    ) -> None:
        peer_id = InstanceId(member.instance_id)
        self._knowledge.sources.suspect(peer_id, clock_s())
        self._knowledge.counts_sender.requeue_all()
        self._source_id = ''
        self._log.decide(
            'peer.silent',
            peer_id,
            outcome='passed over',
            cause=silence.value,
            waited_s=waited_s,
            stalled_s=stalled_s(clock_s() - waited_s),
        )
        if silence is Silence.NO_ANSWER:
            self._late_answers.expect(hub, peer_id, self._request_number)
        else:
            hub.disconnect(peer_id)

    def _request_news(self, hub: PeerHub, member: Member) -> NewsTold | Silence:
        peer_id = InstanceId(member.instance_id)
        if not self._ensure_link(hub, member):
            return Silence.NO_LINK
        is_first = self._source_id != member.instance_id
        if is_first:
            self._source_id = member.instance_id
            self._stale_since_s = None
            self._log.decide('peer.asked', member.instance_id)
        self._request_number += 1
        hold_s = self._store_polling.hold_s
        request = NewsAsked(
            self._request_number,
            self._knowledge.process_name,
            hold_s,
            number_of(self._knowledge.configuration_revision),
            self._wants_configuration,
            self._mark,
            self._knowledge.counts_sender.pack(clock_s()),
            self._knowledge.own_demand(clock_s()),
            self._knowledge.own_member if is_first else None,
            self._limits_version,
            self._crash_mark,
            era_of(self._knowledge.configuration_revision),
            self._knowledge.unproven_streams(),
        )
        if not hub.send(peer_id, request):
            return Silence.NOT_SENT
        return self._await_answer(AnswerWait(hold_s + ANSWER_MARGIN_S))

    def _ensure_link(self, hub: PeerHub, member: Member) -> bool:
        peer_id = InstanceId(member.instance_id)
        if peer_id in self._linked:
            return True
        eventlet.spawn_n(hub.connect, peer_id, f'ws://{member.address}/')
        wait = AnswerWait(LINK_TIMEOUT_S)
        while (event := self._next_event(wait)) is not None:
            if peer_id in self._linked:
                return True
            if isinstance(event, PeerDisconnected):
                if event.peer_id == peer_id:
                    return False
        return peer_id in self._linked

    def _await_answer(self, wait: AnswerWait) -> NewsTold | Silence:
        while (event := self._next_event(wait)) is not None:
            if isinstance(event, PeerMessageArrived):
                if self._is_answer(event.message):
                    return event.message
            elif isinstance(event, PeerDisconnected):
                if event.peer_id == self._source_id:
                    return Silence.LINK_CLOSED
        return Silence.NO_ANSWER

    def _is_answer(self, message: PeerMessage) -> TypeGuard[NewsTold]:
        return (
            isinstance(message, NewsTold)
            and message.number == self._request_number
        )

    def _next_event(self, wait: AnswerWait) -> Event | None:
        with contextlib.suppress(Empty):
            event: Event = wait.get(self._inbox)
            return event
        return None

    # Answers.

    def _apply_answer(
        self, answer: NewsTold, member: Member, sent_s: float
    ) -> None:
        knowledge = self._knowledge
        knowledge.news_received_s = clock_s()
        knowledge.counts_sender.confirm(answer.saved_parcel)
        if answer.demand is not None:
            knowledge.demand.take_sum(
                member.instance_id, answer.demand, clock_s()
            )
        for report in answer.crash_reports:
            self._crash_intake.take(report, member.instance_id)
        self._crash_mark = answer.crash_mark
        if answer.targets is not None:
            is_applied = self._registry.apply_peer_changes(
                answer.targets.changes,
                sent_s + answer.targets.proven_after_s,
                member.instance_id,
            )
            if is_applied:
                self._mark = answer.targets.changes.mark
        # After the targets, as limits of unknown ones are left out.
        self._apply_target_limits(answer, member)
        self._apply_configuration(answer, member, sent_s)

    def _apply_target_limits(self, answer: NewsTold, member: Member) -> None:
        self._limits_version = answer.limits_version
        if self._knowledge.take_target_limits(answer.limits):
            self._log.decide(
                'target.limits',
                member.instance_id,
                outcome='told',
                limits=','.join(
                    f'{note.target_id}:{note.rate_per_s}'
                    for note in answer.limits
                ),
            )

    def _apply_configuration(
        self, answer: NewsTold, member: Member, sent_s: float
    ) -> None:
        news = answer.configuration
        if news is None:
            return
        if news.told_revision > self._knowledge.configuration_revision:
            self._fetch_configuration(news, member.instance_id)
        self._configurations.confirm(
            news.told_revision, sent_s + news.proven_after_s
        )

    def _fetch_configuration(
        self, news: ConfigurationNews, source: str
    ) -> None:
        """Adopt the latest configuration.

        A large one is not part of the news but read from the store. If that
        fails, the next request asks for the text.
        """
        if news.packed is not None:
            self._configurations.apply_compressed(
                news.packed, news.told_revision, source
            )
            self._wants_configuration = False
            return
        self._await_fetch_slot()
        read_s = clock_s()
        item = self._store.perform(
            StoreGet(
                OperationId('configuration'), self._dialect.configuration_key
            )
        )
        if isinstance(item, StoreItem) and item.value:
            self._configurations.apply(item.value, item.revision, 'store')
            self._configurations.confirm(item.revision, read_s)
            self._wants_configuration = False
        else:
            self._wants_configuration = True

    def _await_fetch_slot(self) -> None:
        """Wait until the store may be read again.

        Limits store reads during a burst of changes: otherwise each node
        would read every revision, although only the latest one matters.
        """
        due_s = self._last_fetch_s + self._store_polling.fetch_interval_s
        eventlet.sleep(max(0, due_s - clock_s()))
        self._last_fetch_s = clock_s()

    def _check_staleness(
        self, answer: NewsTold, member: Member, elapsed_s: float
    ) -> None:
        """Suspect a node if its answers stay stale for too long."""
        if self._store_polling.is_fresh(answer, elapsed_s):
            self._stale_since_s = None
            return
        if self._stale_since_s is None:
            self._stale_since_s = clock_s()
        elif _running_age_s(self._stale_since_s) > STALE_TIMEOUT_S:
            self._knowledge.sources.suspect(member.instance_id, clock_s())
            self._knowledge.counts_sender.requeue_all()
            self._log.decide(
                'peer.stale', member.instance_id, outcome='passed over'
            )


def _running_age_s(since_s: float) -> float:
    """Return how long this process has run since a time of `clock_s`."""
    return clock_s() - since_s - stalled_s(since_s)
