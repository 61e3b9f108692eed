"""Forwards a call that is answered with a stream of events."""

import math

import eventlet

from dandelionyoke_dispatch import (
    DEFAULT_RETRY_AFTER_S,
    AliveSpan,
    Cause,
    Refusal,
    RegisteredTarget,
)
from dandelionyoke_gateway._answer_memory import AnswerMemory
from dandelionyoke_gateway._begun_stream import BegunStream
from dandelionyoke_gateway._call_context import CallContext
from dandelionyoke_gateway._call_dispatcher import (
    CallDependencies,
    RefusedError,
    record_answer,
)
from dandelionyoke_gateway._clock import clock_s, stalled_s
from dandelionyoke_gateway._errors import ExchangeError
from dandelionyoke_gateway._event_stream import (
    EventSplitter,
    StreamEvent,
    last_id,
)
from dandelionyoke_gateway._handover import HandedCall
from dandelionyoke_gateway._plain_call import count_usage_once
from dandelionyoke_gateway._retry_account import RetryDeniedError
from dandelionyoke_gateway._silence import (
    HANDED_STALL_TIMEOUT_S,
    SECOND_TRY_GRACE_S,
    SECOND_TRY_POLL_S,
    SILENCE_S,
    SecondTry,
    Silence,
    SupersededError,
    SwitchedWatch,
)
from dandelionyoke_gateway._stream_binding import (
    bind_at_event,
    bind_at_head,
    bind_resumed,
    is_version_lost,
    release_at_end,
)
from dandelionyoke_gateway._stream_call_state import RetryableError
from dandelionyoke_gateway._stream_memory import StreamMemory
from dandelionyoke_gateway._stream_opener import (
    ErrorResponseError,
    StreamOpener,
)

MAX_SENDS = 4

# How often a begun stream looks for a target to go on at, if none takes it.
RESUME_INTERVAL_S = 0.2
# Its caller may also take it up at another node, so that it waits this long.
MAX_RESUME_WAIT_S = 1.0

# Another engine is tried beside one that has sent nothing for this long. This
# is half of the minimum time after which callers give up on a stream.
STALL_TIMEOUT_S = 1.0


def forward_stream_call(deps: CallDependencies, context: CallContext) -> None:
    """Run the prefill, then forward the stream to the caller."""
    bind_resumed(deps, context)
    _StreamCall(deps, context).run()


