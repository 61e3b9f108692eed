"""Heads of answers, checked before the library reads them.

The library reads the fields of a head with a parser for e-mail. It ends at a
line that is no field, drops the fields after it with the length of the body,
and takes the end of the connection for the end of a head.
"""

import h11

MAX_HEAD_BYTES = 65_536
# A target that sends more of them before its answer never answers.
MAX_INTERIM_ANSWERS = 16


class AnswerHeadError(OSError):
    """The head of an answer is not HTTP/1.1, or it was cut off."""


class AnswerFilter:
    """Passes on an answer to a request, with its head rewritten."""

    def __init__(self, method: str) -> None:
        self._parser = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        # The parser reads the answer to a request.
        self._parser.send(
            h11.Request(method=method, target='/', headers=[('Host', '')])
        )
        self._interim_count = 0
        self._is_begun = False
        self._has_head = False

    def feed(self, received: bytes) -> bytes:
        """Take received bytes; return those that are to be read.

        Raises:
            AnswerHeadError: the head is not HTTP/1.1.
        """
        if self._has_head:
            return received
        self._is_begun = True
        try:
            return self._take_head(received)
        except h11.ProtocolError as error:
            cause = f'the head of the answer is not HTTP/1.1: {error}'
            raise AnswerHeadError(cause) from error

    def end(self) -> None:
        """Take note that the other end has closed the connection.

        Raises:
            AnswerHeadError: it did so within the head.
        """
        if self._is_begun and not self._has_head:
            raise AnswerHeadError('the connection ended within the head')

    def _take_head(self, received: bytes) -> bytes:
        self._parser.receive_data(received)
        event = self._parser.next_event()
        while isinstance(event, h11.InformationalResponse):
            self._interim_count += 1
            if self._interim_count > MAX_INTERIM_ANSWERS:
                raise AnswerHeadError('too many interim answers')
            event = self._parser.next_event()
        if not isinstance(event, h11.Response):
            return b''
        self._has_head = True
        rest, _ = self._parser.trailing_data
        return _head_bytes(event) + bytes(rest)


def _head_bytes(response: h11.Response) -> bytes:
    """Build a head that each parser reads in the same way."""
    lines = [
        b'HTTP/%b %d %b'
        % (response.http_version, response.status_code, response.reason),
        *(b'%b: %b' % field for field in response.headers.raw_items()),
    ]
    return b'\r\n'.join((*lines, b'', b''))
