"""A minimal call path of a node: admission, routing and attempts."""

from typing import ClassVar

import attrs

from dandelionyoke_core import (
    Action,
    Admitted,
    Admitter,
    AttemptEnded,
    AttemptFailed,
    AttemptId,
    AttemptRefused,
    CallAdmitted,
    CallerDisconnected,
    CallRejected,
    CancelAttempt,
    Event,
    NoRoute,
    Output,
    Queued,
    RequestId,
    Router,
    RouteRequirements,
    Target,
    TargetId,
    Ticket,
    TimerFired,
    TokensArrived,
)
from dandelionyoke_standins._policy_ledger import Ending, Ledger
from dandelionyoke_standins._policy_workload import Call

MAX_ATTEMPT_FAILURES = 5
ROUTE_RETRY_DELAY_S = 0.25


@attrs.frozen
class CallArrived(Event):
    """Arrival of a call at this node."""

    call: Call


@attrs.frozen
class StartEngineAttempt(Action):
    """Request to start an attempt at a target for the missing output.

    `generated_tokens` is the output of earlier attempts.
    """

    attempt_id: AttemptId
    target: Target
    call: Call
    generated_tokens: int


@attrs.define
class CallState:
    """The progress of a call and its current attempt."""

    call: Call
    generated_tokens: int = 0
    attempts: int = 0
    failures: int = 0
    attempt_id: AttemptId | None = None
    target: Target | None = None
    excluded_targets: frozenset[TargetId] = frozenset()


