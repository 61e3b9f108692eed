"""Which target a call goes to, and what is known of the targets."""

from random import Random
from typing import ClassVar

from dandelionyoke_core._capacity import Outlook, ServiceCapacity
from dandelionyoke_core._choice import Chooser
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
from dandelionyoke_core._fleet_view import TargetSight
from dandelionyoke_core._fresh_shares import FreshShares
from dandelionyoke_core._load_estimate import WorkSize
from dandelionyoke_core._names import (
    AttemptId,
    Domain,
    InstanceId,
    ServiceName,
    TargetId,
)
from dandelionyoke_core._notices import RecordLearned, TargetLeaving
from dandelionyoke_core._output_estimate import OutputEstimate
from dandelionyoke_core._poll_schedule import PollSchedule
from dandelionyoke_core._ports import (
    Directory,
    NoRoute,
    Output,
    Peers,
    RouteNeed,
)
from dandelionyoke_core._reclaimable_budget import ReclaimableBudget
from dandelionyoke_core._records import Role, Target
from dandelionyoke_core._reuse_estimate import ReuseEstimate
from dandelionyoke_core._routing_settings import RoutingSettings
from dandelionyoke_core._target_state import NEVER_S, Sent, TargetState
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
        self._table = TargetTable(settings)
        self._fresh = FreshShares()
        self._reuse = ReuseEstimate()
        self._chooser = Chooser(settings, domain, self._reuse, random)
        self._schedule = PollSchedule(
            settings, peers, domain, instance_id, self._table, random
        )
        self._outputs: dict[ServiceName, OutputEstimate] = {}
        self._budgets: dict[ServiceName, ReclaimableBudget] = {}

    def handle(self, event: Event, now_s: float) -> list[Output]:
        """Take an event and say what follows from it."""
        if isinstance(event, Started):
            self._schedule.start(now_s, event.wall_s)
        if isinstance(event, Started | Woken):
            return self._schedule.due(now_s)
        return self._table.learn(event, now_s)

    def next_wakeup_s(self) -> float | None:
        """Tell when the next reading is due."""
        return self._schedule.next_wakeup_s()

    # The Router port.

    def choose(self, need: RouteNeed, now_s: float) -> Target | NoRoute:
        """Choose a target for an attempt."""
        self._schedule.need(need.service, now_s)
        usable = self._usable(need.service, now_s)
        fitting = {
            target_id: state
            for target_id, state in usable.items()
            if _fits(state, need)
        }
        allowed = self._without_reclaimable(need, fitting, now_s)
        if not allowed:
            return NoRoute('no usable target', self._settings.retry_after_s)
        size = self._size(need)
        return self._chooser.best(need, size, allowed, now_s).target

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
        state = self._table.find(target_id)
        if state is None:
            return
        cached_blocks = state.prefixes.overlap(need.blocks)
        size = self._size(need)
        sent = Sent(need, now_s, cached_blocks, size.reserved_tokens)
        self._table.dispatched(attempt_id, target_id, sent)
        self._fresh.learn(sent, state.report.block_tokens)
        self._reuse.learn(need)
        self._budget(need.service).add(
            self._engine_s(size), now_s, reclaimable=state.target.reclaimable
        )

    def progressed(
        self, attempt_id: AttemptId, output_tokens: int, now_s: float
    ) -> None:
        """Count output of an attempt (the total so far)."""
        self._table.progressed(attempt_id, output_tokens, now_s)

    def ended(
        self, attempt_id: AttemptId, now_s: float, failed: bool = False
    ) -> None:
        """Stop counting an attempt."""
        sent = self._table.ended(attempt_id, now_s)
        if sent is not None and not failed:
            self._output(sent.need.service).learn(
                sent.output_tokens, sent.need.max_output_tokens
            )

    # The CapacityView port.

    def capacity(self, service: ServiceName, now_s: float) -> ServiceCapacity:
        """Add up the usable targets of a service."""
        usable = self._usable(service, now_s).values()
        slots = sum(self._slots(state) for state in usable)
        return ServiceCapacity(len(usable), slots)

    def outlook(
        self, service: ServiceName, size: WorkSize, now_s: float
    ) -> Outlook | None:
        """Look at the best of a few targets; None while none is usable."""
        usable = self._usable(service, now_s)
        if not usable:
            return None
        found, state = self._chooser.outlook(size, usable, now_s)
        has_room = (
            found.queue_s <= self._settings.start_within_s
            and found.token_s <= self._settings.max_token_s
            and found.short_blocks <= 0
            and state.load().calls < self._slots(state)
        )
        return Outlook(
            has_room,
            found.first_token_s,
            found.total_s,
            found.total_s - found.queue_s,
        )

    # The TargetView port.

    def sights(
        self, service: ServiceName, now_s: float
    ) -> tuple[TargetSight, ...]:
        """Show the targets of a service, everywhere."""
        return tuple(
            TargetSight(
                state.target,
                state.report.role,
                state.load().calls,
                state.usable(now_s),
                state.heard_s > NEVER_S and not state.failures,
            )
            for state in self._table.of_service(service).values()
            if state.listed
        )

    def fresh_share(self, service: ServiceName) -> float:
        """Tell which part of the prompts is not found in caches."""
        return self._fresh.share(service)

    # What a call takes.

    def _usable(
        self, service: ServiceName, now_s: float
    ) -> dict[TargetId, TargetState]:
        return {
            target_id: state
            for target_id, state in self._table.of_service(service).items()
            if state.usable(now_s)
        }

    def _without_reclaimable(
        self,
        need: RouteNeed,
        usable: dict[TargetId, TargetState],
        now_s: float,
    ) -> dict[TargetId, TargetState]:
        steady = {
            target_id: state
            for target_id, state in usable.items()
            if not state.target.reclaimable
        }
        if need.steady:
            return steady
        service = self._directory.snapshot.services.get(need.service)
        share = 0 if service is None else service.reclaimable_share
        engine_s = self._engine_s(self._size(need))
        if self._budget(need.service).allows(engine_s, share, now_s):
            return usable
        # With no steady target left, refusing would serve the caller worse
        # than a target that may vanish.
        return steady or usable

    def _size(self, need: RouteNeed) -> WorkSize:
        output = self._output(need.service)
        return WorkSize(
            need.prompt_tokens,
            output.mean_tokens(need.max_output_tokens),
            output.high_tokens(need.max_output_tokens),
        )

    def _engine_s(self, size: WorkSize) -> float:
        return self._settings.speed.engine_s(
            size.prompt_tokens, size.output_tokens, Role.MIXED
        )

    def _output(self, service: ServiceName) -> OutputEstimate:
        return self._outputs.setdefault(service, OutputEstimate())

    def _budget(self, service: ServiceName) -> ReclaimableBudget:
        return self._budgets.setdefault(service, ReclaimableBudget())

    def _slots(self, state: TargetState) -> int:
        if state.is_engine:
            return self._settings.speed.max_calls
        return self._settings.plain_slots


def _fits(state: TargetState, need: RouteNeed) -> bool:
    if state.target.target_id in need.avoid:
        return False
    models = state.report.models
    return not need.model or not models or need.model in models
