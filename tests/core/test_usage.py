"""What callers received is reported once, whoever dies."""

from collections import Counter
from random import Random

import cattrs
import testtools

from dandelionyoke_core import (
    REPORT_DUTY,
    Action,
    AuthorityPart,
    AuthoritySettings,
    CallDelivered,
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
    UsageAnswered,
    UsagePart,
    UsageSettings,
)
from dandelionyoke_standins import PlatformModel, World
from dandelionyoke_standins._platform import UsageWindow
from tests.core.duty_bench import (
    DOMAIN,
    NAMES,
    Bench,
    call_all,
    explore,
    holder_of,
    small_fleet,
    trouble,
)

FIRST, SECOND = NAMES
WINDOW_S = 60.0
SETTINGS = UsageSettings(window_s=WINDOW_S)


class NoPeers:
    """An entry that knows nobody."""

    live = ()
    live_in_domain = ()


def make_parts(own: Instance, random: Random) -> list[Part]:
    """Make up an entry that counts and may report."""
    return [
        AuthorityPart(AuthoritySettings(), REPORT_DUTY, own, random),
        UsagePart(SETTINGS, own, 1, NoPeers(), random),
    ]


def submit(bench: Bench, name: str, action: Action) -> Event | None:
    """Report to the platform as the wire does: never too late."""
    assert isinstance(action, SubmitUsage)
    window = action.window
    if bench.now_s * bench.entries[name].rate >= action.not_after_s:
        return UsageAnswered(window.window_id, None)
    holder = bench.platform.store.read(f'duty/{DOMAIN}/{REPORT_DUTY}')
    assert window.fence == holder.revision, 'reported by one who lost the duty'
    raw = cattrs.structure(cattrs.unstructure(window), UsageWindow)
    bench.platform.report_usage(raw, bench.now_s)
    return UsageAnswered(window.window_id, accepted=True)


def delivered(tokens: int, requests: int = 0) -> CallDelivered:
    """Make up what reached a caller."""
    return CallDelivered(
        RequestId('request'),
        OrganisationId('kiosk'),
        ServiceName('assistant'),
        requests=requests,
        output_tokens=tokens,
    )


def reported(platform: PlatformModel) -> Counter[str]:
    """Add up the windows as the platform received them, each once."""
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
    """Start both entries; the first gets the duty and some usage."""
    bench.perform = submit
    bench.performed = (SubmitUsage,)
    for entry in bench.entries.values():
        entry.take(Started(wall_s=600), bench.now_s)
    bench.meet()
    bench.settle(4, (FIRST,))


def count(bench: Bench, name: str, tokens: int) -> None:
    bench.entries[name].take(delivered(tokens), bench.now_s)


class WindowTest(testtools.TestCase):
    def test_two_reporters_in_every_order_of_steps_at_a_close(self) -> None:
        """A reporter is paused anywhere between closing and reporting.

        Another one takes over while more usage comes in. If both reported
        their own figures, a customer would be billed twice for one window.
        """
        for wait_s in (65.1, 65.4):
            bench = Bench(make_parts)
            start(bench)
            count(bench, FIRST, 7)
            bench.settle(wait_s, (FIRST,))
            count(bench, SECOND, 5)
            moves = trouble(FIRST, SECOND, 3.4)
            states = explore(bench, moves, 5, _never_too_much)
            self.assertGreater(states, 200)

    def test_a_holder_stopped_after_each_of_its_calls(self) -> None:
        """The reporter stops at any one of its calls, for good or not.

        What it closed but did not report is reported by its successor with
        the same figures, and the bill is what callers received.
        """
        for calls in range(14):
            for returns in ('never', 'with an answer', 'before its call'):
                bench = Bench(make_parts)
                start(bench)
                count(bench, FIRST, 7)
                count(bench, SECOND, 5)
                bench.settle(64.9, (FIRST,))
                for _ in range(calls):
                    if not bench.answer(FIRST):
                        bench.tick(0.1, (FIRST,))
                if returns == 'with an answer':
                    bench.withhold(FIRST)
                bench.settle(bench.now_s + 30, (SECOND,))
                if returns == 'with an answer':
                    bench.resume(FIRST)
                if returns == 'before its call':
                    bench.answer(FIRST)
                running = (SECOND,) if returns == 'never' else NAMES
                bench.settle(200, running)
                _never_too_much(bench, (str(calls),))
                self.assertEqual(12, reported(bench.platform)['tokens'])

    def test_a_late_close_meets_every_step_of_the_successor(self) -> None:
        """The reporter's write of a window is held up on its way.

        It reaches the store at any moment of its successor's own closing.
        Two windows for the same usage would bill it twice.
        """
        for steps in range(12):
            bench = Bench(make_parts)
            start(bench)
            count(bench, FIRST, 7)
            bench.settle(62, NAMES)
            while not _is_closing(bench, FIRST):
                bench.tick(0.1, (FIRST,))
                while not _is_closing(bench, FIRST) and bench.answer(FIRST):
                    continue
            count(bench, SECOND, 5)
            while bench.entries[SECOND].believes(REPORT_DUTY, 0) is None:
                bench.tick(0.1, (SECOND,))
                bench.answer(SECOND)
            for _ in range(steps):
                bench.answer(SECOND)
            bench.answer(FIRST)
            bench.settle(200, NAMES)
            self.assertEqual(12, reported(bench.platform)['tokens'])

    def test_an_outage_across_a_windows_end_and_lost_answers(self) -> None:
        """The store is out when a window ends, and then loses answers.

        The window closes later; usage of the meantime is billed once.
        """
        bench = Bench(make_parts)
        start(bench)
        count(bench, FIRST, 7)
        bench.settle(50, NAMES)
        bench.platform.faults.outage = True
        count(bench, FIRST, 5)
        bench.settle(150, NAMES)
        count(bench, SECOND, 3)
        bench.platform.faults.outage = False
        bench.platform.faults.lose_answers = 12
        bench.settle(320, NAMES)
        self.assertEqual(15, reported(bench.platform)['tokens'])
        self.assertGreaterEqual(len(bench.platform.record.usage), 4)

    def test_late_usage_falls_into_the_next_window(self) -> None:
        """Usage of a window reaches the store after the window was closed.

        It is billed in the next one, and the closed one does not change.
        """
        bench = Bench(make_parts)
        start(bench)
        count(bench, FIRST, 7)
        bench.settle(70, NAMES)
        self.assertEqual(7, reported(bench.platform)['tokens'])
        count(bench, SECOND, 5)
        bench.settle(130, NAMES)
        self.assertEqual(12, reported(bench.platform)['tokens'])

    def test_a_leaving_entry_saves_its_counts_but_not_for_ever(self) -> None:
        """An entry leaves while the store is out.

        It waits for the store so that its usage is billed, but not so long
        that a replacement would never end.
        """
        bench = Bench(make_parts)
        start(bench)
        count(bench, FIRST, 7)
        bench.platform.faults.outage = True
        bench.entries[FIRST].take(Leaving(), bench.now_s)
        usage = bench.entries[FIRST].parts[1]
        assert isinstance(usage, UsagePart)
        self.assertEqual(1, usage.unsaved)
        bench.settle(bench.now_s + 11, (FIRST,))
        self.assertEqual(0, usage.unsaved)


