"""Answers whose bodies are not framed as HTTP/1.1 says, and odd ones."""

from collections.abc import Iterator

from tests.gateway.answer_heads import BODY

_CHUNKED = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
_LAST_CHUNK = b'0\r\n\r\n'
_ODD_SIZES = (b'+4', b'-4', b'0x4', b'0_4', b' 4', b'4 4', b'', b'four')


def broken_bodies() -> Iterator[tuple[str, bytes]]:
    """Yield answers, each with its kind; then they close."""
    for size in _ODD_SIZES:
        chunk = b'%b\r\n%b\r\n' % (size, BODY)
        yield f'a chunk of size {size!r}', _CHUNKED + chunk + _LAST_CHUNK
    chunk = b'4\r\n%b' % BODY
    yield 'a chunk that is too long', _CHUNKED + chunk + b'xx' + _LAST_CHUNK
    chunk += b'\r\n'
    yield 'no last chunk', _CHUNKED + chunk
    yield 'no line after the last chunk', _CHUNKED + chunk + b'0\r\n'
    yield 'a trailer that ends', _CHUNKED + chunk + b'0\r\nX-More: y\r\n'
    yield 'a trailer without fields', _CHUNKED + chunk + b'0\r\nmore\r\n\r\n'
    length = b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n'
    yield 'a body that is too short', length + BODY


def sound_bodies() -> Iterator[tuple[str, bytes]]:
    """Yield odd answers of status 200 and with the body BODY."""
    first, rest = BODY[:1], BODY[1:]
    chunks = b'1\r\n%b\r\n3\r\n%b\r\n' % (first, rest)
    yield 'two chunks', _CHUNKED + chunks + _LAST_CHUNK
    extended = chunks.replace(b'3', b'03;a="b"')
    yield 'an extension', _CHUNKED + extended + _LAST_CHUNK
    yield 'a trailer', _CHUNKED + chunks + b'0\r\nX-More: y\r\n\r\n'
