"""Deltas and snapshots of a listing."""

import testtools

from dandelionyoke_dispatch import (
    ListingMark,
    RegisteredTarget,
    TargetListing,
)


def target(name: str, *, leaving: bool = False) -> RegisteredTarget:
    return RegisteredTarget(name, 'lm', '10.0.0.1:1', 'a', 4, leaving)


class TargetListingTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.listing = TargetListing('p')
        self.listing.replace([target('i-1'), target('i-2')], 1.0)

    def test_a_node_without_a_mark_gets_a_snapshot(self) -> None:
        changes = self.listing.since(None)
        self.assertTrue(changes.is_whole)
        self.assertEqual(2, len(changes.changed))

    def test_a_node_with_a_mark_gets_a_delta(self) -> None:
        mark = self.listing.mark
        self.listing.change([target('i-2', leaving=True)], ['i-1'], 2.0)
        changes = self.listing.since(mark)
        self.assertFalse(changes.is_whole)
        self.assertEqual((target('i-2', leaving=True),), changes.changed)
        self.assertEqual(('i-1',), changes.gone)

    def test_an_unchanged_entry_is_no_change(self) -> None:
        """Each target rewrites its entry every second.

        If the unchanged entries were sent to every node, they would be a large
        part of its traffic.
        """
        mark = self.listing.mark
        self.listing.change([target('i-1')], (), 2.0)
        self.assertEqual(mark, self.listing.mark)
        self.assertEqual(2.0, self.listing.confirmed_s)

    def test_the_mark_of_another_process_is_ignored(self) -> None:
        """The polled node restarts, or another one is polled from now on.

        Its sequence numbers start again. If they were compared with the old
        ones, changes would be missed and a removed target kept.
        """
        changes = self.listing.since(ListingMark('q', 2))
        self.assertTrue(changes.is_whole)

    def test_a_target_that_returns_is_not_listed_as_gone(self) -> None:
        mark = self.listing.mark
        self.listing.change((), ['i-1'], 2.0)
        self.listing.change([target('i-1')], (), 3.0)
        self.assertEqual((), self.listing.since(mark).gone)
