"""Orders to engines and to the platform, for one failure domain.

An order is journalled, then sent, then closed with the answer of its
receiver. A new holder of the control duty determines the outcome of each open
order before it gives another one for the same target.
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
    EngineOrderResponded,
    Event,
    LoadReported,
    StoreResponded,
    TargetOrderResponded,
    TargetsListed,
    TimerFired,
)
from dandelionyoke_core._fleet import CONTROL_DUTY
from dandelionyoke_core._fleet_notices import (
    FleetSizeChangeRequested,
    RoleChangeRequested,
)
from dandelionyoke_core._names import TargetId
from dandelionyoke_core._notices import DutyExtended, DutyGained, DutyLost
from dandelionyoke_core._order_journal import OrderJournal, unreadable_cause
from dandelionyoke_core._order_plans import (
    OrderIdGenerator,
    Plan,
    PlanStep,
    add_plan,
    after_refusal,
    after_success,
    order_change,
    order_undrain,
    reissue,
    remove_plan,
    role_plan,
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
class PlanProgress:
    """The state of a plan that is not in the journal.

    `must_read_first` is whether the engine has to be asked for the state of
    the order before the order is sent.
    """

    next_s: float
    back_off: BackOff
    started_s: float
    must_read_first: bool = False


@attrs.frozen
class HeldDuty:
    """The control duty, while this entry holds it."""

    order_ids: OrderIdGenerator
    until_s: float


class OrdersPart:
    """Carries out the requested fleet changes, one open order per target."""

    handles: ClassVar[tuple[type[Event], ...]] = (
        TimerFired,
        StoreResponded,
        DutyGained,
        DutyExtended,
        DutyLost,
        RoleChangeRequested,
        FleetSizeChangeRequested,
        EngineOrderResponded,
        TargetOrderResponded,
        LoadReported,
        TargetsListed,
    )

    def __init__(
        self,
        settings: OrdersSettings,
        instance: Instance,
        find_target: Callable[[TargetId], Target | None],
        random: Random,
    ) -> None:
        self._settings = settings
        self._instance = instance
        self._find_target = find_target
        self._random = random
        self._journal = OrderJournal(settings, instance.domain, random)
        self._progress_by_plan: dict[str, PlanProgress] = {}
        self._duty: HeldDuty | None = None

    def handle(self, event: Event, now_s: float) -> list[Output]:
        """Handle an event and return the resulting outputs."""
        match event:
            case DutyGained() | DutyExtended() | DutyLost():
                if event.duty == CONTROL_DUTY:
                    return self._handle_duty(event, now_s)
                return []
            case StoreResponded():
                ended = self._journal.slot.take_result(event)
                return (
                    []
                    if ended is None
                    else self._handle_journal_result(ended, now_s)
                )
        duty = self._duty
        if duty is None:
            return []
        if now_s >= duty.until_s:
            # This process was paused beyond the end of its duty; a successor
            # may be active already.
            self._stop()
            return []
        return self._handle_as_holder(event, duty, now_s)

    def next_wakeup_s(self) -> float | None:
        """Return when a store call, an order or a poll is due, or None."""
        times = [self._journal.next_wakeup_s()]
        for plan in self._journal.plans.values():
            progress = self._progress_by_plan.get(plan.plan_id)
            if progress is not None and self._journal.is_saved(plan):
                times.append(progress.next_s)
        return min((due for due in times if due is not None), default=None)

    # Duty and journal.

    def _handle_duty(
        self, event: DutyGained | DutyExtended | DutyLost, now_s: float
    ) -> list[Output]:
        match event:
            case DutyGained():
                order_ids = OrderIdGenerator(self._instance.domain, event.fence)
                self._duty = HeldDuty(order_ids, event.until_s)
                self._progress_by_plan.clear()
                return self._journal.take_over(event.fence, now_s)
            case DutyExtended() if self._duty is not None:
                self._duty = attrs.evolve(self._duty, until_s=event.until_s)
            case DutyLost():
                self._stop()
        return []

    def _stop(self) -> None:
        self._duty = None
        self._progress_by_plan.clear()
        self._journal.reset()

    def _handle_journal_result(
        self, ended: EndedCall, now_s: float
    ) -> list[Output]:
        try:
            outputs = self._journal.handle_result(ended.result, now_s)
        except CodecError as error:
            # The journal is of a newer version, or damaged. The outcome of
            # an order in it may be unknown, so no more orders are given.
            self._stop()
            cause = unreadable_cause(error)
            return [
                WriteLog('orders.stopped', self._instance.domain, cause=cause)
            ]
        if self._journal.is_superseded:
            self._stop()
            return []
        return [*outputs, *self._run_due_plans(now_s)]

    def _handle_as_holder(
        self, event: Event, duty: HeldDuty, now_s: float
    ) -> list[Output]:
        match event:
            case RoleChangeRequested() | FleetSizeChangeRequested():
                self._add_plans(event, duty.order_ids, now_s)
            case EngineOrderResponded() | TargetOrderResponded():
                self._handle_order_answer(event, duty.order_ids, now_s)
            case LoadReported():
                self._handle_load_report(event, duty.order_ids, now_s)
            case TargetsListed():
                self._remove_plans_of_missing_targets(event)
            case TimerFired():
                overdue = self._journal.slot.take_timeout(now_s)
                if overdue is not None:
                    return self._handle_journal_result(overdue, now_s)
        return [*self._journal.write_if_due(now_s), *self._run_due_plans(now_s)]

    # Requested changes.

    def _add_plans(
        self,
        event: RoleChangeRequested | FleetSizeChangeRequested,
        order_ids: OrderIdGenerator,
        now_s: float,
    ) -> None:
        if event.fence != order_ids.fence or not self._journal.is_taken_over:
            return
        for plan in self._plans_for(event, order_ids):
            is_full = len(self._journal.plans) >= self._settings.max_plans
            if not is_full and plan.plan_id not in self._journal.plans:
                self._put_plan(plan, now_s)

    def _plans_for(
        self,
        event: RoleChangeRequested | FleetSizeChangeRequested,
        order_ids: OrderIdGenerator,
    ) -> list[Plan]:
        if isinstance(event, RoleChangeRequested):
            target = self._own_target(event.target_id)
            return [role_plan(target, event.role, order_ids)] if target else []
        if event.domain != self._instance.domain:
            return []
        targets = [self._own_target(target_id) for target_id in event.remove]
        plans = [remove_plan(target, order_ids) for target in targets if target]
        for count, reclaimable in (
            (event.add_on_demand, False),
            (event.add_reclaimable, True),
        ):
            if count:
                plan = add_plan(
                    event.domain, event.service, count, reclaimable, order_ids
                )
                plans.append(plan)
        return plans

    def _own_target(self, target_id: TargetId) -> Target | None:
        target = self._find_target(target_id)
        if target is None or target.domain != self._instance.domain:
            return None
        return target

    # Answers and reports of engines and the platform.

    def _handle_order_answer(
        self,
        event: EngineOrderResponded | TargetOrderResponded,
        order_ids: OrderIdGenerator,
        now_s: float,
    ) -> None:
        plan = self._plan_of(event)
        if plan is None:
            return
        is_platform = isinstance(event, TargetOrderResponded)
        match event.state:
            case OrderState.DONE:
                self._advance_plan(plan, after_success(plan, order_ids), now_s)
            case OrderState.ACCEPTED if is_platform:
                self._advance_plan(plan, after_success(plan, order_ids), now_s)
            case OrderState.ACCEPTED:
                self._postpone(plan, now_s, must_read_first=True)
            case OrderState.REFUSED:
                self._handle_refusal(plan, event.cause, order_ids, now_s)
            case OrderState.UNKNOWN:
                self._postpone(plan, now_s, must_read_first=False)

    def _handle_refusal(
        self, plan: Plan, cause: str, order_ids: OrderIdGenerator, now_s: float
    ) -> None:
        order = plan.engine_order or plan.target_order
        is_old = order is not None and order.fence < order_ids.fence
        if cause == CAUSE_STALE_FENCE and is_old:
            self._advance_plan(plan, reissue(plan, order_ids), now_s)
            return
        self._advance_plan(plan, after_refusal(plan, order_ids), now_s)

    def _plan_of(
        self, event: EngineOrderResponded | TargetOrderResponded
    ) -> Plan | None:
        for plan in self._journal.plans.values():
            if plan.order_id == event.order_id:
                return plan
        return None

    def _handle_load_report(
        self, event: LoadReported, order_ids: OrderIdGenerator, now_s: float
    ) -> None:
        plan = self._journal.plans.get(event.target_id)
        if plan is None or plan.step is not PlanStep.IDLE:
            return
        progress = self._progress_of(plan, now_s)
        if now_s - progress.started_s > self._settings.drain_limit_s:
            self._advance_plan(plan, order_undrain(plan, order_ids), now_s)
            return
        # Load reports lag. A report from before the drain may show an engine
        # as idle that then took work, and the change would abort that work.
        taken_s = now_s - event.report.age_s
        since_drain_s = taken_s - progress.started_s
        if since_drain_s <= self._settings.report_lag_s:
            return
        if _is_idle(event.report):
            if event.report.drain_order_id == plan.drain_order_id:
                self._advance_plan(plan, order_change(plan, order_ids), now_s)
            elif not event.report.draining:
                # The engine has restarted and accepts work again.
                drain_plan = attrs.evolve(plan, step=PlanStep.DRAIN)
                self._advance_plan(plan, reissue(drain_plan, order_ids), now_s)

    def _remove_plans_of_missing_targets(self, event: TargetsListed) -> None:
        present = {
            target.target_id
            for target in event.targets
            if target.state is not Presence.RECLAIMED
        }
        for plan in tuple(self._journal.plans.values()):
            if plan.target_id and plan.target_id not in present:
                self._progress_by_plan.pop(plan.plan_id, None)
                self._journal.remove(plan)

    # Progress of plans.

    def _put_plan(self, plan: Plan, now_s: float) -> None:
        self._progress_by_plan[plan.plan_id] = self._new_progress(now_s)
        self._journal.put(plan)

    def _advance_plan(
        self, plan: Plan, next_plan: Plan | None, now_s: float
    ) -> None:
        if next_plan is None:
            self._progress_by_plan.pop(plan.plan_id, None)
            self._journal.remove(plan)
        else:
            self._put_plan(next_plan, now_s)

    def _postpone(
        self, plan: Plan, now_s: float, *, must_read_first: bool
    ) -> None:
        progress = self._progress_of(plan, now_s)
        progress.must_read_first = must_read_first
        pause_s = self._settings.poll_interval_s
        if not must_read_first:
            pause_s = progress.back_off.next_s()
        progress.next_s = now_s + pause_s

    def _new_progress(self, now_s: float) -> PlanProgress:
        back_off = BackOff(self._settings.back_off, self._random)
        return PlanProgress(now_s, back_off, now_s)

    def _progress_of(self, plan: Plan, now_s: float) -> PlanProgress:
        """Return the progress of a plan, or start it for an inherited plan."""
        progress = self._progress_by_plan.get(plan.plan_id)
        if progress is None:
            progress = self._new_progress(now_s)
            # The last order of the predecessor may still be in flight, and
            # an engine may ignore fencing tokens. After the takeover delay
            # the engine is asked for the order, and the same order is sent
            # again if the engine does not know it.
            progress.next_s = now_s + self._settings.takeover_delay_s
            progress.must_read_first = True
            self._progress_by_plan[plan.plan_id] = progress
        return progress

    def _run_due_plans(self, now_s: float) -> list[Output]:
        duty = self._duty
        if duty is None or now_s >= duty.until_s:
            return []
        outputs: list[Output] = []
        for plan in self._journal.plans.values():
            if not self._journal.is_saved(plan):
                continue
            progress = self._progress_of(plan, now_s)
            if now_s >= progress.next_s:
                outputs.append(self._next_action(plan, progress, duty, now_s))
        return outputs

    def _next_action(
        self, plan: Plan, progress: PlanProgress, duty: HeldDuty, now_s: float
    ) -> Output:
        settings = self._settings
        not_after_s = min(duty.until_s, now_s + settings.send_limit_s)
        progress.next_s = now_s + settings.answer_timeout_s
        if plan.target_order is not None:
            return SendTargetOrder(plan.target_order, not_after_s)
        target_address = (plan.target_id, plan.address)
        if plan.engine_order is None:
            progress.next_s = now_s + settings.poll_interval_s
            return PollLoad(*target_address)
        if progress.must_read_first:
            return ReadEngineOrder(*target_address, plan.engine_order.order_id)
        return SendEngineOrder(*target_address, plan.engine_order, not_after_s)


def _is_idle(report: LoadReport) -> bool:
    counts = (report.running, report.waiting, len(report.in_progress))
    return not any(counts)
