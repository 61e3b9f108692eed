"""Weighted fair queueing on served work, one queue for each service.

Start-time fair queueing: each organisation is a flow whose next call starts
where its last one ended in virtual time; the lowest start goes first. What a
call really used replaces its estimate when it ends, so that an organisation
neither gains by asking for less than it uses nor pays for what it did not
get.
"""

from collections import deque

import attrs

from dandelionyoke_core._names import OrganisationId, RequestId
from dandelionyoke_core._ports import Ticket


@attrs.frozen
class Waiting:
    """A queued call; `run_s` is what it is expected to take once it goes."""

    ticket: Ticket
    cost: float
    weight: float
    start: float
    run_s: float


@attrs.define
class Flow:
    """One organisation's place in virtual time and its queued calls."""

    finish: float = 0.0
    calls: deque[Waiting] = attrs.field(factory=deque)


class FairQueue:
    """Calls of many organisations, taken in the order of fairness."""

    def __init__(self) -> None:
        self._flows: dict[OrganisationId, Flow] = {}
        self._virtual = 0.0
        self._size = 0
        self._cost = 0.0

    def __len__(self) -> int:
        return self._size

    @property
    def cost(self) -> float:
        """Work that waits."""
        return self._cost

    def queued_of(self, organisation_id: OrganisationId) -> int:
        """Count an organisation's queued calls."""
        flow = self._flows.get(organisation_id)
        return 0 if flow is None else len(flow.calls)

    def ahead(self, organisation_id: OrganisationId) -> float:
        """Add up the work that a new call of an organisation waits for."""
        flow = self._flows.get(organisation_id)
        finish = 0.0 if flow is None else flow.finish
        start = max(self._virtual, finish)
        return sum(
            call.cost
            for other in self._flows.values()
            for call in other.calls
            if call.start <= start
        )

    def push(
        self, ticket: Ticket, cost: float, weight: float, run_s: float
    ) -> None:
        """Queue a call."""
        flow = self._flow(ticket)
        start = max(self._virtual, flow.finish)
        flow.finish = start + cost / weight
        flow.calls.append(Waiting(ticket, cost, weight, start, run_s))
        self._size += 1
        self._cost += cost

    def pop(self) -> Waiting | None:
        """Take the call that is next by fairness."""
        heads = [flow for flow in self._flows.values() if flow.calls]
        if not heads:
            return None
        flow = min(heads, key=lambda head: head.calls[0].start)
        taken = flow.calls.popleft()
        self._virtual = max(self._virtual, taken.start)
        self._forget_one(taken)
        self._prune()
        return taken

    def peek(self) -> Waiting | None:
        """Look at the call that is next by fairness."""
        heads = [flow.calls[0] for flow in self._flows.values() if flow.calls]
        return min(heads, key=lambda head: head.start, default=None)

    def remove(self, request_id: RequestId) -> Waiting | None:
        """Take a call out and give its organisation the place back."""
        for flow in self._flows.values():
            for waiting in flow.calls:
                if waiting.ticket.request_id == request_id:
                    flow.calls.remove(waiting)
                    flow.finish -= waiting.cost / waiting.weight
                    self._forget_one(waiting)
                    return waiting
        return None

    def correct(
        self, organisation_id: OrganisationId, excess: float, weight: float
    ) -> None:
        """Replace an estimate by what was served: `excess` more than it."""
        flow = self._flows.get(organisation_id)
        if flow is not None:
            flow.finish += excess / weight
        elif excess > 0:
            finish = self._virtual + excess / weight
            self._flows[organisation_id] = Flow(finish)

    def waiting(self) -> list[Waiting]:
        """List all queued calls."""
        return [call for flow in self._flows.values() for call in flow.calls]

    def _flow(self, ticket: Ticket) -> Flow:
        organisation_id = ticket.organisation.organisation_id
        return self._flows.setdefault(organisation_id, Flow())

    def _forget_one(self, waiting: Waiting) -> None:
        self._size -= 1
        self._cost = max(0.0, self._cost - waiting.cost)

    def _prune(self) -> None:
        idle = [
            name
            for name, flow in self._flows.items()
            if not flow.calls and flow.finish <= self._virtual
        ]
        for name in idle:
            self._flows.pop(name)
