"""Serves calls that other nodes hand to this one."""

import contextlib
from collections.abc import Iterator
from http import HTTPStatus

import attrs
import eventlet
from eventlet.greenthread import GreenThread

from dandelionyoke_core import PeerMessage
from dandelionyoke_dispatch import RegisteredTarget
from dandelionyoke_gateway._caller_connection import (
    CallerRequest,
    HandedOver,
    Handler,
    Verdict,
    run_handler,
)
from dandelionyoke_gateway._clock import clock_s
from dandelionyoke_gateway._errors import CallerDisconnectedError
from dandelionyoke_gateway._handover_messages import (
    BodyPart,
    CallHanded,
    ResponseBegun,
)
from dandelionyoke_gateway._log import DecisionLog
from dandelionyoke_gateway._messages import RequestHead, ResponseHead
from dandelionyoke_links import (
    CallChannel,
    ClientResources,
    LinkError,
    MemoryBudget,
    MemoryShortError,
    Reservation,
    request_bytes,
)

# Well below the largest message that a link accepts.
MAX_PART_BYTES = 262144
# A peer sends the whole call at once.
CALL_TIMEOUT_S = 5.0
MAX_BODY_BYTES = 16777216
# Another node may have memory for the call.
_NOT_RUN = Verdict(
    may_have_run=False, is_elsewhere=True, is_sent=False, is_prefill_sent=False
)


class ChannelResponder:
    """Writes the response to one call to the node that handed it over."""

    def __init__(self, channel: CallChannel) -> None:
        self._channel = channel
        self.is_complete = False
        self.has_started = False
        self.leaving: RegisteredTarget | None = None
        self.version: str | None = None

    def respond(self, head: ResponseHead, body: bytes) -> None:
        """Write a complete response."""
        self._begin(ResponseBegun(head.status, head.headers))
        self._write_body(body)

    def refuse(self, head: ResponseHead, body: bytes, verdict: Verdict) -> None:
        """Write a response with which this node refuses the call."""
        begun = ResponseBegun(
            head.status,
            head.headers,
            may_have_run=verdict.may_have_run,
            is_elsewhere=verdict.is_elsewhere,
            is_sent=verdict.is_sent,
            is_prefill_sent=verdict.is_prefill_sent,
            refusing_ids=verdict.refusing_ids,
        )
        self._begin(begun)
        self._write_body(body)

    def fail(self, head: ResponseHead, body: bytes, verdict: Verdict) -> None:
        """Write a refusal after an error, if no byte was written before."""
        self.refuse(head, body, verdict)

    def start(self, head: ResponseHead) -> None:
        """Write the head of a response of unknown length."""
        begun = ResponseBegun(
            head.status, head.headers, is_stream=True, version=self.version
        )
        self._begin(begun)

    def send_chunk(self, content: bytes) -> None:
        """Write a part of the response body."""
        for part in _parts(content):
            self._send(BodyPart(part, is_last=False))

    def finish(self) -> None:
        """End the response; one that is not ended counts as cut off."""
        self._send(BodyPart(b'', is_last=True))
        self.is_complete = True

    def _begin(self, begun: ResponseBegun) -> None:
        if self.leaving is not None:
            begun = attrs.evolve(
                begun,
                leaving_id=self.leaving.target_id,
                leaving_started_ms=self.leaving.started_ms,
            )
        self._send(begun)
        self.has_started = True

    def _write_body(self, body: bytes) -> None:
        self.send_chunk(body)
        self.finish()

    def _send(self, message: PeerMessage) -> None:
        try:
            self._channel.send(message)
        except LinkError as error:
            raise CallerDisconnectedError from error


class HandoverServer:
    """Reads calls from channels and passes them to the handler of calls."""

    def __init__(
        self, handler: Handler, log: DecisionLog, resources: ClientResources
    ) -> None:
        self._handler = handler
        self._log = log
        self._budget = resources.requests

    def serve(self, channel: CallChannel) -> None:
        """Serve the call of one channel."""
        reservation = self._budget.open(lambda: None)
        try:
            self._serve(channel, reservation)
        finally:
            self._budget.close(reservation)

    def _serve(self, channel: CallChannel, reservation: Reservation) -> None:
        metered = _MeteredChannel(channel, self._budget, reservation)
        try:
            request = _read_request(metered)
        except (LinkError, TimeoutError) as error:
            self._log_dropped(channel, str(error))
            return
        responder = ChannelResponder(channel)
        if metered.is_memory_short:
            self._log_dropped(channel, 'there is no memory for the call')
            with contextlib.suppress(CallerDisconnectedError):
                responder.refuse(
                    ResponseHead(HTTPStatus.SERVICE_UNAVAILABLE, ()),
                    b'',
                    _NOT_RUN,
                )
            return
        # A target must not go on working for a caller that has left: the
        # other node closes the channel then.
        handler = eventlet.spawn(run_handler, self._handler, request, responder)
        watcher = eventlet.spawn(_watch_for_close, channel, handler)
        try:
            handler.wait()
        except (eventlet.greenlet.GreenletExit, CallerDisconnectedError):
            return
        finally:
            watcher.kill()
            handler.kill()

    def _log_dropped(self, channel: CallChannel, cause: str) -> None:
        self._log.decide(
            'handover.dropped', channel.peer_id, outcome='not run', cause=cause
        )


