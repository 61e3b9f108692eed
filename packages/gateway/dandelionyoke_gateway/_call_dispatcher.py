"""Authentication, routing and refusal of the calls of callers."""

import traceback
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from http import HTTPStatus

import attrs

from dandelionyoke_dispatch import (
    DEFAULT_RETRY_AFTER_S,
    INSTANCE_CAUSES,
    OTHER_INSTANCE_RETRY_AFTER_S,
    Attempts,
    Call,
    CallKind,
    Cause,
    FleetConfiguration,
    Organisation,
    Refusal,
    RegisteredTarget,
    Route,
)
from dandelionyoke_gateway._call_context import CallContext
from dandelionyoke_gateway._caller_connection import (
    CallerRequest,
    HandedOver,
    Responder,
    Verdict,
)
from dandelionyoke_gateway._clock import clock_s
from dandelionyoke_gateway._errors import CallerDisconnectedError
from dandelionyoke_gateway._handover import Handover
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
from dandelionyoke_gateway._reach_task import ReachTask
from dandelionyoke_gateway._stream_origin_keeper import StreamOriginKeeper
from dandelionyoke_gateway._target_connection import TargetConnection
from dandelionyoke_gateway._target_gate import TargetGate
from dandelionyoke_gateway._target_pool import TargetPool


@attrs.frozen
class CallDependencies:
    """The dependencies that all calls share."""

    knowledge: Knowledge
    dialect: Dialect
    pool: TargetPool
    engines: EngineClient
    prefill_queue: PrefillQueue
    rate_limits: RateLimits
    log: DecisionLog
    # Reports that a target broke a call off. Takes the fingerprint of the
    # call, and the id and the address of the target.
    probe: Callable[[str, str, str], None]
    target_gate: TargetGate
    reach: ReachTask
    handover: Handover
    origins: StreamOriginKeeper

    @contextmanager
    def connect_to(
        self, target: RegisteredTarget, *, is_repeatable: bool
    ) -> Iterator[TargetConnection]:
        """Acquire a connection to a target for one exchange.

        Raises:
            TargetLimitedError: the target has asked for rest meanwhile.

        One that may be repeated is given up while it waits for a target, once
        it is known that no target of its service is reached.
        """
        with self.pool.acquire(target.address) as connection:
            # Connecting takes time, in which the target may ask for rest.
            self.target_gate.check_rest(target)
            if connection.is_new:
                self.reach.connected(target)
            connection.give_up = lambda: (
                self.reach.silent(target) and is_repeatable
            )
            yield connection
            connection.give_up = None
            self.reach.heard(target)


