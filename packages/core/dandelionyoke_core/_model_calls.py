"""How a model call gets its whole answer, whatever its attempts meet."""

from dandelionyoke_core._actions import (
    CountMetric,
    DropAttempt,
    FinishCall,
    ObserveLatency,
    ResumeAttempt,
    SendTokens,
    WriteLog,
)
from dandelionyoke_core._call import Attempt, Call, Phase
from dandelionyoke_core._call_desk import CallDesk, stray
from dandelionyoke_core._events import (
    AttemptAccepted,
    AttemptEnded,
    AttemptFailed,
    AttemptRefused,
    Event,
    TokensArrived,
)
from dandelionyoke_core._model_placement import ModelPlacement
from dandelionyoke_core._notices import CallDelivered
from dandelionyoke_core._ports import Output
from dandelionyoke_core._refusals import Refusal


class ModelCalls:
    """Follows the streams of model calls."""

    def __init__(self, desk: CallDesk) -> None:
        self._desk = desk
        self._settings = desk.settings
        self._placement = ModelPlacement(desk)

    def begin(self, call: Call, now_s: float) -> list[Output]:
        """Send an admitted call to its first engine."""
        return self._placement.place(call, now_s)

    def accepted(
        self, call: Call, event: AttemptAccepted, now_s: float
    ) -> list[Output]:
        """Note that the engine took the work."""
        call.heard(now_s)
        return []

    def answered(self, call: Call, event: Event, now_s: float) -> list[Output]:
        """Take output, or its end."""
        match event:
            case TokensArrived():
                return self._arrived(call, event, now_s)
            case AttemptEnded():
                return self._ended(call, event, now_s)
        return [stray('kind')]

    def refused(
        self, call: Call, event: AttemptRefused, now_s: float
    ) -> list[Output]:
        """Go elsewhere; the engine did not run the work."""
        attempt = call.attempt
        if attempt is None:
            return []
        call.avoid.add(attempt.target.target_id)
        if not attempt.resumes:
            call.unproven.discard(attempt.work_id)
        return [
            *self._desk.leave(call, now_s),
            _refused_log(call, attempt, event.cause),
            *self._placement.place(call, now_s),
        ]

    def failed(
        self, call: Call, event: AttemptFailed, now_s: float
    ) -> list[Output]:
        """Read the work on, or go elsewhere when it is lost."""
        attempt = call.attempt
        if attempt is None:
            return []
        if attempt.resumes and not (event.sent and attempt.progressed):
            return self._broke(call, event.cause, now_s)
        if event.sent:
            return self._resume(call, attempt, event.cause, now_s)
        call.unproven.discard(attempt.work_id)
        call.avoid.add(attempt.target.target_id)
        return [
            *self._desk.leave(call, now_s, failed=True),
            _refused_log(call, attempt, event.cause),
            *self._placement.place(call, now_s),
        ]

    def crashed(self, call: Call, now_s: float) -> list[Output]:
        """Go elsewhere; the engine lost the work."""
        return self._broke(call, 'the engine crashed', now_s)

    def reclaimed(self, call: Call, now_s: float) -> list[Output]:
        """Leave an engine that the platform takes away in seconds.

        This is no retry of the caller's traffic, and the engine's work ends
        with it, so it is not paid from the retry budget.
        """
        if call.attempt is None:
            return []
        call.avoid.add(call.attempt.target.target_id)
        return [
            *self._desk.cancel(call, now_s),
            *self._placement.place(call, now_s),
        ]

    def give_up(
        self, call: Call, refusal: Refusal, now_s: float
    ) -> list[Output]:
        """End a call and stop its work."""
        return self._desk.refuse(call, refusal, now_s)

    def due_s(self, call: Call) -> float:
        """Tell when this call has to be looked at."""
        if call.phase is Phase.STALLED:
            return min(call.deadline_s, call.retry_at_s)
        if call.attempt is None:
            return call.deadline_s
        quiet_s = call.attempt.heard_s + self._limit_s(call, call.attempt)
        return min(call.deadline_s, quiet_s)

    def woken(self, call: Call, now_s: float) -> list[Output]:
        """Resume a stream that is silent, or place a waiting answer."""
        if call.phase is Phase.STALLED:
            # One that failed may be back, and may be the only one.
            call.avoid.clear()
            call.row = 0
            return self._placement.place(call, now_s)
        attempt = call.attempt
        if attempt is None:
            return []
        if attempt.resumes and not attempt.progressed:
            outputs = self._desk.quarantine.lost(attempt.work_id, now_s)
            cause = 'silent after a resume'
            return [*outputs, *self._placement.elsewhere(call, cause, now_s)]
        return self._resume(call, attempt, 'silent', now_s)

    def _arrived(
        self, call: Call, event: TokensArrived, now_s: float
    ) -> list[Output]:
        attempt = call.attempt
        if attempt is None:
            return []
        position = len(call.tokens)
        if event.offset > position:
            return self._resume(call, attempt, 'gap', now_s)
        call.heard(now_s)
        fresh = event.tokens[position - event.offset :]
        if not fresh:
            return []
        attempt.progressed = True
        call.tokens.extend(fresh)
        self._desk.router.progressed(attempt.work_id, len(call.tokens), now_s)
        return [
            *_first_token(call, position, now_s),
            SendTokens(call.request_id, fresh),
            CallDelivered(
                call.request_id,
                call.identity.organisation.organisation_id,
                call.need.service,
                output_tokens=len(fresh),
            ),
        ]

    def _ended(
        self, call: Call, event: AttemptEnded, now_s: float
    ) -> list[Output]:
        attempt = call.attempt
        if attempt is None:
            return []
        position = len(call.tokens)
        if event.offset > position:
            return self._resume(call, attempt, 'gap at the end', now_s)
        if event.offset < position:
            # The engine ends before what the caller holds already: this is
            # another answer, and no end of this one.
            return [
                stray('end'),
                *self._placement.elsewhere(call, 'crossed end', now_s),
            ]
        return [
            FinishCall(
                call.request_id,
                event.end_reason,
                event.prompt_tokens,
                event.offset,
            ),
            *self._desk.finish(call, event.prompt_tokens, now_s),
        ]

    def _limit_s(self, call: Call, attempt: Attempt) -> float:
        """Tell how long the present stream may be silent.

        A resume costs an engine nothing, so the first silence is judged
        early. To go elsewhere costs the work that was done, and an engine
        with a full queue is silent too; so a resumed stream is only given
        up early where the engine would have answered.
        """
        if not attempt.resumes:
            return self._settings.silence_limit_s
        if attempt.answers_at_once and not attempt.accepted:
            return self._settings.accept_limit_s
        if call.tokens:
            return self._settings.silence_limit_s
        return self._settings.first_token_limit_s

    def _resume(
        self, call: Call, attempt: Attempt, cause: str, now_s: float
    ) -> list[Output]:
        # Something between the two ends may have lost track of the
        # connection while the engine still works: a new connection gets
        # the rest at once, and nothing runs twice.
        if call.attempts >= self._settings.max_resumes:
            return self._placement.elsewhere(call, cause, now_s)
        stream = call.reread(attempt, now_s)
        target = attempt.target
        return [
            CountMetric('request.resumed'),
            DropAttempt(call.request_id, attempt.attempt_id),
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

    def _broke(self, call: Call, cause: str, now_s: float) -> list[Output]:
        attempt = call.attempt
        if attempt is None:
            return []
        outputs = self._desk.quarantine.broke(attempt.work_id, now_s)
        return [*outputs, *self._placement.elsewhere(call, cause, now_s)]


def _first_token(call: Call, position: int, now_s: float) -> list[Output]:
    if position:
        return []
    return [ObserveLatency('request.first_token', now_s - call.arrived_s)]


def _refused_log(call: Call, attempt: Attempt, cause: str) -> WriteLog:
    did = 'does not resume' if attempt.resumes else 'did not run'
    return WriteLog(
        'request.routed',
        call.request_id,
        f'{attempt.target.target_id} {did} {attempt.attempt_id}',
        cause,
    )
