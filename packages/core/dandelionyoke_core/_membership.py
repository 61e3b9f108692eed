"""Cluster membership: failure detection and gossip of shared records."""

import random as random_module
from typing import ClassVar

from dandelionyoke_core._actions import (
    Action,
    CountMetric,
    ListInstances,
    SendPeer,
    WriteLog,
)
from dandelionyoke_core._events import (
    Event,
    InstancesListed,
    ListingFailed,
    PeerConnected,
    PeerDisconnected,
    PeerMessage,
    PeerMessageArrived,
    ProcessStalled,
    Started,
    TimerFired,
)
from dandelionyoke_core._links import Links
from dandelionyoke_core._members import MemberTable
from dandelionyoke_core._membership_messages import (
    Heartbeat,
    MemberRecord,
    MemberState,
    RecordBatch,
    RecordSummary,
    member_record_key,
    next_announcement_version,
    suspicion_version,
)
from dandelionyoke_core._membership_settings import MembershipSettings
from dandelionyoke_core._names import InstanceId
from dandelionyoke_core._notices import (
    Leaving,
    LivePeersChanged,
    RecordReceived,
    ReplicateRecord,
)
from dandelionyoke_core._ports import Output
from dandelionyoke_core._record_propagation import RecordPropagation
from dandelionyoke_core._records import Instance
from dandelionyoke_core._topology import choose_links

VERSIONS_PER_INCARNATION = 1 << 20


