"""Which target a call goes to, and what is known of the targets."""

from collections.abc import Sequence
from random import Random
from typing import ClassVar

from dandelionyoke_core._capacity import ServiceCapacity
from dandelionyoke_core._events import (
    CacheEventsReported,
    Event,
    ListingFailed,
    LoadReported,
    Started,
    TargetsListed,
    TargetUnreachable,
    Woken,
)
from dandelionyoke_core._load_estimate import estimate
from dandelionyoke_core._names import (
    AttemptId,
    Domain,
    InstanceId,
    ServiceName,
    TargetId,
)
from dandelionyoke_core._notices import RecordLearned, TargetLeaving
from dandelionyoke_core._poll_schedule import PollSchedule
from dandelionyoke_core._ports import (
    Directory,
    NoRoute,
    Output,
    Peers,
    RouteNeed,
)
from dandelionyoke_core._records import Target, TargetKind
from dandelionyoke_core._rendezvous import rendezvous
from dandelionyoke_core._routing_settings import RoutingSettings
from dandelionyoke_core._target_state import TargetState
from dandelionyoke_core._target_table import TargetTable


class RoutingPart:
    """Observes the targets and chooses one for each attempt."""

    handles: ClassVar[tuple[type[Event], ...]] = (
        Started,
        Woken,
        TargetsListed,
        ListingFailed,
        LoadReported,
        TargetUnreachable,
        CacheEventsReported,
        TargetLeaving,
        RecordLearned,
    )

    def __init__(
        self,
        settings: RoutingSettings,
        directory: Directory,
        peers: Peers,
        domain: Domain,
        instance_id: InstanceId,
        random: Random,
    ) -> None:
        self._settings = settings
        self._directory = directory
        self._domain = domain
        self._random = random
        self._table = TargetTable(settings, peers, domain, instance_id)
        self._schedule = PollSchedule(
            settings, peers, instance_id, self._table, random
        )

    def handle(self, event: Event, now_s: float) -> list[Output]:
        """Take an event and say what follows from it."""
        if isinstance(event, Started):
            self._schedule.start(now_s)
        if isinstance(event, Started | Woken):
            return self._schedule.due(now_s)
        return self._table.learn(event, now_s)

    def next_wakeup_s(self) -> float | None:
        """Tell when the next reading is due."""
        return self._schedule.next_wakeup_s()

    # The Router port.

    def choose(self, need: RouteNeed, now_s: float) -> Target | NoRoute:
        """Choose a target for an attempt."""
        usable = [
            state
            for state in self._table.of_service(need.service)
            if state.usable(now_s) and _fits(state, need)
        ]
        if not usable:
            return NoRoute('no usable target', self._settings.retry_after_s)
        compared = self._compared(need, usable)
        best = min(compared, key=lambda state: self._cost(state, need))
        return best.target

    def find(self, target_id: TargetId) -> Target | None:
        """Look a target up; None when it is gone."""
        state = self._table.find(target_id)
        return None if state is None else state.target

    def dispatched(
        self,
        attempt_id: AttemptId,
        target_id: TargetId,
        need: RouteNeed,
        now_s: float,
    ) -> None:
        """Count an attempt as in progress at a target."""
        self._table.dispatched(attempt_id, target_id, need, now_s)

    def progressed(
        self, attempt_id: AttemptId, output_tokens: int, now_s: float
    ) -> None:
        """Count output of an attempt (the total so far)."""
        self._table.progressed(attempt_id, output_tokens)

    def ended(
        self, attempt_id: AttemptId, now_s: float, failed: bool = False
    ) -> None:
        """Stop counting an attempt."""
        self._table.ended(attempt_id, now_s)

    # The CapacityView port.

    def capacity(self, service: ServiceName, now_s: float) -> ServiceCapacity:
        """Add up the usable targets of a service."""
        usable = [
            state
            for state in self._table.of_service(service)
            if state.usable(now_s)
        ]
        speed = self._settings.speed
        return ServiceCapacity(
            targets=len(usable),
            slots=sum(self._slots(state) for state in usable),
            blocks=sum(state.report.kv_total_blocks for state in usable),
            prefill_tokens_per_s=sum(
                speed.prefill_rate(state.report.role) for state in usable
            ),
        )

    def _slots(self, state: TargetState) -> int:
        if state.target.kind is TargetKind.PLAIN:
            return self._settings.plain_slots
        return self._settings.speed.max_calls

    # Choosing.

    def _compared(
        self, need: RouteNeed, usable: Sequence[TargetState]
    ) -> list[TargetState]:
        by_id = {state.target.target_id: state for state in usable}
        near = [
            target_id
            for target_id, state in by_id.items()
            if state.target.domain == self._domain
        ]
        ids = near or list(by_id)
        chosen = self._random.sample(ids, min(self._settings.sample, len(ids)))
        if len(near) < len(by_id):
            chosen.append(self._random.choice(list(by_id)))
        if need.blocks:
            head = need.blocks[: self._settings.affinity_blocks][-1]
            chosen.extend(rendezvous(ids, head, 1))
        if need.prefer in by_id and need.prefer is not None:
            chosen.append(need.prefer)
        return [by_id[target_id] for target_id in chosen]

    def _cost(self, state: TargetState, need: RouteNeed) -> float:
        cached = state.prefixes.overlap(need.blocks)
        if need.prefer == state.target.target_id:
            cached = max(cached, len(need.blocks))
        found = estimate(
            need, state.report, state.correction(), cached, self._settings.speed
        )
        cost = found.total_s
        cost += found.short_blocks * self._settings.short_block_penalty_s
        if state.target.domain != self._domain:
            cost += self._settings.far_penalty_s
        return cost


def _fits(state: TargetState, need: RouteNeed) -> bool:
    if state.target.target_id in need.avoid:
        return False
    if need.steady and state.target.reclaimable:
        return False
    models = state.report.models
    return not need.model or not models or need.model in models
