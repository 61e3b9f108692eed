"""The naive baseline that the system is compared with.

It scans the whole fleet for the target with the fewest calls in its last
report, has one first-come, first-served queue per service for all
organisations, changes no roles and neither adds nor removes targets.
"""

from collections import deque
from typing import ClassVar

from dandelionyoke_core import (
    Admitted,
    AttemptId,
    CallAdmitted,
    Event,
    ListTargets,
    LoadReport,
    LoadReported,
    NoRoute,
    Output,
    PollLoad,
    Presence,
    Queued,
    Refusal,
    RequestId,
    RouteRequirements,
    ServiceName,
    Started,
    Target,
    TargetId,
    TargetsListed,
    TargetUnreachable,
    Ticket,
    TimerFired,
)

LIST_INTERVAL_S = 2.0
POLL_INTERVAL_S = 0.5
MAX_CALLS_PER_TARGET = 32


class NaiveRouter:
    """Router that chooses the target with the fewest reported calls."""

    handles: ClassVar[tuple[type[Event], ...]] = (
        Started,
        TimerFired,
        TargetsListed,
        LoadReported,
        TargetUnreachable,
    )

    def __init__(self) -> None:
        self._targets: dict[TargetId, Target] = {}
        self._reports: dict[TargetId, LoadReport] = {}
        self._next_list_s: float | None = None
        self._next_poll_s: float | None = None

    def handle(self, event: Event, now_s: float) -> list[Output]:
        """Handle an event and return the outputs."""
        match event:
            case Started():
                self._next_list_s = now_s
                self._next_poll_s = now_s
            case TargetsListed(targets=targets):
                self._targets = {target.target_id: target for target in targets}
            case LoadReported(target_id=target_id, report=report):
                self._reports[target_id] = report
            case TargetUnreachable(target_id=target_id):
                self._reports.pop(target_id, None)
        if isinstance(event, Started | TimerFired):
            return self._request_updates(now_s)
        return []

    def next_wakeup_s(self) -> float | None:
        """Return when the next listing or load poll is due."""
        due = (self._next_list_s, self._next_poll_s)
        return min((due_s for due_s in due if due_s is not None), default=None)

    def choose(
        self, requirements: RouteRequirements, now_s: float
    ) -> Target | NoRoute:
        """Scan the whole fleet for the least loaded usable target."""
        usable = [
            target
            for target in self._targets.values()
            if target.service == requirements.service
            and target.state is Presence.LIVE
            and self._is_usable(target, requirements)
        ]
        if not usable:
            return NoRoute('no usable target', 1)
        return min(usable, key=self._reported_calls)

    def find(self, target_id: TargetId) -> Target | None:
        """Look up a target; None when it is not listed."""
        return self._targets.get(target_id)

    def dispatched(
        self,
        attempt_id: AttemptId,
        target_id: TargetId,
        requirements: RouteRequirements,
        now_s: float,
    ) -> None:
        """Do nothing; only reports count."""

    def progressed(
        self, attempt_id: AttemptId, output_tokens: int, now_s: float
    ) -> None:
        """Do nothing; only reports count."""

    def ended(
        self, attempt_id: AttemptId, now_s: float, failed: bool = False
    ) -> None:
        """Do nothing; only reports count."""

    def slots(self, service: ServiceName) -> int:
        """Return how many calls the listed targets may run at once."""
        return MAX_CALLS_PER_TARGET * sum(
            target.service == service for target in self._targets.values()
        )

    def _is_usable(
        self, target: Target, requirements: RouteRequirements
    ) -> bool:
        if requirements.on_demand_only and target.reclaimable:
            return False
        known = target.target_id in self._reports
        return known and target.target_id not in requirements.excluded_targets

    def _reported_calls(self, target: Target) -> int:
        report = self._reports[target.target_id]
        return report.running + report.waiting

    def _request_updates(self, now_s: float) -> list[Output]:
        outputs: list[Output] = []
        if self._next_list_s is not None and now_s >= self._next_list_s:
            self._next_list_s = now_s + LIST_INTERVAL_S
            outputs.append(ListTargets())
        if self._next_poll_s is not None and now_s >= self._next_poll_s:
            self._next_poll_s = now_s + POLL_INTERVAL_S
            outputs.extend(
                PollLoad(target.target_id, target.address)
                for target in self._targets.values()
            )
        return outputs


class NaiveAdmitter:
    """First come, first served admission without regard to organisations.

    Each entry uses an equal part of the slots.
    """

    handles: ClassVar[tuple[type[Event], ...]] = (TimerFired,)

    def __init__(self, router: NaiveRouter, entries: int) -> None:
        self._router = router
        self._entries = entries
        self._queues: dict[ServiceName, deque[Ticket]] = {}
        self._running: dict[RequestId, ServiceName] = {}
        self._wakeup_s: float | None = None

    def handle(self, event: Event, now_s: float) -> list[Output]:
        """Admit queued calls while slots are free."""
        self._wakeup_s = None
        outputs: list[Output] = []
        for service, queue in self._queues.items():
            while queue and self._has_free_slot(service):
                ticket = queue.popleft()
                self._running[ticket.request_id] = service
                outputs.append(CallAdmitted(ticket.request_id))
        return outputs

    def next_wakeup_s(self) -> float | None:
        """Return when slots were last released, or None."""
        return self._wakeup_s

    def offer(
        self, ticket: Ticket, now_s: float
    ) -> Admitted | Queued | Refusal:
        """Admit a call at once or queue it."""
        queue = self._queues.setdefault(ticket.service, deque())
        if not queue and self._has_free_slot(ticket.service):
            self._running[ticket.request_id] = ticket.service
            return Admitted()
        queue.append(ticket)
        return Queued()

    def withdraw(self, request_id: RequestId, now_s: float) -> None:
        """Remove a queued call, or release the slot of an admitted one."""
        self.finish(request_id, 0, 0, now_s)

    def finish(
        self,
        request_id: RequestId,
        prompt_tokens: int,
        output_tokens: int,
        now_s: float,
    ) -> None:
        """Release the slot of a call, or remove it from its queue."""
        if self._running.pop(request_id, None) is None:
            for queue in self._queues.values():
                left = [
                    ticket
                    for ticket in queue
                    if ticket.request_id != request_id
                ]
                queue.clear()
                queue.extend(left)
        self._wakeup_s = now_s

    def retry_after_s(self, service: ServiceName, now_s: float) -> float:
        """Return a fixed estimate of one second."""
        return 1

    def _has_free_slot(self, service: ServiceName) -> bool:
        running = sum(other == service for other in self._running.values())
        slots_per_entry = self._router.slots(service) / self._entries
        return running < max(1, slots_per_entry)
