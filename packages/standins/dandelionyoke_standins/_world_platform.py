"""The platform as nodes in virtual time meet it: late, and cut off at times."""

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
    StoreAnswered,
    StoreFailed,
    StoreResult,
    StoreWatch,
    SubmitUsage,
    Target,
    TargetOrderAnswered,
    TargetsListed,
    UsageAnswered,
)
from dandelionyoke_standins import _platform as platform_models
from dandelionyoke_standins._errors import StandinError
from dandelionyoke_standins._platform import PlatformModel
from dandelionyoke_standins._store import StoreChanges
from dandelionyoke_standins._targets import TargetOrder
from dandelionyoke_standins._world_store import listing, perform_store

PLATFORM = 'platform'

Record = TypeVar('Record')


@attrs.frozen
class WorldSettings:
    """Delays one way, in seconds; each has up to `jitter_share` more."""

    store_delay_s: float = 0.002
    peer_delay_s: float = 0.0005
    target_delay_s: float = 0.0005
    jitter_share: float = 0.5
    engine_step_s: float = 0.05


class Surroundings(Protocol):
    """What the platform needs of the world around it."""

    settings: WorldSettings
    now_s: float

    def later(self, delay_s: float, happen: Callable[[], None]) -> None:
        """Do something after a delay."""

    def jittered(self, delay_s: float) -> float:
        """Lengthen a delay by chance."""

    def send_later(
        self, instance_id: InstanceId, delay_s: float, event: Event
    ) -> None:
        """Give a node an event after a delay."""

    def reaches(self, instance_id: InstanceId, place: str) -> bool:
        """Tell whether a node reaches a place."""


@attrs.define(eq=False)
class _Watch:
    instance_id: InstanceId
    action: StoreWatch


class PlatformDesk:
    """Carries the platform's calls out on its model."""

    def __init__(self, world: Surroundings, model: PlatformModel) -> None:
        self._world = world
        self._model = model
        self._watches: list[_Watch] = []

    def ask(self, instance_id: InstanceId, action: Action) -> None:
        """Take a call of a list, an order or a usage report."""
        self._world.later(
            self._world.jittered(self._world.settings.store_delay_s),
            lambda: self._platform_answers(instance_id, action),
        )

    def _platform_answers(
        self, instance_id: InstanceId, action: Action
    ) -> None:
        event = self._platform_event(instance_id, action)
        self._world.send_later(
            instance_id, self._world.settings.store_delay_s, event
        )

    def _platform_event(self, instance_id: InstanceId, action: Action) -> Event:
        is_up = self._world.reaches(instance_id, PLATFORM)
        is_up = is_up and not self._model.faults.outage
        match action:
            case SendTargetOrder():
                return self._order_targets(action, is_up=is_up)
            case SubmitUsage():
                return self._take_usage(action, is_up=is_up)
        if not is_up:
            return ListingFailed('the platform is out')
        if isinstance(action, ListTargets):
            targets = self._model.targets(self._world.now_s)
            return TargetsListed(_structured(targets, Target))
        instances = self._model.instances(self._world.now_s)
        return InstancesListed(_structured(instances, Instance))

    def _order_targets(self, action: SendTargetOrder, *, is_up: bool) -> Event:
        order = action.order
        if not is_up or self._world.now_s >= action.not_after_s:
            return TargetOrderAnswered(order.order_id, OrderState.UNKNOWN)
        raw = cattrs.structure(cattrs.unstructure(order), TargetOrder)
        answer = self._model.order_targets(raw, self._world.now_s)
        return TargetOrderAnswered(
            order.order_id, OrderState(answer.state), answer.cause
        )

    def _take_usage(self, action: SubmitUsage, *, is_up: bool) -> Event:
        window = action.window
        if not is_up or self._world.now_s >= action.not_after_s:
            return UsageAnswered(window.window_id, None)
        raw = cattrs.structure(
            cattrs.unstructure(window), platform_models.UsageWindow
        )
        try:
            self._model.report_usage(raw, self._world.now_s)
        except StandinError:
            return UsageAnswered(window.window_id, None)
        return UsageAnswered(window.window_id, accepted=True)

    def ask_store(self, instance_id: InstanceId, action: Action) -> None:
        """Take a call of the store."""
        delay_s = self._world.jittered(self._world.settings.store_delay_s)
        if isinstance(action, StoreWatch):
            end_s = self._world.now_s + action.wait_s
            self._world.later(
                delay_s, lambda: self._watch(instance_id, action, end_s)
            )
        else:
            self._world.later(
                delay_s, lambda: self._store_answers(instance_id, action)
            )

    def _store_answers(self, instance_id: InstanceId, action: Action) -> None:
        if not self._world.reaches(instance_id, PLATFORM):
            self._store_failed(instance_id, action)
            return
        self._model.meter.count(type(action).__name__, self._world.now_s)
        stored = perform_store(self._model, action, self._world.now_s)
        self._store_answered(instance_id, action, stored)

    def _store_failed(self, instance_id: InstanceId, action: Action) -> None:
        failed = StoreFailed('the platform is cut off', may_have_happened=False)
        self._store_answered(instance_id, action, failed)

    def _store_answered(
        self, instance_id: InstanceId, action: Action, stored: StoreResult
    ) -> None:
        event = StoreAnswered(_operation_id(action), stored)
        delay_s = self._world.settings.store_delay_s
        delay_s += self._model.faults.delay_s
        self._world.send_later(instance_id, delay_s, event)
        self.tell_watches()

    def _watch(
        self, instance_id: InstanceId, action: StoreWatch, end_s: float
    ) -> None:
        if not self._world.reaches(instance_id, PLATFORM):
            self._store_failed(instance_id, action)
            return
        self._model.meter.count('StoreWatch', self._world.now_s)
        watch = _Watch(instance_id, action)
        self._watches.append(watch)
        self._world.later(
            max(0, end_s - self._world.now_s), lambda: self._end_watch(watch)
        )
        self.tell_watches()

    def tell_watches(self) -> None:
        """Answer the watches whose keys have changed."""
        for watch in tuple(self._watches):
            if self._changes(watch).items:
                self._end_watch(watch)

    def _end_watch(self, watch: _Watch) -> None:
        if watch not in self._watches:
            return
        self._watches.remove(watch)
        if not self._world.reaches(watch.instance_id, PLATFORM):
            self._store_failed(watch.instance_id, watch.action)
            return
        event = StoreAnswered(
            watch.action.operation_id, listing(self._changes(watch))
        )
        delay_s = self._world.settings.store_delay_s
        self._world.send_later(watch.instance_id, delay_s, event)

    def _changes(self, watch: _Watch) -> StoreChanges:
        return self._model.store.changes_after(
            watch.action.prefix, watch.action.after_revision
        )


def _operation_id(action: Action) -> OperationId:
    operation_id: OperationId = getattr(action, 'operation_id')  # noqa: B009
    return operation_id


def _structured(
    records: Iterable[Any], record_type: type[Record]
) -> tuple[Record, ...]:
    return tuple(
        cattrs.structure(attrs.asdict(record), record_type)
        for record in records
    )
