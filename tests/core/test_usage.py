"""Usage is reported exactly once, even if entries are killed."""

from collections import Counter
from random import Random

import cattrs
import testtools

from dandelionyoke_core import (
    REPORT_DUTY,
    Action,
    DutyLeasePart,
    DutyLeaseSettings,
    Event,
    Instance,
    Leaving,
    OrganisationId,
    Part,
    RequestId,
    ServiceName,
    ShutdownRequested,
    Started,
    StorePut,
    SubmitUsage,
    UsageDelivered,
    UsagePart,
    UsageReportResponded,
    UsageSettings,
)
from dandelionyoke_standins import NodeSimulation, PlatformModel
from dandelionyoke_standins._platform import UsageWindow
from tests.core.duty_bench import (
    DOMAIN,
    NAMES,
    Bench,
    call_all,
    explore,
    fault_moves,
    holder_of,
    small_fleet,
)

FIRST, SECOND = NAMES
WINDOW_S = 60.0
SETTINGS = UsageSettings(window_s=WINDOW_S)


class NoPeers:
    """A peer view without any peers."""

    live = ()
    live_in_domain = ()


def make_parts(own: Instance, random: Random) -> list[Part]:
    """Return the parts of an entry that counts and may report usage."""
    return [
        DutyLeasePart(DutyLeaseSettings(), REPORT_DUTY, own, random),
        UsagePart(SETTINGS, own, 1, NoPeers(), random),
    ]


def submit_usage(bench: Bench, name: str, action: Action) -> Event | None:
    """Report to the platform as the transport does: never after the deadline."""
    assert isinstance(action, SubmitUsage)
    window = action.window
    if bench.now_s * bench.entries[name].rate >= action.not_after_s:
        return UsageReportResponded(window.window_id, None)
    holder = bench.platform.store.read(f'duty/{DOMAIN}/{REPORT_DUTY}')
    assert window.fence == holder.revision, 'reported by one who lost the duty'
    raw = cattrs.structure(cattrs.unstructure(window), UsageWindow)
    bench.platform.report_usage(raw, bench.now_s)
    return UsageReportResponded(window.window_id, accepted=True)


def make_delivery(tokens: int, requests: int = 0) -> UsageDelivered:
    """Return a notice of tokens delivered to a caller."""
    return UsageDelivered(
        RequestId('request'),
        OrganisationId('kiosk'),
        ServiceName('assistant'),
        requests=requests,
        output_tokens=tokens,
    )


def sum_reported(platform: PlatformModel) -> Counter[str]:
    """Sum the windows that the platform received, each window once."""
    windows: dict[str, UsageWindow] = {}
    for one in platform.record.usage:
        known = windows.setdefault(one.window.window_id, one.window)
        assert known.figures == one.window.figures, one.window.window_id
    sums: Counter[str] = Counter()
    for window in windows.values():
        for figure in window.figures:
            sums['requests'] += figure['requests']
            sums['tokens'] += figure['output_tokens']
    return sums


def start(bench: Bench) -> None:
    """Start both entries and run until the first one holds the duty."""
    bench.perform = submit_usage
    bench.performed = (SubmitUsage,)
    for entry in bench.entries.values():
        entry.take(Started(wall_s=600), bench.now_s)
    bench.announce_peers()
    bench.run_without_faults(4, (FIRST,))


def add_usage(bench: Bench, name: str, tokens: int) -> None:
    bench.entries[name].take(make_delivery(tokens), bench.now_s)


