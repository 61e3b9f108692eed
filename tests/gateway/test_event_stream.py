"""Whole events only."""

import testtools

from dandelionyoke_gateway._event_stream import EventSplitter


class EventSplitterTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.splitter = EventSplitter()

    def test_events_are_passed_on_when_they_are_whole(self) -> None:
        """A target stops in the middle of an event.

        Half an event, joined to the stream of another target, would be one
        that nobody sent.
        """
        events = self.splitter.feed(b'id: 1\ndata: a\n\nid: 2\nda')
        self.assertEqual(['1'], [event.event_id for event in events])
        self.assertFalse(self.splitter.is_at_event_boundary)
        events = self.splitter.feed(b'ta: b\n\n')
        self.assertEqual(b'id: 2\ndata: b\n\n', events[0].content)
        self.assertTrue(self.splitter.is_at_event_boundary)

    def test_several_events_in_one_piece(self) -> None:
        events = self.splitter.feed(b'id:1\n\nid:2\r\n\r\ndata: x\n\n')
        self.assertEqual(['1', '2', None], [event.event_id for event in events])
