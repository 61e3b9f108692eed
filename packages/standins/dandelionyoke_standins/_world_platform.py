"""Platform calls of simulated nodes, with delays and partitions."""

from collections.abc import Callable, Iterable
from typing import Any, Protocol, TypeVar

import attrs
import cattrs

from dandelionyoke_core import (
    Action,
    Event,
    Instance,
    InstanceId,
    InstancesListed,
    ListingFailed,
    ListTargets,
    OperationId,
    OrderState,
    SendTargetOrder,
    StoreFailed,
    StoreResponded,
    StoreResult,
    StoreWatch,
    SubmitUsage,
    Target,
    TargetOrderResponded,
    TargetsListed,
    UsageReportResponded,
)
from dandelionyoke_standins import _platform as platform_models
from dandelionyoke_standins._errors import StandinError
from dandelionyoke_standins._platform import PlatformModel
from dandelionyoke_standins._store import StoreChanges
from dandelionyoke_standins._targets import TargetOrder
from dandelionyoke_standins._world_store import (
    listing_from_changes,
    perform_store,
)

PLATFORM = 'platform'

Record = TypeVar('Record')


@attrs.frozen
class NodeSimulationSettings:
    """One-way delays in seconds, and the interval of engine steps.

    Jitter adds up to `jitter_share` of a delay to it.
    """

    store_delay_s: float = 0.002
    peer_delay_s: float = 0.0005
    target_delay_s: float = 0.0005
    jitter_share: float = 0.5
    engine_step_s: float = 0.05


