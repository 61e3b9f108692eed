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
    answer = _PlainCall(tools, opened).find_answer()
    head = tools.dialect.answer_head(answer.head)
    opened.responder.answer(head, answer.body)


class _PlainCall:
    """One call and the targets that were asked for its answer."""

    def __init__(self, tools: Tools, opened: OpenCall) -> None:
        self._tools = tools
        self._knowledge = tools.knowledge
        self._opened = opened
        self._tried: set[str] = set()
        self._cause = Cause.NO_TARGET
        # A target's own failure, for the case that no other one does better.
        self._failure: WholeAnswer | None = None

    def find_answer(self) -> WholeAnswer:
        """Ask targets until one has answered for good.

        Raises:
            RefusedError: none has.
        """
        self._knowledge.budget.earn(clock_s())
        for _ in range(MOST_SENDS):
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
        opened = self._opened
        now_s = clock_s()
        if now_s >= opened.until_s:
            self._cause = Cause.OUT_OF_TIME
            return None
        if not opened.attempts.may_run_again(opened.route.is_repeatable):
            return None
        target = self._knowledge.placement.plain_target(
            opened.service.name, self._tried, now_s
        )
        # A first send is no repetition, whatever connections failed before.
        is_repeated = bool(opened.attempts.targets)
        if target is None or not is_repeated:
            return target
        return target if self._knowledge.budget.spend(now_s) else None

    def _try(self, target: RegisteredTarget) -> WholeAnswer | None:
        """Ask one target; None if the next one is to be asked."""
        self._tried.add(target.target_id)
        self._knowledge.loads.began(target.target_id)
        try:
            answer = self._ask(target)
        except ExchangeError as error:
            self._cause = note_failure(self._tools, self._opened, target, error)
            return None
        finally:
            self._knowledge.loads.ended(target.target_id)
        return self._judge(target, answer)

    def _ask(self, target: RegisteredTarget) -> WholeAnswer:
        opened = self._opened
        forwarding = Forwarding(
            target_id=target.target_id,
            time_left_s=opened.until_s - clock_s(),
            organisation=opened.name,
            last_event_id=opened.call.last_event_id,
        )
        head = self._tools.dialect.call_head(opened.request.head, forwarding)
        with self._tools.pool.lend(target.address) as connection:
            sent_s = clock_s()
            opened.attempts.sent(target.target_id)
            connection.send(head, opened.request.body)
            answer_head = connection.read_head(opened.until_s)
            body = connection.read_body(opened.until_s, MAX_ANSWER_BYTES)
            facts = self._tools.dialect.read_answer(answer_head)
            check_answer(answer_head, facts, opened)
        if facts.is_signed and not facts.is_not_run:
            count_usage(self._tools, opened, sent_s)
        return WholeAnswer(answer_head, facts, body)

    def _judge(
        self, target: RegisteredTarget, answer: WholeAnswer
    ) -> WholeAnswer | None:
        """Return an answer that goes to the caller as it is."""
        loads, facts = self._knowledge.loads, answer.facts
        self._tell(target, facts)
        note_facts(self._tools, target, facts)
        if facts.is_not_run:
            self._opened.attempts.refused()
            loads.refused(target.target_id, clock_s())
            self._cause = Cause.NO_RETRY
            return None
        self._opened.attempts.ran()
        if facts.status < HTTPStatus.INTERNAL_SERVER_ERROR:
            loads.succeeded(target.target_id)
            return answer
        loads.failed(target.target_id, clock_s())
        if facts.is_signed:
            self._failure = answer
        self._cause = Cause.BROKEN
        return None

    def _tell(self, target: RegisteredTarget, facts: AnswerFacts) -> None:
        opened = self._opened
        since_arrival_s = clock_s() - opened.request.arrived_s
        self._tools.log.observe('plain.answer', since_arrival_s)
        self._tools.log.decide(
            'call.answered',
            opened.call.attempt_id,
            outcome=target.target_id,
            service=opened.service.name,
            status=facts.status,
            not_run=str(facts.is_not_run),
            since_arrival_s=since_arrival_s,
        )


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


def count_usage(tools: Tools, opened: OpenCall, began_s: float) -> None:
    """Count a call once, however often it is repeated."""
    if opened.is_counted:
        return
    opened.is_counted = True
    if opened.name is not None:
        tools.knowledge.usage.began(opened.name, began_s)


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


def note_failure(
    tools: Tools,
    opened: OpenCall,
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
        opened.call.attempt_id,
        outcome='may have run' if error.sent else 'not sent',
        cause=error.cause,
        target=target.target_id,
    )
    if isinstance(error, ExchangeTimeoutError):
        return Cause.OUT_OF_TIME
    if error.sent:
        tools.suspect(opened.fingerprint, target.target_id, target.address)
    return Cause.BROKEN
