"""Admission control: start, queue or refuse each call."""

from typing import ClassVar

from dandelionyoke_core._admission_refusals import (
    clamp_retry_after_s,
    no_target,
    overloaded,
)
from dandelionyoke_core._admission_settings import AdmissionSettings
from dandelionyoke_core._capacity import CallForecast, CapacityView
from dandelionyoke_core._demand import DemandShared, DemandTable
from dandelionyoke_core._events import Event, Started, TimerFired
from dandelionyoke_core._limits import OrganisationLimits
from dandelionyoke_core._load_estimate import WorkSize
from dandelionyoke_core._names import InstanceId, RequestId, ServiceName
from dandelionyoke_core._notices import (
    CallAdmitted,
    CallRejected,
    LivePeersChanged,
    RecordReceived,
)
from dandelionyoke_core._ports import (
    Admitted,
    ConfigurationView,
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
    """Apply organisation limits and fair queueing to the calls of services."""

    handles: ClassVar[tuple[type[Event], ...]] = (
        Started,
        TimerFired,
        RecordReceived,
        LivePeersChanged,
    )

    def __init__(
        self,
        settings: AdmissionSettings,
        configuration_view: ConfigurationView,
        peers: Peers,
        capacities: CapacityView,
        instance_id: InstanceId,
    ) -> None:
        self._settings = settings
        self._configuration_view = configuration_view
        self._peers = peers
        self._capacities = capacities
        self._demand = DemandTable(settings, peers, instance_id)
        self._limits = OrganisationLimits(settings, self._demand)
        self._services: dict[ServiceName, ServiceQueue] = {}
        self._services_by_request: dict[RequestId, ServiceName] = {}
        self._next_check_s: float | None = None

    def handle(self, event: Event, now_s: float) -> list[Output]:
        """Handle an event and return the resulting outputs."""
        match event:
            case Started(wall_s=wall_s):
                self._demand.start(now_s, wall_s)
                self._limits.update_entry_count(len(self._peers.live), now_s)
            case TimerFired():
                return [*self._demand.share(now_s), *self._start_queued(now_s)]
            case LivePeersChanged(live=live):
                self._limits.update_entry_count(len(live), now_s)
            case RecordReceived(record=DemandShared() as record):
                self._demand.add_received(record, now_s)
        return []

    def next_wakeup_s(self) -> float | None:
        """Return when the queues or the demand record are next due."""
        due = (self._next_check_s, self._demand.next_wakeup_s())
        return min((due_s for due_s in due if due_s is not None), default=None)

    def mix(self, service: ServiceName, now_s: float) -> tuple[MixRow, ...]:
        """Estimate the work requested at all entries."""
        return self._demand.mix(service, now_s)

    # Admitter protocol.

    def offer(
        self, ticket: Ticket, now_s: float
    ) -> Admitted | Queued | Refusal:
        """Admit, queue or refuse a new call."""
        service = self._service(ticket.service)
        output_tokens = service.output.mean_tokens(ticket.max_output_tokens)
        self._demand.count(ticket, output_tokens, now_s)
        self._demand.meter.add(
            ticket.service, ticket.prompt_tokens, output_tokens, now_s
        )
        forecast = self._forecast(ticket, service, now_s)
        refusal = self._refusal(ticket, service, forecast, now_s)
        if refusal is not None:
            return refusal
        self._limits.admit(ticket, output_tokens, now_s)
        self._services_by_request[ticket.request_id] = ticket.service
        cost = self._cost(ticket.prompt_tokens, output_tokens)
        queue_was_empty = not service.has_queued_calls
        run_s = 0 if forecast is None else forecast.run_s
        service.queue.push(ticket, cost, self._weight(ticket), run_s)
        if queue_was_empty and self._can_start(
            ticket, service, forecast, now_s
        ):
            service.start_next()
            return Admitted()
        self._schedule_check(now_s + self._settings.queue_check_interval_s)
        return Queued()

    def withdraw(self, request_id: RequestId, now_s: float) -> None:
        """Remove a call that received no output."""
        self.finish(request_id, 0, 0, now_s)

    def finish(
        self,
        request_id: RequestId,
        prompt_tokens: int,
        output_tokens: int,
        now_s: float,
    ) -> None:
        """Release the slot of a call and charge the tokens it was served."""
        service_name = self._services_by_request.pop(request_id, None)
        if service_name is None:
            return
        service = self._service(service_name)
        queued = service.queue.remove(request_id)
        if queued is not None:
            self._limits.finish(queued.ticket, 0)
            return
        running = service.running.pop(request_id)
        ticket = running.ticket
        served_cost = self._cost(prompt_tokens, output_tokens)
        organisation_id = ticket.organisation.organisation_id
        service.queue.correct_cost(
            organisation_id, served_cost - running.cost, running.weight
        )
        service.drain_rate.add(served_cost, now_s)
        self._limits.finish(ticket, prompt_tokens + output_tokens)
        if output_tokens:
            service.output.learn(output_tokens, ticket.max_output_tokens)
        # finish() cannot return a notice, so an immediate wake-up assigns the
        # freed slot. Without it a queued call would wait for the next timer.
        if service.has_queued_calls:
            self._schedule_check(now_s)

    def retry_after_s(self, service: ServiceName, now_s: float) -> float:
        """Estimate after how many seconds a refused call could be admitted."""
        service_queue = self._service(service)
        return clamp_retry_after_s(
            self._settings,
            service_queue.wait_s(
                service_queue.queue.cost, now_s, self._settings.min_retry_s
            ),
        )

    # Decisions.

    def _refusal(
        self,
        ticket: Ticket,
        service: ServiceQueue,
        forecast: CallForecast | None,
        now_s: float,
    ) -> Refusal | None:
        limit_refusal = self._limits.refusal(ticket, now_s)
        if limit_refusal is not None:
            return limit_refusal
        if forecast is None:
            return no_target(self._settings, ticket.service)
        return self._queue_refusal(ticket, service, forecast, now_s)

    def _queue_refusal(
        self,
        ticket: Ticket,
        service: ServiceQueue,
        forecast: CallForecast,
        now_s: float,
    ) -> Refusal | None:
        settings = self._settings
        organisation_id = ticket.organisation.organisation_id
        queue = service.queue
        work_ahead = queue.work_ahead(organisation_id)
        wait_s = service.wait_s(work_ahead, now_s, settings.min_retry_s)
        if self._would_miss_deadline(ticket, wait_s + forecast.total_s, now_s):
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
        max_calls = settings.max_queued * settings.max_queued_share
        if queue.queued_count(organisation_id) >= max_calls:
            return overloaded(
                self._settings,
                RefusalKind.OVERLOADED,
                'too many calls wait already',
                wait_s,
            )
        return None

    def _would_miss_deadline(
        self, ticket: Ticket, needed_s: float, now_s: float
    ) -> bool:
        if ticket.deadline_s is None:
            return False
        expected_s = needed_s * self._settings.deadline_margin
        return now_s + expected_s > ticket.deadline_s

    def _forecast(
        self, ticket: Ticket, service: ServiceQueue, now_s: float
    ) -> CallForecast | None:
        size = WorkSize(
            ticket.prompt_tokens,
            service.output.mean_tokens(ticket.max_output_tokens),
            service.output.upper_tokens(ticket.max_output_tokens),
        )
        return self._capacities.forecast(ticket.service, size, now_s)

    def _can_start(
        self,
        ticket: Ticket,
        service: ServiceQueue,
        forecast: CallForecast | None,
        now_s: float,
    ) -> bool:
        if forecast is None or not forecast.can_start:
            return False
        capacity = self._capacities.capacity(ticket.service, now_s)
        entries = max(1, len(self._peers.live))
        slots = capacity.slots / entries * self._settings.slot_margin
        return len(service.running) < max(1, slots)

    # Queues.

    def _start_queued(self, now_s: float) -> list[Output]:
        """Start one call of each queue and check the queues again at once.

        The next check then includes the load of the started call. Starting
        several calls in one check would send them all to the same free slot.
        """
        self._next_check_s = None
        outputs: list[Output] = []
        for service in self._services.values():
            outputs.extend(self._reject_expired(service, now_s))
            outputs.extend(self._start_next(service, now_s))
        return outputs

    def _start_next(self, service: ServiceQueue, now_s: float) -> list[Output]:
        head = service.queue.peek()
        if head is None:
            return []
        forecast = self._forecast(head.ticket, service, now_s)
        if self._can_start(head.ticket, service, forecast, now_s):
            request_id = service.start_next()
            self._schedule_check(now_s)
            return [] if request_id is None else [CallAdmitted(request_id)]
        self._schedule_check(now_s + self._settings.queue_check_interval_s)
        return []

    def _reject_expired(
        self, service: ServiceQueue, now_s: float
    ) -> list[Output]:
        outputs: list[Output] = []
        for queued in service.queue.queued_calls():
            ticket = queued.ticket
            expires_s = ticket.arrived_s + self._settings.max_queue_wait_s
            if ticket.deadline_s is not None:
                run_s = queued.run_s * self._settings.deadline_margin
                expires_s = min(expires_s, ticket.deadline_s - run_s)
            if now_s < expires_s:
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

    def _schedule_check(self, at_s: float) -> None:
        if self._next_check_s is None or at_s < self._next_check_s:
            self._next_check_s = at_s

    def _service(self, name: ServiceName) -> ServiceQueue:
        service = self._services.get(name)
        if service is None:
            service = ServiceQueue(DecayingRate(self._settings.rate_window_s))
            self._services[name] = service
        return service

    def _cost(self, prompt_tokens: float, output_tokens: float) -> float:
        # Calls without tokens, such as those of plain services, cost 1.
        tokens = prompt_tokens + self._settings.output_weight * output_tokens
        return max(1, tokens)

    def _weight(self, ticket: Ticket) -> float:
        organisation = ticket.organisation
        priority_weight = self._settings.priority_factor**organisation.priority
        return max(1, organisation.weight) * priority_weight
