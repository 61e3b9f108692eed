"""The platform's targets and the orders that add and remove them."""

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
    """One order to add or remove targets of a failure domain."""

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
    """What became of an order."""

    order_id: str
    state: OrderState
    cause: str = ''


@attrs.frozen
class TargetSettings:
    """How long the platform takes, and whether it invents addresses.

    Without invented addresses an order that finds no spare target is
    refused.
    """

    boot_s: float = 3.0
    leave_s: float = 5.0
    is_inventing: bool = True


@attrs.define
class _Change:
    at_s: float
    order_id: str
    target: Target
    is_removal: bool = False


class TargetBook:
    """Every target of the platform, spare ones, and the recorded orders."""

    def __init__(self, settings: TargetSettings) -> None:
        self._settings = settings
        self._targets: dict[str, Target] = {}
        self._spares: list[Target] = []
        self._changes: list[_Change] = []
        self._answers: dict[str, TargetOrderAnswer] = {}
        self._highest_fence: dict[str, int] = {}
        self._serial = itertools.count(1)

    def replace(
        self, targets: Iterable[Target], spares: Iterable[Target] = ()
    ) -> None:
        """List these targets; orders take further ones from the spares."""
        self._targets = {target.target_id: target for target in targets}
        self._spares = list(spares)
        self._changes.clear()

    def targets(self, now_s: float) -> tuple[Target, ...]:
        """Give the targets of this moment."""
        self._settle(now_s)
        return tuple(self._targets.values())

    def order(self, order: TargetOrder, now_s: float) -> TargetOrderAnswer:
        """Take an order once; a repeated id is answered from the record."""
        self._settle(now_s)
        recorded = self._answers.get(order.order_id)
        if recorded is not None:
            return recorded
        answer = self._decide(order, now_s)
        self._answers[order.order_id] = answer
        return answer

    def reclaim(self, domain: str, notice_s: float, now_s: float) -> None:
        """Take back the reclaimable targets of a domain after a notice."""
        self._settle(now_s)
        for target in tuple(self._targets.values()):
            if target.reclaimable and target.domain == domain:
                taken = attrs.evolve(target, state='reclaimed')
                self._targets[target.target_id] = attrs.evolve(
                    target, state='leaving'
                )
                self._changes.append(_Change(now_s + notice_s, '', taken))

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
        if not self._settings.is_inventing:
            return None
        target_id = f'{order.service}-{order.domain}-{next(self._serial)}'
        return Target(
            target_id=target_id,
            service=order.service,
            domain=order.domain,
            address=f'http://{target_id}.invalid',
            reclaimable=order.reclaimable,
        )

    def _remove(self, order: TargetOrder, now_s: float) -> TargetOrderAnswer:
        found = [self._targets.get(name) for name in order.target_ids]
        leaving = [target for target in found if target is not None]
        if len(leaving) < len(found) or not found:
            return _refused(order, 'unknown_target')
        if any(target.domain != order.domain for target in leaving):
            return _refused(order, 'other_domain')
        at_s = now_s + self._settings.leave_s
        for target in leaving:
            marked = attrs.evolve(target, state='leaving')
            self._targets[target.target_id] = marked
            self._changes.append(
                _Change(at_s, order.order_id, marked, is_removal=True)
            )
        return TargetOrderAnswer(order.order_id, 'accepted')

    def _settle(self, now_s: float) -> None:
        due = [change for change in self._changes if change.at_s <= now_s]
        for change in due:
            self._changes.remove(change)
            self._apply(change)

    def _apply(self, change: _Change) -> None:
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
