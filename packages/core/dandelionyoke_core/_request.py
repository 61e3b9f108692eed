"""Life cycle of calls, from arrival to a complete answer or a refusal."""

from collections.abc import Callable
from random import Random
from typing import Any, ClassVar

from dandelionyoke_core._actions import WriteLog
from dandelionyoke_core._call import Call, Phase
from dandelionyoke_core._call_handlers import CallHandlers
from dandelionyoke_core._call_operations import (
    CallOperations,
    refusal_outputs,
    stray_answer_metric,
)
from dandelionyoke_core._call_refusals import (
    call_table_full,
    caller_disconnected,
    forced_shutdown,
    key_revoked,
)
from dandelionyoke_core._events import (
    AttemptAccepted,
    AttemptEnded,
    AttemptFailed,
    AttemptRefused,
    CallerDisconnected,
    CompletionRequested,
    Event,
    ProcessStalled,
    ServiceAnswered,
    ServiceCallRequested,
    ShutdownForced,
    TimerFired,
    TokensArrived,
)
from dandelionyoke_core._intake import Intake
from dandelionyoke_core._notices import (
    CallAdmitted,
    CallRejected,
    ClaimAnswered,
    ClaimGranted,
    ClaimRefused,
    KeyRevoked,
    TargetCrashed,
    TargetLeaving,
)
from dandelionyoke_core._ports import (
    Admitter,
    Authenticator,
    Claimer,
    ConfigurationView,
    Output,
    Quarantine,
    Queued,
    Router,
)
from dandelionyoke_core._refusals import Refusal
from dandelionyoke_core._request_settings import RequestSettings
from dandelionyoke_core._retry_budget import RetryBudget

RECLAIMED = 'reclaimed'

_ATTEMPT_EVENTS: tuple[type[Event], ...] = (
    AttemptAccepted,
    TokensArrived,
    AttemptEnded,
    AttemptRefused,
    AttemptFailed,
    ServiceAnswered,
)


