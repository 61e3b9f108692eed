"""At most one entry acts for a duty despite losses, delays and pauses."""

from random import Random
from typing import Any

import testtools

from dandelionyoke_core import (
    REPORT_DUTY,
    Action,
    DutyGained,
    DutyLeasePart,
    DutyLeaseSettings,
    DutyLost,
    Event,
    Instance,
    LeaseExpired,
    LeaseGrant,
    LeaseGranted,
    LeaseId,
    LeaseRelease,
    LeaseRenew,
    Leaving,
    LivePeersChanged,
    Part,
    StoreFailed,
    StoreGet,
    StoreItem,
    StorePut,
    StoreReplaced,
    StoreResponded,
    StoreResult,
    StoreWritten,
    TimerFired,
)
from dandelionyoke_standins import DeploymentPlan, NodeSimulation, deploy
from tests.core.duty_bench import (
    DOMAIN,
    NAMES,
    Bench,
    explore,
    fault_moves,
    instance,
)

FIRST, SECOND = NAMES
KEY = f'duty/{DOMAIN}/{REPORT_DUTY}'
# Within the clock drift that the settings allow for.
SLOW_CLOCK = 0.985


def make_parts(own: Instance, random: Random) -> list[Part]:
    """Create the parts of an entry that only competes for the duty."""
    return [DutyLeasePart(DutyLeaseSettings(), REPORT_DUTY, own, random)]


def active_holders(bench: Bench) -> dict[str, int]:
    """Return the fencing token of each entry that acts for the duty."""
    fences_by_name = {}
    for name, entry in bench.entries.items():
        fence = entry.believed_fence(REPORT_DUTY, bench.now_s)
        if fence is not None:
            fences_by_name[name] = fence
    return fences_by_name


def assert_only_the_stores_holder_acts(
    bench: Bench, path: tuple[str, ...]
) -> None:
    """Check that every acting entry holds the key in the store."""
    holder = bench.platform.store.read(KEY).revision
    for name, fence in active_holders(bench).items():
        assert fence == holder, (name, fence, holder, path)


def new_bench_held_by_first() -> Bench:
    """Create a bench whose first entry, with a slow clock, holds the duty."""
    bench = Bench(make_parts)
    bench.entries[FIRST].rate = SLOW_CLOCK
    bench.announce_peers()
    bench.run_without_faults(4, (FIRST,))
    assert list(active_holders(bench)) == [FIRST]
    return bench