class RefusedError(Exception):
    """The gateway refuses a call without the response of a target."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.cause.value)
        self.refusal = refusal


def limited_refusal(
    deps: CallDependencies, context: CallContext
) -> Refusal | None:
    """Return the refusal of a call whose targets take no request now.

    They are at their limits, or have asked for rest.
    """
    if context.attempts.may_have_run:
        return None
    knowledge, now_s = deps.knowledge, clock_s()
    service = context.service.name
    targets = knowledge.placement.limited_targets(service, now_s)
    if not targets:
        return _rest_refusal(knowledge, service)
    retry_after_s = knowledge.target_limits.retry_after_s(
        service, targets, knowledge.node_count, now_s
    )
    return Refusal(Cause.TARGETS_LIMITED, retry_after_s)


def _rest_refusal(knowledge: Knowledge, service: str) -> Refusal | None:
    now_s = clock_s()
    targets = knowledge.placement.resting_targets(service, now_s)
    if not targets:
        return None
    retry_after_s = knowledge.rests.retry_after_s(targets, now_s)
    return Refusal(Cause.TARGETS_RESTING, retry_after_s)


def charge_retry(
    deps: CallDependencies, context: CallContext, sends: int
) -> bool:
    """Charge what is sent once more; False if the budget does not allow it."""
    if not sends:
        return True
    verdict = deps.knowledge.budget.try_charge(
        context.service.name, clock_s(), sends
    )
    deps.log.decide(
        'retry.charged',
        context.call.attempt_id,
        outcome='allowed' if verdict.is_allowed else 'refused',
        service=context.service.name,
        sends=sends,
        spent=verdict.spent,
        allowed=verdict.allowed,
        calls=verdict.calls,
        nodes=verdict.node_count,
    )
    return verdict.is_allowed


CallForwarder = Callable[[CallDependencies, CallContext], None]


class CallDispatcher:
    """Admits the requests of callers and hands them to a forwarder."""

    def __init__(
        self,
        deps: CallDependencies,
        forward_plain: CallForwarder,
        forward_stream: CallForwarder,
    ) -> None:
        self._deps = deps
        self._forward_plain = forward_plain
        self._forward_stream = forward_stream

    def handle(self, request: CallerRequest, responder: Responder) -> None:
        """Serve a request and return once the response is written."""
        knowledge = self._deps.knowledge
        knowledge.in_progress += 1
        try:
            self._serve(request, responder)
        except CallerDisconnectedError:
            raise
        except Exception:
            # A bug must end one call, not the process. It is logged, and
            # the connection of the caller closes without a complete
            # response, which leaves open whether the call ran.
            self._log_internal_error(request)
        finally:
            knowledge.in_progress -= 1

    def _serve(self, request: CallerRequest, responder: Responder) -> None:
        call = self._deps.dialect.read_call(request.head)
        if call is None:
            bad_request = ResponseHead(HTTPStatus.BAD_REQUEST, ())
            responder.respond(bad_request, b'the request names no attempt\n')
            return
        shutdown = self._deps.knowledge.shutdown
        if shutdown.refuses(request.arrived_s):
            leaving = Refusal(Cause.LEAVING, OTHER_INSTANCE_RETRY_AFTER_S)
            self._refuse(call, responder, leaving, Attempts(1))
            return
        try:
            context = self._admit(call, request, responder)
        except RefusedError as error:
            self._refuse(call, responder, error.refusal, Attempts(1))
            return
        try:
            self._forward(context)
        except RefusedError as error:
            self._refuse(call, responder, error.refusal, context.attempts)

    def _admit(
        self, call: Call, request: CallerRequest, responder: Responder
    ) -> CallContext:
        """Find the route, the organisation and the service of a call."""
        configuration = self._deps.knowledge.configuration
        if configuration is None:
            raise RefusedError(
                Refusal(Cause.NO_CONFIGURATION, DEFAULT_RETRY_AFTER_S)
            )
        route = configuration.find_route(call.host, call.path)
        if route is None:
            raise RefusedError(Refusal(Cause.NO_ROUTE))
        organisation = self._authenticate(call, route, configuration)
        service = configuration.services.get(self._service_name(route, request))
        if service is None:
            raise RefusedError(Refusal(Cause.NO_TARGET, DEFAULT_RETRY_AFTER_S))
        timeout_s = min(call.time_left_s or route.timeout_s, route.timeout_s)
        attempts, is_usage_counted = Attempts(route.max_attempts), False
        handed_over = request.handed_over
        if handed_over is not None:
            attempts = _attempts_left(route, handed_over)
            is_usage_counted = handed_over.is_usage_counted
            call = attrs.evolve(call, last_event_id=handed_over.last_event_id)
        return CallContext(
            call,
            request,
            responder,
            route,
            service,
            organisation,
            request.arrived_s + timeout_s,
            attempts,
            self._deps.knowledge.shutdown,
            is_usage_counted,
        )

    def _service_name(self, route: Route, request: CallerRequest) -> str:
        """Choose a service; a handed call keeps the one chosen for it."""
        handed_over = request.handed_over
        if handed_over is not None:
            names = {share.service for share in route.shares}
            if handed_over.service in names:
                return handed_over.service
        return route.choose_service(self._deps.knowledge.random)

    def _authenticate(
        self, call: Call, route: Route, configuration: FleetConfiguration
    ) -> Organisation | None:
        if route.is_anonymous or not configuration.has_organisations:
            return None
        if not self._deps.knowledge.freshness.may_accept_keys(clock_s()):
            raise RefusedError(
                Refusal(Cause.STALE_CONFIGURATION, DEFAULT_RETRY_AFTER_S)
            )
        organisation = configuration.find_organisation(call.api_key)
        if organisation is None:
            raise RefusedError(Refusal(Cause.UNKNOWN_KEY))
        return organisation

    def _forward(self, context: CallContext) -> None:
        if context.request.handed_over is None:
            # The node that took the call from its caller has counted it.
            self._deps.knowledge.budget.add_call(
                context.service.name, clock_s()
            )
        crashes = self._deps.knowledge.crashes
        if crashes.refuses(context.fingerprint, clock_s()):
            refusal = Refusal(Cause.QUARANTINED, crashes.retry_after_s)
            raise RefusedError(refusal)
        self._check_reach(context)
        charge = self._charge(context)
        try:
            self._forward_by_kind(context)
        finally:
            if charge is not None and not context.attempts.may_have_run:
                self._deps.rate_limits.refund(charge)

    def _check_reach(self, context: CallContext) -> None:
        """Decline a handed call at once that another node can serve.

        Raises:
            RefusedError: this node reaches no target either.
        """
        if context.request.handed_over is None:
            return
        if self._deps.knowledge.reach.is_cut_off(context.service.name):
            raise RefusedError(Refusal(Cause.NO_TARGET, DEFAULT_RETRY_AFTER_S))

    def _forward_by_kind(self, context: CallContext) -> None:
        if context.route.kind is CallKind.STREAM:
            self._forward_stream(self._deps, context)
        else:
            self._forward_plain(self._deps, context)

    def _charge(self, context: CallContext) -> Charge | None:
        """Charge a call against the rate limit of its organisation."""
        organisation = context.organisation
        if organisation is None or organisation.rate_limit is None:
            return None
        if context.request.handed_over is not None:
            # The node that took the call from its caller has charged it.
            return None
        charge = Charge(
            context.call.attempt_id,
            organisation.name,
            organisation.rate_limit.amount_of(context.call.prompt),
        )
        try:
            self._deps.rate_limits.charge(charge)
        except OverLimitError as error:
            refusal = Refusal(Cause.OVER_LIMIT, error.retry_after_s)
            raise RefusedError(refusal) from error
        return charge

    def _refuse(
        self,
        call: Call,
        responder: Responder,
        refusal: Refusal,
        attempts: Attempts,
    ) -> None:
        status = refusal.status(attempts.may_have_run)
        knowledge = self._deps.knowledge
        configuration = knowledge.configuration
        self._deps.log.decide(
            'call.refused',
            call.attempt_id,
            outcome=str(status),
            cause=refusal.cause.value,
            retry_after_s=refusal.retry_after_s,
            targets=','.join(attempts.targets),
            may_have_run=str(attempts.may_have_run),
            has_begun=str(responder.has_started),
            version=configuration.version if configuration else None,
            knowledge_age_s=knowledge.freshness.age_s(clock_s()),
        )
        if responder.has_started:
            return
        retry_after_s = refusal.retry_after_s
        if attempts.may_have_run:
            retry_after_s = None
        head = self._deps.dialect.refusal_head(status, retry_after_s)
        responder.refuse(
            head,
            f'{refusal.cause.value}\n'.encode(),
            Verdict(
                attempts.may_have_run,
                not attempts.may_have_run and refusal.cause in INSTANCE_CAUSES,
                attempts.is_sent,
                attempts.is_prefill_sent,
            ),
        )

    def _log_internal_error(self, request: CallerRequest) -> None:
        self._deps.log.decide(
            'call.fault',
            request.head.target,
            outcome='closed',
            cause=traceback.format_exc(),
        )


def _attempts_left(route: Route, handed_over: HandedOver) -> Attempts:
    """Return the attempts of a call after those at the node it came from."""
    attempts = Attempts(min(route.max_attempts, handed_over.attempts_left))
    attempts.add_sent(
        is_sent=handed_over.is_sent,
        is_prefill_sent=handed_over.is_prefill_sent,
    )
    return attempts
