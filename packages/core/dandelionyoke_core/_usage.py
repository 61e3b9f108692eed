"""Counting, saving and reporting of usage for billing.

Each incarnation of an entry has cumulative counters. They are saved in the
store under a key of their own and copied to peers. The holder of the domain's
report duty closes time windows over all counters of the domain.
"""

from random import Random
from typing import ClassVar

from dandelionyoke_core._duty_lease import REPORT_DUTY
from dandelionyoke_core._events import (
    Event,
    PeerConnected,
    PeerDisconnected,
    PeerMessageArrived,
    Started,
    StoreResponded,
    TimerFired,
    UsageReportResponded,
)
from dandelionyoke_core._notices import (
    DutyExtended,
    DutyGained,
    DutyLost,
    Leaving,
    UsageDelivered,
)
from dandelionyoke_core._ports import Output, Peers
from dandelionyoke_core._records import Instance
from dandelionyoke_core._usage_copies import PeerCopies
from dandelionyoke_core._usage_counter import OwnCounter
from dandelionyoke_core._usage_records import UsageCopied, counter_key
from dandelionyoke_core._usage_settings import UsageSettings
from dandelionyoke_core._usage_windows import WindowReporter


class UsagePart:
    """Counts the usage of this entry and reports that of its domain."""

    handles: ClassVar[tuple[type[Event], ...]] = (
        Started,
        TimerFired,
        UsageDelivered,
        StoreResponded,
        UsageReportResponded,
        PeerConnected,
        PeerDisconnected,
        PeerMessageArrived,
        DutyGained,
        DutyExtended,
        DutyLost,
        Leaving,
    )

    def __init__(
        self,
        settings: UsageSettings,
        instance: Instance,
        incarnation: int,
        peers: Peers,
        random: Random,
    ) -> None:
        self._settings = settings
        key = counter_key(instance.domain, instance.instance_id, incarnation)
        self._counter = OwnCounter(settings, key, peers, random)
        self._copies = PeerCopies(settings, f'{key}.copies', random)
        self._reporter = WindowReporter(settings, instance, random)
        self._final_flush_deadline_s: float | None = None
        self._has_given_up = False

    @property
    def unsaved_count(self) -> int:
        """1 while a leaving entry still has counts to save, else 0."""
        if self._final_flush_deadline_s is None or self._has_given_up:
            return 0
        return int(not self._counter.is_saved)

    def handle(self, event: Event, now_s: float) -> list[Output]:
        """Handle an event and return the resulting outputs."""
        match event:
            case UsageDelivered():
                return self._counter.count(event, now_s)
            case StoreResponded():
                return self._handle_store_answer(event, now_s)
            case TimerFired():
                return self._handle_wakeup(now_s)
            case Leaving():
                deadline_s = now_s + self._settings.final_flush_timeout_s
                self._final_flush_deadline_s = deadline_s
                return self._counter.flush(now_s)
            case Started() | UsageReportResponded():
                return self._reporter.handle(event, now_s)
            case DutyGained() | DutyExtended() | DutyLost():
                if event.duty == REPORT_DUTY:
                    return self._reporter.handle(event, now_s)
        return self._handle_peer_event(event, now_s)

    def next_wakeup_s(self) -> float | None:
        """Return when a save, a copy or a report step is due, or None."""
        times = [
            self._counter.next_wakeup_s(),
            self._counter.slot.next_wakeup_s(),
            self._copies.next_wakeup_s(),
            self._copies.slot.next_wakeup_s(),
            self._reporter.next_wakeup_s(),
        ]
        if self.unsaved_count:
            times.append(self._final_flush_deadline_s)
        return min((due for due in times if due is not None), default=None)

    def _handle_peer_event(self, event: Event, now_s: float) -> list[Output]:
        match event:
            case PeerConnected():
                return self._counter.add_peer(event.peer_id)
            case PeerDisconnected():
                self._copies.handle_disconnect(event.peer_id, now_s)
                return self._counter.remove_peer(event.peer_id)
            case PeerMessageArrived(message=UsageCopied() as copied):
                return self._copies.keep(event.peer_id, copied)
        return []

    def _handle_store_answer(
        self, event: StoreResponded, now_s: float
    ) -> list[Output]:
        for component in (self._counter, self._copies, self._reporter):
            ended = component.slot.take_result(event)
            if ended is not None:
                return component.handle_result(ended.result, now_s)
        return []

    def _handle_wakeup(self, now_s: float) -> list[Output]:
        deadline_s = self._final_flush_deadline_s
        if deadline_s is not None and now_s >= deadline_s:
            self._has_given_up = True
        outputs: list[Output] = []
        for component in (self._counter, self._copies, self._reporter):
            overdue = component.slot.take_timeout(now_s)
            if overdue is not None:
                outputs.extend(component.handle_result(overdue.result, now_s))
            outputs.extend(component.run_due(now_s))
        return outputs
