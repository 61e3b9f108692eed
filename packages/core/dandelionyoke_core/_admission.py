"""Which calls run now, which wait, and which are refused at once."""

from typing import ClassVar

from dandelionyoke_core._admission_refusals import (
    bounded_retry,
    no_target,
    overloaded,
)
from dandelionyoke_core._admission_settings import AdmissionSettings
from dandelionyoke_core._capacity import CapacityView, Outlook
from dandelionyoke_core._demand import DemandShared, DemandTable
from dandelionyoke_core._events import Event, Started, Woken
from dandelionyoke_core._limits import OrganisationLimits
from dandelionyoke_core._load_estimate import WorkSize
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
from dandelionyoke_core._service_queue import ServiceQueue
from dandelionyoke_core._work_mix import MixRow


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
        self._demand = DemandTable(settings, peers, instance_id)
        self._limits = OrganisationLimits(settings, self._demand)
        self._services: dict[ServiceName, ServiceQueue] = {}
        self._places: dict[RequestId, ServiceName] = {}
        self._due_s: float | None = None

    def handle(self, event: Event, now_s: float) -> list[Output]:
        """Take an event and say what follows from it."""
        match event:
            case Started(wall_s=wall_s):
                self._demand.start(now_s, wall_s)
                self._limits.entries_known(len(self._peers.live), now_s)
            case Woken():
                return [*self._demand.share(now_s), *self._wake(now_s)]
            case PeersKnown(live=live):
                self._limits.entries_known(len(live), now_s)
            case RecordLearned(record=DemandShared() as record):
                self._demand.learn(record, now_s)
        return []

    def next_wakeup_s(self) -> float | None:
        """Tell when queued calls, or the demand, have to be looked at."""
        due = (self._due_s, self._demand.next_wakeup_s())
        return min((due_s for due_s in due if due_s is not None), default=None)

    def mix(self, service: ServiceName, now_s: float) -> tuple[MixRow, ...]:
        """Estimate the work that all entries are asked for."""
        return self._demand.mix(service, now_s)

    # The Admitter port.

    def offer(
        self, ticket: Ticket, now_s: float
    ) -> Admitted | Queued | Refusal:
        """Decide on a new call at once."""
        service = self._service(ticket.service)
        output_tokens = service.output.mean_tokens(ticket.max_output_tokens)
        self._demand.count(ticket, output_tokens, now_s)
        self._demand.meter.add(
            ticket.service, ticket.prompt_tokens, output_tokens, now_s
        )
        outlook = self._outlook(ticket, service, now_s)
        refusal = self._refusal(ticket, service, outlook, now_s)
        if refusal is not None:
            return refusal
        self._limits.admit(ticket, output_tokens, now_s)
        self._places[ticket.request_id] = ticket.service
        cost = self._cost(ticket.prompt_tokens, output_tokens)
        was_empty = not service.has_queue
        run_s = 0 if outlook is None else outlook.run_s
        service.queue.push(ticket, cost, self._weight(ticket), run_s)
        if was_empty and self._may_start(ticket, service, outlook, now_s):
            service.start_next()
            return Admitted()
        self._look_again(now_s + self._settings.look_again_s)
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
            self._give_back(service, waiting.ticket, 0)
            return
        running = service.running.pop(request_id)
        ticket = running.ticket
        served = self._cost(prompt_tokens, output_tokens)
        name_of = ticket.organisation.organisation_id
        service.queue.correct(name_of, served - running.cost, running.weight)
        service.drained.add(served, now_s)
        self._give_back(service, ticket, prompt_tokens + output_tokens)
        if output_tokens:
            service.output.learn(output_tokens, ticket.max_output_tokens)
        # finish() cannot return a notice, so the freed place is given away
        # by a wake-up that is due at once; without it a queued call would
        # wait for the next timer.
        if service.has_queue:
            self._look_again(now_s)

    def come_back_s(self, service: ServiceName, now_s: float) -> float:
        """Estimate when a refused call would find room, in seconds."""
        found = self._service(service)
        return bounded_retry(
            self._settings,
            found.wait_s(found.queue.cost, now_s, self._settings.min_retry_s),
        )

    # Decisions.

    def _refusal(
        self,
        ticket: Ticket,
        service: ServiceQueue,
        outlook: Outlook | None,
        now_s: float,
    ) -> Refusal | None:
        limited = self._limits.refusal(ticket, now_s)
        if limited is not None:
            return limited
        if outlook is None:
            return no_target(self._settings, ticket.service)
        return self._queue_refusal(ticket, service, outlook, now_s)

    def _queue_refusal(
        self,
        ticket: Ticket,
        service: ServiceQueue,
        outlook: Outlook,
        now_s: float,
    ) -> Refusal | None:
        settings = self._settings
        name = ticket.organisation.organisation_id
        queue = service.queue
        ahead = queue.ahead(name)
        wait_s = service.wait_s(ahead, now_s, settings.min_retry_s)
        if self._is_too_late(ticket, wait_s + outlook.total_s, now_s):
            return overloaded(
                self._settings,
                RefusalKind.DEADLINE,
                'the deadline would pass',
                wait_s,
            )
        if len(queue) >= settings.max_queued:
            return overloaded(
                self._settings,
                RefusalKind.OVERLOADED,
                'the queue is full',
                wait_s,
            )
        share = settings.max_queued * settings.max_queued_share
        if queue.queued_of(name) >= share:
            return overloaded(
                self._settings,
                RefusalKind.OVERLOADED,
                'too many calls wait already',
                wait_s,
            )
        return None

    def _is_too_late(
        self, ticket: Ticket, needed_s: float, now_s: float
    ) -> bool:
        if ticket.deadline_s is None:
            return False
        expected_s = needed_s * self._settings.deadline_margin
        return now_s + expected_s > ticket.deadline_s

    def _outlook(
        self, ticket: Ticket, service: ServiceQueue, now_s: float
    ) -> Outlook | None:
        size = WorkSize(
            ticket.prompt_tokens,
            service.output.mean_tokens(ticket.max_output_tokens),
            service.output.high_tokens(ticket.max_output_tokens),
        )
        return self._capacities.outlook(ticket.service, size, now_s)

    def _may_start(
        self,
        ticket: Ticket,
        service: ServiceQueue,
        outlook: Outlook | None,
        now_s: float,
    ) -> bool:
        if outlook is None or not outlook.has_room:
            return False
        capacity = self._capacities.capacity(ticket.service, now_s)
        entries = max(1, len(self._peers.live))
        slots = capacity.slots / entries * self._settings.slot_margin
        return len(service.running) < max(1, slots)

    # Queues.

    def _wake(self, now_s: float) -> list[Output]:
        """Let one call of each queue go, and look again at once.

        The next look then sees the load of the call that went; letting
        several go on one look would send them all to the same free room.
        """
        self._due_s = None
        outputs: list[Output] = []
        for service in self._services.values():
            outputs.extend(self._reject_late(service, now_s))
            outputs.extend(self._start_next(service, now_s))
        return outputs

    def _start_next(self, service: ServiceQueue, now_s: float) -> list[Output]:
        head = service.queue.peek()
        if head is None:
            return []
        outlook = self._outlook(head.ticket, service, now_s)
        if self._may_start(head.ticket, service, outlook, now_s):
            request_id = service.start_next()
            self._look_again(now_s)
            return [] if request_id is None else [CallAdmitted(request_id)]
        self._look_again(now_s + self._settings.look_again_s)
        return []

    def _reject_late(self, service: ServiceQueue, now_s: float) -> list[Output]:
        outputs: list[Output] = []
        for waiting in service.queue.waiting():
            ticket = waiting.ticket
            limit_s = ticket.arrived_s + self._settings.queue_limit_s
            if ticket.deadline_s is not None:
                run_s = waiting.run_s * self._settings.deadline_margin
                limit_s = min(limit_s, ticket.deadline_s - run_s)
            if now_s < limit_s:
                continue
            self.withdraw(ticket.request_id, now_s)
            refusal = overloaded(
                self._settings,
                RefusalKind.DEADLINE,
                'the call waited too long',
                service.wait_s(service.queue.cost, now_s, 0),
            )
            outputs.append(CallRejected(ticket.request_id, refusal))
        return outputs

    def _look_again(self, at_s: float) -> None:
        if self._due_s is None or at_s < self._due_s:
            self._due_s = at_s

    def _give_back(
        self, service: ServiceQueue, ticket: Ticket, served_tokens: int
    ) -> None:
        expected = service.output.mean_tokens(ticket.max_output_tokens)
        charged = ticket.prompt_tokens + expected
        self._limits.finish(ticket, served_tokens - charged)

    def _service(self, name: ServiceName) -> ServiceQueue:
        service = self._services.get(name)
        if service is None:
            service = ServiceQueue(DecayingRate(self._settings.rate_window_s))
            self._services[name] = service
        return service

    def _cost(self, prompt_tokens: float, output_tokens: float) -> float:
        # A call of no tokens, as to a plain service, is still some work.
        tokens = prompt_tokens + self._settings.output_weight * output_tokens
        return max(1, tokens)

    def _weight(self, ticket: Ticket) -> float:
        organisation = ticket.organisation
        step = self._settings.priority_factor**organisation.priority
        return max(1, organisation.weight) * step
