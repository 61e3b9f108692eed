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
from dandelionyoke_gateway._call_desk import OpenCall, RefusedError, Tools
from dandelionyoke_gateway._clock import clock_s
from dandelionyoke_gateway._errors import ExchangeError
from dandelionyoke_gateway._event_stream import EventSplitter, StreamEvent
from dandelionyoke_gateway._messages import ResponseHead
from dandelionyoke_gateway._plain_call import (
    check_answer,
    count_usage,
    note_facts,
)
from dandelionyoke_gateway._ports import (
    AnswerFacts,
)
from dandelionyoke_gateway._prompt_reader import PromptReader, ReadPrompt
from dandelionyoke_gateway._stream_tries import NextTryError, StreamTries
from dandelionyoke_gateway._target_connection import TargetConnection

MAX_FAILURE_BYTES = 1048576
MOST_SENDS = 4

# A stream that may be resumed is left for another engine when it is silent
# for this long: half of the least time after which callers give up on it.
RESUME_AFTER_S = 1.0


def carry_stream(tools: Tools, opened: OpenCall) -> None:
    """Have the prompt read, then pass the stream on."""
    _StreamCall(tools, opened).carry()


class _StreamCall:
    """One streamed call from its prompt to its last event."""

    def __init__(self, tools: Tools, opened: OpenCall) -> None:
        self._tools = tools
        self._knowledge = tools.knowledge
        self._opened = opened
        self._tries = StreamTries(tools, opened)
        self._reader = PromptReader(self._tries)
        # Kept for the next try while no engine has taken its cache.
        self._prompt: ReadPrompt | None = None

    def carry(self) -> None:
        """Make tries until one has streamed to its end."""
        try:
            self._carry()
        finally:
            self._release(self._prompt)

    def _carry(self) -> None:
        cause = Cause.NO_RETRY
        self._knowledge.budget.earn(clock_s())
        for number in range(MOST_SENDS):
            if number and not self._may_try_again():
                break
            try:
                self._try()
            except NextTryError as ended:
                cause = ended.cause
                continue
            return
        raise RefusedError(Refusal(cause, SOON_S))

    def _may_try_again(self) -> bool:
        opened = self._opened
        if clock_s() >= opened.until_s:
            return False
        if opened.responder.has_begun and not opened.route.is_resumable:
            return False
        if not opened.attempts.may_run_again(opened.route.is_repeatable):
            return False
        return self._knowledge.budget.spend(clock_s(), self._repeated_sends())

    def _repeated_sends(self) -> int:
        """Count what reaches an engine once more with the next try.

        A connection that was refused carried nothing: were it counted, a
        crash would use up the budget before its calls reach another engine.
        A prompt that has to be read again counts beside its stream: left
        out, all nodes together would repeat more than they may.
        """
        is_streamed_again = bool(self._opened.attempts.targets)
        is_read_again = self._prompt is None and self._reader.has_sent
        return is_streamed_again + is_read_again

    def _try(self) -> None:
        if self._prompt is None:
            self._prompt = self._reader.read()
        self._stream(self._decode_target(self._prompt), self._prompt)

    def _decode_target(self, prompt: ReadPrompt | None) -> RegisteredTarget:
        near = None if prompt is None else prompt.home.domain
        target = self._knowledge.placement.decode_target(
            self._opened.service.name, near, self._tries.tried, clock_s()
        )
        if target is not None:
            return target
        target = self._knowledge.placement.plain_target(
            self._opened.service.name, self._tries.tried, clock_s()
        )
        if target is None:
            raise RefusedError(Refusal(Cause.NO_TARGET, SOON_S))
        return target

    def _release(self, prompt: ReadPrompt | None) -> None:
        """Free a cache that no engine took, so that its memory serves others."""
        if prompt is None:
            return
        eventlet.spawn_n(self._tools.engines.release_cache, prompt.cache)

    # The stream.

    def _stream(
        self, target: RegisteredTarget, prompt: ReadPrompt | None
    ) -> None:
        loads = self._knowledge.loads
        loads.began(target.target_id)
        try:
            self._exchange(target, prompt)
        except ExchangeError as error:
            if error.sent:
                # Nobody knows whether the engine has taken the cache.
                self._prompt = None
            raise self._tries.next_try(target, error) from error
        finally:
            loads.ended(target.target_id)

    def _exchange(
        self, target: RegisteredTarget, prompt: ReadPrompt | None
    ) -> None:
        cache = None if prompt is None else prompt.cache
        forwarding = attrs.evolve(self._tries.forwarding(target), cache=cache)
        head = self._tries.head(forwarding)
        with self._tools.pool.lend(target.address) as connection:
            self._opened.attempts.sent(target.target_id)
            connection.send(head, self._opened.request.body)
            is_stream = self._take_head(target, connection)
            if is_stream:
                self._relay(connection)
        if is_stream:
            self._knowledge.loads.succeeded(target.target_id)
            self._opened.attempts.ran()
            self._opened.responder.finish()

    def _take_head(
        self, target: RegisteredTarget, connection: TargetConnection
    ) -> bool:
        """Take the head of an answer; tell whether a stream follows."""
        sent_s = clock_s()
        answer = connection.read_head(self._silence_until_s())
        facts = self._tools.dialect.read_answer(answer)
        self._judge(target, answer, facts, connection)
        self._prompt = None
        since_arrival_s = clock_s() - self._opened.request.arrived_s
        self._tools.log.observe('stream.begin', since_arrival_s)
        self._knowledge.watch_of(self._opened.service.name).strain.began(
            since_arrival_s, self._opened.route.goal_s, clock_s()
        )
        self._tries.tell(
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
        note_facts(self._tools, target, facts)
        if facts.is_not_run:
            self._opened.attempts.refused()
            self._tries.tried.add(target.target_id)
            self._knowledge.loads.refused(target.target_id, clock_s())
            self._tries.tell('stream.refused', target, status=facts.status)
            connection.read_body(self._opened.until_s, MAX_FAILURE_BYTES)
            raise NextTryError(Cause.NO_RETRY)
        check_answer(answer, facts, self._opened)

    def _pass_failure(
        self, answer: ResponseHead, connection: TargetConnection
    ) -> None:
        """Pass an engine's own failure on as it is."""
        body = connection.read_body(self._opened.until_s, MAX_FAILURE_BYTES)
        self._opened.attempts.ran()
        if not self._opened.responder.has_begun:
            head = self._tools.dialect.answer_head(answer)
            self._opened.responder.answer(head, body)

    def _begin(self, answer: ResponseHead) -> None:
        if not self._opened.responder.has_begun:
            head = self._tools.dialect.answer_head(answer)
            self._opened.responder.begin(head)

    def _relay(self, connection: TargetConnection) -> None:
        splitter = EventSplitter()
        while True:
            piece = connection.read_piece(self._silence_until_s())
            if piece is None:
                break
            events = splitter.feed(piece)
            if events:
                self._pass_on(events)
        if not splitter.is_between_events:
            raise ExchangeError('the stream ended within an event', sent=True)

    def _pass_on(self, events: list[StreamEvent]) -> None:
        count_usage(self._tools, self._opened, clock_s())
        self._opened.responder.pass_on(
            b''.join(event.content for event in events)
        )
        for event in events:
            if event.event_id is not None:
                self._tries.last_event_id = event.event_id

    # Limits.

    def _silence_until_s(self) -> float:
        """Tell until when the next bytes of an answer are awaited."""
        if self._opened.route.is_resumable:
            return min(self._opened.until_s, clock_s() + RESUME_AFTER_S)
        return self._opened.until_s
