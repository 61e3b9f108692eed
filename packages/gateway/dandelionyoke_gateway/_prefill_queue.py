"""How prefills wait for an engine, and which engine each one gets."""

import itertools
from typing import Protocol

import attrs

from dandelionyoke_dispatch import (
    Entry,
    LineTicket,
    PrefillHome,
    Prompt,
    ReadingLine,
)
from dandelionyoke_gateway._clock import clock_s
from dandelionyoke_gateway._knowledge import Knowledge, ServiceState
from dandelionyoke_gateway._queue_waiters import WaitResult

# A prefill that ends by this share of the goal leaves the rest of it for the
# transfer of the cache and the first token.
PREFILL_GOAL_SHARE = 0.8
# Prompts so long that no engine reads them within the goal would come last
# in each burst; they count as in time for this share of it.
LARGE_PROMPT_GOAL_SHARE = 0.3


class TooLateError(Exception):
    """The prefill would end too late to be of use; come back later."""

    def __init__(self, retry_after_s: float) -> None:
        super().__init__(f'no place in the queue for {retry_after_s:.2f} s')
        self.retry_after_s = retry_after_s


@attrs.frozen
class PrefillRequest:
    """A prompt that needs an engine; the lower rank goes first.

    Its call arrived at `arrived_s`. Its first token is due `goal_s` later and
    of no use after `useful_until_s`.
    """

    service: str
    prompt: Prompt
    rank: int
    arrived_s: float
    goal_s: float
    useful_until_s: float
    avoid: frozenset[str] = frozenset()


@attrs.frozen
class PrefillGrant:
    """The engine that a request got; None where no engine does prefill now.

    `placed_by` names the other node that chose it.
    """

    request: PrefillRequest
    turn_id: str
    home: PrefillHome | None
    placed_by: str | None = None


@attrs.frozen
class PrefillResult:
    """How long a prefill took; None if the engine did not do it."""

    read_s: float | None = None


class PrefillQueue(Protocol):
    """Gives each prompt an engine when its turn comes."""

    def enter(self, request: PrefillRequest) -> PrefillGrant:
        """Wait for an engine.

        Raises:
            TooLateError: none could begin while that is of use.
        """

    def leave(self, grant: PrefillGrant, result: PrefillResult) -> None:
        """Give a place back, whatever became of the prefill."""


@attrs.frozen
class QueuedPrefill:
    """A request in the queue; `entry` says whether it has to wait."""

    request: PrefillRequest
    ticket: LineTicket
    entry: Entry


class LocalPrefillQueue:
    """The queue of the prompts that this node places."""

    def __init__(self, knowledge: Knowledge) -> None:
        self._knowledge = knowledge
        self._ticket_numbers = itertools.count(1)

    def enter(self, request: PrefillRequest) -> PrefillGrant:
        """Wait for an engine."""
        return self.await_grant(self.enqueue(request))

    def enqueue(self, request: PrefillRequest) -> QueuedPrefill:
        """Enter the queue, or learn at once that this is of no use.

        Raises:
            TooLateError: no engine could begin while that is of use.
        """
        engines = self._knowledge.placement.readers(
            request.service, request.avoid, clock_s()
        )
        ticket, queue = self._build_ticket(request), self._queue(request)
        queue.lost(self._lost_targets())
        entry = queue.enter(ticket, engines, clock_s())
        if entry is Entry.TOO_LATE:
            raise self._too_late(request)
        return QueuedPrefill(request, ticket, entry)

    def await_grant(self, queued: QueuedPrefill) -> PrefillGrant:
        """Wait for the turn of a request, and choose its engine then.

        One that was chosen before might have left meanwhile.

        Raises:
            TooLateError: its turn did not come while that was of use.
        """
        ticket, request = queued.ticket, queued.request
        try:
            is_admitted = queued.entry is Entry.GO or self._await_turn(queued)
        except BaseException:
            self.cancel(queued)
            raise
        if not is_admitted:
            self.cancel(queued)
            raise self._too_late(request)
        return PrefillGrant(
            request, ticket.turn_id, self._choose_engine(queued)
        )

    def cancel(self, queued: QueuedPrefill) -> None:
        """Leave the queue without a prefill."""
        self._release(queued.request, queued.ticket.turn_id, None)

    def leave(self, grant: PrefillGrant, result: PrefillResult) -> None:
        """Give a place back, and learn from the time that it took."""
        self._release(grant.request, grant.turn_id, result.read_s)
        if result.read_s is not None:
            pace = self._service_state(grant.request).pace
            pace.took(grant.request.prompt, result.read_s)

    def _await_turn(self, queued: QueuedPrefill) -> bool:
        """Wait; False if the request is late and would wait in vain."""
        ticket, waiters = queued.ticket, self._knowledge.waiters
        queue = self._queue(queued.request)
        if (
            waiters.wait(ticket.turn_id, ticket.in_time_until_s)
            is WaitResult.ADMITTED
        ):
            return True
        if queue.is_reading(ticket.turn_id):
            return True
        if not queue.stays(ticket.turn_id, clock_s()):
            return False
        result = waiters.wait(ticket.turn_id, ticket.useful_until_s)
        return result is WaitResult.ADMITTED or queue.is_reading(ticket.turn_id)

    def _choose_engine(self, queued: QueuedPrefill) -> PrefillHome | None:
        request, state = queued.request, self._service_state(queued.request)
        home = self._knowledge.placement.prefill_home(
            request.service,
            request.prompt,
            state.pace,
            state.line,
            request.avoid,
            clock_s(),
        )
        if home is not None:
            target_id = home.target.target_id
            state.line.placed(queued.ticket.turn_id, target_id, clock_s())
        return home

    def _build_ticket(self, request: PrefillRequest) -> LineTicket:
        tokens = request.prompt.token_count
        pace = self._service_state(request).pace
        read_s = pace.found.expected_s(tokens) or 0.0
        max_wait_s = max(
            PREFILL_GOAL_SHARE * request.goal_s - read_s,
            LARGE_PROMPT_GOAL_SHARE * request.goal_s,
        )
        return LineTicket(
            turn_id=str(next(self._ticket_numbers)),
            rank=request.rank,
            arrived_s=request.arrived_s,
            in_time_until_s=request.arrived_s + max_wait_s,
            useful_until_s=request.useful_until_s,
            tokens=tokens,
        )

    def _release(
        self, request: PrefillRequest, turn_id: str, read_s: float | None
    ) -> None:
        queue = self._queue(request)
        queue.lost(self._lost_targets())
        for admitted_id in queue.leave(turn_id, read_s, clock_s()):
            self._knowledge.waiters.admit(admitted_id)

    def _lost_targets(self) -> frozenset[str]:
        return frozenset(self._knowledge.loads.lost(clock_s()))

    def _too_late(self, request: PrefillRequest) -> TooLateError:
        return TooLateError(self._queue(request).retry_after_s())

    def _service_state(self, request: PrefillRequest) -> ServiceState:
        return self._knowledge.watch_of(request.service)

    def _queue(self, request: PrefillRequest) -> ReadingLine:
        return self._service_state(request).line
