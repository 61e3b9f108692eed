"""Disaggregated prefill: runs the prefill of a call on a separate engine."""

from http import HTTPStatus

import attrs
import eventlet

from dandelionyoke_dispatch import (
    Cause,
    PrefillPlacement,
    Prompt,
    Refusal,
    RegisteredTarget,
    prefill_work_s,
)
from dandelionyoke_gateway._call_dispatcher import (
    RefusedError,
    check_send,
)
from dandelionyoke_gateway._clock import clock_s, stalled_s
from dandelionyoke_gateway._errors import ExchangeError
from dandelionyoke_gateway._messages import RequestHead
from dandelionyoke_gateway._placement_log import (
    count_prefix_use,
    forecast_facts,
    log_slow_fetch,
)
from dandelionyoke_gateway._plain_call import (
    apply_response_facts,
    record_refusal,
    validate_attempt_id,
)
from dandelionyoke_gateway._ports import CacheSource
from dandelionyoke_gateway._prefill_queue import (
    PrefillGrant,
    PrefillRequest,
    PrefillResult,
    TooLateError,
)
from dandelionyoke_gateway._silence import CutOffWatch
from dandelionyoke_gateway._stream_call_state import (
    RetryableError,
    StreamCallState,
)

MAX_PREFILL_BYTES = 65536

# A caller is assumed to give up on a stream without a first token after the
# longest of this time, four times its time-to-first-token goal and eight times
# its longest acceptable pause between tokens.
MIN_PATIENCE_S = 2.0
PATIENCE_PER_GOAL = 4
PATIENCE_PER_PAUSE = 8

# A prompt is short if a decode engine, which prefills at half the speed,
# needs at most this share of the goal for it.
SHORT_PROMPT_GOAL_SHARE = 0.1
DECODE_ENGINE_SLOWDOWN = 2

# The prefill of a prompt with a fetched shared prefix is slow if it takes
# longer than the largest of: this multiple of the recent mean, this share of
# the goal, and this multiple of the expected time of this prompt alone.
SLOW_FETCH_MEAN_FACTOR = 2.5
SLOW_FETCH_GOAL_SHARE = 0.5
SLOW_FETCH_PREFILL_FACTOR = 2


@attrs.frozen
class PrefilledPrompt:
    """A prefilled prompt and the engine that holds its KV cache.

    `is_own` is False if another node had it prefilled and releases the cache.
    """

    target: RegisteredTarget
    cache: CacheSource
    is_own: bool = True


