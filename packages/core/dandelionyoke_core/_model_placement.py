"""Where a model call goes, and what happens when it can go nowhere."""

from dandelionyoke_core._actions import CountMetric, StartAttempt, WriteLog
from dandelionyoke_core._call import Call
from dandelionyoke_core._call_desk import CallDesk
from dandelionyoke_core._call_refusals import (
    no_target,
    over_budget,
    worn_out,
)
from dandelionyoke_core._events import ModelCalled
from dandelionyoke_core._ports import NoRoute, Output
from dandelionyoke_core._records import Target
from dandelionyoke_core._refusals import Refusal


class ModelPlacement:
    """Places model calls on engines, again and again if need be."""

    def __init__(self, desk: CallDesk) -> None:
        self._desk = desk
        self._settings = desk.settings

    def elsewhere(self, call: Call, cause: str, now_s: float) -> list[Output]:
        """Leave the present engine and place the call on another."""
        outputs: list[Output] = []
        if call.attempt is not None:
            call.avoid.add(call.attempt.target.target_id)
            outputs += self._desk.cancel(call, now_s)
        call.owes_retry = True
        log = WriteLog('request.routed', call.request_id, 'elsewhere', cause)
        return [*outputs, log, *self.place(call, now_s)]

    def place(self, call: Call, now_s: float) -> list[Output]:
        """Place the call, or let it wait, or give it up."""
        refusal = self._desk.quarantine.refusal(call.fingerprint, now_s)
        if refusal is not None and refusal.retry_after_s is None:
            return self._desk.refuse(call, refusal, now_s)
        if refusal is not None:
            return self._hold(call, now_s)
        if len(call.unproven) >= self._settings.max_attempts:
            return self._desk.refuse(call, self._worn_out(call, now_s), now_s)
        if call.row >= self._settings.max_attempts:
            refusal = self._worn_out(call, now_s)
            return self._wait_or_refuse(call, refusal, now_s)
        choice = self._desk.choose(call, now_s)
        if isinstance(choice, NoRoute):
            if self._desk.quarantine.crowded(call.fingerprint, now_s):
                return self._hold(call, now_s)
            return self._wait_or_refuse(call, no_target(choice), now_s)
        if call.owes_retry and not self._desk.budget.spend(now_s):
            refusal = over_budget(self._come_back_s(call, now_s))
            return self._wait_or_refuse(call, refusal, now_s)
        outputs: list[Output] = []
        if call.owes_retry:
            outputs.append(CountMetric('request.retried'))
        call.owes_retry = False
        return [*outputs, *self._start(call, choice, now_s)]

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

    def _hold(self, call: Call, now_s: float) -> list[Output]:
        # It waits for other suspects of a crash, one of which caused it.
        # It may well be innocent, so nothing but its deadline ends this.
        call.stalled_s = None
        return self._desk.stall(call, 0, 'other suspects of a crash', now_s)

    def _wait(self, call: Call, refusal: Refusal, now_s: float) -> list[Output]:
        if self._desk.stalled_for_good(call, now_s):
            return self._desk.refuse(call, refusal, now_s)
        pause_s = refusal.retry_after_s or 0
        return self._desk.stall(call, pause_s, refusal.detail, now_s)

    def _come_back_s(self, call: Call, now_s: float) -> float:
        return self._desk.admitter.come_back_s(call.need.service, now_s)

    def _worn_out(self, call: Call, now_s: float) -> Refusal:
        return worn_out(call.placements, self._come_back_s(call, now_s))
