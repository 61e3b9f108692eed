"""Has a prompt read apart from the stream that follows."""

from http import HTTPStatus

import attrs

from dandelionyoke_dispatch import (
    Cause,
    Entry,
    GateTicket,
    PrefillHome,
    Prompt,
    Refusal,
    RegisteredTarget,
)
from dandelionyoke_gateway._call_desk import RefusedError
from dandelionyoke_gateway._clock import clock_s
from dandelionyoke_gateway._errors import ExchangeError
from dandelionyoke_gateway._gate_turns import Turn
from dandelionyoke_gateway._messages import RequestHead
from dandelionyoke_gateway._plain_call import note_facts
from dandelionyoke_gateway._ports import CacheSource
from dandelionyoke_gateway._stream_tries import NextTryError, StreamTries

MAX_PREFILL_BYTES = 65536

# A caller gives up on a stream that has not begun after this long, or four
# times its goal or eight times its longest pause (from the users' protocol).
LEAST_PATIENCE_S = 2.0
PATIENCE_GOALS = 4
PATIENCE_PAUSES = 8

# A prompt is short if an engine that makes tokens, which reads at half the
# pace (from the users' protocol), has read it within this share of the goal.
SHORT_SHARE = 0.1
WHOLE_SLOWDOWN = 2


@attrs.frozen
class ReadPrompt:
    """A prompt that was read, and the engine that keeps its cache."""

    home: RegisteredTarget
    cache: CacheSource


class PromptReader:
    """Finds an engine for a call's prompt, waits for it, has it read.

    Nothing runs by this, so that it may be repeated, and a call that comes
    to nothing here is refused as not run.
    """

    def __init__(self, tries: StreamTries) -> None:
        self._tries = tries
        self._tools = tries.tools
        self._knowledge = tries.tools.knowledge
        self._opened = tries.opened
        self._watch = self._knowledge.watch_of(self._opened.service.name)
        self._count = 0

    def read(self) -> ReadPrompt | None:
        """Have the prompt read apart; None where no engine does that."""
        prompt = self._opened.call.prompt
        if prompt is None or self._opened.service.engine is None:
            return None
        if self._is_short(prompt):
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
            self._watch.pace.took(prompt.token_count, read_s)
        finally:
            self._leave_gate(place.target, read_s)
        self._tries.tell(
            'prompt.read',
            place.target,
            source=place.source.target_id if place.source else None,
            waited_s=began_s - asked_s,
            took_s=read_s,
        )
        return ReadPrompt(place.target, cache)

    def _is_short(self, prompt: Prompt) -> bool:
        """Whether the engine that makes the tokens reads the prompt as well.

        A short prompt apart waits in line behind long ones and goes to two
        engines, for a reading that hardly holds the second one up.
        """
        read_s = self._watch.pace.expected_s(prompt.token_count)
        if read_s is None:
            return False
        return WHOLE_SLOWDOWN * read_s < SHORT_SHARE * self._opened.route.goal_s

    def _find_place(self, prompt: Prompt) -> PrefillHome | None:
        """Get a place at an engine that takes work at this moment."""
        while True:
            place = self._knowledge.placement.prefill_home(
                self._opened.service.name,
                prompt,
                self._watch.pace,
                self._tries.tried,
                clock_s(),
            )
            if place is None or self._pass_gate(place.target, prompt):
                return place

    def _pass_gate(self, home: RegisteredTarget, prompt: Prompt) -> bool:
        """Wait for a place; False if the engine left meanwhile."""
        # Each try waits under a name of its own.
        self._count += 1
        ticket = GateTicket(
            self._call_id,
            home.target_id,
            self._opened.rank,
            self._opened.request.arrived_s,
            self._useful_until_s(),
            prompt.token_count,
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
        self._watch.strain.turned_away(clock_s())
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
            self._tries.forwarding(home),
            is_prefill=True,
            fetch_from=None if source is None else source.address,
        )
        head = self._tries.head(forwarding)
        loads = self._knowledge.loads
        loads.began(home.target_id)
        try:
            handle = self._ask_prefill(home, head)
        except ExchangeError as error:
            raise self._tries.next_try(home, error) from error
        finally:
            loads.ended(home.target_id)
        if handle is None:
            self._tries.tried.add(home.target_id)
            loads.refused(home.target_id, clock_s())
            self._tries.tell('prompt.refused', home)
            raise NextTryError(Cause.NO_RETRY)
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

    @property
    def _call_id(self) -> str:
        return f'{self._opened.call.attempt_id}.{self._count}'

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