class _StreamCall:
    """One streamed call from its prefill to its last event."""

    def __init__(self, deps: CallDependencies, context: CallContext) -> None:
        self._deps = deps
        self._context = context
        self._opener = StreamOpener(deps, context)
        self._state = self._opener.state
        self._cause = Cause.NO_RETRY
        self._failure_count = 0
        # Until when a begun stream may wait for a target to go on at.
        self._waits_until_s = math.inf
        # A try at another target while the first one is silent.
        self._second: SecondTry[BegunStream] | None = None
        self._second_watch = SwitchedWatch()
        # The silence that it was made in, and the attempts before it.
        self._silence: Silence | None = None
        self._earlier_attempts = 0
        self._memory = StreamMemory(
            AnswerMemory(
                deps.knowledge.client_resources.answers, context.deadline_s
            )
        )

    def run(self) -> None:
        """Send the call until one stream completes; release an unused cache."""
        try:
            self._send_with_retries()
        except RetryDeniedError as error:
            raise RefusedError(
                Refusal(self._cause, DEFAULT_RETRY_AFTER_S)
            ) from error
        finally:
            self._close()

    def _close(self) -> None:
        self._end_second()
        self._memory.release()
        self._opener.close()

    # Tries, one after another.

    def _send_with_retries(self) -> None:
        # Not after the prefill, which would be in vain.
        self._opener.refuse_if_limited()
        while not self._try_or_wait():
            if self._second is None and not self._may_retry():
                raise RefusedError(Refusal(self._cause, DEFAULT_RETRY_AFTER_S))

    def _try_or_wait(self) -> bool:
        """Try once; wait if no target takes the rest of a begun stream now."""
        try:
            return self._try_once()
        except RefusedError as error:
            is_final = error.refusal.cause is Cause.QUARANTINED
            if is_final or not self._may_wait():
                raise
        self._context.tried.forget_refusals()
        eventlet.sleep(RESUME_INTERVAL_S)
        return False

    def _try_once(self) -> bool:
        """Forward one stream; return whether the call has its answer."""
        try:
            self._forward(self._next_stream())
        except SupersededError:
            # The exchange with the first target has been closed by now. The
            # next stream is the one that has answered.
            self._log_move()
            return False
        except RetryableError as error:
            self._cause = error.cause
        except ErrorResponseError as error:
            if not self._context.responder.has_started:
                self._forward_error(error)
                return True
            self._cause = Cause.BROKEN
        else:
            return True
        self._failure_count += 1
        return False

    def _may_wait(self) -> bool:
        """Whether a begun stream should wait for a target to go on at."""
        if not self._context.responder.has_started or not self._may_retry():
            return False
        now_s = clock_s()
        self._waits_until_s = min(
            self._waits_until_s, now_s + MAX_RESUME_WAIT_S
        )
        until_s = min(self._waits_until_s, self._context.deadline_s)
        return now_s + RESUME_INTERVAL_S < until_s and self._opener.may_resume()

    def _may_retry(self) -> bool:
        context = self._context
        if self._failure_count >= MAX_SENDS or clock_s() >= context.deadline_s:
            return False
        if context.responder.has_started and not context.route.is_resumable:
            return False
        if is_version_lost(context):
            return False
        return context.attempts.may_run_again(context.route.is_repeatable)

    def _next_stream(self) -> BegunStream:
        """Return the stream of the second try, or begin one.

        Raises:
            RetryableError: the try failed; another one may succeed.
        """
        second = self._second
        self._second = None
        if second is None:
            return self._opener.begin(self)
        self._second_watch.follow(self)
        try:
            stream = second.wait()
        except (RefusedError, RetryDeniedError) as error:
            raise RetryableError(self._cause) from error
        except BaseException:
            # For example, the caller left; the second try may have its stream.
            _end(second)
            raise
        if stream is None:
            raise RetryableError(self._cause)
        return stream

    # Silence of the target of the stream, which the call watches itself.

    def silent(self, silence: Silence) -> float:
        """Try another target beside a silent one.

        Raises:
            SupersededError: the other target has answered.
        """
        second = self._second
        if second is not None and not second.is_done:
            return SECOND_TRY_POLL_S
        if second is not None and second.has_succeeded:
            self._silence = silence
            raise SupersededError
        is_target = silence.target is not None
        timeout_s = STALL_TIMEOUT_S if is_target else HANDED_STALL_TIMEOUT_S
        if silence.duration_s < timeout_s and not silence.is_cut_off:
            return timeout_s - silence.duration_s
        if second is not None:
            self._second = None
            self._failure_count += 1
            self._log_silence('try failed', silence, second.cause)
            return SILENCE_S
        return self._try_beside(silence)

    def heard(self) -> None:
        """End the second try, as the first target goes on.

        Not if the second target has begun: both would work on the stream
        until the second one is ended, and the first one after that.

        Raises:
            SupersededError: the other target has answered.
        """
        second = self._second
        if second is None:
            return
        if self._is_second_sent:
            second.settle(SECOND_TRY_GRACE_S)
        if second.has_succeeded:
            raise SupersededError
        if self._silence is not None:
            self._log_silence('goes on', self._silence, second.cause)
        self._end_second()

    @property
    def _is_second_sent(self) -> bool:
        """Whether a target or a node may have the call of the second try."""
        return len(self._context.attempts.targets) > self._earlier_attempts

    def _end_second(self) -> None:
        """End the second try, if any."""
        second = self._second
        self._second = None
        if second is not None:
            _end(second)

    def _try_beside(self, silence: Silence) -> float:
        """Try another target, if there is one; return how long to wait."""
        if silence.target is not None:
            self._suspect(silence.target)
        if not self._may_retry() or not self._opener.may_begin():
            self._log_silence('waits', silence)
            return SILENCE_S
        self._log_silence('tries another', silence)
        watch = SwitchedWatch()
        self._second_watch = watch
        self._silence = silence
        self._earlier_attempts = len(self._context.attempts.targets)
        self._second = SecondTry(lambda: self._opener.begin(watch))
        return SECOND_TRY_POLL_S

    def _suspect(self, target: RegisteredTarget) -> None:
        """Avoid a silent target, once for each call."""
        if target.target_id not in self._state.tried_ids:
            self._state.tried_ids.add(target.target_id)
            self._deps.knowledge.loads.failed(target.target_id, clock_s())
            # Other open connections to the target may be dead as well.
            self._deps.pool.close_idle(target.address)

    def _log_move(self) -> None:
        """Log that the first target was ended, and how late."""
        second, silence = self._second, self._silence
        if second is not None and silence is not None:
            beside_s = clock_s() - second.done_s
            self._log_silence('moved', silence, beside_s=beside_s)

    def _log_silence(
        self,
        outcome: str,
        silence: Silence,
        cause: str = '',
        beside_s: float | None = None,
    ) -> None:
        target = silence.target
        self._deps.log.decide(
            'stream.silent',
            self._context.call.attempt_id,
            outcome=outcome,
            target=None if target is None else target.target_id,
            silent_s=silence.duration_s,
            stalled_s=stalled_s(self._context.request.arrived_s),
            cause=cause,
            beside_s=beside_s,
            has_begun=str(self._context.responder.has_started),
        )

    # Streaming.

    def _forward(self, stream: BegunStream) -> None:
        """Pass a stream on to its end."""
        try:
            with stream.exchange:
                self._relay(stream)
        except ExchangeError as error:
            raise self._broken(stream, error) from error
        if stream.target is not None:
            self._deps.knowledge.loads.succeeded(stream.target.target_id)
        self._context.attempts.ran(stream.attempt)
        self._context.responder.finish()
        release_at_end(self._deps, self._context)
        record_answer(self._deps, self._context)

    def _broken(
        self, stream: BegunStream, error: ExchangeError
    ) -> RetryableError:
        if stream.target is not None:
            return self._state.record_failed_send(stream.target, error)
        return RetryableError(Cause.BROKEN)

    def _forward_error(self, error: ErrorResponseError) -> None:
        """Forward the error response of an engine unchanged."""
        head = self._deps.dialect.response_head(error.head)
        self._context.responder.respond(head, error.body)

    def _relay(self, stream: BegunStream) -> None:
        if isinstance(stream.source, HandedCall):
            stream.source.watch(self)
            # The node that sends the call to a target counts it.
            self._context.is_usage_counted = True
        else:
            bind_at_head(self._context, stream.version)
        responder = self._context.responder
        if not responder.has_started:
            responder.start(self._deps.dialect.response_head(stream.head))
        splitter = EventSplitter()
        self._memory.release()
        deadline_s = self._context.deadline_s
        while (chunk := stream.source.read_chunk(deadline_s)) is not None:
            events = splitter.feed(chunk)
            # The part is held with its events until they are written.
            self._memory.hold(len(chunk) + splitter.held_bytes)
            if events:
                self._pass_on(stream, events)
                self._memory.hold(splitter.held_bytes)
            deadline_s = self._context.deadline_s
        if not splitter.is_at_event_boundary:
            raise ExchangeError(
                'the stream ended in the middle of an event', sent=True
            )
        self._report_answer(stream, is_whole=True)

    def _pass_on(self, stream: BegunStream, events: list[StreamEvent]) -> None:
        bind_at_event(
            self._deps,
            self._context,
            stream.version,
            is_elsewhere=stream.target is None,
        )
        self._forward_events(events)
        self._report_answer(stream)

    def _report_answer(
        self, stream: BegunStream, *, is_whole: bool = False
    ) -> None:
        """Report once that an answer began well or has ended whole.

        The node that sends the call to a target reports it.
        """
        if stream.target is None or stream.is_settled:
            return
        begun_s = self._context.begun_s.get(stream.target.target_id)
        crashes = self._deps.knowledge.crashes
        settled_s = crashes.settings.settled_s
        if begun_s is None:
            return
        if is_whole or clock_s() - begun_s >= settled_s:
            stream.is_settled = True
            self._deps.crash_reports.answered(
                stream.target,
                self._context.crash_keys,
                AliveSpan(stream.alive_since_s, begun_s),
            )

    def _forward_events(self, events: list[StreamEvent]) -> None:
        count_usage_once(self._deps, self._context, clock_s())
        content = b''.join(event.content for event in events)
        last_event_id = last_id(events)
        # Small events need far more memory than they have bytes, and the
        # caller may read slowly.
        events.clear()
        self._context.responder.send_chunk(content)
        if last_event_id is not None:
            self._state.last_event_id = last_event_id


def _end(second: SecondTry[BegunStream]) -> None:
    """End a second try that is not needed; its target stops working on it."""
    stream = second.cancel()
    if stream is not None:
        stream.abandon()