class WindowTest(testtools.TestCase):
    def test_two_reporters_in_all_interleavings_at_a_close(self) -> None:
        """A reporter is paused at any step between closing and reporting.

        Another one takes over while more usage arrives. If both reported
        their own figures, an organisation would be billed twice.
        """
        for wait_s in (65.1, 65.4):
            bench = Bench(make_parts)
            start(bench)
            add_usage(bench, FIRST, 7)
            bench.run_without_faults(wait_s, (FIRST,))
            add_usage(bench, SECOND, 5)
            moves = fault_moves(FIRST, SECOND, 3.4)
            states = explore(bench, moves, 5, _check_total)
            self.assertGreater(states, 200)

    def test_a_holder_that_stops_after_each_of_its_calls(self) -> None:
        """A reporter stops at any of its calls, for good or temporarily.

        Its successor must report the windows that it closed with the same
        figures, and the total must match what callers received.
        """
        for calls in range(14):
            for resumption in ('never', 'with an answer', 'before its call'):
                bench = Bench(make_parts)
                start(bench)
                add_usage(bench, FIRST, 7)
                add_usage(bench, SECOND, 5)
                bench.run_without_faults(64.9, (FIRST,))
                for _ in range(calls):
                    if not bench.answer(FIRST):
                        bench.tick(0.1, (FIRST,))
                if resumption == 'with an answer':
                    bench.withhold(FIRST)
                bench.run_without_faults(bench.now_s + 30, (SECOND,))
                if resumption == 'with an answer':
                    bench.resume(FIRST)
                if resumption == 'before its call':
                    bench.answer(FIRST)
                running = (SECOND,) if resumption == 'never' else NAMES
                bench.run_without_faults(200, running)
                _check_total(bench, (str(calls),))
                self.assertEqual(12, sum_reported(bench.platform)['tokens'])

    def test_a_late_close_at_each_step_of_the_successor(self) -> None:
        """A reporter's write of a window is delayed by the network.

        It reaches the store at any step of its successor's close. Two windows
        for the same usage would bill it twice.
        """
        for steps in range(12):
            bench = Bench(make_parts)
            start(bench)
            add_usage(bench, FIRST, 7)
            bench.run_without_faults(62, NAMES)
            while not _is_closing(bench, FIRST):
                bench.tick(0.1, (FIRST,))
                while not _is_closing(bench, FIRST) and bench.answer(FIRST):
                    continue
            add_usage(bench, SECOND, 5)
            while bench.entries[SECOND].believed_fence(REPORT_DUTY, 0) is None:
                bench.tick(0.1, (SECOND,))
                bench.answer(SECOND)
            for _ in range(steps):
                bench.answer(SECOND)
            bench.answer(FIRST)
            bench.run_without_faults(200, NAMES)
            self.assertEqual(12, sum_reported(bench.platform)['tokens'])

    def test_a_store_outage_across_the_end_of_a_window(self) -> None:
        """The store is down when a window ends, and then loses answers.

        The window must be closed later, and usage be billed once.
        """
        bench = Bench(make_parts)
        start(bench)
        add_usage(bench, FIRST, 7)
        bench.run_without_faults(50, NAMES)
        bench.platform.faults.outage = True
        add_usage(bench, FIRST, 5)
        bench.run_without_faults(150, NAMES)
        add_usage(bench, SECOND, 3)
        bench.platform.faults.outage = False
        bench.platform.faults.lose_answers = 12
        bench.run_without_faults(320, NAMES)
        self.assertEqual(15, sum_reported(bench.platform)['tokens'])
        self.assertGreaterEqual(len(bench.platform.record.usage), 4)

    def test_late_usage_falls_into_the_next_window(self) -> None:
        """Usage of a window reaches the store after the window was closed.

        It must be billed in the next window, and the closed one not change.
        """
        bench = Bench(make_parts)
        start(bench)
        add_usage(bench, FIRST, 7)
        bench.run_without_faults(70, NAMES)
        self.assertEqual(7, sum_reported(bench.platform)['tokens'])
        add_usage(bench, SECOND, 5)
        bench.run_without_faults(130, NAMES)
        self.assertEqual(12, sum_reported(bench.platform)['tokens'])

    def test_a_leaving_entry_waits_a_limited_time_to_save(self) -> None:
        """An entry leaves while the store is down.

        It must wait for the store to save its usage, but not so long that it
        delays its replacement indefinitely.
        """
        bench = Bench(make_parts)
        start(bench)
        add_usage(bench, FIRST, 7)
        bench.platform.faults.outage = True
        bench.entries[FIRST].take(Leaving(), bench.now_s)
        usage = bench.entries[FIRST].parts[1]
        assert isinstance(usage, UsagePart)
        self.assertEqual(1, usage.unsaved_count)
        bench.run_without_faults(bench.now_s + 11, (FIRST,))
        self.assertEqual(0, usage.unsaved_count)


