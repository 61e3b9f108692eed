"""When the targets, their loads and their caches are read."""

from collections.abc import Iterable
from random import Random

from dandelionyoke_core._actions import ListTargets, PollCacheEvents, PollLoad
from dandelionyoke_core._names import Domain, InstanceId, ServiceName
from dandelionyoke_core._notices import ShareRecord
from dandelionyoke_core._observation import (
    is_watched_by_all,
    share_loads,
    watched,
)
from dandelionyoke_core._ports import Output, Peers
from dandelionyoke_core._routing_settings import RoutingSettings
from dandelionyoke_core._target_state import TargetState
from dandelionyoke_core._target_table import TargetTable


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

    def rings(self, now_s: float) -> bool:
        """Tell whether it is due, and if so set it again."""
        if self.due_s is None or now_s < self.due_s:
            return False
        share = self._jitter_share
        stretch = self._random.uniform(1 - share, 1 + share)
        self.due_s = now_s + self._interval_s * stretch
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
        jitter = settings.jitter_share
        self._lists = JitteredTimer(settings.list_interval_s, jitter, random)
        self._loads = JitteredTimer(settings.poll_interval_s, jitter, random)
        self._caches = JitteredTimer(settings.cache_interval_s, jitter, random)
        self._shares = JitteredTimer(settings.share_interval_s, jitter, random)

    def start(self, now_s: float) -> None:
        """Make every reading due."""
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
        if self._lists.rings(now_s):
            outputs.append(ListTargets())
        if self._loads.rings(now_s):
            outputs.extend(_poll_loads(self._watched()))
            outputs.extend(_poll_loads(self._far(now_s)))
        if self._caches.rings(now_s):
            outputs.extend(_poll_caches(self._watched()))
        if self._shares.rings(now_s):
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
        names = watched(
            self._settings,
            self._instance_id,
            self._peers.live_in_domain,
            [state.target for state in near],
        )
        return [state for state in near if state.target.target_id in names]

    def _far(self, now_s: float) -> list[TargetState]:
        """Pick a few targets of other domains, to know where to turn.

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
        count = min(self._settings.far_polls, len(far))
        return self._random.sample(far, count)

    def _share(self, now_s: float) -> list[Output]:
        here = self._peers.live_in_domain
        if is_watched_by_all(self._settings, here):
            return []
        states = self._watched()
        since_s = now_s - self._settings.share_interval_s * 2
        heard = [state for state in states if state.heard_s >= since_s]
        self._version += 1
        record = share_loads(
            f'loads/{self._instance_id}',
            self._version,
            self._settings.share_lifetime_s,
            [(state.target.target_id, state.report) for state in heard],
            tuple(state.target.target_id for state in states if state.failures),
        )
        return [ShareRecord(record)]


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
