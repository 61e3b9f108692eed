"""How calls wait for the engine that reads their prompt.

When more prompts come than the engines read, an engine that takes them all
reads them side by side and each first token is late. So a node lets only a
few prompts at once into each engine; the others wait here, the more urgent
first, and one that would come too late is turned away on arrival, when its
caller still has the time to come back.
"""

import enum

import attrs

# The share that one more prompt has in the running mean of the times.
MEAN_WEIGHT = 0.25


@attrs.frozen
class GateSettings:
    """How many prompts of one node an engine reads at once.

    Two keep an engine busy while one answer travels; with more, a burst of
    long prompts holds the short ones up. `first_mean_s` is the time for the
    mean prompt of the engines' sheet, until times were measured.
    """

    most_at_once: int = 2
    first_mean_s: float = 0.2
    least_retry_after_s: float = 0.2


@attrs.frozen
class GateTicket:
    """A call that asks for an engine; the lower rank goes first.

    `useful_until_s` is when the first token would come too late to be of use.
    """

    call_id: str
    target_id: str
    rank: int
    arrived_s: float
    useful_until_s: float
    tokens: int = 0


@enum.unique
class Entry(enum.Enum):
    """What the gate says to a call on its arrival."""

    GO = 'go'
    WAIT = 'wait'
    TOO_LATE = 'too late'


@attrs.define
class _Queue:
    mean_s: float
    running: dict[str, GateTicket] = attrs.field(factory=dict)
    begun_s: float = 0.0
    waiting: list[GateTicket] = attrs.field(factory=list)


class PrefillGate:
    """A bounded number of prompts at each engine, and who is next."""

    def __init__(self, settings: GateSettings) -> None:
        self._settings = settings
        self._queues: dict[str, _Queue] = {}

    def enter(self, ticket: GateTicket, now_s: float) -> Entry:
        """Decide on a call on its arrival."""
        queue = self._of(ticket.target_id)
        if len(queue.running) < self._settings.most_at_once:
            queue.running[ticket.call_id] = ticket
            queue.begun_s = now_s
            return Entry.GO
        begins_s = now_s + self._wait_s(queue, ticket)
        if begins_s + queue.mean_s > ticket.useful_until_s:
            return Entry.TOO_LATE
        queue.waiting.append(ticket)
        queue.waiting.sort(key=_order)
        return Entry.WAIT

    def expected_wait_s(self, target_id: str) -> float:
        """Estimate how long the last in line waits at an engine."""
        queue = self._of(target_id)
        if len(queue.running) < self._settings.most_at_once:
            return 0.0
        ahead = len(queue.waiting) + 1
        return ahead * queue.mean_s / self._settings.most_at_once

    def backlog_tokens(self, target_id: str) -> int:
        """Add up what this node has under way and in line at an engine."""
        queue = self._of(target_id)
        tickets = [*queue.running.values(), *queue.waiting]
        return sum(ticket.tokens for ticket in tickets)

    def begun_s(self, target_id: str) -> float:
        """Tell when a prompt last went to an engine without a wait."""
        return self._of(target_id).begun_s

    def mean_s(self, target_id: str) -> float:
        """Tell how long a prompt took of late at an engine."""
        return self._of(target_id).mean_s

    def retry_after_s(self, target_id: str) -> float:
        """Tell a refused call when half of those ahead of it will be done.

        Those who come back later still would find the engine idle.
        """
        wait_s = self.expected_wait_s(target_id) / 2
        return max(self._settings.least_retry_after_s, wait_s)

    def leave(
        self, target_id: str, call_id: str, read_s: float | None
    ) -> str | None:
        """Give a place back; name the waiting call that has it now.

        `read_s` is how long the prompt took; None if it was not read.
        """
        queue = self._of(target_id)
        queue.waiting = [
            ticket for ticket in queue.waiting if ticket.call_id != call_id
        ]
        if call_id not in queue.running:
            return None
        queue.running.pop(call_id)
        if read_s is not None:
            queue.mean_s += MEAN_WEIGHT * (read_s - queue.mean_s)
        if not queue.waiting:
            return None
        ticket = queue.waiting.pop(0)
        queue.running[ticket.call_id] = ticket
        return ticket.call_id

    def _wait_s(self, queue: _Queue, ticket: GateTicket) -> float:
        ahead = sum(_order(other) <= _order(ticket) for other in queue.waiting)
        return (ahead + 1) * queue.mean_s / self._settings.most_at_once

    def _of(self, target_id: str) -> _Queue:
        return self._queues.setdefault(
            target_id, _Queue(self._settings.first_mean_s)
        )


def _order(ticket: GateTicket) -> tuple[int, float]:
    return ticket.rank, ticket.arrived_s
