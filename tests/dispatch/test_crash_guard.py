"""Refusal of calls that crash the targets running them."""

import testtools

from dandelionyoke_dispatch import CrashGuard, CrashSettings, fingerprint


class CrashGuardTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.guard = CrashGuard(CrashSettings(targets=3, max_fingerprints=2))

    def test_a_call_is_refused_after_three_crashed_targets(self) -> None:
        for number in range(3):
            self.assertFalse(self.guard.refuses('a', number))
            self.guard.record_crash('a', f'i-{number}', number)
        self.assertTrue(self.guard.refuses('a', 3))
        self.assertFalse(self.guard.refuses('b', 3))

    def test_a_crash_reported_by_many_nodes_counts_once(self) -> None:
        """A call is in flight at a target that crashes for another reason.

        If the crash were counted once for each node that reports it, a harmless
        call would be refused.
        """
        for number in range(9):
            self.guard.record_crash('a', 'i-1', number)
        self.assertFalse(self.guard.refuses('a', 9))

    def test_crashes_expire_and_the_oldest_calls_are_evicted(self) -> None:
        for number in range(3):
            self.guard.record_crash('a', f'i-{number}', 0)
        self.assertFalse(self.guard.refuses('a', 61))
        self.guard.record_crash('b', 'i-1', 0)
        self.guard.record_crash('c', 'i-1', 0)
        self.assertFalse(self.guard.refuses('a', 1))

    def test_a_fingerprint_depends_on_caller_path_and_body(self) -> None:
        fingerprints = {
            fingerprint('acme', '/a', b'x'),
            fingerprint('acme', '/a', b'y'),
            fingerprint('acme', '/b', b'x'),
            fingerprint('other', '/a', b'x'),
            fingerprint(None, 'acme/a', b'x'),
        }
        self.assertEqual(5, len(fingerprints))
