"""A call that is answered by a stream of events."""

from http import HTTPStatus

import attrs
import eventlet

from dandelionyoke_dispatch import (
    SOON_S,
    Cause,
    Refusal,
    RegisteredTarget,
)
from dandelionyoke_gateway._call_desk import CallContext, RefusedError, Tools
from dandelionyoke_gateway._clock import clock_s
from dandelionyoke_gateway._errors import ExchangeError
from dandelionyoke_gateway._event_stream import EventSplitter, StreamEvent
from dandelionyoke_gateway._messages import ResponseHead
from dandelionyoke_gateway._plain_call import (
    apply_response_facts,
    count_usage_once,
    validate_response,
)
from dandelionyoke_gateway._ports import (
    AnswerFacts,
)
from dandelionyoke_gateway._prompt_prefiller import (
    PrefilledPrompt,
    PromptPrefiller,
)
from dandelionyoke_gateway._stream_call_state import (
    RetryableError,
    StreamCallState,
)
from dandelionyoke_gateway._target_connection import TargetConnection

MAX_ERROR_BODY_BYTES = 1048576
MAX_SENDS = 4

# A stream that may be resumed is left for another engine when it is silent
# for this long: half of the least time after which callers give up on it.
STALL_TIMEOUT_S = 1.0


def carry_stream(tools: Tools, context: CallContext) -> None:
    """Have the prompt read, then pass the stream on."""
    _StreamCall(tools, context).carry()


