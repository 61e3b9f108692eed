"""The configuration in force in this node, and its propagation.

In each failure domain a few instances, the watchers, watch the head in the
store. All others learn of a change over the peer links, and poll the head at
long intervals in case they missed one. A node that cannot reach the store
asks its peers for their configuration and its age.
"""

import random as random_module
from collections.abc import Sequence
from typing import ClassVar

import attrs

from dandelionyoke_core._actions import SendPeer, WriteLog
from dandelionyoke_core._configuration_messages import (
    ConfigurationNews,
    ConfigurationOffered,
    ConfigurationWanted,
    make_news,
)
from dandelionyoke_core._configuration_queries import (
    PeerQueries,
    PeerQuerySettings,
)
from dandelionyoke_core._configuration_reader import (
    ConfirmedRead,
    HeadReader,
    ReaderSettings,
)
from dandelionyoke_core._entities import Change, Snapshot
from dandelionyoke_core._errors import DandelionyokeError
from dandelionyoke_core._events import (
    Event,
    PeerConnected,
    PeerDisconnected,
    PeerMessageArrived,
    Started,
    StoreResponded,
    TimerFired,
)
from dandelionyoke_core._knowledge import Knowledge, KnowledgeSettings
from dandelionyoke_core._names import Domain, InstanceId
from dandelionyoke_core._notices import (
    LivePeersChanged,
    RecordReceived,
    ReplicateRecord,
)
from dandelionyoke_core._ports import Output, Peers
from dandelionyoke_core._rendezvous import rendezvous

WATCH_TOPIC = 'config/watch'
# A node that misses a change waits this long for a peer's answer before it
# reads the store, so that a gap in many nodes does not load the store.
GAP_READ_DELAY_S = 2.0


@attrs.frozen
class ConfigurationSettings:
    """Settings of how the configuration propagates."""

    watchers_per_domain: int = 3
    queries: PeerQuerySettings = attrs.field(factory=PeerQuerySettings)
    reader: ReaderSettings = attrs.field(factory=ReaderSettings)
    knowledge: KnowledgeSettings = attrs.field(factory=KnowledgeSettings)


