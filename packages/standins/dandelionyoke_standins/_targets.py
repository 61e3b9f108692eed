"""The platform's targets and the orders to add or remove them."""

import itertools
from collections.abc import Iterable
from typing import Literal

import attrs

TargetKind = Literal['engine', 'plain']
TargetState = Literal['live', 'leaving', 'reclaimed']
OrderState = Literal['done', 'accepted', 'refused']


@attrs.frozen
class Target:
    """A target as the platform lists it."""

    target_id: str
    service: str
    domain: str
    address: str
    kind: TargetKind = 'engine'
    reclaimable: bool = False
    state: TargetState = 'live'


@attrs.frozen
class TargetOrder:
    """An order to add or remove targets of a failure domain."""

    order_id: str
    fence: int
    domain: str
    service: str
    action: Literal['add', 'remove']
    count: int = 0
    reclaimable: bool = False
    target_ids: tuple[str, ...] = attrs.field(default=(), converter=tuple)


@attrs.frozen
class TargetOrderAnswer:
    """The state of an order, and the cause of a refusal."""

    order_id: str
    state: OrderState
    cause: str = ''


@attrs.frozen
class TargetSettings:
    """Boot and removal delays, and whether addresses may be invented.

    Without invented addresses an order that finds no spare target is
    refused.
    """

    boot_s: float = 3.0
    leave_s: float = 5.0
    invents_addresses: bool = True


@attrs.define
class _Change:
    at_s: float
    order_id: str
    target: Target
    is_removal: bool = False


class TargetRegistry:
    """The platform's targets, spares, pending changes and order answers."""

    def __init__(self, settings: TargetSettings) -> None:
        self._settings = settings
        self._targets: dict[str, Target] = {}
        self._spares: list[Target] = []
        self._changes: list[_Change] = []
        self._answers: dict[str, TargetOrderAnswer] = {}
        self._highest_fence: dict[str, int] = {}
        self._serial_numbers = itertools.count(1)

    def replace(
        self, targets: Iterable[Target], spares: Iterable[Target] = ()
    ) -> None:
        """Replace the listed targets and the spares that orders may add."""
        self._targets = {target.target_id: target for target in targets}
        self._spares = list(spares)
        self._changes.clear()

    def targets(self, now_s: float) -> tuple[Target, ...]:
        """Return the current targets."""
        self._apply_due_changes(now_s)
        return tuple(self._targets.values())

    def order(self, order: TargetOrder, now_s: float) -> TargetOrderAnswer:
        """Process an order; a repeated id gets the recorded answer."""
        self._apply_due_changes(now_s)
        recorded = self._answers.get(order.order_id)
        if recorded is not None:
            return recorded
        answer = self._decide(order, now_s)
        self._answers[order.order_id] = answer
        return answer

    def reclaim(self, domain: str, notice_s: float, now_s: float) -> None:
        """Reclaim the spot targets of a domain after a notice period."""
        self._apply_due_changes(now_s)
        for target in tuple(self._targets.values()):
            if target.reclaimable and target.domain == domain:
                reclaimed = attrs.evolve(target, state='reclaimed')
                self._targets[target.target_id] = attrs.evolve(
                    target, state='leaving'
                )
                self._changes.append(_Change(now_s + notice_s, '', reclaimed))

    def _decide(self, order: TargetOrder, now_s: float) -> TargetOrderAnswer:
        if order.fence < self._highest_fence.get(order.domain, 0):
            return _refused(order, 'stale_fence')
        self._highest_fence[order.domain] = order.fence
        if order.action == 'add':
            return self._add(order, now_s)
        return self._remove(order, now_s)

    def _add(self, order: TargetOrder, now_s: float) -> TargetOrderAnswer:
        if not 0 < order.count:
            return _refused(order, 'count')
        added = [self._new_target(order) for _ in range(order.count)]
        booting = [target for target in added if target is not None]
        if len(booting) < order.count:
            self._spares.extend(booting)
            return _refused(order, 'no_spare')
        at_s = now_s + self._settings.boot_s
        for target in booting:
            self._changes.append(_Change(at_s, order.order_id, target))
        return TargetOrderAnswer(order.order_id, 'accepted')

    def _new_target(self, order: TargetOrder) -> Target | None:
        for index, spare in enumerate(self._spares):
            if (spare.domain, spare.service) == (order.domain, order.service):
                self._spares.pop(index)
                return attrs.evolve(spare, reclaimable=order.reclaimable)
        if not self._settings.invents_addresses:
            return None
        target_id = (
            f'{order.service}-{order.domain}-{next(self._serial_numbers)}'
        )
        return Target(
            target_id=target_id,
            service=order.service,
            domain=order.domain,
            address=f'http://{target_id}.invalid',
            reclaimable=order.reclaimable,
        )

    def _remove(self, order: TargetOrder, now_s: float) -> TargetOrderAnswer:
        requested = [self._targets.get(name) for name in order.target_ids]
        leaving = [target for target in requested if target is not None]
        if len(leaving) < len(requested) or not requested:
            return _refused(order, 'unknown_target')
        if any(target.domain != order.domain for target in leaving):
            return _refused(order, 'other_domain')
        at_s = now_s + self._settings.leave_s
        for target in leaving:
            leaving_target = attrs.evolve(target, state='leaving')
            self._targets[target.target_id] = leaving_target
            self._changes.append(
                _Change(at_s, order.order_id, leaving_target, is_removal=True)
            )
        return TargetOrderAnswer(order.order_id, 'accepted')

    def _apply_due_changes(self, now_s: float) -> None:
        due = [change for change in self._changes if change.at_s <= now_s]
        for change in due:
            self._changes.remove(change)
            self._apply_change(change)

    def _apply_change(self, change: _Change) -> None:
        if change.is_removal:
            self._targets.pop(change.target.target_id, None)
        else:
            self._targets[change.target.target_id] = change.target
        if change.order_id:
            self._answers[change.order_id] = TargetOrderAnswer(
                change.order_id, 'done'
            )


def _refused(order: TargetOrder, cause: str) -> TargetOrderAnswer:
    return TargetOrderAnswer(order.order_id, 'refused', cause)
