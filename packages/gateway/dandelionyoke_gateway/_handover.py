"""Hands calls to other nodes while this one reaches no target."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager

from dandelionyoke_core import InstanceId, PeerMessage
from dandelionyoke_dispatch import PROMISED_STATUSES, Member
from dandelionyoke_gateway._call_context import CallContext
from dandelionyoke_gateway._clock import clock_s
from dandelionyoke_gateway._errors import ExchangeError, ExchangeTimeoutError
from dandelionyoke_gateway._handed_terms import terms_of
from dandelionyoke_gateway._handover_messages import (
    BodyPart,
    CallHanded,
    ResponseBegun,
)
from dandelionyoke_gateway._handover_server import split_body
from dandelionyoke_gateway._knowledge import Knowledge
from dandelionyoke_gateway._log import DecisionLog
from dandelionyoke_gateway._messages import ResponseHead
from dandelionyoke_gateway._ports import CacheSource
from dandelionyoke_gateway._silence import (
    PatientWatch,
    Silence,
    SilenceTimer,
    SilenceWatch,
)
from dandelionyoke_gateway._target_gate import TargetGate
from dandelionyoke_links import CallChannel, LinkError

# A healthy node accepts a channel within milliseconds.
OPEN_TIMEOUT_S = 0.4
# After so many nodes that could not serve it the call is refused.
MAX_NODES = 3
# A node that could not serve a call gets none for this long.
NODE_COOLDOWN_S = 2.0
# So many connections that failed before a byte was sent show that another
# node should try, before it is known whether the service is cut off.
FAILED_CONNECTIONS = 2
# Both nodes give a call up at the same time. What the other one then says of
# it arrives this much later at most.
REFUSAL_DELAY_S = 0.05
# A socket with no time to wait would not wait at all.
MIN_WAIT_S = 0.001

OpenCall = Callable[[InstanceId, str, float], CallChannel]


class HandedCall:
    """A call at another node, whose response has begun."""

    def __init__(
        self, channel: CallChannel, begun: ResponseBegun, attempt: int
    ) -> None:
        self._channel = channel
        # The number of the attempt that handed it over.
        self.attempt = attempt
        self._watch: SilenceWatch = PatientWatch()
        self.head = ResponseHead(begun.status, begun.headers)
        self.is_stream = begun.is_stream
        self.may_have_run = begun.may_have_run
        self.version = begun.version

    def read_chunk(self, deadline_s: float) -> bytes | None:
        """Read a part of the response body; None at its regular end.

        Raises:
            ExchangeError: the response was cut off.
        """
        part = self._receive(deadline_s)
        if not isinstance(part, BodyPart):
            raise ExchangeError('a message is no part of a body', sent=True)
        if part.is_last and not part.content:
            return None
        return part.content

    def read_body(
        self,
        deadline_s: float,
        on_bytes: Callable[[int], None] | None = None,
    ) -> bytes:
        """Read the rest of the response body.

        `on_bytes` takes the size of each part before it is kept.

        Raises:
            ExchangeError: the response was cut off.
        """
        chunks = []
        until_s = deadline_s + REFUSAL_DELAY_S
        while (chunk := self.read_chunk(until_s)) is not None:
            if on_bytes is not None:
                on_bytes(len(chunk))
            chunks.append(chunk)
        return b''.join(chunks)

    def watch(self, watch: SilenceWatch) -> None:
        """Let a watch decide while the other node is silent."""
        self._watch = watch

    def _receive(self, deadline_s: float) -> PeerMessage:
        message = _receive_watched(self._channel, deadline_s, self._watch)
        self._watch.heard()
        return message


class Handover:
    """Chooses a node for a call and passes its response back.

    The node that took the call from its caller charges it against its
    organisation's limit; the one that sends it to a target counts its usage.
    A call is handed over once: the other node does not hand it on.
    """

    def __init__(
        self, knowledge: Knowledge, log: DecisionLog, gate: TargetGate
    ) -> None:
        self._knowledge = knowledge
        self._log = log
        self._gate = gate
        self._open: OpenCall | None = None
        # By service and node.
        self._cooldown_until_s: dict[tuple[str, str], float] = {}

    def attach(self, open_call: OpenCall) -> None:
        """Set the function that opens channels, once links are accepted."""
        self._open = open_call

    def is_needed(
        self, context: CallContext, *, is_reached: bool = True
    ) -> bool:
        """Whether another node should serve a call.

        `is_reached` is whether this one reaches a target that can end it.
        """
        if context.request.handed_over is not None or self._open is None:
            return False
        if context.is_declined_elsewhere:
            return False
        return (
            not is_reached
            or self._knowledge.reach.is_cut_off(context.service.name)
            or context.failed_connections >= FAILED_CONNECTIONS
        )

    def cannot_be_served(self, context: CallContext) -> bool:
        """Whether neither this node nor another one can serve a call now."""
        is_cut_off = self._knowledge.reach.is_cut_off(context.service.name)
        return is_cut_off and context.is_declined_elsewhere

    @contextmanager
    def exchange(
        self,
        context: CallContext,
        watch: SilenceWatch,
        last_event_id: str | None,
        cache: CacheSource | None = None,
    ) -> Iterator[HandedCall]:
        """Hand a call to a node that can serve it.

        That node may use the KV cache of the prompt, but does not release it.
        The watch decides while it has not responded.

        Raises:
            ExchangeError: none can, the response was cut off, or its status
                promises what the other node does not.
        """
        for member in self._choose_members(context):
            with self._open_to(member, context) as channel:
                if channel is None:
                    continue
                handed = _new_call(context, last_event_id, cache)
                call = self._start(context, channel, member, handed, watch)
                if call is not None:
                    yield call
                    return
        context.is_declined_elsewhere = True
        raise ExchangeError('no other node serves the call', sent=False)

    def _choose_members(self, context: CallContext) -> list[Member]:
        """Choose among all nodes alike: those of this domain may be cut off.

        A stream that is bound to a version goes to nodes that respect it. A
        node that has the call already does not get it again.
        """
        service, is_bound = context.service.name, context.version is not None
        now_s = clock_s()
        members = [
            member
            for member in self._knowledge.sources.others()
            if member.takes_calls
            and (member.keeps_origins or not is_bound)
            and member.instance_id not in context.serving_nodes
            and now_s
            >= self._cooldown_until_s.get((service, member.instance_id), 0.0)
        ]
        count = min(len(members), MAX_NODES)
        return self._knowledge.random.sample(members, count)

    @contextmanager
    def _open_to(
        self, member: Member, context: CallContext
    ) -> Iterator[CallChannel | None]:
        """Open a channel for one call; None if the node accepts none."""
        channel = self._open_channel(member, context.service.name)
        if channel is None:
            yield None
            return
        context.serving_nodes.add(member.instance_id)
        try:
            yield channel
        finally:
            context.serving_nodes.discard(member.instance_id)
            channel.close()

    def _open_channel(self, member: Member, service: str) -> CallChannel | None:
        if self._open is None:
            return None
        peer_id = InstanceId(member.instance_id)
        try:
            return self._open(peer_id, member.address, OPEN_TIMEOUT_S)
        except LinkError as error:
            self._pass_over(member, service, str(error))
            return None

    def _start(
        self,
        context: CallContext,
        channel: CallChannel,
        member: Member,
        call: CallHanded,
        watch: SilenceWatch,
    ) -> HandedCall | None:
        """Send a call and wait for the response to begin.

        Returns None if the node cannot serve it and another one may.
        """
        attempt = context.attempts.handed(channel.peer_id, call.attempts_left)
        try:
            begun = _exchange_heads(context, channel, call, watch)
        except BaseException:
            # It is unknown what the other node has sent.
            context.attempts.handover_reported(
                is_sent=True, is_prefill_sent=True
            )
            raise
        context.attempts.handover_reported(
            is_sent=begun.is_sent, is_prefill_sent=begun.is_prefill_sent
        )
        context.tried.add_refusing(begun.refusing_ids)
        self._log.decide(
            'call.handed',
            context.call.attempt_id,
            outcome=member.instance_id,
            service=context.service.name,
            status=begun.status,
            attempt=attempt,
            may_have_run=str(begun.may_have_run),
            is_elsewhere=str(begun.is_elsewhere),
            since_arrival_s=clock_s() - context.request.arrived_s,
        )
        if begun.leaving_id:
            self._gate.mark_leaving(
                begun.leaving_id, begun.leaving_started_ms, member.instance_id
            )
        if begun.is_elsewhere and not begun.may_have_run:
            context.attempts.refused(attempt)
            self._pass_over(
                member, context.service.name, f'answered {begun.status}'
            )
            return None
        if begun.may_have_run and begun.status in PROMISED_STATUSES:
            cause = f'status {begun.status}, but the call may have run'
            raise ExchangeError(cause, sent=True)
        if begun.may_have_run:
            watch.heard()
        return HandedCall(channel, begun, attempt)

    def _pass_over(self, member: Member, service: str, cause: str) -> None:
        until_s = clock_s() + NODE_COOLDOWN_S
        self._cooldown_until_s[service, member.instance_id] = until_s
        self._log.decide(
            'handover.refused',
            member.instance_id,
            outcome='passed over',
            service=service,
            cause=cause,
        )


def _receive_watched(
    channel: CallChannel, deadline_s: float, watch: SilenceWatch
) -> PeerMessage:
    """Receive a message; a watch decides while none arrives.

    Raises:
        ExchangeError: the channel has ended, or none arrived in time.
        SupersededError: another target has answered.
    """
    timer = SilenceTimer()
    while True:
        until_s = min(deadline_s, clock_s() + timer.remaining_s)
        try:
            return receive_until(channel, until_s)
        except ExchangeTimeoutError:
            if clock_s() >= deadline_s:
                raise
        if not timer.remaining_s:
            silence = Silence(None, timer.duration_s, is_cut_off=False)
            timer.wait(watch.silent(silence))


def receive_until(channel: CallChannel, deadline_s: float) -> PeerMessage:
    """Receive a message.

    Raises:
        ExchangeError: the channel has ended, or none arrived in time.
    """
    # What has arrived is read even if the deadline has passed.
    remaining_s = max(MIN_WAIT_S, deadline_s - clock_s())
    try:
        return channel.receive(remaining_s)
    except TimeoutError as timeout:
        raise ExchangeTimeoutError(
            'no response in time', sent=True
        ) from timeout
    except LinkError as error:
        raise ExchangeError(str(error), sent=True) from error


def _new_call(
    context: CallContext, last_event_id: str | None, cache: CacheSource | None
) -> CallHanded:
    request, attempts = context.request, context.attempts
    return CallHanded(
        request.head.method,
        request.head.target,
        request.head.headers,
        clock_s() - request.arrived_s,
        attempts.handover_grant,
        context.is_usage_counted,
        last_event_id,
        context.service.name,
        attempts.is_sent,
        attempts.is_prefill_sent,
        '' if cache is None else cache.target.target_id,
        '' if cache is None else cache.handle,
        terms_of(context),
        context.version,
        tuple(sorted(context.tried.refusing_ids)),
    )


def _exchange_heads(
    context: CallContext,
    channel: CallChannel,
    call: CallHanded,
    watch: SilenceWatch,
) -> ResponseBegun:
    """Send a call; return the head of its response.

    Raises:
        ExchangeError: the channel has ended; the call may have run.
    """
    try:
        for message in (call, *split_body(context.request.body)):
            remaining_s = max(MIN_WAIT_S, context.deadline_s - clock_s())
            channel.send(message, remaining_s)
    except LinkError as error:
        raise ExchangeError(str(error), sent=True) from error
    deadline_s = context.deadline_s + REFUSAL_DELAY_S
    begun = _receive_watched(channel, deadline_s, watch)
    if not isinstance(begun, ResponseBegun):
        raise ExchangeError('the response has no head', sent=True)
    return begun
