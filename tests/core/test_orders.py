"""An engine has one master at a time and no change cuts work."""

from random import Random
from typing import ClassVar

import attrs
import cattrs
import testtools

from dandelionyoke_core import (
    CONTROL_DUTY,
    Action,
    AuthorityPart,
    AuthoritySettings,
    DutyGained,
    EngineOrderAnswered,
    Event,
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
    RoleWanted,
    SendEngineOrder,
    SendTargetOrder,
    ServiceName,
    Target,
    TargetId,
    TargetOrderAnswered,
    TargetsListed,
    TargetsWanted,
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


class Wisher:
    """Wants a role of its own as soon as it holds the duty."""

    handles: ClassVar[tuple[type[Event], ...]] = (DutyGained, TargetsListed)

    def __init__(self, role: Role) -> None:
        self.role = role
        self.fence = 0

    def handle(self, event: Event, now_s: float) -> list[Output]:
        if isinstance(event, DutyGained):
            self.fence = event.fence
            return []
        wish = RoleWanted(TARGET_ID, SERVICE, self.role, self.fence, 'test')
        return [wish]

    def next_wakeup_s(self) -> float | None:
        return None


def make_parts(own: Instance, random: Random) -> list[Part]:
    """Make up an entry that controls one engine."""
    return [
        AuthorityPart(AuthoritySettings(), CONTROL_DUTY, own, random),
        OrdersPart(OrdersSettings(), own, lambda name: TARGET, random),
        Wisher(ROLES[own.instance_id]),
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

    def wish(self, name: str) -> None:
        """Let an entry's decisions ask for its role."""
        self.entries[name].take(TargetsListed((TARGET,)), self.now_s)

    @property
    def orders(self) -> list[object]:
        """The orders that the engine carried out, by its own record."""
        return [
            one
            for one in self.engine.model.record.orders
            if not one.is_repeat and one.answer.state != 'refused'
        ]


def perform(bench: Bench, name: str, action: Action) -> Event | None:
    """Send to the engine as the wire does: never too late."""
    assert isinstance(bench, EngineBench)
    now_s = bench.now_s
    if isinstance(action, SendEngineOrder | SendTargetOrder):
        order = action.order
        if now_s * bench.entries[name].rate >= action.not_after_s:
            if isinstance(action, SendTargetOrder):
                return TargetOrderAnswered(order.order_id, OrderState.UNKNOWN)
            return EngineOrderAnswered(
                TARGET_ID, order.order_id, OrderState.UNKNOWN
            )
        holder = bench.platform.store.read(f'duty/{DOMAIN}/{CONTROL_DUTY}')
        assert f'"{name}"' in str(holder.value), 'sent without the duty'
        journal = bench.platform.store.read(JOURNAL)
        assert order.order_id in str(journal.value), 'sent before journalled'
    if isinstance(action, SendTargetOrder):
        raw = cattrs.structure(cattrs.unstructure(action.order), TargetOrder)
        answer = bench.platform.order_targets(raw, now_s)
        return TargetOrderAnswered(
            action.order.order_id, OrderState(answer.state)
        )
    return bench.engine.take(name, action, now_s)[0].event


def never_two_masters(bench: Bench, path: tuple[str, ...]) -> None:
    """Judge by what the engine carried out.

    Numbers never go down, and each change is drained, done and undrained
    before the next one begins.
    """
    assert isinstance(bench, EngineBench)
    orders = [one.order for one in bench.orders]  # type: ignore[attr-defined]
    fences = [order.fence for order in orders]
    assert fences == sorted(fences), (fences, path)
    kinds = [order.kind for order in orders]
    cycle = ['drain', 'role', 'undrain'] * len(kinds)
    assert kinds == cycle[: len(kinds)], (kinds, path)


def held_by_first(*, is_checking: bool) -> EngineBench:
    """Let the first entry get the duty."""
    bench = EngineBench(is_checking=is_checking)
    bench.meet()
    bench.settle(4, (FIRST,))
    return bench


def open_plans(bench: Bench) -> int:
    """Count the plans in the journal."""
    text = bench.platform.store.read(JOURNAL).value or '{"fence": 0}'
    return len(record_from_json(text, Journal).plans)


class TakeoverTest(testtools.TestCase):
    def test_a_holder_stopped_at_each_step_of_a_change(self) -> None:
        """A holder stops between deciding, journalling, sending and closing.

        Its successor wants another role. The engine must not get orders of
        both at once, and must not be left drained.
        """
        for is_checking in (True, False):
            for calls in range(16):
                for returns in ('never', 'with an answer', 'before its call'):
                    bench = held_by_first(is_checking=is_checking)
                    _stop_first(bench, calls, returns)
                    bench.settle(bench.now_s + 14, (SECOND,))
                    bench.wish(SECOND)
                    never_two_masters(bench, (str(calls), returns))
                    _return_first(bench, returns)
                    running = (SECOND,) if returns == 'never' else NAMES
                    bench.settle(bench.now_s + 40, running)
                    bench.wish(SECOND)
                    bench.settle(bench.now_s + 20, running)
                    never_two_masters(bench, (str(calls), returns))
                    self.assertEqual(0, open_plans(bench))
                    report = bench.engine.model.load_report(bench.now_s)
                    self.assertFalse(report.draining)
                    self.assertEqual('decode', report.role)

    def test_two_holders_in_every_order_of_steps(self) -> None:
        """Pauses, lost answers and a takeover fall together in any order.

        Whatever the order, the engine carries out one change at a time.
        """
        for is_checking in (True, False):
            bench = held_by_first(is_checking=is_checking)
            bench.wish(FIRST)
            states = explore(bench, _moves(), 4, never_two_masters)
            bench.answer(FIRST)
            states += explore(bench, _moves(), 3, never_two_masters)
            bench.settle(bench.now_s + 2.5, (FIRST,))
            states += explore(bench, _moves(), 3, never_two_masters)
            self.assertGreater(states, 500)

    def test_an_order_arrives_late_at_an_engine_that_ignores_numbers(
        self,
    ) -> None:
        """An order leaves in time, but the network holds it up.

        It reaches the engine when a successor has long been at work there,
        and the engine does not look at its number. The successor has sent
        the same order or waited, so it changes nothing.
        """
        for which in range(3):
            for delay_s in (1, 9, 10, 11, 11.5, 12, 13, 14, 16, 18, 22, 30):
                bench = held_by_first(is_checking=False)
                bench.wish(FIRST)
                late = _take_out(bench, which)
                bench.settle(bench.now_s + delay_s, (SECOND,))
                bench.wish(SECOND)
                bench.engine.take(FIRST, late, bench.now_s)
                never_two_masters(bench, (str(which), str(delay_s)))
                bench.settle(bench.now_s + 40, (SECOND,))
                never_two_masters(bench, (str(which), str(delay_s)))
                self.assertEqual(0, open_plans(bench))
                report = bench.engine.model.load_report(bench.now_s)
                self.assertFalse(report.draining)

    def test_lost_answers_of_the_journal(self) -> None:
        """Each write of the journal succeeds but its answer is lost.

        The change is made all the same, once.
        """
        bench = held_by_first(is_checking=True)
        bench.platform.faults.keys = 'orders'
        bench.platform.faults.lose_answers = 4
        bench.wish(FIRST)
        bench.settle(40, (FIRST,))
        never_two_masters(bench, ())
        self.assertEqual(3, len(bench.orders))
        self.assertEqual(0, open_plans(bench))

    def test_an_engine_that_does_not_answer_gets_the_same_order(self) -> None:
        """The engine carries out each order but its answers are lost.

        Sent again, an order keeps its id, so that it is done once.
        """
        bench = held_by_first(is_checking=False)
        bench.wish(FIRST)
        for _ in range(300):
            bench.tick(0.1, (FIRST,))
            waiting = bench.entries[FIRST].waiting
            if waiting and isinstance(waiting[0], SendEngineOrder):
                order_id = waiting[0].order.order_id
                if bench.now_s < 12:
                    bench.effect(FIRST)
                    unknown = EngineOrderAnswered(
                        TARGET_ID, order_id, OrderState.UNKNOWN
                    )
                    bench.entries[FIRST].take(unknown, bench.now_s)
            bench.answer(FIRST)
        never_two_masters(bench, ())
        self.assertEqual(3, len(bench.orders))


class PlannedChangeTest(testtools.TestCase):
    def test_a_role_change_waits_for_work_in_progress(self) -> None:
        """An engine is writing a long answer when its role is to change.

        The caller gets the whole answer; only then does the role change.
        """
        bench = held_by_first(is_checking=True)
        request = GenerateRequest('a-1', 'model', 'answer 200 tokens', (), 200)
        bench.engine.model.generate(request, bench.now_s)
        bench.wish(FIRST)
        bench.settle(60, (FIRST,))
        self.assertEqual(3, len(bench.orders))
        record = bench.engine.model.record
        changed_s = bench.orders[1].at_s  # type: ignore[attr-defined]
        attempt = record.attempts[0]
        self.assertEqual(200, attempt.output_tokens)
        self.assertLess(attempt.ended_s, changed_s)

    def test_a_report_from_before_the_drain_proves_nothing(self) -> None:
        """A report shows an engine empty, but is older than its drain.

        Work that came in between would be cut if the report were believed.
        """
        bench = held_by_first(is_checking=True)
        bench.wish(FIRST)
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
        bench.settle(bench.now_s + 10, (FIRST,))
        self.assertEqual(3, len(bench.orders))

    def test_a_target_is_drained_before_it_is_given_back(self) -> None:
        """A service needs one target less.

        The platform is asked to take it only when it has nothing to do.
        """
        bench = held_by_first(is_checking=True)
        request = GenerateRequest('a-1', 'model', 'answer 200 tokens', (), 200)
        bench.engine.model.generate(request, bench.now_s)
        fence = bench.entries[FIRST].believes(CONTROL_DUTY, bench.now_s) or 0
        wish = TargetsWanted(
            SERVICE, DOMAIN, fence, 'test', add_steady=1, remove=(TARGET_ID,)
        )
        bench.entries[FIRST].take(wish, bench.now_s)
        bench.settle(60, (FIRST,))
        received = bench.platform.record.orders
        self.assertEqual(
            ['add', 'remove'], [one.order.action for one in received]
        )
        attempt = bench.engine.model.record.attempts[0]
        self.assertLess(attempt.ended_s, received[1].at_s)


def _stop_first(bench: EngineBench, calls: int, returns: str) -> None:
    bench.wish(FIRST)
    for _ in range(calls):
        while not bench.answer(FIRST):
            bench.tick(0.1, (FIRST,))
    if returns == 'with an answer':
        bench.withhold(FIRST)


def _take_out(bench: EngineBench, which: int) -> SendEngineOrder:
    """Give the order with this place, as it leaves and does not arrive."""
    while True:
        waiting = bench.entries[FIRST].waiting
        if waiting and isinstance(waiting[0], SendEngineOrder):
            if len(bench.orders) == which:
                action = waiting.pop(0)
                assert isinstance(action, SendEngineOrder)
                return action
        if not bench.answer(FIRST):
            bench.tick(0.1, (FIRST,))


def _return_first(bench: EngineBench, returns: str) -> None:
    if returns == 'with an answer':
        bench.resume(FIRST)
    if returns == 'before its call':
        bench.answer(FIRST)


def _moves() -> tuple[Move, ...]:
    return (
        ('first answered', lambda bench: bench.answer(FIRST)),
        ('first lost', lambda bench: bench.lose(FIRST)),
        ('first withheld', lambda bench: bench.withhold(FIRST)),
        ('first resumes', lambda bench: bench.resume(FIRST)),
        ('first works', lambda bench: _work(bench, FIRST, 3)),
        ('second works', lambda bench: _work(bench, SECOND, 3)),
        ('second takes over', lambda bench: _work(bench, SECOND, 13)),
    )


def _work(bench: Bench, name: str, elapsed_s: float) -> None:
    bench.settle(bench.now_s + elapsed_s, (name,))
    assert isinstance(bench, EngineBench)
    bench.wish(name)


class WholeNodesTest(testtools.TestCase):
    def test_a_role_changes_under_load_while_the_holder_is_killed(self) -> None:
        """The entry in control dies while an engine drains for a new role.

        Another entry goes on with the change. Callers get whole answers and
        the engine works again in the end.
        """
        world, names = small_fleet(7, entries=4, engines=3)
        holder = holder_of(world, CONTROL_DUTY)
        fence = world.platform.store.read(DUTY_KEY).revision
        wish = RoleWanted(ENGINE_ID, SERVICE, Role.PREFILL, fence, 'test')
        call_all(world, names, 1)
        world.run(40.2)
        world.send(holder, wish)
        world.run(40.5)
        world.kill(holder)
        for round_ in range(2, 8):
            call_all(world, [name for name in names if name != holder], round_)
            world.run(world.now_s + 5)
        engine = world.engines['engine://assistant-000'].model
        kinds = [
            one.order.kind for one in engine.record.orders if not one.is_repeat
        ]
        self.assertEqual(['drain', 'role', 'undrain'], kinds)
        self.assertEqual('prefill', engine.load_report(world.now_s).role)
        for request_id, call in world.calls.items():
            if not request_id.startswith(holder):
                self.assertEqual(20, len(call.tokens), request_id)
