"""Enforces rate limits for the nodes of a failure domain.

The source nodes that do this in each domain tell each other how much they
have admitted.
"""

import eventlet

from dandelionyoke_core import Event, InstanceId, PeerMessageArrived
from dandelionyoke_dispatch import FleetLimiter, TargetLimitNote
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
from dandelionyoke_gateway._target_gate import TargetGate

CHECK_INTERVAL_S = 0.1
# While no account has a limit.
IDLE_INTERVAL_S = 0.5
HEARTBEAT_INTERVAL_S = 0.3
# After a request, a node acts as its domain's limiter for this long, even if
# it does not consider itself the source node: the sender may know better.
SERVE_AFTER_REQUEST_S = 1.0


class LimitServer:
    """Answers nodes of its domain and reports use to the other domains."""

    def __init__(
        self,
        rate_limits: DomainRateLimits,
        links: SourceLinks,
        knowledge: Knowledge,
        log: DecisionLog,
        gate: TargetGate | None = None,
    ) -> None:
        # Limits of targets are told with their use.
        self._gate = gate
        self._sent_version = 0
        self._rate_limits = rate_limits
        self._links = links
        self._knowledge = knowledge
        self._scope = rate_limits.scope
        self._log = log
        self._last_request_s = NEVER_S
        self._last_sent_s = NEVER_S
        rate_limits.listen(self.report_urgent_use)

    @property
    def _limiter(self) -> FleetLimiter:
        return self._rate_limits.limiter

    def handle_event(self, event: Event) -> bool:
        """Handle a link event; return whether it was for this scope."""
        if not isinstance(event, PeerMessageArrived):
            return False
        if getattr(event.message, 'scope', None) is not self._scope:
            return False
        match event:
            case PeerMessageArrived(
                peer_id=peer_id, message=ChargeAsked() as request
            ):
                self._handle_charge(peer_id, request)
            case PeerMessageArrived(
                peer_id=peer_id, message=UseReported() as report
            ):
                self._handle_use_report(peer_id, report)
            case PeerMessageArrived(
                peer_id=peer_id, message=GroupUseTold() as message
            ):
                self._handle_group_use(peer_id, message)
            case PeerMessageArrived(message=ChargeTold() as message):
                self._rate_limits.handle_response(message)
            case PeerMessageArrived(message=OverLimit() as over_limit):
                self._rate_limits.handle_over_limit(over_limit)
            case _:
                return False
        return True

    def run(self) -> None:
        """Report use to other limiters until the process exits."""
        while True:
            is_used = self._limiter.has_limits or self._notes()
            eventlet.sleep(CHECK_INTERVAL_S if is_used else IDLE_INTERVAL_S)
            self._update()

    def report_urgent_use(self) -> None:
        """Tell the other limiters at once of use that they must know now.

        Between two checks each of them could admit as much again.
        """
        if self._limiter.has_urgent_use():
            self._send_if_due(clock_s())

    def _handle_charge(self, peer_id: InstanceId, request: ChargeAsked) -> None:
        if not request.is_valid:
            self._log_dropped(peer_id, 'invalid amount')
            return
        now_s = clock_s()
        self._last_request_s = now_s
        verdict = self._limiter.admit(
            request.organisation, request.amount, now_s
        )
        self._links.send(
            peer_id, ChargeTold(request.number, verdict, self._scope)
        )
        if verdict.is_admitted:
            self.report_urgent_use()
        else:
            over_limit = OverLimit(
                {request.organisation: verdict.over_s}, self._scope
            )
            self._rate_limits.handle_over_limit(over_limit)

    def _handle_use_report(
        self, peer_id: InstanceId, report: UseReported
    ) -> None:
        if not report.is_valid:
            self._log_dropped(peer_id, 'invalid use')
            return
        if self._gate is not None and report.notes:
            self._gate.take(report.notes, peer_id)
        if not report.amounts:
            return
        now_s = clock_s()
        self._last_request_s = now_s
        over_s: dict[str, float] = {}
        for account, amount in report.amounts.items():
            self._limiter.charge(account, amount, now_s)
            remaining_s = self._limiter.over_s(account, now_s)
            if remaining_s > 0:
                over_s[account] = remaining_s
        if over_s:
            self._links.send(peer_id, OverLimit(over_s, self._scope))

    def _handle_group_use(
        self, peer_id: InstanceId, message: GroupUseTold
    ) -> None:
        if not message.is_valid:
            self._log_dropped(peer_id, 'invalid use of a group')
            return
        self._links.mark_heard(peer_id)
        if self._gate is not None and message.notes:
            self._gate.take(message.notes, peer_id)
        self._limiter.update_group_use(peer_id, message.use, clock_s())

    def _log_dropped(self, peer_id: InstanceId, cause: str) -> None:
        self._log.decide(
            'limit.dropped', peer_id, outcome='ignored', cause=cause
        )

    # Coordination with the limiters of other domains.

    def _update(self) -> None:
        knowledge, now_s = self._knowledge, clock_s()
        is_source = knowledge.sources.is_source(now_s)
        own_nodes = 0
        if is_source:
            known_nodes = knowledge.demand.total(now_s).nodes
            own_nodes = max(1, min(known_nodes, knowledge.node_count))
        self._limiter.take_nodes(own_nodes, knowledge.node_count, now_s)
        is_limiter = (
            is_source or now_s - self._last_request_s < SERVE_AFTER_REQUEST_S
        )
        if is_limiter and (self._limiter.has_limits or self._notes()):
            self._send_if_due(now_s)

    def _notes(self) -> tuple[TargetLimitNote, ...]:
        return () if self._gate is None else self._gate.notes()

    def _send_if_due(self, now_s: float) -> None:
        is_due = now_s - self._last_sent_s >= HEARTBEAT_INTERVAL_S
        version = self._knowledge.target_limits.version
        has_urgent_note = bool(self._gate) and version != self._sent_version
        is_urgent = has_urgent_note or self._limiter.has_urgent_use()
        if not is_due and not is_urgent:
            return
        self._last_sent_s = now_s
        self._sent_version = version
        use = self._limiter.use(self._knowledge.process_name, now_s)
        self._links.broadcast(GroupUseTold(use, self._scope, self._notes()))
