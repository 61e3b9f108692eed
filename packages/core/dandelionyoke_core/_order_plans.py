"""Planned changes, and the one order of each that may be open.

A target has one plan at most and a plan one open order at most, so an
engine is never given a different order while one is in doubt.
"""

import enum

import attrs

from dandelionyoke_core._names import (
    Domain,
    OrderId,
    ServiceName,
    TargetId,
)
from dandelionyoke_core._records import (
    EngineOrder,
    EngineOrderKind,
    Role,
    Target,
    TargetAction,
    TargetKind,
    TargetOrder,
)


@enum.unique
class Goal(enum.Enum):
    """What a plan is for."""

    ROLE = 'role'
    REMOVE = 'remove'
    ADD = 'add'


@enum.unique
class PlanStep(enum.Enum):
    """How far a plan is."""

    DRAIN = 'drain'
    IDLE = 'idle'
    CHANGE = 'change'
    UNDRAIN = 'undrain'


@attrs.frozen
class Plan:
    """A change in steps; `engine_order` or `target_order` may be open."""

    plan_id: str
    goal: Goal
    step: PlanStep
    domain: Domain
    service: ServiceName
    target_id: TargetId = TargetId('')
    address: str = ''
    role: Role = Role.MIXED
    drain_order_id: OrderId = OrderId('')
    engine_order: EngineOrder | None = None
    target_order: TargetOrder | None = None

    @property
    def order_id(self) -> OrderId | None:
        """The open order, if any."""
        order = self.engine_order or self.target_order
        return None if order is None else order.order_id


@attrs.frozen
class Journal:
    """All plans of a domain; `fence` is of the holder that wrote it."""

    fence: int
    version: int = 0
    plans: tuple[Plan, ...] = ()


@attrs.define
class OrderIdGenerator:
    """Names orders; a fencing number is never given out twice."""

    domain: Domain
    fence: int
    _count: int = 0

    def next_order_id(self) -> OrderId:
        """Name the next order."""
        self._count += 1
        return OrderId(f'{self.domain}.{self.fence}.{self._count}')


def role_plan(target: Target, role: Role, order_ids: OrderIdGenerator) -> Plan:
    """Plan to give an engine another role."""
    plan = _target_plan(target, Goal.ROLE)
    return _with_order(attrs.evolve(plan, role=role), order_ids)


def remove_plan(target: Target, order_ids: OrderIdGenerator) -> Plan:
    """Plan to give a target back to the platform."""
    plan = _target_plan(target, Goal.REMOVE)
    if target.kind is TargetKind.PLAIN:
        # It takes no orders. Once the platform lists it as leaving, it
        # gets no new work and finishes what it has.
        plan = attrs.evolve(plan, step=PlanStep.CHANGE)
    return _with_order(plan, order_ids)


def add_plan(
    domain: Domain,
    service: ServiceName,
    count: int,
    reclaimable: bool,
    order_ids: OrderIdGenerator,
) -> Plan:
    """Plan to get more targets."""
    order = TargetOrder(
        order_ids.next_order_id(),
        order_ids.fence,
        domain,
        service,
        TargetAction.ADD,
        count,
        reclaimable,
    )
    kind = 'reclaimable' if reclaimable else 'steady'
    return Plan(
        f'add.{service}.{kind}',
        Goal.ADD,
        PlanStep.CHANGE,
        domain,
        service,
        target_order=order,
    )


def after_success(plan: Plan, order_ids: OrderIdGenerator) -> Plan | None:
    """Go on after the open order was carried out; None at the end."""
    if plan.step is PlanStep.DRAIN:
        order_id = plan.order_id or OrderId('')
        return attrs.evolve(
            plan,
            step=PlanStep.IDLE,
            drain_order_id=order_id,
            engine_order=None,
        )
    if plan.step is PlanStep.CHANGE and plan.goal is Goal.ROLE:
        return order_undrain(plan, order_ids)
    return None


def after_refusal(plan: Plan, order_ids: OrderIdGenerator) -> Plan | None:
    """Go on after the open order was refused; None at the end."""
    if plan.step is PlanStep.CHANGE and plan.drain_order_id:
        return order_undrain(plan, order_ids)
    return None


def order_change(plan: Plan, order_ids: OrderIdGenerator) -> Plan:
    """Order the change itself, when nothing is in progress any more."""
    return _with_order(attrs.evolve(plan, step=PlanStep.CHANGE), order_ids)


def order_undrain(plan: Plan, order_ids: OrderIdGenerator) -> Plan:
    """Let the engine take work again."""
    return _with_order(attrs.evolve(plan, step=PlanStep.UNDRAIN), order_ids)


def reissue(plan: Plan, order_ids: OrderIdGenerator) -> Plan:
    """Give the same order under this holder's number.

    Only after the engine has said that it did not carry out the old one.
    """
    return _with_order(plan, order_ids)


def _target_plan(target: Target, goal: Goal) -> Plan:
    return Plan(
        target.target_id,
        goal,
        PlanStep.DRAIN,
        target.domain,
        target.service,
        target.target_id,
        target.address,
    )


def _with_order(plan: Plan, order_ids: OrderIdGenerator) -> Plan:
    if plan.step is PlanStep.CHANGE and plan.goal is Goal.REMOVE:
        order = TargetOrder(
            order_ids.next_order_id(),
            order_ids.fence,
            plan.domain,
            plan.service,
            TargetAction.REMOVE,
            count=1,
            target_ids=(plan.target_id,),
        )
        return attrs.evolve(plan, target_order=order, engine_order=None)
    kinds = {
        PlanStep.DRAIN: EngineOrderKind.DRAIN,
        PlanStep.CHANGE: EngineOrderKind.ROLE,
        PlanStep.UNDRAIN: EngineOrderKind.UNDRAIN,
    }
    is_change = plan.step is PlanStep.CHANGE
    engine_order = EngineOrder(
        order_ids.next_order_id(),
        order_ids.fence,
        kinds[plan.step],
        plan.role.value if is_change else '',
    )
    return attrs.evolve(plan, engine_order=engine_order, target_order=None)
