"""Attempts of a call and whether the call may have run."""

import testtools

from dandelionyoke_dispatch import Attempts, Cause, Refusal


class AttemptsTest(testtools.TestCase):
    def test_a_call_without_attempts_did_not_run(self) -> None:
        self.assertFalse(Attempts(1).may_have_run)

    def test_an_attempt_without_a_response_may_have_run(self) -> None:
        """A target stops responding after it received the call.

        If the call were reported as not run, the caller would retry it, and a
        customer would be charged twice.
        """
        attempts = Attempts(2)
        attempts.sent('i-1')
        self.assertTrue(attempts.may_have_run)
        self.assertFalse(attempts.may_run_again(is_repeatable=False))
        self.assertEqual(502, Refusal(Cause.BROKEN).status(True))

    def test_a_refused_attempt_did_not_run(self) -> None:
        attempts = Attempts(1)
        attempts.sent('i-1')
        attempts.refused()
        self.assertFalse(attempts.may_have_run)
        self.assertTrue(attempts.may_run_again(is_repeatable=False))
        self.assertEqual(503, Refusal(Cause.NO_RETRY).status(False))

    def test_a_refusal_does_not_clear_an_earlier_attempt(self) -> None:
        attempts = Attempts(2)
        attempts.sent('i-1')
        attempts.sent('i-2')
        attempts.refused()
        self.assertTrue(attempts.may_have_run)

    def test_a_repeatable_call_has_a_maximum_number_of_attempts(
        self,
    ) -> None:
        attempts = Attempts(2)
        attempts.sent('i-1')
        self.assertTrue(attempts.may_run_again(is_repeatable=True))
        attempts.sent('i-2')
        self.assertFalse(attempts.may_run_again(is_repeatable=True))


class RepeatTest(testtools.TestCase):
    """Which sends of a call are repeats."""

    def test_a_call_counts_as_sent_while_another_node_has_it(self) -> None:
        """Guards against two tries that each take their sends for the first."""
        attempts = Attempts(2)
        attempts.handed('n-2')
        self.assertTrue(attempts.is_sent)
        self.assertTrue(attempts.is_prefill_sent)

    def test_a_node_that_reports_no_send_leaves_the_first_one_free(
        self,
    ) -> None:
        attempts = Attempts(2)
        attempts.handed('n-2')
        attempts.handover_reported(is_sent=False, is_prefill_sent=False)
        self.assertFalse(attempts.is_sent)
        self.assertFalse(attempts.is_prefill_sent)

    def test_a_report_does_not_answer_for_another_node(self) -> None:
        """Guards against a second node that hides what the first may send."""
        attempts = Attempts(2)
        attempts.handed('n-2')
        attempts.handed('n-3')
        attempts.handover_reported(is_sent=False, is_prefill_sent=False)
        self.assertTrue(attempts.is_sent)

    def test_a_node_gets_all_attempts_but_one(self) -> None:
        """Guards against a call that runs at more targets than it may."""
        for max_attempts, granted, left in ((1, 1, 0), (2, 1, 1), (4, 3, 1)):
            attempts = Attempts(max_attempts)
            self.assertEqual(granted, attempts.handover_grant)
            attempts.handed('n-2', attempts.handover_grant)
            self.assertEqual(left, max_attempts - attempts.run_count)