class Environment(Protocol):
    """The part of the simulation that the platform adapter uses."""

    settings: NodeSimulationSettings
    now_s: float

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Schedule a callback after a delay."""

    def add_jitter(self, delay_s: float) -> float:
        """Lengthen a delay by a random jitter."""

    def send_later(
        self, instance_id: InstanceId, delay_s: float, event: Event
    ) -> None:
        """Deliver an event to a node after a delay with jitter."""

    def reaches(self, instance_id: InstanceId, place: str) -> bool:
        """Return whether no partition separates a node from a place."""


@attrs.define(eq=False)
class _Watch:
    instance_id: InstanceId
    action: StoreWatch


class PlatformAdapter:
    """Adapter that performs the nodes' calls on the platform model."""

    def __init__(self, simulation: Environment, model: PlatformModel) -> None:
        self._simulation = simulation
        self._model = model
        self._watches: list[_Watch] = []

    def submit(self, instance_id: InstanceId, action: Action) -> None:
        """Schedule a listing, a target order or a usage report."""
        self._simulation.call_later(
            self._simulation.add_jitter(
                self._simulation.settings.store_delay_s
            ),
            lambda: self._answer(instance_id, action),
        )

    def _answer(self, instance_id: InstanceId, action: Action) -> None:
        event = self._perform(instance_id, action)
        self._simulation.send_later(
            instance_id, self._simulation.settings.store_delay_s, event
        )

    def _perform(self, instance_id: InstanceId, action: Action) -> Event:
        is_available = self._simulation.reaches(instance_id, PLATFORM)
        is_available = is_available and not self._model.faults.outage
        match action:
            case SendTargetOrder():
                return self._order_targets(action, is_available=is_available)
            case SubmitUsage():
                return self._report_usage(action, is_available=is_available)
        if not is_available:
            return ListingFailed('the platform is unavailable')
        if isinstance(action, ListTargets):
            targets = self._model.targets(self._simulation.now_s)
            return TargetsListed(_convert(targets, Target))
        instances = self._model.instances(self._simulation.now_s)
        return InstancesListed(_convert(instances, Instance))

    def _order_targets(
        self, action: SendTargetOrder, *, is_available: bool
    ) -> Event:
        order = action.order
        if not is_available or self._simulation.now_s >= action.not_after_s:
            return TargetOrderResponded(order.order_id, OrderState.UNKNOWN)
        model_order = cattrs.structure(cattrs.unstructure(order), TargetOrder)
        answer = self._model.order_targets(model_order, self._simulation.now_s)
        return TargetOrderResponded(
            order.order_id, OrderState(answer.state), answer.cause
        )

    def _report_usage(
        self, action: SubmitUsage, *, is_available: bool
    ) -> Event:
        window = action.window
        if not is_available or self._simulation.now_s >= action.not_after_s:
            return UsageReportResponded(window.window_id, None)
        model_window = cattrs.structure(
            cattrs.unstructure(window), platform_models.UsageWindow
        )
        try:
            self._model.report_usage(model_window, self._simulation.now_s)
        except StandinError:
            return UsageReportResponded(window.window_id, None)
        return UsageReportResponded(window.window_id, accepted=True)

    def submit_store_call(
        self, instance_id: InstanceId, action: Action
    ) -> None:
        """Schedule a store call."""
        delay_s = self._simulation.add_jitter(
            self._simulation.settings.store_delay_s
        )
        if isinstance(action, StoreWatch):
            end_s = self._simulation.now_s + action.wait_s
            self._simulation.call_later(
                delay_s,
                lambda: self._register_watch(instance_id, action, end_s),
            )
        else:
            self._simulation.call_later(
                delay_s, lambda: self._perform_store_call(instance_id, action)
            )

    def _perform_store_call(
        self, instance_id: InstanceId, action: Action
    ) -> None:
        if not self._simulation.reaches(instance_id, PLATFORM):
            self._fail_store_call(instance_id, action)
            return
        self._model.meter.count(type(action).__name__, self._simulation.now_s)
        result = perform_store(self._model, action, self._simulation.now_s)
        self._deliver_store_result(instance_id, action, result)

    def _fail_store_call(self, instance_id: InstanceId, action: Action) -> None:
        failed = StoreFailed(
            'the platform is unreachable', may_have_been_applied=False
        )
        self._deliver_store_result(instance_id, action, failed)

    def _deliver_store_result(
        self, instance_id: InstanceId, action: Action, result: StoreResult
    ) -> None:
        event = StoreResponded(_operation_id(action), result)
        delay_s = self._simulation.settings.store_delay_s
        delay_s += self._model.faults.delay_s
        self._simulation.send_later(instance_id, delay_s, event)
        self.answer_watches()

    def _register_watch(
        self, instance_id: InstanceId, action: StoreWatch, end_s: float
    ) -> None:
        if not self._simulation.reaches(instance_id, PLATFORM):
            self._fail_store_call(instance_id, action)
            return
        self._model.meter.count('StoreWatch', self._simulation.now_s)
        watch = _Watch(instance_id, action)
        self._watches.append(watch)
        self._simulation.call_later(
            max(0, end_s - self._simulation.now_s),
            lambda: self._end_watch(watch),
        )
        self.answer_watches()

    def answer_watches(self) -> None:
        """Answer the watches whose keys have changed."""
        for watch in tuple(self._watches):
            if self._changes(watch).items:
                self._end_watch(watch)

    def _end_watch(self, watch: _Watch) -> None:
        if watch not in self._watches:
            return
        self._watches.remove(watch)
        if not self._simulation.reaches(watch.instance_id, PLATFORM):
            self._fail_store_call(watch.instance_id, watch.action)
            return
        event = StoreResponded(
            watch.action.operation_id,
            listing_from_changes(self._changes(watch)),
        )
        delay_s = self._simulation.settings.store_delay_s
        self._simulation.send_later(watch.instance_id, delay_s, event)

    def _changes(self, watch: _Watch) -> StoreChanges:
        return self._model.store.changes_after(
            watch.action.prefix, watch.action.after_revision
        )


def _operation_id(action: Action) -> OperationId:
    operation_id: OperationId = getattr(action, 'operation_id')  # noqa: B009
    return operation_id


def _convert(
    records: Iterable[Any], record_type: type[Record]
) -> tuple[Record, ...]:
    return tuple(
        cattrs.structure(attrs.asdict(record), record_type)
        for record in records
    )