class CallPart:
    """Node part that admits and routes calls, and records their outcomes."""

    handles: ClassVar[tuple[type[Event], ...]] = (
        CallArrived,
        CallAdmitted,
        CallRejected,
        CallerDisconnected,
        TokensArrived,
        AttemptEnded,
        AttemptRefused,
        AttemptFailed,
        TimerFired,
    )

    def __init__(
        self, admitter: Admitter, router: Router, ledger: Ledger
    ) -> None:
        self._admitter = admitter
        self._router = router
        self._ledger = ledger
        self._states: dict[RequestId, CallState] = {}
        self._retry_times_s: dict[RequestId, float] = {}

    def handle(self, event: Event, now_s: float) -> list[Output]:
        """Handle an event and return the outputs."""
        match event:
            case CallArrived(call=call):
                return self._admit(call, now_s)
            case TimerFired():
                return self._retry_unrouted(now_s)
            case CallRejected(request_id=request_id):
                self._states.pop(request_id)
                self._ledger.record_end(request_id, Ending.REFUSED, now_s)
                return []
        return self._handle_call_event(event, now_s)

    def next_wakeup_s(self) -> float | None:
        """Return when the next call without a route is retried."""
        return min(self._retry_times_s.values(), default=None)

    def _handle_call_event(self, event: Event, now_s: float) -> list[Output]:
        state = self._states.get(getattr(event, 'request_id', RequestId('')))
        if state is None:
            return []
        match event:
            case CallAdmitted():
                return self._dispatch(state, now_s)
            case CallerDisconnected():
                return self._abandon(state, now_s)
        if getattr(event, 'attempt_id', None) != state.attempt_id:
            return []
        return self._handle_attempt_event(state, event, now_s)

    def _handle_attempt_event(
        self, state: CallState, event: Event, now_s: float
    ) -> list[Output]:
        match event:
            case TokensArrived(attempt_id=attempt_id, offset=offset):
                state.generated_tokens = offset
                self._router.progressed(attempt_id, offset, now_s)
            case AttemptEnded():
                self._complete(state, event.attempt_id, now_s)
            case AttemptRefused() | AttemptFailed():
                return self._retry_attempt(state, event, now_s)
        return []

    def _admit(self, call: Call, now_s: float) -> list[Output]:
        ticket = Ticket(
            call.request_id,
            call.customer.organisation,
            call.call_class.service,
            call.prompt_tokens,
            call.max_output_tokens,
            now_s,
            call.deadline_s,
        )
        state = CallState(call)
        decision = self._admitter.offer(ticket, now_s)
        if isinstance(decision, Admitted | Queued):
            self._states[call.request_id] = state
        if isinstance(decision, Admitted):
            return self._dispatch(state, now_s)
        if not isinstance(decision, Queued):
            self._ledger.record_end(call.request_id, Ending.REFUSED, now_s)
        return []

    def _dispatch(self, state: CallState, now_s: float) -> list[Output]:
        call = state.call
        self._retry_times_s.pop(call.request_id, None)
        requirements = RouteRequirements(
            call.customer.organisation.organisation_id,
            call.call_class.service,
            blocks=call.shared_blocks,
            prompt_tokens=call.prompt_tokens + state.generated_tokens,
            max_output_tokens=call.max_output_tokens - state.generated_tokens,
            on_demand_only=call.call_class.requires_on_demand,
            excluded_targets=state.excluded_targets,
            deadline_s=call.deadline_s,
        )
        target = self._router.choose(requirements, now_s)
        if isinstance(target, NoRoute):
            state.excluded_targets = frozenset()
            self._retry_times_s[call.request_id] = now_s + ROUTE_RETRY_DELAY_S
            return []
        state.attempts += 1
        attempt_id = AttemptId(f'{call.request_id}/{state.attempts}')
        state.attempt_id = attempt_id
        state.target = target
        self._router.dispatched(
            attempt_id, target.target_id, requirements, now_s
        )
        self._ledger.record_dispatch(call.request_id, target)
        return [
            StartEngineAttempt(attempt_id, target, call, state.generated_tokens)
        ]

    def _retry_attempt(
        self, state: CallState, event: Event, now_s: float
    ) -> list[Output]:
        self._end_attempt(state, now_s, failed=True)
        state.failures += isinstance(event, AttemptFailed)
        if state.failures >= MAX_ATTEMPT_FAILURES:
            self._states.pop(state.call.request_id)
            self._admitter.finish(
                state.call.request_id, 0, state.generated_tokens, now_s
            )
            self._ledger.record_end(state.call.request_id, Ending.CUT, now_s)
            return []
        return self._dispatch(state, now_s)

    def _complete(
        self, state: CallState, attempt_id: AttemptId, now_s: float
    ) -> None:
        call = state.call
        self._end_attempt(state, now_s, failed=False)
        self._states.pop(call.request_id)
        self._admitter.finish(
            call.request_id, call.prompt_tokens, call.output_tokens, now_s
        )
        self._ledger.record_end(call.request_id, Ending.WHOLE, now_s)

    def _abandon(self, state: CallState, now_s: float) -> list[Output]:
        call = state.call
        self._states.pop(call.request_id)
        self._retry_times_s.pop(call.request_id, None)
        if state.attempt_id is None:
            self._admitter.withdraw(call.request_id, now_s)
            self._ledger.record_end(call.request_id, Ending.LATE, now_s)
            return []
        attempt_id, target = state.attempt_id, state.target
        self._end_attempt(state, now_s, failed=False)
        self._admitter.finish(
            call.request_id, call.prompt_tokens, state.generated_tokens, now_s
        )
        self._ledger.record_end(call.request_id, Ending.LATE, now_s)
        if target is None:
            return []
        return [
            CancelAttempt(
                call.request_id, attempt_id, target.target_id, target.address
            )
        ]

    def _end_attempt(
        self, state: CallState, now_s: float, *, failed: bool
    ) -> None:
        if state.attempt_id is not None:
            self._router.ended(state.attempt_id, now_s, failed)
        if failed and state.target is not None:
            state.excluded_targets |= {state.target.target_id}
        state.attempt_id = None
        state.target = None

    def _retry_unrouted(self, now_s: float) -> list[Output]:
        due = [
            self._states[request_id]
            for request_id, retry_s in self._retry_times_s.items()
            if retry_s <= now_s
        ]
        return [
            output for state in due for output in self._dispatch(state, now_s)
        ]
