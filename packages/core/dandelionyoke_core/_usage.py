"""What callers received, for the bill: counted, saved and reported.

Each start of an entry has counters that only grow. They are saved under
the entry's own key and copied to peers; the holder of the domain's duty of
reporting closes windows over all counters of the domain.
"""

from random import Random
from typing import ClassVar

from dandelionyoke_core._authority import REPORT_DUTY
from dandelionyoke_core._events import (
    Event,
    PeerConnected,
    PeerDisconnected,
    PeerMessageArrived,
    Started,
    StoreAnswered,
    UsageAnswered,
    Woken,
)
from dandelionyoke_core._notices import (
    CallDelivered,
    DutyExtended,
    DutyGained,
    DutyLost,
    Leaving,
)
from dandelionyoke_core._ports import Output, Peers
from dandelionyoke_core._records import Instance
from dandelionyoke_core._usage_copies import PeerCopies
from dandelionyoke_core._usage_counter import OwnCounter
from dandelionyoke_core._usage_records import UsageCopied, counter_key
from dandelionyoke_core._usage_settings import UsageSettings
from dandelionyoke_core._usage_windows import WindowReporter


class UsagePart:
    """Counts usage of this entry and reports that of its domain."""

    handles: ClassVar[tuple[type[Event], ...]] = (
        Started,
        Woken,
        CallDelivered,
        StoreAnswered,
        UsageAnswered,
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
        own: Instance,
        incarnation: int,
        peers: Peers,
        random: Random,
    ) -> None:
        self._settings = settings
        key = counter_key(own.domain, own.instance_id, incarnation)
        self._counter = OwnCounter(settings, key, peers, random)
        self._copies = PeerCopies(settings, f'{key}.copies', random)
        self._reporter = WindowReporter(settings, own, random)
        self._last_flush_until_s: float | None = None
        self._has_given_up = False

    @property
    def unsaved(self) -> int:
        """Whether a leaving entry still has counts to save: 1, else 0."""
        if self._last_flush_until_s is None or self._has_given_up:
            return 0
        return int(not self._counter.is_saved)

    def handle(self, event: Event, now_s: float) -> list[Output]:
        """Take an event and say what follows from it."""
        match event:
            case CallDelivered():
                return self._counter.count(event, now_s)
            case StoreAnswered():
                return self._answered(event, now_s)
            case Woken():
                return self._wake(now_s)
            case Leaving():
                until_s = now_s + self._settings.last_flush_limit_s
                self._last_flush_until_s = until_s
                return self._counter.flush(now_s)
            case Started() | UsageAnswered():
                return self._reporter.handle(event, now_s)
            case DutyGained() | DutyExtended() | DutyLost():
                if event.duty == REPORT_DUTY:
                    return self._reporter.handle(event, now_s)
        return self._hear(event, now_s)

    def next_wakeup_s(self) -> float | None:
        """Tell when something is due."""
        times = [
            self._counter.next_wakeup_s(),
            self._counter.slot.next_wakeup_s(),
            self._copies.next_wakeup_s(),
            self._copies.slot.next_wakeup_s(),
            self._reporter.next_wakeup_s(),
        ]
        if self.unsaved:
            times.append(self._last_flush_until_s)
        return min((due for due in times if due is not None), default=None)

    def _hear(self, event: Event, now_s: float) -> list[Output]:
        match event:
            case PeerConnected():
                return self._counter.connected(event.peer_id)
            case PeerDisconnected():
                self._copies.lost(event.peer_id, now_s)
                return self._counter.disconnected(event.peer_id)
            case PeerMessageArrived(message=UsageCopied() as copied):
                return self._copies.keep(event.peer_id, copied)
        return []

    def _answered(self, event: StoreAnswered, now_s: float) -> list[Output]:
        for keeper in (self._counter, self._copies, self._reporter):
            ended = keeper.slot.answered(event)
            if ended is not None:
                return keeper.ended(ended.result, now_s)
        return []

    def _wake(self, now_s: float) -> list[Output]:
        until_s = self._last_flush_until_s
        if until_s is not None and now_s >= until_s:
            self._has_given_up = True
        outputs: list[Output] = []
        for keeper in (self._counter, self._copies, self._reporter):
            overdue = keeper.slot.overdue(now_s)
            if overdue is not None:
                outputs.extend(keeper.ended(overdue.result, now_s))
            outputs.extend(keeper.due(now_s))
        return outputs
