"""What may be said of a call that was sent to targets."""

import testtools

from dandelionyoke_dispatch import Attempts, Cause, Refusal


class AttemptsTest(testtools.TestCase):
    def test_a_call_that_was_never_sent_did_not_run(self) -> None:
        self.assertFalse(Attempts(1).may_have_run)

    def test_a_send_without_an_answer_may_have_run(self) -> None:
        """A target falls silent after it got a confirmation.

        Told "not run", the caller would send it again, and a customer would
        be charged twice.
        """
        attempts = Attempts(2)
        attempts.sent('i-1')
        self.assertTrue(attempts.may_have_run)
        self.assertFalse(attempts.may_run_again(is_repeatable=False))
        self.assertEqual(502, Refusal(Cause.BROKEN).status(True))

    def test_a_target_that_refused_did_not_run_it(self) -> None:
        attempts = Attempts(1)
        attempts.sent('i-1')
        attempts.refused()
        self.assertFalse(attempts.may_have_run)
        self.assertTrue(attempts.may_run_again(is_repeatable=False))
        self.assertEqual(503, Refusal(Cause.NO_RETRY).status(False))

    def test_one_refusal_does_not_clear_an_earlier_send(self) -> None:
        attempts = Attempts(2)
        attempts.sent('i-1')
        attempts.sent('i-2')
        attempts.refused()
        self.assertTrue(attempts.may_have_run)

    def test_a_repeatable_call_runs_at_no_more_targets_than_allowed(
        self,
    ) -> None:
        attempts = Attempts(2)
        attempts.sent('i-1')
        self.assertTrue(attempts.may_run_again(is_repeatable=True))
        attempts.sent('i-2')
        self.assertFalse(attempts.may_run_again(is_repeatable=True))