def _is_closing(bench: Bench, name: str) -> bool:
    waiting = bench.entries[name].waiting
    return any(
        isinstance(action, StorePut) and action.key.startswith('usage/window')
        for action in waiting
    )


def _check_total(bench: Bench, path: tuple[str, ...]) -> None:
    total = sum_reported(bench.platform)['tokens']
    assert total <= 12, (total, path)


def count_received_tokens(simulation: NodeSimulation) -> int:
    """Return the number of tokens that callers received."""
    return sum(len(call.tokens) for call in simulation.calls.values())


class CrashTest(testtools.TestCase):
    def test_reports_match_received_tokens_after_kills(self) -> None:
        """An entry with unsaved usage and the reporter are killed.

        A peer must save the usage and another entry report it, all within
        the billed total.
        """
        simulation, names = small_fleet(3, entries=6, engines=2)
        call_all(simulation, names, 1)
        simulation.run(44)
        call_all(simulation, names, 2)
        simulation.run(45.6)
        reporter = holder_of(simulation, REPORT_DUTY)
        owner = next(name for name in names if name != reporter)
        simulation.kill(owner)
        simulation.kill(reporter)
        simulation.run(190)
        self.assertGreater(count_received_tokens(simulation), 200)
        self.assertEqual(
            count_received_tokens(simulation),
            sum_reported(simulation.platform)['tokens'],
        )
        self.assertEqual(
            len(simulation.calls), sum_reported(simulation.platform)['requests']
        )

    def test_loss_is_bounded_when_owner_and_both_peers_are_killed(self) -> None:
        """An entry and both peers that hold its copies are killed at once.

        At most the usage since its last save may be lost, and nothing may be
        billed twice.
        """
        simulation, names = small_fleet(4, entries=6, engines=2)
        call_all(simulation, names, 1)
        simulation.run(50)
        saved_tokens = count_received_tokens(simulation)
        call_all(simulation, names, 2)
        simulation.run(50.9)
        owner = names[0]
        usage = simulation._members[owner].node.usage  # type: ignore[attr-defined]
        for name in (owner, *usage._counter._copy_holders):
            simulation.kill(name)
        simulation.run(190)
        self.assertEqual(2, len(usage._counter._copy_holders))
        total = sum_reported(simulation.platform)['tokens']
        self.assertGreaterEqual(total, saved_tokens)
        self.assertLessEqual(total, count_received_tokens(simulation))

    def test_a_paused_owner_is_not_counted_twice(self) -> None:
        """An entry is paused for half a minute and its links end.

        Peers save its counts meanwhile. When it resumes and saves them
        itself, nothing may be billed twice.
        """
        simulation, names = small_fleet(5, entries=6, engines=2)
        call_all(simulation, names, 1)
        simulation.run(41.5)
        simulation.pause(names[0])
        simulation.run(70)
        simulation.resume(names[0])
        simulation.run(75)
        call_all(simulation, names, 2)
        simulation.run(200)
        self.assertEqual(
            count_received_tokens(simulation),
            sum_reported(simulation.platform)['tokens'],
        )

    def test_a_shutdown_saves_what_was_counted(self) -> None:
        """An entry is shut down just after it has answered.

        Its counts must be in the store before it stops.
        """
        simulation, names = small_fleet(6, entries=6, engines=2)
        call_all(simulation, names, 1)
        simulation.run(40.5)
        simulation.deliver(names[0], ShutdownRequested())
        simulation.run(46)
        simulation.kill(names[0])
        simulation.run(140)
        self.assertEqual(
            count_received_tokens(simulation),
            sum_reported(simulation.platform)['tokens'],
        )
