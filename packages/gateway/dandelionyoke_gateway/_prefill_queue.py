"""The queue in which prefills wait for an engine."""

import itertools
from typing import Protocol

import attrs

from dandelionyoke_dispatch import (
    PrefillPlacement,
    Prompt,
    PromptQueue,
    QueueDecision,
    QueuedPrompt,
    TargetFailure,
    prefill_work_s,
)
from dandelionyoke_gateway._clock import clock_s
from dandelionyoke_gateway._knowledge import Knowledge, ServiceState
from dandelionyoke_gateway._queue_waiters import WaitResult

# A prefill should end by this share of the time-to-first-token goal. The rest
# is for the transfer of the KV cache and the first token.
PREFILL_GOAL_SHARE = 0.8
# A prompt too long for any engine to read within the goal would come last in
# each burst. It counts as in time for this share of the goal.
LARGE_PROMPT_GOAL_SHARE = 0.3


class TooLateError(Exception):
    """The prefill could not start before its deadline; retry later."""

    def __init__(self, retry_after_s: float) -> None:
        super().__init__(f'prefill queue full, retry in {retry_after_s:.2f} s')
        self.retry_after_s = retry_after_s


@attrs.frozen
class PrefillRequest:
    """A prompt that needs an engine; a lower rank goes first.

    Its call arrived at `arrived_s`. The goal for its time to first token is
    `goal_s`, and its deadline is `deadline_s`. Only an engine of the software
    `version` may prefill it; None for any. `call_key` is the same in each
    attempt of a caller; it is empty if unknown, like the `organisation` and the
    name of the `route`.
    """

    service: str
    prompt: Prompt
    rank: int
    arrived_s: float
    goal_s: float
    deadline_s: float
    avoid: frozenset[str] = frozenset()
    version: str | None = None
    organisation: str = ''
    route: str = ''
    call_key: str = ''


@attrs.frozen
class PrefillGrant:
    """The engine chosen for a request; `placement` is None if there is none.

    `placed_by` is the other node that chose it; None if this one did.
    """

    request: PrefillRequest
    ticket_id: str
    placement: PrefillPlacement | None
    placed_by: str | None = None


@attrs.frozen
class PrefillResult:
    """The duration of a prefill; None if it did not run.

    `is_slow_fetch` is whether it waited for the fetch of a shared prefix.
    """

    prefill_s: float | None = None
    is_slow_fetch: bool = False


class PrefillQueue(Protocol):
    """Grants each queued prompt an engine when its turn comes."""

    def acquire(self, request: PrefillRequest) -> PrefillGrant:
        """Wait for an engine.

        Raises:
            TooLateError: no engine could start before the deadline.
        """

    def release(self, grant: PrefillGrant, result: PrefillResult) -> None:
        """Release a grant, whatever the prefill's result."""


@attrs.frozen
class QueuedPrefill:
    """A request in the queue; `decision` is whether it has to wait."""

    request: PrefillRequest
    queued_prompt: QueuedPrompt
    decision: QueueDecision