class RequestPart:
    """Handle all calls that callers send to this node."""

    handles: ClassVar[tuple[type[Event], ...]] = (
        CompletionRequested,
        ServiceCallRequested,
        CallerDisconnected,
        *_ATTEMPT_EVENTS,
        CallAdmitted,
        CallRejected,
        ClaimGranted,
        ClaimAnswered,
        ClaimRefused,
        KeyRevoked,
        TargetCrashed,
        TargetLeaving,
        ShutdownForced,
        ProcessStalled,
        TimerFired,
    )

    def __init__(  # noqa: WPS211  each collaborator by its own name
        self,
        settings: RequestSettings,
        configuration_view: ConfigurationView,
        authenticator: Authenticator,
        admitter: Admitter,
        router: Router,
        claimer: Claimer,
        quarantine: Quarantine,
        random: Random,
    ) -> None:
        self._settings = settings
        self._intake = Intake(
            settings, configuration_view, authenticator, quarantine
        )
        self._random = random
        self._operations = CallOperations(
            settings,
            admitter,
            router,
            claimer,
            quarantine,
            RetryBudget(
                settings.retry_share,
                settings.retry_reserve,
                settings.retry_refill_per_s,
            ),
        )
        self._call_handlers = CallHandlers(self._operations)
        self._event_handlers = self._build_event_handlers()

    def handle(self, event: Event, now_s: float) -> list[Output]:
        """Handle an event and return the resulting outputs."""
        outputs: list[Output] = self._event_handlers[type(event)](event, now_s)
        request_id = getattr(event, 'request_id', None)
        if request_id is not None:
            self._call_handlers.schedule(request_id)
        return outputs

    def next_wakeup_s(self) -> float | None:
        """Return when the next silent stream or deadline is due."""
        return self._call_handlers.next_wakeup_s()

    @property
    def in_progress(self) -> int:
        """Number of calls that are not finished."""
        return len(self._operations.calls)

    def _build_event_handlers(
        self,
    ) -> dict[type[Event], Callable[[Any, float], list[Output]]]:
        return {
            CompletionRequested: self._on_called,
            ServiceCallRequested: self._on_called,
            CallerDisconnected: self._on_caller_disconnected,
            CallAdmitted: self._on_admitted,
            CallRejected: self._on_rejected,
            ClaimGranted: self._on_claim_granted,
            ClaimAnswered: self._on_claim_ended,
            ClaimRefused: self._on_claim_ended,
            KeyRevoked: self._on_key_withdrawn,
            TargetCrashed: self._on_target_crashed,
            TargetLeaving: self._on_target_leaving,
            ShutdownForced: self._on_shutdown_forced,
            ProcessStalled: self._on_stalled,
            TimerFired: self._on_timer_fired,
            **dict.fromkeys(_ATTEMPT_EVENTS, self._on_attempt_event),
        }

    # Events from callers and admission.

    def _on_called(
        self, event: CompletionRequested | ServiceCallRequested, now_s: float
    ) -> list[Output]:
        request_id = event.request_id
        if len(self._operations.calls) >= self._settings.max_calls:
            return refusal_outputs(request_id, call_table_full())
        prepared = self._intake.prepare(event, now_s)
        if isinstance(prepared, Refusal):
            return refusal_outputs(request_id, prepared)
        call, ticket = prepared
        decision = self._operations.admitter.offer(ticket, now_s)
        if isinstance(decision, Refusal):
            return refusal_outputs(request_id, decision)
        self._operations.calls[request_id] = call
        self._operations.budget.add_call(now_s)
        if isinstance(decision, Queued):
            return [WriteLog('request.queued', request_id)]
        return self._start(call, now_s)

    def _start(self, call: Call, now_s: float) -> list[Output]:
        organisation = call.identity.organisation
        log = WriteLog(
            'request.admitted',
            call.request_id,
            f'{organisation.organisation_id} to {call.requirements.service}, '
            f'{call.requirements.prompt_tokens} prompt tokens, '
            f'waited {now_s - call.arrived_s:.3f} s',
        )
        return [log, *self._call_handlers.handler_for(call).start(call, now_s)]

    def _on_caller_disconnected(
        self, event: CallerDisconnected, now_s: float
    ) -> list[Output]:
        call = self._operations.calls.get(event.request_id)
        if call is None:
            return []
        log = WriteLog(
            'request.finished',
            call.request_id,
            f'the caller disconnected after {len(call.tokens)} tokens',
            'caller_gone',
        )
        call.caller_disconnected = True
        return [
            log,
            *self._call_handlers.handler_for(call).give_up(
                call, caller_disconnected(), now_s
            ),
        ]

    def _on_admitted(self, event: CallAdmitted, now_s: float) -> list[Output]:
        call = self._operations.calls.get(event.request_id)
        if call is None or call.phase is not Phase.QUEUED:
            return []
        return self._start(call, now_s)

    def _on_rejected(self, event: CallRejected, now_s: float) -> list[Output]:
        call = self._operations.calls.get(event.request_id)
        if call is None or call.phase is not Phase.QUEUED:
            return []
        return self._operations.refuse(call, event.refusal, now_s)

    # Events of claims.

    def _on_claim_granted(
        self, event: ClaimGranted, now_s: float
    ) -> list[Output]:
        call = self._operations.calls.get(event.request_id)
        if call is None or call.phase is not Phase.CLAIMING:
            # The call ended before its claim was granted, so nothing was
            # sent. If the claim stayed, every repeat would be refused as "in
            # progress" and later as in doubt, although nothing ever ran.
            return self._operations.claimer.release(event.request_id, now_s)
        return self._call_handlers.services.on_claim_granted(call, now_s)

    def _on_claim_ended(
        self, event: ClaimAnswered | ClaimRefused, now_s: float
    ) -> list[Output]:
        call = self._operations.calls.get(event.request_id)
        if call is None or call.phase is not Phase.CLAIMING:
            return []
        if isinstance(event, ClaimAnswered):
            return self._call_handlers.services.on_claim_answered(
                call, event, now_s
            )
        return self._call_handlers.services.on_claim_refused(call, event, now_s)

    # Events of attempts.

    def _on_attempt_event(self, event: Any, now_s: float) -> list[Output]:
        call = self._operations.calls.get(event.request_id)
        if call is None:
            return [stray_answer_metric('request')]
        if call.attempt is None or call.attempt.attempt_id != event.attempt_id:
            return [stray_answer_metric('attempt')]
        handler = self._call_handlers.handler_for(call)
        match event:
            case AttemptAccepted():
                return handler.on_accepted(call, event, now_s)
            case AttemptRefused():
                return handler.on_refused(call, event, now_s)
            case AttemptFailed():
                return handler.on_failed(call, event, now_s)
        return handler.on_answered(call, event, now_s)

    def _on_timer_fired(self, event: TimerFired, now_s: float) -> list[Output]:
        return self._call_handlers.handle_due(now_s)

    def _on_stalled(self, event: ProcessStalled, now_s: float) -> list[Output]:
        # Deadlines stay, as callers count on them.
        for call in self._operations.calls.values():
            call.extend_silence(event.stalled_s)
        return []

    # Events that end or move several calls at once.

    def _on_key_withdrawn(
        self, event: KeyRevoked, now_s: float
    ) -> list[Output]:
        outputs: list[Output] = []
        for call in tuple(self._operations.calls.values()):
            if call.identity.key_hash == event.key_hash:
                outputs += self._call_handlers.handler_for(call).give_up(
                    call, key_revoked(), now_s
                )
        return outputs

    def _on_shutdown_forced(
        self, event: ShutdownForced, now_s: float
    ) -> list[Output]:
        return [
            output
            for call in tuple(self._operations.calls.values())
            for output in self._call_handlers.handler_for(call).give_up(
                call, forced_shutdown(), now_s
            )
        ]

    def _on_target_crashed(
        self, event: TargetCrashed, now_s: float
    ) -> list[Output]:
        lost_ids = frozenset(event.attempt_ids)
        outputs: list[Output] = []
        for call in tuple(self._operations.calls.values()):
            attempt = call.attempt
            if attempt is not None and attempt.work_id in lost_ids:
                outputs += self._call_handlers.handler_for(call).on_crashed(
                    call, now_s, is_presumed=event.is_presumed
                )
                self._call_handlers.schedule(call.request_id)
        return outputs

    def _on_target_leaving(
        self, event: TargetLeaving, now_s: float
    ) -> list[Output]:
        if event.cause != RECLAIMED:
            return []
        outputs: list[Output] = []
        for call in tuple(self._operations.calls.values()):
            attempt = call.attempt
            if attempt and attempt.target.target_id == event.target_id:
                outputs += self._call_handlers.handler_for(call).on_reclaimed(
                    call, now_s
                )
                self._call_handlers.schedule(call.request_id)
        return outputs
