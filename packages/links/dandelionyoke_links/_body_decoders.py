"""Decoders of bodies in the framings of HTTP/1.1."""

import re
from collections.abc import Mapping
from http import HTTPStatus
from types import MappingProxyType
from typing import Protocol

CRLF = b'\r\n'
# A line with the size of a chunk and its extensions.
MAX_SIZE_LINE_BYTES = 1024
# The lines after the last chunk of an answer.
MAX_ANSWER_TRAILER_BYTES = 65536
# Equal sizes in a row after which chunks are taken as one run, and the largest
# chunk for which that is faster.
MIN_RUN_CHUNKS = 16
MAX_RUN_CHUNK_BYTES = 64
# A longer run is taken in parts, as a body may have many short ones.
MAX_RUN_CHUNKS = 256

_BODILESS_STATUSES = frozenset((HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED))
_SIZE_LINE = re.compile(rb'([0-9A-Fa-f]{1,15})[ \t]*(?:;[\t\x20-\x7e]*)?')
_SMALL_SIZES = MappingProxyType({b'%x' % size: size for size in range(1024)})


class FramingError(ValueError):
    """The bytes of a body are not framed as HTTP/1.1 says.

    `content` are the bytes of the body before them that were received with
    them.
    """

    content = b''


class BodyDecoder(Protocol):
    """Takes the bytes of a body out of its framing."""

    # Whether the end of the body was received.
    is_complete: bool
    # The bytes that belong to the part that has begun and are still missing.
    missing_bytes: int
    # What was received after the end of the body.
    rest: bytes

    def feed(self, received: bytes) -> bytes:
        """Take received bytes; return those of the body.

        Raises:
            FramingError: they are not framed as HTTP/1.1 says.
        """

    def end(self) -> None:
        """Take note that the other end has closed the connection.

        Raises:
            FramingError: that is not the end of the body.
        """


class UntilCloseDecoder:
    """Body of an answer that ends with its connection."""

    def __init__(self) -> None:
        self.is_complete = False
        self.missing_bytes = 0
        self.rest = b''

    def feed(self, received: bytes) -> bytes:
        """Take received bytes; return those of the body."""
        return received

    def end(self) -> None:
        """Take note that the other end has closed the connection."""
        self.is_complete = True


class LengthDecoder:
    """Body whose length is known."""

    def __init__(self, length_bytes: int) -> None:
        self.missing_bytes = length_bytes
        self.is_complete = not length_bytes
        self.rest = b''

    def feed(self, received: bytes) -> bytes:
        """Take received bytes; return those of the body."""
        content = received[: self.missing_bytes]
        self.rest = received[self.missing_bytes :]
        self.missing_bytes -= len(content)
        self.is_complete = not self.missing_bytes
        return content

    def end(self) -> None:
        """Take note that the other end has closed the connection.

        Raises:
            FramingError: a part of the body is missing.
        """
        _check_complete(self)


