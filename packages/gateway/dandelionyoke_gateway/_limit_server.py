"""Keeps the limits of organisations for the nodes of a failure domain.

The nodes that do this in the domains of the fleet tell one another what they
have let in.
"""

import eventlet

from dandelionyoke_core import Event, InstanceId, PeerMessageArrived
from dandelionyoke_gateway._clock import clock_s
from dandelionyoke_gateway._knowledge import NEVER_S, Knowledge
from dandelionyoke_gateway._limit_messages import (
    ChargeAsked,
    ChargeTold,
    GroupUseTold,
    OverLimit,
    UseReported,
)
from dandelionyoke_gateway._log import DecisionLog
from dandelionyoke_gateway._rate_limits import DomainRateLimits
from dandelionyoke_gateway._source_links import SourceLinks

CHECK_INTERVAL_S = 0.1
HEARTBEAT_INTERVAL_S = 0.3
# A node that was asked keeps the limits for so long, whatever it thinks of
# its rank: those that ask it may know better.
ASKED_S = 1.0


class LimitServer:
    """Answers other nodes of the domain and tells those of other domains."""

    def __init__(
        self,
        calls: DomainRateLimits,
        links: SourceLinks,
        knowledge: Knowledge,
        log: DecisionLog,
    ) -> None:
        self._calls = calls
        self._links = links
        self._knowledge = knowledge
        self._limiter = knowledge.limiter
        self._log = log
        self._asked_s = NEVER_S
        self._told_s = NEVER_S

    def take(self, event: Event) -> bool:
        """Take an event of the links; tell whether it was for this part."""
        match event:
            case PeerMessageArrived(
                peer_id=peer_id, message=ChargeAsked() as asked
            ):
                self._answer(peer_id, asked)
            case PeerMessageArrived(
                peer_id=peer_id, message=UseReported() as reported
            ):
                self._take_report(peer_id, reported)
            case PeerMessageArrived(
                peer_id=peer_id, message=GroupUseTold() as told
            ):
                self._take_use(peer_id, told)
            case PeerMessageArrived(message=ChargeTold() as told):
                self._calls.answered(told)
            case PeerMessageArrived(message=OverLimit() as over):
                self._calls.over(over)
            case _:
                return False
        return True

    def run(self) -> None:
        """Tell other limiters for as long as the process lives."""
        while True:
            eventlet.sleep(CHECK_INTERVAL_S)
            self._check()

    def _answer(self, peer_id: InstanceId, asked: ChargeAsked) -> None:
        if not asked.is_possible:
            self._drop(peer_id, 'impossible amount')
            return
        now_s = clock_s()
        self._asked_s = now_s
        verdict = self._limiter.admit(asked.organisation, asked.amount, now_s)
        self._links.send(peer_id, ChargeTold(asked.number, verdict))

    def _take_report(self, peer_id: InstanceId, reported: UseReported) -> None:
        if not reported.is_possible:
            self._drop(peer_id, 'impossible use')
            return
        now_s = clock_s()
        self._asked_s = now_s
        over_s: dict[str, float] = {}
        for organisation, amount in reported.amounts.items():
            self._limiter.charge(organisation, amount, now_s)
            left_s = self._limiter.over_s(organisation, now_s)
            if left_s > 0:
                over_s[organisation] = left_s
        if over_s:
            self._links.send(peer_id, OverLimit(over_s))

    def _take_use(self, peer_id: InstanceId, told: GroupUseTold) -> None:
        if not told.is_possible:
            self._drop(peer_id, 'impossible use of a group')
            return
        self._links.heard(peer_id)
        self._limiter.told(peer_id, told.use, clock_s())

    def _drop(self, peer_id: InstanceId, cause: str) -> None:
        self._log.decide(
            'limit.dropped', peer_id, outcome='ignored', cause=cause
        )

    # Other limiters.

    def _check(self) -> None:
        knowledge, now_s = self._knowledge, clock_s()
        is_source = knowledge.sources.is_source(now_s)
        own_nodes = 0
        if is_source:
            known = knowledge.demand.total(now_s).nodes
            own_nodes = max(1, min(known, knowledge.node_count))
        self._limiter.take_nodes(own_nodes, knowledge.node_count, now_s)
        is_keeping = is_source or now_s - self._asked_s < ASKED_S
        if is_keeping and self._limiter.has_limits:
            self._tell_if_due(now_s)

    def _tell_if_due(self, now_s: float) -> None:
        is_due = now_s - self._told_s >= HEARTBEAT_INTERVAL_S
        if not is_due and not self._limiter.has_urgent_use():
            return
        self._told_s = now_s
        use = self._limiter.use(self._knowledge.process_name, now_s)
        self._links.tell(GroupUseTold(use))
