"""Encoding and decoding of records and peer messages."""

import testtools

from dandelionyoke_core import (
    Change,
    ChangeId,
    CodecError,
    Organisation,
    OrganisationId,
    PeerMessage,
    Put,
    Remove,
    Section,
    SharedRecord,
    message_from_mapping,
    message_to_mapping,
    record_from_json,
    record_to_json,
)

CHANGE = Change(
    change_id=ChangeId('c1'),
    revision=1,
    author='operator',
    reason='first customer',
    committed_wall_s=1.0,
    operations=(
        Put(Organisation(OrganisationId('duka'))),
        Remove(Section.KEY, 'abc'),
    ),
)


class CodecTest(testtools.TestCase):
    def test_a_change_reads_back_the_same(self) -> None:
        text = record_to_json(CHANGE)
        self.assertEqual(CHANGE, record_from_json(text, Change))

    def test_an_invalid_record_is_a_codec_error(self) -> None:
        for text in ('', '{}', '[1]', '{"operations": 3}'):
            self.assertRaises(CodecError, record_from_json, text, Change)

    def test_a_message_reads_back_the_same(self) -> None:
        record = SharedRecord('load/engine-1', version=3, lifetime_s=5.0)
        mapping = message_to_mapping(record)
        self.assertEqual(record, message_from_mapping(mapping))

    def test_an_unknown_message_is_a_codec_error(self) -> None:
        for mapping in ({}, {'type': 'Nothing'}, {'type': 'SharedRecord'}):
            self.assertRaises(CodecError, message_from_mapping, mapping)

    def test_the_base_message_has_no_fields(self) -> None:
        self.assertEqual(
            {'type': 'PeerMessage'}, message_to_mapping(PeerMessage())
        )
