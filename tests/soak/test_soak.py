"""A short soak of real processes with a fixed seed."""

import tempfile

import testtools

from tests.soak.soak import run_soak

SECONDS = 8.0


class SoakTest(testtools.TestCase):
    def test_a_short_soak_keeps_the_guarantees(self) -> None:
        """Kill, pause and disconnect nodes while callers send calls.

        The soak detects a confirmation that ran twice, a refusal of a call
        that ran, an answer to another call, a damaged stream, and a node
        that does not recover.
        """
        with tempfile.TemporaryDirectory() as folder:
            result = run_soak(1, SECONDS, folder)
        self.assertEqual([], result.violations)
        self.assertGreater(result.served_calls, 0)
