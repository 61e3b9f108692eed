"""Schedule for reading the target list, target loads and cache events."""

from collections.abc import Iterable
from random import Random

from dandelionyoke_core._actions import ListTargets, PollCacheEvents, PollLoad
from dandelionyoke_core._names import Domain, InstanceId, ServiceName
from dandelionyoke_core._notices import ReplicateRecord
from dandelionyoke_core._observation import (
    make_loads_record,
    polls_all_targets,
    targets_to_poll,
)
from dandelionyoke_core._ports import Output, Peers
from dandelionyoke_core._rendezvous import rendezvous
from dandelionyoke_core._routing_settings import RoutingSettings
from dandelionyoke_core._target_changes import TargetsShared
from dandelionyoke_core._target_state import TargetState
from dandelionyoke_core._target_table import TargetTable

VERSIONS_PER_S = 1000
# Consecutive intervals without data after which the source counts as lost.
MAX_MISSED_POLLS = 4
MAX_MISSED_SHARES = 6


class JitteredTimer:
    """Periodic timer with a random deviation of each interval.

    Entries that were started together would otherwise poll together, and
    their requests would reach the platform at the same moment.
    """

    def __init__(
        self, interval_s: float, jitter_share: float, random: Random
    ) -> None:
        self._interval_s = interval_s
        self._jitter_share = jitter_share
        self._random = random
        self.due_s: float | None = None

    def start(self, now_s: float) -> None:
        """Make the timer due immediately."""
        self.due_s = now_s

    def restart_if_due(self, now_s: float, interval_factor: float = 1) -> bool:
        """Return whether the timer is due, and restart it if so."""
        if self.due_s is None or now_s < self.due_s:
            return False
        share = self._jitter_share
        jitter_factor = self._random.uniform(1 - share, 1 + share)
        self.due_s = now_s + self._interval_s * jitter_factor * interval_factor
        return True


