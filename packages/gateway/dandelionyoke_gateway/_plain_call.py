"""Forwards a call to a plain service, which sends one buffered response."""

import contextlib
import math
from http import HTTPStatus

import attrs

from dandelionyoke_dispatch import (
    PROMISED_STATUSES,
    AliveSpan,
    Cause,
    Refusal,
    RegisteredTarget,
)
from dandelionyoke_gateway._answer_memory import AnswerMemory
from dandelionyoke_gateway._call_context import CallContext
from dandelionyoke_gateway._call_dispatcher import (
    LEAVING_REFUSAL,
    CallDependencies,
    RefusedError,
    check_grace,
    check_send,
    limited_refusal,
    record_answer,
)
from dandelionyoke_gateway._clock import clock_s, stalled_s
from dandelionyoke_gateway._errors import ExchangeError, ExchangeTimeoutError
from dandelionyoke_gateway._messages import ResponseHead
from dandelionyoke_gateway._plain_turns import (
    DirectTurns,
    LogInputs,
    NoRoomError,
    PlainTurns,
)
from dandelionyoke_gateway._ports import Forwarding, ResponseFacts
from dandelionyoke_gateway._queued_turns import QueuedTurns
from dandelionyoke_gateway._retry_account import (
    RetryAccount,
    RetryDeniedError,
)
from dandelionyoke_gateway._silence import (
    HANDED_STALL_TIMEOUT_S,
    SECOND_TRY_POLL_S,
    SILENCE_S,
    PatientWatch,
    SecondTry,
    Silence,
    SilenceWatch,
    SupersededError,
)
from dandelionyoke_gateway._target_connection import TargetConnection
from dandelionyoke_gateway._target_gate import TargetLimitedError

MAX_RESPONSE_BYTES = 8388608
# After this many the service as a whole is overloaded, and the caller is asked
# to retry later.
MAX_SENDS = 4


@attrs.frozen
class BufferedResponse:
    """The complete response of a target."""

    head: ResponseHead
    facts: ResponseFacts
    body: bytes = attrs.field(repr=False)
    # Since when the target has run at least, by its connection.
    alive_since_s: float = math.inf
    # Whether its connection has carried nothing before.
    is_first: bool = False


def forward_plain_call(deps: CallDependencies, context: CallContext) -> None:
    """Send a call to one target after another until one responds."""
    memory = AnswerMemory(
        deps.knowledge.client_resources.answers, context.deadline_s
    )
    with contextlib.closing(memory):
        response = _PlainCall(deps, context, memory).find_response()
        head = deps.dialect.response_head(response.head)
        memory.begin_writing()
        context.responder.respond(head, response.body)


