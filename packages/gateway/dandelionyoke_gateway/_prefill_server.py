"""Server side of the prefill queue that a failure domain shares.

The source node assigns the prefills of the other nodes together with its own.
A node that sees a small part of the calls cannot tell which engine is busy:
prefills would pile up at one engine while others are idle.
"""

import attrs
import eventlet
from eventlet.greenthread import GreenThread

from dandelionyoke_core import InstanceId
from dandelionyoke_dispatch import (
    Prompt,
    PromptPart,
    QueueDecision,
    TargetLoads,
)
from dandelionyoke_gateway._clock import clock_s
from dandelionyoke_gateway._domain_reach_task import DomainReachTask
from dandelionyoke_gateway._log import DecisionLog
from dandelionyoke_gateway._news_server import Send
from dandelionyoke_gateway._placement_log import (
    count_prefix_use,
    forecast_facts,
    log_slow_fetch,
)
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
    QueuedPrefill,
    TooLateError,
)

# A grant that is not released expires this long after its deadline: the node
# that held it is gone or cut off.
RELEASE_MARGIN_S = 1.0
# Keeps answers within the share of a small machine's link that control traffic
# may use.
MAX_SUSPECTS = 32

RequestKey = tuple[InstanceId, int]


@attrs.frozen
class _WaitingRequest:
    queued: QueuedPrefill
    thread: GreenThread


class PrefillServer:
    """Answers the requests of other nodes from the local queue."""

    def __init__(
        self,
        queue: LocalPrefillQueue,
        loads: TargetLoads,
        send: Send,
        log: DecisionLog,
        domain_reach: DomainReachTask,
    ) -> None:
        self._domain_reach = domain_reach
        self._queue = queue
        self._loads = loads
        self._log = log
        self._send = send
        self._granted: dict[RequestKey, PrefillGrant] = {}
        self._waiting: dict[RequestKey, _WaitingRequest] = {}

    def handle_request(
        self, peer_id: InstanceId, request: PrefillAsked
    ) -> None:
        """Answer a request; one that has to wait is answered again later."""
        key = (peer_id, request.number)
        if not request.is_valid or key in self._waiting or key in self._granted:
            self._log.decide(
                'placing.dropped',
                f'{peer_id}.{request.number}',
                outcome='not answered',
                tokens=request.token_count,
            )
            return
        try:
            queued = self._queue.enqueue(_build_prefill(request))
        except TooLateError as error:
            self._refuse(key, error)
            return
        if queued.decision is QueueDecision.START:
            self._grant(key, self._queue.await_grant(queued))
            return
        thread = eventlet.spawn(self._await_grant, key, queued)
        # Stored before the thread runs: the next message may end its wait.
        self._waiting[key] = _WaitingRequest(queued, thread)
        eventlet.spawn_n(self._send_queued, key)

    def handle_end(self, peer_id: InstanceId, message: PrefillEnded) -> None:
        """Release a grant, or cancel a queued request."""
        key = (peer_id, message.number)
        waiting = self._waiting.pop(key, None)
        if waiting is not None:
            waiting.thread.kill()
            self._queue.cancel(waiting.queued)
        result = PrefillResult(message.read_s, message.is_slow_fetch)
        self._release(key, result)

    def handle_disconnect(self, peer_id: InstanceId) -> None:
        """Release all grants and requests of a node that is disconnected."""
        keys = [*self._waiting, *self._granted]
        for owner_id, number in keys:
            if owner_id == peer_id:
                self.handle_end(peer_id, PrefillEnded(number))

    def _await_grant(self, key: RequestKey, queued: QueuedPrefill) -> None:
        try:
            grant = self._queue.await_grant(queued)
        except TooLateError as error:
            self._waiting.pop(key, None)
            self._refuse(key, error)
            return
        self._waiting.pop(key, None)
        self._grant(key, grant)

    def _send_queued(self, key: RequestKey) -> None:
        """Send keep-alive answers while a request is queued."""
        peer_id, number = key
        response = PrefillTold(number, PrefillVerdict.QUEUED)
        while key in self._waiting:
            self._send(peer_id, response)
            eventlet.sleep(QUEUED_INTERVAL_S)

    def _grant(self, key: RequestKey, grant: PrefillGrant) -> None:
        peer_id, number = key
        placement = grant.placement
        if placement is None:
            self._queue.release(grant, PrefillResult())
            verdict = PrefillVerdict.NO_ENGINE
            self._send(peer_id, PrefillTold(number, verdict))
            return
        self._granted[key] = grant
        self._log_placed(key, grant)
        source_id = (
            '' if placement.source is None else placement.source.target_id
        )
        response = PrefillTold(
            number,
            PrefillVerdict.GRANTED,
            placement.target.target_id,
            source_id,
            suspects=self._suspected_targets(),
            cut_domains=tuple(
                self._domain_reach.reach.cut_domains(grant.request.service)
            ),
        )
        if not self._send(peer_id, response):
            self._release(key, PrefillResult())
            return
        expires_s = grant.request.deadline_s + RELEASE_MARGIN_S
        eventlet.spawn_after(
            max(0, expires_s - clock_s()), self._release, key, PrefillResult()
        )

    def _suspected_targets(self) -> tuple[str, ...]:
        return tuple(self._loads.in_cooldown(clock_s())[:MAX_SUSPECTS])

    def _release(self, key: RequestKey, result: PrefillResult) -> None:
        grant = self._granted.pop(key, None)
        if grant is None:
            return
        self._queue.release(grant, result)
        placement, prefill_s = grant.placement, result.prefill_s
        if placement is None or prefill_s is None:
            return
        self._loads.succeeded(placement.target.target_id)
        if self._queue.record_peer_fetch(grant, result):
            log_slow_fetch(self._log, placement, prefill_s)

    def _log_placed(self, key: RequestKey, grant: PrefillGrant) -> None:
        placement, (peer_id, number) = grant.placement, key
        if placement is None or placement.forecast is None:
            return
        count_prefix_use(self._log, placement)
        self._log.decide(
            'prompt.placed',
            f'{peer_id}.{number}',
            outcome=placement.target.target_id,
            call_key=grant.request.call_key,
            tokens=grant.request.prompt.token_count,
            **forecast_facts(placement),
        )

    def handle_failure(self, message: TargetFailed) -> None:
        """Record a target failure reported by another node."""
        self._queue.record_peer_failure(message.target_id, message.failure)
        self._domain_reach.failed(message.target_id, message.failure)

    def _refuse(self, key: RequestKey, error: TooLateError) -> None:
        peer_id, number = key
        response = PrefillTold(
            number, PrefillVerdict.TOO_LATE, retry_after_s=error.retry_after_s
        )
        self._send(peer_id, response)


def _build_prefill(request: PrefillAsked) -> PrefillRequest:
    now_s = clock_s()
    unshared_tokens = max(0, request.token_count - request.shared_tokens)
    parts = (
        PromptPart(request.shared_key, request.shared_tokens),
        PromptPart('', unshared_tokens),
    )
    return PrefillRequest(
        service=request.service,
        prompt=Prompt('', request.token_count, request.output_tokens, parts),
        rank=request.rank,
        arrived_s=now_s - request.age_s,
        goal_s=request.goal_s,
        deadline_s=now_s + request.useful_s,
        avoid=frozenset(request.avoid),
        version=request.version or None,
        organisation=request.organisation,
        route=request.route,
        call_key=request.call_key,
    )
