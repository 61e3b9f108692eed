"""A short soak of real processes with a fixed seed."""

import pathlib
import tempfile

import testtools

from tests.soak.soak import keep_logs, run_soak

SEED = 1
# In seeds with an even number targets tell how slow they are.
BALANCED_SEED = 2
SECONDS = 8.0
LOGS = pathlib.Path(__file__).parents[2] / '.logs' / 'soak'


class SoakTest(testtools.TestCase):
    def test_a_short_soak_keeps_the_guarantees(self) -> None:
        """Kill, pause and disconnect nodes while callers send calls.

        The soak detects a confirmation that ran twice, a refusal of a call
        that ran, an answer to another call, a damaged stream, a lost answer,
        a node that does not recover, and a paced load that isn't served.
        """
        self.play(SEED)

    def test_a_short_soak_of_balanced_services_keeps_the_guarantees(
        self,
    ) -> None:
        """Guards the same where targets tell how slow they are."""
        self.play(BALANCED_SEED)

    def play(self, seed: int) -> None:
        with tempfile.TemporaryDirectory() as folder:
            result = run_soak(seed, SECONDS, folder)
            if result.violations:
                keep_logs(folder, LOGS / f'ci-{seed}')
        self.assertEqual([], result.violations, '\n'.join(result.notes))
        self.assertGreater(result.served_calls, 0)