class _PlainCall:
    """The attempts to get the response to one call."""

    def __init__(
        self, deps: CallDependencies, context: CallContext, memory: AnswerMemory
    ) -> None:
        self._deps = deps
        self._memory = memory
        self._knowledge = deps.knowledge
        self._context = context
        self._retries = RetryAccount(deps, context)
        self._turns = _new_turns(deps, context)
        self._cause = Cause.NO_TARGET
        # The number of the last attempt at a target.
        self._attempt = -1
        self._sent_s = 0.0
        # A 5xx response of a target, used if no other target does better.
        self._error_response: BufferedResponse | None = None
        # A try at another node, made while this one reaches no target.
        self._second: SecondTry[BufferedResponse | None] | None = None

    def find_response(self) -> BufferedResponse:
        """Ask one target after another until one gives a final response.

        Raises:
            RefusedError: no target did.
        """
        try:
            return self._find_response()
        finally:
            self.heard()

    def silent(self, silence: Silence) -> float:
        """Let another node try while this one reaches no target.

        Raises:
            SupersededError: the other node has responded.
        """
        second = self._second
        if second is not None and not second.is_done:
            return SECOND_TRY_POLL_S
        if second is not None and second.has_succeeded:
            raise SupersededError
        if second is not None:
            self._log_failed_try(second)
            self._second = None
            return SILENCE_S
        if not self._should_try_elsewhere(silence):
            return SILENCE_S
        self._second = SecondTry(self._try_elsewhere)
        return SECOND_TRY_POLL_S

    def heard(self) -> None:
        """End the try at another node."""
        if self._second is not None:
            self._second.cancel()
            self._second = None

    def _find_response(self) -> BufferedResponse:
        for _ in range(MAX_SENDS):
            target = self._next_target()
            # It may be needed by now if the call has waited.
            if target is None and not self._is_handover_needed():
                break
            response = self._send_once(target)
            if response is not None:
                return response
        if self._error_response is not None:
            return self._error_response
        if self._cause is Cause.LEAVING:
            raise RefusedError(LEAVING_REFUSAL)
        raise RefusedError(
            limited_refusal(self._deps, self._context)
            or Refusal(self._cause, self._turns.retry_after_s(self._cause))
        )

    def _log_failed_try(
        self, second: SecondTry[BufferedResponse | None]
    ) -> None:
        self._deps.log.decide(
            'plain.silent',
            self._context.call.attempt_id,
            outcome='try failed',
            cause=second.cause,
        )

    def _should_try_elsewhere(self, silence: Silence) -> bool:
        is_node_silent = (
            silence.target is None
            and silence.duration_s >= HANDED_STALL_TIMEOUT_S
        )
        is_needed = silence.is_cut_off or is_node_silent
        return is_needed and self._is_handover_needed()

    def _is_handover_needed(self) -> bool:
        return self._deps.handover.is_needed(self._context)

    @property
    def _watch(self) -> SilenceWatch:
        """What decides while the target of the first try is silent."""
        return self if self._context.route.is_repeatable else PatientWatch()

    def _hand_over(self, watch: SilenceWatch) -> BufferedResponse | None:
        """Let another node serve the call; None if none can."""
        context = self._context
        if not context.attempts.may_run_again(context.route.is_repeatable):
            return None
        try:
            check_grace(self._deps, context)
        except RefusedError as error:
            self._cause = error.refusal.cause
            return None
        try:
            with self._deps.handover.exchange(
                context, watch, context.call.last_event_id
            ) as call:
                body = call.read_body(context.deadline_s, self._memory.take)
        except SupersededError:
            return self._wait_for_second()
        except ExchangeError as error:
            self._cause = Cause.BROKEN
            if isinstance(error, ExchangeTimeoutError):
                self._cause = Cause.OUT_OF_TIME
            return None
        if call.may_have_run:
            # The node that sent the call to a target has counted it.
            context.is_usage_counted = True
            context.attempts.ran(call.attempt)
        else:
            context.attempts.refused(call.attempt)
            if context.attempts.may_have_run:
                # The other node does not know of the runs at this one.
                self._cause = Cause.BROKEN
                return None
        facts = self._deps.dialect.read_response(call.head)
        return BufferedResponse(call.head, facts, body)

    def _try_elsewhere(self) -> BufferedResponse | None:
        """Let another node serve the call; None unless that succeeds."""
        response = self._hand_over(PatientWatch())
        is_success = response is not None and response.head.is_success
        return response if is_success else None

    def _next_target(self) -> RegisteredTarget | None:
        """Return the target for the next send; None if another node serves."""
        context = self._context
        if self._is_handover_needed():
            return None
        now_s = clock_s()
        if now_s >= context.deadline_s:
            self._cause = Cause.OUT_OF_TIME
            return None
        if self._deps.handover.cannot_be_served(context):
            return None
        if not context.attempts.may_run_again(context.route.is_repeatable):
            return None
        if not self._is_sendable() or not self._may_take_turn():
            return None
        target = self._choose_target()
        is_sendable = not self._turns.has_waited or self._is_sendable()
        return target if target and is_sendable and self._may_send() else None

    def _is_sendable(self) -> bool:
        """Whether the call may be sent to a target now."""
        try:
            check_send(self._deps, self._context)
        except RefusedError as error:
            # A response that is ready still goes to the caller.
            self._cause = error.refusal.cause
            return False
        return True

    def _may_take_turn(self) -> bool:
        """Whether the call may wait; charges a retry before it does."""
        return not self._turns.is_queued or self._may_send()

    def _may_send(self) -> bool:
        """Whether the call may be sent now; charges a retry."""
        # The first send is no retry, even if connections failed before it.
        try:
            self._retries.reserve(int(self._context.attempts.is_sent))
        except RetryDeniedError:
            return False
        return True

    def _choose_target(self) -> RegisteredTarget | None:
        """Choose a target that takes a request now; None if there is none."""
        context = self._context
        while clock_s() < context.deadline_s:
            try:
                target = self._turns.take()
            except NoRoomError:
                self._cause = Cause.NO_ROOM
                if context.is_cut_short:
                    self._cause = Cause.LEAVING
                return None
            if target is None:
                return None
            try:
                self._deps.target_gate.enter(target, context.call.attempt_id)
            except TargetLimitedError:
                # It is passed over from now on.
                continue
            return target
        return None

    def _send_once(
        self, target: RegisteredTarget | None
    ) -> BufferedResponse | None:
        """Send the call to a target, or to another node if there is none."""
        if target is None:
            return self._hand_over(self._watch)
        # Another call may have its place afterwards.
        try:
            return self._send_to(target)
        finally:
            self._turns.ended()

    def _send_to(self, target: RegisteredTarget) -> BufferedResponse | None:
        """Send the call to one target; None to go on with the next target."""
        self._context.tried.ids.add(target.target_id)
        self._knowledge.loads.call_started(target.target_id)
        try:
            response = self._exchange(target)
        except (TargetLimitedError, RetryDeniedError):
            # It asked for rest, or another try sent the call, while the
            # connection was made.
            return None
        except SupersededError:
            record_failure(self._deps, self._context, target, superseded())
            return self._wait_for_second()
        except ExchangeError as error:
            self._cause = record_failure(
                self._deps, self._context, target, error
            )
            return self._wait_for_second()
        finally:
            self._knowledge.loads.call_ended(target.target_id)
        return self._evaluate(target, response)

    def _wait_for_second(self) -> BufferedResponse | None:
        """Return the response of another node that is trying, if any."""
        if self._second is None:
            return None
        return self._second.wait()

    def _exchange(self, target: RegisteredTarget) -> BufferedResponse:
        context = self._context
        forwarding = Forwarding(
            target_id=target.target_id,
            time_left_s=context.deadline_s - clock_s(),
            organisation=context.organisation_name,
            last_event_id=context.call.last_event_id,
        )
        head = self._deps.dialect.call_head(context.request.head, forwarding)
        with self._deps.connect_to(target, context, self._watch) as connection:
            sent_s = clock_s()
            self._sent_s = sent_s
            self._attempt = self._retries.call_sent(target.target_id)
            connection.send(head, context.request.body)
            response_head = connection.read_head(context.deadline_s)
            facts = self._deps.dialect.read_response(response_head)
            validate_attempt_id(facts, context, connection)
            # What a target says of itself holds if its body is cut off, too.
            apply_response_facts(self._deps, context, target, facts)
            body = connection.read_body(
                context.deadline_s, MAX_RESPONSE_BYTES, self._memory.take
            )
            validate_response(response_head, facts, context, connection)
        if facts.is_signed and not facts.is_not_run:
            count_usage_once(self._deps, context, sent_s)
        return BufferedResponse(
            response_head,
            facts,
            body,
            connection.opened_s,
            is_first=connection.is_new,
        )

    def _evaluate(
        self, target: RegisteredTarget, response: BufferedResponse
    ) -> BufferedResponse | None:
        """Return the response if it goes to the caller, else None."""
        loads, facts = self._knowledge.loads, response.facts
        self._log_response(target, response)
        if facts.is_not_run:
            self._context.take_refusal(self._attempt, target.target_id)
            self._record_refusal(target, facts)
            self._cause = Cause.NO_RETRY
            return None
        self._context.attempts.ran(self._attempt)
        if facts.status < HTTPStatus.INTERNAL_SERVER_ERROR:
            self._record_success(target, response)
            return response
        loads.failed(target.target_id, clock_s())
        if facts.is_signed:
            self._error_response = response
        self._cause = Cause.BROKEN
        return None

    def _record_success(
        self, target: RegisteredTarget, response: BufferedResponse
    ) -> None:
        self._knowledge.loads.succeeded(target.target_id)
        self._turns.answered(target, clock_s() - self._sent_s)
        record_answer(self._deps, self._context)
        self._deps.crash_reports.answered(
            target,
            self._context.crash_keys,
            AliveSpan(response.alive_since_s, self._sent_s),
        )

    def _record_refusal(
        self, target: RegisteredTarget, facts: ResponseFacts
    ) -> None:
        if self._turns.refused(target, facts):
            return
        self._context.tried.add_refusing([target.target_id])
        record_refusal(self._deps, target, facts)

    def _log_response(
        self, target: RegisteredTarget, response: BufferedResponse
    ) -> None:
        context, facts = self._context, response.facts
        since_arrival_s = clock_s() - context.request.arrived_s
        self._deps.log.observe('plain.answer', since_arrival_s)
        self._deps.log.decide(
            'call.answered',
            context.call.attempt_id,
            outcome=target.target_id,
            service=context.service.name,
            status=facts.status,
            not_run=str(facts.is_not_run),
            since_arrival_s=since_arrival_s,
            **send_inputs(
                facts, self._attempt, self._sent_s, is_first=response.is_first
            ),
            **self._turns.log_inputs,
        )


