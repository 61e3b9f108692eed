"""An engine gets orders of one holder at a time, and no change aborts work."""

from random import Random
from typing import ClassVar

import attrs
import cattrs
import testtools

from dandelionyoke_core import (
    CONTROL_DUTY,
    Action,
    DutyGained,
    DutyLeasePart,
    DutyLeaseSettings,
    EngineOrderResponded,
    Event,
    FleetSizeChangeRequested,
    Instance,
    Journal,
    LoadReport,
    LoadReported,
    OrdersPart,
    OrdersSettings,
    OrderState,
    Output,
    Part,
    PollLoad,
    ReadEngineOrder,
    Role,
    RoleChangeRequested,
    SendEngineOrder,
    SendTargetOrder,
    ServiceName,
    Target,
    TargetId,
    TargetOrderResponded,
    TargetsListed,
    record_from_json,
)
from dandelionyoke_standins import EngineSettings
from dandelionyoke_standins._attempt import GenerateRequest
from dandelionyoke_standins._engine import EngineModel
from dandelionyoke_standins._targets import TargetOrder
from dandelionyoke_standins._world_targets import VirtualEngine
from tests.core.duty_bench import (
    DOMAIN,
    NAMES,
    Bench,
    Move,
    call_all,
    explore,
    holder_of,
    small_fleet,
)

FIRST, SECOND = NAMES
TARGET_ID = TargetId('engine-0')
SERVICE = ServiceName('assistant')
TARGET = Target(TARGET_ID, SERVICE, DOMAIN, 'engine://0')
ROLES = {FIRST: Role.PREFILL, SECOND: Role.DECODE}
ENGINE_ID = TargetId('assistant-000')
DUTY_KEY = f'duty/{DOMAIN}/{CONTROL_DUTY}'
JOURNAL = f'orders/{DOMAIN}'
PERFORMED = (SendEngineOrder, ReadEngineOrder, PollLoad, SendTargetOrder)


class RoleRequester:
    """Requests a fixed role under the fencing token of its duty."""

    handles: ClassVar[tuple[type[Event], ...]] = (DutyGained, TargetsListed)

    def __init__(self, role: Role) -> None:
        self.role = role
        self.fence = 0

    def handle(self, event: Event, now_s: float) -> list[Output]:
        if isinstance(event, DutyGained):
            self.fence = event.fence
            return []
        role_change = RoleChangeRequested(
            TARGET_ID, SERVICE, self.role, self.fence, 'test'
        )
        return [role_change]

    def next_wakeup_s(self) -> float | None:
        return None


def make_parts(own: Instance, random: Random) -> list[Part]:
    """Return the parts of an entry that controls one engine."""
    return [
        DutyLeasePart(DutyLeaseSettings(), CONTROL_DUTY, own, random),
        OrdersPart(OrdersSettings(), own, lambda name: TARGET, random),
        RoleRequester(ROLES[own.instance_id]),
    ]


class EngineBench(Bench):
    """Two entries and one engine."""

    def __init__(self, *, is_checking: bool) -> None:
        super().__init__(make_parts)
        settings = EngineSettings(
            engine_id=TARGET_ID, is_checking_fence=is_checking
        )
        self.engine = VirtualEngine(EngineModel(settings, Random(1), 0))
        self.perform = perform
        self.performed = PERFORMED

    def request_role(self, name: str) -> None:
        """Let an entry request its role for the engine."""
        self.entries[name].take(TargetsListed((TARGET,)), self.now_s)

    @property
    def orders(self) -> list[object]:
        """The orders that the engine carried out, according to its record."""
        return [
            one
            for one in self.engine.model.record.orders
            if not one.is_repeat and one.answer.state != 'refused'
        ]


