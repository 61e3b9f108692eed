"""Forwards a call that is answered with a stream of events."""

from http import HTTPStatus

import attrs
import eventlet

from dandelionyoke_dispatch import (
    DEFAULT_RETRY_AFTER_S,
    Cause,
    Refusal,
    RegisteredTarget,
)
from dandelionyoke_gateway._call_context import CallContext
from dandelionyoke_gateway._call_dispatcher import (
    CallDependencies,
    RefusedError,
    charge_retry,
    limited_refusal,
)
from dandelionyoke_gateway._clock import clock_s
from dandelionyoke_gateway._errors import ExchangeError
from dandelionyoke_gateway._event_stream import EventSplitter, StreamEvent
from dandelionyoke_gateway._handover import HandedCall
from dandelionyoke_gateway._messages import ResponseHead
from dandelionyoke_gateway._plain_call import (
    apply_response_facts,
    count_usage_once,
    record_refusal,
    validate_attempt_id,
    validate_response,
)
from dandelionyoke_gateway._ports import (
    ResponseFacts,
)
from dandelionyoke_gateway._prompt_prefiller import (
    PrefilledPrompt,
    PromptPrefiller,
)
from dandelionyoke_gateway._stream_binding import (
    bind_at_event,
    bind_at_head,
    bind_resumed,
    ids_to_avoid,
    is_version_lost,
)
from dandelionyoke_gateway._stream_call_state import (
    RetryableError,
    RetryDeniedError,
    StreamCallState,
)
from dandelionyoke_gateway._target_connection import TargetConnection
from dandelionyoke_gateway._target_gate import TargetLimitedError
from dandelionyoke_gateway._target_identity import check_identity

MAX_ERROR_BODY_BYTES = 1048576
MAX_SENDS = 4

# A resumable stream that sends nothing for this long moves to another engine.
# This is half of the minimum time after which callers give up on a stream.
STALL_TIMEOUT_S = 1.0


def forward_stream_call(deps: CallDependencies, context: CallContext) -> None:
    """Run the prefill, then forward the stream to the caller."""
    bind_resumed(deps, context)
    _StreamCall(deps, context).run()


