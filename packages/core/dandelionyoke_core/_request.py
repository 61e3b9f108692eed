"""Every call from its arrival to its whole answer or truthful refusal."""

from collections.abc import Callable
from random import Random
from typing import Any, ClassVar

from dandelionyoke_core._actions import RefuseCall, WriteLog
from dandelionyoke_core._call import Call, Phase
from dandelionyoke_core._call_desk import CallDesk, refusal_log, stray
from dandelionyoke_core._events import (
    AttemptAccepted,
    AttemptEnded,
    AttemptFailed,
    AttemptRefused,
    CallerGone,
    Event,
    ModelCalled,
    ServiceAnswered,
    ServiceCalled,
    ShutdownForced,
    TokensArrived,
    Woken,
)
from dandelionyoke_core._intake import Intake
from dandelionyoke_core._model_calls import ModelCalls
from dandelionyoke_core._names import RequestId
from dandelionyoke_core._notices import (
    CallAdmitted,
    CallRejected,
    ClaimAnswered,
    ClaimGranted,
    ClaimRefused,
    KeyWithdrawn,
    TargetCrashed,
    TargetLeaving,
)
from dandelionyoke_core._ports import (
    Admitter,
    Authenticator,
    Claimer,
    Directory,
    Output,
    Quarantine,
    Queued,
    Router,
)
from dandelionyoke_core._refusals import Refusal, RefusalKind
from dandelionyoke_core._request_settings import RequestSettings
from dandelionyoke_core._retry_budget import RetryBudget
from dandelionyoke_core._service_calls import ServiceCalls
from dandelionyoke_core._timers import Timers

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
    """Decides on every call that a caller makes at this node."""

    handles: ClassVar[tuple[type[Event], ...]] = (
        ModelCalled,
        ServiceCalled,
        CallerGone,
        *_ATTEMPT_EVENTS,
        CallAdmitted,
        CallRejected,
        ClaimGranted,
        ClaimAnswered,
        ClaimRefused,
        KeyWithdrawn,
        TargetCrashed,
        TargetLeaving,
        ShutdownForced,
        Woken,
    )

    def __init__(  # noqa: WPS211  each collaborator by its own name
        self,
        settings: RequestSettings,
        directory: Directory,
        authenticator: Authenticator,
        admitter: Admitter,
        router: Router,
        claimer: Claimer,
        quarantine: Quarantine,
        random: Random,
    ) -> None:
        self._settings = settings
        self._intake = Intake(settings, directory, authenticator, quarantine)
        self._random = random
        self._desk = CallDesk(
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
        self._models = ModelCalls(self._desk)
        self._services = ServiceCalls(self._desk)
        self._timers: Timers[RequestId] = Timers()
        self._handlers = self._table()

    def handle(self, event: Event, now_s: float) -> list[Output]:
        """Take an event and say what follows from it."""
        outputs: list[Output] = self._handlers[type(event)](event, now_s)
        request_id = getattr(event, 'request_id', None)
        if request_id is not None:
            self._set_timer(request_id)
        return outputs

    def next_wakeup_s(self) -> float | None:
        """Tell when a silent stream or a deadline has to be looked at."""
        return self._timers.next_s()

    @property
    def in_progress(self) -> int:
        """How many calls are not finished."""
        return len(self._desk.calls)

    def _table(
        self,
    ) -> dict[type[Event], Callable[[Any, float], list[Output]]]:
        return {
            ModelCalled: self._called,
            ServiceCalled: self._called,
            CallerGone: self._caller_gone,
            CallAdmitted: self._admitted,
            CallRejected: self._rejected,
            ClaimGranted: self._claim_granted,
            ClaimAnswered: self._claim_ended,
            ClaimRefused: self._claim_ended,
            KeyWithdrawn: self._key_withdrawn,
            TargetCrashed: self._target_crashed,
            TargetLeaving: self._target_leaving,
            ShutdownForced: self._shutdown_forced,
            Woken: self._woken,
            **dict.fromkeys(_ATTEMPT_EVENTS, self._attempt_event),
        }

    # Callers.

    def _called(
        self, event: ModelCalled | ServiceCalled, now_s: float
    ) -> list[Output]:
        request_id = event.request_id
        if len(self._desk.calls) >= self._settings.max_calls:
            return _turn_away(request_id, _too_many_calls())
        taken = self._intake.take(event, now_s)
        if isinstance(taken, Refusal):
            return _turn_away(request_id, taken)
        call, ticket = taken
        place = self._desk.admitter.offer(ticket, now_s)
        if isinstance(place, Refusal):
            return _turn_away(request_id, place)
        self._desk.calls[request_id] = call
        self._desk.budget.earn(now_s)
        if isinstance(place, Queued):
            return [WriteLog('request.queued', request_id)]
        return self._begin(call, now_s)

    def _begin(self, call: Call, now_s: float) -> list[Output]:
        organisation = call.identity.organisation
        log = WriteLog(
            'request.admitted',
            call.request_id,
            f'{organisation.organisation_id} to {call.need.service}, '
            f'{call.need.prompt_tokens} prompt tokens, '
            f'waited {now_s - call.arrived_s:.3f} s',
        )
        return [log, *self._flow(call).begin(call, now_s)]

    def _caller_gone(self, event: CallerGone, now_s: float) -> list[Output]:
        call = self._desk.calls.get(event.request_id)
        if call is None:
            return []
        log = WriteLog(
            'request.finished',
            call.request_id,
            f'the caller left after {len(call.tokens)} tokens',
            'caller_gone',
        )
        call.caller_gone = True
        return [log, *self._give_up(call, _caller_left(), now_s)]

    def _admitted(self, event: CallAdmitted, now_s: float) -> list[Output]:
        call = self._desk.calls.get(event.request_id)
        if call is None or call.phase is not Phase.QUEUED:
            return []
        return self._begin(call, now_s)

    def _rejected(self, event: CallRejected, now_s: float) -> list[Output]:
        call = self._desk.calls.get(event.request_id)
        if call is None or call.phase is not Phase.QUEUED:
            return []
        return self._desk.refuse(call, event.refusal, now_s)

    # Claims.

    def _claim_granted(self, event: ClaimGranted, now_s: float) -> list[Output]:
        call = self._desk.calls.get(event.request_id)
        if call is None or call.phase is not Phase.CLAIMING:
            # The call ended while its claim was on the way; nothing was
            # sent. A claim left behind would answer every repeat with "in
            # progress" and then with doubt, though nothing ever ran.
            return self._desk.claimer.reopen(event.request_id, now_s)
        return self._services.granted(call, now_s)

    def _claim_ended(
        self, event: ClaimAnswered | ClaimRefused, now_s: float
    ) -> list[Output]:
        call = self._desk.calls.get(event.request_id)
        if call is None or call.phase is not Phase.CLAIMING:
            return []
        if isinstance(event, ClaimAnswered):
            return self._services.answered_before(call, event, now_s)
        return self._services.claim_refused(call, event, now_s)

    # Attempts.

    def _attempt_event(self, event: Any, now_s: float) -> list[Output]:
        call = self._desk.calls.get(event.request_id)
        if call is None:
            return [stray('request')]
        if call.attempt is None or call.attempt.attempt_id != event.attempt_id:
            return [stray('attempt')]
        flow = self._flow(call)
        match event:
            case AttemptAccepted():
                return flow.accepted(call, event, now_s)
            case AttemptRefused():
                return flow.refused(call, event, now_s)
            case AttemptFailed():
                return flow.failed(call, event, now_s)
        return flow.answered(call, event, now_s)

    # What ends or moves many calls at once.

    def _key_withdrawn(self, event: KeyWithdrawn, now_s: float) -> list[Output]:
        outputs: list[Output] = []
        for call in tuple(self._desk.calls.values()):
            if call.identity.key_hash == event.key_hash:
                outputs += self._give_up(call, _withdrawn(), now_s)
        return outputs

    def _shutdown_forced(
        self, event: ShutdownForced, now_s: float
    ) -> list[Output]:
        return [
            output
            for call in tuple(self._desk.calls.values())
            for output in self._give_up(call, _cut_short(), now_s)
        ]

    def _target_crashed(
        self, event: TargetCrashed, now_s: float
    ) -> list[Output]:
        lost = frozenset(event.attempt_ids)
        outputs: list[Output] = []
        for call in tuple(self._desk.calls.values()):
            attempt = call.attempt
            if attempt is not None and attempt.work_id in lost:
                outputs += self._flow(call).crashed(call, now_s)
                self._set_timer(call.request_id)
        return outputs

    def _target_leaving(
        self, event: TargetLeaving, now_s: float
    ) -> list[Output]:
        if event.cause != RECLAIMED:
            return []
        outputs: list[Output] = []
        for call in tuple(self._desk.calls.values()):
            attempt = call.attempt
            if attempt and attempt.target.target_id == event.target_id:
                outputs += self._flow(call).reclaimed(call, now_s)
                self._set_timer(call.request_id)
        return outputs

    # Time.

    def _woken(self, event: Woken, now_s: float) -> list[Output]:
        outputs: list[Output] = []
        for request_id in tuple(self._timers.due(now_s, self._due_s)):
            call = self._desk.calls.get(request_id)
            if call is not None:
                outputs += self._look_at(call, now_s)
                self._set_timer(request_id)
        return outputs

    def _look_at(self, call: Call, now_s: float) -> list[Output]:
        if now_s >= call.deadline_s and not call.caller_gone:
            return self._give_up(call, _too_late(), now_s)
        return self._flow(call).woken(call, now_s)

    def _due_s(self, request_id: RequestId) -> float | None:
        call = self._desk.calls.get(request_id)
        return None if call is None else self._flow(call).due_s(call)

    def _set_timer(self, request_id: RequestId) -> None:
        due_s = self._due_s(request_id)
        if due_s is not None:
            self._timers.put(request_id, due_s)

    def _give_up(
        self, call: Call, refusal: Refusal, now_s: float
    ) -> list[Output]:
        if isinstance(call.event, ServiceCalled):
            return self._services.give_up(call, refusal, now_s)
        return self._desk.refuse(call, refusal, now_s)

    def _flow(self, call: Call) -> ModelCalls | ServiceCalls:
        if isinstance(call.event, ModelCalled):
            return self._models
        return self._services


def _turn_away(request_id: RequestId, refusal: Refusal) -> list[Output]:
    return [
        RefuseCall(request_id, refusal),
        refusal_log(request_id, refusal),
    ]


def _too_many_calls() -> Refusal:
    return Refusal(
        RefusalKind.OVERLOADED,
        'This entry holds as many calls as it can',
        'Send the request again after retry_after_s',
        retry_after_s=1.0,
    )


def _caller_left() -> Refusal:
    return Refusal(
        RefusalKind.DEADLINE,
        'The connection ended before the answer did',
        'Keep the connection open until the answer ends',
    )


def _withdrawn() -> Refusal:
    return Refusal(
        RefusalKind.WITHDRAWN,
        'The key of this request was withdrawn while it ran',
        'Ask the operator for a new key',
    )


def _cut_short() -> Refusal:
    return Refusal(
        RefusalKind.LEAVING,
        'This entry was told to stop at once',
        'Send the request again; another entry takes it',
        retry_after_s=1.0,
    )


def _too_late() -> Refusal:
    return Refusal(
        RefusalKind.DEADLINE,
        'The deadline of this request has passed',
        'Allow more time or ask for less output',
    )
