"""Counts by window of true time."""

import testtools

from dandelionyoke_dispatch import (
    ProcessCounts,
    TrueTime,
    UsageCounter,
    WindowCounts,
    WindowRecord,
    add_up,
)


class UsageCounterTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.usage = UsageCounter(5.0, TrueTime(1000.0))

    def test_a_call_counts_in_the_window_of_its_first_token(self) -> None:
        self.usage.began('acme', 4.9)
        self.usage.began('acme', 5.0)
        self.assertEqual(
            [
                WindowCounts(200, (('acme', 1),)),
                WindowCounts(201, (('acme', 1),)),
            ],
            self.usage.take_changed(),
        )

    def test_only_changes_are_saved_and_failed_saves_again(self) -> None:
        self.usage.began('acme', 1)
        self.usage.take_changed()
        self.assertEqual([], self.usage.take_changed())
        self.usage.not_saved(200)
        self.assertEqual(
            [WindowCounts(200, (('acme', 1),))], self.usage.take_changed()
        )

    def test_all_processes_add_up(self) -> None:
        records = [
            WindowRecord(1, (ProcessCounts('p', (('a', 1), ('b', 2))),)),
            WindowRecord(1, (ProcessCounts('q', (('b', 3),)),)),
        ]
        self.assertEqual((('a', 1), ('b', 5)), add_up(records))

    def test_what_two_nodes_saved_of_one_process_counts_once(self) -> None:
        """A node hands its counts over, then saves newer ones itself.

        Added up, its calls would be billed twice.
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
        self.assertEqual((('a', 5),), add_up(records))

    def test_a_window_ages_from_its_end(self) -> None:
        self.assertAlmostEqual(2.0, self.usage.age_s(200, 7.0))
