"""Authentication, routing and refusal of the calls of callers."""

import traceback
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from http import HTTPStatus

import attrs
import eventlet

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
    Service,
    crash_keys,
)
from dandelionyoke_gateway._call_context import CallContext
from dandelionyoke_gateway._caller_connection import (
    CallerRequest,
    HandedOver,
    Responder,
    Verdict,
)
from dandelionyoke_gateway._clock import clock_s
from dandelionyoke_gateway._crash_task import CrashReports
from dandelionyoke_gateway._errors import (
    CallerDisconnectedError,
    ExchangeError,
)
from dandelionyoke_gateway._handed_terms import (
    organisation_of,
    route_of,
    service_of,
)
from dandelionyoke_gateway._handover import Handover
from dandelionyoke_gateway._knowledge import Knowledge
from dandelionyoke_gateway._log import DecisionLog
from dandelionyoke_gateway._messages import ResponseHead
from dandelionyoke_gateway._misdirected_calls import MisdirectedCalls
from dandelionyoke_gateway._ports import Dialect, IdentifyingEngineClient
from dandelionyoke_gateway._prefill_queue import PrefillQueue
from dandelionyoke_gateway._rate_limits import (
    Charge,
    OverLimitError,
    RateLimits,
)
from dandelionyoke_gateway._reach_task import ReachTask
from dandelionyoke_gateway._silence import (
    SILENCE_S,
    Silence,
    SilenceWatch,
)
from dandelionyoke_gateway._stream_origin_keeper import StreamOriginKeeper
from dandelionyoke_gateway._target_connection import TargetConnection
from dandelionyoke_gateway._target_gate import TargetGate
from dandelionyoke_gateway._target_pool import (
    BRIEF_CONNECT_TIMEOUT_S,
    CONNECT_TIMEOUT_S,
    TargetPool,
)


@attrs.frozen
class CallDependencies:
    """The dependencies that all calls share."""

    knowledge: Knowledge
    dialect: Dialect
    pool: TargetPool
    engines: IdentifyingEngineClient
    prefill_queue: PrefillQueue
    rate_limits: RateLimits
    log: DecisionLog
    crash_reports: CrashReports
    target_gate: TargetGate
    reach: ReachTask
    handover: Handover
    origins: StreamOriginKeeper
    misdirected: MisdirectedCalls = attrs.field(init=False)

    @misdirected.default
    def _new_misdirected(self) -> MisdirectedCalls:
        return MisdirectedCalls(
            self.knowledge, self.engines, self.crash_reports, self.log
        )

    @contextmanager
    def connect_to(
        self,
        target: RegisteredTarget,
        context: CallContext,
        watch: SilenceWatch,
    ) -> Iterator[TargetConnection]:
        """Acquire a connection to a target for one exchange of a call.

        Raises:
            TargetLimitedError: the target has asked for rest meanwhile.
        """
        timeout_s = CONNECT_TIMEOUT_S
        if self.knowledge.speeds.is_balanced(target.service):
            timeout_s = BRIEF_CONNECT_TIMEOUT_S
        with self.pool.acquire(
            target.address, context.call.attempt_id, timeout_s
        ) as connection:
            # Connecting takes time, in which the target may ask for rest.
            self.target_gate.check_rest(target)
            if connection.is_new:
                self.reach.connected(target)
            connection.on_silence = lambda silent_s: watch.silent(
                Silence(target, silent_s, self.reach.silent(target))
            )
            connection.on_data = watch.heard
            with self._reports_silence(target, context, connection):
                yield connection
            connection.on_silence = None
            connection.on_data = None
            self.reach.heard(target)

    @contextmanager
    def _reports_silence(
        self,
        target: RegisteredTarget,
        context: CallContext,
        connection: TargetConnection,
    ) -> Iterator[None]:
        """Report a call that ends for a reason of its own in a silence.

        Its caller has left, or another target has answered. Failures of the
        exchange are reported where they are recorded.
        """
        try:
            yield
        except ExchangeError:
            raise
        except BaseException:
            if connection.silent_s >= SILENCE_S:
                settled_s = self.knowledge.crashes.settings.settled_s
                keys = context.suspect_keys(
                    target.target_id, settled_s, clock_s()
                )
                self.crash_reports.gave_up(target, keys)
            raise


