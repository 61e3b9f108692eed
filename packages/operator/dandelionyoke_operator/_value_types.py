"""Kinds of values: how each is read from INI and printed."""

import math
import re
from collections.abc import Callable
from typing import Any

import attrs

from dandelionyoke_core import ServiceKind

NONE = 'none'
COMMENT_PREFIX = '#'
ITEM_INDENT = '\n    '

_NAME = re.compile('[A-Za-z0-9][A-Za-z0-9._:/@+-]{0,127}')
_HASH = re.compile('[0-9a-f]{64}')
_CALL_PATTERN = re.compile(r'[A-Z]+ /\S*')


def is_hash(text: str) -> bool:
    """Tell whether a text is a SHA-256 in lower-case hex."""
    return _HASH.fullmatch(text) is not None


@attrs.frozen
class ValueType:
    """A kind of value: how it is read, printed, and described.

    `read` raises ValueError for text that is no such value; `remedy` is
    the sentence that then tells what to write.
    """

    read: Callable[[str], Any]
    write: Callable[[Any], str]
    remedy: str


def _integer(minimum: int, maximum: int, remedy: str) -> ValueType:
    def read(text: str) -> int:
        return _check_range(int(text), minimum, maximum)

    return ValueType(read, str, remedy)


def _check_range(number: int, minimum: int, maximum: int) -> int:
    if minimum <= number <= maximum:
        return number
    raise ValueError(number)


def _read_positive(text: str) -> float:
    number = float(text)
    if number > 0 and math.isfinite(number):
        return number
    raise ValueError(text)


def _read_share(text: str) -> float:
    share = float(text)
    if 0 <= share <= 1:
        return share
    raise ValueError(text)


def _write_float(number: float) -> str:
    return repr(float(number)).removesuffix('.0')


def _read_optional(text: str) -> float | None:
    return None if text == NONE else _read_positive(text)


def _write_optional(number: float | None) -> str:
    return NONE if number is None else _write_float(number)


def _read_text(text: str) -> str:
    if text != text.strip() or not text.isprintable():
        raise ValueError(text)
    return text


def _text_matching(pattern: re.Pattern[str], remedy: str) -> ValueType:
    def read(text: str) -> str:
        if pattern.fullmatch(text):
            return text
        raise ValueError(text)

    return ValueType(read, str, remedy)


def _list_of(form: ValueType, remedy: str) -> ValueType:
    def read(text: str) -> tuple[str, ...]:
        lines = (line.strip() for line in text.split('\n'))
        return tuple(form.read(line) for line in lines if line)

    return ValueType(
        read, _write_lines, f'{remedy}, each on its own line, indented'
    )


def _write_lines(listed: tuple[str, ...]) -> str:
    return ''.join(f'{ITEM_INDENT}{each}' for each in listed)


def _write_kind(kind: ServiceKind) -> str:
    return kind.value


MAX_INTEGER = 10**12

TEXT = ValueType(_read_text, str, 'Write a text on one line')
NAME = _text_matching(
    _NAME,
    'Write a name of at most 128 letters, digits and . _ : / @ + -, '
    'beginning with a letter or a digit',
)
HASH = _text_matching(
    _HASH,
    'Write the SHA-256 of the key in 64 lower-case hex digits, '
    'never the key itself',
)
NAMES = _list_of(NAME, 'Write names')
CALL_PATTERNS = _list_of(
    _text_matching(_CALL_PATTERN, ''),
    'Write calls as METHOD /path; a path that ends in * covers all below it',
)
PRIORITY = _integer(0, 9, 'Write a whole number from 0 (lowest) to 9')
POSITIVE_INTEGER = _integer(1, MAX_INTEGER, 'Write a whole number above 0')
NON_NEGATIVE_INTEGER = _integer(
    0, MAX_INTEGER, 'Write a whole number, 0 or above'
)
POSITIVE_NUMBER = ValueType(
    _read_positive, _write_float, 'Write a number above 0'
)
FRACTION = ValueType(_read_share, _write_float, 'Write a number from 0 to 1')
OPTIONAL_SECONDS = ValueType(
    _read_optional,
    _write_optional,
    f'Write a number of seconds above 0, or {NONE}',
)
SERVICE_KIND = ValueType(ServiceKind, _write_kind, 'Write engine or plain')
