"""The simulation around the nodes of a run: platform, targets and calls."""

from collections.abc import Sequence
from functools import partial

from dandelionyoke_core import (
    CONTROL_DUTY,
    Action,
    CallerDisconnected,
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
    TimerFired,
)
from dandelionyoke_standins._policy_caller import (
    CallArrived,
    StartEngineAttempt,
)
from dandelionyoke_standins._policy_clock import VirtualClock
from dandelionyoke_standins._policy_ledger import Ledger
from dandelionyoke_standins._policy_nodes import Network, SimulatedNode
from dandelionyoke_standins._policy_orders import ApplyDecision, OrderExecutor
from dandelionyoke_standins._policy_peers import BroadcastRecord
from dandelionyoke_standins._policy_platform import SimulatedPlatform
from dandelionyoke_standins._policy_targets import TargetPool
from dandelionyoke_standins._policy_workload import Call

ANSWER_DELAY_S = 0.003
DUTY_EXPIRY_S = 1e9
LISTING_REFRESH_INTERVAL_S = 2.0


class Simulation(Network):
    """Simulation that delivers events to nodes and performs their actions."""

    def __init__(self, platform: SimulatedPlatform, ledger: Ledger) -> None:
        self.clock = VirtualClock()
        super().__init__(self.clock)
        self.platform = platform
        self.ledger = ledger
        self.targets = TargetPool(self.clock, self, platform, ledger)
        self.orders = OrderExecutor(self.clock, platform, self.targets)

    def start(self, nodes: Sequence[SimulatedNode]) -> None:
        """Start all nodes, the listing updates and the load reports."""
        self.nodes = tuple(nodes)
        for node in self.nodes:
            self.deliver(node, Started(0), 0)
        for node in _first_of_each_domain(self.nodes):
            self.deliver(node, DutyGained(CONTROL_DUTY, 1, DUTY_EXPIRY_S), 0)
        self._refresh_listing()
        self.targets.sample_reports()

    def start_call(self, call: Call) -> None:
        """Deliver a call to its node; the caller leaves at the deadline."""
        self.ledger.add_call(call)
        node = self.nodes[call.entry]
        self.deliver(node, CallArrived(call))
        caller_disconnected = CallerDisconnected(call.request_id)
        self.clock.call_at(
            call.deadline_s, partial(self.handle, node, caller_disconnected)
        )

    def handle(self, node: SimulatedNode, event: Event) -> None:
        """Let a node handle an event, and perform the resulting actions."""
        for action in node.composition.handle(event, self.clock.now_s):
            self._perform(node, action)
        due_s = node.composition.next_wakeup_s()
        if due_s is None or (
            node.wakeup_s is not None and node.wakeup_s <= due_s
        ):
            return
        node.wakeup_s = due_s
        self.clock.call_at(due_s, partial(self._wake, node, due_s))

    def _wake(self, node: SimulatedNode, due_s: float) -> None:
        if node.wakeup_s == due_s:
            node.wakeup_s = None
        self.handle(node, TimerFired())

    def _perform(self, node: SimulatedNode, action: Action) -> None:
        match action:
            case ListTargets():
                self._answer_listing(node)
            case PollLoad(target_id=target_id):
                self._answer_load_poll(node, target_id)
            case PollCacheEvents():
                self._answer_cache_poll(node, action)
            case StartEngineAttempt():
                self.targets.start_attempt(node, action)
            case CancelAttempt(target_id=target_id, attempt_id=attempt_id):
                self.targets.cancel(target_id, attempt_id)
            case BroadcastRecord():
                self.broadcast(node, action)
            case ApplyDecision() if node.domain not in self.isolated_domains:
                self.orders.apply(action)

    def _answer_listing(self, node: SimulatedNode) -> None:
        if node.domain in self.isolated_domains:
            self.deliver(node, ListingFailed('cut off'), ANSWER_DELAY_S)
            return
        self.deliver(
            node, TargetsListed(self.platform.listing()), ANSWER_DELAY_S
        )

    def _answer_load_poll(
        self, node: SimulatedNode, target_id: TargetId
    ) -> None:
        if not self.targets.reaches(node, target_id):
            self.deliver(
                node, TargetUnreachable(target_id, 'silent'), ANSWER_DELAY_S
            )
            return
        report = self.targets.engine(target_id).report(self.clock.now_s)
        self.deliver(node, LoadReported(target_id, report), ANSWER_DELAY_S)

    def _answer_cache_poll(
        self, node: SimulatedNode, action: PollCacheEvents
    ) -> None:
        if self.targets.reaches(node, action.target_id):
            reported = self.targets.engine(action.target_id).cache_events(
                action.target_id, action.after_sequence, self.clock.now_s
            )
            self.deliver(node, reported, ANSWER_DELAY_S)

    def _refresh_listing(self) -> None:
        self.platform.refresh(self.clock.now_s)
        self.clock.call_later(LISTING_REFRESH_INTERVAL_S, self._refresh_listing)


def _first_of_each_domain(
    nodes: Sequence[SimulatedNode],
) -> list[SimulatedNode]:
    first_nodes = {node.domain: node for node in reversed(nodes)}
    return list(first_nodes.values())
