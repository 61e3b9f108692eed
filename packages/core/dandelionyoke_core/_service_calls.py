"""How a call of a plain service gets its answer, at most once if it must."""

from dandelionyoke_core._actions import (
    AnswerService,
    CallService,
    DropAttempt,
    WriteLog,
)
from dandelionyoke_core._call import Call, Phase
from dandelionyoke_core._call_desk import CallDesk, refusal_outputs, stray
from dandelionyoke_core._call_refusals import (
    end_unknown,
    no_target,
    worn_out,
)
from dandelionyoke_core._events import (
    AttemptAccepted,
    AttemptFailed,
    AttemptRefused,
    Event,
    ServiceAnswered,
    ServiceCalled,
)
from dandelionyoke_core._notices import (
    ClaimAnswered,
    ClaimRefused,
)
from dandelionyoke_core._ports import NoRoute, Output
from dandelionyoke_core._refusals import Refusal
from dandelionyoke_core._unrepeatable import IDEMPOTENT_METHODS


class ServiceCalls:
    """Sends calls to plain services."""

    def __init__(self, desk: CallDesk) -> None:
        self._desk = desk
        self._settings = desk.settings

    def begin(self, call: Call, now_s: float) -> list[Output]:
        """Send an admitted call, or claim it first."""
        event = call.event
        if not call.unrepeatable or not isinstance(event, ServiceCalled):
            return self._place(call, now_s)
        call.phase = Phase.CLAIMING
        organisation_id = call.identity.organisation.organisation_id
        return self._desk.claimer.claim(event, organisation_id, now_s)

    def granted(self, call: Call, now_s: float) -> list[Output]:
        """Send a call that this node alone may send."""
        call.claimed = True
        if call.caller_gone:
            return self.abandon(call, now_s)
        return self._place(call, now_s)

    def answered_before(
        self, call: Call, event: ClaimAnswered, now_s: float
    ) -> list[Output]:
        """Give the recorded answer; nothing runs."""
        outputs = self._desk.close(call, now_s)
        if call.caller_gone:
            return outputs
        return [
            *outputs,
            AnswerService(
                call.request_id, event.status, event.content_type, event.body
            ),
            WriteLog(
                'request.finished',
                call.request_id,
                f'status {event.status} from the record of the first call',
            ),
        ]

    def claim_refused(
        self, call: Call, event: ClaimRefused, now_s: float
    ) -> list[Output]:
        """Pass the claimer's refusal on as it is.

        It speaks of the run under the key, which may be another request's,
        so that this request's own record must not overwrite it.
        """
        outputs = self._desk.close(call, now_s)
        if call.caller_gone:
            return outputs
        return [
            *outputs,
            *refusal_outputs(call.request_id, event.refusal),
        ]

    def accepted(
        self, call: Call, event: AttemptAccepted, now_s: float
    ) -> list[Output]:
        """Note that the service took the call."""
        return []

    def answered(self, call: Call, event: Event, now_s: float) -> list[Output]:
        """Give the caller its answer at once, and record it."""
        if not isinstance(event, ServiceAnswered):
            return [stray('kind')]
        outputs: list[Output] = []
        if not call.caller_gone:
            outputs.append(
                AnswerService(
                    call.request_id,
                    event.status,
                    event.content_type,
                    event.body,
                )
            )
        if call.claimed:
            call.claimed = False
            outputs += self._desk.claimer.settle(
                call.request_id,
                event.status,
                event.content_type,
                event.body,
                now_s,
            )
        outputs += self._desk.finish(call, call.need.prompt_tokens, now_s)
        return outputs

    def refused(
        self, call: Call, event: AttemptRefused, now_s: float
    ) -> list[Output]:
        """Go elsewhere; the target did not run the call."""
        return self._not_run(call, event.cause, now_s)

    def failed(
        self, call: Call, event: AttemptFailed, now_s: float
    ) -> list[Output]:
        """Go elsewhere if the call surely did not run or may run again."""
        if not event.sent:
            return self._not_run(call, event.cause, now_s)
        return self._broke(call, event.cause, now_s)

    def crashed(self, call: Call, now_s: float) -> list[Output]:
        """The target is gone with the call in progress."""
        return self._broke(call, 'the target crashed', now_s)

    def reclaimed(self, call: Call, now_s: float) -> list[Output]:
        """Leave a target that the platform takes away, if that is safe."""
        attempt = call.attempt
        if attempt is None or not _repeatable(call):
            return []
        call.avoid.add(attempt.target.target_id)
        return [*self._drop(call, now_s), *self._place(call, now_s)]

    def abandon(self, call: Call, now_s: float) -> list[Output]:
        """Forget a call that nobody waits for and that was not sent."""
        outputs = self._reopen(call, now_s)
        return [*outputs, *self._desk.close(call, now_s)]

    def due_s(self, call: Call) -> float:
        """Tell when this call has to be looked at."""
        if call.attempt is None:
            return call.deadline_s
        limit_s = self._settings.service_timeout_s
        limit_s += self._settings.service_grace_s
        silent_s = call.attempt.heard_s + limit_s
        if call.caller_gone:
            return silent_s
        return min(silent_s, call.deadline_s)

    def woken(self, call: Call, now_s: float) -> list[Output]:
        """Give up on a target that never answered."""
        return self._broke(call, 'no answer in time', now_s)

    def give_up(
        self, call: Call, refusal: Refusal, now_s: float
    ) -> list[Output]:
        """End a call for its caller.

        One that may not be repeated and is at its target goes on without
        the caller: its end is still worth recording, since a repeat will
        ask for it.
        """
        if call.claimed and call.attempt is not None:
            return self._go_on_alone(call, refusal)
        outputs = self._reopen(call, now_s)
        return [*outputs, *self._end(call, refusal, now_s)]

    def _go_on_alone(self, call: Call, refusal: Refusal) -> list[Output]:
        if call.caller_gone:
            return []
        call.caller_gone = True
        return refusal_outputs(call.request_id, call.truthful(refusal))

    def _place(self, call: Call, now_s: float) -> list[Output]:
        if call.placements >= self._settings.max_attempts:
            refusal = worn_out(call.placements, self._come_back_s(call, now_s))
            return self.give_up(call, refusal, now_s)
        choice = self._desk.choose(call, now_s)
        if isinstance(choice, NoRoute):
            return self.give_up(call, no_target(choice), now_s)
        event = call.event
        if not isinstance(event, ServiceCalled):
            return []
        attempt = call.place(choice, now_s)
        return [
            CallService(
                call.request_id,
                attempt.attempt_id,
                choice.target_id,
                choice.address,
                event.method,
                event.path,
                event.content_type,
                event.body,
                event.idempotency_key,
                self._settings.service_timeout_s,
            ),
            *self._desk.began(call, attempt, now_s),
        ]

    def _not_run(self, call: Call, cause: str, now_s: float) -> list[Output]:
        attempt = call.attempt
        if attempt is None:
            return []
        left = self._desk.leave(call, now_s)
        call.unproven.discard(attempt.work_id)
        call.avoid.add(attempt.target.target_id)
        log = WriteLog(
            'request.routed',
            call.request_id,
            f'{attempt.target.target_id} did not run {attempt.attempt_id}',
            cause,
        )
        if call.caller_gone:
            return [*left, log, *self.abandon(call, now_s)]
        return [*left, log, *self._place(call, now_s)]

    def _broke(self, call: Call, cause: str, now_s: float) -> list[Output]:
        attempt = call.attempt
        if attempt is None:
            return []
        call.avoid.add(attempt.target.target_id)
        outputs = self._drop(call, now_s)
        if _repeatable(call) and self._desk.budget.spend(now_s):
            return [*outputs, *self._place(call, now_s)]
        if call.claimed:
            call.claimed = False
            outputs += self._desk.claimer.doubt(call.request_id, now_s)
        refusal = end_unknown(cause, unrepeatable=call.unrepeatable)
        return [*outputs, *self._end(call, refusal, now_s)]

    def _drop(self, call: Call, now_s: float) -> list[Output]:
        # A plain service knows no cancel; closing the connection is all.
        attempt = call.attempt
        if attempt is None:
            return []
        return [
            *self._desk.leave(call, now_s, failed=True),
            DropAttempt(call.request_id, attempt.attempt_id),
        ]

    def _reopen(self, call: Call, now_s: float) -> list[Output]:
        if not call.claimed:
            return []
        call.claimed = False
        return self._desk.claimer.reopen(call.request_id, now_s)

    def _end(self, call: Call, refusal: Refusal, now_s: float) -> list[Output]:
        outputs = self._drop(call, now_s)
        return [*outputs, *self._desk.refuse(call, refusal, now_s)]

    def _come_back_s(self, call: Call, now_s: float) -> float:
        return self._desk.admitter.come_back_s(call.need.service, now_s)


def _repeatable(call: Call) -> bool:
    event = call.event
    if call.unrepeatable or not isinstance(event, ServiceCalled):
        return False
    return event.method.upper() in IDEMPOTENT_METHODS
