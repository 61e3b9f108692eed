"""What the nodes that work for their domains do together."""

import eventlet

from dandelionyoke_core import Event, PeerDisconnected
from dandelionyoke_gateway._backlog_task import BacklogTask
from dandelionyoke_gateway._knowledge import Knowledge
from dandelionyoke_gateway._limit_server import LimitServer
from dandelionyoke_gateway._log import DecisionLog
from dandelionyoke_gateway._news_desk import Send
from dandelionyoke_gateway._rate_limits import DomainRateLimits
from dandelionyoke_gateway._source_links import Connect, SourceLinks


class SourceParts:
    """Keeps limits together, and tells where prompts were placed."""

    def __init__(
        self, limits: DomainRateLimits, knowledge: Knowledge, log: DecisionLog
    ) -> None:
        self._limits = limits
        self._links = SourceLinks(knowledge)
        self._server = LimitServer(limits, self._links, knowledge, log)
        self._backlogs = BacklogTask(self._links, knowledge, log)

    def start(self, send: Send, connect: Connect) -> None:
        """Begin once there are links."""
        self._links.attach(send, connect)
        self._limits.attach(send)
        eventlet.spawn_n(self._limits.run)
        eventlet.spawn_n(self._server.run)
        eventlet.spawn_n(self._backlogs.run)

    def take(self, event: Event) -> bool:
        """Take an event of the links; tell whether it was for this part."""
        if isinstance(event, PeerDisconnected):
            self._links.lost(event.peer_id)
            return False
        return self._server.take(event) or self._backlogs.take(event)
