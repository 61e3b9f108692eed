"""Has a prompt read apart from the stream that follows."""

from http import HTTPStatus

import attrs

from dandelionyoke_dispatch import (
    Cause,
    PrefillHome,
    Prompt,
    Refusal,
    RegisteredTarget,
)
from dandelionyoke_gateway._call_desk import RefusedError
from dandelionyoke_gateway._clock import clock_s
from dandelionyoke_gateway._errors import ExchangeError
from dandelionyoke_gateway._messages import RequestHead
from dandelionyoke_gateway._plain_call import apply_response_facts
from dandelionyoke_gateway._ports import CacheSource
from dandelionyoke_gateway._prefill_queue import (
    PrefillGrant,
    PrefillRequest,
    PrefillResult,
    TooLateError,
)
from dandelionyoke_gateway._stream_call_state import (
    RetryableError,
    StreamCallState,
)

MAX_PREFILL_BYTES = 65536

# A caller gives up on a stream that has not begun after this long, or four
# times its goal or eight times its longest pause.
MIN_PATIENCE_S = 2.0
PATIENCE_PER_GOAL = 4
PATIENCE_PER_PAUSE = 8

# A prompt is short if a decode engine, which prefills at half the pace, has
# read it within this share of the goal.
SHORT_PROMPT_GOAL_SHARE = 0.1
DECODE_ENGINE_SLOWDOWN = 2

# A prompt whose shared part is fetched counts as slow over so many times the
# mean of the last ones, this share of the goal, and so many times the time for
# this one alone.
SLOW_FETCH_MEAN_FACTOR = 2.5
SLOW_FETCH_GOAL_SHARE = 0.5
SLOW_FETCH_PREFILL_FACTOR = 2


@attrs.frozen
class PrefilledPrompt:
    """A prompt that was read, and the engine that keeps its cache."""

    home: RegisteredTarget
    cache: CacheSource


