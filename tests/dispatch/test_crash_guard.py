"""Refusal of calls that crash the targets running them."""

import itertools
from collections.abc import Iterable

import testtools

from dandelionyoke_dispatch import (
    Call,
    CrashGuard,
    CrashKeys,
    CrashReport,
    CrashSettings,
    CrashVerdict,
    Prompt,
    PromptPart,
    UntoldAnswers,
    crash_keys,
    fingerprint,
)

SENT = CrashVerdict()


def calls_with(*parts: str, number: int = 0) -> CrashKeys:
    """Return the keys of a call, which no other call has all of."""
    return CrashKeys(f'call {number}', parts)


class GuardTestCase(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.guard = CrashGuard(CrashSettings(max_crashes=8))
        self.crash_count = 0

    def crash(
        self,
        now_s: float,
        *broken: CrashKeys,
        target: str = '',
        reporter: str = 'n-1',
    ) -> list[str]:
        """Report the crash of a target under some calls; return the blamed."""
        self.crash_count += 1
        report = CrashReport(
            target or f'i-{self.crash_count}',
            reporter,
            0.0,
            tuple(key for call in broken for key in call.all),
        )
        findings = self.guard.take_report(report, now_s)
        return [key.key for key in findings.blamed]

    def is_sent(self, call: CrashKeys, now_s: float) -> bool:
        return self.guard.admit(call, now_s, lambda key: False) == SENT


class FingerprintTest(GuardTestCase):
    def test_a_call_is_refused_after_three_crashed_targets(self) -> None:
        call, other = calls_with(number=1), calls_with(number=2)
        for number in range(3):
            self.assertTrue(self.is_sent(call, number))
            self.crash(number, call)
        self.assertFalse(self.is_sent(call, 3))
        self.assertTrue(self.is_sent(other, 3))

    def test_a_crash_reported_by_many_nodes_counts_once(self) -> None:
        """A call is in flight at a target that crashes for another reason.

        If the crash were counted once for each node that reports it, a harmless
        call would be refused.
        """
        call = calls_with()
        for number in range(9):
            self.crash(number, call, target='i-1', reporter=f'n-{number}')
        self.assertTrue(self.is_sent(call, 9))

    def test_crashes_expire(self) -> None:
        call = calls_with()
        for now_s in (0, 1, 61):
            self.crash(now_s, call)
        self.assertTrue(self.is_sent(call, 61))

    def test_the_oldest_crashes_are_evicted(self) -> None:
        call = calls_with(number=1)
        for _ in range(2):
            self.crash(0, call)
        for number in range(8):
            self.crash(1, calls_with(number=10 + number))
        self.crash(2, call)
        self.assertTrue(self.is_sent(call, 2))

    def test_a_fingerprint_depends_on_caller_path_and_body(self) -> None:
        fingerprints = {
            fingerprint('acme', '/a', b'x'),
            fingerprint('acme', '/a', b'y'),
            fingerprint('acme', '/b', b'x'),
            fingerprint('other', '/a', b'x'),
            fingerprint(None, 'acme/a', b'x'),
        }
        self.assertEqual(5, len(fingerprints))


class PartKeyTest(testtools.TestCase):
    def test_the_last_part_is_no_key(self) -> None:
        """Guards against a private part that stands for its call."""
        self.assertEqual(2, len(self.parts('a', 'b', 'own')))
        self.assertEqual(0, len(self.parts('own')))
        self.assertEqual(0, len(self.parts()))

    def test_a_part_is_the_same_for_all_callers(self) -> None:
        """Guards against a part that each organisation has to find out."""
        self.assertEqual(
            self.parts('a', 'own1', organisation='acme'),
            self.parts('a', 'own2', organisation='other'),
        )
        self.assertNotEqual(
            self.parts('a', 'own'), self.parts('a', 'own', service='lm2')
        )

    def test_a_long_list_of_parts_is_cut(self) -> None:
        """Guards against memory that a caller's prompt decides on."""
        names = [f'p{number}' for number in range(5000)]
        self.assertEqual(16, len(self.parts(*names)))

    def parts(
        self, *names: str, organisation: str = 'acme', service: str = 'lm'
    ) -> tuple[str, ...]:
        prompt = Prompt(
            'm', 900, 20, tuple(PromptPart(name, 300) for name in names)
        )
        call = Call('a1', 'POST', 'shop.example', '/ask/1', prompt=prompt)
        return crash_keys(call, organisation, service, b'body').parts


class PartTest(GuardTestCase):
    """A part that crashes targets, beside a first part of sound calls."""

    def test_a_part_is_refused_after_three_targets(self) -> None:
        """Guards against calls that are all different and crash all engines."""
        for number in range(3):
            call = calls_with('first', 'dead', number=number)
            self.guard.record_answer(calls_with('first'), number - 1.5)
            self.crash(number, call)
        self.assertFalse(self.is_sent(calls_with('other', 'dead'), 3))
        self.assertTrue(self.is_sent(calls_with('first', 'sound'), 3))

    def test_a_victim_in_each_crash_is_not_blamed(self) -> None:
        """Guards against a popular part that is refused for another one."""
        self.guard.record_answer(calls_with('popular'), -5)
        for number in range(20):
            self.crash(
                0.2 * number,
                calls_with('first', 'dead', number=number),
                calls_with('popular', number=100 + number),
            )
        self.assertTrue(self.is_sent(calls_with('popular'), 5))
        self.assertFalse(self.is_sent(calls_with('first', 'dead'), 5))

    def test_an_answer_takes_back_the_crashes_before_it(self) -> None:
        """Guards against a sound part that died with three engines."""
        for number in range(2):
            self.crash(number, calls_with('rare', number=number))
        self.guard.record_answer(calls_with('rare'), 1.5)
        self.crash(2, calls_with('rare', number=3))
        self.assertTrue(self.is_sent(calls_with('rare'), 3))

    def test_targets_that_crash_at_once_blame_no_proven_part(self) -> None:
        """Guards against a rack that fails and a popular part in all calls."""
        self.guard.record_answer(calls_with('popular'), -5)
        for number in range(8):
            blamed = self.crash(
                0.1 * number, calls_with('popular', number=number)
            )
            self.assertEqual([], blamed)

    def test_a_part_that_was_sound_before_is_refused(self) -> None:
        """Guards against a part that is trusted for what it was."""
        self.guard.record_answer(calls_with('dead'), -5)
        for number in range(5):
            self.crash(0.5 * number, calls_with('dead', number=number))
        self.assertFalse(self.is_sent(calls_with('dead'), 3))

    def test_a_call_of_two_crashes_is_not_repeated(self) -> None:
        """Guards against a repeat that takes another engine with it."""
        call = calls_with('first', 'dead')
        self.assertTrue(self.guard.may_repeat(call, 0))
        for number in range(2):
            self.crash(number, calls_with('first', 'dead', number=number))
        self.assertFalse(self.guard.may_repeat(call, 2))
        self.assertTrue(self.guard.may_repeat(calls_with('sound'), 2))

    def test_two_parts_are_refused_one_after_the_other(self) -> None:
        """Guards against a second part that hides behind the first."""
        for number in range(3):
            self.crash(number, calls_with('dead', number=number))
        for number in range(3, 6):
            self.crash(number, calls_with('worse', number=number))
        for part in ('dead', 'worse'):
            self.assertFalse(self.is_sent(calls_with(part), 6))


class OrderTest(testtools.TestCase):
    """Nodes that hear of the same crashes in another order."""

    def setUp(self) -> None:
        super().setUp()
        self.dead = CrashKeys('dead', ('first', 'middle'))
        self.beside = CrashKeys('beside', ('other', 'another'))
        # Both calls were sent again together, each by its own node.
        self.reports = [
            CrashReport(f'i-{number}', f'{node}.{number}', 0.0, call.all)
            for number in range(3)
            for node, call in (('n-1', self.dead), ('n-2', self.beside))
        ]

    def hear(self, reports: Iterable[CrashReport]) -> CrashGuard:
        guard = CrashGuard(CrashSettings())
        for report in reports:
            guard.take_report(report, 1.0)
        return guard

    def refused(self, guard: CrashGuard) -> set[str]:
        return {
            call.fingerprint
            for call in (self.dead, self.beside)
            if guard.admit(call, 1.5, lambda key: False) != SENT
        }

    def test_nodes_refuse_the_same_calls_in_any_order(self) -> None:
        """Guards against nodes that blame the call that they hear of first."""
        refused = [
            self.refused(self.hear(order))
            for order in itertools.permutations(self.reports)
        ]
        self.assertEqual([refused[0]] * len(refused), refused)

    def test_a_call_in_the_same_crashes_is_refused_too(self) -> None:
        """Guards against a call that goes on behind one that was blamed."""
        guard = self.hear(self.reports)
        self.assertEqual({'dead', 'beside'}, self.refused(guard))

    def test_a_call_of_fewer_crashes_is_served_again(self) -> None:
        """Guards against a verdict that later reports don't revise."""
        late = CrashReport('i-3', 'n-1.3', 0.0, self.dead.all)
        for order in itertools.permutations([*self.reports, late], 7):
            if order[-1] is late:
                self.assertEqual({'dead'}, self.refused(self.hear(order)))

    def test_another_crash_ends_what_a_refused_call_explains(self) -> None:
        """Guards against three more engines for a call beside a refused one.

        Here the call that crashes engines is in fewer crashes at first.
        """
        beside = [
            CrashReport(f'i-{number}', f'n-3.{number}', 0.0, ('beside',))
            for number in range(7, 9)
        ]
        guard = self.hear([*self.reports, *beside])
        self.assertEqual({'beside'}, self.refused(guard))
        guard.take_report(CrashReport('i-9', 'n-1.9', 0.0, ('dead',)), 1.0)
        self.assertEqual({'dead', 'beside'}, self.refused(guard))


class DisprovedCrashTest(GuardTestCase):
    """Targets that answer after a node has reported their crash."""

    def setUp(self) -> None:
        super().setUp()
        for number in range(3):
            self.crash(number, calls_with('rare', number=number))
        self.call = calls_with('rare', number=9)

    def test_an_answer_of_a_target_disproves_its_crash(self) -> None:
        """Guards against a path that is cut and taken for crashes."""
        self.assertFalse(self.is_sent(self.call, 3))
        self.assertTrue(self.guard.disprove_crash('i-2', 3.5))
        self.assertTrue(self.is_sent(self.call, 4))

    def test_an_answer_that_began_before_disproves_nothing(self) -> None:
        """Guards against a late answer of a target that has crashed."""
        self.assertFalse(self.guard.disprove_crash('i-2', 0.9))
        self.assertFalse(self.guard.disprove_crash('i-9', 3.5))
        self.assertFalse(self.is_sent(self.call, 4))

    def test_other_crashes_go_on_to_count(self) -> None:
        self.crash(3, calls_with('rare', number=4))
        self.guard.disprove_crash('i-2', 3.5)
        self.assertFalse(self.is_sent(self.call, 4))

    def test_another_node_hears_of_it(self) -> None:
        """Guards against a node that is cut off and blames sound calls."""
        report = CrashReport('', 'n-2.1', 0.5, alive='i-2')
        self.guard.take_report(report, 4)
        self.assertTrue(self.is_sent(self.call, 4))


class QuarantineTest(GuardTestCase):
    def setUp(self) -> None:
        super().setUp()
        for number in range(3):
            self.crash(number, calls_with('dead', number=number))
        self.call = calls_with('dead', number=9)

    def admit(self, now_s: float, *, may_try: bool = True) -> CrashVerdict:
        return self.guard.admit(self.call, now_s, lambda key: may_try)

    def test_a_refusal_names_the_time_that_is_left(self) -> None:
        verdict = self.admit(32)
        self.assertAlmostEqual(30, verdict.refused_s or 0)

    def test_one_node_tries_one_call(self) -> None:
        """Guards against a trial at each node, each of which costs an engine."""
        self.assertFalse(self.admit(63, may_try=False).is_trial)
        self.assertIsNotNone(self.admit(63, may_try=False).refused_s)
        self.assertTrue(self.admit(63).is_trial)
        self.assertIsNotNone(self.admit(64).refused_s)

    def test_a_call_with_another_refused_key_is_not_tried(self) -> None:
        """Guards against a trial of one key that tells of another one."""
        both = calls_with('dead', 'worse', number=9)
        for number in range(3):
            self.crash(30 + number, calls_with('worse', number=20 + number))
        verdict = self.guard.admit(both, 63, lambda key: True)
        self.assertAlmostEqual(29, verdict.refused_s or 0)
        self.assertTrue(self.admit(63).is_trial)

    def test_an_answer_ends_it(self) -> None:
        """Guards against a part that was mended and stays refused."""
        self.assertTrue(self.admit(63).is_trial)
        findings = self.guard.record_answer(self.call, 63.1)
        self.assertEqual(('dead',), findings.cleared)
        self.assertEqual(SENT, self.admit(64.2))

    def test_an_answer_that_began_before_ends_nothing(self) -> None:
        """Guards against a late answer that speaks for what came after it."""
        for now_s in (3, 4):
            self.crash(now_s, self.call)
        findings = self.guard.record_answer(self.call, -0.1)
        self.assertEqual((), findings.cleared)
        self.assertIsNotNone(self.admit(5).refused_s)

    def test_a_late_answer_counts_like_one_in_time(self) -> None:
        """Guards against a verdict that depends on who heard first."""
        for begun_s in (-0.1, 0.5, 1.9):
            late, timely = (
                CrashGuard(CrashSettings()),
                CrashGuard(CrashSettings()),
            )
            timely.record_answer(self.call, begun_s)
            for report in self.guard.reports_since(0, 2):
                late.take_report(report, 2)
                timely.take_report(report, 2)
            late.record_answer(self.call, begun_s)
            self.assertEqual(
                timely.admit(self.call, 3, lambda key: False),
                late.admit(self.call, 3, lambda key: False),
            )

    def test_a_trial_that_crashes_a_target_doubles_it(self) -> None:
        """Guards against an engine lost each minute."""
        self.assertTrue(self.admit(63).is_trial)
        self.crash(63.2, self.call)
        self.assertIsNotNone(self.admit(180).refused_s)
        self.assertTrue(self.admit(184).is_trial)

    def test_another_node_hears_what_ended_it(self) -> None:
        """Guards against nodes that go on refusing what one has cleared."""
        other = CrashGuard(CrashSettings())
        for report in self.guard.reports_since(0, 2):
            other.take_report(report, 2)
        self.assertNotEqual(SENT, other.admit(self.call, 3, lambda key: True))
        self.guard.record_answer(self.call, 63.1)
        answers = self.guard.answers_to(('dead',), 64)
        other.take_report(CrashReport('', 'n-1.4', 0.0, (), answers), 64)
        self.assertEqual(SENT, other.admit(self.call, 64, lambda key: False))


class UntoldTest(GuardTestCase):
    """Answers of a node that the others need to reach its verdicts."""

    def setUp(self) -> None:
        super().setUp()
        self.guard.record_answer(calls_with('popular'), -1)
        self.other = CrashGuard(CrashSettings())
        self.call = calls_with('popular', number=9)

    def crash_targets(self, *reports: CrashReport) -> None:
        for report in reports:
            self.guard.take_report(report, 1)
            self.other.take_report(report, 1)

    def is_sent_elsewhere(self) -> bool:
        return self.other.admit(self.call, 2, lambda key: False) == SENT

    def test_an_answer_is_told_where_a_key_is_blamed_without_it(self) -> None:
        """Guards against a popular part that some nodes refuse."""
        self.crash_targets(
            *(
                CrashReport(f'i-{number}', f'n-2.{number}', 0.0, ('popular',))
                for number in range(3)
            )
        )
        self.assertTrue(self.is_sent(self.call, 2))
        self.assertFalse(self.is_sent_elsewhere())
        untold = self.guard.take_untold(2)
        self.assertEqual(('popular',), untold.keys)
        answers = self.guard.answers_to(untold.keys, 2)
        report = CrashReport('', 'n-1.1', 0.0, (), answers)
        self.guard.take_report(report, 2)
        self.other.take_report(report, 2)
        self.assertTrue(self.is_sent_elsewhere())
        # Once, and not again by a node that has heard of it.
        self.crash_targets(CrashReport('i-9', 'n-2.9', 0.0, ('popular',)))
        self.assertEqual(UntoldAnswers(), self.guard.take_untold(3))

    def test_a_target_that_answered_is_told(self) -> None:
        """Guards against a late report of a crash that was a cut path."""
        self.guard.disprove_crash('i-1', 0.9)
        self.crash_targets(CrashReport('i-1', 'n-2.1', 0.5, ('rare',)))
        self.assertEqual(('i-1',), self.guard.take_untold(1).targets)
        self.assertEqual(UntoldAnswers(), self.guard.take_untold(2))


class ReportTest(GuardTestCase):
    def test_reports_after_a_mark_are_given_once(self) -> None:
        for number in range(3):
            self.crash(number, calls_with('dead', number=number))
        self.assertEqual(3, len(self.guard.reports_since(0, 3)))
        self.assertEqual(1, len(self.guard.reports_since(2, 3)))
        self.assertEqual(0, len(self.guard.reports_since(3, 3)))

    def test_a_known_report_is_not_passed_on_again(self) -> None:
        """Guards against reports that nodes tell each other for ever."""
        for _ in range(3):
            self.crash(1, calls_with('dead'), target='i-1')
        self.assertEqual(1, self.guard.report_count)

    def test_reports_grow_older_on_their_way(self) -> None:
        self.guard.record_answer(calls_with('first'), 0.0)
        answers = self.guard.answers_to(('first',), 1)
        report = CrashReport('i-1', 'n-1', 0.0, ('first',), answers)
        self.guard.take_report(report, 1)
        (passed_on,) = self.guard.reports_since(0, 5)
        self.assertAlmostEqual(4, passed_on.age_s)
        self.assertAlmostEqual(5, passed_on.answers[0].age_s)
