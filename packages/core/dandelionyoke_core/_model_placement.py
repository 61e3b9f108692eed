"""Placement of model calls on engines, with retries and waiting."""

from dandelionyoke_core._actions import CountMetric, StartAttempt, WriteLog
from dandelionyoke_core._call import Call
from dandelionyoke_core._call_operations import CallOperations
from dandelionyoke_core._call_refusals import (
    attempts_exhausted,
    no_target,
    retry_budget_exhausted,
)
from dandelionyoke_core._events import CompletionRequested
from dandelionyoke_core._ports import NoRoute, Output
from dandelionyoke_core._records import Target
from dandelionyoke_core._refusals import Refusal


class ModelPlacement:
    """Place model calls on engines, repeatedly if necessary."""

    def __init__(self, operations: CallOperations) -> None:
        self._operations = operations
        self._settings = operations.settings

    def place_elsewhere(
        self, call: Call, cause: str, now_s: float
    ) -> list[Output]:
        """Cancel the current attempt and place the call on another engine."""
        outputs: list[Output] = []
        if call.attempt is not None:
            call.excluded_targets.add(call.attempt.target.target_id)
            outputs += self._operations.cancel_attempt(call, now_s)
        call.needs_retry_budget = True
        log = WriteLog('request.routed', call.request_id, 'elsewhere', cause)
        return [*outputs, log, *self.place(call, now_s)]

    def place(self, call: Call, now_s: float) -> list[Output]:
        """Place the call, stall it, or refuse it."""
        refusal = self._operations.quarantine.refusal(call.fingerprint, now_s)
        if refusal is not None and refusal.retry_after_s is None:
            return self._operations.refuse(call, refusal, now_s)
        if refusal is not None:
            return self._wait_for_suspects(call, now_s)
        if len(call.possibly_run) >= self._settings.max_attempts:
            return self._operations.refuse(
                call, self._attempts_exhausted(call, now_s), now_s
            )
        if call.unanswered_placements >= self._settings.max_attempts:
            refusal = self._attempts_exhausted(call, now_s)
            return self._wait_or_refuse(call, refusal, now_s)
        route = self._operations.choose_target(call, now_s)
        if isinstance(route, NoRoute):
            return self._wait_for_route(call, route, now_s)
        if call.needs_retry_budget and not self._operations.budget.try_charge(
            now_s
        ):
            refusal = retry_budget_exhausted(self._retry_after_s(call, now_s))
            return self._wait_or_refuse(call, refusal, now_s)
        outputs: list[Output] = []
        if call.needs_retry_budget:
            outputs.append(CountMetric('request.retried'))
        call.needs_retry_budget = False
        return [*outputs, *self._start(call, route, now_s)]

    def _start(self, call: Call, target: Target, now_s: float) -> list[Output]:
        event = call.event
        if not isinstance(event, CompletionRequested):
            return []
        attempt = call.start_attempt(target, now_s)
        return [
            StartAttempt(
                call.request_id,
                attempt.attempt_id,
                target.target_id,
                target.address,
                event.model_name,
                event.prompt,
                tuple(call.tokens),
                event.max_output_tokens,
                call.identity.organisation.priority,
            ),
            *self._operations.track_attempt(call, attempt, now_s),
        ]

    def _wait_for_route(
        self, call: Call, route: NoRoute, now_s: float
    ) -> list[Output]:
        if self._operations.quarantine.excluded_targets(
            call.fingerprint, now_s
        ):
            return self._wait_for_suspects(call, now_s)
        if route.is_silent:
            return self._operations.wait_for_silent(call, route, now_s)
        return self._wait_or_refuse(call, no_target(route), now_s)

    def _wait_or_refuse(
        self, call: Call, refusal: Refusal, now_s: float
    ) -> list[Output]:
        # A caller with a partial answer is better served by waiting for the
        # rest than by starting over. If no work was done yet, an immediate
        # refusal is better.
        if not call.tokens and not call.possibly_run:
            return self._operations.refuse(call, refusal, now_s)
        return self._wait_for_target(call, refusal, now_s)

    def _wait_for_suspects(self, call: Call, now_s: float) -> list[Output]:
        # The call waits for the trials of other suspects of the same crash,
        # one of which caused it. This call may not be the cause, so only its
        # deadline ends the wait.
        call.stalled_since_s = None
        return self._operations.stall(
            call, 0, 'other suspects of a crash', now_s
        )

    def _wait_for_target(
        self, call: Call, refusal: Refusal, now_s: float
    ) -> list[Output]:
        if self._operations.has_stall_expired(call, now_s):
            return self._operations.refuse(call, refusal, now_s)
        pause_s = refusal.retry_after_s or 0
        return self._operations.stall(call, pause_s, refusal.detail, now_s)

    def _retry_after_s(self, call: Call, now_s: float) -> float:
        return self._operations.admitter.retry_after_s(
            call.requirements.service, now_s
        )

    def _attempts_exhausted(self, call: Call, now_s: float) -> Refusal:
        return attempts_exhausted(
            call.placements, self._retry_after_s(call, now_s)
        )
