"""Calls that crash the targets which run them."""

import testtools

from dandelionyoke_dispatch import CrashGuard, CrashSettings, fingerprint


class CrashGuardTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.guard = CrashGuard(CrashSettings(targets=3, most_kept=2))

    def test_three_targets_are_enough(self) -> None:
        for number in range(3):
            self.assertFalse(self.guard.refuses('a', number))
            self.guard.crashed('a', f'i-{number}', number)
        self.assertTrue(self.guard.refuses('a', 3))
        self.assertFalse(self.guard.refuses('b', 3))

    def test_one_crash_told_by_many_nodes_counts_once(self) -> None:
        """A call is at a target that dies of something else.

        Each node that hears of it counts the same crash; were it counted
        again each time, an innocent caller would be turned away.
        """
        for number in range(9):
            self.guard.crashed('a', 'i-1', number)
        self.assertFalse(self.guard.refuses('a', 9))

    def test_crashes_are_forgotten_and_few_are_kept(self) -> None:
        for number in range(3):
            self.guard.crashed('a', f'i-{number}', 0)
        self.assertFalse(self.guard.refuses('a', 61))
        self.guard.crashed('b', 'i-1', 0)
        self.guard.crashed('c', 'i-1', 0)
        self.assertFalse(self.guard.refuses('a', 1))

    def test_a_fingerprint_tells_callers_paths_and_bodies_apart(self) -> None:
        names = {
            fingerprint('acme', '/a', b'x'),
            fingerprint('acme', '/a', b'y'),
            fingerprint('acme', '/b', b'x'),
            fingerprint('other', '/a', b'x'),
            fingerprint(None, 'acme/a', b'x'),
        }
        self.assertEqual(5, len(names))