class _StreamCall:
    """One streamed call from its prefill to its last event."""

    def __init__(self, deps: CallDependencies, context: CallContext) -> None:
        self._deps = deps
        self._knowledge = deps.knowledge
        self._context = context
        self._state = StreamCallState(deps, context)
        self._prefiller = PromptPrefiller(self._state)
        # Kept for a retry as long as no decode engine has imported its KV cache.
        self._prompt = self._prefiller.find_handed()
        self._cause = Cause.NO_RETRY
        # The number of sends at which a retry was charged.
        self._charged_at: int | None = None

    def run(self) -> None:
        """Send the call until one stream completes; release an unused cache."""
        try:
            self._send_with_retries()
        except RetryDeniedError as error:
            raise RefusedError(
                Refusal(self._cause, DEFAULT_RETRY_AFTER_S)
            ) from error
        finally:
            self._release_cache(self._prompt)

    def _send_with_retries(self) -> None:
        # Not after the prefill, which would be in vain.
        self._refuse_if_limited()
        for attempt_index in range(MAX_SENDS):
            if attempt_index and not self._may_retry():
                break
            try:
                self._send_within_limits()
            except RetryableError as error:
                self._cause = error.cause
                continue
            return
        raise RefusedError(Refusal(self._cause, DEFAULT_RETRY_AFTER_S))

    def _refuse_if_limited(self) -> None:
        refusal = limited_refusal(self._deps, self._context)
        if refusal is not None:
            raise RefusedError(refusal)

    def _send_within_limits(self) -> None:
        """Send the call to targets that take a request now."""
        while True:
            try:
                self._send_once()
            except TargetLimitedError as error:
                # It is passed over from now on.
                if clock_s() >= self._context.deadline_s:
                    raise RetryableError(Cause.OUT_OF_TIME) from error
                continue
            return

    def _may_retry(self) -> bool:
        context = self._context
        if clock_s() >= context.deadline_s:
            return False
        if context.responder.has_started and not context.route.is_resumable:
            return False
        if is_version_lost(context):
            return False
        return context.attempts.may_run_again(context.route.is_repeatable)

    def _charge_retry(self) -> None:
        """Charge the sends that this try repeats to the retry budget.

        Raises:
            RetryDeniedError: the budget does not allow it.
        """
        send_count = self._context.attempts.send_count
        if self._charged_at == send_count:
            # Nothing was sent since.
            return
        if not charge_retry(self._deps, self._context, self._retry_cost()):
            raise RetryDeniedError
        self._charged_at = send_count

    def _retry_cost(self) -> int:
        """Count the sends that this try repeats.

        A refused connection carried nothing. If it counted, a crash would
        use up the budget before its calls reach another engine. A repeated
        prefill counts in addition to the stream. Otherwise all nodes together
        would exceed the retry limit.
        """
        attempts = self._context.attempts
        is_prefill_repeated = self._prompt is None and attempts.is_prefill_sent
        return attempts.is_sent + is_prefill_repeated

    def _send_once(self) -> None:
        handover, service = self._deps.handover, self._context.service.name
        # A prefill would be in vain, and its caller would wait for it.
        is_reached = not self._knowledge.placement.is_decode_unreachable(
            service, clock_s()
        )
        if not is_reached:
            self._deps.reach.watch_decode(service)
        if handover.is_needed(self._context, is_reached=is_reached):
            self._hand_over()
            return
        if not is_reached or handover.cannot_be_served(self._context):
            raise RefusedError(Refusal(Cause.NO_TARGET, DEFAULT_RETRY_AFTER_S))
        self._charge_retry()
        if self._prompt is None:
            self._prompt = self._prefiller.prefill()
        self._stream_from(
            self._choose_decode_target(self._prompt), self._prompt
        )

    def _choose_decode_target(
        self, prompt: PrefilledPrompt | None
    ) -> RegisteredTarget:
        preferred_domain = None if prompt is None else prompt.target.domain
        avoid = ids_to_avoid(self._deps, self._context, self._state.tried_ids)
        target = self._knowledge.placement.choose_decode_target(
            self._context.service.name,
            preferred_domain,
            avoid,
            clock_s(),
        )
        if target is not None:
            return target
        target = self._knowledge.placement.choose_plain_target(
            self._context.service.name, avoid, clock_s()
        )
        if target is None:
            self._refuse_if_limited()
            raise RefusedError(Refusal(Cause.NO_TARGET, DEFAULT_RETRY_AFTER_S))
        return target

    def _release_cache(self, prompt: PrefilledPrompt | None) -> None:
        """Free the memory of a KV cache that no engine has imported."""
        if prompt is None or not prompt.is_own:
            return
        eventlet.spawn_n(self._deps.engines.release_cache, prompt.cache)

    # Streaming.

    def _stream_from(
        self, target: RegisteredTarget, prompt: PrefilledPrompt | None
    ) -> None:
        check_identity(self._state, target)
        self._deps.target_gate.enter(target, self._context.call.attempt_id)
        loads = self._knowledge.loads
        loads.call_started(target.target_id)
        try:
            self._exchange(target, prompt)
        except ExchangeError as error:
            if error.sent:
                # It is unknown whether the engine has imported the KV cache.
                self._prompt = None
            raise self._state.record_failed_send(target, error) from error
        finally:
            loads.call_ended(target.target_id)

    def _exchange(
        self, target: RegisteredTarget, prompt: PrefilledPrompt | None
    ) -> None:
        cache = None if prompt is None else prompt.cache
        forwarding = attrs.evolve(
            self._state.new_forwarding(target), cache=cache
        )
        head = self._state.new_request_head(forwarding)
        with self._deps.connect_to(
            target, is_repeatable=self._context.route.is_repeatable
        ) as connection:
            self._context.attempts.sent(target.target_id)
            connection.send(head, self._context.request.body)
            is_stream = self._read_head(target, connection)
            if is_stream:
                self._relay(connection, target.version)
        if is_stream:
            self._knowledge.loads.succeeded(target.target_id)
            self._context.attempts.ran()
            self._context.responder.finish()

    def _read_head(
        self, target: RegisteredTarget, connection: TargetConnection
    ) -> bool:
        """Read the head of a response; return whether a stream follows."""
        sent_s = clock_s()
        response = connection.read_head(self._read_deadline_s())
        facts = self._deps.dialect.read_response(response)
        self._check_response(target, response, facts, connection)
        self._prompt = None
        since_arrival_s = clock_s() - self._context.request.arrived_s
        self._deps.log.observe('stream.begin', since_arrival_s)
        self._knowledge.service_state(
            self._context.service.name
        ).overload.record_first_token(
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
            bind_at_head(self._context, target)
            self._start_response(response)
            return True
        self._forward_error(response, connection)
        return False

    def _check_response(
        self,
        target: RegisteredTarget,
        response: ResponseHead,
        facts: ResponseFacts,
        connection: TargetConnection,
    ) -> None:
        """Check that the target ran this call and the response belongs to it.

        Raises:
            RetryableError: the target refused the call.
            ExchangeError: the response must not reach the caller.
        """
        validate_attempt_id(facts, self._context)
        apply_response_facts(self._deps, self._context, target, facts)
        if facts.is_not_run:
            self._context.attempts.refused()
            self._state.tried_ids.add(target.target_id)
            record_refusal(self._deps, target, facts)
            self._state.log_decision(
                'stream.refused', target, status=facts.status
            )
            connection.read_body(self._context.deadline_s, MAX_ERROR_BODY_BYTES)
            raise RetryableError(Cause.NO_RETRY)
        validate_response(response, facts, self._context)

    def _forward_error(
        self, response: ResponseHead, connection: TargetConnection
    ) -> None:
        """Forward the error response of an engine unchanged."""
        body = connection.read_body(
            self._context.deadline_s, MAX_ERROR_BODY_BYTES
        )
        self._context.attempts.ran()
        if not self._context.responder.has_started:
            head = self._deps.dialect.response_head(response)
            self._context.responder.respond(head, body)

    def _start_response(self, response: ResponseHead) -> None:
        if not self._context.responder.has_started:
            head = self._deps.dialect.response_head(response)
            self._context.responder.start(head)

    def _relay(
        self, connection: TargetConnection | HandedCall, version: str | None
    ) -> None:
        splitter = EventSplitter()
        while True:
            chunk = connection.read_chunk(self._read_deadline_s())
            if chunk is None:
                break
            events = splitter.feed(chunk)
            if events:
                bind_at_event(
                    self._deps,
                    self._context,
                    version,
                    is_elsewhere=isinstance(connection, HandedCall),
                )
                self._forward_events(events)
        if not splitter.is_at_event_boundary:
            raise ExchangeError(
                'the stream ended in the middle of an event', sent=True
            )

    def _forward_events(self, events: list[StreamEvent]) -> None:
        count_usage_once(self._deps, self._context, clock_s())
        self._context.responder.send_chunk(
            b''.join(event.content for event in events)
        )
        for event in events:
            if event.event_id is not None:
                self._state.last_event_id = event.event_id

    # Other nodes.

    def _hand_over(self) -> None:
        """Let another node serve the call or the rest of its stream.

        Raises:
            RetryableError: none can, or the response was cut off.
        """
        context = self._context
        exchange = self._deps.handover.exchange(
            context,
            self._state.last_event_id,
            None if self._prompt is None else self._prompt.cache,
        )
        try:
            with exchange as call:
                self._relay_handed(call)
        except ExchangeError as error:
            if error.sent:
                # It is unknown whether an engine has imported the KV cache.
                self._prompt = None
            cause = Cause.BROKEN if error.sent else Cause.NO_TARGET
            raise RetryableError(cause) from error
        if call.may_have_run:
            self._prompt = None
            context.attempts.ran()
        else:
            context.attempts.refused()

    def _relay_handed(self, call: HandedCall) -> None:
        responder = self._context.responder
        if not call.is_stream:
            body = call.read_body(self._context.deadline_s)
            if not responder.has_started:
                head = self._deps.dialect.response_head(call.head)
                responder.respond(head, body)
            return
        self._start_response(call.head)
        self._relay(call, call.version)
        responder.finish()

    # Deadlines.

    def _read_deadline_s(self) -> float:
        """Return the time by which the next bytes of a response must arrive."""
        if self._context.route.is_resumable:
            return min(self._context.deadline_s, clock_s() + STALL_TIMEOUT_S)
        return self._context.deadline_s
