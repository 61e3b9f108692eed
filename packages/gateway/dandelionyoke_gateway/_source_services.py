"""Services that the source nodes of the failure domains provide jointly."""

from typing import Protocol

from dandelionyoke_core import Event, PeerDisconnected
from dandelionyoke_gateway._backlog_task import BacklogTask
from dandelionyoke_gateway._knowledge import Knowledge
from dandelionyoke_gateway._limit_server import LimitServer
from dandelionyoke_gateway._log import DecisionLog
from dandelionyoke_gateway._news_server import Send
from dandelionyoke_gateway._rate_limits import DomainRateLimits
from dandelionyoke_gateway._source_links import Connect, SourceLinks
from dandelionyoke_gateway._target_gate import TargetGate
from dandelionyoke_gateway._task_guard import TaskGuard


class SourceTask(Protocol):
    """A task of a source node."""

    def run(self) -> None:
        """Run until the process exits."""


class SourceServices:
    """Runs both scopes of rate limits and the exchange of prefill backlogs."""

    def __init__(self, knowledge: Knowledge, log: DecisionLog) -> None:
        self.rate_limits = DomainRateLimits(knowledge, log)
        self.target_gate = TargetGate(knowledge, log)
        self._links = SourceLinks(knowledge)
        self._limit_server = LimitServer(
            self.rate_limits, self._links, knowledge, log
        )
        self._target_limit_server = LimitServer(
            self.target_gate.rate_limits,
            self._links,
            knowledge,
            log,
            self.target_gate,
        )
        self._backlog_task = BacklogTask(self._links, knowledge, log)

    def start(self, send: Send, connect: Connect, guard: TaskGuard) -> None:
        """Start the tasks, once the links are open."""
        self._links.attach(send, connect)
        limits = (self.rate_limits, self.target_gate.rate_limits)
        for rate_limits in limits:
            rate_limits.attach(send)
        tasks: dict[str, SourceTask] = {
            'organisation_limits': self.rate_limits,
            'target_limits': self.target_gate.rate_limits,
            'target_gate': self.target_gate,
            'organisation_limit_server': self._limit_server,
            'target_limit_server': self._target_limit_server,
            'backlog': self._backlog_task,
        }
        for name, task in tasks.items():
            guard.start(name, task.run)

    def handle_event(self, event: Event) -> bool:
        """Handle a link event; return whether it was for one of the tasks."""
        if isinstance(event, PeerDisconnected):
            self._links.handle_disconnect(event.peer_id)
            return False
        return (
            self._limit_server.handle_event(event)
            or self._target_limit_server.handle_event(event)
            or self._backlog_task.handle_event(event)
        )
