"""Operations that model calls and service calls have in common."""

import attrs

from dandelionyoke_core._actions import (
    AbandonAttempt,
    CancelAttempt,
    CountMetric,
    ObserveLatency,
    RefuseCall,
    WriteLog,
)
from dandelionyoke_core._call import Attempt, Call, Phase
from dandelionyoke_core._call_refusals import no_target
from dandelionyoke_core._events import CompletionRequested
from dandelionyoke_core._names import RequestId
from dandelionyoke_core._notices import UsageDelivered
from dandelionyoke_core._ports import (
    Admitter,
    Claimer,
    NoRoute,
    Output,
    Quarantine,
    Router,
)
from dandelionyoke_core._records import Target
from dandelionyoke_core._refusals import Refusal
from dandelionyoke_core._request_settings import RequestSettings
from dandelionyoke_core._retry_budget import RetryBudget


@attrs.define
class CallOperations:
    """The calls in progress and the collaborators that handle them."""

    settings: RequestSettings
    admitter: Admitter
    router: Router
    claimer: Claimer
    quarantine: Quarantine
    budget: RetryBudget
    calls: dict[RequestId, Call] = attrs.field(factory=dict)

    def choose_target(self, call: Call, now_s: float) -> Target | NoRoute:
        """Choose a target other than those that failed this call."""
        excluded_targets = frozenset(call.excluded_targets)
        if call.fingerprint:
            excluded_targets |= self.quarantine.excluded_targets(
                call.fingerprint, now_s
            )
        requirements = attrs.evolve(
            call.requirements, excluded_targets=excluded_targets
        )
        return self.router.choose(requirements, now_s)

    def track_attempt(
        self, call: Call, attempt: Attempt, now_s: float
    ) -> list[Output]:
        """Register a new attempt with the router and the quarantine."""
        target_id = attempt.target.target_id
        self.router.dispatched(
            attempt.work_id, target_id, call.requirements, now_s
        )
        outputs: list[Output] = [
            WriteLog(
                'request.routed',
                call.request_id,
                f'{attempt.attempt_id} to {target_id}',
                f'attempt {call.placements} of {self.settings.max_attempts}',
            )
        ]
        if call.fingerprint:
            outputs += self.quarantine.started(
                attempt.work_id, target_id, call.fingerprint, now_s
            )
        return outputs

    def untrack_attempt(
        self,
        call: Call,
        now_s: float,
        *,
        failed: bool = False,
        completed: bool = False,
    ) -> list[Output]:
        """Unregister the current attempt without cancelling it at its target."""
        attempt = call.attempt
        call.attempt = None
        if attempt is None:
            return []
        self.router.ended(attempt.work_id, now_s, failed)
        return self.quarantine.ended(attempt.work_id, completed)

    def cancel_attempt(self, call: Call, now_s: float) -> list[Output]:
        """Cancel the current attempt at its target.

        Abandoned work that kept running would still be billed.
        """
        attempt = call.attempt
        if attempt is None:
            return []
        target = attempt.target
        outputs = self.untrack_attempt(call, now_s)
        if attempt.is_resumption:
            outputs.append(AbandonAttempt(call.request_id, attempt.attempt_id))
        outputs.append(
            CancelAttempt(
                call.request_id,
                attempt.work_id,
                target.target_id,
                target.address,
            )
        )
        return outputs

    def refuse(
        self, call: Call, refusal: Refusal, now_s: float
    ) -> list[Output]:
        """End a call with a refusal that states whether it may have run."""
        outputs = self.close(call, now_s)
        if call.caller_disconnected:
            return outputs
        return [
            *outputs,
            *refusal_outputs(call.request_id, call.with_run_state(refusal)),
        ]

    def close(self, call: Call, now_s: float) -> list[Output]:
        """Remove a call, release its slot and cancel its current attempt."""
        outputs = self.cancel_attempt(call, now_s)
        if self.calls.pop(call.request_id, None) is None:
            return outputs
        output_tokens = len(call.tokens)
        if call.possibly_run or output_tokens:
            self.admitter.finish(
                call.request_id,
                call.requirements.prompt_tokens,
                output_tokens,
                now_s,
            )
        else:
            self.admitter.withdraw(call.request_id, now_s)
        if output_tokens:
            outputs.append(
                delivery_notice(call, call.requirements.prompt_tokens)
            )
        return outputs

    def finish(
        self, call: Call, prompt_tokens: int, now_s: float
    ) -> list[Output]:
        """Remove a call that has received its complete answer."""
        outputs = self.untrack_attempt(call, now_s, completed=True)
        self.calls.pop(call.request_id, None)
        output_tokens = len(call.tokens)
        self.admitter.finish(
            call.request_id, prompt_tokens, output_tokens, now_s
        )
        return [
            *outputs,
            delivery_notice(call, prompt_tokens),
            CountMetric('request.finished', label=call.requirements.service),
            ObserveLatency('request.total', now_s - call.arrived_s),
            WriteLog(
                'request.finished',
                call.request_id,
                f'{output_tokens} tokens in {call.placements} placements',
            ),
        ]

    def stall(
        self, call: Call, pause_s: float, cause: str, now_s: float
    ) -> list[Output]:
        """Pause a call until a target is available."""
        log = WriteLog('request.waiting', call.request_id, cause=cause)
        outputs: list[Output] = [] if call.phase is Phase.STALLED else [log]
        call.phase = Phase.STALLED
        if call.stalled_since_s is None:
            call.stalled_since_s = now_s
        pause_s = max(pause_s, self.settings.stall_retry_interval_s)
        call.retry_at_s = min(
            now_s + pause_s, call.stalled_since_s + self.settings.max_stall_s
        )
        return outputs

    def wait_for_silent(
        self, call: Call, route: NoRoute, now_s: float
    ) -> list[Output]:
        """Pause a call until a silent target goes on, or counts as crashed."""
        if self.has_stall_expired(call, now_s):
            return self.refuse(call, no_target(route), now_s)
        return self.stall(call, 0, route.cause, now_s)

    def has_stall_expired(self, call: Call, now_s: float) -> bool:
        """Whether a stalled call has waited for `max_stall_s`."""
        if call.stalled_since_s is None:
            return False
        return now_s >= call.stalled_since_s + self.settings.max_stall_s


def delivery_notice(call: Call, prompt_tokens: int) -> UsageDelivered:
    """Create the usage notice for the end of a call, sent once per call."""
    if not isinstance(call.event, CompletionRequested):
        prompt_tokens = 0
    return UsageDelivered(
        call.request_id,
        call.identity.organisation.organisation_id,
        call.requirements.service,
        requests=1,
        prompt_tokens=prompt_tokens,
    )


def refusal_outputs(request_id: RequestId, refusal: Refusal) -> list[Output]:
    """Return the outputs that refuse a call and log the reason."""
    kind = refusal.kind.value
    detail = f'{refusal.detail} (run: {refusal.run.value})'
    return [
        RefuseCall(request_id, refusal),
        WriteLog('request.refused', request_id, detail, kind),
        CountMetric('request.refused', label=kind),
    ]


def stray_answer_metric(cause: str) -> CountMetric:
    """Return the metric for an answer that matches no current attempt."""
    return CountMetric('request.stray_answers', label=cause)
