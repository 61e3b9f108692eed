"""The queue of one service, its running calls and its drain rate."""

import attrs

from dandelionyoke_core._fair_queue import FairQueue, QueuedCall
from dandelionyoke_core._names import RequestId
from dandelionyoke_core._output_estimate import OutputEstimate
from dandelionyoke_core._ports import Ticket
from dandelionyoke_core._rate import DecayingRate


@attrs.frozen
class RunningCall:
    """An admitted call that occupies a slot."""

    ticket: Ticket
    cost: float
    weight: float


@attrs.define
class ServiceQueue:
    """The queued and the running calls of one service."""

    drain_rate: DecayingRate
    queue: FairQueue = attrs.field(factory=FairQueue)
    running: dict[RequestId, RunningCall] = attrs.field(factory=dict)
    output: OutputEstimate = attrs.field(factory=OutputEstimate)

    @property
    def has_queued_calls(self) -> bool:
        """Whether any call is queued."""
        return len(self.queue) > 0

    def start_next(self) -> RequestId | None:
        """Start the next call in fair-queueing order."""
        queued_call = self.queue.pop()
        if queued_call is None:
            return None
        return self._start(queued_call)

    def wait_s(
        self, work_ahead: float, now_s: float, default_s: float
    ) -> float:
        """Estimate the time to drain the work ahead of a call.

        Returns `default_s` while the drain rate is unknown.
        """
        rate = self.drain_rate.per_s(now_s)
        if work_ahead <= 0:
            return 0
        return work_ahead / rate if rate > 0 else default_s

    def _start(self, queued_call: QueuedCall) -> RequestId:
        request_id = queued_call.ticket.request_id
        self.running[request_id] = RunningCall(
            queued_call.ticket, queued_call.cost, queued_call.weight
        )
        return request_id
