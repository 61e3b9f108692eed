"""Shares prefill backlogs between the source nodes of the failure domains.

A domain's source node assigns prefills to engines, and all source nodes
choose among the same engines. Without these messages, each would consider an
engine idle that is busy with prefills of the other domains.
"""

import eventlet

from dandelionyoke_core import Event, InstanceId, PeerMessageArrived
from dandelionyoke_dispatch import PromptQueue
from dandelionyoke_gateway._clock import clock_s
from dandelionyoke_gateway._knowledge import NEVER_S, Knowledge
from dandelionyoke_gateway._log import DecisionLog
from dandelionyoke_gateway._prefill_messages import BacklogTold
from dandelionyoke_gateway._source_links import SourceLinks

CHECK_INTERVAL_S = 0.05
# An unchanged backlog is sent again this often, before receivers expire it.
HEARTBEAT_INTERVAL_S = 0.25

Backlogs = dict[str, dict[str, int]]


class BacklogTask:
    """Sends and receives prefill backlogs, by service and engine."""

    def __init__(
        self, links: SourceLinks, knowledge: Knowledge, log: DecisionLog
    ) -> None:
        self._links = links
        self._knowledge = knowledge
        self._log = log
        self._last_sent: Backlogs = {}
        self._last_sent_s = NEVER_S

    def run(self) -> None:
        """Send backlogs until the process exits."""
        while True:
            eventlet.sleep(CHECK_INTERVAL_S)
            if self._knowledge.sources.is_source(clock_s()):
                self._send_if_due()

    def handle_event(self, event: Event) -> bool:
        """Handle a link event; return whether it was a backlog message."""
        if not isinstance(event, PeerMessageArrived):
            return False
        if not isinstance(event.message, BacklogTold):
            return False
        self._record_backlog(event.peer_id, event.message)
        return True

    def _send_if_due(self) -> None:
        backlogs = self._collect_backlogs()
        now_s = clock_s()
        is_due = now_s - self._last_sent_s >= HEARTBEAT_INTERVAL_S
        if backlogs == self._last_sent and not (backlogs and is_due):
            return
        self._last_sent = backlogs
        self._last_sent_s = now_s
        self._links.broadcast(BacklogTold(backlogs))

    def _collect_backlogs(self) -> Backlogs:
        backlogs: Backlogs = {}
        for service, state in self._knowledge.service_states.items():
            backlog = state.prompt_queue.backlog()
            if backlog:
                backlogs[service] = backlog
        return backlogs

    def _record_backlog(
        self, peer_id: InstanceId, message: BacklogTold
    ) -> None:
        if not message.is_valid:
            self._log.decide(
                'placing.dropped',
                peer_id,
                outcome='ignored',
                cause='invalid backlog',
            )
            return
        self._links.mark_heard(peer_id)
        for service, state in self._knowledge.service_states.items():
            backlog = message.tokens.get(service, {})
            state.prompt_queue.set_peer_backlog(peer_id, backlog, clock_s())
            if state.prompt_queue.shares_engine_time:
                self._admit(state.prompt_queue)

    def _admit(self, queue: PromptQueue) -> None:
        """Start queued calls in the room that another node has left."""
        for ticket_id in queue.admit(clock_s()):
            self._knowledge.waiters.admit(ticket_id)
