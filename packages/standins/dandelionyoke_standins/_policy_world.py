"""The world around the nodes of a run."""

from collections.abc import Sequence
from functools import partial

from dandelionyoke_core import (
    CONTROL_DUTY,
    Action,
    CallerGone,
    CancelAttempt,
    DutyGained,
    Event,
    ListingFailed,
    ListTargets,
    LoadReported,
    PollCacheEvents,
    PollLoad,
    Started,
    TargetId,
    TargetsListed,
    TargetUnreachable,
    Woken,
)
from dandelionyoke_standins._policy_caller import CallArrived, StartWork
from dandelionyoke_standins._policy_clock import VirtualClock
from dandelionyoke_standins._policy_ledger import Ledger
from dandelionyoke_standins._policy_nodes import Network, NodeBox
from dandelionyoke_standins._policy_orders import CarryOut, OrderDesk
from dandelionyoke_standins._policy_peers import SpreadRecord
from dandelionyoke_standins._policy_platform import PlatformFake
from dandelionyoke_standins._policy_targets import TargetSide
from dandelionyoke_standins._policy_workload import Call

POLL_S = 0.003
DUTY_UNTIL_S = 1e9
LISTING_LAG_S = 2.0


class World(Network):
    """Performs what the nodes ask for."""

    def __init__(self, platform: PlatformFake, ledger: Ledger) -> None:
        self.clock = VirtualClock()
        super().__init__(self.clock)
        self.platform = platform
        self.ledger = ledger
        self.targets = TargetSide(self.clock, self, platform, ledger)
        self.desk = OrderDesk(self.clock, platform, self.targets)

    def start(self, nodes: Sequence[NodeBox]) -> None:
        """Start all nodes, the clock of the list and of the reports."""
        self.nodes = tuple(nodes)
        for box in self.nodes:
            self.give(box, Started(0), 0)
        for box in _first_of_each_domain(self.nodes):
            self.give(box, DutyGained(CONTROL_DUTY, 1, DUTY_UNTIL_S), 0)
        self._refresh_listing()
        self.targets.sample_reports()

    def arrive(self, call: Call) -> None:
        """Let a call come in, and its caller leave at its deadline."""
        self.ledger.open(call)
        box = self.nodes[call.entry]
        self.give(box, CallArrived(call))
        gone = CallerGone(call.request_id)
        self.clock.at(call.deadline_s, partial(self.handle, box, gone))

    def handle(self, box: NodeBox, event: Event) -> None:
        """Let a node handle an event, and perform what follows."""
        for action in box.node.handle(event, self.clock.now_s):
            self._perform(box, action)
        due_s = box.node.next_wakeup_s()
        if due_s is None or (box.wake_s is not None and box.wake_s <= due_s):
            return
        box.wake_s = due_s
        self.clock.at(due_s, partial(self._wake, box, due_s))

    def _wake(self, box: NodeBox, due_s: float) -> None:
        if box.wake_s == due_s:
            box.wake_s = None
        self.handle(box, Woken())

    def _perform(self, box: NodeBox, action: Action) -> None:
        match action:
            case ListTargets():
                self._list(box)
            case PollLoad(target_id=target_id):
                self._poll(box, target_id)
            case PollCacheEvents():
                self._poll_cache(box, action)
            case StartWork():
                self.targets.start_work(box, action)
            case CancelAttempt(target_id=target_id, attempt_id=attempt_id):
                self.targets.cancel(target_id, attempt_id)
            case SpreadRecord():
                self.spread(box, action)
            case CarryOut() if box.domain not in self.cut_off:
                self.desk.perform(action)

    def _list(self, box: NodeBox) -> None:
        if box.domain in self.cut_off:
            self.give(box, ListingFailed('cut off'), POLL_S)
            return
        self.give(box, TargetsListed(self.platform.listing()), POLL_S)

    def _poll(self, box: NodeBox, target_id: TargetId) -> None:
        if not self.targets.reaches(box, target_id):
            self.give(box, TargetUnreachable(target_id, 'silent'), POLL_S)
            return
        report = self.targets.engine(target_id).report(self.clock.now_s)
        self.give(box, LoadReported(target_id, report), POLL_S)

    def _poll_cache(self, box: NodeBox, action: PollCacheEvents) -> None:
        if self.targets.reaches(box, action.target_id):
            told = self.targets.engine(action.target_id).cache_events(
                action.target_id, action.after_sequence, self.clock.now_s
            )
            self.give(box, told, POLL_S)

    def _refresh_listing(self) -> None:
        self.platform.refresh(self.clock.now_s)
        self.clock.later(LISTING_LAG_S, self._refresh_listing)


def _first_of_each_domain(nodes: Sequence[NodeBox]) -> list[NodeBox]:
    holders = {box.domain: box for box in reversed(nodes)}
    return list(holders.values())
