"""A call that is answered by a stream of events."""

from http import HTTPStatus

import attrs
import eventlet

from dandelionyoke_dispatch import (
    SOON_S,
    Cause,
    Entry,
    GateTicket,
    PrefillHome,
    Prompt,
    Refusal,
    RegisteredTarget,
)
from dandelionyoke_gateway._call_desk import OpenCall, RefusedError, Tools
from dandelionyoke_gateway._clock import clock_s
from dandelionyoke_gateway._errors import ExchangeError
from dandelionyoke_gateway._event_stream import EventSplitter, StreamEvent
from dandelionyoke_gateway._gate_turns import Turn
from dandelionyoke_gateway._messages import RequestHead, ResponseHead
from dandelionyoke_gateway._plain_call import (
    check_answer,
    count_usage,
    note_facts,
    note_failure,
)
from dandelionyoke_gateway._ports import (
    AnswerFacts,
    CacheSource,
    Forwarding,
)
from dandelionyoke_gateway._target_connection import TargetConnection

MAX_PREFILL_BYTES = 65536
MAX_FAILURE_BYTES = 1048576
MOST_SENDS = 4

# A caller gives up on a stream that has not begun after this long, or four
# times its goal or eight times its longest pause (from the users' protocol).
LEAST_PATIENCE_S = 2.0
PATIENCE_GOALS = 4
PATIENCE_PAUSES = 8

# A stream that may be resumed is left for another engine when it is silent
# for this long: half of the least time after which callers give up on it.
RESUME_AFTER_S = 1.0


@attrs.frozen
class _Prompt:
    """A prompt that was read, and the engine that keeps its cache."""

    home: RegisteredTarget
    cache: CacheSource


class _NextTryError(Exception):
    """This send came to nothing; another one may be made."""

    def __init__(self, cause: Cause) -> None:
        super().__init__(cause.value)
        self.cause = cause


def carry_stream(tools: Tools, opened: OpenCall) -> None:
    """Have the prompt read, then pass the stream on."""
    _StreamCall(tools, opened).carry()


