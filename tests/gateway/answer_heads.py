"""Answers whose heads are no HTTP/1.1, and odd ones that are."""

from collections.abc import Iterator

import attrs

# An object in JSON, so that each kind of client would take it.
BODY = b'{  }'
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
_ODD_LINES = {
    'a NUL in a value': b'X: y\0z',
    'a CR in a value': b'X: y\rz',
    'a line without a colon': b'more',
}
_ODD_STATUSES = (b'000', b'099', b'101', b'2', b'+20', b'2000', b'2x0', b'')
_ODD_FRAMINGS = (
    b'Transfer-Encoding : chunked',
    b'Transfer-Encoding: other',
    b'Content-Length : %d',
    b'Content-Length: +%d',
    b'Content-Length: -%d',
    b'Content-Length: %d, 1',
    b'Content-Length: %d\r\nContent-Length: 1',
    b'Content-Length: 0x%d',
    b'Content-Length: %d_0',
)
_CUTS = {
    'its protocol': b'HTTP',
    'its status': b' 200',
    'a line': b'OK\r\n',
    'a name': b'X-Mo',
    'a value': b'X-More: ',
    'the end of its fields': b'X-More: y\r\n',
    'its last line': b'\r\n\r',
}


@attrs.frozen
class AnswerParts:
    """Body and fields of an answer; each line of fields has its end."""

    body: bytes = BODY
    fields: bytes = b''

    def join(
        self, lines: bytes, framing: bytes | None = None, status: bytes = b'200'
    ) -> bytes:
        """Return an answer with more lines, and a length if there is none."""
        length = b'Content-Length: %d\r\n' % len(self.body)
        last = length if framing is None else framing
        head = b'HTTP/1.1 %b OK\r\n%b%b%b\r\n'
        return head % (status, self.fields, lines, last) + self.body


def broken_heads(parts: AnswerParts) -> Iterator[tuple[str, bytes]]:
    """Yield answers, each with its kind; then they close."""
    for name, odd_name in _ODD_NAMES.items():
        yield f'{name} in a name', parts.join(odd_name + b': y\r\n')
    for kind, line in _ODD_LINES.items():
        yield kind, parts.join(line + b'\r\n')
    folded = parts.join(b'').replace(b'OK\r\n', b'OK\r\n y\r\n')
    yield 'a first line that is folded', folded
    for status in _ODD_STATUSES:
        yield f'status {status!r}', parts.join(b'', status=status)
    for framing in _ODD_FRAMINGS:
        if b'%' in framing:
            framing %= len(parts.body)
        yield f'{framing!r}', parts.join(b'', framing + b'\r\n')
    whole = parts.join(b'', b'X-More: y\r\n')
    for place, end in _CUTS.items():
        cut = whole[: whole.index(end) + len(end)]
        yield f'a head that ends within {place}', cut
    yield 'an interim answer only', b'HTTP/1.1 100 Continue\r\n\r\n'


def sound_heads(parts: AnswerParts) -> Iterator[tuple[str, bytes]]:
    """Yield odd answers of status 200, each with its kind; then they close."""
    plain = parts.join(b'')
    yield 'no length', parts.join(b'', b'')
    yield 'HTTP/1.0', parts.join(b'', b'').replace(b'/1.1', b'/1.0')
    yield 'a folded field', parts.join(b'X-More: y\r\n z\r\n')
    head, _, _ = plain.rpartition(parts.body)
    yield 'bare line feeds', head.replace(b'\r\n', b'\n') + parts.body
    yield 'no reason', plain.replace(b' OK', b'')
    yield 'a field twice', parts.join(b'X: y\r\nX: z\r\n')
    yield 'a high byte in a value', parts.join(b'X: y\xff\r\n')
    yield 'an empty value', parts.join(b'X:\r\n')
    yield (
        'equal lengths',
        parts.join(b'Content-Length: %d\r\n' % len(parts.body)),
    )
    interim = b'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nA: b\r\n\r\n'
    yield 'interim answers', interim + plain
