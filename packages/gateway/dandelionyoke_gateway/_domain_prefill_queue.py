"""Client side of the prefill queue that a failure domain shares."""

import itertools

import attrs
from eventlet.queue import Empty, LightQueue

from dandelionyoke_core import InstanceId
from dandelionyoke_dispatch import (
    PrefillPlacement,
    RegisteredTarget,
    TargetFailure,
)
from dandelionyoke_gateway._answer_wait import AnswerWait
from dandelionyoke_gateway._clock import clock_s
from dandelionyoke_gateway._domain_reach_task import DomainReachTask
from dandelionyoke_gateway._domain_source import DomainSource
from dandelionyoke_gateway._knowledge import Knowledge
from dandelionyoke_gateway._log import DecisionLog
from dandelionyoke_gateway._news_server import Send
from dandelionyoke_gateway._prefill_messages import (
    QUEUED_INTERVAL_S,
    PrefillAsked,
    PrefillEnded,
    PrefillTold,
    PrefillVerdict,
    TargetFailed,
)
from dandelionyoke_gateway._prefill_queue import (
    LocalPrefillQueue,
    PrefillGrant,
    PrefillRequest,
    PrefillResult,
    TooLateError,
)

# A healthy node of the domain answers within milliseconds, or after it has
# read a new configuration.
ANSWER_TIMEOUT_S = 0.2
REQUEST_NUMBER_BITS = 48


@attrs.frozen
class _PendingRequest:
    number: int
    peer_id: InstanceId
    responses: LightQueue = attrs.field(factory=LightQueue)


