"""When the targets, their loads and their caches are read."""

from random import Random

from dandelionyoke_core._actions import ListTargets, PollCacheEvents, PollLoad
from dandelionyoke_core._names import InstanceId
from dandelionyoke_core._observation import watched
from dandelionyoke_core._ports import Output, Peers
from dandelionyoke_core._records import TargetKind
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
    """Asks for the readings that are due."""

    def __init__(
        self,
        settings: RoutingSettings,
        peers: Peers,
        instance_id: InstanceId,
        table: TargetTable,
        random: Random,
    ) -> None:
        self._settings = settings
        self._peers = peers
        self._instance_id = instance_id
        self._table = table
        jitter = settings.jitter_share
        self._lists = JitteredTimer(settings.list_interval_s, jitter, random)
        self._loads = JitteredTimer(settings.poll_interval_s, jitter, random)
        self._caches = JitteredTimer(settings.cache_interval_s, jitter, random)

    def start(self, now_s: float) -> None:
        """Make every reading due."""
        for timer in (self._lists, self._loads, self._caches):
            timer.start(now_s)

    def next_wakeup_s(self) -> float | None:
        """Tell when the next reading is due."""
        timers = (self._lists, self._loads, self._caches)
        due = (timer.due_s for timer in timers)
        return min((due_s for due_s in due if due_s is not None), default=None)

    def due(self, now_s: float) -> list[Output]:
        """Ask for the readings that are due now."""
        outputs: list[Output] = []
        if self._lists.rings(now_s):
            outputs.append(ListTargets())
        if self._loads.rings(now_s):
            outputs.extend(self._poll_loads())
        if self._caches.rings(now_s):
            outputs.extend(self._poll_caches())
        return outputs

    def _poll_loads(self) -> list[Output]:
        return [
            PollLoad(state.target.target_id, state.target.address)
            for state in self._watched()
        ]

    def _poll_caches(self) -> list[Output]:
        return [
            PollCacheEvents(
                state.target.target_id,
                state.target.address,
                state.prefixes.sequence,
            )
            for state in self._watched()
            if state.target.kind is TargetKind.ENGINE
        ]

    def _watched(self) -> list[TargetState]:
        near = self._table.in_domain()
        names = watched(
            self._settings,
            self._instance_id,
            self._peers.live_in_domain,
            [state.target for state in near],
        )
        return [state for state in near if state.target.target_id in names]