class PromptPrefiller:
    """Waits for a prefill engine and runs the prefill of a call on it.

    A prefill does not count as running the call: it may be repeated, and a
    call that fails here is refused as not run.
    """

    def __init__(self, state: StreamCallState) -> None:
        self._state = state
        self._deps = state.deps
        self._knowledge = state.deps.knowledge
        self._context = state.context
        self._service_stats = self._knowledge.service_state(
            self._context.service.name
        )

    def find_handed(self) -> PrefilledPrompt | None:
        """Return the prompt that came prefilled with a handed call, if any."""
        handed_over = self._context.request.handed_over
        if handed_over is None or not handed_over.cache_handle:
            return None
        self._context.attempts.is_prefill_accepted = True
        target = self._knowledge.registry.find(handed_over.cache_target_id)
        if target is None:
            return None
        cache = CacheSource(target, handed_over.cache_handle)
        return PrefilledPrompt(target, cache, is_own=False)

    def prefill(self, version: str | None = None) -> PrefilledPrompt | None:
        """Run the prefill separately; None if the decode engine must do it.

        `version` is that of the stream's engines if it is bound to one.
        """
        prompt = self._context.call.prompt
        if prompt is None or self._context.service.engine is None:
            return None
        if self._is_short(prompt):
            self._record_decode_work(prompt)
            return None
        engines = self._knowledge.placement.count_prefill_engines(
            self._context.service.name,
            self._state.tried_ids,
            clock_s(),
            version,
        )
        if not engines:
            self._record_decode_work(prompt)
            return None
        queued_s = clock_s()
        grant = self._enter_queue(prompt, version)
        return self._prefill_with_grant(prompt, grant, queued_s)

    def keep_decodable(
        self, prompt: PrefilledPrompt | None
    ) -> PrefilledPrompt | None:
        """Return the prompt; None if no engine of its version can decode it.

        Its cache is released then, and the decode engine prefills the prompt.
        """
        if prompt is None or self._knowledge.placement.can_decode(
            prompt.target, self._state.tried_ids, clock_s()
        ):
            return prompt
        self._state.log_decision('prompt.dropped', prompt.target)
        self.release(prompt)
        return None

    def release(self, prompt: PrefilledPrompt | None) -> None:
        """Free the memory of a KV cache that no engine has imported."""
        if prompt is not None and prompt.is_own:
            eventlet.spawn_n(self._deps.engines.release_cache, prompt.cache)

    @property
    def deadline_s(self) -> float:
        """The time at which the caller gives up on its first token."""
        if self._is_resumed:
            # Its caller has had a first token and knows that it goes on.
            return self._context.deadline_s
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

    def _enter_queue(self, prompt: Prompt, version: str | None) -> PrefillGrant:
        """Wait in the prefill queue for an engine.

        Raises:
            RefusedError: the prefill would end too late to be useful.
        """
        request = PrefillRequest(
            service=self._context.service.name,
            prompt=prompt,
            rank=self._context.priority,
            arrived_s=self._context.request.arrived_s,
            goal_s=self._context.route.goal_s,
            deadline_s=self.deadline_s,
            avoid=self._knowledge.placement.unavailable_ids(
                self._context.service.name, clock_s()
            ).union(self._state.tried_ids),
            version=version,
            organisation=self._context.organisation_name or '',
            route=self._context.route.name,
            call_key=self._context.crash_keys.fingerprint,
        )
        try:
            return self._deps.prefill_queue.acquire(request)
        except TooLateError as error:
            self._service_stats.overload.record_refusal(clock_s())
            refusal = Refusal(Cause.TOO_LATE, error.retry_after_s)
            raise RefusedError(refusal) from error

    def _prefill_with_grant(
        self, prompt: Prompt, grant: PrefillGrant, queued_s: float
    ) -> PrefilledPrompt | None:
        """Run the prefill, then release the grant."""
        started_s, placement = clock_s(), grant.placement
        prefill_s: float | None = None
        is_slow = False
        try:
            cache = None if placement is None else self._prefill_on(placement)
            if cache is not None:
                # The engine did not need the time that this process lost.
                prefill_s = clock_s() - started_s - stalled_s(started_s)
                is_slow = self._is_told_slow(prompt, grant, prefill_s)
        finally:
            result = PrefillResult(prefill_s, is_slow)
            self._deps.prefill_queue.release(grant, result)
        if placement is None or cache is None or prefill_s is None:
            return None
        self._record_fetch(prompt, placement, prefill_s)
        self._state.log_decision(
            'prompt.read',
            placement.target,
            tokens=prompt.token_count,
            waited_s=started_s - queued_s,
            took_s=prefill_s,
            placed_by=grant.placed_by,
            **forecast_facts(placement),
        )
        count_prefix_use(self._deps.log, placement)
        return PrefilledPrompt(placement.target, cache)

    def _record_fetch(
        self, prompt: Prompt, placement: PrefillPlacement, prefill_s: float
    ) -> None:
        if placement.source is not None:
            source_id = placement.source.target_id
            if self._is_slow_fetch(prompt, placement, prefill_s):
                self._knowledge.fetches.failed(source_id, clock_s())
                log_slow_fetch(self._deps.log, placement, prefill_s)
            else:
                self._knowledge.fetches.succeeded(source_id)

    def _is_told_slow(
        self, prompt: Prompt, grant: PrefillGrant, prefill_s: float
    ) -> bool:
        """Whether to tell the placing node that a fetch was slow."""
        if not self._knowledge.speeds.is_balanced(grant.request.service):
            return False
        placement = grant.placement
        return placement is not None and self._is_slow_fetch(
            prompt, placement, prefill_s
        )

    def _is_slow_fetch(
        self, prompt: Prompt, placement: PrefillPlacement, prefill_s: float
    ) -> bool:
        """Whether a prefill waited for the fetch of its shared prefix."""
        return (
            placement.source is not None
            and prefill_s > self._slow_fetch_s(prompt)
            and placement.is_far_exceeded(prefill_s)
        )

    def _slow_fetch_s(self, prompt: Prompt) -> float:
        expected_s = (
            self._service_stats.prefill_time.with_cache.expected_s(
                prompt.token_count
            )
            or 0.0
        )
        return max(
            SLOW_FETCH_MEAN_FACTOR
            * self._service_stats.prompt_queue.mean_prefill_s,
            SLOW_FETCH_GOAL_SHARE * self._context.route.goal_s,
            SLOW_FETCH_PREFILL_FACTOR * expected_s,
        )

    def _record_decode_work(self, prompt: Prompt) -> None:
        """Record the time that a decode engine needs to prefill a prompt."""
        work_s = prefill_work_s(prompt, self._service_stats.prefill_time)
        self._service_stats.decode_work.add(
            DECODE_ENGINE_SLOWDOWN * work_s, clock_s()
        )

    def _is_short(self, prompt: Prompt) -> bool:
        """Whether the decode engine should prefill the prompt itself.

        A separate prefill of a short prompt waits in the queue behind long
        ones and occupies two engines, to save the decode engine a prefill
        that hardly delays it. A decode engine caches no shared prefixes. It
        prefills all tokens at the speed for uncached tokens, however fast the
        prefill engines are with the prefixes that they cache.
        """
        prefill_s = self._service_stats.prefill_time.without_cache.expected_s(
            prompt.token_count
        )
        if prefill_s is None:
            return False
        return (
            DECODE_ENGINE_SLOWDOWN * prefill_s
            < SHORT_PROMPT_GOAL_SHARE * self._context.route.goal_s
        )

    def _prefill_on(self, placement: PrefillPlacement) -> CacheSource:
        """Send the prefill request to an engine; this does not run the call."""
        # It may have waited for its turn.
        check_send(self._deps, self._context)
        target, source = placement.target, placement.source
        forwarding = attrs.evolve(
            self._state.new_forwarding(target),
            is_prefill=True,
            fetch_from=None if source is None else source.address,
        )
        head = self._state.new_request_head(forwarding)
        self._deps.target_gate.enter(target, self._context.call.attempt_id)
        loads = self._knowledge.loads
        loads.call_started(target.target_id)
        try:
            handle = self._exchange(target, head)
        except ExchangeError as error:
            raise self._state.record_failed_send(target, error) from error
        finally:
            loads.call_ended(target.target_id)
        if handle is None:
            self._context.tried.add_refusing([target.target_id])
            self._state.log_decision('prompt.refused', target)
            raise RetryableError(Cause.NO_RETRY)
        loads.succeeded(target.target_id)
        self._context.attempts.is_prefill_accepted = True
        return CacheSource(target, handle)

    def _exchange(
        self, target: RegisteredTarget, head: RequestHead
    ) -> str | None:
        deadline_s = self.deadline_s
        with self._deps.connect_to(
            target, self._context, CutOffWatch()
        ) as connection:
            self._state.retries.prefill_sent()
            connection.send(head, self._context.request.body)
            response = connection.read_head(deadline_s)
            facts = self._deps.dialect.read_response(response)
            validate_attempt_id(facts, self._context, connection)
            apply_response_facts(self._deps, self._context, target, facts)
            body = connection.read_body(deadline_s, MAX_PREFILL_BYTES)
            handle = None
            if facts.status == HTTPStatus.OK:
                handle = self._deps.dialect.read_prefill(body)
            if handle is None:
                record_refusal(self._deps, target, facts)
            return handle

    @property
    def _is_resumed(self) -> bool:
        """Whether the caller has a part of the stream already."""
        if self._context.request.handed_over is not None:
            return self._state.last_event_id is not None
        return self._context.responder.has_started
