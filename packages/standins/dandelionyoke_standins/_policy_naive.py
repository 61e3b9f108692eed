"""The naive version: right at a glance, and blind to much.

It scans the whole fleet for the fewest calls that the last report tells of,
keeps one first-come queue for all organisations, changes no roles and keeps
the targets that it was given.
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
    RouteNeed,
    ServiceName,
    Started,
    Target,
    TargetId,
    TargetsListed,
    TargetUnreachable,
    Ticket,
    Woken,
)

LIST_S = 2.0
POLL_S = 0.5
CALLS_PER_TARGET = 32


class NaiveRouter:
    """Takes the target with the fewest calls in its last report."""

    handles: ClassVar[tuple[type[Event], ...]] = (
        Started,
        Woken,
        TargetsListed,
        LoadReported,
        TargetUnreachable,
    )

    def __init__(self) -> None:
        self._targets: dict[TargetId, Target] = {}
        self._reports: dict[TargetId, LoadReport] = {}
        self._list_s: float | None = None
        self._poll_s: float | None = None

    def handle(self, event: Event, now_s: float) -> list[Output]:
        """Take an event and say what follows from it."""
        match event:
            case Started():
                self._list_s = now_s
                self._poll_s = now_s
            case TargetsListed(targets=targets):
                self._targets = {one.target_id: one for one in targets}
            case LoadReported(target_id=target_id, report=report):
                self._reports[target_id] = report
            case TargetUnreachable(target_id=target_id):
                self._reports.pop(target_id, None)
        if isinstance(event, Started | Woken):
            return self._read(now_s)
        return []

    def next_wakeup_s(self) -> float | None:
        """Tell when the next reading is due."""
        due = (self._list_s, self._poll_s)
        return min((due_s for due_s in due if due_s is not None), default=None)

    def choose(self, need: RouteNeed, now_s: float) -> Target | NoRoute:
        """Scan the whole fleet."""
        usable = [
            target
            for target in self._targets.values()
            if target.service == need.service
            and target.state is Presence.LIVE
            and self._may_take(target, need)
        ]
        if not usable:
            return NoRoute('no usable target', 1)
        return min(usable, key=self._calls)

    def find(self, target_id: TargetId) -> Target | None:
        """Look a target up."""
        return self._targets.get(target_id)

    def dispatched(
        self,
        attempt_id: AttemptId,
        target_id: TargetId,
        need: RouteNeed,
        now_s: float,
    ) -> None:
        """Count nothing."""

    def progressed(
        self, attempt_id: AttemptId, output_tokens: int, now_s: float
    ) -> None:
        """Count nothing."""

    def ended(
        self, attempt_id: AttemptId, now_s: float, failed: bool = False
    ) -> None:
        """Count nothing."""

    def slots(self, service: ServiceName) -> int:
        """Calls that the listed targets may run at once."""
        return CALLS_PER_TARGET * sum(
            target.service == service for target in self._targets.values()
        )

    def _may_take(self, target: Target, need: RouteNeed) -> bool:
        if need.steady and target.reclaimable:
            return False
        known = target.target_id in self._reports
        return known and target.target_id not in need.avoid

    def _calls(self, target: Target) -> int:
        report = self._reports[target.target_id]
        return report.running + report.waiting

    def _read(self, now_s: float) -> list[Output]:
        outputs: list[Output] = []
        if self._list_s is not None and now_s >= self._list_s:
            self._list_s = now_s + LIST_S
            outputs.append(ListTargets())
        if self._poll_s is not None and now_s >= self._poll_s:
            self._poll_s = now_s + POLL_S
            outputs.extend(
                PollLoad(target.target_id, target.address)
                for target in self._targets.values()
            )
        return outputs


class NaiveAdmitter:
    """One queue for everyone, first come first served."""

    handles: ClassVar[tuple[type[Event], ...]] = (Woken,)

    def __init__(self, router: NaiveRouter, entries: int) -> None:
        self._router = router
        self._entries = entries
        self._queues: dict[ServiceName, deque[Ticket]] = {}
        self._running: dict[RequestId, ServiceName] = {}
        self._due_s: float | None = None

    def handle(self, event: Event, now_s: float) -> list[Output]:
        """Let queued calls go where there is a place."""
        self._due_s = None
        outputs: list[Output] = []
        for service, queue in self._queues.items():
            while queue and self._has_place(service):
                ticket = queue.popleft()
                self._running[ticket.request_id] = service
                outputs.append(CallAdmitted(ticket.request_id))
        return outputs

    def next_wakeup_s(self) -> float | None:
        """Tell when places were given back."""
        return self._due_s

    def offer(
        self, ticket: Ticket, now_s: float
    ) -> Admitted | Queued | Refusal:
        """Queue, or let go at once."""
        queue = self._queues.setdefault(ticket.service, deque())
        if not queue and self._has_place(ticket.service):
            self._running[ticket.request_id] = ticket.service
            return Admitted()
        queue.append(ticket)
        return Queued()

    def withdraw(self, request_id: RequestId, now_s: float) -> None:
        """Forget a call."""
        self.finish(request_id, 0, 0, now_s)

    def finish(
        self,
        request_id: RequestId,
        prompt_tokens: int,
        output_tokens: int,
        now_s: float,
    ) -> None:
        """Give back the place of a call."""
        if self._running.pop(request_id, None) is None:
            for queue in self._queues.values():
                left = [one for one in queue if one.request_id != request_id]
                queue.clear()
                queue.extend(left)
        self._due_s = now_s

    def come_back_s(self, service: ServiceName, now_s: float) -> float:
        """Say a second."""
        return 1

    def _has_place(self, service: ServiceName) -> bool:
        running = sum(one == service for one in self._running.values())
        places = self._router.slots(service) / self._entries
        return running < max(1, places)
