"""The turns of plain calls that wait here while all targets are full."""

from collections.abc import Collection, Sequence

import attrs

from dandelionyoke_core import CountMetric
from dandelionyoke_dispatch import (
    DEFAULT_RETRY_AFTER_S,
    Cause,
    ExpectedTimeChoice,
    PlainChoiceSettings,
    RegisteredTarget,
    RetrySpreadSettings,
    WaitingCall,
    spread_retry_s,
)
from dandelionyoke_gateway._call_context import CallContext
from dandelionyoke_gateway._call_dispatcher import CallDependencies
from dandelionyoke_gateway._clock import clock_s
from dandelionyoke_gateway._plain_turns import LogInputs, NoRoomError
from dandelionyoke_gateway._ports import ResponseFacts

# How soon a waiting call looks again at what fades with time, and at its own
# deadline; those behind it look less often.
RECHECK_S = 0.05
MAX_RECHECK_S = 0.25
MAX_LOGGED_TARGETS = 8
# Refusals for load; the caller returns when its turn is expected.
LOAD_CAUSES = frozenset((Cause.NO_ROOM, Cause.NO_RETRY))


class QueuedTurns:
    """Lets a call wait here while all targets are believed full."""

    is_queued = True

    def __init__(self, deps: CallDependencies, context: CallContext) -> None:
        self._deps = deps
        self._context = context
        self._service = context.service.name
        self._knowledge = deps.knowledge
        self._loads = deps.knowledge.plain_loads
        self._queue = deps.knowledge.plain_queue(self._service)
        self._choice = ExpectedTimeChoice(
            PlainChoiceSettings(),
            self._loads,
            deps.knowledge.settings.domain,
            deps.knowledge.random,
        )
        self.has_waited = False
        self.log_inputs: LogInputs = {}

    def take(self) -> RegisteredTarget | None:
        """Wait for a target with room; None if no target may get the call.

        Raises:
            NoRoomError: its turn would come too late.
        """
        context = self._context
        call = self._queue.enter(
            context.organisation_name or '',
            context.priority,
            context.tried.ids,
            self._in_time_until_s,
        )
        try:
            return self._await_target(call)
        finally:
            self._leave(call)

    def ended(self) -> None:
        """Let a waiting call have the place of this one."""
        self._admit()

    def answered(self, target: RegisteredTarget, elapsed_s: float) -> None:
        """Take note of the time of an answered call."""
        self._loads.answered(target, elapsed_s, clock_s())

    def refused(self, target: RegisteredTarget, facts: ResponseFacts) -> bool:
        """Send no call to a full target until its queue is worked off."""
        load = facts.load
        is_full = (
            load is not None
            and load.busy >= load.slots
            and not facts.is_misdirected
            and not facts.rest_s
        )
        if is_full and load is not None:
            self._loads.refused(target, load, clock_s())
            # A second refusal of one target could not be told from the first.
            if self._context.route.is_repeatable or not self._targets():
                self._context.tried.ids.discard(target.target_id)
        return is_full

    def retry_after_s(self, cause: Cause) -> float:
        """Return when the turn of the caller is expected, spread."""
        now_s, context = clock_s(), self._context
        forecast_s = DEFAULT_RETRY_AFTER_S
        targets = self._targets()
        if targets and cause in LOAD_CAUSES:
            forecast_s = self._forecast_s(targets, len(self._queue))
        caller_left_s = context.own_deadline_s - now_s
        if context.call.time_left_s is not None:
            deadline_s = context.request.arrived_s + context.call.time_left_s
            caller_left_s = deadline_s - now_s
        self._deps.log.count(
            CountMetric('plain.refused', label=cause.name.lower())
        )
        return spread_retry_s(
            RetrySpreadSettings(),
            forecast_s,
            caller_left_s,
            self._knowledge.random,
        )

    def _await_target(self, call: WaitingCall) -> RegisteredTarget | None:
        self._admit()
        if not self._is_over(call):
            self._wait(call)
        target = self._queue.assigned(call)
        if target is not None:
            self._record_turn(target)
        return target

    def _admit(self) -> None:
        """Give the targets with room to the calls that are next."""
        for call in self._queue.in_order(clock_s()):
            with_room = self._with_room()
            if not with_room:
                return
            open_targets = [
                target
                for target in self._usable(call.avoid)
                if target.target_id in with_room
            ]
            if open_targets:
                self._assign(call, open_targets)

    def _assign(
        self, call: WaitingCall, targets: Sequence[RegisteredTarget]
    ) -> None:
        target = self._choice.choose(targets, clock_s())
        # Counted until the call leaves, so that the next one sees it there.
        self._knowledge.loads.call_started(target.target_id)
        self._queue.assign(call, target)
        self._knowledge.waiters.admit(call.ticket_id)

    def _leave(self, call: WaitingCall) -> None:
        target = self._queue.assigned(call)
        self._queue.leave(call)
        if target is not None:
            self._knowledge.loads.call_ended(target.target_id)

    def _wait(self, call: WaitingCall) -> None:
        """Wait until a call has a target, or until no target may get it.

        Raises:
            NoRoomError: its turn would come too late.
        """
        wait = _Wait(clock_s(), self._queue.count_ahead(call, clock_s()))
        forecast_s = self._forecast_s(self._targets(), wait.ahead)
        if self._queue.is_full or not self._is_in_time(forecast_s):
            self._log_wait(wait, 'refused at arrival', forecast_s)
            raise NoRoomError
        self.has_waited = True
        try:
            self._wait_for_target(call)
        except NoRoomError:
            self._log_wait(wait, 'refused', forecast_s)
            raise
        self._log_wait(wait, 'ended', forecast_s)

    def _wait_for_target(self, call: WaitingCall) -> None:
        while not self._is_over(call):
            if not self._is_in_time(0):
                raise NoRoomError
            recheck_s = RECHECK_S * (
                1 + self._queue.count_ahead(call, clock_s())
            )
            self._knowledge.waiters.wait(
                call.ticket_id, clock_s() + min(MAX_RECHECK_S, recheck_s)
            )
            if self._queue.assigned(call) is None:
                self._admit()

    def _is_over(self, call: WaitingCall) -> bool:
        """Whether a call has a target, or need not wait for any here."""
        if self._queue.assigned(call) is not None:
            return True
        handover, context = self._deps.handover, self._context
        return (
            handover.is_needed(context)
            or handover.cannot_be_served(context)
            or not self._targets()
        )

    def _is_in_time(self, wait_s: float) -> bool:
        """Whether a call that is sent after a wait can be answered in time."""
        now_s = clock_s()
        run_s = min(
            self._loads.run_s(target, now_s) for target in self._targets()
        )
        return now_s + wait_s + run_s < self._context.deadline_s

    def _forecast_s(
        self, targets: Sequence[RegisteredTarget], ahead: int
    ) -> float:
        """Return the time until the turn of a call behind others."""
        now_s = clock_s()
        turn_s = self._loads.turn_s(targets, self._knowledge.node_count, now_s)
        full_s = min(self._loads.full_s(target, now_s) for target in targets)
        return full_s + (ahead + 1) * turn_s

    @property
    def _in_time_until_s(self) -> float:
        """When the call must be sent to meet its goal."""
        context = self._context
        goal_s = context.request.arrived_s + context.route.goal_s
        return goal_s - self._loads.usual_s(self._service)

    def _targets(self) -> list[RegisteredTarget]:
        """Return the targets that may get the call, full or not."""
        return self._usable(self._context.tried.ids)

    def _usable(self, avoid: Collection[str]) -> list[RegisteredTarget]:
        return self._knowledge.placement.plain_targets(
            self._service, avoid, clock_s()
        )

    def _with_room(self) -> frozenset[str]:
        """Return the targets with room for any call."""
        with_room = self._loads.with_room(
            self._knowledge.registry.of_service(self._service),
            self._knowledge.node_count,
            clock_s(),
        )
        return frozenset(target.target_id for target in with_room)

    def _record_turn(self, target: RegisteredTarget) -> None:
        loads, log, now_s = self._loads, self._deps.log, clock_s()
        self.log_inputs = {'believed': loads.describe([target], now_s)}
        believed = loads.believed(target.target_id, now_s)
        log.count(CountMetric('plain.sent', label=target.target_id))
        log.count(
            CountMetric('plain.believed', round(believed), target.target_id)
        )

    def _log_wait(self, wait: '_Wait', outcome: str, forecast_s: float) -> None:
        now_s, targets = clock_s(), self._targets()[:MAX_LOGGED_TARGETS]
        self._deps.log.observe('plain.wait', now_s - wait.since_s)
        self._deps.log.decide(
            'plain.queued',
            self._context.call.attempt_id,
            outcome=outcome,
            service=self._service,
            organisation=self._context.organisation_name,
            priority=self._context.priority,
            ahead=wait.ahead,
            forecast_s=forecast_s,
            waited_s=now_s - wait.since_s,
            left_s=self._context.deadline_s - now_s,
            usual_s=self._loads.usual_s(self._service),
            nodes=self._knowledge.node_count,
            believed=self._loads.describe(targets, now_s),
        )


@attrs.frozen
class _Wait:
    """When a call began to wait, and behind how many others."""

    since_s: float
    ahead: int
