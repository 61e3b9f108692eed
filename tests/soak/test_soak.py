"""Short soaks of real processes, from fixed seeds."""

import tempfile

import testtools

from tests.soak.soak import play

SECONDS = 8.0


class SoakTest(testtools.TestCase):
    def test_a_short_soak_keeps_the_promises(self) -> None:
        """Nodes are killed, paused and cut off while callers go on.

        A caller would notice a doubled confirmation, a refusal that was not
        true, another one's answer, a torn stream, or a node that does not
        come back.
        """
        with tempfile.TemporaryDirectory() as folder:
            result = play(1, SECONDS, folder)
        self.assertEqual([], result.broken)
        self.assertGreater(result.served, 0)
