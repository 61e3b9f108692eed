"""Answers that are checked before the library reads them.

The library reads the fields of a head with a parser for e-mail. It ends at a
line that is no field, drops the fields after it with the length of the body,
and takes the end of the connection for the end of a head or of a trailer. The
size of a chunk may have a sign, and what follows a chunk is not looked at.
"""

import h11

from dandelionyoke_links import (
    BodyDecoder,
    ChunkedDecoder,
    FramingError,
    new_answer_decoder,
)

MAX_HEAD_BYTES = 65_536
# A target that sends more of them before its answer never answers.
MAX_INTERIM_ANSWERS = 16
LAST_CHUNK = b'0\r\n\r\n'


class MalformedAnswerError(OSError):
    """An answer is not HTTP/1.1, or it was cut off."""


class AnswerFilter:
    """Passes on the answer to a request, with its head and chunks rewritten."""

    def __init__(self, method: str) -> None:
        self._method = method
        self._parser = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        # The parser reads the answer to a request.
        self._parser.send(
            h11.Request(method=method, target='/', headers=[('Host', '')])
        )
        self._interim_count = 0
        self._is_begun = False
        # Decoder of the body, once the head was received.
        self._decoder: BodyDecoder | None = None

    def feed(self, received: bytes) -> bytes:
        """Take received bytes; return those that are to be read.

        Raises:
            MalformedAnswerError: they are not HTTP/1.1.
        """
        self._is_begun = True
        try:
            if self._decoder is None:
                return self._take_head(received)
            return _take_body(self._decoder, received)
        except (h11.ProtocolError, FramingError) as error:
            cause = f'the answer is not HTTP/1.1: {error}'
            raise MalformedAnswerError(cause) from error

    def end(self) -> None:
        """Take note that the other end has closed the connection.

        Raises:
            MalformedAnswerError: it did so within the answer.
        """
        try:
            if self._decoder is not None:
                self._decoder.end()
            elif self._is_begun:
                raise FramingError('the connection ended within the head')
        except FramingError as error:
            cause = f'the answer was cut off: {error}'
            raise MalformedAnswerError(cause) from error

    def _take_head(self, received: bytes) -> bytes:
        self._parser.receive_data(received)
        event = self._parser.next_event()
        while isinstance(event, h11.InformationalResponse):
            self._interim_count += 1
            if self._interim_count > MAX_INTERIM_ANSWERS:
                raise FramingError('too many interim answers')
            event = self._parser.next_event()
        if not isinstance(event, h11.Response):
            return b''
        headers = {
            name.decode('latin-1'): value.decode('latin-1')
            for name, value in event.headers
        }
        self._decoder = new_answer_decoder(
            self._method, event.status_code, headers
        )
        rest, _ = self._parser.trailing_data
        return _head_bytes(event) + _take_body(self._decoder, bytes(rest))


def _head_bytes(response: h11.Response) -> bytes:
    """Build a head that each parser reads in the same way."""
    lines = [
        b'HTTP/%b %d %b'
        % (response.http_version, response.status_code, response.reason),
        *(b'%b: %b' % field for field in response.headers.raw_items()),
    ]
    return b'\r\n'.join((*lines, b'', b''))


def _take_body(decoder: BodyDecoder, received: bytes) -> bytes:
    """Take bytes of the body; return it, in new chunks if it is in chunks."""
    content = decoder.feed(received)
    if not isinstance(decoder, ChunkedDecoder):
        return content
    chunk = b'%x\r\n%b\r\n' % (len(content), content) if content else b''
    return chunk + LAST_CHUNK if decoder.is_complete else chunk
