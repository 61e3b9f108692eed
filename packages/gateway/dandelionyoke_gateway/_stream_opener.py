"""Sends a streamed call to a target or another node until its head arrives."""

from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from http import HTTPStatus

import attrs

from dandelionyoke_dispatch import (
    DEFAULT_RETRY_AFTER_S,
    Cause,
    DecodeCall,
    Refusal,
    RegisteredTarget,
)
from dandelionyoke_gateway._answer_memory import AnswerMemory
from dandelionyoke_gateway._begun_stream import BegunStream
from dandelionyoke_gateway._call_context import CallContext
from dandelionyoke_gateway._call_dispatcher import (
    CallDependencies,
    RefusedError,
    check_send,
    limited_refusal,
)
from dandelionyoke_gateway._clock import clock_s
from dandelionyoke_gateway._errors import ExchangeError
from dandelionyoke_gateway._handover import HandedCall
from dandelionyoke_gateway._import_check import ImportCheck, PromptUse
from dandelionyoke_gateway._messages import ResponseHead
from dandelionyoke_gateway._plain_call import (
    apply_response_facts,
    record_refusal,
    send_inputs,
    validate_attempt_id,
    validate_response,
)
from dandelionyoke_gateway._plain_turns import LogInputs
from dandelionyoke_gateway._ports import ResponseFacts
from dandelionyoke_gateway._prompt_prefiller import (
    PrefilledPrompt,
    PromptPrefiller,
)
from dandelionyoke_gateway._room_wait import RoomWait
from dandelionyoke_gateway._silence import SilenceWatch
from dandelionyoke_gateway._stream_call_state import (
    RetryableError,
    StreamCallState,
)
from dandelionyoke_gateway._target_connection import TargetConnection
from dandelionyoke_gateway._target_gate import TargetLimitedError
from dandelionyoke_gateway._target_identity import check_identity

MAX_ERROR_BODY_BYTES = 1048576


class ErrorResponseError(Exception):
    """The call was answered with an error instead of a stream."""

    def __init__(self, head: ResponseHead, body: bytes) -> None:
        super().__init__(str(head.status))
        self.head = head
        self.body = body


