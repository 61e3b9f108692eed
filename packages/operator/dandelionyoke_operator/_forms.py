"""Types of option values: parsing from INI text and formatting."""

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
    """Return whether a text is a SHA-256 digest in lower-case hex."""
    return _HASH.fullmatch(text) is not None


@attrs.frozen
class ValueType:
    """Type of option values, with its parser and formatter.

    `parse` raises ValueError for invalid text. `remedy` is the sentence of
    the error message that describes valid text.
    """

    parse: Callable[[str], Any]
    format: Callable[[Any], str]
    remedy: str


def _integer(minimum: int, maximum: int, remedy: str) -> ValueType:
    def parse(text: str) -> int:
        return _check_range(int(text), minimum, maximum)

    return ValueType(parse, str, remedy)


def _check_range(number: int, minimum: int, maximum: int) -> int:
    if minimum <= number <= maximum:
        return number
    raise ValueError(number)


def _parse_positive(text: str) -> float:
    number = float(text)
    if number > 0 and math.isfinite(number):
        return number
    raise ValueError(text)


def _parse_fraction(text: str) -> float:
    fraction = float(text)
    if 0 <= fraction <= 1:
        return fraction
    raise ValueError(text)


def _format_float(number: float) -> str:
    return repr(float(number)).removesuffix('.0')


def _parse_optional(text: str) -> float | None:
    return None if text == NONE else _parse_positive(text)


def _format_optional(number: float | None) -> str:
    return NONE if number is None else _format_float(number)


def _parse_text(text: str) -> str:
    if text != text.strip() or not text.isprintable():
        raise ValueError(text)
    return text


def _text_matching(pattern: re.Pattern[str], remedy: str) -> ValueType:
    def parse(text: str) -> str:
        if pattern.fullmatch(text):
            return text
        raise ValueError(text)

    return ValueType(parse, str, remedy)


def _list_of(item_type: ValueType, remedy: str) -> ValueType:
    def parse(text: str) -> tuple[str, ...]:
        lines = (line.strip() for line in text.split('\n'))
        return tuple(item_type.parse(line) for line in lines if line)

    return ValueType(
        parse, _format_lines, f'{remedy}, each on its own line, indented'
    )


def _format_lines(items: tuple[str, ...]) -> str:
    return ''.join(f'{ITEM_INDENT}{item}' for item in items)


def _format_service_kind(kind: ServiceKind) -> str:
    return kind.value


MAX_INTEGER = 10**12

TEXT = ValueType(_parse_text, str, 'Write a text on one line')
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
    'Write calls as METHOD /path; a path that ends in * matches every suffix',
)
PRIORITY = _integer(0, 9, 'Write a whole number from 0 (lowest) to 9')
POSITIVE_INTEGER = _integer(1, MAX_INTEGER, 'Write a whole number above 0')
NON_NEGATIVE_INTEGER = _integer(
    0, MAX_INTEGER, 'Write a whole number, 0 or above'
)
POSITIVE_NUMBER = ValueType(
    _parse_positive, _format_float, 'Write a number above 0'
)
FRACTION = ValueType(
    _parse_fraction, _format_float, 'Write a number from 0 to 1'
)
OPTIONAL_SECONDS = ValueType(
    _parse_optional,
    _format_optional,
    f'Write a number of seconds above 0, or {NONE}',
)
SERVICE_KIND = ValueType(
    ServiceKind, _format_service_kind, 'Write engine or plain'
)