class DomainPrefillQueue:
    """Requests engines from the domain's source node.

    Falls back to the local queue if there is no such node or it does not
    answer.
    """

    def __init__(
        self,
        local_queue: LocalPrefillQueue,
        knowledge: Knowledge,
        log: DecisionLog,
        domain_reach: DomainReachTask,
    ) -> None:
        self._domain_reach = domain_reach
        self._local_queue = local_queue
        self._knowledge = knowledge
        self._log = log
        self._source = DomainSource(knowledge)
        # An earlier process of this instance may still hold grants there, so
        # numbering starts at a random value.
        first_number = knowledge.random.getrandbits(REQUEST_NUMBER_BITS)
        self._request_numbers = itertools.count(first_number)
        # By the turn ID of the grant that may follow.
        self._pending: dict[str, _PendingRequest] = {}

    def attach(self, send: Send) -> None:
        """Set the function that sends messages, once the links are open."""
        self._source.attach(send)
        self._knowledge.loads.listen(self._report_failure)

    def acquire(self, request: PrefillRequest) -> PrefillGrant:
        """Wait for an engine.

        Raises:
            TooLateError: no engine could start before the deadline.
        """
        peer_id = self._source.find()
        if peer_id is not None:
            grant = self._request_grant(peer_id, request)
            if grant is not None:
                return grant
        return self._local_queue.acquire(request)

    def release(self, grant: PrefillGrant, result: PrefillResult) -> None:
        """Release a grant at the node that issued it."""
        pending = self._pending.pop(grant.ticket_id, None)
        if pending is None:
            self._local_queue.release(grant, result)
            return
        self._send_end(pending, result)
        if result.prefill_s is not None:
            state = self._knowledge.service_state(grant.request.service)
            state.prefill_time.add_sample(
                grant.request.prompt, result.prefill_s
            )

    def handle_response(self, response: PrefillTold) -> None:
        """Pass an answer on to the request that waits for it."""
        pending = self._pending.get(_ticket_id(response.number))
        if pending is not None:
            pending.responses.put(response)

    def handle_disconnect(self, peer_id: InstanceId) -> None:
        """End the pending requests to a node after its link was closed."""
        for pending in tuple(self._pending.values()):
            if pending.peer_id == peer_id:
                pending.responses.put(None)

    def _request_grant(
        self, peer_id: InstanceId, request: PrefillRequest
    ) -> PrefillGrant | None:
        """Request a grant from a node; None means to use the local queue.

        Raises:
            TooLateError: no engine could start before the deadline.
        """
        pending = _PendingRequest(next(self._request_numbers), peer_id)
        ticket_id = _ticket_id(pending.number)
        self._pending[ticket_id] = pending
        try:
            placement = self._await_placement(pending, request)
        except BaseException:
            self._cancel(ticket_id)
            raise
        if placement is None:
            self._cancel(ticket_id)
            return None
        return PrefillGrant(request, ticket_id, placement, peer_id)

    def _await_placement(
        self, pending: _PendingRequest, request: PrefillRequest
    ) -> PrefillPlacement | None:
        message = _build_request(pending.number, request)
        if not self._source.send(pending.peer_id, message):
            return None
        wait = AnswerWait(ANSWER_TIMEOUT_S)
        while (response := _next_response(pending, wait)) is not None:
            self._mark_suspects(response, request.service)
            match response.verdict:
                case PrefillVerdict.GRANTED:
                    return self._resolve_placement(response, request)
                case PrefillVerdict.TOO_LATE:
                    raise TooLateError(response.retry_after_s)
                case PrefillVerdict.NO_ENGINE:
                    return None
            wait = AnswerWait(QUEUED_INTERVAL_S + ANSWER_TIMEOUT_S)
        self._handle_timeout(pending.peer_id)
        return None

    def _resolve_placement(
        self, response: PrefillTold, request: PrefillRequest
    ) -> PrefillPlacement | None:
        """Look up the granted engines in this node's registry.

        This node may already know that an engine has left which the other
        node still lists.
        """
        target = self._find_usable_target(response.target_id, request)
        if target is None:
            return None
        source = self._knowledge.registry.find(response.source_id)
        if source is not None and source.version != target.version:
            source = None
        return PrefillPlacement(target, source)

    def _find_usable_target(
        self, target_id: str, request: PrefillRequest
    ) -> RegisteredTarget | None:
        target = self._knowledge.registry.find(target_id)
        if target is None or target.is_leaving:
            return None
        is_other = target.service != request.service
        if is_other or target_id in request.avoid:
            return None
        if request.version not in {None, target.version}:
            return None
        may_prefill = self._knowledge.placement.may_prefill(
            target, request.avoid, clock_s()
        )
        return target if may_prefill else None

    def _mark_suspects(self, response: PrefillTold, service: str) -> None:
        for target_id in response.suspects:
            self._knowledge.loads.suspected(target_id, clock_s())
        if not response.cut_domains:
            return
        for target in self._knowledge.registry.of_service(service):
            if target.domain in response.cut_domains:
                self._knowledge.loads.suspected(target.target_id, clock_s())

    def _report_failure(self, target_id: str, failure: TargetFailure) -> None:
        """Report a target's failure to the domain's source node."""
        peer_id = self._source.find()
        if peer_id is None:
            self._domain_reach.failed(target_id, failure)
        else:
            self._source.send(peer_id, TargetFailed(target_id, failure))

    def _cancel(self, ticket_id: str) -> None:
        pending = self._pending.pop(ticket_id, None)
        if pending is not None:
            self._send_end(pending, PrefillResult())

    def _send_end(
        self, pending: _PendingRequest, result: PrefillResult
    ) -> None:
        message = PrefillEnded(
            pending.number, result.prefill_s, result.is_slow_fetch
        )
        self._source.send(pending.peer_id, message)

    def _handle_timeout(self, peer_id: InstanceId) -> None:
        self._source.start_cooldown()
        self._log.decide('placing.silent', peer_id, outcome='placed here')


def _build_request(number: int, request: PrefillRequest) -> PrefillAsked:
    now_s = clock_s()
    prompt = request.prompt
    return PrefillAsked(
        number,
        request.service,
        prompt.shared_key,
        prompt.shared_tokens,
        prompt.token_count,
        request.rank,
        now_s - request.arrived_s,
        request.goal_s,
        request.deadline_s - now_s,
        tuple(sorted(request.avoid)),
        request.version or '',
        request.organisation,
        request.route,
        request.call_key,
        prompt.max_output_tokens,
    )


def _next_response(
    pending: _PendingRequest, wait: AnswerWait
) -> PrefillTold | None:
    try:
        response: PrefillTold | None = wait.get(pending.responses)
    except Empty:
        return None
    return response


def _ticket_id(number: int) -> str:
    return f'asked.{number}'