def perform(bench: Bench, name: str, action: Action) -> Event | None:
    """Perform a call as the transport does: never after its deadline.

    Check that an order is sent only with the duty and after it is journalled.
    """
    assert isinstance(bench, EngineBench)
    now_s = bench.now_s
    if isinstance(action, SendEngineOrder | SendTargetOrder):
        order = action.order
        if now_s * bench.entries[name].rate >= action.not_after_s:
            if isinstance(action, SendTargetOrder):
                return TargetOrderResponded(order.order_id, OrderState.UNKNOWN)
            return EngineOrderResponded(
                TARGET_ID, order.order_id, OrderState.UNKNOWN
            )
        holder = bench.platform.store.read(f'duty/{DOMAIN}/{CONTROL_DUTY}')
        assert f'"{name}"' in str(holder.value), 'sent without the duty'
        journal = bench.platform.store.read(JOURNAL)
        assert order.order_id in str(journal.value), 'sent before journalled'
    if isinstance(action, SendTargetOrder):
        raw = cattrs.structure(cattrs.unstructure(action.order), TargetOrder)
        answer = bench.platform.order_targets(raw, now_s)
        return TargetOrderResponded(
            action.order.order_id, OrderState(answer.state)
        )
    return bench.engine.take(name, action, now_s)[0].event


def check_orders(bench: Bench, path: tuple[str, ...]) -> None:
    """Check the orders that the engine carried out.

    Fencing tokens never decrease, and each change is drained, done and
    undrained before the next one begins.
    """
    assert isinstance(bench, EngineBench)
    orders = [one.order for one in bench.orders]  # type: ignore[attr-defined]
    fences = [order.fence for order in orders]
    assert fences == sorted(fences), (fences, path)
    kinds = [order.kind for order in orders]
    cycle = ['drain', 'role', 'undrain'] * len(kinds)
    assert kinds == cycle[: len(kinds)], (kinds, path)


def bench_with_first_as_holder(*, is_checking: bool) -> EngineBench:
    """Return a bench in which the first entry holds the duty."""
    bench = EngineBench(is_checking=is_checking)
    bench.announce_peers()
    bench.run_without_faults(4, (FIRST,))
    return bench


def count_plans(bench: Bench) -> int:
    """Count the plans in the journal."""
    text = bench.platform.store.read(JOURNAL).value or '{"fence": 0}'
    return len(record_from_json(text, Journal).plans)


class TakeoverTest(testtools.TestCase):
    def test_a_holder_that_stops_at_each_step_of_a_change(self) -> None:
        """A holder stops between deciding, journalling, sending and closing.

        Its successor requests another role. The engine must not get orders
        of both at once, and must not be left drained.
        """
        for is_checking in (True, False):
            for calls in range(16):
                for resumption in (
                    'never',
                    'with an answer',
                    'before its call',
                ):
                    bench = bench_with_first_as_holder(is_checking=is_checking)
                    _stop_first(bench, calls, resumption)
                    bench.run_without_faults(bench.now_s + 14, (SECOND,))
                    bench.request_role(SECOND)
                    check_orders(bench, (str(calls), resumption))
                    _resume_first(bench, resumption)
                    running = (SECOND,) if resumption == 'never' else NAMES
                    bench.run_without_faults(bench.now_s + 40, running)
                    bench.request_role(SECOND)
                    bench.run_without_faults(bench.now_s + 20, running)
                    check_orders(bench, (str(calls), resumption))
                    self.assertEqual(0, count_plans(bench))
                    report = bench.engine.model.load_report(bench.now_s)
                    self.assertFalse(report.draining)
                    self.assertEqual('decode', report.role)

    def test_two_holders_in_all_interleavings(self) -> None:
        """Pauses, lost answers and a takeover are interleaved in any order.

        The engine must carry out one change at a time.
        """
        for is_checking in (True, False):
            bench = bench_with_first_as_holder(is_checking=is_checking)
            bench.request_role(FIRST)
            states = explore(bench, _takeover_moves(), 4, check_orders)
            bench.answer(FIRST)
            states += explore(bench, _takeover_moves(), 3, check_orders)
            bench.run_without_faults(bench.now_s + 2.5, (FIRST,))
            states += explore(bench, _takeover_moves(), 3, check_orders)
            self.assertGreater(states, 500)

    def test_a_late_order_at_an_engine_that_ignores_fencing(
        self,
    ) -> None:
        """An order is sent in time but delayed by the network.

        It reaches an engine that ignores fencing tokens while a successor is
        active. The successor has sent the same order or waited, so the late
        order must change nothing.
        """
        for which in range(3):
            for delay_s in (1, 9, 10, 11, 11.5, 12, 13, 14, 16, 18, 22, 30):
                bench = bench_with_first_as_holder(is_checking=False)
                bench.request_role(FIRST)
                late = _intercept_order(bench, which)
                bench.run_without_faults(bench.now_s + delay_s, (SECOND,))
                bench.request_role(SECOND)
                bench.engine.take(FIRST, late, bench.now_s)
                check_orders(bench, (str(which), str(delay_s)))
                bench.run_without_faults(bench.now_s + 40, (SECOND,))
                check_orders(bench, (str(which), str(delay_s)))
                self.assertEqual(0, count_plans(bench))
                report = bench.engine.model.load_report(bench.now_s)
                self.assertFalse(report.draining)

    def test_lost_answers_of_the_journal(self) -> None:
        """Each write of the journal succeeds but its answer is lost.

        The change must still be made, once.
        """
        bench = bench_with_first_as_holder(is_checking=True)
        bench.platform.faults.keys = 'orders'
        bench.platform.faults.lose_answers = 4
        bench.request_role(FIRST)
        bench.run_without_faults(40, (FIRST,))
        check_orders(bench, ())
        self.assertEqual(3, len(bench.orders))
        self.assertEqual(0, count_plans(bench))

    def test_an_order_without_an_answer_is_resent_with_its_id(self) -> None:
        """The engine carries out each order but its answers are lost.

        A resent order must keep its id, so that it is carried out once.
        """
        bench = bench_with_first_as_holder(is_checking=False)
        bench.request_role(FIRST)
        for _ in range(300):
            bench.tick(0.1, (FIRST,))
            waiting = bench.entries[FIRST].waiting
            if waiting and isinstance(waiting[0], SendEngineOrder):
                order_id = waiting[0].order.order_id
                if bench.now_s < 12:
                    bench.effect(FIRST)
                    unknown = EngineOrderResponded(
                        TARGET_ID, order_id, OrderState.UNKNOWN
                    )
                    bench.entries[FIRST].take(unknown, bench.now_s)
            bench.answer(FIRST)
        check_orders(bench, ())
        self.assertEqual(3, len(bench.orders))


