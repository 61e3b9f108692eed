"""Calls of callers: whose they are, where they go, how they end."""

import traceback
from collections.abc import Callable
from http import HTTPStatus

import attrs

from dandelionyoke_dispatch import (
    ELSEWHERE_S,
    SOON_S,
    Attempts,
    Call,
    CallKind,
    Cause,
    Departure,
    FleetConfiguration,
    Organisation,
    Refusal,
    Route,
    Service,
    fingerprint,
)
from dandelionyoke_gateway._caller_connection import CallerRequest, Responder
from dandelionyoke_gateway._clock import clock_s
from dandelionyoke_gateway._errors import CallerDisconnectedError
from dandelionyoke_gateway._knowledge import Knowledge
from dandelionyoke_gateway._log import DecisionLog
from dandelionyoke_gateway._messages import ResponseHead
from dandelionyoke_gateway._ports import Dialect, EngineClient
from dandelionyoke_gateway._prefill_queue import PrefillQueue
from dandelionyoke_gateway._rate_limits import (
    Charge,
    OverLimitError,
    RateLimits,
)
from dandelionyoke_gateway._target_pool import TargetPool


@attrs.frozen
class Tools:
    """What every call needs besides its own facts."""

    knowledge: Knowledge
    dialect: Dialect
    pool: TargetPool
    engines: EngineClient
    prefills: PrefillQueue
    limits: RateLimits
    log: DecisionLog
    # Takes the fingerprint of a call, and the id and address of a target
    # that broke it off.
    suspect: Callable[[str, str, str], None]


@attrs.define
class CallContext:
    """A call that was let in, on its way to its end."""

    call: Call
    request: CallerRequest
    responder: Responder
    route: Route
    service: Service
    organisation: Organisation | None
    own_deadline_s: float
    attempts: Attempts
    departure: Departure
    is_usage_counted: bool = False

    @property
    def until_s(self) -> float:
        """When the call must have its answer.

        Its own time, or less where this process ends before.
        """
        end_s = self.departure.answer_by_s()
        if end_s is None:
            return self.own_deadline_s
        return min(self.own_deadline_s, end_s)

    @property
    def fingerprint(self) -> str:
        """What the call and its repetitions have in common."""
        return fingerprint(self.name, self.call.path, self.request.body)

    @property
    def name(self) -> str | None:
        """The organisation for which the call runs."""
        return None if self.organisation is None else self.organisation.name

    @property
    def priority(self) -> int:
        """The priority of the call; the lower goes first."""
        if self.organisation is not None:
            if self.organisation.priority is not None:
                return self.organisation.priority
        return self.route.priority