class _StreamCall:
    """One streamed call from its prompt to its last event."""

    def __init__(self, tools: Tools, context: CallContext) -> None:
        self._tools = tools
        self._knowledge = tools.knowledge
        self._context = context
        self._state = StreamCallState(tools, context)
        self._reader = PromptPrefiller(self._state)
        # Kept for the next try while no engine has taken its cache.
        self._prompt: PrefilledPrompt | None = None

    def carry(self) -> None:
        """Make tries until one has streamed to its end."""
        try:
            self._carry()
        finally:
            self._release(self._prompt)

    def _carry(self) -> None:
        cause = Cause.NO_RETRY
        self._knowledge.budget.earn(clock_s())
        for number in range(MAX_SENDS):
            if number and not self._may_try_again():
                break
            try:
                self._try()
            except RetryableError as ended:
                cause = ended.cause
                continue
            return
        raise RefusedError(Refusal(cause, SOON_S))

    def _may_try_again(self) -> bool:
        context = self._context
        if clock_s() >= context.deadline_s:
            return False
        if context.responder.has_started and not context.route.is_resumable:
            return False
        if not context.attempts.may_run_again(context.route.is_repeatable):
            return False
        return self._knowledge.budget.spend(clock_s(), self._repeated_sends())

    def _repeated_sends(self) -> int:
        """Count what reaches an engine once more with the next try.

        A connection that was refused carried nothing: were it counted, a
        crash would use up the budget before its calls reach another engine.
        A prompt that has to be read again counts beside its stream: left
        out, all nodes together would repeat more than they may.
        """
        is_streamed_again = bool(self._context.attempts.targets)
        is_read_again = self._prompt is None and self._reader.has_sent_prefill
        return is_streamed_again + is_read_again

    def _try(self) -> None:
        if self._prompt is None:
            self._prompt = self._reader.prefill()
        self._stream(self._decode_target(self._prompt), self._prompt)

    def _decode_target(
        self, prompt: PrefilledPrompt | None
    ) -> RegisteredTarget:
        near = None if prompt is None else prompt.home.domain
        target = self._knowledge.placement.decode_target(
            self._context.service.name, near, self._state.tried_ids, clock_s()
        )
        if target is not None:
            return target
        target = self._knowledge.placement.plain_target(
            self._context.service.name, self._state.tried_ids, clock_s()
        )
        if target is None:
            raise RefusedError(Refusal(Cause.NO_TARGET, SOON_S))
        return target

    def _release(self, prompt: PrefilledPrompt | None) -> None:
        """Free a cache that no engine took, so that its memory serves others."""
        if prompt is None:
            return
        eventlet.spawn_n(self._tools.engines.release_cache, prompt.cache)

    # The stream.

    def _stream(
        self, target: RegisteredTarget, prompt: PrefilledPrompt | None
    ) -> None:
        loads = self._knowledge.loads
        loads.began(target.target_id)
        try:
            self._exchange(target, prompt)
        except ExchangeError as error:
            if error.sent:
                # Nobody knows whether the engine has taken the cache.
                self._prompt = None
            raise self._state.new_retryable_error(target, error) from error
        finally:
            loads.ended(target.target_id)

    def _exchange(
        self, target: RegisteredTarget, prompt: PrefilledPrompt | None
    ) -> None:
        cache = None if prompt is None else prompt.cache
        forwarding = attrs.evolve(
            self._state.new_forwarding(target), cache=cache
        )
        head = self._state.new_request_head(forwarding)
        with self._tools.pool.lend(target.address) as connection:
            self._context.attempts.sent(target.target_id)
            connection.send(head, self._context.request.body)
            is_stream = self._take_head(target, connection)
            if is_stream:
                self._relay(connection)
        if is_stream:
            self._knowledge.loads.succeeded(target.target_id)
            self._context.attempts.ran()
            self._context.responder.finish()

    def _take_head(
        self, target: RegisteredTarget, connection: TargetConnection
    ) -> bool:
        """Take the head of an answer; tell whether a stream follows."""
        sent_s = clock_s()
        answer = connection.read_head(self._silence_until_s())
        facts = self._tools.dialect.read_answer(answer)
        self._judge(target, answer, facts, connection)
        self._prompt = None
        since_arrival_s = clock_s() - self._context.request.arrived_s
        self._tools.log.observe('stream.begin', since_arrival_s)
        self._knowledge.watch_of(self._context.service.name).strain.began(
            since_arrival_s, self._context.route.goal_s, clock_s()
        )
        self._state.log_decision(
            'stream.begun',
            target,
            status=facts.status,
            took_s=clock_s() - sent_s,
            since_arrival_s=since_arrival_s,
        )
        if facts.status == HTTPStatus.OK:
            self._begin(answer)
            return True
        self._pass_failure(answer, connection)
        return False

    def _judge(
        self,
        target: RegisteredTarget,
        answer: ResponseHead,
        facts: AnswerFacts,
        connection: TargetConnection,
    ) -> None:
        """Stop unless this is the target's own answer to this call."""
        apply_response_facts(self._tools, target, facts)
        if facts.is_not_run:
            self._context.attempts.refused()
            self._state.tried_ids.add(target.target_id)
            self._knowledge.loads.refused(target.target_id, clock_s())
            self._state.log_decision(
                'stream.refused', target, status=facts.status
            )
            connection.read_body(self._context.deadline_s, MAX_ERROR_BODY_BYTES)
            raise RetryableError(Cause.NO_RETRY)
        validate_response(answer, facts, self._context)

    def _pass_failure(
        self, answer: ResponseHead, connection: TargetConnection
    ) -> None:
        """Pass an engine's own failure on as it is."""
        body = connection.read_body(
            self._context.deadline_s, MAX_ERROR_BODY_BYTES
        )
        self._context.attempts.ran()
        if not self._context.responder.has_started:
            head = self._tools.dialect.answer_head(answer)
            self._context.responder.respond(head, body)

    def _begin(self, answer: ResponseHead) -> None:
        if not self._context.responder.has_started:
            head = self._tools.dialect.answer_head(answer)
            self._context.responder.start(head)

    def _relay(self, connection: TargetConnection) -> None:
        splitter = EventSplitter()
        while True:
            piece = connection.read_chunk(self._silence_until_s())
            if piece is None:
                break
            events = splitter.feed(piece)
            if events:
                self._pass_on(events)
        if not splitter.is_at_event_boundary:
            raise ExchangeError('the stream ended within an event', sent=True)

    def _pass_on(self, events: list[StreamEvent]) -> None:
        count_usage_once(self._tools, self._context, clock_s())
        self._context.responder.send_chunk(
            b''.join(event.content for event in events)
        )
        for event in events:
            if event.event_id is not None:
                self._state.last_event_id = event.event_id

    # Limits.

    def _silence_until_s(self) -> float:
        """Tell until when the next bytes of an answer are awaited."""
        if self._context.route.is_resumable:
            return min(self._context.deadline_s, clock_s() + STALL_TIMEOUT_S)
        return self._context.deadline_s
