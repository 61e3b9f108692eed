"""The soak's own checks see what they are there for."""

import attrs
import testtools

from tests.soak.faults import plan_faults
from tests.soak.promises import EVENTS, body_of, event_of, find_broken
from tests.soak.record import (
    ASK,
    CONFIRM,
    CallerCall,
    Run,
    SoakRecord,
    Span,
    UsageReport,
)


def confirmed(**changes: object) -> CallerCall:
    call = CallerCall(
        'c.1',
        CONFIRM,
        'acme',
        'n-1',
        100.0,
        100.1,
        200,
        'c.1',
        is_signed=True,
        body=body_of('c.1'),
        is_whole=True,
    )
    for name, value in changes.items():
        setattr(call, name, value)
    return call


RUN = Run('c.1', 'i-1', 'acme', had_key=False, at_s=100.05)
REPORT = UsageReport(110.0, 'n-1', 5, 20, (('acme', 1),))


class PromisesTest(testtools.TestCase):
    def rules(self, record: SoakRecord) -> list[str]:
        return [text.split(' ')[0] for text in find_broken(record)]

    def test_a_sound_call_breaks_nothing(self) -> None:
        record = SoakRecord([confirmed()], [RUN], usage=[REPORT])
        self.assertEqual([], find_broken(record))

    def test_a_second_run_is_seen(self) -> None:
        record = SoakRecord([confirmed()], [RUN, RUN])
        self.assertEqual(['TWICE'], self.rules(record))

    def test_an_untrue_refusal_is_seen(self) -> None:
        record = SoakRecord([confirmed(status=503)], [RUN])
        self.assertEqual(['REFUSED'], self.rules(record))

    def test_another_callers_answer_is_seen(self) -> None:
        call = confirmed(attempt_told='c.2', body=body_of('c.2'))
        self.assertEqual(
            ['MIXED', 'MIXED'], self.rules(SoakRecord([call], [RUN]))
        )

    def test_a_missing_event_is_seen(self) -> None:
        body = b''.join(event_of('c.1', one) for one in range(2, EVENTS + 1))
        call = confirmed(path=ASK, body=body)
        self.assertEqual(['ORDER'], self.rules(SoakRecord([call], [RUN])))

    def test_a_run_for_another_organisation_is_seen(self) -> None:
        run = attrs.evolve(RUN, organisation='beta')
        record = SoakRecord([confirmed()], [run])
        self.assertEqual(['UNASKED'], self.rules(record))

    def test_a_key_that_works_after_its_withdrawal_is_seen(self) -> None:
        record = SoakRecord([confirmed()], [RUN])
        record.withdrawn['acme'] = (94.9, 200.0)
        self.assertEqual(['CONFIG'], self.rules(record))

    def test_a_key_refused_for_no_reason_is_seen(self) -> None:
        record = SoakRecord([confirmed(status=401)], [])
        self.assertEqual(['DENIED'], self.rules(record))

    def test_a_call_without_an_answer_is_seen_unless_its_node_stood(
        self,
    ) -> None:
        call = confirmed(status=None, is_whole=False, ended_s=106.0)
        record = SoakRecord([call], [RUN])
        self.assertEqual(['CONFIG'], self.rules(record))
        record.spans.append(Span('pause', 'n-1', 101.0, 104.0))
        self.assertEqual([], self.rules(record))

    def test_work_for_a_target_that_left_is_seen(self) -> None:
        record = SoakRecord([confirmed()], [RUN])
        record.leaving['i-1'] = 97.9
        self.assertEqual(['DRAIN'], self.rules(record))

    def test_two_figures_for_a_window_are_seen(self) -> None:
        other = attrs.evolve(REPORT, counts=(('acme', 0),))
        record = SoakRecord([confirmed()], [RUN], usage=[REPORT, other])
        self.assertEqual(['ONE'], self.rules(record))

    def test_a_call_that_is_billed_twice_is_seen(self) -> None:
        other = attrs.evolve(REPORT, window_id=21)
        record = SoakRecord([confirmed()], [RUN], usage=[REPORT, other])
        self.assertEqual(['USAGE'], self.rules(record))

    def test_a_fence_that_goes_back_is_seen(self) -> None:
        other = attrs.evolve(
            REPORT, window_id=21, fence=4, holder='n-2', counts=()
        )
        record = SoakRecord([confirmed()], [RUN], usage=[REPORT, other])
        self.assertEqual(['ONE'], self.rules(record))

    def test_a_node_that_serves_nobody_afterwards_is_seen(self) -> None:
        record = SoakRecord(unrecovered=['n-1'])
        self.assertEqual(['RECOVER'], self.rules(record))

    def test_a_seed_gives_the_same_faults(self) -> None:
        self.assertEqual(plan_faults(7, 20.0), plan_faults(7, 20.0))
        self.assertNotEqual(plan_faults(7, 20.0), plan_faults(8, 20.0))