class PollSchedule:
    """Requests the polls that are due and shares their results with peers."""

    def __init__(
        self,
        settings: RoutingSettings,
        peers: Peers,
        domain: Domain,
        instance_id: InstanceId,
        table: TargetTable,
        random: Random,
    ) -> None:
        self._settings = settings
        self._peers = peers
        self._domain = domain
        self._instance_id = instance_id
        self._table = table
        self._random = random
        self._last_requested_s: dict[ServiceName, float] = {}
        self._version = 0
        self._started_s = 0.0
        jitter = settings.jitter_share
        self._list_timer = JitteredTimer(
            settings.list_interval_s, jitter, random
        )
        self._load_timer = JitteredTimer(
            settings.poll_interval_s, jitter, random
        )
        self._cache_timer = JitteredTimer(
            settings.cache_interval_s, jitter, random
        )
        self._share_timer = JitteredTimer(
            settings.share_interval_s, jitter, random
        )

    def start(self, now_s: float, wall_s: float) -> None:
        """Make every poll due, and derive versions from the wall clock.

        A process that restarts under the same instance id would otherwise
        begin with versions that its peers reject as old.
        """
        self._version = int(wall_s * VERSIONS_PER_S)
        self._started_s = now_s
        for timer in self._timers():
            timer.start(now_s)

    def record_request(self, service: ServiceName, now_s: float) -> None:
        """Record that a service was requested at this entry."""
        self._last_requested_s[service] = now_s

    def next_wakeup_s(self) -> float | None:
        """Return the time at which the next poll is due, or None."""
        due = (timer.due_s for timer in self._timers())
        return min((due_s for due_s in due if due_s is not None), default=None)

    def take_due(self, now_s: float) -> list[Output]:
        """Return the polls and shared records that are due."""
        outputs: list[Output] = []
        list_factor = (
            1
            if self._should_read_list()
            else self._settings.non_watcher_list_factor
        )
        if self._list_timer.restart_if_due(now_s, list_factor):
            outputs.append(ListTargets())
        if self._load_timer.restart_if_due(now_s):
            outputs.extend(_poll_loads(self._polled_targets()))
            outputs.extend(_poll_loads(self._remote_targets(now_s)))
        if self._cache_timer.restart_if_due(now_s):
            outputs.extend(_poll_caches(self._polled_targets()))
        live_entries = len(self._peers.live_in_domain)
        interval_factor = max(
            1, live_entries / self._settings.entries_per_share
        )
        if self._share_timer.restart_if_due(now_s, interval_factor):
            outputs.extend(self._share(now_s))
        return outputs

    def _timers(self) -> tuple[JitteredTimer, ...]:
        return (
            self._list_timer,
            self._load_timer,
            self._cache_timer,
            self._share_timer,
        )

    def _polled_targets(self) -> list[TargetState]:
        local = [
            state
            for state in self._table.all_states()
            if state.target.domain == self._domain
        ]
        names = targets_to_poll(
            self._settings,
            self._instance_id,
            self._peers.live_in_domain,
            [state.target for state in local],
        )
        return [state for state in local if state.target.target_id in names]

    def _remote_targets(self, now_s: float) -> list[TargetState]:
        """Return the targets of other domains to poll, or a sample of many.

        Without these polls an entry in a saturated domain would not know
        which target of another domain is idle. Polling all of them would
        cost each entry an amount that grows with the fleet.
        """
        since_s = now_s - self._settings.service_interest_s
        remote = [
            state
            for service, at_s in self._last_requested_s.items()
            if at_s >= since_s
            for state in self._table.of_service(service).values()
            if state.target.domain != self._domain
        ]
        if len(remote) <= self._settings.poll_all_below_remote:
            return remote
        return self._random.sample(remote, self._settings.remote_polls)

    def _share(self, now_s: float) -> list[Output]:
        live_entries = self._peers.live_in_domain
        if polls_all_targets(self._settings, live_entries):
            return []
        since_s = now_s - self._settings.poll_interval_s * MAX_MISSED_POLLS
        states = [
            candidate
            for candidate in self._polled_targets()
            if self._should_share_load(candidate, now_s)
        ]
        recent = [state for state in states if state.last_response_s >= since_s]
        unreachable = [state for state in states if state.failures]
        if not recent and not unreachable:
            return self._share_changes(now_s)
        record = make_loads_record(
            f'loads/{self._instance_id}',
            self._next_version(),
            self._settings.share_lifetime_s,
            [(state.target.target_id, state.report) for state in recent],
            tuple(state.target.target_id for state in unreachable),
        )
        return [ReplicateRecord(record), *self._share_changes(now_s)]

    def _should_share_load(self, state: TargetState, now_s: float) -> bool:
        """Return whether this entry is the one that shares a target's load.

        The first entry that polls the target shares it. The second does so
        only if no record arrived for `MAX_MISSED_SHARES` intervals, for
        example after the first has left.
        """
        live_entries = self._peers.live_in_domain
        first_poller = rendezvous(live_entries, state.target.target_id, 1)
        if self._instance_id in first_poller:
            return True
        max_silence_s = self._settings.share_interval_s * MAX_MISSED_SHARES
        return (
            now_s - max(state.last_shared_report_s, self._started_s)
            > max_silence_s
        )

    def _share_changes(self, now_s: float) -> list[Output]:
        changed, gone = self._table.changes.latest(now_s)
        if not self._should_read_list() or not (changed or gone):
            return []
        record = TargetsShared(
            record_key=f'targets/{self._instance_id}',
            version=self._next_version(),
            lifetime_s=self._settings.share_lifetime_s,
            changed=changed,
            gone=gone,
        )
        return [ReplicateRecord(record)]

    def _should_read_list(self) -> bool:
        live_entries = self._peers.live_in_domain
        if polls_all_targets(self._settings, live_entries):
            return True
        selected = rendezvous(live_entries, 'targets', self._settings.watchers)
        return self._instance_id in selected

    def _next_version(self) -> int:
        self._version += 1
        return self._version


def _poll_loads(states: Iterable[TargetState]) -> list[Output]:
    return [
        PollLoad(state.target.target_id, state.target.address)
        for state in states
    ]


def _poll_caches(states: Iterable[TargetState]) -> list[Output]:
    return [
        PollCacheEvents(
            state.target.target_id,
            state.target.address,
            state.prefixes.sequence,
        )
        for state in states
        if state.is_engine
    ]
