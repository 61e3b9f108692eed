"""The steps that model calls and service calls have in common."""

import attrs

from dandelionyoke_core._actions import (
    CancelAttempt,
    CountMetric,
    DropAttempt,
    ObserveLatency,
    RefuseCall,
    WriteLog,
)
from dandelionyoke_core._call import Attempt, Call, Phase
from dandelionyoke_core._events import ModelCalled
from dandelionyoke_core._names import RequestId
from dandelionyoke_core._notices import CallDelivered
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
class CallDesk:
    """The calls in progress and the parts that they are decided with."""

    settings: RequestSettings
    admitter: Admitter
    router: Router
    claimer: Claimer
    quarantine: Quarantine
    budget: RetryBudget
    calls: dict[RequestId, Call] = attrs.field(factory=dict)

    def choose(self, call: Call, now_s: float) -> Target | NoRoute:
        """Ask the router, with the targets that failed this call."""
        avoid = frozenset(call.avoid)
        if call.fingerprint:
            avoid |= self.quarantine.crowded(call.fingerprint, now_s)
        need = attrs.evolve(call.need, avoid=avoid)
        return self.router.choose(need, now_s)

    def began(self, call: Call, attempt: Attempt, now_s: float) -> list[Output]:
        """Tell the parts that follow work in progress of a new attempt."""
        target_id = attempt.target.target_id
        self.router.dispatched(attempt.work_id, target_id, call.need, now_s)
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

    def leave(
        self,
        call: Call,
        now_s: float,
        *,
        failed: bool = False,
        whole: bool = False,
    ) -> list[Output]:
        """Stop following the present attempt, without a word to the target."""
        attempt = call.attempt
        call.attempt = None
        if attempt is None:
            return []
        self.router.ended(attempt.work_id, now_s, failed)
        return self.quarantine.ended(attempt.work_id, whole)

    def cancel(self, call: Call, now_s: float) -> list[Output]:
        """Stop the present attempt at its target.

        Work that nobody reads would go on being billed.
        """
        attempt = call.attempt
        if attempt is None:
            return []
        target = attempt.target
        outputs = self.leave(call, now_s)
        if attempt.resumes:
            outputs.append(DropAttempt(call.request_id, attempt.attempt_id))
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
        """End a call with a refusal that tells the truth about its run."""
        outputs = self.close(call, now_s)
        if call.caller_gone:
            return outputs
        return [
            *outputs,
            *refusal_outputs(call.request_id, call.truthful(refusal)),
        ]

    def close(self, call: Call, now_s: float) -> list[Output]:
        """Forget a call, give its place back and stop what still runs."""
        outputs = self.cancel(call, now_s)
        if self.calls.pop(call.request_id, None) is None:
            return outputs
        served = len(call.tokens)
        if call.unproven or served:
            self.admitter.finish(
                call.request_id, call.need.prompt_tokens, served, now_s
            )
        else:
            self.admitter.withdraw(call.request_id, now_s)
        if served:
            outputs.append(delivered_call(call, call.need.prompt_tokens))
        return outputs

    def finish(
        self, call: Call, prompt_tokens: int, now_s: float
    ) -> list[Output]:
        """Forget a call that has its whole answer."""
        outputs = self.leave(call, now_s, whole=True)
        self.calls.pop(call.request_id, None)
        served = len(call.tokens)
        self.admitter.finish(call.request_id, prompt_tokens, served, now_s)
        return [
            *outputs,
            delivered_call(call, prompt_tokens),
            CountMetric('request.finished', label=call.need.service),
            ObserveLatency('request.total', now_s - call.arrived_s),
            WriteLog(
                'request.finished',
                call.request_id,
                f'{served} tokens in {call.placements} placements',
            ),
        ]

    def stall(
        self, call: Call, pause_s: float, cause: str, now_s: float
    ) -> list[Output]:
        """Let a begun answer wait for a target."""
        log = WriteLog('request.waiting', call.request_id, cause=cause)
        outputs: list[Output] = [] if call.phase is Phase.STALLED else [log]
        call.phase = Phase.STALLED
        if call.stalled_s is None:
            call.stalled_s = now_s
        pause_s = max(pause_s, self.settings.stall_pause_s)
        call.retry_at_s = min(
            now_s + pause_s, call.stalled_s + self.settings.stall_limit_s
        )
        return outputs

    def stalled_for_good(self, call: Call, now_s: float) -> bool:
        """Whether a waiting answer has waited for as long as it may."""
        if call.stalled_s is None:
            return False
        return now_s >= call.stalled_s + self.settings.stall_limit_s


def delivered_call(call: Call, prompt_tokens: int) -> CallDelivered:
    """Tell usage of a call's end, once for each call."""
    if not isinstance(call.event, ModelCalled):
        prompt_tokens = 0
    return CallDelivered(
        call.request_id,
        call.identity.organisation.organisation_id,
        call.need.service,
        requests=1,
        prompt_tokens=prompt_tokens,
    )


def refusal_outputs(request_id: RequestId, refusal: Refusal) -> list[Output]:
    """Refuse a call, and say why."""
    kind = refusal.kind.value
    detail = f'{refusal.detail} (run: {refusal.run.value})'
    return [
        RefuseCall(request_id, refusal),
        WriteLog('request.refused', request_id, detail, kind),
        CountMetric('request.refused', label=kind),
    ]


def stray(cause: str) -> CountMetric:
    """Count an answer that belongs to no attempt in progress."""
    return CountMetric('request.stray_answers', label=cause)