class MembershipPart:
    """Tracks the live entries, links to a few and relays shared records.

    `incarnation` increases with each start under one instance id, for
    example seconds since the epoch.
    """

    handles: ClassVar[tuple[type[Event], ...]] = (
        Started,
        TimerFired,
        InstancesListed,
        ListingFailed,
        PeerConnected,
        PeerDisconnected,
        PeerMessageArrived,
        ProcessStalled,
        ReplicateRecord,
        Leaving,
    )

    def __init__(
        self,
        settings: MembershipSettings,
        own: Instance,
        incarnation: int,
        random: random_module.Random,
    ) -> None:
        self._settings = settings
        self._own = own
        self._random = random
        self._version = incarnation * VERSIONS_PER_INCARNATION
        self._state = MemberState.LIVE
        self._members = MemberTable(
            own, settings.suspicion_timeout_s, settings.max_members
        )
        self._links = Links(own.instance_id, settings.links)
        self._propagation = RecordPropagation(own, settings.gossip)
        self._resuspect_due_s: dict[InstanceId, float] = {}
        self._heartbeat_count = 0
        self._tick_due_s: float | None = None
        self._list_due_s = 0.0
        self._probe_due_s = 0.0
        self._announce_due_s = 0.0
        self._relink_due_s: float | None = None
        self._next_suspicion_expiry_s: float | None = None
        self._is_refresh_needed = False

    @property
    def live(self) -> tuple[InstanceId, ...]:
        """Live entries everywhere, this one included, sorted."""
        return self._members.live

    @property
    def live_in_domain(self) -> tuple[InstanceId, ...]:
        """Live entries of this failure domain, this one included, sorted."""
        return self._members.live_in_domain

    @property
    def leaving(self) -> tuple[InstanceId, ...]:
        """Entries that are shutting down and finish their calls in progress."""
        return self._members.leaving

    @property
    def linked(self) -> tuple[InstanceId, ...]:
        """Peers with an open link."""
        return tuple(self._links.connected_peers())

    def next_wakeup_s(self) -> float | None:
        """Return the time at which this part needs a wake-up, or None."""
        wakeups = (
            self._tick_due_s,
            self._relink_due_s,
            self._next_suspicion_expiry_s,
        )
        return min((at_s for at_s in wakeups if at_s is not None), default=None)

    def handle(self, event: Event, now_s: float) -> list[Output]:
        """Handle an event and return the resulting outputs."""
        self._check_stall(event, now_s)
        outputs = self._dispatch(event, now_s)
        if self._tick_due_s is not None and now_s >= self._tick_due_s:
            outputs.extend(self._tick(now_s))
        outputs.extend(self._refresh(now_s))
        outputs.extend(self._propagation.flush(self._links.connected_peers()))
        return outputs

    def _dispatch(self, event: Event, now_s: float) -> list[Output]:
        match event:
            case Started():
                return self._start(now_s)
            case InstancesListed(instances=instances):
                self._apply_list(instances, now_s)
            case PeerConnected(peer_id=peer_id):
                return self._on_peer_connected(peer_id, now_s)
            case PeerDisconnected(peer_id=peer_id):
                self._links.on_disconnected(peer_id, now_s)
                self._propagation.forget(peer_id)
            case PeerMessageArrived(peer_id=peer_id, message=message):
                self._links.record_activity(peer_id, now_s)
                return self._handle_message(peer_id, message, now_s)
            case ReplicateRecord(record=record, everywhere=everywhere):
                self._propagation.share(record, everywhere, now_s)
            case Leaving():
                self._state = MemberState.LEAVING
                self._announce(now_s)
        return []

    def _check_stall(self, event: Event, now_s: float) -> None:
        if isinstance(event, ProcessStalled):
            self._links.extend_silence(event.stalled_s, now_s)
        due_s = self._tick_due_s
        if (
            due_s is not None
            and now_s - due_s > self._settings.stall_threshold_s
        ):
            self._links.reset_silence(now_s)

    # Periodic work.

    def _start(self, now_s: float) -> list[Output]:
        self._tick_due_s = now_s
        self._list_due_s = now_s
        self._apply_list(self._settings.seeds, now_s)
        return [LivePeersChanged(self.live, self.live_in_domain)]

    def _tick(self, now_s: float) -> list[Output]:
        self._tick_due_s = now_s + self._jitter(
            self._settings.heartbeat_interval_s
        )
        self._propagation.expire(now_s)
        outputs: list[Output] = list(self._links.maintain(now_s))
        outputs.extend(self._send_heartbeats())
        outputs.extend(self._suspect_silent_peers(now_s))
        if now_s >= self._announce_due_s:
            self._announce(now_s)
        if now_s >= self._list_due_s:
            self._list_due_s = now_s + self._jitter(self._list_interval_s())
            outputs.append(ListInstances())
        if now_s >= self._probe_due_s:
            outputs.extend(self._probe(now_s))
        return outputs

    def _list_interval_s(self) -> float:
        """Return the list interval, which is shorter while no peer is known.

        The list lags: the entries of a fleet that starts all at once read it
        before any of them is listed, and would not know each other until the
        next read.
        """
        if len(self.live) > 1:
            return self._settings.list_interval_s
        return self._settings.isolated_list_interval_s

    def _send_heartbeats(self) -> list[Action]:
        self._heartbeat_count += 1
        heartbeat = Heartbeat(self._heartbeat_count)
        return [
            SendPeer(peer_id, heartbeat)
            for peer_id in self._links.connected_peers()
        ]

    def _jitter(self, interval_s: float) -> float:
        return interval_s * self._random.uniform(0.9, 1.1)

    def _probe(self, now_s: float) -> list[Action]:
        """Dial one random instance that is presumed dead.

        A network partition may have ended, and nothing else reconnects the
        two sides.
        """
        self._probe_due_s = now_s + self._jitter(
            self._settings.probe_interval_s
        )
        presumed_dead = self._members.suspected_but_listed()
        if not presumed_dead:
            return []
        chosen = self._random.choice(presumed_dead)
        return self._links.probe(chosen.instance_id, chosen.peer_address, now_s)

    # Members.

    def _apply_list(
        self, instances: tuple[Instance, ...], now_s: float
    ) -> None:
        for instance_id in self._members.apply_list(instances):
            # The list lags and may still show a member that was removed.
            record = self._propagation.find(member_record_key(instance_id))
            if isinstance(record, MemberRecord):
                self._members.apply_record(record, now_s)
        self._is_refresh_needed = True

    def _refresh(self, now_s: float) -> list[Output]:
        """Update the live lists and the wanted links from the member table."""
        outputs: list[Output] = []
        is_suspicion_due = (
            self._next_suspicion_expiry_s is not None
            and now_s >= self._next_suspicion_expiry_s
        )
        if self._is_refresh_needed or is_suspicion_due:
            self._is_refresh_needed = False
            if self._members.refresh(now_s):
                outputs.append(LivePeersChanged(self.live, self.live_in_domain))
                self._relink_due_s = now_s + self._settings.relink_delay_s
            self._next_suspicion_expiry_s = (
                self._members.next_suspicion_expiry_s(now_s)
            )
        if self._relink_due_s is not None and now_s >= self._relink_due_s:
            self._relink_due_s = None
            outputs.extend(self._relink(now_s))
        return outputs

    def _relink(self, now_s: float) -> list[Action]:
        live = self._members.live_instances()
        chosen = choose_links(self._own, live, self._settings.topology)
        addresses = {
            instance.instance_id: instance.peer_address
            for instance in live
            if instance.instance_id in chosen
        }
        return self._links.set_wanted(addresses, now_s)

    def _suspect_silent_peers(self, now_s: float) -> list[Output]:
        outputs: list[Output] = []
        self._resuspect_due_s = {
            name: due_s
            for name, due_s in self._resuspect_due_s.items()
            if now_s < due_s
        }
        for instance_id in self._links.silent_peers(now_s):
            member = self._members.find(instance_id)
            if member is None or member.state is MemberState.SUSPECTED:
                continue
            if instance_id in self._resuspect_due_s:
                # It refuted an earlier suspicion over other links, so only
                # the direct path to it is broken. A new suspicion each
                # second would flood the peers with records.
                continue
            self._resuspect_due_s[instance_id] = (
                now_s + self._settings.resuspect_after_s
            )
            version = suspicion_version(member.version)
            suspicion = self._make_record(
                member.instance, version, MemberState.SUSPECTED
            )
            self._store_member(suspicion, now_s)
            outputs.append(WriteLog('membership.suspected', instance_id))
            outputs.append(CountMetric('membership_suspicions'))
        return outputs

    def _announce(self, now_s: float) -> None:
        self._announce_due_s = now_s + self._jitter(
            self._settings.announce_interval_s
        )
        self._version = next_announcement_version(self._version)
        self._store_member(
            self._make_record(self._own, self._version, self._state), now_s
        )

    def _make_record(
        self, instance: Instance, version: int, state: MemberState
    ) -> MemberRecord:
        return MemberRecord(
            record_key=member_record_key(instance.instance_id),
            version=version,
            lifetime_s=self._settings.member_lifetime_s,
            instance=instance,
            state=state,
            said_by=self._own.instance_id,
        )

    def _store_member(self, record: MemberRecord, now_s: float) -> None:
        self._propagation.share(record, everywhere=True, now_s=now_s)
        self._members.apply_record(record, now_s)
        self._is_refresh_needed = True

    def _apply_member(self, record: MemberRecord, now_s: float) -> list[Output]:
        self._members.apply_record(record, now_s)
        self._is_refresh_needed = True
        if record.instance.instance_id != self._own.instance_id:
            return []
        # The record comes from a peer that suspects this node, or from this
        # node before a restart. Without a newer announcement the other
        # entries would presume this node dead.
        self._version = max(self._version, record.version)
        self._announce(now_s)
        return [
            WriteLog('membership.refuted', record.said_by, record.state.value)
        ]

    # Records and links.

    def _on_peer_connected(
        self, peer_id: InstanceId, now_s: float
    ) -> list[Output]:
        refusal = self._links.on_connected(peer_id, now_s)
        if refusal:
            return list(refusal)
        self._resuspect_due_s.pop(peer_id, None)
        return [self._propagation.summary_for(peer_id)]

    def _handle_message(
        self, peer_id: InstanceId, message: PeerMessage, now_s: float
    ) -> list[Output]:
        if isinstance(message, RecordSummary):
            return list(self._propagation.send_missing(peer_id, message, now_s))
        if not isinstance(message, RecordBatch):
            return []
        outputs: list[Output] = []
        for record in self._propagation.receive(peer_id, message, now_s):
            outputs.append(RecordReceived(record, peer_id))
            if isinstance(record, MemberRecord):
                outputs.extend(self._apply_member(record, now_s))
        return outputs
