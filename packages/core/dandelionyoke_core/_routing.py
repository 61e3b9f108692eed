"""Routing: observation of the targets and choice of a target."""

from random import Random
from typing import ClassVar

from dandelionyoke_core._capacity import CallForecast, ServiceCapacity
from dandelionyoke_core._events import (
    CacheEventsReported,
    Event,
    ListingFailed,
    LoadReported,
    Started,
    TargetsListed,
    TargetUnreachable,
    TimerFired,
)
from dandelionyoke_core._fleet_view import TargetStatus
from dandelionyoke_core._load_estimate import WorkSize
from dandelionyoke_core._names import (
    AttemptId,
    Domain,
    InstanceId,
    ServiceName,
    TargetId,
)
from dandelionyoke_core._notices import RecordReceived, TargetLeaving
from dandelionyoke_core._output_estimate import OutputEstimate
from dandelionyoke_core._poll_schedule import PollSchedule
from dandelionyoke_core._ports import (
    ConfigurationView,
    NoRoute,
    Output,
    Peers,
    RouteRequirements,
)
from dandelionyoke_core._reclaimable_budget import ReclaimableBudget
from dandelionyoke_core._records import Role, Target
from dandelionyoke_core._reuse_estimate import ReuseEstimate
from dandelionyoke_core._routing_settings import RoutingSettings
from dandelionyoke_core._target_choice import TargetChooser
from dandelionyoke_core._target_state import NEVER_S, SentAttempt, TargetState
from dandelionyoke_core._target_table import TargetTable
from dandelionyoke_core._uncached_shares import UncachedShares


