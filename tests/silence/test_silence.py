"""A short run of standstills with a fixed seed."""

import tempfile

import testtools

from tests.silence.run import RunSettings, run_silence

SECONDS = 8.0
MIN_WHOLE_ANSWERS = 100


class SilenceTest(testtools.TestCase):
    def test_no_answer_is_lost_when_engines_and_nodes_stand_still(self) -> None:
        """Stop engines and nodes, and starve nodes, beside configurations.

        The run detects an accepted request whose connection closes without a
        whole answer or a truthful refusal, and a call that ran twice.
        """
        with tempfile.TemporaryDirectory() as folder:
            result = run_silence(RunSettings(1, 'both', SECONDS), folder)
        self.assertEqual([], result.violations)
        self.assertGreater(result.outcomes['whole'], MIN_WHOLE_ANSWERS)