class PromptPrefiller:
    """Finds an engine for a call's prompt, waits for it, has it read.

    Nothing runs by this, so that it may be repeated, and a call that comes
    to nothing here is refused as not run.
    """

    def __init__(self, state: StreamCallState) -> None:
        self._state = tries
        self._tools = state.tools
        self._knowledge = state.tools.knowledge
        self._context = state.context
        self._watch = self._knowledge.watch_of(self._context.service.name)
        # Whether an engine was asked to read the prompt.
        self.has_sent_prefill = False

    def prefill(self) -> PrefilledPrompt | None:
        """Have the prompt read apart; None where no engine does that."""
        prompt = self._context.call.prompt
        if prompt is None or self._context.service.engine is None:
            return None
        if self._is_short(prompt):
            return None
        readers = self._knowledge.placement.readers(
            self._context.service.name, self._state.tried_ids, clock_s()
        )
        if not readers:
            return None
        asked_s = clock_s()
        grant = self._enter(prompt)
        return self._read_in_turn(prompt, grant, asked_s)

    def _enter(self, prompt: Prompt) -> PrefillGrant:
        """Wait for an engine.

        Raises:
            RefusedError: the prompt would be read too late to be of use.
        """
        request = PrefillRequest(
            service=self._context.service.name,
            prompt=prompt,
            rank=self._context.priority,
            arrived_s=self._context.request.arrived_s,
            goal_s=self._context.route.goal_s,
            useful_until_s=self._useful_until_s(),
            avoid=frozenset(self._state.tried_ids),
        )
        try:
            return self._tools.prefills.enter(request)
        except TooLateError as late:
            self._watch.strain.turned_away(clock_s())
            refusal = Refusal(Cause.TOO_LATE, late.retry_after_s)
            raise RefusedError(refusal) from late

    def _read_in_turn(
        self, prompt: Prompt, grant: PrefillGrant, asked_s: float
    ) -> PrefilledPrompt | None:
        """Have the prompt read, then give the place in the queue back."""
        began_s, place = clock_s(), grant.home
        read_s: float | None = None
        try:
            cache = None if place is None else self._prefill(place)
            if cache is not None:
                read_s = clock_s() - began_s
        finally:
            self._tools.prefills.leave(grant, PrefillResult(read_s))
        if place is None or cache is None or read_s is None:
            return None
        self._note_fetch(prompt, place, read_s)
        self._state.log_decision(
            'prompt.read',
            place.target,
            source=place.source.target_id if place.source else None,
            tokens=prompt.token_count,
            waited_s=began_s - asked_s,
            took_s=read_s,
            placed_by=grant.placed_by,
        )
        return PrefilledPrompt(place.target, cache)

    def _note_fetch(
        self, prompt: Prompt, place: PrefillHome, read_s: float
    ) -> None:
        if place.source is not None:
            source_id = place.source.target_id
            if read_s > self._slow_fetch_s(prompt):
                self._knowledge.fetches.failed(source_id, clock_s())
            else:
                self._knowledge.fetches.succeeded(source_id)

    def _slow_fetch_s(self, prompt: Prompt) -> float:
        alone_s = self._watch.pace.found.expected_s(prompt.token_count) or 0.0
        return max(
            SLOW_FETCH_MEAN_FACTOR * self._watch.line.mean_s,
            SLOW_FETCH_GOAL_SHARE * self._context.route.goal_s,
            SLOW_FETCH_PREFILL_FACTOR * alone_s,
        )

    def _is_short(self, prompt: Prompt) -> bool:
        """Whether the decode engine prefills the prompt as well.

        A short prompt apart waits in line behind long ones and goes to two
        engines, for a reading that hardly holds the second one up. That one
        keeps no parts of prompts: it reads all, at the pace of tokens that
        were not kept, however quick the readers are with those they keep.
        """
        read_s = self._watch.pace.unkept.expected_s(prompt.token_count)
        if read_s is None:
            return False
        return (
            DECODE_ENGINE_SLOWDOWN * read_s
            < SHORT_PROMPT_GOAL_SHARE * self._context.route.goal_s
        )

    def _prefill(self, place: PrefillHome) -> CacheSource:
        """Have an engine read the prompt; nothing runs by this."""
        home, source = place.target, place.source
        forwarding = attrs.evolve(
            self._state.new_forwarding(home),
            is_prefill=True,
            fetch_from=None if source is None else source.address,
        )
        head = self._state.new_request_head(forwarding)
        loads = self._knowledge.loads
        loads.began(home.target_id)
        try:
            handle = self._ask_prefill(home, head)
        except ExchangeError as error:
            raise self._state.new_retryable_error(home, error) from error
        finally:
            loads.ended(home.target_id)
        if handle is None:
            self._state.tried_ids.add(home.target_id)
            loads.refused(home.target_id, clock_s())
            self._state.log_decision('prompt.refused', home)
            raise RetryableError(Cause.NO_RETRY)
        loads.succeeded(home.target_id)
        return CacheSource(home.address, handle)

    def _ask_prefill(
        self, home: RegisteredTarget, head: RequestHead
    ) -> str | None:
        until_s = self._useful_until_s()
        with self._tools.pool.lend(home.address) as connection:
            self.has_sent_prefill = True
            connection.send(head, self._context.request.body)
            answer = connection.read_head(until_s)
            body = connection.read_body(until_s, MAX_PREFILL_BYTES)
            facts = self._tools.dialect.read_answer(answer)
            apply_response_facts(self._tools, home, facts)
            if facts.status != HTTPStatus.OK:
                return None
            return self._tools.dialect.read_prefill(body)

    def _useful_until_s(self) -> float:
        route = self._context.route
        patience_s = max(
            MIN_PATIENCE_S,
            PATIENCE_PER_GOAL * route.goal_s,
            PATIENCE_PER_PAUSE * route.longest_pause_s,
        )
        return min(
            self._context.deadline_s,
            self._context.request.arrived_s + patience_s,
        )