def _new_turns(deps: CallDependencies, context: CallContext) -> PlainTurns:
    """Return how a call gets its turns.

    Targets that tell how slow they are ask to be balanced by it.
    """
    if deps.knowledge.speeds.is_balanced(context.service.name):
        return QueuedTurns(deps, context)
    return DirectTurns(deps, context)


def validate_response(
    head: ResponseHead,
    facts: ResponseFacts,
    context: CallContext,
    connection: TargetConnection,
) -> None:
    """Check that a response belongs to this call and comes from a target.

    Raises:
        ExchangeError: the response must not reach the caller.
    """
    validate_attempt_id(facts, context, connection)
    if head.status in PROMISED_STATUSES and not facts.is_not_run:
        cause = f'status {head.status}, but the call may have run'
        raise ExchangeError(cause, sent=True)
    if head.is_success and not (facts.is_signed and facts.attempt_id):
        raise ExchangeError('a success response without a signature', sent=True)


def validate_attempt_id(
    facts: ResponseFacts, context: CallContext, connection: TargetConnection
) -> None:
    """Check that a response belongs to this call.

    A target may send an extra response to an earlier call or request on the
    connection. One that names no call is taken for this call's only if the
    connection has carried nothing else.

    Raises:
        ExchangeError: the response names another call, or none where it may
            be that to another one.
    """
    if facts.attempt_id == context.call.attempt_id:
        return
    if facts.attempt_id is not None:
        raise ExchangeError('the response belongs to another call', sent=True)
    if not connection.is_new:
        raise ExchangeError('the response names no call', sent=True)


