"""The queue in which prefills wait for an engine."""

import itertools
from typing import Protocol

import attrs

from dandelionyoke_dispatch import (
    PrefillCapacity,
    PrefillOutcome,
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
from dandelionyoke_gateway._log import DecisionLog
from dandelionyoke_gateway._placing_share import PlacingShare
from dandelionyoke_gateway._prefill_log import PrefillLog, RefusalTime
from dandelionyoke_gateway._queue_waiters import WaitResult

# A prefill should end by this share of the time-to-first-token goal. The rest
# is for the transfer of the KV cache and the first token.
PREFILL_GOAL_SHARE = 0.8
# A prompt too long for any engine to read within the goal would come last in
# each burst. It counts as in time for this share of the goal.
LARGE_PROMPT_GOAL_SHARE = 0.3
# A call that waits is refused within this time of the moment when it is certain
# that its turn would come too late.
FORECAST_INTERVAL_S = 0.25


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
    entered_s: float = attrs.field(factory=clock_s)


class LocalPrefillQueue:
    """The queue of the prefills that this node assigns to engines."""

    def __init__(self, knowledge: Knowledge) -> None:
        self._knowledge = knowledge
        self._share = PlacingShare(knowledge)
        self._log = PrefillLog()
        self._ticket_numbers = itertools.count(1)

    def attach_log(self, log: DecisionLog) -> None:
        """Set the log of this process."""
        self._log.attach(log)

    def acquire(self, request: PrefillRequest) -> PrefillGrant:
        """Wait for an engine.

        Raises:
            TooLateError: no engine could start before the deadline.
        """
        return self.await_grant(self._enqueue(request))

    def enqueue(self, request: PrefillRequest) -> QueuedPrefill:
        """Enter the queue for another node, or fail if it would be too late.

        Raises:
            TooLateError: no engine could start before the deadline.
        """
        self._share.mark_asked()
        return self._enqueue(request)

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
            raise self._refuse(request, queued_prompt, RefusalTime.WAITING)
        self._record_grant(queued)
        return PrefillGrant(
            request, queued_prompt.ticket_id, self._choose_engine(queued)
        )

    def cancel(self, queued: QueuedPrefill) -> None:
        """Remove a request from the queue without a prefill."""
        self._release(queued.request, queued.queued_prompt.ticket_id, None)

    def release(self, grant: PrefillGrant, result: PrefillResult) -> None:
        """Release a grant, and learn from how long the prefill took."""
        if grant.placement is not None:
            self._knowledge.placement.prefill_hints.prefill_ended(
                grant.ticket_id,
                grant.request.prompt,
                grant.placement,
                PrefillOutcome(result.prefill_s, result.is_slow_fetch),
                clock_s(),
            )
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

    def record_peer_fetch(
        self, grant: PrefillGrant, result: PrefillResult
    ) -> bool:
        """Record how a fetch went at another node; return whether it was slow.

        A prefill that took as long as forecast waited for other prompts.
        """
        placement, took_s = grant.placement, result.prefill_s
        if placement is None or placement.source is None or took_s is None:
            return False
        if not self._knowledge.speeds.is_balanced(grant.request.service):
            return False
        source_id, fetches = placement.source.target_id, self._knowledge.fetches
        if result.is_slow_fetch and placement.is_far_exceeded(took_s):
            fetches.failed(source_id, clock_s())
            return True
        fetches.succeeded(source_id)
        return False

    def _enqueue(self, request: PrefillRequest) -> QueuedPrefill:
        """Enter the queue, or fail at once if the wait would be too long.

        Raises:
            TooLateError: no engine could start before the deadline.
        """
        queue, capacity = self._queue(request), self._capacity(request)
        if self._knowledge.speeds.is_balanced(request.service):
            queue.share_engine_time(capacity)
        queue.update_unreachable(self._unreachable_targets())
        queued_prompt = self._build_queued_prompt(request)
        self._record_work(request)
        decision = queue.enter(queued_prompt, capacity.engines, clock_s())
        if decision is QueueDecision.TOO_LATE:
            raise self._refuse(request, queued_prompt, RefusalTime.ARRIVAL)
        if queue.shares_engine_time:
            self._admit(queue)
        return QueuedPrefill(request, queued_prompt, decision)

    def _capacity(self, request: PrefillRequest) -> PrefillCapacity:
        placement, now_s = self._knowledge.placement, clock_s()
        engines = placement.count_prefill_engines(
            request.service, request.avoid, now_s
        )
        speed = placement.prefill_capacity(
            request.service, request.avoid, now_s
        )
        prefill_time = self._service_state(request).prefill_time
        return PrefillCapacity(
            engines,
            speed or 1.0,
            prefill_time.with_cache.expected_s(1),
            self._share.share,
        )

    def _await_turn(self, queued: QueuedPrefill) -> bool:
        """Wait; return False if the turn will not come before the deadline."""
        queued_prompt, waiters = queued.queued_prompt, self._knowledge.waiters
        queue = self._queue(queued.request)
        if queue.is_in_flight(queued_prompt.ticket_id):
            return True
        if queue.shares_engine_time:
            return self._await_forecast(queued_prompt, queue)
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

    def _await_forecast(
        self, queued_prompt: QueuedPrompt, queue: PromptQueue
    ) -> bool:
        """Wait while the turn may still come before the deadline.

        Checks also admit calls: no message tells that another node's backlog
        has expired.
        """
        ticket_id, waiters = queued_prompt.ticket_id, self._knowledge.waiters
        while queue.can_start(queued_prompt, clock_s()):
            check_s = clock_s() + FORECAST_INTERVAL_S
            waiters.wait(ticket_id, min(check_s, queued_prompt.deadline_s))
            if queue.is_forecast_due(clock_s()):
                self._admit(queue)
            if queue.is_in_flight(ticket_id):
                return True
        return False

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
            ticket_id = queued.queued_prompt.ticket_id
            state.prompt_queue.assign(
                ticket_id, placement.target.target_id, clock_s()
            )
            self._knowledge.placement.prefill_hints.prefill_placed(
                ticket_id, request.prompt, placement, clock_s()
            )
        return placement

    def _build_queued_prompt(self, request: PrefillRequest) -> QueuedPrompt:
        tokens = request.prompt.token_count
        state = self._service_state(request)
        prefill_s = state.prefill_time.with_cache.expected_s(tokens) or 0.0
        max_wait_s = max(
            PREFILL_GOAL_SHARE * request.goal_s - prefill_s,
            LARGE_PROMPT_GOAL_SHARE * request.goal_s,
        )
        return QueuedPrompt(
            ticket_id=str(next(self._ticket_numbers)),
            rank=request.rank,
            arrived_s=state.first_arrivals.find(
                request.call_key, request.arrived_s, clock_s()
            ),
            in_time_until_s=request.arrived_s + max_wait_s,
            deadline_s=request.deadline_s,
            tokens=tokens,
            work_s=prefill_s or state.prompt_queue.mean_prefill_s,
            organisation=request.organisation,
            route=request.route,
        )

    def _release(
        self, request: PrefillRequest, ticket_id: str, prefill_s: float | None
    ) -> None:
        queue = self._queue(request)
        queue.update_unreachable(self._unreachable_targets())
        for admitted_id in queue.leave(ticket_id, prefill_s, clock_s()):
            self._knowledge.waiters.admit(admitted_id)

    def _admit(self, queue: PromptQueue) -> None:
        for admitted_id in queue.admit(clock_s()):
            self._knowledge.waiters.admit(admitted_id)

    def _record_grant(self, queued: QueuedPrefill) -> None:
        state = self._service_state(queued.request)
        if state.prompt_queue.shares_engine_time:
            state.first_arrivals.forget(queued.request.call_key)
            waited_s = clock_s() - queued.entered_s
            self._log.granted(queued.queued_prompt, waited_s)

    def _unreachable_targets(self) -> frozenset[str]:
        return frozenset(self._knowledge.loads.unreachable_ids(clock_s()))

    def _refuse(
        self,
        request: PrefillRequest,
        queued_prompt: QueuedPrompt,
        refused_at: RefusalTime,
    ) -> TooLateError:
        """Return the error that refuses a call, and record the refusal."""
        state, now_s = self._service_state(request), clock_s()
        queue = state.prompt_queue
        if not queue.shares_engine_time:
            return TooLateError(queue.retry_after_s())
        state.first_arrivals.remember(
            request.call_key, queued_prompt.arrived_s, now_s
        )
        retry_after_s = queue.spread_retry_after_s(
            queued_prompt.deadline_s - now_s,
            self._knowledge.random.random(),
            now_s,
        )
        self._log.refused(queued_prompt, refused_at, queue, retry_after_s)
        return TooLateError(retry_after_s)

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

    def _service_state(self, request: PrefillRequest) -> ServiceState:
        return self._knowledge.service_state(request.service)

    def _queue(self, request: PrefillRequest) -> PromptQueue:
        return self._service_state(request).prompt_queue
