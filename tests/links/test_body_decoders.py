"""Tests of the decoders of request bodies."""

import testtools
from hypothesis import given, strategies as st

from dandelionyoke_links import (
    BodyDecoder,
    ChunkedDecoder,
    FramingError,
    LengthDecoder,
)

MAX_TRAILER_BYTES = 64
REST = b'GET / HTTP/1.1'
# Framing bytes within the data must not be taken for framing.
CHUNKS = st.lists(
    st.text('\r\n01ax', min_size=1, max_size=20).map(str.encode), max_size=60
)
RUNS = st.lists(
    st.tuples(st.sampled_from([b'x', b'\r', b'1\r\n', b'y' * 70]), CHUNKS),
    max_size=4,
)


def frame(chunks: list[bytes], size_format: bytes = b'%x') -> bytes:
    framed = [size_format % len(chunk) + b'\r\n' + chunk for chunk in chunks]
    return b'\r\n'.join([*framed, b'0\r\n\r\n'])


def feed_in_pieces(
    decoder: BodyDecoder, received: bytes, piece_bytes: int
) -> tuple[bytes, bytes]:
    """Return the body and what was received behind it."""
    content, position = b'', 0
    while not decoder.is_complete and position < len(received):
        content += decoder.feed(received[position : position + piece_bytes])
        position += piece_bytes
    return content, decoder.rest + received[position:]


class ChunkedDecoderTest(testtools.TestCase):
    @given(RUNS, st.integers(1, 4096), st.sampled_from([b'%x', b'%X', b'0%x']))
    def test_any_chunks_in_any_pieces(
        self,
        runs: list[tuple[bytes, list[bytes]]],
        piece_bytes: int,
        size_format: bytes,
    ) -> None:
        """Guards against a body that a target gets changed."""
        chunks: list[bytes] = []
        for chunk, others in runs:
            chunks += [chunk] * 40 + others
        decoder = ChunkedDecoder(MAX_TRAILER_BYTES)
        self.assertEqual(
            (b''.join(chunks), REST),
            feed_in_pieces(
                decoder, frame(chunks, size_format) + REST, piece_bytes
            ),
        )

    def test_what_is_no_framing_is_refused(self) -> None:
        """Guards against a request that is smuggled within another one."""
        for received in (
            b'x\r\n',
            b'\r\n',
            b'-1\r\n',
            b'+1\r\nx\r\n',
            b'0x1\r\nx\r\n',
            b'1_0\r\n',
            b'1\nx\r\n\r\n',
            b'1\r\nxy\r\n',
            b'1\r\nx\r\n' * 20 + b'1\r\nxy\r\n',
            b'1;\x00\r\nx\r\n',
            b'1' * 16 + b'\r\n',
            b'0\r\nno header\r\n\r\n',
        ):
            decoder = ChunkedDecoder(MAX_TRAILER_BYTES)
            self.assertRaises(FramingError, decoder.feed, received)

    def test_lines_of_the_framing_are_bounded(self) -> None:
        """Guards against a line that is held without a bound."""
        for begun in (b'1;', b'0\r\nA: '):
            decoder = ChunkedDecoder(MAX_TRAILER_BYTES)
            self.assertRaises(FramingError, decoder.feed, begun + b'x' * 2000)
        decoder = ChunkedDecoder(MAX_TRAILER_BYTES)
        trailers = b'0\r\n' + b'A: b\r\n' * 20
        self.assertRaises(FramingError, decoder.feed, trailers)

    def test_the_rest_of_a_chunk_is_announced(self) -> None:
        """Guards against a size over the limit that is noticed at its end."""
        decoder = ChunkedDecoder(MAX_TRAILER_BYTES)
        self.assertEqual(b'abc', decoder.feed(b'e8d4a51000\r\nabc'))
        self.assertEqual(10**12 - 3, decoder.missing_bytes)


class LengthDecoderTest(testtools.TestCase):
    def test_a_body_ends_with_its_length(self) -> None:
        """Guards against bytes of the next request within a body."""
        self.assertEqual(
            (b'body', REST),
            feed_in_pieces(LengthDecoder(4), b'body' + REST, 3),
        )
        self.assertTrue(LengthDecoder(0).is_complete)