class StreamOpener:
    """Begins the stream of one call, as often as it is needed."""

    def __init__(self, deps: CallDependencies, context: CallContext) -> None:
        self._deps = deps
        self._knowledge = deps.knowledge
        self._context = context
        self.state = StreamCallState(deps, context)
        self._prefiller = PromptPrefiller(self.state)
        # Kept for a retry as long as no decode engine has imported its KV cache.
        self._prompt = self._prefiller.find_handed()
        self._imports = ImportCheck(self._prefiller, self.state)
        self._room_wait = RoomWait(self._prefiller, self.state)
        self._error_memory = AnswerMemory(
            deps.knowledge.client_resources.answers, context.deadline_s
        )

    def close(self) -> None:
        """Release an unused KV cache and the memory of an error."""
        self._error_memory.close()
        self._imports.settle()
        self._prefiller.release(self._prompt)
        self._prompt = None

    def refuse_if_limited(self) -> None:
        """Refuse the call if its targets take no request now.

        Raises:
            RefusedError: they are at their limits, or have asked for rest.
        """
        refusal = limited_refusal(self._deps, self._context)
        if refusal is not None:
            raise RefusedError(refusal)

    def begin(self, watch: SilenceWatch) -> BegunStream:
        """Send the call to targets that take a request now.

        Raises:
            RetryableError: the try failed.
            RetryDeniedError: the retry budget does not allow it.
            RefusedError: the call cannot be served.
            ErrorResponseError: the call was answered without a stream.
        """
        while True:
            try:
                return self._begin_once(watch)
            except TargetLimitedError as error:
                # It is passed over from now on.
                if clock_s() >= self._context.deadline_s:
                    raise RetryableError(Cause.OUT_OF_TIME) from error

    def may_begin(self) -> bool:
        """Whether a node or a target that was not tried yet may take the call."""
        if self._deps.handover.is_needed(self._context):
            return True
        is_cut_off = self._deps.handover.cannot_be_served(self._context)
        return not is_cut_off and self._find_decode_target(None) is not None

    def may_resume(self) -> bool:
        """Whether a target is listed that has not failed the stream yet."""
        targets = self._knowledge.placement.decode_targets(
            self._context.service.name
        )
        return any(
            target.version == self._context.version
            and not self._context.tried.has_failed(target.target_id)
            for target in targets
        )

    # Choice.

    def _begin_once(self, watch: SilenceWatch) -> BegunStream:
        handover, service = self._deps.handover, self._context.service.name
        check_send(self._deps, self._context)
        # A prefill would be in vain, and its caller would wait for it.
        is_reached = not self._knowledge.placement.is_decode_unreachable(
            service, clock_s()
        )
        if not is_reached:
            self._deps.reach.watch_decode(service)
        if handover.is_needed(self._context, is_reached=is_reached):
            return self._begin_elsewhere(watch)
        if not is_reached or handover.cannot_be_served(self._context):
            raise RefusedError(Refusal(Cause.NO_TARGET, DEFAULT_RETRY_AFTER_S))
        self.state.retries.reserve(self._retry_cost())
        prompt = self._take_prompt()
        with self._keep_unless_spent(prompt) as use:
            target = self._choose_decode_target(prompt)
            return self._begin_at(target, use, watch)

    def _retry_cost(self) -> int:
        """Count the sends that this try repeats.

        A refused connection carried nothing. If it counted, a crash would
        use up the budget before its calls reach another engine. A repeated
        prefill counts in addition to the stream. Otherwise all nodes together
        would exceed the retry limit.
        """
        attempts = self._context.attempts
        is_prefill_repeated = (
            self._prompt is None
            and attempts.is_prefill_sent
            and not self._imports.is_pending
        )
        return attempts.is_sent + is_prefill_repeated

    def _take_prompt(self) -> PrefilledPrompt | None:
        """Return a prompt that the stream can go on from; prefill it if none.

        None if the decode engine must prefill it.
        """
        version = self._context.version
        prompt = self._prompt
        self._prompt = None
        if prompt is not None and version not in {None, prompt.target.version}:
            self._prefiller.release(prompt)
            prompt = None
        if prompt is None and self._imports.is_pending:
            return None
        if prompt is None:
            self._room_wait.wait()
            prompt = self._prefiller.prefill(version)
        return self._prefiller.keep_decodable(prompt)

    @contextmanager
    def _keep_unless_spent(
        self, prompt: PrefilledPrompt | None
    ) -> Iterator[PromptUse]:
        """Keep a prompt for a retry unless an engine may have imported it."""
        use = PromptUse(prompt)
        try:
            yield use
        finally:
            if use.prompt is not None and not use.is_spent:
                self._prefiller.release(self._prompt)
                self._prompt = use.prompt

    def _choose_decode_target(
        self, prompt: PrefilledPrompt | None
    ) -> RegisteredTarget:
        target = self._imports.take_target()
        target = target or self._find_decode_target(prompt)
        if target is None:
            self.refuse_if_limited()
            raise RefusedError(Refusal(Cause.NO_TARGET, DEFAULT_RETRY_AFTER_S))
        return target

    def _find_decode_target(
        self, prompt: PrefilledPrompt | None
    ) -> RegisteredTarget | None:
        placement = self._knowledge.placement
        service = self._context.service.name
        domain, version = None, self._context.version
        if prompt is not None:
            domain, version = prompt.target.domain, prompt.target.version
        avoid, now_s = self.state.tried_ids, clock_s()
        return placement.choose_decode_target(
            service,
            domain,
            avoid,
            now_s,
            version=version,
            call=self._decode_call,
        ) or placement.choose_plain_target(
            service, avoid, now_s, version=version
        )

    @property
    def _decode_call(self) -> DecodeCall:
        prompt, engine = self._context.call.prompt, self._context.service.engine
        tokens = 0
        if prompt is not None:
            tokens = prompt.token_count + prompt.max_output_tokens
        capacity_tokens = 0 if engine is None else engine.cache_capacity_tokens
        return DecodeCall(tokens, capacity_tokens)

    def _count_call(
        self, target: RegisteredTarget, exchange: ExitStack
    ) -> None:
        """Count the call at a target until its exchange ends."""
        room, tokens = self._knowledge.room, self._decode_call.tokens
        room.call_started(target, tokens)
        begun_s = self._context.begun_s

        def end() -> None:
            since_s = begun_s.get(target.target_id)
            stream_s = None if since_s is None else clock_s() - since_s
            room.call_ended(target, tokens, stream_s)

        exchange.callback(end)

    # At a target.

    def _begin_at(
        self, target: RegisteredTarget, use: PromptUse, watch: SilenceWatch
    ) -> BegunStream:
        check_identity(self.state, target)
        # It may have waited for its prefill.
        check_send(self._deps, self._context)
        self._deps.target_gate.enter(target, self._context.call.attempt_id)
        loads = self._knowledge.loads
        with ExitStack() as exchange:
            loads.call_started(target.target_id)
            exchange.callback(loads.call_ended, target.target_id)
            self._count_call(target, exchange)
            try:
                return self._send_to(target, use, watch, exchange)
            except ExchangeError as error:
                raise self.state.record_failed_send(target, error) from error

    def _send_to(
        self,
        target: RegisteredTarget,
        use: PromptUse,
        watch: SilenceWatch,
        exchange: ExitStack,
    ) -> BegunStream:
        cache = None if use.prompt is None else use.prompt.cache
        forwarding = attrs.evolve(
            self.state.new_forwarding(target), cache=cache
        )
        head = self.state.new_request_head(forwarding)
        connection = exchange.enter_context(
            self._deps.connect_to(target, self._context, watch)
        )
        attempt = self.state.retries.call_sent(target.target_id)
        use.is_spent = True
        self._context.begun_s.pop(target.target_id, None)
        connection.send(head, self._context.request.body)
        response = self._read_head(target, connection, attempt, use)
        if response.status == HTTPStatus.OK:
            return BegunStream(
                response, connection, attempt, exchange.pop_all(), target
            )
        body = self._read_error(connection)
        self._context.attempts.ran(attempt)
        self.state.tried_ids.add(target.target_id)
        exchange.close()
        raise ErrorResponseError(response, body)

    def _read_head(
        self,
        target: RegisteredTarget,
        connection: TargetConnection,
        attempt: int,
        use: PromptUse,
    ) -> ResponseHead:
        """Read the head of the response of a target that ran the call."""
        sent_s = clock_s()
        # A refusal must not end a try at another target.
        heard = connection.on_data
        connection.on_data = None
        response = connection.read_head(self._context.deadline_s)
        facts = self._deps.dialect.read_response(response)
        validate_attempt_id(facts, self._context, connection)
        apply_response_facts(self._deps, self._context, target, facts)
        if facts.is_not_run:
            self._context.attempts.refused(attempt)
            sent = send_inputs(
                facts, attempt, sent_s, is_first=connection.is_new
            )
            self._record_refusal(target, facts, use, connection, sent)
            raise RetryableError(Cause.NO_RETRY)
        validate_response(response, facts, self._context, connection)
        connection.on_data = heard
        if heard is not None:
            heard()
        self._imports.settle()
        self._record_begin(target, facts, sent_s)
        return response

    def _record_refusal(
        self,
        target: RegisteredTarget,
        facts: ResponseFacts,
        use: PromptUse,
        connection: TargetConnection,
        sent: LogInputs,
    ) -> None:
        self.state.log_decision(
            'stream.refused', target, status=facts.status, **sent
        )
        use.is_spent = False
        if not self._imports.take_refusal(target, facts, use):
            self._context.tried.add_refusing([target.target_id])
            record_refusal(self._deps, target, facts)
        self._read_error(connection)
        self._error_memory.release()

    def _read_error(self, connection: TargetConnection) -> bytes:
        """Read the body of an error.

        Raises:
            ExchangeError: it was cut off, or is too large.
        """
        self._error_memory.release()
        return connection.read_body(
            self._context.deadline_s,
            MAX_ERROR_BODY_BYTES,
            self._error_memory.take,
        )

    def _record_begin(
        self, target: RegisteredTarget, facts: ResponseFacts, sent_s: float
    ) -> None:
        self._context.begun_s[target.target_id] = clock_s()
        since_arrival_s = clock_s() - self._context.request.arrived_s
        self._deps.log.observe('stream.begin', since_arrival_s)
        self._knowledge.service_state(
            self._context.service.name
        ).overload.record_first_token(
            since_arrival_s, self._context.route.goal_s, clock_s()
        )
        self.state.log_decision(
            'stream.begun',
            target,
            status=facts.status,
            took_s=clock_s() - sent_s,
            since_arrival_s=since_arrival_s,
        )

    # At another node.

    def _begin_elsewhere(self, watch: SilenceWatch) -> BegunStream:
        """Let another node serve the call or the rest of its stream.

        Raises:
            RetryableError: none can, or the response was cut off.
        """
        with self._keep_unless_spent(self._prompt) as use:
            self._prompt = None
            try:
                return self._hand_over(use, watch)
            except ExchangeError as error:
                # It is unknown whether an engine has imported the KV cache.
                use.is_spent = error.sent
                cause = Cause.BROKEN if error.sent else Cause.NO_TARGET
                raise RetryableError(cause) from error

    def _hand_over(self, use: PromptUse, watch: SilenceWatch) -> BegunStream:
        with ExitStack() as exchange:
            call = exchange.enter_context(
                self._deps.handover.exchange(
                    self._context,
                    watch,
                    self.state.last_event_id,
                    None if use.prompt is None else use.prompt.cache,
                )
            )
            use.is_spent = call.may_have_run
            if call.is_stream:
                return BegunStream(
                    call.head, call, call.attempt, exchange.pop_all()
                )
            self._forward_error(call)
        raise RetryableError(Cause.NO_RETRY)

    def _forward_error(self, call: HandedCall) -> None:
        self._error_memory.release()
        body = call.read_body(self._context.deadline_s, self._error_memory.take)
        attempts = self._context.attempts
        if call.may_have_run:
            self._context.is_usage_counted = True
            attempts.ran(call.attempt)
        else:
            attempts.refused(call.attempt)
            if attempts.may_have_run:
                # The other node does not know of the runs at this one.
                raise RetryableError(Cause.BROKEN)
        raise ErrorResponseError(call.head, body)
