"""A call to a plain service: one whole answer."""

from http import HTTPStatus

import attrs

from dandelionyoke_dispatch import SOON_S, Cause, Refusal, RegisteredTarget
from dandelionyoke_gateway._call_desk import OpenCall, RefusedError, Tools
from dandelionyoke_gateway._clock import clock_s
from dandelionyoke_gateway._errors import ExchangeError, ExchangeTimeoutError
from dandelionyoke_gateway._messages import ResponseHead
from dandelionyoke_gateway._ports import AnswerFacts, Forwarding

MAX_ANSWER_BYTES = 8388608
# Each target refuses at most once; beyond this the service as a whole is
# full, and the caller is better told to come back.
MOST_SENDS = 4


@attrs.frozen
class WholeAnswer:
    """A target's answer with its body."""

    head: ResponseHead
    facts: AnswerFacts
    body: bytes = attrs.field(repr=False)


def carry_plain(tools: Tools, opened: OpenCall) -> None:
    """Send a call to targets until one has answered."""
    answer = _find_answer(tools, opened)
    head = tools.dialect.answer_head(answer.head)
    opened.responder.answer(head, answer.body)


def _find_answer(tools: Tools, opened: OpenCall) -> WholeAnswer:
    tried: set[str] = set()
    failure: WholeAnswer | None = None
    cause = Cause.NO_RETRY
    for number in range(MOST_SENDS):
        target = _next_target(tools, opened, tried, number)
        if target is None:
            break
        tried.add(target.target_id)
        try:
            answer = _exchange(tools, opened, target)
        except ExchangeError as error:
            cause = _failed(tools, opened, target, error)
        else:
            if _is_final(tools, opened, target, answer):
                return answer
            if answer.facts.is_signed and not answer.facts.is_not_run:
                failure = answer
        if not opened.attempts.may_run_again(opened.route.is_repeatable):
            break
    if failure is not None:
        return failure
    raise RefusedError(Refusal(cause, SOON_S))


def _next_target(
    tools: Tools, opened: OpenCall, tried: set[str], number: int
) -> RegisteredTarget | None:
    knowledge = tools.knowledge
    now_s = clock_s()
    if now_s >= opened.until_s:
        raise RefusedError(Refusal(Cause.OUT_OF_TIME, SOON_S))
    target = knowledge.placement.plain_target(opened.service.name, tried, now_s)
    if target is None:
        if number == 0:
            raise RefusedError(Refusal(Cause.NO_TARGET, SOON_S))
        return None
    if number == 0:
        knowledge.budget.earn(now_s)
    elif opened.attempts.targets and not knowledge.budget.spend(now_s):
        return None
    return target


def _exchange(
    tools: Tools, opened: OpenCall, target: RegisteredTarget
) -> WholeAnswer:
    loads = tools.knowledge.loads
    loads.began(target.target_id)
    try:
        return _ask(tools, opened, target)
    finally:
        loads.ended(target.target_id)


def _ask(
    tools: Tools, opened: OpenCall, target: RegisteredTarget
) -> WholeAnswer:
    call = opened.call
    forwarding = Forwarding(
        target_id=target.target_id,
        time_left_s=opened.until_s - clock_s(),
        organisation=opened.name,
        last_event_id=call.last_event_id,
    )
    head = tools.dialect.call_head(opened.request.head, forwarding)
    with tools.pool.lend(target.address) as connection:
        sent_s = clock_s()
        opened.attempts.sent(target.target_id)
        connection.send(head, opened.request.body)
        answer_head = connection.read_head(opened.until_s)
        body = connection.read_body(opened.until_s, MAX_ANSWER_BYTES)
        facts = tools.dialect.read_answer(answer_head)
        check_answer(answer_head, facts, opened)
        _count(tools, opened, facts, sent_s)
        return WholeAnswer(answer_head, facts, body)


def check_answer(
    head: ResponseHead, facts: AnswerFacts, opened: OpenCall
) -> None:
    """Refuse an answer that belongs to another call or is not the target's.

    Raises:
        ExchangeError: the answer must not reach the caller.
    """
    if facts.attempt_id not in {None, opened.call.attempt_id}:
        raise ExchangeError('the answer is to another call', sent=True)
    if head.is_success and not (facts.is_signed and facts.attempt_id):
        raise ExchangeError('a success without a signature', sent=True)


def _count(
    tools: Tools, opened: OpenCall, facts: AnswerFacts, began_s: float
) -> None:
    if facts.is_not_run or not facts.is_signed or opened.is_counted:
        return
    opened.is_counted = True
    if opened.name is not None:
        tools.knowledge.usage.began(opened.name, began_s)


def _is_final(
    tools: Tools,
    opened: OpenCall,
    target: RegisteredTarget,
    answer: WholeAnswer,
) -> bool:
    """Whether an answer goes to the caller as it is."""
    knowledge, facts = tools.knowledge, answer.facts
    note_facts(tools, target, facts)
    if facts.is_not_run:
        opened.attempts.refused()
        return False
    opened.attempts.ran()
    if facts.status < HTTPStatus.INTERNAL_SERVER_ERROR:
        knowledge.loads.succeeded(target.target_id)
        return True
    knowledge.loads.failed(target.target_id, clock_s())
    return not opened.route.is_repeatable


def note_facts(
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


def _failed(
    tools: Tools,
    opened: OpenCall,
    target: RegisteredTarget,
    error: ExchangeError,
) -> Cause:
    """Draw the conclusions from an exchange that failed."""
    now_s = clock_s()
    if not error.sent:
        tools.knowledge.loads.unreachable(target.target_id, now_s)
    else:
        tools.knowledge.loads.failed(target.target_id, now_s)
    tools.log.decide(
        'attempt.failed',
        opened.call.attempt_id,
        outcome='may have run' if error.sent else 'not sent',
        cause=error.cause,
        target=target.target_id,
    )
    if isinstance(error, ExchangeTimeoutError):
        return Cause.OUT_OF_TIME
    return Cause.BROKEN
