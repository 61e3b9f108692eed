"""Tells the nodes that place prompts what each has placed.

They choose among the same engines. Without this each of them would find an
engine idle at which the others have prompts under way.
"""

import eventlet

from dandelionyoke_core import Event, InstanceId, PeerMessageArrived
from dandelionyoke_gateway._clock import clock_s
from dandelionyoke_gateway._knowledge import NEVER_S, Knowledge
from dandelionyoke_gateway._log import DecisionLog
from dandelionyoke_gateway._prefill_messages import BacklogTold
from dandelionyoke_gateway._source_links import SourceLinks

CHECK_INTERVAL_S = 0.05
# Told again without a change, within the time for which it counts.
HEARTBEAT_INTERVAL_S = 0.25

Backlogs = dict[str, dict[str, int]]


class BacklogTask:
    """Tells and takes the prompts under way, by service and engine."""

    def __init__(
        self, links: SourceLinks, knowledge: Knowledge, log: DecisionLog
    ) -> None:
        self._links = links
        self._knowledge = knowledge
        self._log = log
        self._told: Backlogs = {}
        self._told_s = NEVER_S

    def run(self) -> None:
        """Tell for as long as the process lives."""
        while True:
            eventlet.sleep(CHECK_INTERVAL_S)
            if self._knowledge.sources.is_source(clock_s()):
                self._tell_if_due()

    def take(self, event: Event) -> bool:
        """Take an event of the links; tell whether it was for this part."""
        if not isinstance(event, PeerMessageArrived):
            return False
        if not isinstance(event.message, BacklogTold):
            return False
        self._take(event.peer_id, event.message)
        return True

    def _tell_if_due(self) -> None:
        backlogs = self._backlogs()
        now_s = clock_s()
        is_due = now_s - self._told_s >= HEARTBEAT_INTERVAL_S
        if backlogs == self._told and not (backlogs and is_due):
            return
        self._told = backlogs
        self._told_s = now_s
        self._links.tell(BacklogTold(backlogs))

    def _backlogs(self) -> Backlogs:
        found: Backlogs = {}
        for service, watch in self._knowledge.watches.items():
            backlog = watch.line.backlog()
            if backlog:
                found[service] = backlog
        return found

    def _take(self, peer_id: InstanceId, told: BacklogTold) -> None:
        if not told.is_possible:
            self._log.decide(
                'placing.dropped',
                peer_id,
                outcome='ignored',
                cause='impossible backlog',
            )
            return
        self._links.heard(peer_id)
        for service, watch in self._knowledge.watches.items():
            backlog = told.tokens.get(service, {})
            watch.line.told(peer_id, backlog, clock_s())
