"""Every call from its arrival to its whole answer or truthful refusal."""

from collections.abc import Callable
from random import Random
from typing import Any, ClassVar

from dandelionyoke_core._actions import WriteLog
from dandelionyoke_core._call import Call, Phase
from dandelionyoke_core._call_desk import CallDesk, refusal_outputs, stray
from dandelionyoke_core._call_refusals import (
    caller_left,
    cut_short,
    key_withdrawn,
    too_many_calls,
)
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
from dandelionyoke_core._flows import Flows
from dandelionyoke_core._intake import Intake
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
        self._flows = Flows(self._desk)
        self._handlers = self._table()

    def handle(self, event: Event, now_s: float) -> list[Output]:
        """Take an event and say what follows from it."""
        outputs: list[Output] = self._handlers[type(event)](event, now_s)
        request_id = getattr(event, 'request_id', None)
        if request_id is not None:
            self._flows.watch(request_id)
        return outputs

    def next_wakeup_s(self) -> float | None:
        """Tell when a silent stream or a deadline has to be looked at."""
        return self._flows.next_wakeup_s()

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
            return refusal_outputs(request_id, too_many_calls())
        taken = self._intake.take(event, now_s)
        if isinstance(taken, Refusal):
            return refusal_outputs(request_id, taken)
        call, ticket = taken
        place = self._desk.admitter.offer(ticket, now_s)
        if isinstance(place, Refusal):
            return refusal_outputs(request_id, place)
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
        return [log, *self._flows.of(call).begin(call, now_s)]

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
        return [log, *self._flows.of(call).give_up(call, caller_left(), now_s)]

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
        return self._flows.services.granted(call, now_s)

    def _claim_ended(
        self, event: ClaimAnswered | ClaimRefused, now_s: float
    ) -> list[Output]:
        call = self._desk.calls.get(event.request_id)
        if call is None or call.phase is not Phase.CLAIMING:
            return []
        if isinstance(event, ClaimAnswered):
            return self._flows.services.answered_before(call, event, now_s)
        return self._flows.services.claim_refused(call, event, now_s)

    # Attempts.

    def _attempt_event(self, event: Any, now_s: float) -> list[Output]:
        call = self._desk.calls.get(event.request_id)
        if call is None:
            return [stray('request')]
        if call.attempt is None or call.attempt.attempt_id != event.attempt_id:
            return [stray('attempt')]
        flow = self._flows.of(call)
        match event:
            case AttemptAccepted():
                return flow.accepted(call, event, now_s)
            case AttemptRefused():
                return flow.refused(call, event, now_s)
            case AttemptFailed():
                return flow.failed(call, event, now_s)
        return flow.answered(call, event, now_s)

    def _woken(self, event: Woken, now_s: float) -> list[Output]:
        return self._flows.woken(now_s)

    # What ends or moves many calls at once.

    def _key_withdrawn(self, event: KeyWithdrawn, now_s: float) -> list[Output]:
        outputs: list[Output] = []
        for call in tuple(self._desk.calls.values()):
            if call.identity.key_hash == event.key_hash:
                outputs += self._flows.of(call).give_up(
                    call, key_withdrawn(), now_s
                )
        return outputs

    def _shutdown_forced(
        self, event: ShutdownForced, now_s: float
    ) -> list[Output]:
        return [
            output
            for call in tuple(self._desk.calls.values())
            for output in self._flows.of(call).give_up(call, cut_short(), now_s)
        ]

    def _target_crashed(
        self, event: TargetCrashed, now_s: float
    ) -> list[Output]:
        lost = frozenset(event.attempt_ids)
        outputs: list[Output] = []
        for call in tuple(self._desk.calls.values()):
            attempt = call.attempt
            if attempt is not None and attempt.work_id in lost:
                outputs += self._flows.of(call).crashed(call, now_s)
                self._flows.watch(call.request_id)
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
                outputs += self._flows.of(call).reclaimed(call, now_s)
                self._flows.watch(call.request_id)
        return outputs