# Another node can take the call at once.
LEAVING_REFUSAL = Refusal(Cause.LEAVING, OTHER_INSTANCE_RETRY_AFTER_S)


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


class GraceEndedError(Exception):
    """This node ends before the answer to a call has begun."""


def check_send(deps: CallDependencies, context: CallContext) -> None:
    """Check that a call may be sent to a target; call before each send.

    Raises:
        RefusedError: this node may end before the call does, or the call is
            known or suspected to crash targets.
    """
    check_grace(deps, context)
    refused_s = _admit_beside_crashes(deps, context)
    if refused_s is not None:
        raise RefusedError(Refusal(Cause.QUARANTINED, refused_s))
    context.checked_s = clock_s()


def check_grace(deps: CallDependencies, context: CallContext) -> None:
    """Check that a call that is sent now is expected to end in time.

    The rest of an answer that has begun is sent for in any case: no other node
    could go on with it.

    Raises:
        RefusedError: this node may end before the call does.
    """
    if not context.shutdown.is_leaving or context.responder.has_started:
        return
    expected_s = deps.knowledge.answer_times.expected_s(context.route.name)
    if context.shutdown.refuses_send(
        clock_s(), context.own_deadline_s, expected_s
    ):
        raise RefusedError(LEAVING_REFUSAL)


def record_answer(deps: CallDependencies, context: CallContext) -> None:
    """Record how long a target took for a whole answer."""
    if context.checked_s is not None:
        deps.knowledge.answer_times.add(
            context.route.name, clock_s() - context.checked_s
        )


def _admit_beside_crashes(
    deps: CallDependencies, context: CallContext
) -> float | None:
    """Return for how long a call is refused; None if it may be sent."""
    knowledge, now_s = deps.knowledge, clock_s()
    crashes, may_have_run = knowledge.crashes, context.attempts.may_have_run
    if context.is_trial:
        return DEFAULT_RETRY_AFTER_S if may_have_run else None
    verdict = crashes.admit(context.crash_keys, now_s, knowledge.tries_key)
    context.is_trial = verdict.is_trial
    if verdict.key:
        deps.log.decide(
            'call.quarantined',
            context.call.attempt_id,
            outcome='tried' if verdict.is_trial else 'refused',
            key=verdict.key,
            refused_s=verdict.refused_s,
        )
        return verdict.refused_s
    if may_have_run and not crashes.may_repeat(context.crash_keys, now_s):
        deps.log.decide(
            'call.quarantined',
            context.call.attempt_id,
            outcome='not repeated',
            key=','.join(context.crash_keys.all),
        )
        return DEFAULT_RETRY_AFTER_S
    return None


@attrs.frozen
class _Admission:
    """What a configuration grants a call."""

    route: Route
    service: Service
    organisation: Organisation | None
    deadline_s: float
    key_age_s: float | None


@attrs.frozen(eq=False)
class _BegunCall:
    """A call and the green thread that handles it."""

    thread: eventlet.greenlet.greenlet
    responder: Responder


