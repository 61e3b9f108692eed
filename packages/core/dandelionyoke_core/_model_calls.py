"""Model calls: streaming, resumption and failover to other engines."""

from dandelionyoke_core._actions import (
    AbandonAttempt,
    CountMetric,
    FinishCall,
    ObserveLatency,
    ResumeAttempt,
    SendTokens,
    WriteLog,
)
from dandelionyoke_core._call import Attempt, Call, Phase
from dandelionyoke_core._call_operations import (
    CallOperations,
    stray_answer_metric,
)
from dandelionyoke_core._events import (
    AttemptAccepted,
    AttemptEnded,
    AttemptFailed,
    AttemptRefused,
    Event,
    TokensArrived,
)
from dandelionyoke_core._model_placement import ModelPlacement
from dandelionyoke_core._notices import UsageDelivered
from dandelionyoke_core._ports import NoRoute, Output
from dandelionyoke_core._refusals import Refusal

SILENT = 'the engine is silent'


class ModelCalls:
    """Handle the events of model calls and their streams."""

    def __init__(self, operations: CallOperations) -> None:
        self._operations = operations
        self._settings = operations.settings
        self._placement = ModelPlacement(operations)

    def start(self, call: Call, now_s: float) -> list[Output]:
        """Place an admitted call on its first engine."""
        return self._placement.place(call, now_s)

    def on_accepted(
        self, call: Call, event: AttemptAccepted, now_s: float
    ) -> list[Output]:
        """Record that the engine accepted the work."""
        call.record_activity(now_s)
        return []

    def on_answered(
        self, call: Call, event: Event, now_s: float
    ) -> list[Output]:
        """Handle output tokens or the end of the output."""
        match event:
            case TokensArrived():
                return self._on_tokens(call, event, now_s)
            case AttemptEnded():
                return self._on_end(call, event, now_s)
        return [stray_answer_metric('kind')]

    def on_refused(
        self, call: Call, event: AttemptRefused, now_s: float
    ) -> list[Output]:
        """Place the call on another engine; this one did not run it."""
        attempt = call.attempt
        if attempt is None:
            return []
        call.excluded_targets.add(attempt.target.target_id)
        if not attempt.is_resumption:
            call.possibly_run.discard(attempt.work_id)
        return [
            *self._operations.untrack_attempt(call, now_s),
            _refused_log(call, attempt, event.cause),
            *self._placement.place(call, now_s),
        ]

    def on_failed(
        self, call: Call, event: AttemptFailed, now_s: float
    ) -> list[Output]:
        """Resume the stream, or place the call elsewhere if work is lost."""
        attempt = call.attempt
        if attempt is None:
            return []
        if attempt.is_resumption and not (event.sent and attempt.has_output):
            return self._on_broken(call, event.cause, now_s)
        if event.sent:
            return self._resume(call, attempt, event.cause, now_s)
        call.possibly_run.discard(attempt.work_id)
        call.excluded_targets.add(attempt.target.target_id)
        return [
            *self._operations.untrack_attempt(call, now_s, failed=True),
            _refused_log(call, attempt, event.cause),
            *self._placement.place(call, now_s),
        ]

    def on_crashed(
        self, call: Call, now_s: float, *, is_presumed: bool
    ) -> list[Output]:
        """Place the call on another engine; the work is lost.

        An engine that may go on is left only for another one.
        """
        if not is_presumed:
            return self._on_broken(call, 'the engine crashed', now_s)
        if isinstance(self._operations.choose_target(call, now_s), NoRoute):
            return [_waiting_log(call)]
        return self._on_broken(call, SILENT, now_s)

    def on_reclaimed(self, call: Call, now_s: float) -> list[Output]:
        """Move the call off an engine that the platform is reclaiming.

        The platform removes the engine within seconds and its work ends with
        it. The move is not a retry, so it does not use the retry budget.
        """
        if call.attempt is None:
            return []
        call.excluded_targets.add(call.attempt.target.target_id)
        return [
            *self._operations.cancel_attempt(call, now_s),
            *self._placement.place(call, now_s),
        ]

    def give_up(
        self, call: Call, refusal: Refusal, now_s: float
    ) -> list[Output]:
        """Refuse a call and cancel its work."""
        return self._operations.refuse(call, refusal, now_s)

    def due_s(self, call: Call) -> float:
        """Return when the call must be checked next."""
        if call.phase is Phase.STALLED:
            return min(call.deadline_s, call.retry_at_s)
        if call.attempt is None:
            return call.deadline_s
        timeout_at_s = call.attempt.last_activity_s + self._silence_timeout_s(
            call, call.attempt
        )
        return min(call.deadline_s, timeout_at_s)

    def on_due(self, call: Call, now_s: float) -> list[Output]:
        """Resume a silent stream, or place a stalled call again."""
        if call.phase is Phase.STALLED:
            # A target that failed may be available again, and may be the
            # only one.
            call.excluded_targets.clear()
            call.unanswered_placements = 0
            return self._placement.place(call, now_s)
        attempt = call.attempt
        if attempt is None:
            return []
        if attempt.is_resumption and not attempt.has_output:
            outputs = self._operations.quarantine.attempt_abandoned(
                attempt.work_id, now_s
            )
            cause = 'silent after a resume'
            return [
                *outputs,
                *self._placement.place_elsewhere(call, cause, now_s),
            ]
        return self._resume(call, attempt, 'silent', now_s)

    def _on_tokens(
        self, call: Call, event: TokensArrived, now_s: float
    ) -> list[Output]:
        attempt = call.attempt
        if attempt is None:
            return []
        position = len(call.tokens)
        if event.offset > position:
            return self._resume(call, attempt, 'gap', now_s)
        call.record_activity(now_s)
        new_tokens = event.tokens[position - event.offset :]
        if not new_tokens:
            return []
        attempt.has_output = True
        call.tokens.extend(new_tokens)
        self._operations.router.progressed(
            attempt.work_id, len(call.tokens), now_s
        )
        return [
            *_first_token(call, position, now_s),
            SendTokens(call.request_id, new_tokens),
            UsageDelivered(
                call.request_id,
                call.identity.organisation.organisation_id,
                call.requirements.service,
                output_tokens=len(new_tokens),
            ),
        ]

    def _on_end(
        self, call: Call, event: AttemptEnded, now_s: float
    ) -> list[Output]:
        attempt = call.attempt
        if attempt is None:
            return []
        position = len(call.tokens)
        if event.offset > position:
            return self._resume(call, attempt, 'gap at the end', now_s)
        if event.offset < position:
            # The end lies before the tokens that the caller already has, so
            # it belongs to a different answer.
            return [
                stray_answer_metric('end'),
                *self._placement.place_elsewhere(
                    call, 'end of another answer', now_s
                ),
            ]
        return [
            FinishCall(
                call.request_id,
                event.end_reason,
                event.prompt_tokens,
                event.offset,
            ),
            *self._operations.finish(call, event.prompt_tokens, now_s),
        ]

    def _silence_timeout_s(self, call: Call, attempt: Attempt) -> float:
        """Return how long the current stream may be silent.

        A resume costs an engine nothing, so the first timeout is short.
        Moving to another engine loses the work done so far, and an engine
        with a full queue is silent as well. A resumed stream therefore has a
        short timeout only if the engine would have responded by then.
        """
        if not attempt.is_resumption:
            return self._settings.silence_timeout_s
        if attempt.accepts_early and not attempt.accepted:
            return self._settings.accept_timeout_s
        if call.tokens:
            return self._settings.silence_timeout_s
        return self._settings.first_token_timeout_s

    def _resume(
        self, call: Call, attempt: Attempt, cause: str, now_s: float
    ) -> list[Output]:
        # A network device may have dropped the connection while the engine
        # still works. A new connection gets the rest of the output at once,
        # and nothing runs twice.
        if call.attempts >= self._settings.max_resumes:
            return self._placement.place_elsewhere(call, cause, now_s)
        stream = call.resume_attempt(attempt, now_s)
        target = attempt.target
        return [
            CountMetric('request.resumed'),
            AbandonAttempt(call.request_id, attempt.attempt_id),
            ResumeAttempt(
                call.request_id,
                stream.attempt_id,
                attempt.work_id,
                target.target_id,
                target.address,
                len(call.tokens),
            ),
            WriteLog(
                'request.resumed',
                call.request_id,
                f'{attempt.attempt_id} as {stream.attempt_id} at '
                f'{target.target_id} from token {len(call.tokens)}',
                cause,
            ),
        ]

    def _on_broken(self, call: Call, cause: str, now_s: float) -> list[Output]:
        attempt = call.attempt
        if attempt is None:
            return []
        outputs = self._operations.quarantine.attempt_failed(
            attempt.work_id, now_s
        )
        return [*outputs, *self._placement.place_elsewhere(call, cause, now_s)]


def _first_token(call: Call, position: int, now_s: float) -> list[Output]:
    if position:
        return []
    return [ObserveLatency('request.first_token', now_s - call.arrived_s)]


def _waiting_log(call: Call) -> WriteLog:
    return WriteLog(
        'request.waiting', call.request_id, 'no other engine', SILENT
    )


def _refused_log(call: Call, attempt: Attempt, cause: str) -> WriteLog:
    outcome = 'does not resume' if attempt.is_resumption else 'did not run'
    return WriteLog(
        'request.routed',
        call.request_id,
        f'{attempt.target.target_id} {outcome} {attempt.attempt_id}',
        cause,
    )
