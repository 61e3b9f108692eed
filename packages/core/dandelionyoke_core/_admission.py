"""Which calls run now, which wait, and which are refused at once."""

from typing import ClassVar

import attrs

from dandelionyoke_core._admission_settings import AdmissionSettings
from dandelionyoke_core._capacity import CapacityView
from dandelionyoke_core._events import Event, Started, Woken
from dandelionyoke_core._fair_queue import FairQueue
from dandelionyoke_core._limits import OrganisationLimits
from dandelionyoke_core._names import InstanceId, RequestId, ServiceName
from dandelionyoke_core._notices import (
    CallAdmitted,
    CallRejected,
    PeersKnown,
    RecordLearned,
)
from dandelionyoke_core._ports import (
    Admitted,
    Directory,
    Output,
    Peers,
    Queued,
    Ticket,
)
from dandelionyoke_core._rate import DecayingRate
from dandelionyoke_core._refusals import Refusal, RefusalKind


@attrs.define
class Running:
    """A call that holds a place."""

    ticket: Ticket
    cost: float
    weight: float


@attrs.define
class ServiceQueue:
    """One service's queue, its running calls and how fast it drains."""

    drained: DecayingRate
    queue: FairQueue = attrs.field(factory=FairQueue)
    running: dict[RequestId, Running] = attrs.field(factory=dict)


