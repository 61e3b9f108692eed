"""Orders to engines and to the platform, for one failure domain.

An order is journalled, then sent, then closed with what its receiver says.
A successor brings each open order to a known end before anything else.
"""

from collections.abc import Callable
from random import Random
from typing import ClassVar

import attrs

from dandelionyoke_core._actions import (
    PollLoad,
    ReadEngineOrder,
    SendEngineOrder,
    SendTargetOrder,
    WriteLog,
)
from dandelionyoke_core._back_off import BackOff
from dandelionyoke_core._errors import CodecError
from dandelionyoke_core._events import (
    EngineOrderAnswered,
    Event,
    LoadReported,
    StoreAnswered,
    TargetOrderAnswered,
    TargetsListed,
    Woken,
)
from dandelionyoke_core._fleet import CONTROL_DUTY
from dandelionyoke_core._fleet_notices import RoleWanted, TargetsWanted
from dandelionyoke_core._names import TargetId
from dandelionyoke_core._notices import DutyExtended, DutyGained, DutyLost
from dandelionyoke_core._order_journal import OrderJournal, unreadable
from dandelionyoke_core._order_plans import (
    OrderNumbers,
    Plan,
    PlanStep,
    add_plan,
    after_refusal,
    after_success,
    change,
    remove_plan,
    renumbered,
    role_plan,
    undrain,
)
from dandelionyoke_core._orders_settings import OrdersSettings
from dandelionyoke_core._ports import Output
from dandelionyoke_core._records import (
    Instance,
    LoadReport,
    OrderState,
    Presence,
    Target,
)
from dandelionyoke_core._store_slot import EndedCall

CAUSE_STALE_FENCE = 'stale_fence'


@attrs.define
class Pursuit:
    """What this holder knows of a plan beside the journal."""

    next_s: float
    back_off: BackOff
    since_s: float
    must_read: bool = False


@attrs.frozen
class Term:
    """The duty of control, while this entry holds it."""

    numbers: OrderNumbers
    until_s: float


