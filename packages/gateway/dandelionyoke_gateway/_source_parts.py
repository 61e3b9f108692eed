"""What the nodes that work for their domains do together."""

import eventlet

from dandelionyoke_core import Event, PeerDisconnected
from dandelionyoke_gateway._backlog_task import BacklogTask
from dandelionyoke_gateway._knowledge import Knowledge
from dandelionyoke_gateway._limit_server import LimitServer
from dandelionyoke_gateway._log import DecisionLog
from dandelionyoke_gateway._news_server import Send
from dandelionyoke_gateway._rate_limits import DomainRateLimits
from dandelionyoke_gateway._source_links import Connect, SourceLinks


class SourceParts:
    """Keeps limits together, and tells where prompts were placed."""

    def __init__(
        self,
        rate_limits: DomainRateLimits,
        knowledge: Knowledge,
        log: DecisionLog,
    ) -> None:
        self._rate_limits = rate_limits
        self._links = SourceLinks(knowledge)
        self._limit_server = LimitServer(
            rate_limits, self._links, knowledge, log
        )
        self._backlog_task = BacklogTask(self._links, knowledge, log)

    def start(self, send: Send, connect: Connect) -> None:
        """Begin once there are links."""
        self._links.attach(send, connect)
        self._rate_limits.attach(send)
        eventlet.spawn_n(self._rate_limits.run)
        eventlet.spawn_n(self._limit_server.run)
        eventlet.spawn_n(self._backlog_task.run)

    def handle_event(self, event: Event) -> bool:
        """Take an event of the links; tell whether it was for this part."""
        if isinstance(event, PeerDisconnected):
            self._links.handle_disconnect(event.peer_id)
            return False
        return self._limit_server.handle_event(
            event
        ) or self._backlog_task.handle_event(event)
