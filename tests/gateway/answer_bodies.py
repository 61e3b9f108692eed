"""Answers whose bodies are not framed as HTTP/1.1 says, and odd ones."""

from collections.abc import Iterator

import attrs

from tests.gateway.answer_heads import AnswerParts

_LAST_CHUNK = b'0\r\n\r\n'
_ODD_SIZES = (b'+%x', b'-%x', b'0x%x', b'0_%x', b' %x', b'%x 4', b'four')


def broken_bodies(parts: AnswerParts) -> Iterator[tuple[str, bytes]]:
    """Yield answers, each with its kind; then they close."""
    for odd_size in _ODD_SIZES:
        size = odd_size % len(parts.body) if b'%' in odd_size else odd_size
        chunks = b'%b\r\n%b\r\n' % (size, parts.body) + _LAST_CHUNK
        yield f'a chunk of size {size!r}', _in_chunks(parts, chunks)
    begun = b'%x\r\n%b' % (len(parts.body), parts.body)
    long_chunk = begun + b'xx' + _LAST_CHUNK
    yield 'a chunk that is too long', _in_chunks(parts, long_chunk)
    endings = {
        'no last chunk': b'',
        'no line after the last chunk': b'0\r\n',
        'a trailer that ends': b'0\r\nX-More: y\r\n',
        'a trailer without fields': b'0\r\nmore\r\n\r\n',
    }
    for kind, ending in endings.items():
        yield kind, _in_chunks(parts, begun + b'\r\n' + ending)
    length = b'Content-Length: %d\r\n' % (len(parts.body) + 1)
    yield 'a body that is too short', parts.join(b'', length)


def sound_bodies(parts: AnswerParts) -> Iterator[tuple[str, bytes]]:
    """Yield odd answers of status 200, each with its kind; then they close."""
    first, rest = parts.body[:1], parts.body[1:]
    chunks = b'1\r\n%b\r\n%x\r\n%b\r\n' % (first, len(rest), rest)
    yield 'two chunks', _in_chunks(parts, chunks + _LAST_CHUNK)
    extended = chunks.replace(b'1\r\n', b'01;a="b"\r\n', 1)
    yield 'an extension', _in_chunks(parts, extended + _LAST_CHUNK)
    trailer = b'0\r\nX-More: y\r\n\r\n'
    yield 'a trailer', _in_chunks(parts, chunks + trailer)


def _in_chunks(parts: AnswerParts, chunks: bytes) -> bytes:
    framing = b'Transfer-Encoding: chunked\r\n'
    return attrs.evolve(parts, body=chunks).join(b'', framing)
