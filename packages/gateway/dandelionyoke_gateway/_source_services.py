"""Services that the source nodes of the failure domains provide jointly."""

import eventlet

from dandelionyoke_core import Event, PeerDisconnected
from dandelionyoke_gateway._backlog_task import BacklogTask
from dandelionyoke_gateway._knowledge import Knowledge
from dandelionyoke_gateway._limit_server import LimitServer
from dandelionyoke_gateway._log import DecisionLog
from dandelionyoke_gateway._news_server import Send
from dandelionyoke_gateway._rate_limits import DomainRateLimits
from dandelionyoke_gateway._source_links import Connect, SourceLinks


class SourceServices:
    """Runs rate limits and the exchange of prefill backlogs."""

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
        """Start the tasks, once the links are open."""
        self._links.attach(send, connect)
        self._rate_limits.attach(send)
        eventlet.spawn_n(self._rate_limits.run)
        eventlet.spawn_n(self._limit_server.run)
        eventlet.spawn_n(self._backlog_task.run)

    def handle_event(self, event: Event) -> bool:
        """Handle a link event; return whether it was for one of the tasks."""
        if isinstance(event, PeerDisconnected):
            self._links.handle_disconnect(event.peer_id)
            return False
        return self._limit_server.handle_event(
            event
        ) or self._backlog_task.handle_event(event)
