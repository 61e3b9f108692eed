"""Planned changes to targets, each with at most one open order.

A target has at most one plan, so an engine is never given a different order
while the outcome of one is unknown.
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
    """The purpose of a plan."""

    ROLE = 'role'
    REMOVE = 'remove'
    ADD = 'add'


@enum.unique
class PlanStep(enum.Enum):
    """The current step of a plan."""

    DRAIN = 'drain'
    IDLE = 'idle'
    CHANGE = 'change'
    UNDRAIN = 'undrain'


@attrs.frozen
class Plan:
    """A change in steps.

    At most one of `engine_order` and `target_order` is set: the open order.
    """

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
    """All plans of a domain; `fence` is the fencing token of the writer."""

    fence: int
    version: int = 0
    plans: tuple[Plan, ...] = ()


@attrs.define
class OrderIdGenerator:
    """Generates order ids, unique because a fencing token is never reused."""

    domain: Domain
    fence: int
    _count: int = 0

    def next_order_id(self) -> OrderId:
        """Return the id of the next order."""
        self._count += 1
        return OrderId(f'{self.domain}.{self.fence}.{self._count}')


def role_plan(target: Target, role: Role, order_ids: OrderIdGenerator) -> Plan:
    """Return a plan that changes the role of an engine."""
    plan = _target_plan(target, Goal.ROLE)
    return _with_order(attrs.evolve(plan, role=role), order_ids)


def remove_plan(target: Target, order_ids: OrderIdGenerator) -> Plan:
    """Return a plan that removes a target from the platform."""
    plan = _target_plan(target, Goal.REMOVE)
    if target.kind is TargetKind.PLAIN:
        # A plain target takes no orders. Once the platform lists it as
        # leaving, it gets no new work and finishes its work in progress.
        plan = attrs.evolve(plan, step=PlanStep.CHANGE)
    return _with_order(plan, order_ids)


def add_plan(
    domain: Domain,
    service: ServiceName,
    count: int,
    reclaimable: bool,
    order_ids: OrderIdGenerator,
) -> Plan:
    """Return a plan that adds targets."""
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
    """Return the next plan after the open order was done; None at the end."""
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
    """Return the next plan after the open order was refused; None at the end."""
    if plan.step is PlanStep.CHANGE and plan.drain_order_id:
        return order_undrain(plan, order_ids)
    return None


def order_change(plan: Plan, order_ids: OrderIdGenerator) -> Plan:
    """Return the plan with its change ordered, once the target is idle."""
    return _with_order(attrs.evolve(plan, step=PlanStep.CHANGE), order_ids)


def order_undrain(plan: Plan, order_ids: OrderIdGenerator) -> Plan:
    """Return the plan with an order that lets the engine take work again."""
    return _with_order(attrs.evolve(plan, step=PlanStep.UNDRAIN), order_ids)


def reissue(plan: Plan, order_ids: OrderIdGenerator) -> Plan:
    """Return the plan with its order under this holder's fencing token.

    Use it only after the engine has reported that it did not carry out the
    old order.
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