class RoutingPart:
    """Track the state of the targets and choose one for each attempt."""

    handles: ClassVar[tuple[type[Event], ...]] = (
        Started,
        TimerFired,
        TargetsListed,
        ListingFailed,
        LoadReported,
        TargetUnreachable,
        CacheEventsReported,
        TargetLeaving,
        RecordReceived,
    )

    def __init__(
        self,
        settings: RoutingSettings,
        configuration_view: ConfigurationView,
        peers: Peers,
        domain: Domain,
        instance_id: InstanceId,
        random: Random,
    ) -> None:
        self._settings = settings
        self._configuration_view = configuration_view
        self._table = TargetTable(settings)
        self._uncached_shares = UncachedShares()
        self._reuse_estimate = ReuseEstimate()
        self._chooser = TargetChooser(
            settings, domain, self._reuse_estimate, random
        )
        self._poll_schedule = PollSchedule(
            settings, peers, domain, instance_id, self._table, random
        )
        self._output_estimates: dict[ServiceName, OutputEstimate] = {}
        self._reclaimable_budgets: dict[ServiceName, ReclaimableBudget] = {}

    def handle(self, event: Event, now_s: float) -> list[Output]:
        """Handle an event and return the resulting outputs."""
        if isinstance(event, Started):
            self._poll_schedule.start(now_s, event.wall_s)
        if isinstance(event, Started | TimerFired):
            return self._poll_schedule.take_due(now_s)
        return self._table.learn(event, now_s)

    def next_wakeup_s(self) -> float | None:
        """Return when the next poll is due."""
        return self._poll_schedule.next_wakeup_s()

    # Router protocol.

    def choose(
        self, requirements: RouteRequirements, now_s: float
    ) -> Target | NoRoute:
        """Choose a target for an attempt."""
        self._poll_schedule.record_request(requirements.service, now_s)
        usable = self._usable(requirements.service, now_s)
        eligible = {
            target_id: state
            for target_id, state in usable.items()
            if _is_eligible(state, requirements)
        }
        allowed = self._apply_reclaimable_budget(requirements, eligible, now_s)
        if not allowed:
            return self._no_route(requirements)
        size = self._work_size(requirements)
        return self._chooser.best(requirements, size, allowed, now_s).target

    def find(self, target_id: TargetId) -> Target | None:
        """Return a target, or None if it no longer exists."""
        state = self._table.find(target_id)
        return None if state is None else state.target

    def dispatched(
        self,
        attempt_id: AttemptId,
        target_id: TargetId,
        requirements: RouteRequirements,
        now_s: float,
    ) -> None:
        """Record an attempt as in flight at a target."""
        state = self._table.find(target_id)
        if state is None:
            return
        cached_blocks = state.prefixes.overlap(requirements.blocks)
        size = self._work_size(requirements)
        sent = SentAttempt(
            requirements, now_s, cached_blocks, size.reserved_tokens
        )
        self._table.dispatched(attempt_id, target_id, sent)
        self._uncached_shares.learn(sent, state.report.block_tokens)
        self._reuse_estimate.learn(requirements)
        self._reclaimable_budget(requirements.service).add(
            self._engine_s(size), now_s, reclaimable=state.target.reclaimable
        )

    def progressed(
        self, attempt_id: AttemptId, output_tokens: int, now_s: float
    ) -> None:
        """Record the total output of an attempt so far."""
        self._table.progressed(attempt_id, output_tokens, now_s)

    def ended(
        self, attempt_id: AttemptId, now_s: float, failed: bool = False
    ) -> None:
        """Record the end of an attempt."""
        sent = self._table.ended(attempt_id, now_s)
        if sent is not None and not failed:
            self._output_estimate(sent.requirements.service).learn(
                sent.output_tokens, sent.requirements.max_output_tokens
            )

    # CapacityView protocol.

    def capacity(self, service: ServiceName, now_s: float) -> ServiceCapacity:
        """Sum the capacity of the usable targets of a service.

        While there are none, those that may go on after a silence count.
        """
        usable = self._usable_or_silent(service, now_s).values()
        slots = sum(self._slots(state) for state in usable)
        return ServiceCapacity(len(usable), slots)

    def forecast(
        self, service: ServiceName, size: WorkSize, now_s: float
    ) -> CallForecast | None:
        """Estimate a call at the best of a sample of targets.

        Returns None while no target is usable, or may go on after a silence.
        """
        usable = self._usable_or_silent(service, now_s)
        if not usable:
            return None
        estimate, state = self._chooser.forecast(size, usable, now_s)
        can_start = (
            estimate.queue_s <= self._settings.max_queue_s
            and estimate.token_s <= self._settings.max_token_s
            and estimate.missing_blocks <= 0
            and state.load().calls < self._slots(state)
        )
        return CallForecast(
            can_start,
            estimate.first_token_s,
            estimate.total_s,
            estimate.total_s - estimate.queue_s,
        )

    # TargetView protocol.

    def target_statuses(
        self, service: ServiceName, now_s: float
    ) -> tuple[TargetStatus, ...]:
        """Return the state of the targets of a service in all domains."""
        return tuple(
            TargetStatus(
                state.target,
                state.report.role,
                state.load().calls,
                state.usable(now_s),
                state.last_response_s > NEVER_S and not state.failures,
            )
            for state in self._table.of_service(service).values()
            if state.listed
        )

    def uncached_share(self, service: ServiceName) -> float:
        """Return the share of prompt tokens that is not cached."""
        return self._uncached_shares.share(service)

    # Usable targets and the expected size of a call.

    def _usable(
        self, service: ServiceName, now_s: float
    ) -> dict[TargetId, TargetState]:
        return {
            target_id: state
            for target_id, state in self._table.of_service(service).items()
            if state.usable(now_s)
        }

    def _usable_or_silent(
        self, service: ServiceName, now_s: float
    ) -> dict[TargetId, TargetState]:
        return self._usable(service, now_s) or self._silent(service)

    def _silent(self, service: ServiceName) -> dict[TargetId, TargetState]:
        return {
            target_id: state
            for target_id, state in self._table.of_service(service).items()
            if state.may_go_on()
        }

    def _no_route(self, requirements: RouteRequirements) -> NoRoute:
        is_silent = any(
            _is_eligible(state, requirements)
            for state in self._silent(requirements.service).values()
        )
        cause = 'silent targets' if is_silent else 'no usable target'
        return NoRoute(cause, self._settings.retry_after_s, is_silent)

    def _apply_reclaimable_budget(
        self,
        requirements: RouteRequirements,
        usable: dict[TargetId, TargetState],
        now_s: float,
    ) -> dict[TargetId, TargetState]:
        on_demand = {
            target_id: state
            for target_id, state in usable.items()
            if not state.target.reclaimable
        }
        if requirements.on_demand_only:
            return on_demand
        service = self._configuration_view.snapshot.services.get(
            requirements.service
        )
        share = 0 if service is None else service.reclaimable_share
        engine_s = self._engine_s(self._work_size(requirements))
        if self._reclaimable_budget(requirements.service).allows(
            engine_s, share, now_s
        ):
            return usable
        # Without an on-demand target, a spot target that may be reclaimed is
        # better for the caller than a refusal.
        return on_demand or usable

    def _work_size(self, requirements: RouteRequirements) -> WorkSize:
        output = self._output_estimate(requirements.service)
        return WorkSize(
            requirements.prompt_tokens,
            output.mean_tokens(requirements.max_output_tokens),
            output.upper_tokens(requirements.max_output_tokens),
        )

    def _engine_s(self, size: WorkSize) -> float:
        return self._settings.speed.engine_s(
            size.prompt_tokens, size.output_tokens, Role.MIXED
        )

    def _output_estimate(self, service: ServiceName) -> OutputEstimate:
        return self._output_estimates.setdefault(service, OutputEstimate())

    def _reclaimable_budget(self, service: ServiceName) -> ReclaimableBudget:
        return self._reclaimable_budgets.setdefault(
            service, ReclaimableBudget()
        )

    def _slots(self, state: TargetState) -> int:
        if state.is_engine:
            return self._settings.speed.max_calls
        return self._settings.plain_slots


def _is_eligible(state: TargetState, requirements: RouteRequirements) -> bool:
    if state.target.target_id in requirements.excluded_targets:
        return False
    models = state.report.models
    return not requirements.model or not models or requirements.model in models