class ChunkedDecoder:
    """Body in chunks, each with its size, and lines after the last one.

    `max_trailer_bytes` bounds these lines, which are dropped.
    """

    def __init__(self, max_trailer_bytes: int) -> None:
        self.is_complete = False
        self.missing_bytes = 0
        self.rest = b''
        self._max_trailer_bytes = max_trailer_bytes
        self._trailer_bytes = 0
        # Whether the data of a chunk, or the line end behind it, is due.
        self._is_in_chunk = False
        self._is_in_trailer = False
        # Received bytes that are no whole line yet.
        self._unread = b''

    def feed(self, received: bytes) -> bytes:
        """Take received bytes; return those of the body.

        Raises:
            FramingError: a chunk is not framed as HTTP/1.1 says, or its size
                line or the lines after the last chunk are too long.
        """
        content = bytearray()
        try:
            self._take(self._unread + received, content)
        except FramingError as error:
            error.content = bytes(content)
            raise
        return bytes(content)

    def end(self) -> None:
        """Take note that the other end has closed the connection.

        Raises:
            FramingError: a part of the body is missing.
        """
        _check_complete(self)

    def _take(self, data: bytes, content: bytearray) -> None:
        position = 0
        while not self.is_complete:
            if self._is_in_trailer:
                taken = self._take_trailer_line(data, position)
            elif self._is_in_chunk:
                taken = self._take_chunk(data, position, content)
            else:
                taken = self._take_chunks(data, position, content)
            if not taken:
                break
            position += taken
        if self.is_complete:
            self.rest = data[position:]
        else:
            self._unread = data[position:]

    def _take_chunks(self, data: bytes, start: int, content: bytearray) -> int:
        """Take the chunks that are there as a whole, and one size line.

        Returns the number of bytes taken.
        """
        # No line is equal to a line end.
        position, last_line, size, repeats = start, CRLF, 0, 0
        while (line_end := _find_size_line_end(data, position)) >= 0:
            line = data[position:line_end]
            if line != last_line:
                size, last_line, repeats = _parse_size(line), line, 0
            begin = line_end + len(CRLF)
            end = begin + size
            if not size or end + len(CRLF) > len(data):
                self._begin_chunk(size)
                return begin - start
            _check_line_end(data, end)
            content += data[begin:end]
            position = end + len(CRLF)
            repeats += 1
            if repeats == MIN_RUN_CHUNKS and size <= MAX_RUN_CHUNK_BYTES:
                position += _take_run(data, position, line, size, content)
                repeats -= 1
        return position - start

    def _begin_chunk(self, size: int) -> None:
        self._is_in_trailer = not size
        self._is_in_chunk = bool(size)
        self.missing_bytes = size

    def _take_chunk(self, data: bytes, start: int, content: bytearray) -> int:
        """Take what is there of one chunk; return the number of bytes."""
        part = data[start : start + self.missing_bytes]
        content += part
        self.missing_bytes -= len(part)
        end = start + len(part)
        if self.missing_bytes or end + len(CRLF) > len(data):
            return len(part)
        _check_line_end(data, end)
        self._is_in_chunk = False
        return len(part) + len(CRLF)

    def _take_trailer_line(self, data: bytes, start: int) -> int:
        """Take a line after the last chunk; return the number of bytes."""
        left_bytes = self._max_trailer_bytes - self._trailer_bytes
        line_end = data.find(CRLF, start)
        if line_end < 0:
            _check_line(data, start, left_bytes)
            return 0
        line_bytes = line_end + len(CRLF) - start
        if line_bytes > left_bytes + len(CRLF):
            raise FramingError('the trailer is too long')
        self.is_complete = line_end == start
        if not self.is_complete and b':' not in data[start:line_end]:
            raise FramingError('a line of the trailer is no header')
        self._trailer_bytes += line_bytes
        return line_bytes


def new_answer_decoder(
    method: str, status: int, headers: Mapping[str, str]
) -> BodyDecoder:
    """Return a decoder for the framing of the answer to a request.

    The names of `headers` are in lower case. The parser has checked that
    lengths agree and that the only coding is that of chunks.
    """
    if method == 'HEAD' or status in _BODILESS_STATUSES:
        return LengthDecoder(0)
    if 'transfer-encoding' in headers:
        return ChunkedDecoder(MAX_ANSWER_TRAILER_BYTES)
    length_text = headers.get('content-length')
    if length_text is not None:
        return LengthDecoder(int(length_text))
    return UntilCloseDecoder()


def _check_complete(decoder: BodyDecoder) -> None:
    if not decoder.is_complete:
        raise FramingError('the connection ended within the body')


def _find_size_line_end(data: bytes, start: int) -> int:
    """Return the end of a size line; a negative number if it is not there."""
    end = data.find(CRLF, start, start + MAX_SIZE_LINE_BYTES + len(CRLF))
    if end < 0:
        _check_line(data, start, MAX_SIZE_LINE_BYTES)
    return end


def _check_line(data: bytes, start: int, max_bytes: int) -> None:
    """Check that a line that has not ended is not too long."""
    if len(data) - start > max_bytes:
        raise FramingError('a line of the framing is too long')


def _check_line_end(data: bytes, start: int) -> None:
    if data[start : start + len(CRLF)] != CRLF:
        raise FramingError('a chunk does not end with a line end')


def _parse_size(line: bytes) -> int:
    small_size = _SMALL_SIZES.get(line)
    if small_size is not None:
        return small_size
    match = _SIZE_LINE.fullmatch(line)
    if match is None:
        raise FramingError('a chunk has no size')
    return int(match.group(1), 16)


def _take_run(
    data: bytes, start: int, line: bytes, size: int, content: bytearray
) -> int:
    """Take the chunks of equal size lines from `start`; return their length.

    A body of one byte a chunk has millions of them. All chunks of a run have
    each byte of their framing at the same distance, so that slices with a step
    compare and copy a whole run at once.
    """
    head = line + CRLF
    step = len(head) + size + len(CRLF)
    count = min((len(data) - start) // step, MAX_RUN_CHUNKS)
    framing = head + bytes(size) + CRLF
    for offset in (*range(len(head)), step - 2, step - 1):
        column = data[start + offset : start + count * step : step]
        count = len(column) - len(column.lstrip(framing[offset : offset + 1]))
    run = bytearray(count * size)
    first = start + len(head)
    for index in range(size):
        column = data[first + index : start + count * step : step]
        # One byte of each chunk.
        run[index::size] = column  # noqa: WPS362 - see above
    content += run
    return count * step