CallForwarder = Callable[[CallDependencies, CallContext], None]
_WriteRefusal = Callable[[ResponseHead, bytes, Verdict], None]


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
        self._begun: set[_BegunCall] = set()

    def end_unanswered(self) -> None:
        """Answer the calls whose answer has not begun, whatever they await.

        Those that may have run are answered so, the others refused.
        """
        for call in self._begun:
            # The event loop throws the error, as it does that of a timeout.
            eventlet.hubs.get_hub().schedule_call_global(
                0, self._end_unanswered, call
            )

    def _end_unanswered(self, call: _BegunCall) -> None:
        # It may have ended, or its answer may have begun.
        if call in self._begun and not call.responder.has_started:
            self._begun.discard(call)
            call.thread.throw(GraceEndedError())

    def handle(self, request: CallerRequest, responder: Responder) -> None:
        """Serve a request and return once the response is written."""
        knowledge = self._deps.knowledge
        knowledge.in_progress += 1
        try:
            self._serve(request, responder)
        finally:
            knowledge.in_progress -= 1

    def _serve(self, request: CallerRequest, responder: Responder) -> None:
        context: CallContext | None = None
        with self._answers_errors(request, responder, Attempts(1)):
            context = self._accept(request, responder)
        if context is None:
            return
        with self._answers_errors(request, responder, context.attempts):
            self._forward_or_refuse(context)

    @contextmanager
    def _answers_errors(
        self,
        request: CallerRequest,
        responder: Responder,
        attempts: Attempts,
    ) -> Iterator[None]:
        """Refuse a call when its handling fails by an error of ours.

        A bug must end one call, not the process. A response that has begun
        is left without its end.
        """
        try:
            yield
        except CallerDisconnectedError:
            raise
        except Exception:
            self._log_internal_error(request, responder, attempts)
            if not responder.has_started:
                refusal = Refusal(Cause.FAULT, DEFAULT_RETRY_AFTER_S)
                self._answer(responder.fail, refusal, attempts)

    def _accept(
        self, request: CallerRequest, responder: Responder
    ) -> CallContext | None:
        """Admit a request; None if it was refused."""
        call = self._deps.dialect.read_call(request.head)
        if call is None:
            bad_request = ResponseHead(HTTPStatus.BAD_REQUEST, ())
            responder.respond(bad_request, b'the request names no attempt\n')
            return None
        try:
            self._check_shutdown()
            return self._admit(call, request, responder)
        except RefusedError as error:
            self._refuse(call, responder, error.refusal, Attempts(1))
        return None

    def _check_shutdown(self) -> None:
        """Refuse what is complete too late to be served before this node ends.

        Its body may have taken long.

        Raises:
            RefusedError: it is.
        """
        if self._deps.knowledge.shutdown.refuses(clock_s()):
            raise RefusedError(LEAVING_REFUSAL)

    def _forward_or_refuse(self, context: CallContext) -> None:
        call = _BegunCall(eventlet.getcurrent(), context.responder)
        self._begun.add(call)
        try:
            self._forward(context)
        except RefusedError as error:
            refusal = error.refusal
        except GraceEndedError:
            refusal = LEAVING_REFUSAL
            if context.attempts.may_have_run:
                refusal = Refusal(Cause.OUT_OF_TIME)
        else:
            return
        finally:
            self._begun.discard(call)
        self._refuse(context.call, context.responder, refusal, context.attempts)

    def _admit(
        self, call: Call, request: CallerRequest, responder: Responder
    ) -> CallContext:
        """Find the route, the organisation and the service of a call."""
        configuration = self._deps.knowledge.configuration
        if configuration is None:
            raise RefusedError(
                Refusal(Cause.NO_CONFIGURATION, DEFAULT_RETRY_AFTER_S)
            )
        handed_over = request.handed_over
        if handed_over is not None:
            call = attrs.evolve(call, last_event_id=handed_over.last_event_id)
        admission = self._keep_terms(handed_over, configuration)
        if admission is None:
            admission = self._grant(call, request, configuration)
        attempts, is_usage_counted = (
            Attempts(admission.route.max_attempts),
            False,
        )
        if handed_over is not None:
            attempts = _attempts_left(admission.route, handed_over)
            is_usage_counted = handed_over.is_usage_counted
        organisation = admission.organisation
        organisation_name = None if organisation is None else organisation.name
        return CallContext(
            call,
            request,
            responder,
            admission.route,
            admission.service,
            admission.organisation,
            admission.deadline_s,
            attempts,
            self._deps.knowledge.shutdown,
            crash_keys(
                call,
                organisation_name,
                admission.service.name,
                request.body,
            ),
            is_usage_counted,
            admission.key_age_s,
        )

    def _keep_terms(
        self, handed_over: HandedOver | None, configuration: FleetConfiguration
    ) -> _Admission | None:
        """Admit a handed call as the node that took it did.

        None if an older program sent no terms, or if the key of the call was
        accepted by a configuration that was too old for this node.
        """
        if handed_over is None or handed_over.terms is None:
            return None
        terms, service = handed_over.terms, handed_over.service
        freshness = self._deps.knowledge.freshness
        if terms.key_age_s is not None:
            if not freshness.may_accept_keys_of(terms.key_age_s):
                return None
        return _Admission(
            route_of(terms, service, handed_over.attempts_left),
            service_of(configuration, service),
            organisation_of(terms),
            handed_over.received_s + terms.time_left_s,
            terms.key_age_s,
        )

    def _grant(
        self,
        call: Call,
        request: CallerRequest,
        configuration: FleetConfiguration,
    ) -> _Admission:
        """Admit a call by the configuration in force."""
        route = configuration.find_route(call.host, call.path)
        if route is None:
            raise RefusedError(Refusal(Cause.NO_ROUTE))
        organisation = self._authenticate(call, route, configuration)
        service = configuration.services.get(self._service_name(route, request))
        if service is None:
            raise RefusedError(Refusal(Cause.NO_TARGET, DEFAULT_RETRY_AFTER_S))
        timeout_s = min(call.time_left_s or route.timeout_s, route.timeout_s)
        key_age_s = None
        if organisation is not None:
            key_age_s = self._deps.knowledge.freshness.age_s(clock_s())
        return _Admission(
            route,
            service,
            organisation,
            request.arrived_s + timeout_s,
            key_age_s,
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
        check_send(self._deps, context)
        self._check_handed(context)
        charge = self._charge(context)
        try:
            self._forward_by_kind(context)
        finally:
            if charge is not None and not context.attempts.may_have_run:
                self._deps.rate_limits.refund(charge)

    def _check_handed(self, context: CallContext) -> None:
        """Decline a handed call at once that another node can serve.

        Raises:
            RefusedError: this node reaches no target either, or ends before
                the call must.
        """
        if context.request.handed_over is None:
            return
        if context.is_cut_short:
            raise RefusedError(LEAVING_REFUSAL)
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
        if not responder.has_started:
            self._answer(responder.refuse, refusal, attempts)

    def _answer(
        self, write: _WriteRefusal, refusal: Refusal, attempts: Attempts
    ) -> None:
        retry_after_s = refusal.retry_after_s
        if attempts.may_have_run:
            retry_after_s = None
        status = refusal.status(attempts.may_have_run)
        head = self._deps.dialect.refusal_head(status, retry_after_s)
        write(
            head,
            f'{refusal.cause.value}\n'.encode(),
            Verdict(
                attempts.may_have_run,
                not attempts.may_have_run and refusal.cause in INSTANCE_CAUSES,
                attempts.is_sent,
                attempts.is_prefill_sent,
                tuple(sorted(attempts.tried.refusing_ids)),
            ),
        )

    def _log_internal_error(
        self,
        request: CallerRequest,
        responder: Responder,
        attempts: Attempts,
    ) -> None:
        self._deps.log.decide(
            'call.fault',
            request.head.target,
            outcome='cut' if responder.has_started else 'refused',
            cause=traceback.format_exc(),
            targets=','.join(attempts.targets),
            may_have_run=str(attempts.may_have_run),
        )


def _attempts_left(route: Route, handed_over: HandedOver) -> Attempts:
    """Return the attempts of a call after those at the node it came from."""
    attempts = Attempts(min(route.max_attempts, handed_over.attempts_left))
    attempts.add_sent(
        is_sent=handed_over.is_sent,
        is_prefill_sent=handed_over.is_prefill_sent,
    )
    attempts.tried.add_refusing(handed_over.refusing_ids)
    return attempts