class DutyLeaseTest(testtools.TestCase):
    def test_two_candidates_in_every_order_of_six_steps(self) -> None:
        """Two entries compete for a duty that nobody holds.

        Answers are lost or late and one entry is paused at any step. If both
        acted, the callers' usage would be billed twice.
        """
        bench = Bench(make_parts)
        bench.entries[FIRST].rate = SLOW_CLOCK
        bench.announce_peers()
        moves = fault_moves(FIRST, SECOND, 4.9)
        states = explore(bench, moves, 6, assert_only_the_stores_holder_acts)
        self.assertGreater(states, 1_000)

    def test_a_holder_paused_at_every_step_of_a_renewal(self) -> None:
        """A holder with a slow clock is paused at any step of its renewal.

        Its lease expires and another entry takes over. When it resumes with an
        answer that was waiting, it must not act at any moment.
        """
        for pause_s in (2.4, 9.6):
            bench = new_bench_held_by_first()
            bench.tick(pause_s / 2, (FIRST,))
            moves = fault_moves(FIRST, SECOND, pause_s)
            states = explore(
                bench, moves, 5, assert_only_the_stores_holder_acts
            )
            self.assertGreater(states, 500)

    def test_a_slow_clock_ends_its_term_before_the_store_does(self) -> None:
        """A holder with a slow clock loses its connection to the store.

        Less time has passed on its clock than on the store's. It must not act
        at the same time as its successor at any moment of the takeover.
        """
        bench = new_bench_held_by_first()
        for _ in range(1_500):
            bench.tick(0.01, (SECOND,))
            while bench.answer(SECOND):
                assert_only_the_stores_holder_acts(bench, ())
            assert_only_the_stores_holder_acts(bench, ())
        self.assertEqual([SECOND], list(active_holders(bench)))

    def test_a_suspended_holder_does_not_act_after_a_takeover(self) -> None:
        """The holder is suspended for a minute and then resumes.

        The domain has another holder within seconds, with a higher fencing
        token, and the old holder does not disturb it.
        """
        bench = new_bench_held_by_first()
        old_fence = active_holders(bench)[FIRST]
        bench.run_without_faults(bench.now_s + 20, (SECOND,))
        new_holders = active_holders(bench)
        self.assertEqual([SECOND], list(new_holders))
        self.assertGreater(new_holders[SECOND], old_fence)
        bench.resume(FIRST)
        assert_only_the_stores_holder_acts(bench, ())
        bench.run_without_faults(bench.now_s + 60, (FIRST, SECOND))
        self.assertEqual(new_holders, active_holders(bench))

    def test_a_write_without_an_answer_is_verified_by_reading(self) -> None:
        """The write that acquires the duty succeeds, but its answer is lost.

        Unless the key is read, the domain has no holder until the lease
        expires.
        """
        bench = Bench(make_parts)
        bench.announce_peers()
        while not _count_calls(bench, FIRST, StorePut):
            bench.tick(0.1, (FIRST,))
            bench.answer(FIRST)
        bench.lose(FIRST)
        bench.run_without_faults(bench.now_s + 1, (FIRST,))
        self.assertEqual([FIRST], list(active_holders(bench)))
        grants = _count_calls(bench, FIRST, LeaseGrant)
        self.assertEqual(1, grants)

    def test_a_store_outage_ends_the_term_and_causes_few_calls(self) -> None:
        """The store is unavailable for a minute.

        Nobody acts after the end of the term, there are few calls, and after
        the outage an entry holds the duty again.
        """
        bench = new_bench_held_by_first()
        bench.platform.faults.outage = True
        calls_before = len(bench.entries[FIRST].seen)
        bench.run_without_faults(bench.now_s + 11, NAMES)
        self.assertEqual({}, active_holders(bench))
        bench.run_without_faults(bench.now_s + 50, NAMES)
        self.assertLess(len(bench.entries[FIRST].seen) - calls_before, 80)
        bench.platform.faults.outage = False
        bench.run_without_faults(bench.now_s + 15, NAMES)
        self.assertEqual(1, len(active_holders(bench)))
        assert_only_the_stores_holder_acts(bench, ())

    def test_a_leaving_holder_delays_the_release_of_its_lease(self) -> None:
        """A holder is told to leave while an order waits for its socket.

        It stops acting at once, but the next holder must start only when that
        order can no longer be sent.
        """
        bench = new_bench_held_by_first()
        bench.entries[FIRST].take(Leaving(), bench.now_s)
        self.assertEqual({}, active_holders(bench))
        bench.run_without_faults(bench.now_s + 0.9, NAMES)
        self.assertEqual(0, _count_calls(bench, FIRST, LeaseRelease))
        bench.run_without_faults(bench.now_s + 4, NAMES)
        self.assertEqual([SECOND], list(active_holders(bench)))
        calls = len(bench.entries[FIRST].seen)
        bench.run_without_faults(bench.now_s + 30, NAMES)
        self.assertEqual(calls, len(bench.entries[FIRST].seen))

    def test_store_calls_do_not_grow_with_the_domain(self) -> None:
        """A domain grows from four entries to sixteen.

        If all of them competed for the duties, the platform's store would
        receive four times as many calls.
        """
        call_counts = []
        for entries in (4, 16):
            simulation = NodeSimulation(5)
            simulation.recorded_types = (
                LeaseRenew,
                LeaseGrant,
                StoreGet,
                StorePut,
            )
            deploy(simulation, DeploymentPlan(('ubungo',), entries))
            # Until it has read the platform's list an entry knows only itself
            # and is always a candidate.
            simulation.run(40)
            simulation.recorded_actions.clear()
            simulation.run(60)
            call_counts.append(_count_duty_calls(simulation))
        self.assertGreater(call_counts[0], 10)
        self.assertLess(call_counts[1], call_counts[0] * 1.5)


def _count_calls(bench: Bench, name: str, action_type: type) -> int:
    seen = bench.entries[name].seen
    return sum(isinstance(action, action_type) for action in seen)


def _count_duty_calls(simulation: NodeSimulation) -> int:
    return sum(
        action.operation_id.startswith('duty.')
        for _, _, action in simulation.recorded_actions
    )