class PlannedChangeTest(testtools.TestCase):
    def test_a_role_change_waits_for_work_in_progress(self) -> None:
        """A role change is requested while an engine generates a long answer.

        The caller must get the whole answer before the role changes.
        """
        bench = bench_with_first_as_holder(is_checking=True)
        request = GenerateRequest('a-1', 'model', 'answer 200 tokens', (), 200)
        bench.engine.model.generate(request, bench.now_s)
        bench.request_role(FIRST)
        bench.run_without_faults(60, (FIRST,))
        self.assertEqual(3, len(bench.orders))
        record = bench.engine.model.record
        changed_s = bench.orders[1].at_s  # type: ignore[attr-defined]
        attempt = record.attempts[0]
        self.assertEqual(200, attempt.output_tokens)
        self.assertLess(attempt.ended_s, changed_s)

    def test_a_report_from_before_the_drain_is_ignored(self) -> None:
        """A load report shows an engine as idle, but is older than its drain.

        Trusting it would abort work that arrived in between.
        """
        bench = bench_with_first_as_holder(is_checking=True)
        bench.request_role(FIRST)
        while len(bench.orders) < 1:
            bench.tick(0.1, (FIRST,))
            bench.answer(FIRST)
        report = bench.engine.model.load_report(bench.now_s)
        empty = cattrs.structure(attrs.asdict(report), LoadReport)
        drain_id = bench.orders[0].order.order_id  # type: ignore[attr-defined]
        drained = attrs.evolve(empty, draining=True, drain_order_id=drain_id)
        for age_s in (3.0, 2.0, 1.2):
            bench.now_s += 0.1
            late = attrs.evolve(drained, age_s=age_s)
            bench.entries[FIRST].take(
                LoadReported(TARGET_ID, late), bench.now_s
            )
            for _ in range(10):
                bench.answer(FIRST)
            self.assertEqual(1, len(bench.orders))
        bench.run_without_faults(bench.now_s + 10, (FIRST,))
        self.assertEqual(3, len(bench.orders))

    def test_a_target_is_drained_before_it_is_removed(self) -> None:
        """A service needs one target less.

        The platform must be asked to remove it only when it is idle.
        """
        bench = bench_with_first_as_holder(is_checking=True)
        request = GenerateRequest('a-1', 'model', 'answer 200 tokens', (), 200)
        bench.engine.model.generate(request, bench.now_s)
        fence = (
            bench.entries[FIRST].believed_fence(CONTROL_DUTY, bench.now_s) or 0
        )
        size_change = FleetSizeChangeRequested(
            SERVICE, DOMAIN, fence, 'test', add_on_demand=1, remove=(TARGET_ID,)
        )
        bench.entries[FIRST].take(size_change, bench.now_s)
        bench.run_without_faults(60, (FIRST,))
        received = bench.platform.record.orders
        self.assertEqual(
            ['add', 'remove'], [one.order.action for one in received]
        )
        attempt = bench.engine.model.record.attempts[0]
        self.assertLess(attempt.ended_s, received[1].at_s)


