"""Serves calls that other nodes hand to this one."""

from collections.abc import Iterator

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
from dandelionyoke_links import CallChannel, LinkError

# Well below the largest message that a link accepts.
MAX_PART_BYTES = 262144
# A peer sends the whole call at once.
CALL_TIMEOUT_S = 5.0
MAX_BODY_BYTES = 16777216


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

    def __init__(self, handler: Handler, log: DecisionLog) -> None:
        self._handler = handler
        self._log = log

    def serve(self, channel: CallChannel) -> None:
        """Serve the call of one channel."""
        try:
            request = _read_request(channel)
        except (LinkError, TimeoutError) as error:
            self._log.decide(
                'handover.dropped',
                channel.peer_id,
                outcome='not run',
                cause=str(error),
            )
            return
        # A target must not go on working for a caller that has left: the
        # other node closes the channel then.
        handler = eventlet.spawn(
            self._handler, request, ChannelResponder(channel)
        )
        watcher = eventlet.spawn(_watch_for_close, channel, handler)
        try:
            handler.wait()
        except (eventlet.greenlet.GreenletExit, CallerDisconnectedError):
            return
        finally:
            watcher.kill()
            handler.kill()


def _read_request(channel: CallChannel) -> CallerRequest:
    """Read a whole call.

    Raises:
        LinkError: the channel has ended, or what came is no call.
        TimeoutError: the call did not come in time.
    """
    deadline_s = clock_s() + CALL_TIMEOUT_S
    call = channel.receive(CALL_TIMEOUT_S)
    if not isinstance(call, CallHanded) or not call.is_valid:
        raise LinkError('the first message is no valid call')
    received_s = clock_s()
    body = b''
    is_last = False
    while not is_last:
        part = channel.receive(max(0.001, deadline_s - clock_s()))
        if not isinstance(part, BodyPart):
            raise LinkError('a message is no part of the body')
        body += part.content
        is_last = part.is_last
        if len(body) > MAX_BODY_BYTES:
            raise LinkError('the body is too large')
    return CallerRequest(
        RequestHead(call.method, call.target, call.headers),
        body,
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
    parts = list(_parts(body)) or [b'']
    for index, content in enumerate(parts):
        yield BodyPart(content, is_last=index == len(parts) - 1)


def _parts(content: bytes) -> Iterator[bytes]:
    for start in range(0, len(content), MAX_PART_BYTES):
        yield content[start : start + MAX_PART_BYTES]
