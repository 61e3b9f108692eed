"""One service's queue, its running calls and how fast it drains."""

import attrs

from dandelionyoke_core._fair_queue import FairQueue, Waiting
from dandelionyoke_core._names import RequestId
from dandelionyoke_core._output_estimate import OutputEstimate
from dandelionyoke_core._ports import Ticket
from dandelionyoke_core._rate import DecayingRate


@attrs.frozen
class Running:
    """A call that holds a place."""

    ticket: Ticket
    cost: float
    weight: float


@attrs.define
class ServiceQueue:
    """What waits and what runs."""

    drained: DecayingRate
    queue: FairQueue = attrs.field(factory=FairQueue)
    running: dict[RequestId, Running] = attrs.field(factory=dict)
    output: OutputEstimate = attrs.field(factory=OutputEstimate)

    @property
    def has_queue(self) -> bool:
        """Whether calls wait."""
        return len(self.queue) > 0

    def start_next(self) -> RequestId | None:
        """Let the next call by fairness go."""
        taken = self.queue.pop()
        if taken is None:
            return None
        return self._start(taken)

    def wait_s(self, ahead: float, now_s: float, unknown_s: float) -> float:
        """Estimate how long this much work ahead takes to drain."""
        rate = self.drained.per_s(now_s)
        if ahead <= 0:
            return 0
        return ahead / rate if rate > 0 else unknown_s

    def _start(self, taken: Waiting) -> RequestId:
        request_id = taken.ticket.request_id
        self.running[request_id] = Running(
            taken.ticket, taken.cost, taken.weight
        )
        return request_id