class LocalPrefillQueue:
    """The queue of the prefills that this node assigns to engines."""

    def __init__(self, knowledge: Knowledge) -> None:
        self._knowledge = knowledge
        self._ticket_numbers = itertools.count(1)

    def acquire(self, request: PrefillRequest) -> PrefillGrant:
        """Wait for an engine.

        Raises:
            TooLateError: no engine could start before the deadline.
        """
        return self.await_grant(self.enqueue(request))

    def enqueue(self, request: PrefillRequest) -> QueuedPrefill:
        """Enter the queue, or fail at once if the wait would be too long.

        Raises:
            TooLateError: no engine could start before the deadline.
        """
        engines = self._knowledge.placement.count_prefill_engines(
            request.service, request.avoid, clock_s()
        )
        queued_prompt, queue = (
            self._build_queued_prompt(request),
            self._queue(request),
        )
        self._record_work(request)
        queue.update_unreachable(self._unreachable_targets())
        decision = queue.enter(queued_prompt, engines, clock_s())
        if decision is QueueDecision.TOO_LATE:
            raise self._too_late(request)
        return QueuedPrefill(request, queued_prompt, decision)

    def await_grant(self, queued: QueuedPrefill) -> PrefillGrant:
        """Wait for a request's turn, then choose its engine.

        An engine chosen before the wait could have left meanwhile.

        Raises:
            TooLateError: its turn did not come before the deadline.
        """
        queued_prompt, request = queued.queued_prompt, queued.request
        try:
            is_admitted = (
                queued.decision is QueueDecision.START
                or self._await_turn(queued)
            )
        except BaseException:
            self.cancel(queued)
            raise
        if not is_admitted:
            self.cancel(queued)
            raise self._too_late(request)
        return PrefillGrant(
            request, queued_prompt.ticket_id, self._choose_engine(queued)
        )

    def cancel(self, queued: QueuedPrefill) -> None:
        """Remove a request from the queue without a prefill."""
        self._release(queued.request, queued.queued_prompt.ticket_id, None)

    def release(self, grant: PrefillGrant, result: PrefillResult) -> None:
        """Release a grant, and record how long the prefill took."""
        self._release(grant.request, grant.ticket_id, result.prefill_s)
        if result.prefill_s is not None:
            prefill_time = self._service_state(grant.request).prefill_time
            prefill_time.add_sample(grant.request.prompt, result.prefill_s)
            if not result.is_slow_fetch:
                self._record_typical_time(grant, result.prefill_s)

    def record_peer_failure(
        self, target_id: str, failure: TargetFailure
    ) -> None:
        """Record a target failure reported by another node."""
        self._knowledge.loads.record_peer_failure(target_id, failure, clock_s())

    def _await_turn(self, queued: QueuedPrefill) -> bool:
        """Wait; return False if the turn will not come before the deadline."""
        queued_prompt, waiters = queued.queued_prompt, self._knowledge.waiters
        queue = self._queue(queued.request)
        if (
            waiters.wait(queued_prompt.ticket_id, queued_prompt.in_time_until_s)
            is WaitResult.ADMITTED
        ):
            return True
        if queue.is_in_flight(queued_prompt.ticket_id):
            return True
        if not queue.keep_waiting(queued_prompt.ticket_id, clock_s()):
            return False
        result = waiters.wait(queued_prompt.ticket_id, queued_prompt.deadline_s)
        return result is WaitResult.ADMITTED or queue.is_in_flight(
            queued_prompt.ticket_id
        )

    def _choose_engine(self, queued: QueuedPrefill) -> PrefillPlacement | None:
        request, state = queued.request, self._service_state(queued.request)
        placement = self._knowledge.placement.choose_prefill_engine(
            request.service,
            request.prompt,
            state.prefill_time,
            state.prompt_queue,
            request.avoid,
            clock_s(),
            request.version,
        )
        if placement is not None:
            target_id = placement.target.target_id
            state.prompt_queue.assign(
                queued.queued_prompt.ticket_id, target_id, clock_s()
            )
        return placement

    def _build_queued_prompt(self, request: PrefillRequest) -> QueuedPrompt:
        tokens = request.prompt.token_count
        prefill_time = self._service_state(request).prefill_time
        prefill_s = prefill_time.with_cache.expected_s(tokens) or 0.0
        max_wait_s = max(
            PREFILL_GOAL_SHARE * request.goal_s - prefill_s,
            LARGE_PROMPT_GOAL_SHARE * request.goal_s,
        )
        return QueuedPrompt(
            ticket_id=str(next(self._ticket_numbers)),
            rank=request.rank,
            arrived_s=request.arrived_s,
            in_time_until_s=request.arrived_s + max_wait_s,
            deadline_s=request.deadline_s,
            tokens=tokens,
        )

    def _release(
        self, request: PrefillRequest, ticket_id: str, prefill_s: float | None
    ) -> None:
        queue = self._queue(request)
        queue.update_unreachable(self._unreachable_targets())
        for admitted_id in queue.leave(ticket_id, prefill_s, clock_s()):
            self._knowledge.waiters.admit(admitted_id)

    def _unreachable_targets(self) -> frozenset[str]:
        return frozenset(self._knowledge.loads.unreachable_ids(clock_s()))

    def _record_work(self, request: PrefillRequest) -> None:
        """Record the engine time for a prompt, also if it is refused."""
        state = self._service_state(request)
        work_s = prefill_work_s(request.prompt, state.typical_prefill_time)
        state.prefill_work.add(work_s, clock_s())

    def _record_typical_time(
        self, grant: PrefillGrant, prefill_s: float
    ) -> None:
        if grant.placement is None:
            return
        slowness = self._knowledge.speeds.slowness(
            grant.placement.target.target_id, clock_s()
        )
        self._service_state(grant.request).typical_prefill_time.add_sample(
            grant.request.prompt, prefill_s / slowness
        )

    def _too_late(self, request: PrefillRequest) -> TooLateError:
        return TooLateError(self._queue(request).retry_after_s())

    def _service_state(self, request: PrefillRequest) -> ServiceState:
        return self._knowledge.service_state(request.service)

    def _queue(self, request: PrefillRequest) -> PromptQueue:
        return self._service_state(request).prompt_queue
