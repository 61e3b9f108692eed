"""Transfer of usage counts to another node."""

import testtools

from dandelionyoke_dispatch import (
    CountsParcel,
    CountsReceiver,
    CountsSender,
    ProcessCounts,
    TrueTime,
    UsageCounter,
    WindowCounts,
)


class CountsHandoverTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.usage = UsageCounter(5.0, TrueTime(1000.0))
        self.sender = CountsSender('p', self.usage)
        self.receiver = CountsReceiver()

    def test_saved_counts_are_acknowledged(self) -> None:
        self.usage.count_call('acme', 1.0)
        parcel = self.sender.pack(1.0)
        self.receiver.take(parcel)
        received = self.receiver.received()
        self.assertEqual([200], self.receiver.take_changed())
        self.assertEqual(0, self.receiver.saved('p'))
        self.receiver.confirm(received)
        self.sender.confirm(self.receiver.saved('p'))
        self.assertFalse(self.sender.requeue_overdue(9.0))
        self.assertIsNone(self.sender.pack(9.0))

    def test_unacknowledged_counts_are_saved_locally(self) -> None:
        """The node that received the counts is killed before it saves them.

        The window would be reported without these calls.
        """
        self.usage.count_call('acme', 1.0)
        self.sender.pack(1.0)
        self.assertFalse(self.sender.requeue_overdue(3.0))
        self.assertTrue(self.sender.requeue_overdue(3.6))
        self.assertEqual(
            [WindowCounts(200, (('acme', 1),))], self.usage.take_changed()
        )

    def test_a_reordered_parcel_does_not_replace_a_newer_one(self) -> None:
        newer = CountsParcel('p', 2, (WindowCounts(200, (('acme', 2),)),))
        older = CountsParcel('p', 1, (WindowCounts(200, (('acme', 1),)),))
        self.receiver.take(newer)
        self.receiver.take(older)
        self.assertEqual(
            [ProcessCounts('p', (('acme', 2),))], self.receiver.parts(200)
        )
