"""Calls of plain services, run at most once if they are unrepeatable."""

from dandelionyoke_core._actions import (
    AbandonAttempt,
    CallService,
    RespondService,
    WriteLog,
)
from dandelionyoke_core._call import Call, Phase
from dandelionyoke_core._call_operations import (
    CallOperations,
    refusal_outputs,
    stray_answer_metric,
)
from dandelionyoke_core._call_refusals import (
    attempts_exhausted,
    no_target,
    outcome_unknown,
)
from dandelionyoke_core._events import (
    AttemptAccepted,
    AttemptFailed,
    AttemptRefused,
    Event,
    ServiceAnswered,
    ServiceCallRequested,
)
from dandelionyoke_core._notices import (
    ClaimAnswered,
    ClaimRefused,
)
from dandelionyoke_core._ports import NoRoute, Output
from dandelionyoke_core._refusals import Refusal
from dandelionyoke_core._unrepeatable import IDEMPOTENT_METHODS


class ServiceCalls:
    """Handle the events of calls of plain services."""

    def __init__(self, operations: CallOperations) -> None:
        self._operations = operations
        self._settings = operations.settings

    def start(self, call: Call, now_s: float) -> list[Output]:
        """Send an admitted call; an unrepeatable call is claimed first."""
        event = call.event
        if not call.unrepeatable or not isinstance(event, ServiceCallRequested):
            return self._place(call, now_s)
        call.phase = Phase.CLAIMING
        organisation_id = call.identity.organisation.organisation_id
        return self._operations.claimer.claim(event, organisation_id, now_s)

    def on_claim_granted(self, call: Call, now_s: float) -> list[Output]:
        """Send a call after its claim was granted to this node."""
        call.claimed = True
        if call.caller_disconnected:
            return self.abandon(call, now_s)
        return self._place(call, now_s)

    def on_claim_answered(
        self, call: Call, event: ClaimAnswered, now_s: float
    ) -> list[Output]:
        """Return the recorded answer without sending the call."""
        outputs = self._operations.close(call, now_s)
        if call.caller_disconnected:
            return outputs
        return [
            *outputs,
            RespondService(
                call.request_id, event.status, event.content_type, event.body
            ),
            WriteLog(
                'request.finished',
                call.request_id,
                f'status {event.status} from the record of the first call',
            ),
        ]

    def on_claim_refused(
        self, call: Call, event: ClaimRefused, now_s: float
    ) -> list[Output]:
        """Return the refusal of the claimer unchanged.

        Its run state describes the run under the idempotency key, possibly by
        another request. It must not be replaced by the run state of this
        request.
        """
        outputs = self._operations.close(call, now_s)
        if call.caller_disconnected:
            return outputs
        return [
            *outputs,
            *refusal_outputs(call.request_id, event.refusal),
        ]

    def on_accepted(
        self, call: Call, event: AttemptAccepted, now_s: float
    ) -> list[Output]:
        """Ignore the acceptance; it changes nothing for a plain service."""
        return []

    def on_answered(
        self, call: Call, event: Event, now_s: float
    ) -> list[Output]:
        """Send the answer to the caller and settle the claim."""
        if not isinstance(event, ServiceAnswered):
            return [stray_answer_metric('kind')]
        outputs: list[Output] = []
        if not call.caller_disconnected:
            outputs.append(
                RespondService(
                    call.request_id,
                    event.status,
                    event.content_type,
                    event.body,
                )
            )
        if call.claimed:
            call.claimed = False
            outputs += self._operations.claimer.record_result(
                call.request_id,
                event.status,
                event.content_type,
                event.body,
                now_s,
            )
        outputs += self._operations.finish(
            call, call.requirements.prompt_tokens, now_s
        )
        return outputs

    def on_refused(
        self, call: Call, event: AttemptRefused, now_s: float
    ) -> list[Output]:
        """Send the call to another target; this one did not run it."""
        return self._on_not_run(call, event.cause, now_s)

    def on_failed(
        self, call: Call, event: AttemptFailed, now_s: float
    ) -> list[Output]:
        """Retry if the call certainly did not run or may be repeated."""
        if not event.sent:
            return self._on_not_run(call, event.cause, now_s)
        return self._on_broken(call, event.cause, now_s)

    def on_crashed(
        self, call: Call, now_s: float, *, is_presumed: bool
    ) -> list[Output]:
        """Handle the crash of the target with the call in progress."""
        return self._on_broken(call, 'the target crashed', now_s)

    def on_reclaimed(self, call: Call, now_s: float) -> list[Output]:
        """Move a repeatable call off a target that is being reclaimed."""
        attempt = call.attempt
        if attempt is None or not _is_repeatable(call):
            return []
        call.excluded_targets.add(attempt.target.target_id)
        return [*self._drop_attempt(call, now_s), *self._place(call, now_s)]

    def abandon(self, call: Call, now_s: float) -> list[Output]:
        """Release the claim of an unsent call and remove the call."""
        outputs = self._reopen_claim(call, now_s)
        return [*outputs, *self._operations.close(call, now_s)]

    def due_s(self, call: Call) -> float:
        """Return when the call must be checked next."""
        if call.phase is Phase.STALLED:
            return min(call.deadline_s, call.retry_at_s)
        if call.attempt is None:
            return call.deadline_s
        limit_s = self._settings.service_timeout_s
        limit_s += self._settings.service_grace_s
        timeout_at_s = call.attempt.last_activity_s + limit_s
        if call.caller_disconnected:
            return timeout_at_s
        return min(timeout_at_s, call.deadline_s)

    def on_due(self, call: Call, now_s: float) -> list[Output]:
        """Handle a target that did not answer in time, or place again."""
        if call.phase is Phase.STALLED:
            return self._place(call, now_s)
        return self._on_broken(call, 'no answer in time', now_s)

    def give_up(
        self, call: Call, refusal: Refusal, now_s: float
    ) -> list[Output]:
        """End a call for its caller.

        An unrepeatable call that was sent continues without the caller. Its
        outcome is still recorded, since a repeat will ask for it.
        """
        if call.claimed and call.attempt is not None:
            return self._continue_without_caller(call, refusal)
        outputs = self._reopen_claim(call, now_s)
        return [*outputs, *self._end_call(call, refusal, now_s)]

    def _continue_without_caller(
        self, call: Call, refusal: Refusal
    ) -> list[Output]:
        if call.caller_disconnected:
            return []
        call.caller_disconnected = True
        return refusal_outputs(call.request_id, call.with_run_state(refusal))

    def _place(self, call: Call, now_s: float) -> list[Output]:
        if call.placements >= self._settings.max_attempts:
            refusal = attempts_exhausted(
                call.placements, self._retry_after_s(call, now_s)
            )
            return self.give_up(call, refusal, now_s)
        route = self._operations.choose_target(call, now_s)
        if isinstance(route, NoRoute) and self._may_wait(call, route, now_s):
            return self._operations.wait_for_silent(call, route, now_s)
        if isinstance(route, NoRoute):
            return self.give_up(call, no_target(route), now_s)
        event = call.event
        if not isinstance(event, ServiceCallRequested):
            return []
        attempt = call.start_attempt(route, now_s)
        return [
            CallService(
                call.request_id,
                attempt.attempt_id,
                route.target_id,
                route.address,
                event.method,
                event.path,
                event.content_type,
                event.body,
                event.idempotency_key,
                self._settings.service_timeout_s,
            ),
            *self._operations.track_attempt(call, attempt, now_s),
        ]

    def _may_wait(self, call: Call, route: NoRoute, now_s: float) -> bool:
        has_expired = self._operations.has_stall_expired(call, now_s)
        return route.is_silent and not has_expired

    def _on_not_run(self, call: Call, cause: str, now_s: float) -> list[Output]:
        attempt = call.attempt
        if attempt is None:
            return []
        outputs = self._operations.untrack_attempt(call, now_s)
        call.possibly_run.discard(attempt.work_id)
        call.excluded_targets.add(attempt.target.target_id)
        log = WriteLog(
            'request.routed',
            call.request_id,
            f'{attempt.target.target_id} did not run {attempt.attempt_id}',
            cause,
        )
        if call.caller_disconnected:
            return [*outputs, log, *self.abandon(call, now_s)]
        return [*outputs, log, *self._place(call, now_s)]

    def _on_broken(self, call: Call, cause: str, now_s: float) -> list[Output]:
        attempt = call.attempt
        if attempt is None:
            return []
        call.excluded_targets.add(attempt.target.target_id)
        outputs = self._drop_attempt(call, now_s)
        if _is_repeatable(call) and self._operations.budget.try_charge(now_s):
            return [*outputs, *self._place(call, now_s)]
        if call.claimed:
            call.claimed = False
            outputs += self._operations.claimer.mark_outcome_unknown(
                call.request_id, now_s
            )
        refusal = outcome_unknown(cause, unrepeatable=call.unrepeatable)
        return [*outputs, *self._end_call(call, refusal, now_s)]

    def _drop_attempt(self, call: Call, now_s: float) -> list[Output]:
        # Plain services have no cancel operation, so only the connection is
        # closed.
        attempt = call.attempt
        if attempt is None:
            return []
        return [
            *self._operations.untrack_attempt(call, now_s, failed=True),
            AbandonAttempt(call.request_id, attempt.attempt_id),
        ]

    def _reopen_claim(self, call: Call, now_s: float) -> list[Output]:
        if not call.claimed:
            return []
        call.claimed = False
        return self._operations.claimer.release(call.request_id, now_s)

    def _end_call(
        self, call: Call, refusal: Refusal, now_s: float
    ) -> list[Output]:
        outputs = self._drop_attempt(call, now_s)
        return [*outputs, *self._operations.refuse(call, refusal, now_s)]

    def _retry_after_s(self, call: Call, now_s: float) -> float:
        return self._operations.admitter.retry_after_s(
            call.requirements.service, now_s
        )


def _is_repeatable(call: Call) -> bool:
    event = call.event
    if call.unrepeatable or not isinstance(event, ServiceCallRequested):
        return False
    return event.method.upper() in IDEMPOTENT_METHODS