class HolderTestCase(testtools.TestCase):
    """A holder after a store outage that is longer than its term."""

    def setUp(self) -> None:
        super().setUp()
        own = instance(FIRST)
        self.part = DutyLeasePart(
            DutyLeaseSettings(), REPORT_DUTY, own, Random(1)
        )
        self.now_s = 0.0
        self.outputs: list[object] = []
        self.handle_event(LivePeersChanged((FIRST,), (FIRST,)))
        self.answer(StoreGet, StoreItem(KEY, 0, None))
        self.answer(LeaseGrant, LeaseGranted(LeaseId('l-1'), 10))
        self.record = self.answer(StorePut, StoreWritten(KEY, 7)).value
        for _ in range(40):
            self.answer(LeaseRenew, StoreFailed('away', True))

    def handle_event(self, event: Event) -> None:
        self.outputs += self.part.handle(event, self.now_s)

    def answer(self, action_type: type[Action], result: StoreResult) -> Any:
        """Advance time until the part makes a call of a type, and answer it."""
        for _ in range(100):
            for action in self.outputs:
                if isinstance(action, action_type):
                    self.outputs = []
                    self.handle_event(
                        StoreResponded(action.operation_id, result)
                    )
                    return action
            self.now_s = self.part.next_wakeup_s() or self.now_s
            self.handle_event(TimerFired())
        raise AssertionError(f'no {action_type.__name__} was requested')

    def fences(self) -> list[int]:
        return [
            output.fence
            for output in self.outputs
            if isinstance(output, DutyGained)
        ]


class StoreOutageTest(HolderTestCase):
    def test_a_lease_that_survived_an_outage_is_renewed(self) -> None:
        """The store did not expire leases during its outage.

        If the holder let its lease expire, the domain would have no holder
        for a whole term after the outage, and reports would be late.
        """
        self.answer(LeaseRenew, LeaseGranted(LeaseId('l-1'), 10))
        self.answer(StoreGet, StoreItem(KEY, 7, self.record))
        self.assertEqual([7], self.fences())

    def test_a_lease_that_expired_is_not_recovered(self) -> None:
        self.answer(LeaseRenew, LeaseExpired(LeaseId('l-1')))
        self.assertEqual([], self.fences())
        self.answer(StoreGet, StoreItem(KEY, 9, 'another'))
        self.assertEqual([], self.fences())


class StoreReturnTest(HolderTestCase):
    """A holder whose store comes back from a copy."""

    def setUp(self) -> None:
        super().setUp()
        self.returned_s = 0.0

    def hold_again(self) -> None:
        """Get the duty back after the outage."""
        self.answer(LeaseRenew, LeaseGranted(LeaseId('l-1'), 10))
        self.answer(StoreGet, StoreItem(KEY, 7, self.record))

    def return_store(self) -> None:
        self.outputs = []
        self.returned_s = self.now_s
        self.handle_event(StoreReplaced())

    def lost_count(self) -> int:
        return sum(isinstance(output, DutyLost) for output in self.outputs)

    def test_a_holder_gives_the_duty_up_at_once(self) -> None:
        """Guards against two holders, as the store has lost the first one."""
        self.hold_again()
        self.return_store()
        self.assertEqual(1, self.lost_count())

    def test_the_last_holder_gets_it_back_under_a_new_fence(self) -> None:
        """Guards against seconds without a holder, and a fence that goes back."""
        self.hold_again()
        self.return_store()
        self.answer(StoreGet, StoreItem(KEY, 0, None))
        self.assertGreaterEqual(self.now_s, self.returned_s + 1.0)
        self.answer(LeaseGrant, LeaseGranted(LeaseId('l-2'), 10))
        self.answer(StorePut, StoreWritten(KEY, 20))
        self.assertEqual([20], self.fences())

    def test_the_last_holder_takes_its_key_of_the_copy_over(self) -> None:
        """Guards against a wait for a lease that nobody renews."""
        self.hold_again()
        self.return_store()
        self.answer(StoreGet, StoreItem(KEY, 17, self.record))
        self.answer(LeaseGrant, LeaseGranted(LeaseId('l-2'), 10))
        put = self.answer(StorePut, StoreWritten(KEY, 20))
        self.assertEqual(17, put.expected_revision)
        self.assertEqual([20], self.fences())

    def test_a_key_of_another_node_is_not_taken_over(self) -> None:
        self.hold_again()
        self.return_store()
        other = self.record.replace(FIRST, 'another')
        self.answer(StoreGet, StoreItem(KEY, 17, other))
        self.answer(StoreGet, StoreItem(KEY, 17, other))
        self.assertEqual([], self.fences())

    def test_another_node_waits_until_the_last_term_has_ended(self) -> None:
        """Guards against two holders where the first one cannot hear."""
        self.return_store()
        self.answer(StoreGet, StoreItem(KEY, 0, None))
        waited_s = self.now_s - self.returned_s
        self.assertGreaterEqual(waited_s, DutyLeaseSettings().ttl_s)