class _StreamCall:
    """One streamed call from its prompt to its last event."""

    def __init__(self, tools: Tools, opened: OpenCall) -> None:
        self._tools = tools
        self._knowledge = tools.knowledge
        self._opened = opened
        self._last_event_id = opened.call.last_event_id
        self._tried: set[str] = set()
        self._prefill_tries = 0
        # Kept for the next try while no engine has taken its cache.
        self._prompt: _Prompt | None = None

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
            except _NextTryError as ended:
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
        return self._knowledge.budget.spend(clock_s())

    def _try(self) -> None:
        if self._prompt is None:
            self._prompt = self._read_prompt()
        self._stream(self._decode_target(self._prompt), self._prompt)

    def _decode_target(self, prompt: _Prompt | None) -> RegisteredTarget:
        near = None if prompt is None else prompt.home.domain
        target = self._knowledge.placement.decode_target(
            self._opened.service.name, near, self._tried, clock_s()
        )
        if target is not None:
            return target
        target = self._knowledge.placement.plain_target(
            self._opened.service.name, self._tried, clock_s()
        )
        if target is None:
            raise RefusedError(Refusal(Cause.NO_TARGET, SOON_S))
        return target

    # The prompt.

    def _read_prompt(self) -> _Prompt | None:
        """Have the prompt read apart; None where no engine does that."""
        prompt = self._opened.call.prompt
        if prompt is None or self._opened.service.engine is None:
            return None
        asked_s = clock_s()
        place = self._find_place(prompt)
        if place is None:
            return None
        began_s = clock_s()
        read_s: float | None = None
        try:
            cache = self._prefill(place)
            read_s = clock_s() - began_s
        finally:
            self._leave_gate(place.target, read_s)
        self._tell(
            'prompt.read',
            place.target,
            source=place.source.target_id if place.source else None,
            waited_s=began_s - asked_s,
            took_s=read_s,
        )
        return _Prompt(place.target, cache)

    def _find_place(self, prompt: Prompt) -> PrefillHome | None:
        """Get a place at an engine that takes work at this moment."""
        while True:
            place = self._knowledge.placement.prefill_home(
                self._opened.service.name,
                prompt.shared_key,
                self._tried,
                clock_s(),
            )
            if place is None or self._pass_gate(place.target):
                return place

    def _pass_gate(self, home: RegisteredTarget) -> bool:
        """Wait for a place; False if the engine left meanwhile."""
        # Each try waits under a name of its own.
        self._prefill_tries += 1
        ticket = GateTicket(
            self._call_id,
            home.target_id,
            self._opened.rank,
            self._opened.request.arrived_s,
            self._useful_until_s(),
        )
        entry = self._knowledge.gate.enter(ticket, clock_s())
        if entry is Entry.GO:
            return True
        if entry is Entry.TOO_LATE:
            self._too_late(home)
        try:
            turn = self._knowledge.turns.wait(
                ticket.call_id, home.target_id, ticket.useful_until_s
            )
        except BaseException:
            self._leave_gate(home, None)
            raise
        if turn is not Turn.GO:
            self._leave_gate(home, None)
        if turn is Turn.TOO_LATE:
            self._too_late(home)
        return turn is Turn.GO

    def _too_late(self, home: RegisteredTarget) -> None:
        wait_s = self._knowledge.gate.retry_after_s(home.target_id)
        raise RefusedError(Refusal(Cause.TOO_LATE, wait_s))

    def _leave_gate(self, home: RegisteredTarget, read_s: float | None) -> None:
        following = self._knowledge.gate.leave(
            home.target_id, self._call_id, read_s
        )
        if following is not None:
            self._knowledge.turns.give(following)

    def _prefill(self, place: PrefillHome) -> CacheSource:
        """Have an engine read the prompt; nothing runs by this."""
        home, source = place.target, place.source
        forwarding = attrs.evolve(
            self._forwarding(home),
            is_prefill=True,
            fetch_from=None if source is None else source.address,
        )
        head = self._head(forwarding)
        loads = self._knowledge.loads
        loads.began(home.target_id)
        try:
            handle = self._ask_prefill(home, head)
        except ExchangeError as error:
            raise self._next_try(home, error) from error
        finally:
            loads.ended(home.target_id)
        if handle is None:
            self._tried.add(home.target_id)
            loads.refused(home.target_id, clock_s())
            self._tell('prompt.refused', home)
            raise _NextTryError(Cause.NO_RETRY)
        loads.succeeded(home.target_id)
        return CacheSource(home.address, handle)

    def _ask_prefill(
        self, home: RegisteredTarget, head: RequestHead
    ) -> str | None:
        until_s = self._useful_until_s()
        with self._tools.pool.lend(home.address) as connection:
            connection.send(head, self._opened.request.body)
            answer = connection.read_head(until_s)
            body = connection.read_body(until_s, MAX_PREFILL_BYTES)
            facts = self._tools.dialect.read_answer(answer)
            note_facts(self._tools, home, facts)
            if facts.status != HTTPStatus.OK:
                return None
            return self._tools.dialect.read_prefill(body)

    def _release(self, prompt: _Prompt | None) -> None:
        """Free a cache that no engine took, so that its memory serves others."""
        if prompt is None:
            return
        eventlet.spawn_n(self._tools.engines.release_cache, prompt.cache)

    # The stream.

    def _stream(self, target: RegisteredTarget, prompt: _Prompt | None) -> None:
        loads = self._knowledge.loads
        loads.began(target.target_id)
        try:
            self._exchange(target, prompt)
        except ExchangeError as error:
            # Nobody knows whether the engine has taken the cache.
            self._prompt = None
            raise self._next_try(target, error) from error
        finally:
            loads.ended(target.target_id)

    def _exchange(
        self, target: RegisteredTarget, prompt: _Prompt | None
    ) -> None:
        cache = None if prompt is None else prompt.cache
        forwarding = attrs.evolve(self._forwarding(target), cache=cache)
        head = self._head(forwarding)
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
        self._tell(
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
            self._tried.add(target.target_id)
            self._knowledge.loads.refused(target.target_id, clock_s())
            self._tell('stream.refused', target, status=facts.status)
            connection.read_body(self._opened.until_s, MAX_FAILURE_BYTES)
            raise _NextTryError(Cause.NO_RETRY)
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
                self._last_event_id = event.event_id

    def _next_try(
        self, target: RegisteredTarget, error: ExchangeError
    ) -> _NextTryError:
        self._tried.add(target.target_id)
        return _NextTryError(
            note_failure(self._tools, self._opened, target, error)
        )

    def _tell(
        self,
        decision: str,
        target: RegisteredTarget,
        **inputs: str | float | None,
    ) -> None:
        self._tools.log.decide(
            decision,
            self._opened.call.attempt_id,
            outcome=target.target_id,
            service=self._opened.service.name,
            line_s=self._knowledge.gate.expected_wait_s(target.target_id),
            busy=self._knowledge.loads.busy(target.target_id, clock_s()),
            **inputs,
        )

    # Limits and notes.

    @property
    def _call_id(self) -> str:
        return f'{self._opened.call.attempt_id}.{self._prefill_tries}'

    def _useful_until_s(self) -> float:
        route = self._opened.route
        patience_s = max(
            LEAST_PATIENCE_S,
            PATIENCE_GOALS * route.goal_s,
            PATIENCE_PAUSES * route.longest_pause_s,
        )
        return min(
            self._opened.until_s, self._opened.request.arrived_s + patience_s
        )

    def _silence_until_s(self) -> float:
        """Tell until when the next bytes of an answer are awaited."""
        if self._opened.route.is_resumable:
            return min(self._opened.until_s, clock_s() + RESUME_AFTER_S)
        return self._opened.until_s

    def _forwarding(self, target: RegisteredTarget) -> Forwarding:
        return Forwarding(
            target_id=target.target_id,
            time_left_s=self._opened.until_s - clock_s(),
            organisation=self._opened.name,
            priority=self._opened.rank,
            last_event_id=self._last_event_id,
        )

    def _head(self, forwarding: Forwarding) -> RequestHead:
        return self._tools.dialect.call_head(
            self._opened.request.head, forwarding
        )
