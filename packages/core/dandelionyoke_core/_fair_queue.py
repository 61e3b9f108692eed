"""Weighted fair queueing of the calls of one service.

This is start-time fair queueing. Each organisation is a flow. A call gets the
virtual finish time of the previous call of its flow as its virtual start time,
and the call with the lowest virtual start time goes first. When a call ends,
its actual cost replaces the estimate. An organisation therefore gains nothing
from underestimated calls and is not charged for output that it did not get.
"""

from collections import deque

import attrs

from dandelionyoke_core._names import OrganisationId, RequestId
from dandelionyoke_core._ports import Ticket


@attrs.frozen
class QueuedCall:
    """A queued call; `run_s` is its expected duration once started."""

    ticket: Ticket
    cost: float
    weight: float
    virtual_start: float
    run_s: float


@attrs.define
class OrganisationFlow:
    """The virtual finish time of an organisation and its queued calls."""

    virtual_finish: float = 0.0
    calls: deque[QueuedCall] = attrs.field(factory=deque)


class FairQueue:
    """A queue that serves organisations in proportion to their weights."""

    def __init__(self) -> None:
        self._flows: dict[OrganisationId, OrganisationFlow] = {}
        self._virtual_time = 0.0
        self._size = 0
        self._cost = 0.0

    def __len__(self) -> int:
        return self._size

    @property
    def cost(self) -> float:
        """Total cost of the queued calls."""
        return self._cost

    def queued_count(self, organisation_id: OrganisationId) -> int:
        """Count the queued calls of an organisation."""
        flow = self._flows.get(organisation_id)
        return 0 if flow is None else len(flow.calls)

    def work_ahead(self, organisation_id: OrganisationId) -> float:
        """Sum the cost of the calls ahead of a new call of an organisation."""
        flow = self._flows.get(organisation_id)
        finish = 0.0 if flow is None else flow.virtual_finish
        start = max(self._virtual_time, finish)
        return sum(
            call.cost
            for other in self._flows.values()
            for call in other.calls
            if call.virtual_start <= start
        )

    def push(
        self, ticket: Ticket, cost: float, weight: float, run_s: float
    ) -> None:
        """Add a call to the queue."""
        flow = self._flow(ticket)
        start = max(self._virtual_time, flow.virtual_finish)
        flow.virtual_finish = start + cost / weight
        flow.calls.append(QueuedCall(ticket, cost, weight, start, run_s))
        self._size += 1
        self._cost += cost

    def pop(self) -> QueuedCall | None:
        """Remove and return the call with the lowest virtual start time."""
        heads = [flow for flow in self._flows.values() if flow.calls]
        if not heads:
            return None
        flow = min(heads, key=lambda head: head.calls[0].virtual_start)
        first = flow.calls.popleft()
        self._virtual_time = max(self._virtual_time, first.virtual_start)
        self._subtract_cost(first)
        self._prune()
        return first

    def peek(self) -> QueuedCall | None:
        """Return the call with the lowest virtual start time."""
        heads = [flow.calls[0] for flow in self._flows.values() if flow.calls]
        return min(heads, key=lambda head: head.virtual_start, default=None)

    def remove(self, request_id: RequestId) -> QueuedCall | None:
        """Remove a queued call and refund its cost to its organisation."""
        for flow in self._flows.values():
            for queued in flow.calls:
                if queued.ticket.request_id == request_id:
                    flow.calls.remove(queued)
                    flow.virtual_finish -= queued.cost / queued.weight
                    self._subtract_cost(queued)
                    return queued
        return None

    def correct_cost(
        self, organisation_id: OrganisationId, excess: float, weight: float
    ) -> None:
        """Charge `excess`, the actual cost minus the estimated cost."""
        flow = self._flows.get(organisation_id)
        if flow is not None:
            flow.virtual_finish += excess / weight
        elif excess > 0:
            finish = self._virtual_time + excess / weight
            self._flows[organisation_id] = OrganisationFlow(finish)

    def queued_calls(self) -> list[QueuedCall]:
        """Return all queued calls."""
        return [call for flow in self._flows.values() for call in flow.calls]

    def _flow(self, ticket: Ticket) -> OrganisationFlow:
        organisation_id = ticket.organisation.organisation_id
        return self._flows.setdefault(organisation_id, OrganisationFlow())

    def _subtract_cost(self, queued: QueuedCall) -> None:
        self._size -= 1
        self._cost = max(0.0, self._cost - queued.cost)

    def _prune(self) -> None:
        idle = [
            organisation_id
            for organisation_id, flow in self._flows.items()
            if not flow.calls and flow.virtual_finish <= self._virtual_time
        ]
        for organisation_id in idle:
            self._flows.pop(organisation_id)