def _stop_first(bench: EngineBench, calls: int, resumption: str) -> None:
    bench.request_role(FIRST)
    for _ in range(calls):
        while not bench.answer(FIRST):
            bench.tick(0.1, (FIRST,))
    if resumption == 'with an answer':
        bench.withhold(FIRST)


def _intercept_order(bench: EngineBench, which: int) -> SendEngineOrder:
    """Return the order with this index, intercepted before it arrives."""
    while True:
        waiting = bench.entries[FIRST].waiting
        if waiting and isinstance(waiting[0], SendEngineOrder):
            if len(bench.orders) == which:
                action = waiting.pop(0)
                assert isinstance(action, SendEngineOrder)
                return action
        if not bench.answer(FIRST):
            bench.tick(0.1, (FIRST,))


def _resume_first(bench: EngineBench, resumption: str) -> None:
    if resumption == 'with an answer':
        bench.resume(FIRST)
    if resumption == 'before its call':
        bench.answer(FIRST)


def _takeover_moves() -> tuple[Move, ...]:
    return (
        ('first answered', lambda bench: bench.answer(FIRST)),
        ('first lost', lambda bench: bench.lose(FIRST)),
        ('first withheld', lambda bench: bench.withhold(FIRST)),
        ('first resumes', lambda bench: bench.resume(FIRST)),
        ('first works', lambda bench: _run_and_request(bench, FIRST, 3)),
        ('second works', lambda bench: _run_and_request(bench, SECOND, 3)),
        (
            'second takes over',
            lambda bench: _run_and_request(bench, SECOND, 13),
        ),
    )


def _run_and_request(bench: Bench, name: str, elapsed_s: float) -> None:
    bench.run_without_faults(bench.now_s + elapsed_s, (name,))
    assert isinstance(bench, EngineBench)
    bench.request_role(name)


class WholeNodesTest(testtools.TestCase):
    def test_a_role_change_under_load_survives_a_killed_holder(self) -> None:
        """The holder is killed while an engine drains for a role change.

        Another entry must complete the change. Callers must get whole
        answers, and the engine must take work again.
        """
        simulation, names = small_fleet(7, entries=4, engines=3)
        holder = holder_of(simulation, CONTROL_DUTY)
        fence = simulation.platform.store.read(DUTY_KEY).revision
        role_change = RoleChangeRequested(
            ENGINE_ID, SERVICE, Role.PREFILL, fence, 'test'
        )
        call_all(simulation, names, 1)
        simulation.run(40.2)
        simulation.deliver(holder, role_change)
        simulation.run(40.5)
        simulation.kill(holder)
        for round_ in range(2, 8):
            call_all(
                simulation, [name for name in names if name != holder], round_
            )
            simulation.run(simulation.now_s + 5)
        engine = simulation.engines['engine://assistant-000'].model
        kinds = [
            one.order.kind for one in engine.record.orders if not one.is_repeat
        ]
        self.assertEqual(['drain', 'role', 'undrain'], kinds)
        self.assertEqual('prefill', engine.load_report(simulation.now_s).role)
        for request_id, call in simulation.calls.items():
            if not request_id.startswith(holder):
                self.assertEqual(20, len(call.tokens), request_id)
