"""Usage counts by window of wall time."""

import testtools

from dandelionyoke_dispatch import (
    ProcessCounts,
    TrueTime,
    UsageCounter,
    WindowCounts,
    WindowRecord,
    sum_counts,
)


class UsageCounterTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.usage = UsageCounter(5.0, TrueTime(1000.0))

    def test_a_call_counts_in_the_window_of_its_first_token(self) -> None:
        self.usage.count_call('acme', 4.9)
        self.usage.count_call('acme', 5.0)
        self.assertEqual(
            [
                WindowCounts(200, (('acme', 1),)),
                WindowCounts(201, (('acme', 1),)),
            ],
            self.usage.take_changed(),
        )

    def test_only_changed_windows_are_saved_and_failures_requeued(self) -> None:
        self.usage.count_call('acme', 1)
        self.usage.take_changed()
        self.assertEqual([], self.usage.take_changed())
        self.usage.requeue(200)
        self.assertEqual(
            [WindowCounts(200, (('acme', 1),))], self.usage.take_changed()
        )

    def test_counts_of_all_processes_are_summed(self) -> None:
        records = [
            WindowRecord(1, (ProcessCounts('p', (('a', 1), ('b', 2))),)),
            WindowRecord(1, (ProcessCounts('q', (('b', 3),)),)),
        ]
        self.assertEqual((('a', 1), ('b', 5)), sum_counts(records))

    def test_counts_of_one_process_saved_by_two_nodes_count_once(self) -> None:
        """A node hands its counts to another one, then saves newer ones itself.

        If both were summed, its calls would be billed twice.
        """
        records = [
            WindowRecord(1, (ProcessCounts('p', (('a', 4),)),)),
            WindowRecord(
                1,
                (
                    ProcessCounts('q', (('a', 1),)),
                    ProcessCounts('p', (('a', 3),)),
                ),
            ),
        ]
        self.assertEqual((('a', 5),), sum_counts(records))

    def test_the_age_of_a_window_starts_at_its_end(self) -> None:
        self.assertAlmostEqual(2.0, self.usage.age_s(200, 7.0))