class _MeteredChannel:
    """Channel of a call that counts the memory of what it receives.

    The other node reads no answer before it has sent the whole call. While
    memory is short, the rest of a call is therefore read and dropped.
    """

    def __init__(
        self,
        channel: CallChannel,
        budget: MemoryBudget,
        reservation: Reservation,
    ) -> None:
        self._channel = channel
        self._budget = budget
        self._reservation = reservation
        self.peer_id = channel.peer_id
        self.is_memory_short = False

    def receive_call(self, timeout_s: float) -> CallHanded:
        """Return the call without its body.

        Raises:
            LinkError: the channel has ended, or what came is no call.
            TimeoutError: none arrived within `timeout_s`.
        """
        call = self._channel.receive(timeout_s)
        if not isinstance(call, CallHanded) or not call.is_valid:
            raise LinkError('the first message is no valid call')
        head_bytes = sum(len(name) + len(text) for name, text in call.headers)
        self._grow(request_bytes(len(call.headers), head_bytes))
        return call

    def receive_part(self, timeout_s: float) -> BodyPart:
        """Return the next part of the body, empty while memory is short.

        Raises:
            LinkError: the channel has ended, or what came is no part.
            TimeoutError: none arrived within `timeout_s`.
        """
        part = self._channel.receive(timeout_s)
        if not isinstance(part, BodyPart):
            raise LinkError('a message is no part of the body')
        self._grow(len(part.content))
        if self.is_memory_short:
            return BodyPart(b'', is_last=part.is_last)
        return part

    def _grow(self, count_bytes: int) -> None:
        if self.is_memory_short:
            return
        try:
            self._budget.grow(self._reservation, count_bytes)
        except MemoryShortError:
            self._budget.close(self._reservation)
            self.is_memory_short = True


def _read_request(channel: _MeteredChannel) -> CallerRequest:
    """Read a whole call; its body is cut short while memory is short.

    Raises:
        LinkError: the channel has ended, or what came is no call.
        TimeoutError: the call did not come in time.
    """
    deadline_s = clock_s() + CALL_TIMEOUT_S
    call = channel.receive_call(CALL_TIMEOUT_S)
    received_s = clock_s()
    parts: list[bytes] = []
    size = 0
    is_last = False
    while not is_last:
        part = channel.receive_part(max(0.001, deadline_s - clock_s()))
        is_last = part.is_last
        size += len(part.content)
        if size > MAX_BODY_BYTES:
            raise LinkError('the body is too large')
        parts.append(part.content)
        if channel.is_memory_short:
            parts.clear()
    return CallerRequest(
        RequestHead(call.method, call.target, call.headers),
        b''.join(parts),
        received_s - call.age_s,
        HandedOver(
            channel.peer_id,
            call.attempts_left,
            call.is_usage_counted,
            call.last_event_id,
            call.service,
            call.is_sent,
            call.is_prefill_sent,
            call.cache_target_id,
            call.cache_handle,
            received_s,
            call.terms,
            call.version,
            call.refusing_ids,
        ),
    )


def _watch_for_close(channel: CallChannel, handler: GreenThread) -> None:
    try:
        channel.receive(timeout_s=None)
    except LinkError:
        handler.kill()


def split_body(body: bytes) -> Iterator[BodyPart]:
    """Split the body of a call into parts, of which the last is marked."""
    end = max(1, len(body))
    for start in range(0, end, MAX_PART_BYTES):
        stop = start + MAX_PART_BYTES
        yield BodyPart(body[start:stop], is_last=stop >= end)


def _parts(content: bytes) -> Iterator[bytes]:
    for start in range(0, len(content), MAX_PART_BYTES):
        yield content[start : start + MAX_PART_BYTES]