class AdmissionPart:
    """Limits and fair queues over the services."""

    handles: ClassVar[tuple[type[Event], ...]] = (
        Started,
        Woken,
        RecordLearned,
        PeersKnown,
    )

    def __init__(
        self,
        settings: AdmissionSettings,
        directory: Directory,
        peers: Peers,
        capacities: CapacityView,
        instance_id: InstanceId,
    ) -> None:
        self._settings = settings
        self._directory = directory
        self._peers = peers
        self._capacities = capacities
        self._limits = OrganisationLimits(settings, instance_id)
        self._services: dict[ServiceName, ServiceQueue] = {}
        self._places: dict[RequestId, ServiceName] = {}
        self._due_s: float | None = None

    def handle(self, event: Event, now_s: float) -> list[Output]:
        """Take an event and say what follows from it."""
        match event:
            case Woken():
                return self._wake(now_s)
            case PeersKnown(live=live):
                self._limits.entries_known(len(live), now_s)
        return []

    def next_wakeup_s(self) -> float | None:
        """Tell when queued calls have to be looked at again."""
        return self._due_s

    # The Admitter port.

    def offer(
        self, ticket: Ticket, now_s: float
    ) -> Admitted | Queued | Refusal:
        """Decide on a new call at once."""
        service = self._service(ticket.service)
        refusal = self._limits.refusal(ticket, now_s)
        if refusal is None:
            refusal = self._room_refusal(ticket, service, now_s)
        if refusal is not None:
            return refusal
        self._limits.admit(ticket, now_s)
        self._places[ticket.request_id] = ticket.service
        cost = self._cost(ticket.prompt_tokens, ticket.max_output_tokens)
        service.queue.push(ticket, cost, self._weight(ticket))
        if len(service.queue) == 1 and self._has_room(ticket.service, now_s):
            self._start_next(service)
            return Admitted()
        self._due_s = now_s if self._due_s is None else self._due_s
        return Queued()

    def withdraw(self, request_id: RequestId, now_s: float) -> None:
        """Forget a call of which nothing was served."""
        self.finish(request_id, 0, 0, now_s)

    def finish(
        self,
        request_id: RequestId,
        prompt_tokens: int,
        output_tokens: int,
        now_s: float,
    ) -> None:
        """Give back the place of a call, with what it was served."""
        name = self._places.pop(request_id, None)
        if name is None:
            return
        service = self._service(name)
        waiting = service.queue.remove(request_id)
        if waiting is not None:
            self._limits.finish(waiting.ticket, 0, 0, now_s)
            return
        running = service.running.pop(request_id)
        served = self._cost(prompt_tokens, output_tokens)
        organisation_id = running.ticket.organisation.organisation_id
        service.queue.correct(
            organisation_id, served - running.cost, running.weight
        )
        service.drained.add(served, now_s)
        self._limits.finish(running.ticket, prompt_tokens, output_tokens, now_s)
        # finish() cannot return a notice, so the freed place is given away
        # by a wake-up that is due at once; without it a queued call would
        # wait for the next timer.
        if service.queue:
            self._due_s = now_s

    def come_back_s(self, service: ServiceName, now_s: float) -> float:
        """Estimate when a refused call would find room, in seconds."""
        return self._bounded_retry(self._wait_s(self._service(service), now_s))

    # Decisions.

    def _room_refusal(
        self, ticket: Ticket, service: ServiceQueue, now_s: float
    ) -> Refusal | None:
        settings = self._settings
        capacity = self._capacities.capacity(ticket.service, now_s)
        if not capacity.slots:
            return Refusal(
                RefusalKind.NO_TARGET,
                f'no target of {ticket.service} can take work now',
                'Send the call again later',
                retry_after_s=settings.no_target_retry_s,
            )
        wait_s = self._wait_s(service, now_s)
        if ticket.deadline_s is not None and self._has_queue(service):
            if now_s + wait_s > ticket.deadline_s:
                return self._overloaded(
                    RefusalKind.DEADLINE, 'the deadline would pass', wait_s
                )
        own = service.queue.queued_of(ticket.organisation.organisation_id)
        if len(service.queue) >= settings.max_queued:
            return self._overloaded(
                RefusalKind.OVERLOADED, 'the queue is full', wait_s
            )
        if own >= settings.max_queued * settings.max_queued_share:
            return self._overloaded(
                RefusalKind.OVERLOADED, 'too many calls wait already', wait_s
            )
        return None

    def _overloaded(
        self, kind: RefusalKind, detail: str, wait_s: float
    ) -> Refusal:
        return Refusal(
            kind,
            detail,
            'Send the call again after the time given',
            retry_after_s=self._bounded_retry(wait_s),
        )

    def _wait_s(self, service: ServiceQueue, now_s: float) -> float:
        rate = service.drained.per_s(now_s)
        if not self._has_queue(service):
            return 0
        return service.queue.cost / rate if rate else self._settings.min_retry_s

    def _has_queue(self, service: ServiceQueue) -> bool:
        return len(service.queue) > 0

    def _bounded_retry(self, wait_s: float) -> float:
        settings = self._settings
        return min(settings.max_retry_s, max(settings.min_retry_s, wait_s))

    def _has_room(self, name: ServiceName, now_s: float) -> bool:
        service = self._service(name)
        capacity = self._capacities.capacity(name, now_s)
        share = 1 / max(1, len(self._peers.live))
        return len(service.running) < max(1, capacity.slots * share)

    def _start_next(self, service: ServiceQueue) -> RequestId | None:
        taken = service.queue.pop()
        if taken is None:
            return None
        request_id = taken.ticket.request_id
        service.running[request_id] = Running(
            taken.ticket, taken.cost, taken.weight
        )
        return request_id

    def _wake(self, now_s: float) -> list[Output]:
        outputs: list[Output] = []
        self._due_s = None
        for name, service in self._services.items():
            outputs.extend(self._reject_late(service, now_s))
            while self._has_queue(service) and self._has_room(name, now_s):
                request_id = self._start_next(service)
                if request_id is not None:
                    outputs.append(CallAdmitted(request_id))
            if self._has_queue(service):
                self._due_s = now_s + self._settings.min_retry_s
        return outputs

    def _reject_late(self, service: ServiceQueue, now_s: float) -> list[Output]:
        outputs: list[Output] = []
        for waiting in service.queue.waiting():
            ticket = waiting.ticket
            limit_s = ticket.arrived_s + self._settings.queue_limit_s
            if ticket.deadline_s is not None:
                limit_s = min(limit_s, ticket.deadline_s)
            if now_s < limit_s:
                continue
            self.withdraw(ticket.request_id, now_s)
            refusal = self._overloaded(
                RefusalKind.DEADLINE,
                'the call waited too long',
                self._wait_s(service, now_s),
            )
            outputs.append(CallRejected(ticket.request_id, refusal))
        return outputs

    def _service(self, name: ServiceName) -> ServiceQueue:
        service = self._services.get(name)
        if service is None:
            rate = DecayingRate(self._settings.rate_window_s)
            service = ServiceQueue(rate)
            self._services[name] = service
        return service

    def _cost(self, prompt_tokens: int, output_tokens: int) -> float:
        # A call of no tokens, as to a plain service, is still some work.
        tokens = prompt_tokens + self._settings.output_weight * output_tokens
        return max(1.0, tokens)

    def _weight(self, ticket: Ticket) -> float:
        organisation = ticket.organisation
        step = self._settings.priority_factor**organisation.priority
        return max(1, organisation.weight) * step
