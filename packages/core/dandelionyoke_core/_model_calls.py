"""How a model call gets its whole answer, whatever its attempts meet."""

from dandelionyoke_core._actions import (
    DropAttempt,
    FinishCall,
    ResumeAttempt,
    SendTokens,
    StartAttempt,
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
    ModelCalled,
    TokensArrived,
)
from dandelionyoke_core._notices import CallDelivered
from dandelionyoke_core._ports import NoRoute, Output
from dandelionyoke_core._records import Target
from dandelionyoke_core._refusals import Refusal, RefusalKind

_SEND_AGAIN = 'Send the request again after retry_after_s'


class ModelCalls:
    """Places model calls on engines and follows their streams."""

    def __init__(self, desk: CallDesk) -> None:
        self._desk = desk
        self._settings = desk.settings

    def begin(self, call: Call, now_s: float) -> list[Output]:
        """Send an admitted call to its first engine."""
        return self._place(call, now_s)

    def accepted(
        self, call: Call, event: AttemptAccepted, now_s: float
    ) -> list[Output]:
        """Note that the engine took the work."""
        if call.attempt is not None:
            call.attempt.accepted = True
            call.attempt.heard_s = now_s
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
            *self._place(call, now_s),
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
            *self._place(call, now_s),
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
            *self._place(call, now_s),
        ]

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
            return self._place(call, now_s)
        attempt = call.attempt
        if attempt is None:
            return []
        if attempt.resumes and not attempt.progressed:
            self._desk.quarantine.lost(attempt.work_id, now_s)
            return self._elsewhere(call, 'silent after a resume', now_s)
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
        attempt.heard_s = now_s
        attempt.accepted = True
        fresh = event.tokens[position - event.offset :]
        if not fresh:
            return []
        attempt.progressed = True
        call.tokens.extend(fresh)
        self._desk.router.progressed(attempt.work_id, len(call.tokens), now_s)
        return [
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
                *self._elsewhere(call, 'crossed end', now_s),
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
        if attempt.resumes and not attempt.accepted:
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
            return self._elsewhere(call, cause, now_s)
        stream = call.reread(attempt, now_s)
        target = attempt.target
        return [
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
        return [*outputs, *self._elsewhere(call, cause, now_s)]

    def _elsewhere(self, call: Call, cause: str, now_s: float) -> list[Output]:
        outputs: list[Output] = []
        if call.attempt is not None:
            call.avoid.add(call.attempt.target.target_id)
            outputs += self._desk.cancel(call, now_s)
        call.owes_retry = True
        log = WriteLog('request.routed', call.request_id, 'elsewhere', cause)
        return [*outputs, log, *self._place(call, now_s)]

    def _place(self, call: Call, now_s: float) -> list[Output]:
        refusal = self._desk.quarantine.refusal(call.fingerprint, now_s)
        if refusal is not None and refusal.retry_after_s is None:
            return self._desk.refuse(call, refusal, now_s)
        if refusal is not None:
            return self._wait(call, refusal, now_s)
        if call.placements >= self._settings.max_attempts:
            return self._desk.refuse(call, self._worn_out(call, now_s), now_s)
        choice = self._desk.choose(call, now_s)
        if isinstance(choice, NoRoute):
            return self._wait_or_refuse(call, _no_target(choice), now_s)
        if call.owes_retry and not self._desk.budget.spend(now_s):
            refusal = self._over_budget(call, now_s)
            return self._wait_or_refuse(call, refusal, now_s)
        call.owes_retry = False
        return self._start(call, choice, now_s)

    def _start(self, call: Call, target: Target, now_s: float) -> list[Output]:
        event = call.event
        if not isinstance(event, ModelCalled):
            return []
        attempt = call.place(target, now_s)
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
            *self._desk.began(call, attempt, now_s),
        ]

    def _wait_or_refuse(
        self, call: Call, refusal: Refusal, now_s: float
    ) -> list[Output]:
        # A caller whose answer was begun is better off waiting for the rest
        # than being told to start over, and of a call that nothing was done
        # for it is better off knowing at once.
        if not call.tokens and not call.unproven:
            return self._desk.refuse(call, refusal, now_s)
        return self._wait(call, refusal, now_s)

    def _wait(self, call: Call, refusal: Refusal, now_s: float) -> list[Output]:
        if self._desk.stalled_for_good(call, now_s):
            return self._desk.refuse(call, refusal, now_s)
        self._desk.stall(call, refusal.retry_after_s or 0, now_s)
        return []

    def _over_budget(self, call: Call, now_s: float) -> Refusal:
        return Refusal(
            RefusalKind.TARGET_FAILED,
            'The engine failed and too many requests are being tried again '
            'already',
            _SEND_AGAIN,
            retry_after_s=self._come_back_s(call, now_s),
        )

    def _worn_out(self, call: Call, now_s: float) -> Refusal:
        return Refusal(
            RefusalKind.TARGET_FAILED,
            f'{call.placements} engines failed or refused this request',
            _SEND_AGAIN,
            retry_after_s=self._come_back_s(call, now_s),
        )

    def _come_back_s(self, call: Call, now_s: float) -> float:
        return self._desk.admitter.come_back_s(call.need.service, now_s)


def _no_target(no_route: NoRoute) -> Refusal:
    return Refusal(
        RefusalKind.NO_TARGET,
        f'No engine can take this request now ({no_route.cause})',
        _SEND_AGAIN,
        retry_after_s=no_route.retry_after_s,
    )


def _refused_log(call: Call, attempt: Attempt, cause: str) -> WriteLog:
    return WriteLog(
        'request.routed',
        call.request_id,
        f'{attempt.target.target_id} did not run {attempt.attempt_id}',
        cause,
    )
