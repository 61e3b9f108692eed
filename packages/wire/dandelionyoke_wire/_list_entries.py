"""Entries of the platform's lists, of which one may spoil the document."""

import re
from collections.abc import Iterator
from types import MappingProxyType

from eventlet import sleep

from dandelionyoke_core import parse_json

# Strings, whose content is none of the others, and what separates entries.
_TOKEN = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"|[\[\]{},:]', re.DOTALL)
TOKENS_PER_YIELD = 4096
_DEPTH_STEPS = MappingProxyType({b'[': 1, b'{': 1, b']': -1, b'}': -1})
# Depth of the entries of a list that is a field of the document.
_ENTRY_DEPTH = 2


def parse_entries(document: bytes, name: str) -> list[object]:
    """Return the entries of a list; one that cannot be parsed as its bytes.

    Raises:
        ValueError: the document is no object with such a list.
    """
    try:
        fields = parse_json(document)
    except ValueError:
        # An entry is nested too deeply, or has a number that is too large.
        entries = _split(document, name)
        return [_parse_entry(entry) for entry in entries if entry.strip()]
    listed = fields.get(name) if isinstance(fields, dict) else None
    if not isinstance(listed, list):
        raise ValueError(f'the answer has no list of {name}')
    return listed


def _parse_entry(entry: bytes) -> object:
    try:
        return parse_json(entry)
    except ValueError:
        return entry


def _split(document: bytes, name: str) -> Iterator[bytes]:
    """Yield the bytes of each entry of a list.

    Raises:
        ValueError: the list is not there, or it has no end.
    """
    begin = _find_list(document, name)
    depth = _ENTRY_DEPTH
    for token, position in _tokens(document, begin):
        depth += _DEPTH_STEPS.get(token, 0)
        is_end = depth < _ENTRY_DEPTH
        if is_end or (token == b',' and depth == _ENTRY_DEPTH):
            yield document[begin:position]
            begin = position + 1
        if is_end:
            return
    raise ValueError(f'the list of {name} has no end')


def _find_list(document: bytes, name: str) -> int:
    """Return where the first entry of a list begins.

    Raises:
        ValueError: the document has no such list.
    """
    opening = (b'"%b"' % name.encode(), b':', b'[')
    last = (b'', b'', b'')
    depth = 0
    for token, position in _tokens(document, 0):
        depth += _DEPTH_STEPS.get(token, 0)
        last = (*last[1:], token)
        if depth == _ENTRY_DEPTH and last == opening:
            return position + 1
    raise ValueError(f'the answer has no list of {name}')


def _tokens(document: bytes, begin: int) -> Iterator[tuple[bytes, int]]:
    for index, match in enumerate(_TOKEN.finditer(document, begin)):
        if index % TOKENS_PER_YIELD == 0:
            sleep(0)
        yield match.group(), match.start()