class OrdersPart:
    """Carries out wishes of the fleet's decisions, one order at a time."""

    handles: ClassVar[tuple[type[Event], ...]] = (
        Woken,
        StoreAnswered,
        DutyGained,
        DutyExtended,
        DutyLost,
        RoleWanted,
        TargetsWanted,
        EngineOrderAnswered,
        TargetOrderAnswered,
        LoadReported,
        TargetsListed,
    )

    def __init__(
        self,
        settings: OrdersSettings,
        own: Instance,
        find: Callable[[TargetId], Target | None],
        random: Random,
    ) -> None:
        self._settings = settings
        self._own = own
        self._find = find
        self._random = random
        self._journal = OrderJournal(settings, own.domain, random)
        self._pursuits: dict[str, Pursuit] = {}
        self._term: Term | None = None

    def handle(self, event: Event, now_s: float) -> list[Output]:
        """Take an event and say what follows from it."""
        match event:
            case DutyGained() | DutyExtended() | DutyLost():
                if event.duty == CONTROL_DUTY:
                    return self._hold(event, now_s)
                return []
            case StoreAnswered():
                ended = self._journal.slot.answered(event)
                return [] if ended is None else self._ended(ended, now_s)
        term = self._term
        if term is None:
            return []
        if now_s >= term.until_s:
            # This process was paused. Its successor may be at work.
            self._stop()
            return []
        return self._act(event, term, now_s)

    def next_wakeup_s(self) -> float | None:
        """Tell when an order or a report is due."""
        times = [self._journal.next_wakeup_s()]
        for plan in self._journal.plans.values():
            pursuit = self._pursuits.get(plan.plan_id)
            if pursuit is not None and self._journal.has(plan):
                times.append(pursuit.next_s)
        return min((due for due in times if due is not None), default=None)

    # The duty and the journal.

    def _hold(
        self, event: DutyGained | DutyExtended | DutyLost, now_s: float
    ) -> list[Output]:
        match event:
            case DutyGained():
                numbers = OrderNumbers(self._own.domain, event.fence)
                self._term = Term(numbers, event.until_s)
                self._pursuits.clear()
                return self._journal.begin(event.fence, now_s)
            case DutyExtended() if self._term is not None:
                self._term = attrs.evolve(self._term, until_s=event.until_s)
            case DutyLost():
                self._stop()
        return []

    def _stop(self) -> None:
        self._term = None
        self._pursuits.clear()
        self._journal.end()

    def _ended(self, ended: EndedCall, now_s: float) -> list[Output]:
        try:
            outputs = self._journal.ended(ended.result, now_s)
        except CodecError as error:
            # A journal of a newer version, or a damaged one. An order that
            # it holds may be in doubt, so nothing is ordered over it.
            self._stop()
            cause = unreadable(error)
            return [WriteLog('orders.stopped', self._own.domain, cause=cause)]
        if self._journal.is_superseded:
            self._stop()
            return []
        return [*outputs, *self._pursue(now_s)]

    def _act(self, event: Event, term: Term, now_s: float) -> list[Output]:
        match event:
            case RoleWanted() | TargetsWanted():
                self._wish(event, term.numbers, now_s)
            case EngineOrderAnswered() | TargetOrderAnswered():
                self._answered(event, term.numbers, now_s)
            case LoadReported():
                self._reported(event, term.numbers, now_s)
            case TargetsListed():
                self._listed(event)
            case Woken():
                overdue = self._journal.slot.overdue(now_s)
                if overdue is not None:
                    return self._ended(overdue, now_s)
        return [*self._journal.due(now_s), *self._pursue(now_s)]

    # Wishes.

    def _wish(
        self,
        event: RoleWanted | TargetsWanted,
        numbers: OrderNumbers,
        now_s: float,
    ) -> None:
        if event.fence != numbers.fence or not self._journal.is_taken:
            return
        for plan in self._plans_for(event, numbers):
            is_full = len(self._journal.plans) >= self._settings.max_plans
            if not is_full and plan.plan_id not in self._journal.plans:
                self._set(plan, now_s)

    def _plans_for(
        self, event: RoleWanted | TargetsWanted, numbers: OrderNumbers
    ) -> list[Plan]:
        if isinstance(event, RoleWanted):
            target = self._own_target(event.target_id)
            return [role_plan(target, event.role, numbers)] if target else []
        if event.domain != self._own.domain:
            return []
        found = [self._own_target(target_id) for target_id in event.remove]
        plans = [remove_plan(target, numbers) for target in found if target]
        for count, reclaimable in (
            (event.add_steady, False),
            (event.add_reclaimable, True),
        ):
            if count:
                plan = add_plan(
                    event.domain, event.service, count, reclaimable, numbers
                )
                plans.append(plan)
        return plans

    def _own_target(self, target_id: TargetId) -> Target | None:
        target = self._find(target_id)
        if target is None or target.domain != self._own.domain:
            return None
        return target

    # What engines and the platform say.

    def _answered(
        self,
        event: EngineOrderAnswered | TargetOrderAnswered,
        numbers: OrderNumbers,
        now_s: float,
    ) -> None:
        plan = self._plan_of(event)
        if plan is None:
            return
        is_platform = isinstance(event, TargetOrderAnswered)
        match event.state:
            case OrderState.DONE:
                self._move(plan, after_success(plan, numbers), now_s)
            case OrderState.ACCEPTED if is_platform:
                self._move(plan, after_success(plan, numbers), now_s)
            case OrderState.ACCEPTED:
                self._later(plan, now_s, must_read=True)
            case OrderState.REFUSED:
                self._refused(plan, event.cause, numbers, now_s)
            case OrderState.UNKNOWN:
                self._later(plan, now_s, must_read=False)

    def _refused(
        self, plan: Plan, cause: str, numbers: OrderNumbers, now_s: float
    ) -> None:
        order = plan.engine_order or plan.target_order
        is_old = order is not None and order.fence < numbers.fence
        if cause == CAUSE_STALE_FENCE and is_old:
            self._move(plan, renumbered(plan, numbers), now_s)
            return
        self._move(plan, after_refusal(plan, numbers), now_s)

    def _plan_of(
        self, event: EngineOrderAnswered | TargetOrderAnswered
    ) -> Plan | None:
        for plan in self._journal.plans.values():
            if plan.order_id == event.order_id:
                return plan
        return None

    def _reported(
        self, event: LoadReported, numbers: OrderNumbers, now_s: float
    ) -> None:
        plan = self._journal.plans.get(event.target_id)
        if plan is None or plan.step is not PlanStep.IDLE:
            return
        pursuit = self._pursuit(plan, now_s)
        if now_s - pursuit.since_s > self._settings.drain_limit_s:
            self._move(plan, undrain(plan, numbers), now_s)
            return
        # A report lags. An older one may show an engine empty that took
        # work just before its drain, and the change would cut that work.
        taken_s = now_s - event.report.age_s
        newer_s = taken_s - pursuit.since_s
        if newer_s <= self._settings.report_lag_s:
            return
        if _is_idle(event.report):
            if event.report.drain_order_id == plan.drain_order_id:
                self._move(plan, change(plan, numbers), now_s)
            elif not event.report.draining:
                # The engine has restarted and takes work again.
                again = attrs.evolve(plan, step=PlanStep.DRAIN)
                self._move(plan, renumbered(again, numbers), now_s)

    def _listed(self, event: TargetsListed) -> None:
        present = {
            target.target_id
            for target in event.targets
            if target.state is not Presence.RECLAIMED
        }
        for plan in tuple(self._journal.plans.values()):
            if plan.target_id and plan.target_id not in present:
                self._pursuits.pop(plan.plan_id, None)
                self._journal.drop(plan)

    # Plans on their way.

    def _set(self, plan: Plan, now_s: float) -> None:
        self._pursuits[plan.plan_id] = self._fresh(now_s)
        self._journal.put(plan)

    def _move(self, plan: Plan, after: Plan | None, now_s: float) -> None:
        if after is None:
            self._pursuits.pop(plan.plan_id, None)
            self._journal.drop(plan)
        else:
            self._set(after, now_s)

    def _later(self, plan: Plan, now_s: float, *, must_read: bool) -> None:
        pursuit = self._pursuit(plan, now_s)
        pursuit.must_read = must_read
        pause_s = self._settings.poll_interval_s
        if not must_read:
            pause_s = pursuit.back_off.next_s()
        pursuit.next_s = now_s + pause_s

    def _fresh(self, now_s: float) -> Pursuit:
        back_off = BackOff(self._settings.back_off, self._random)
        return Pursuit(now_s, back_off, now_s)

    def _pursuit(self, plan: Plan, now_s: float) -> Pursuit:
        """Find what is known of a plan, or take it over."""
        found = self._pursuits.get(plan.plan_id)
        if found is None:
            found = self._fresh(now_s)
            # What the predecessor sent last may still be on its way, and an
            # engine may ignore fencing numbers. After that time the engine
            # is read, and the same order is sent if it does not know it.
            found.next_s = now_s + self._settings.settle_s
            found.must_read = True
            self._pursuits[plan.plan_id] = found
        return found

    def _pursue(self, now_s: float) -> list[Output]:
        term = self._term
        if term is None or now_s >= term.until_s:
            return []
        outputs: list[Output] = []
        for plan in self._journal.plans.values():
            if not self._journal.has(plan):
                continue
            pursuit = self._pursuit(plan, now_s)
            if now_s >= pursuit.next_s:
                outputs.append(self._next(plan, pursuit, term, now_s))
        return outputs

    def _next(
        self, plan: Plan, pursuit: Pursuit, term: Term, now_s: float
    ) -> Output:
        settings = self._settings
        not_after_s = min(term.until_s, now_s + settings.send_limit_s)
        pursuit.next_s = now_s + settings.answer_timeout_s
        if plan.target_order is not None:
            return SendTargetOrder(plan.target_order, not_after_s)
        place = (plan.target_id, plan.address)
        if plan.engine_order is None:
            pursuit.next_s = now_s + settings.poll_interval_s
            return PollLoad(*place)
        if pursuit.must_read:
            return ReadEngineOrder(*place, plan.engine_order.order_id)
        return SendEngineOrder(*place, plan.engine_order, not_after_s)


def _is_idle(report: LoadReport) -> bool:
    counts = (report.running, report.waiting, len(report.in_progress))
    return not any(counts)
