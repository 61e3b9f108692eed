"""Places the prompts of other nodes together with this node's own.

Nodes that each see a small part of the calls cannot tell which engine is
busy: their prompts would pile up at one engine while others are idle.
"""

import attrs
import eventlet
from eventlet.greenthread import GreenThread

from dandelionyoke_core import InstanceId
from dandelionyoke_dispatch import Entry, Prompt, PromptPart, TargetLoads
from dandelionyoke_gateway._clock import clock_s
from dandelionyoke_gateway._log import DecisionLog
from dandelionyoke_gateway._news_desk import Send
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

# A place whose end is not told is free again this long after its prefill is
# of no use: the node that had it is gone or cut off.
END_MARGIN_S = 1.0
# More do not fit into the part of a small machine's link that control may use.
MOST_SUSPECTS = 32

Key = tuple[InstanceId, int]


@attrs.frozen
class _Waiting:
    queued: QueuedPrefill
    thread: GreenThread


class PrefillServer:
    """Answers the questions of other nodes from the local queue."""

    def __init__(
        self,
        queue: LocalPrefillQueue,
        loads: TargetLoads,
        send: Send,
        log: DecisionLog,
    ) -> None:
        self._queue = queue
        self._loads = loads
        self._log = log
        self._send = send
        self._granted: dict[Key, PrefillGrant] = {}
        self._waiting: dict[Key, _Waiting] = {}

    def asked(self, peer_id: InstanceId, asked: PrefillAsked) -> None:
        """Answer a question; one that has to wait is answered again later."""
        key = (peer_id, asked.number)
        if (
            not asked.is_possible
            or key in self._waiting
            or key in self._granted
        ):
            self._log.decide(
                'placing.dropped',
                f'{peer_id}.{asked.number}',
                outcome='not answered',
                tokens=asked.token_count,
            )
            return
        try:
            queued = self._queue.join(_request(asked))
        except TooLateError as late:
            self._refuse(key, late)
            return
        if queued.entry is Entry.GO:
            self._grant(key, self._queue.await_place(queued))
            return
        thread = eventlet.spawn(self._await_place, key, queued)
        # Known before the thread runs: the next message may end its wait.
        self._waiting[key] = _Waiting(queued, thread)
        eventlet.spawn_n(self._tell_waiting, key)

    def ended(self, peer_id: InstanceId, ended: PrefillEnded) -> None:
        """Take a place back, or end the wait of a caller that left."""
        key = (peer_id, ended.number)
        waiting = self._waiting.pop(key, None)
        if waiting is not None:
            waiting.thread.kill()
            self._queue.withdraw(waiting.queued)
        self._free(key, PrefillResult(ended.read_s))

    def lost(self, peer_id: InstanceId) -> None:
        """Take all places of a node back that cannot tell their ends."""
        keys = [*self._waiting, *self._granted]
        for owner, number in keys:
            if owner == peer_id:
                self.ended(peer_id, PrefillEnded(number))

    def _await_place(self, key: Key, queued: QueuedPrefill) -> None:
        try:
            grant = self._queue.await_place(queued)
        except TooLateError as late:
            self._waiting.pop(key, None)
            self._refuse(key, late)
            return
        self._waiting.pop(key, None)
        self._grant(key, grant)

    def _tell_waiting(self, key: Key) -> None:
        """Tell a node that its question is queued, while it is."""
        peer_id, number = key
        told = PrefillTold(number, PrefillVerdict.QUEUED)
        while key in self._waiting:
            self._send(peer_id, told)
            eventlet.sleep(QUEUED_INTERVAL_S)

    def _grant(self, key: Key, grant: PrefillGrant) -> None:
        peer_id, number = key
        home = grant.home
        if home is None:
            self._queue.leave(grant, PrefillResult())
            verdict = PrefillVerdict.NO_ENGINE
            self._send(peer_id, PrefillTold(number, verdict))
            return
        self._granted[key] = grant
        source_id = '' if home.source is None else home.source.target_id
        told = PrefillTold(
            number,
            PrefillVerdict.GRANTED,
            home.target.target_id,
            source_id,
            suspects=self._suspects(),
        )
        if not self._send(peer_id, told):
            self._free(key, PrefillResult())
            return
        end_s = grant.request.useful_until_s + END_MARGIN_S
        eventlet.spawn_after(
            max(0, end_s - clock_s()), self._free, key, PrefillResult()
        )

    def _suspects(self) -> tuple[str, ...]:
        return tuple(self._loads.resting(clock_s())[:MOST_SUSPECTS])

    def _free(self, key: Key, result: PrefillResult) -> None:
        grant = self._granted.pop(key, None)
        if grant is not None:
            self._queue.leave(grant, result)
        if grant is not None and grant.home and result.read_s is not None:
            self._loads.succeeded(grant.home.target.target_id)

    def failed(self, failed: TargetFailed) -> None:
        """Take a failure that a call of another node met."""
        self._loads.told(failed.target_id, failed.failure, clock_s())

    def _refuse(self, key: Key, late: TooLateError) -> None:
        peer_id, number = key
        told = PrefillTold(
            number, PrefillVerdict.TOO_LATE, retry_after_s=late.retry_after_s
        )
        self._send(peer_id, told)


def _request(asked: PrefillAsked) -> PrefillRequest:
    now_s = clock_s()
    own_tokens = max(0, asked.token_count - asked.shared_tokens)
    parts = (
        PromptPart(asked.shared_key, asked.shared_tokens),
        PromptPart('', own_tokens),
    )
    return PrefillRequest(
        service=asked.service,
        prompt=Prompt('', asked.token_count, 0, parts),
        rank=asked.rank,
        arrived_s=now_s - asked.age_s,
        goal_s=asked.goal_s,
        useful_until_s=now_s + asked.useful_s,
        avoid=frozenset(asked.avoid),
    )
