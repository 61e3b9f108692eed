"""A call to a plain service: one whole answer."""

from http import HTTPStatus

import attrs

from dandelionyoke_dispatch import SOON_S, Cause, Refusal, RegisteredTarget
from dandelionyoke_gateway._call_desk import CallContext, RefusedError, Tools
from dandelionyoke_gateway._clock import clock_s
from dandelionyoke_gateway._errors import ExchangeError, ExchangeTimeoutError
from dandelionyoke_gateway._messages import ResponseHead
from dandelionyoke_gateway._ports import AnswerFacts, Forwarding

MAX_ANSWER_BYTES = 8388608
# Each target refuses at most once; beyond this the service as a whole is
# full, and the caller is better told to come back.
MAX_SENDS = 4


@attrs.frozen
class BufferedResponse:
    """A target's answer with its body."""

    head: ResponseHead
    facts: AnswerFacts
    body: bytes = attrs.field(repr=False)


def carry_plain(tools: Tools, context: CallContext) -> None:
    """Send a call to targets until one has answered."""
    answer = _PlainCall(tools, context).find_answer()
    head = tools.dialect.answer_head(answer.head)
    context.responder.respond(head, answer.body)


class _PlainCall:
    """One call and the targets that were asked for its answer."""

    def __init__(self, tools: Tools, context: CallContext) -> None:
        self._tools = tools
        self._knowledge = tools.knowledge
        self._context = context
        self._tried: set[str] = set()
        self._cause = Cause.NO_TARGET
        # A target's own failure, for the case that no other one does better.
        self._failure: BufferedResponse | None = None

    def find_answer(self) -> BufferedResponse:
        """Ask targets until one has answered for good.

        Raises:
            RefusedError: none has.
        """
        self._knowledge.budget.earn(clock_s())
        for _ in range(MAX_SENDS):
            target = self._next_target()
            if target is None:
                break
            answer = self._try(target)
            if answer is not None:
                return answer
        if self._failure is not None:
            return self._failure
        raise RefusedError(Refusal(self._cause, SOON_S))

    def _next_target(self) -> RegisteredTarget | None:
        context = self._context
        now_s = clock_s()
        if now_s >= context.deadline_s:
            self._cause = Cause.OUT_OF_TIME
            return None
        if not context.attempts.may_run_again(context.route.is_repeatable):
            return None
        target = self._knowledge.placement.plain_target(
            context.service.name, self._tried, now_s
        )
        # A first send is no repetition, whatever connections failed before.
        is_repeated = bool(context.attempts.targets)
        if target is None or not is_repeated:
            return target
        return target if self._knowledge.budget.spend(now_s) else None

    def _try(self, target: RegisteredTarget) -> BufferedResponse | None:
        """Ask one target; None if the next one is to be asked."""
        self._tried.add(target.target_id)
        self._knowledge.loads.began(target.target_id)
        try:
            answer = self._ask(target)
        except ExchangeError as error:
            self._cause = record_failure(
                self._tools, self._context, target, error
            )
            return None
        finally:
            self._knowledge.loads.ended(target.target_id)
        return self._judge(target, answer)

    def _ask(self, target: RegisteredTarget) -> BufferedResponse:
        context = self._context
        forwarding = Forwarding(
            target_id=target.target_id,
            time_left_s=context.deadline_s - clock_s(),
            organisation=context.organisation_name,
            last_event_id=context.call.last_event_id,
        )
        head = self._tools.dialect.call_head(context.request.head, forwarding)
        with self._tools.pool.lend(target.address) as connection:
            sent_s = clock_s()
            context.attempts.sent(target.target_id)
            connection.send(head, context.request.body)
            answer_head = connection.read_head(context.deadline_s)
            body = connection.read_body(context.deadline_s, MAX_ANSWER_BYTES)
            facts = self._tools.dialect.read_answer(answer_head)
            validate_response(answer_head, facts, context)
        if facts.is_signed and not facts.is_not_run:
            count_usage_once(self._tools, context, sent_s)
        return BufferedResponse(answer_head, facts, body)

    def _judge(
        self, target: RegisteredTarget, answer: BufferedResponse
    ) -> BufferedResponse | None:
        """Return an answer that goes to the caller as it is."""
        loads, facts = self._knowledge.loads, answer.facts
        self._tell(target, facts)
        apply_response_facts(self._tools, target, facts)
        if facts.is_not_run:
            self._context.attempts.refused()
            loads.refused(target.target_id, clock_s())
            self._cause = Cause.NO_RETRY
            return None
        self._context.attempts.ran()
        if facts.status < HTTPStatus.INTERNAL_SERVER_ERROR:
            loads.succeeded(target.target_id)
            return answer
        loads.failed(target.target_id, clock_s())
        if facts.is_signed:
            self._failure = answer
        self._cause = Cause.BROKEN
        return None

    def _tell(self, target: RegisteredTarget, facts: AnswerFacts) -> None:
        context = self._context
        since_arrival_s = clock_s() - context.request.arrived_s
        self._tools.log.observe('plain.answer', since_arrival_s)
        self._tools.log.decide(
            'call.answered',
            context.call.attempt_id,
            outcome=target.target_id,
            service=context.service.name,
            status=facts.status,
            not_run=str(facts.is_not_run),
            since_arrival_s=since_arrival_s,
        )


def validate_response(
    head: ResponseHead, facts: AnswerFacts, context: CallContext
) -> None:
    """Refuse an answer that belongs to another call or is not the target's.

    Raises:
        ExchangeError: the answer must not reach the caller.
    """
    if facts.attempt_id not in {None, context.call.attempt_id}:
        raise ExchangeError('the answer is to another call', sent=True)
    if head.is_success and not (facts.is_signed and facts.attempt_id):
        raise ExchangeError('a success without a signature', sent=True)


def count_usage_once(
    tools: Tools, context: CallContext, began_s: float
) -> None:
    """Count a call once, however often it is repeated."""
    if context.is_usage_counted:
        return
    context.is_usage_counted = True
    if context.organisation_name is not None:
        tools.knowledge.usage.began(context.organisation_name, began_s)


def apply_response_facts(
    tools: Tools, target: RegisteredTarget, facts: AnswerFacts
) -> None:
    """Take what a target said of itself besides its answer."""
    knowledge = tools.knowledge
    if facts.busy is not None:
        knowledge.loads.reported(target.target_id, facts.busy, clock_s())
    if facts.is_other_target:
        tools.log.decide(
            'target.replaced', target.target_id, outcome='left alone'
        )
        knowledge.registry.mark_leaving(target.target_id, target.started_ms)


def record_failure(
    tools: Tools,
    context: CallContext,
    target: RegisteredTarget,
    error: ExchangeError,
) -> Cause:
    """Draw the conclusions from an exchange that failed."""
    now_s = clock_s()
    if error.sent:
        tools.knowledge.loads.failed(target.target_id, now_s)
    else:
        tools.knowledge.loads.unreachable(target.target_id, now_s)
    # The others that are open there may have gone silent as well.
    tools.pool.drop(target.address)
    tools.log.decide(
        'attempt.failed',
        context.call.attempt_id,
        outcome='may have run' if error.sent else 'not sent',
        cause=error.cause,
        target=target.target_id,
    )
    if isinstance(error, ExchangeTimeoutError):
        return Cause.OUT_OF_TIME
    if error.sent:
        tools.suspect(context.fingerprint, target.target_id, target.address)
    return Cause.BROKEN
