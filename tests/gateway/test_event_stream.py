"""Tests of splitting a stream into complete events."""

import testtools

from dandelionyoke_gateway._event_stream import EventSplitter


class EventSplitterTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.splitter = EventSplitter()

    def test_returns_only_complete_events(self) -> None:
        """Guards against forwarding half an event when a target fails.

        Joined with the stream of the next target, it would form an event that
        no target sent.
        """
        events = self.splitter.feed(b'id: 1\ndata: a\n\nid: 2\nda')
        self.assertEqual(['1'], [event.event_id for event in events])
        self.assertFalse(self.splitter.is_at_event_boundary)
        events = self.splitter.feed(b'ta: b\n\n')
        self.assertEqual(b'id: 2\ndata: b\n\n', events[0].content)
        self.assertTrue(self.splitter.is_at_event_boundary)

    def test_splits_several_events_in_one_chunk(self) -> None:
        events = self.splitter.feed(b'id:1\n\nid:2\r\n\r\ndata: x\n\n')
        self.assertEqual(['1', '2', None], [event.event_id for event in events])
