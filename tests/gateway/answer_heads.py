"""Answers whose heads are no HTTP/1.1, and odd ones that are."""

from collections.abc import Iterator

_ODD_NAMES = {
    'a blank': b'X Y',
    'a tab': b'X\tY',
    'a NUL': b'X\0Y',
    'a control byte': b'X\x01Y',
    'a DEL': b'X\x7fY',
    'a CR': b'X\rY',
    'a high byte': b'X\xffY',
    'a blank behind it': b'X ',
    'nothing': b'',
}
_ODD_VALUES = {'a NUL': b'y\0z', 'a CR': b'y\rz'}
_ODD_STATUSES = (b'000', b'099', b'101', b'2', b'+20', b'2000', b'2x0', b'')
_ODD_FRAMINGS = (
    b'Transfer-Encoding : chunked',
    b'Content-Length : 4',
    b'Content-Length: +4',
    b'Content-Length: -4',
    b'Content-Length: 4, 5',
    b'Content-Length: 4\r\nContent-Length: 5',
    b'Content-Length: 0x4',
    b'Content-Length: 4_0',
)
# An object in JSON, so that each kind of client would take it.
BODY = b'{  }'
_WHOLE = b'HTTP/1.1 200 OK\r\nX-More: y\r\nContent-Length: 4\r\n\r\n'


def broken_answers() -> Iterator[tuple[str, bytes]]:
    """Yield answers that are none, each with its kind; then they close."""
    for name, odd_name in _ODD_NAMES.items():
        yield f'{name} in a name', _with_line(odd_name + b': y')
    for value, odd_value in _ODD_VALUES.items():
        yield f'{value} in a value', _with_line(b'X: ' + odd_value)
    yield 'a line without a colon', _with_line(b'more')
    yield 'a first line that is folded', _with_line(b' y')
    for status in _ODD_STATUSES:
        text = status.decode()
        yield f'status "{text}"', _with_status(status)
    for framing in _ODD_FRAMINGS:
        yield f'{framing!r}', _with_framing(framing)
    ends = (
        (b'HTTP', 'its protocol'),
        (b' 200', 'its status'),
        (b'OK\r\n', 'a line'),
        (b'X-Mo', 'a name'),
        (b'X-More: ', 'a value'),
        (b': 4\r\n', 'the end of its fields'),
        (b': 4\r\n\r', 'its last line'),
    )
    for end, place in ends:
        yield f'a head that ends within {place}', _cut_after(end)
    yield 'an interim answer only', b'HTTP/1.1 100 Continue\r\n\r\n'


def sound_answers() -> Iterator[tuple[str, bytes]]:
    """Yield odd answers of status 200 and with the body BODY."""
    yield 'no length', b'HTTP/1.1 200 OK\r\n\r\n' + BODY
    yield 'HTTP/1.0', b'HTTP/1.0 200 OK\r\n\r\n' + BODY
    yield 'a folded field', _with_line(b'X-More: y\r\n z')
    yield 'bare line feeds', _with_line(b'X: y').replace(b'\r\n', b'\n')
    yield 'no reason', b'HTTP/1.1 200\r\nContent-Length: 4\r\n\r\n' + BODY
    yield 'a field twice', _with_line(b'X: y\r\nX: z')
    yield 'a high byte in a value', _with_line(b'X: y\xff')
    yield 'an empty value', _with_line(b'X:')
    yield 'equal lengths', _with_line(b'Content-Length: 4')
    interim = b'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nA: b\r\n\r\n'
    yield 'interim answers', interim + _with_line(b'X: y')
    chunks = b'4\r\n%b\r\n0\r\n\r\n' % BODY
    yield 'chunks', _with_framing(b'Transfer-Encoding: chunked', chunks)


def _with_line(line: bytes) -> bytes:
    return b'HTTP/1.1 200 OK\r\n%b\r\nContent-Length: 4\r\n\r\n%b' % (
        line,
        BODY,
    )


def _with_status(status: bytes) -> bytes:
    return b'HTTP/1.1 %b OK\r\nContent-Length: 4\r\n\r\n%b' % (status, BODY)


def _with_framing(framing: bytes, body: bytes = BODY) -> bytes:
    return b'HTTP/1.1 200 OK\r\n%b\r\n\r\n%b' % (framing, body)


def _cut_after(end: bytes) -> bytes:
    return _WHOLE[: _WHOLE.index(end) + len(end)]