def _is_closing(bench: Bench, name: str) -> bool:
    waiting = bench.entries[name].waiting
    return any(
        isinstance(action, StorePut) and action.key.startswith('usage/window')
        for action in waiting
    )


def _never_too_much(bench: Bench, path: tuple[str, ...]) -> None:
    total = reported(bench.platform)['tokens']
    assert total <= 12, (total, path)


def received(world: World) -> int:
    """Count the tokens that callers received."""
    return sum(len(call.tokens) for call in world.calls.values())


class KilledTest(testtools.TestCase):
    def test_reports_are_what_callers_received_after_kills(self) -> None:
        """An owner of usage and the reporter are killed in one window.

        What callers received before is billed all the same: a peer saves
        it, and another entry reports.
        """
        world, names = small_fleet(3, entries=6, engines=2)
        call_all(world, names, 1)
        world.run(44)
        call_all(world, names, 2)
        world.run(45.6)
        reporter = holder_of(world, REPORT_DUTY)
        owner = next(name for name in names if name != reporter)
        world.kill(owner)
        world.kill(reporter)
        world.run(190)
        self.assertGreater(received(world), 200)
        self.assertEqual(received(world), reported(world.platform)['tokens'])
        self.assertEqual(len(world.calls), reported(world.platform)['requests'])

    def test_loss_is_bounded_when_owner_and_both_peers_die(self) -> None:
        """An entry and both peers that hold its copies die at one moment.

        At most what it counted since its last write is not billed, and
        nothing is billed twice.
        """
        world, names = small_fleet(4, entries=6, engines=2)
        call_all(world, names, 1)
        world.run(50)
        sure = received(world)
        call_all(world, names, 2)
        world.run(50.9)
        owner = names[0]
        usage = world._members[owner].node.usage  # type: ignore[attr-defined]
        for name in (owner, *usage._counter._copy_holders):
            world.kill(name)
        world.run(190)
        self.assertEqual(2, len(usage._counter._copy_holders))
        total = reported(world.platform)['tokens']
        self.assertGreaterEqual(total, sure)
        self.assertLessEqual(total, received(world))

    def test_a_paused_owner_whose_copy_was_written_is_not_doubled(self) -> None:
        """An entry stops for half a minute and its links end.

        Peers save its counts meanwhile. When it goes on and saves them
        itself, nothing is billed twice.
        """
        world, names = small_fleet(5, entries=6, engines=2)
        call_all(world, names, 1)
        world.run(41.5)
        world.pause(names[0])
        world.run(70)
        world.resume(names[0])
        world.run(75)
        call_all(world, names, 2)
        world.run(200)
        self.assertEqual(received(world), reported(world.platform)['tokens'])

    def test_a_shutdown_saves_what_was_counted(self) -> None:
        """An entry is replaced just after it has answered.

        What it counted is in the store before it stops.
        """
        world, names = small_fleet(6, entries=6, engines=2)
        call_all(world, names, 1)
        world.run(40.5)
        world.send(names[0], ShutdownRequested())
        world.run(46)
        world.kill(names[0])
        world.run(140)
        self.assertEqual(received(world), reported(world.platform)['tokens'])
