"""The path of a call through a node, as thin as the measures allow."""

from typing import ClassVar

import attrs

from dandelionyoke_core import (
    Action,
    Admitted,
    Admitter,
    AttemptEnded,
    AttemptFailed,
    AttemptId,
    AttemptRefused,
    CallAdmitted,
    CallerGone,
    CallRejected,
    CancelAttempt,
    Event,
    NoRoute,
    Output,
    Queued,
    RequestId,
    RouteNeed,
    Router,
    Target,
    TargetId,
    Ticket,
    TokensArrived,
    Woken,
)
from dandelionyoke_standins._policy_ledger import Ending, Ledger
from dandelionyoke_standins._policy_workload import Call

MAX_FAILURES = 5
RETRY_ROUTE_S = 0.25


@attrs.frozen
class CallArrived(Event):
    """A call comes to this node."""

    call: Call


@attrs.frozen
class StartWork(Action):
    """Send the rest of a call's work to a target."""

    attempt_id: AttemptId
    target: Target
    call: Call
    done: int


@attrs.define
class Path:
    """Where a call is."""

    call: Call
    done: int = 0
    attempts: int = 0
    failures: int = 0
    attempt_id: AttemptId | None = None
    target: Target | None = None
    avoid: frozenset[TargetId] = frozenset()


class Caller:
    """Takes calls through admission and routing, and counts their ends."""

    handles: ClassVar[tuple[type[Event], ...]] = (
        CallArrived,
        CallAdmitted,
        CallRejected,
        CallerGone,
        TokensArrived,
        AttemptEnded,
        AttemptRefused,
        AttemptFailed,
        Woken,
    )

    def __init__(
        self, admitter: Admitter, router: Router, ledger: Ledger
    ) -> None:
        self._admitter = admitter
        self._router = router
        self._ledger = ledger
        self._paths: dict[RequestId, Path] = {}
        self._retries: dict[RequestId, float] = {}

    def handle(self, event: Event, now_s: float) -> list[Output]:
        """Take an event and say what follows from it."""
        match event:
            case CallArrived(call=call):
                return self._arrive(call, now_s)
            case Woken():
                return self._retry(now_s)
            case CallRejected(request_id=request_id):
                self._paths.pop(request_id)
                self._ledger.end(request_id, Ending.REFUSED, now_s)
                return []
        return self._follow(event, now_s)

    def next_wakeup_s(self) -> float | None:
        """Tell when a call without a route is tried again."""
        return min(self._retries.values(), default=None)

    def _follow(self, event: Event, now_s: float) -> list[Output]:
        path = self._paths.get(getattr(event, 'request_id', RequestId('')))
        if path is None:
            return []
        match event:
            case CallAdmitted():
                return self._send(path, now_s)
            case CallerGone():
                return self._leave(path, now_s)
        if getattr(event, 'attempt_id', None) != path.attempt_id:
            return []
        return self._advance(path, event, now_s)

    def _advance(self, path: Path, event: Event, now_s: float) -> list[Output]:
        match event:
            case TokensArrived(attempt_id=attempt_id, offset=offset):
                path.done = offset
                self._router.progressed(attempt_id, offset, now_s)
            case AttemptEnded():
                self._finish(path, event.attempt_id, now_s)
            case AttemptRefused() | AttemptFailed():
                return self._again(path, event, now_s)
        return []

    def _arrive(self, call: Call, now_s: float) -> list[Output]:
        ticket = Ticket(
            call.request_id,
            call.customer.organisation,
            call.kind.service,
            call.prompt_tokens,
            call.max_output_tokens,
            now_s,
            call.deadline_s,
        )
        path = Path(call)
        decision = self._admitter.offer(ticket, now_s)
        if isinstance(decision, Admitted | Queued):
            self._paths[call.request_id] = path
        if isinstance(decision, Admitted):
            return self._send(path, now_s)
        if not isinstance(decision, Queued):
            self._ledger.end(call.request_id, Ending.REFUSED, now_s)
        return []

    def _send(self, path: Path, now_s: float) -> list[Output]:
        call = path.call
        self._retries.pop(call.request_id, None)
        need = RouteNeed(
            call.customer.organisation.organisation_id,
            call.kind.service,
            blocks=call.names,
            prompt_tokens=call.prompt_tokens + path.done,
            max_output_tokens=call.max_output_tokens - path.done,
            steady=call.kind.steady,
            avoid=path.avoid,
            deadline_s=call.deadline_s,
        )
        target = self._router.choose(need, now_s)
        if isinstance(target, NoRoute):
            path.avoid = frozenset()
            self._retries[call.request_id] = now_s + RETRY_ROUTE_S
            return []
        path.attempts += 1
        attempt_id = AttemptId(f'{call.request_id}/{path.attempts}')
        path.attempt_id = attempt_id
        path.target = target
        self._router.dispatched(attempt_id, target.target_id, need, now_s)
        self._ledger.sent(call.request_id, target)
        return [StartWork(attempt_id, target, call, path.done)]

    def _again(self, path: Path, event: Event, now_s: float) -> list[Output]:
        self._forget_attempt(path, now_s, failed=True)
        path.failures += isinstance(event, AttemptFailed)
        if path.failures >= MAX_FAILURES:
            self._paths.pop(path.call.request_id)
            self._admitter.finish(path.call.request_id, 0, path.done, now_s)
            self._ledger.end(path.call.request_id, Ending.CUT, now_s)
            return []
        return self._send(path, now_s)

    def _finish(self, path: Path, attempt_id: AttemptId, now_s: float) -> None:
        call = path.call
        self._forget_attempt(path, now_s, failed=False)
        self._paths.pop(call.request_id)
        self._admitter.finish(
            call.request_id, call.prompt_tokens, call.output_tokens, now_s
        )
        self._ledger.end(call.request_id, Ending.WHOLE, now_s)

    def _leave(self, path: Path, now_s: float) -> list[Output]:
        call = path.call
        self._paths.pop(call.request_id)
        self._retries.pop(call.request_id, None)
        if path.attempt_id is None:
            self._admitter.withdraw(call.request_id, now_s)
            self._ledger.end(call.request_id, Ending.LATE, now_s)
            return []
        attempt_id, target = path.attempt_id, path.target
        self._forget_attempt(path, now_s, failed=False)
        self._admitter.finish(
            call.request_id, call.prompt_tokens, path.done, now_s
        )
        self._ledger.end(call.request_id, Ending.LATE, now_s)
        if target is None:
            return []
        return [
            CancelAttempt(
                call.request_id, attempt_id, target.target_id, target.address
            )
        ]

    def _forget_attempt(
        self, path: Path, now_s: float, *, failed: bool
    ) -> None:
        if path.attempt_id is not None:
            self._router.ended(path.attempt_id, now_s, failed)
        if failed and path.target is not None:
            path.avoid |= {path.target.target_id}
        path.attempt_id = None
        path.target = None

    def _retry(self, now_s: float) -> list[Output]:
        due = [
            self._paths[request_id]
            for request_id, retry_s in self._retries.items()
            if retry_s <= now_s
        ]
        return [output for path in due for output in self._send(path, now_s)]