class ConfigurationPart:
    """Keeps the newest configuration known to this node in force."""

    handles: ClassVar[tuple[type[Event], ...]] = (
        Started,
        TimerFired,
        StoreResponded,
        PeerConnected,
        PeerDisconnected,
        PeerMessageArrived,
        LivePeersChanged,
        RecordReceived,
    )

    def __init__(
        self,
        settings: ConfigurationSettings,
        peers: Peers,
        random: random_module.Random,
        instance_id: InstanceId,
        domain: Domain,
    ) -> None:
        self._settings = settings
        self._peers = peers
        self._random = random
        self._instance_id = instance_id
        self._watch_topic = f'{WATCH_TOPIC}/{domain}'
        self._watcher_candidates: tuple[InstanceId, ...] = ()
        self._watchers: Sequence[InstanceId] = ()
        self._knowledge = Knowledge(settings.knowledge)
        self._reader = HeadReader(
            settings.reader, random, f'config/{instance_id}'
        )
        self._confirmed_s: float | None = None
        self._announced_revision = 0
        self._store_config_revision = 0
        self._queries = PeerQueries(settings.queries, random)

    @property
    def snapshot(self) -> Snapshot:
        """The whole configuration; revision 0 until one is known."""
        return self._knowledge.snapshot

    def knowledge_age_s(self, now_s: float) -> float | None:
        """Return the seconds since the last confirmation; None if never."""
        if self._confirmed_s is None:
            return None
        return max(0, now_s - self._confirmed_s)

    def next_wakeup_s(self) -> float | None:
        """Return when a read or a query is due, or None."""
        wakeups = (
            self._reader.next_wakeup_s(),
            self._queries.next_wakeup_s(),
        )
        return min(
            (wakeup_s for wakeup_s in wakeups if wakeup_s is not None),
            default=None,
        )

    def handle(self, event: Event, now_s: float) -> list[Output]:
        """Handle an event and return the resulting outputs."""
        outputs = self._dispatch(event, now_s)
        outputs.extend(
            self._reader.advance(
                self._knowledge.revision, self._is_watcher(), now_s
            )
        )
        outputs.extend(self._ask_when_due(now_s))
        return outputs

    def _dispatch(self, event: Event, now_s: float) -> list[Output]:
        match event:
            case Started():
                self._reader.schedule_read(now_s)
                self._queries.start(now_s)
            case StoreResponded():
                return self._handle_store_answer(event, now_s)
            case PeerConnected(peer_id=peer_id):
                self._queries.add_link(peer_id)
                return self._ask_new_peer(peer_id, now_s)
            case PeerDisconnected(peer_id=peer_id):
                self._queries.remove_link(peer_id)
            case LivePeersChanged() if self._is_watcher():
                self._reader.schedule_read(now_s)
            case PeerMessageArrived():
                return self._handle_peer_message(event, now_s)
            case RecordReceived(
                record=ConfigurationNews() as announcement, from_peer=peer_id
            ):
                outputs = self._apply_changes(announcement.changes)
                return outputs + self._request_missing(
                    announcement.version, peer_id, now_s
                )
        return []

    def _handle_peer_message(
        self, arrived: PeerMessageArrived, now_s: float
    ) -> list[Output]:
        peer_id = arrived.peer_id
        if isinstance(arrived.message, ConfigurationWanted):
            offer = self._make_offer(arrived.message, now_s)
            return [SendPeer(peer_id, offer)]
        if isinstance(arrived.message, ConfigurationOffered):
            return self._handle_offer(peer_id, arrived.message, now_s)
        return []

    def _is_watcher(self) -> bool:
        live = self._peers.live_in_domain
        if live != self._watcher_candidates:
            self._watcher_candidates = live
            self._watchers = rendezvous(
                live, self._watch_topic, self._settings.watchers_per_domain
            )
        return self._instance_id in self._watchers

    def _handle_store_answer(
        self, event: StoreResponded, now_s: float
    ) -> list[Output]:
        actions, reading = self._reader.handle_answer(
            event, self._is_watcher(), now_s
        )
        outputs = [] if reading is None else self._apply_reading(reading)
        return [*actions, *outputs]

    def _apply_reading(self, reading: ConfirmedRead) -> list[Output]:
        head_read = reading.head_read
        if (
            head_read.revision is not None
            and head_read.revision < self.snapshot.revision
        ):
            # The read was slower than a peer's announcement, or the store
            # lost writes. Applying it would make a withdrawn key valid again.
            return [
                WriteLog(
                    'configuration.store_behind',
                    str(self.snapshot.revision),
                    f'the store is at {head_read.revision}',
                )
            ]
        if head_read.snapshot is None:
            outputs = self._apply_changes(head_read.changes)
        else:
            outputs = self._knowledge.take_snapshot(
                head_read.snapshot, head_read.changes
            )
        if head_read.revision is not None:
            self._store_config_revision = head_read.revision
        if self._store_config_revision >= self.snapshot.revision:
            self._confirm(reading.confirmed_s)
        return self._with_announcement(outputs)

    def _apply_changes(self, changes: tuple[Change, ...]) -> list[Output]:
        try:
            return self._knowledge.take_changes(changes)
        except DandelionyokeError as error:
            # Only a peer of another version can cause this. The next read
            # recovers from it with the snapshot in the store.
            return [WriteLog('configuration.unusable', '', str(error))]

    def _with_announcement(self, outputs: list[Output]) -> list[Output]:
        if not outputs:
            return []
        announcement = make_news(
            self.snapshot.revision, self._knowledge.last_changes()
        )
        return [*outputs, ReplicateRecord(announcement, everywhere=True)]

    def _confirm(self, confirmed_s: float) -> None:
        if self._confirmed_s is None or confirmed_s > self._confirmed_s:
            self._confirmed_s = confirmed_s

    # Queries to peers.

    def _request_missing(
        self, announced_revision: int, peer_id: InstanceId, now_s: float
    ) -> list[Output]:
        self._announced_revision = max(
            self._announced_revision, announced_revision
        )
        if self._announced_revision <= self.snapshot.revision:
            return []
        delay_s = self._random.uniform(0.5, 1) * GAP_READ_DELAY_S
        self._reader.schedule_read(now_s + delay_s)
        if self._queries.is_waiting:
            return []
        return [self._ask(peer_id, now_s)]

    def _ask_new_peer(self, peer_id: InstanceId, now_s: float) -> list[Output]:
        if self._queries.is_waiting or self._reader.is_store_reachable:
            return []
        if self._queries.is_fresh(self.knowledge_age_s(now_s)):
            return []
        return [self._ask(peer_id, now_s)]

    def _ask_when_due(self, now_s: float) -> list[Output]:
        peer_id = self._queries.choose(now_s)
        age_s = self.knowledge_age_s(now_s)
        if peer_id is None or self._queries.is_fresh(age_s):
            return []
        return [self._ask(peer_id, now_s)]

    def _ask(self, peer_id: InstanceId, now_s: float) -> SendPeer:
        return self._queries.ask(
            peer_id,
            revision=self.snapshot.revision,
            whole=not self._reader.is_store_reachable,
            now_s=now_s,
        )

    def _make_offer(
        self, wanted: ConfigurationWanted, now_s: float
    ) -> ConfigurationOffered:
        changes = self._knowledge.changes_after(wanted.revision)
        snapshot = self.snapshot if changes is None and wanted.whole else None
        return ConfigurationOffered(
            question_number=wanted.question_number,
            revision=self.snapshot.revision,
            age_s=self.knowledge_age_s(now_s),
            changes=changes or (),
            snapshot=snapshot,
        )

    def _handle_offer(
        self, peer_id: InstanceId, offered: ConfigurationOffered, now_s: float
    ) -> list[Output]:
        asked_s = self._queries.match(peer_id, offered, now_s)
        if asked_s is None:
            return []
        outputs = self._apply_changes(offered.changes)
        if offered.snapshot is not None:
            outputs.extend(self._knowledge.take_snapshot(offered.snapshot))
        is_same = offered.revision == self.snapshot.revision
        if is_same and offered.age_s is not None:
            self._confirm(asked_s - offered.age_s)
        self._announced_revision = max(
            self._announced_revision, offered.revision
        )
        if self._announced_revision > self.snapshot.revision:
            delay_s = self._random.uniform(0, 1) * GAP_READ_DELAY_S
            self._reader.schedule_read(now_s + delay_s)
        return self._with_announcement(outputs)