class RefusedError(Exception):
    """The system ends a call without a target's answer."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.cause.value)
        self.refusal = refusal


CallForwarder = Callable[[Tools, CallContext], None]


class CallDesk:
    """Takes each request of a caller to its answer."""

    def __init__(
        self,
        tools: Tools,
        forward_plain: CallForwarder,
        forward_stream: CallForwarder,
    ) -> None:
        self._tools = tools
        self._carry_plain = forward_plain
        self._carry_stream = forward_stream

    def handle(self, request: CallerRequest, responder: Responder) -> None:
        """Answer a request; returns when the answer was written."""
        knowledge = self._tools.knowledge
        knowledge.in_progress += 1
        try:
            self._answer(request, responder)
        except CallerDisconnectedError:
            raise
        except Exception:
            # A fault of this program must end one call, not the process;
            # the log names it, and the caller sees an answer that promises
            # nothing.
            self._log_fault(request)
        finally:
            knowledge.in_progress -= 1

    def _answer(self, request: CallerRequest, responder: Responder) -> None:
        call = self._tools.dialect.read_call(request.head)
        if call is None:
            bad = ResponseHead(HTTPStatus.BAD_REQUEST, ())
            responder.respond(bad, b'the request names no attempt\n')
            return
        departure = self._tools.knowledge.departure
        if departure.refuses(request.arrived_s):
            elsewhere = Refusal(Cause.LEAVING, ELSEWHERE_S)
            self._refuse(call, responder, elsewhere, Attempts(1))
            return
        try:
            context = self._open(call, request, responder)
        except RefusedError as refused:
            self._refuse(call, responder, refused.refusal, Attempts(1))
            return
        try:
            self._carry(context)
        except RefusedError as refused:
            self._refuse(call, responder, refused.refusal, context.attempts)

    def _open(
        self, call: Call, request: CallerRequest, responder: Responder
    ) -> CallContext:
        """Find the route and the organisation of a call."""
        configuration = self._tools.knowledge.configuration
        if configuration is None:
            raise RefusedError(Refusal(Cause.NO_CONFIGURATION, SOON_S))
        route = configuration.find_route(call.host, call.path)
        if route is None:
            raise RefusedError(Refusal(Cause.NO_ROUTE))
        organisation = self._authenticate(call, route, configuration)
        name = route.choose_service(self._tools.knowledge.random)
        service = configuration.services.get(name)
        if service is None:
            raise RefusedError(Refusal(Cause.NO_TARGET, SOON_S))
        time_s = min(call.time_left_s or route.timeout_s, route.timeout_s)
        return CallContext(
            call,
            request,
            responder,
            route,
            service,
            organisation,
            request.arrived_s + time_s,
            Attempts(route.max_attempts),
            self._tools.knowledge.departure,
        )

    def _authenticate(
        self, call: Call, route: Route, configuration: FleetConfiguration
    ) -> Organisation | None:
        if route.is_anonymous or not configuration.has_organisations:
            return None
        if not self._tools.knowledge.freshness.serves_keys(clock_s()):
            raise RefusedError(Refusal(Cause.STALE_CONFIGURATION, SOON_S))
        organisation = configuration.find_organisation(call.api_key)
        if organisation is None:
            raise RefusedError(Refusal(Cause.UNKNOWN_KEY))
        return organisation

    def _carry(self, context: CallContext) -> None:
        crashes = self._tools.knowledge.crashes
        if crashes.refuses(context.fingerprint, clock_s()):
            refusal = Refusal(Cause.QUARANTINED, crashes.retry_after_s)
            raise RefusedError(refusal)
        charge = self._charge(context)
        try:
            self._carry_by_kind(context)
        finally:
            if charge is not None and not context.attempts.may_have_run:
                self._tools.limits.refund(charge)

    def _carry_by_kind(self, context: CallContext) -> None:
        if context.route.kind is CallKind.STREAM:
            self._carry_stream(self._tools, context)
        else:
            self._carry_plain(self._tools, context)

    def _charge(self, context: CallContext) -> Charge | None:
        """Hold a call against its organisation's limit."""
        organisation = context.organisation
        if organisation is None or organisation.rate_limit is None:
            return None
        charge = Charge(
            context.call.attempt_id,
            organisation.name,
            organisation.rate_limit.amount_of(context.call.prompt),
        )
        try:
            self._tools.limits.take(charge)
        except OverLimitError as over:
            refusal = Refusal(Cause.OVER_LIMIT, over.retry_after_s)
            raise RefusedError(refusal) from over
        return charge

    def _refuse(
        self,
        call: Call,
        responder: Responder,
        refusal: Refusal,
        attempts: Attempts,
    ) -> None:
        status = refusal.status(attempts.may_have_run)
        knowledge = self._tools.knowledge
        configuration = knowledge.configuration
        self._tools.log.decide(
            'call.refused',
            call.attempt_id,
            outcome=str(status),
            cause=refusal.cause.value,
            retry_after_s=refusal.retry_after_s,
            targets=','.join(attempts.targets),
            may_have_run=str(attempts.may_have_run),
            version=configuration.version if configuration else None,
            knowledge_age_s=knowledge.freshness.age_s(clock_s()),
        )
        if responder.has_started:
            return
        retry_after_s = refusal.retry_after_s
        if attempts.may_have_run:
            retry_after_s = None
        head = self._tools.dialect.refusal_head(status, retry_after_s)
        responder.respond(head, f'{refusal.cause.value}\n'.encode())

    def _log_fault(self, request: CallerRequest) -> None:
        self._tools.log.decide(
            'call.fault',
            request.head.target,
            outcome='closed',
            cause=traceback.format_exc(),
        )
