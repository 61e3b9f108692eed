"""Tests of the streams that are under way, and of their records."""

import testtools

from dandelionyoke_dispatch import (
    OpenStreams,
    OpenStreamsRecord,
    RecordedStreams,
    StreamGroup,
    StreamOrigin,
    StreamReports,
    VersionsRecord,
    merge_groups,
    stream_key,
)
from dandelionyoke_dispatch._open_streams import MAX_RECORDED, MAX_SAVED

V1 = StreamOrigin('lm', 'v1')
V2 = StreamOrigin('lm', 'v2')
LIFETIME_S = 38.0


def group(origin: StreamOrigin, *numbers: int) -> StreamGroup:
    keys = ''.join(stream_key(f'a-{number}') for number in numbers)
    return StreamGroup(origin, keys)


class OpenStreamsTest(testtools.TestCase):
    def test_a_stream_that_ended_whole_is_left_out(self) -> None:
        """Guards against records that grow with all streams of a day."""
        streams = OpenStreams()
        for number, origin in ((1, V1), (2, V2), (3, V1)):
            streams.begin(stream_key(f'a-{number}'), origin, 0, LIFETIME_S)
        streams.end(stream_key('a-1'))
        streams.end(stream_key('unknown'))
        self.assertEqual(
            {group(V1, 3), group(V2, 2)}, set(streams.groups(1, LIFETIME_S))
        )

    def test_a_stream_that_broke_off_ends_with_its_lifetime(self) -> None:
        """Guards against streams that no caller will take up."""
        streams = OpenStreams()
        streams.begin(stream_key('a-1'), V1, 0, LIFETIME_S)
        self.assertEqual(1, len(streams.groups(LIFETIME_S, LIFETIME_S)))
        self.assertEqual((), streams.groups(LIFETIME_S + 1, LIFETIME_S))


class StreamReportsTest(testtools.TestCase):
    def test_the_last_report_of_a_lost_process_stays_a_while(self) -> None:
        """Guards against streams that are lost with the next process."""
        reports = StreamReports()
        reports.take('n-1.a', (group(V1, 1),), 0)
        reports.take('n-2.b', (group(V1, 2),), 0)
        reports.take('n-2.b', (), 1)
        self.assertEqual((group(V1, 1),), reports.groups(30, LIFETIME_S))
        self.assertEqual((), reports.groups(LIFETIME_S + 1, LIFETIME_S))

    def test_merged_groups_keep_the_latest_streams(self) -> None:
        """Guards against a record that is larger than the store takes."""
        merged = merge_groups(
            (group(V1, *range(MAX_SAVED)), group(V2, MAX_SAVED), group(V1, 1))
        )
        keys = [key for each in merged for key in each.split_keys()]
        self.assertEqual(MAX_SAVED, len(set(keys)))
        self.assertNotIn(stream_key('a-0'), keys)
        self.assertEqual({V1, V2}, {each.origin for each in merged})


class RecordedStreamsTest(testtools.TestCase):
    def test_records_are_found_until_they_are_dropped(self) -> None:
        """Guards against origins of a record that has changed."""
        recorded = RecordedStreams()
        recorded.take_open('a', OpenStreamsRecord((group(V1, 1, 2),)))
        recorded.take_open('b', OpenStreamsRecord((group(V2, 3),)))
        self.assertEqual(V1, recorded.find(stream_key('a-2')))
        self.assertEqual(V2, recorded.find(stream_key('a-3')))
        recorded.take_open('a', OpenStreamsRecord((group(V1, 1),)))
        recorded.drop('b')
        self.assertIsNone(recorded.find(stream_key('a-2')))
        self.assertIsNone(recorded.find(stream_key('a-3')))

    def test_a_cut_key_is_left_out(self) -> None:
        """Guards against a record of another format."""
        keys = f'{stream_key("a-1")}abc'
        recorded = RecordedStreams()
        recorded.take_open('a', OpenStreamsRecord((StreamGroup(V1, keys),)))
        self.assertEqual(V1, recorded.find(stream_key('a-1')))
        self.assertIsNone(recorded.find('abc'))

    def test_the_versions_of_a_service_are_those_of_all_records(self) -> None:
        """Guards against a version that one record lacks."""
        recorded = RecordedStreams()
        self.assertEqual(frozenset(), recorded.versions('lm'))
        recorded.take_versions('a', VersionsRecord('lm', ('v1',)))
        recorded.take_versions('b', VersionsRecord('lm', ('v2',)))
        recorded.take_versions('c', VersionsRecord('other', ('v3',)))
        self.assertEqual({'v1', 'v2'}, recorded.versions('lm'))
        recorded.clear()
        self.assertEqual(frozenset(), recorded.versions('lm'))

    def test_the_streams_of_all_records_are_bounded(self) -> None:
        """Guards against memory without a bound."""
        recorded = RecordedStreams()
        keys = ''.join(f'{number:024x}' for number in range(MAX_RECORDED))
        recorded.take_open('a', OpenStreamsRecord((StreamGroup(V1, keys),)))
        recorded.take_open('b', OpenStreamsRecord((group(V2, 1),)))
        self.assertIsNone(recorded.find(stream_key('a-1')))