def send_inputs(
    facts: ResponseFacts, attempt: int, sent_s: float, *, is_first: bool
) -> LogInputs:
    """Return what connects an answer with the send that it is taken for.

    `is_first` is whether the connection has carried nothing before.
    """
    return {
        'attempt': attempt,
        'took_s': clock_s() - sent_s,
        'is_named': str(facts.attempt_id is not None),
        'is_first': str(is_first),
    }


def count_usage_once(
    deps: CallDependencies, context: CallContext, started_s: float
) -> None:
    """Count the usage of a call once, however often it is retried."""
    if context.is_usage_counted:
        return
    context.is_usage_counted = True
    if context.organisation_name is not None:
        deps.knowledge.usage.count_call(context.organisation_name, started_s)


def apply_response_facts(
    deps: CallDependencies,
    context: CallContext,
    target: RegisteredTarget,
    facts: ResponseFacts,
) -> None:
    """Record what a target reported of itself."""
    deps.target_gate.observe(target, facts)
    is_leaving = facts.is_leaving and not facts.is_misdirected
    context.responder.leaving = target if is_leaving else None
    _apply_load(deps, target, facts)
    if facts.is_misdirected:
        is_engine = context.service.engine is not None
        deps.misdirected.take(target, is_engine=is_engine)


def _apply_load(
    deps: CallDependencies, target: RegisteredTarget, facts: ResponseFacts
) -> None:
    """Record the load that a target reported, unless another one answered."""
    if facts.invalid_load:
        deps.log.decide(
            'target.load',
            target.target_id,
            outcome='left out',
            cause=facts.invalid_load,
        )
    if facts.load is None or facts.is_misdirected:
        return
    knowledge, now_s = deps.knowledge, clock_s()
    knowledge.loads.reported(target.target_id, facts.load.busy, now_s)
    knowledge.plain_loads.reported(target, facts.load, now_s)
    knowledge.room.reported(target, facts.load, now_s)
    if facts.load.slowness is not None:
        knowledge.speeds.observe(target, facts.load.slowness, now_s)


def record_refusal(
    deps: CallDependencies, target: RegisteredTarget, facts: ResponseFacts
) -> None:
    """Record that a target reported not running a call.

    One that asked this node for rest takes calls of others, and its own time
    goes before a cooldown.
    """
    if not facts.rest_s:
        deps.knowledge.loads.refused(target.target_id, clock_s())


def superseded() -> ExchangeTimeoutError:
    """Return the error of an exchange whose place another one took."""
    return ExchangeTimeoutError(
        'silent while another target answered', sent=True
    )


def record_failure(
    deps: CallDependencies,
    context: CallContext,
    target: RegisteredTarget,
    error: ExchangeError,
) -> Cause:
    """Record a failed exchange and return its cause."""
    now_s = clock_s()
    deps.reach.failed(target)
    if error.sent:
        deps.knowledge.loads.failed(target.target_id, now_s)
    else:
        context.failed_connections += 1
        deps.knowledge.loads.unreachable(target.target_id, now_s)
    # Other open connections to the target may have failed as well.
    deps.pool.close_idle(target.address)
    deps.log.decide(
        'attempt.failed',
        context.call.attempt_id,
        outcome='may have run' if error.sent else 'not sent',
        cause=error.cause,
        target=target.target_id,
        version=target.version,
        has_begun=str(context.responder.has_started),
        stalled_s=stalled_s(context.request.arrived_s),
    )
    is_timeout = isinstance(error, ExchangeTimeoutError)
    if error.sent:
        settled_s = deps.knowledge.crashes.settings.settled_s
        keys = context.suspect_keys(target.target_id, settled_s, now_s)
        reports = deps.crash_reports
        report = reports.gave_up if is_timeout else reports.broke_off
        report(target, keys)
    return Cause.OUT_OF_TIME if is_timeout else Cause.BROKEN
