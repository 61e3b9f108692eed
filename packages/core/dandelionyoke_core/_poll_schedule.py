"""When the targets, their loads and their caches are read."""

from collections.abc import Iterable
from random import Random

from dandelionyoke_core._actions import ListTargets, PollCacheEvents, PollLoad
from dandelionyoke_core._names import Domain, InstanceId, ServiceName
from dandelionyoke_core._notices import ShareRecord
from dandelionyoke_core._observation import (
    polls_all_targets,
    make_loads_record,
    targets_to_poll,
)
from dandelionyoke_core._ports import Output, Peers
from dandelionyoke_core._rendezvous import rendezvous
from dandelionyoke_core._routing_settings import RoutingSettings
from dandelionyoke_core._target_changes import TargetsShared
from dandelionyoke_core._target_state import TargetState
from dandelionyoke_core._target_table import TargetTable

VERSIONS_PER_S = 1000
# What was missed so often in a row is taken for gone.
MISSED_POLLS = 4
MISSED_SHARES = 6


class JitteredTimer:
    """A timer whose every interval is stretched or cut at random.

    Entries that were started together would otherwise read together, and
    the platform would see their sum at once.
    """

    def __init__(
        self, interval_s: float, jitter_share: float, random: Random
    ) -> None:
        self._interval_s = interval_s
        self._jitter_share = jitter_share
        self._random = random
        self.due_s: float | None = None

    def start(self, now_s: float) -> None:
        """Be due at once."""
        self.due_s = now_s

    def rings(self, now_s: float, slower: float = 1) -> bool:
        """Tell whether it is due, and if so set it again."""
        if self.due_s is None or now_s < self.due_s:
            return False
        share = self._jitter_share
        stretch = self._random.uniform(1 - share, 1 + share)
        self.due_s = now_s + self._interval_s * stretch * slower
        return True


class PollSchedule:
    """Asks for the readings that are due, and shares what was read."""

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
        self._needed: dict[ServiceName, float] = {}
        self._version = 0
        self._started_s = 0.0
        jitter = settings.jitter_share
        self._lists = JitteredTimer(settings.list_interval_s, jitter, random)
        self._loads = JitteredTimer(settings.poll_interval_s, jitter, random)
        self._caches = JitteredTimer(settings.cache_interval_s, jitter, random)
        self._shares = JitteredTimer(settings.share_interval_s, jitter, random)

    def start(self, now_s: float, wall_s: float) -> None:
        """Make every reading due; versions go on from the clock's.

        A process that starts again under its instance's name would else
        begin with versions that its peers take for old.
        """
        self._version = int(wall_s * VERSIONS_PER_S)
        self._started_s = now_s
        for timer in self._timers():
            timer.start(now_s)

    def need(self, service: ServiceName, now_s: float) -> None:
        """Note that a service is asked for at this entry."""
        self._needed[service] = now_s

    def next_wakeup_s(self) -> float | None:
        """Tell when the next reading is due."""
        due = (timer.due_s for timer in self._timers())
        return min((due_s for due_s in due if due_s is not None), default=None)

    def due(self, now_s: float) -> list[Output]:
        """Ask for the readings that are due now."""
        outputs: list[Output] = []
        seldom = 1 if self._is_lister() else self._settings.seldom_list_factor
        if self._lists.rings(now_s, seldom):
            outputs.append(ListTargets())
        if self._loads.rings(now_s):
            outputs.extend(_poll_loads(self._watched()))
            outputs.extend(_poll_loads(self._far(now_s)))
        if self._caches.rings(now_s):
            outputs.extend(_poll_caches(self._watched()))
        here = len(self._peers.live_in_domain)
        slower = max(1, here / self._settings.entries_per_share)
        if self._shares.rings(now_s, slower):
            outputs.extend(self._share(now_s))
        return outputs

    def _timers(self) -> tuple[JitteredTimer, ...]:
        return (self._lists, self._loads, self._caches, self._shares)

    def _watched(self) -> list[TargetState]:
        near = [
            state
            for state in self._table.every()
            if state.target.domain == self._domain
        ]
        names = targets_to_poll(
            self._settings,
            self._instance_id,
            self._peers.live_in_domain,
            [state.target for state in near],
        )
        return [state for state in near if state.target.target_id in names]

    def _far(self, now_s: float) -> list[TargetState]:
        """Pick the targets of other domains, or a few of many, to know where to turn.

        Without them an entry whose domain is full would not know which far
        target is idle; reading all of them would cost each entry as much as
        the whole fleet is large.
        """
        since_s = now_s - self._settings.needed_s
        far = [
            state
            for service, at_s in self._needed.items()
            if at_s >= since_s
            for state in self._table.of_service(service).values()
            if state.target.domain != self._domain
        ]
        if len(far) <= self._settings.poll_all_below_far:
            return far
        return self._random.sample(far, self._settings.far_polls)

    def _share(self, now_s: float) -> list[Output]:
        here = self._peers.live_in_domain
        if polls_all_targets(self._settings, here):
            return []
        since_s = now_s - self._settings.poll_interval_s * MISSED_POLLS
        states = [one for one in self._watched() if self._tells(one, now_s)]
        heard = [state for state in states if state.heard_s >= since_s]
        silent = [state for state in states if state.failures]
        if not heard and not silent:
            return self._share_changes(now_s)
        record = make_loads_record(
            f'loads/{self._instance_id}',
            self._next_version(),
            self._settings.share_lifetime_s,
            [(state.target.target_id, state.report) for state in heard],
            tuple(state.target.target_id for state in silent),
        )
        return [ShareRecord(record), *self._share_changes(now_s)]

    def _tells(self, state: TargetState, now_s: float) -> bool:
        """Tell whether this entry is the one that shares a target's load.

        The first of its watchers does; the second only when nobody has for
        a while, as when the first has just gone.
        """
        here = self._peers.live_in_domain
        first = rendezvous(here, state.target.target_id, 1)
        if self._instance_id in first:
            return True
        silent_s = self._settings.share_interval_s * MISSED_SHARES
        return now_s - max(state.shared_s, self._started_s) > silent_s

    def _share_changes(self, now_s: float) -> list[Output]:
        changed, gone = self._table.changes.latest(now_s)
        if not self._is_lister() or not (changed or gone):
            return []
        record = TargetsShared(
            record_key=f'targets/{self._instance_id}',
            version=self._next_version(),
            lifetime_s=self._settings.share_lifetime_s,
            changed=changed,
            gone=gone,
        )
        return [ShareRecord(record)]

    def _is_lister(self) -> bool:
        here = self._peers.live_in_domain
        if polls_all_targets(self._settings, here):
            return True
        listers = rendezvous(here, 'targets', self._settings.watchers)
        return self._instance_id in listers

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
