"""Validated access to the fields of untrusted JSON objects."""

import math
from collections.abc import Callable, Mapping
from typing import Any, TypeVar

from dandelionyoke_core import parse_json
from dandelionyoke_gateway._messages import parse_whole_number

MAX_PORT = 65535
# What other programs hold in 64 bits; a larger one has no float either.
MAX_INTEGER = 2**63 - 1

Fields = Mapping[str, Any]
_Parsed = TypeVar('_Parsed')


class FieldError(ValueError):
    """A field is missing or has the wrong type."""


def parse_object(
    text: str | bytes, *, allows_surrogates: bool = False
) -> Fields:
    """Parse a JSON object."""
    try:
        value = parse_json(text, allows_surrogates=allows_surrogates)
    except ValueError as error:
        raise FieldError('not valid JSON') from error
    if not isinstance(value, dict):
        raise FieldError('not a JSON object')
    return value


def get_text(fields: Fields, name: str) -> str:
    """Return a required, non-empty string."""
    value = fields.get(name)
    if not isinstance(value, str) or not value:
        raise FieldError(f'{name} is not a non-empty string')
    return value


def get_number(
    fields: Fields, name: str, default: float | None = None
) -> float:
    """Return a finite number, or the default if the field is missing."""
    value = fields.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise FieldError(f'{name} is not a number')
    try:
        is_finite = math.isfinite(value)
    except OverflowError as error:
        raise FieldError(f'{name} is too large') from error
    if not is_finite:
        raise FieldError(f'{name} is not a finite number')
    return value


def get_int(fields: Fields, name: str, default: int | None = None) -> int:
    """Return an integer, or the default if the field is missing."""
    value = fields.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int):
        raise FieldError(f'{name} is not an integer')
    if abs(value) > MAX_INTEGER:
        raise FieldError(f'{name} is too large')
    return value


def get_flag(fields: Fields, name: str) -> bool:
    """Return a truth value; a missing field is False."""
    value = fields.get(name)
    if value is not None and not isinstance(value, bool):
        raise FieldError(f'{name} is not true or false')
    return bool(value)


def get_object(fields: Fields, name: str) -> Fields | None:
    """Return an object; None if the field is missing."""
    value = fields.get(name)
    if value is not None and not isinstance(value, dict):
        raise FieldError(f'{name} is not an object')
    return value


def get_objects(fields: Fields, name: str) -> list[Fields]:
    """Return a list of objects; a missing field is an empty list."""
    value = _get_list(fields, name)
    if not all(isinstance(item, dict) for item in value):
        raise FieldError(f'{name} contains an item that is not an object')
    return value


def get_texts(fields: Fields, name: str) -> list[str]:
    """Return a list of non-empty strings; a missing field is an empty list."""
    value = _get_list(fields, name)
    if not all(isinstance(item, str) and item for item in value):
        raise FieldError(
            f'{name} contains an item that is not a non-empty string'
        )
    return value


def get_numbers(fields: Fields, name: str) -> dict[str, float]:
    """Return an object of numbers; a missing field is an empty one."""
    return parse_part(fields, name, _parse_numbers) or {}


def get_address(fields: Fields, name: str) -> str:
    """Return a required address of the form host:port."""
    address = get_text(fields, name)
    host, _, port_text = address.rpartition(':')
    port = parse_whole_number(port_text)
    if not host or port is None or not 0 < port <= MAX_PORT:
        raise FieldError(f'{name} {address!r} is not a host:port address')
    return address


def parse_items(
    fields: Fields, name: str, parse: Callable[[Fields], _Parsed]
) -> list[_Parsed]:
    """Parse a list of objects; its errors name the index."""
    items = []
    for index, item in enumerate(get_objects(fields, name)):
        try:
            items.append(parse(item))
        except FieldError as error:
            raise FieldError(f'{name}[{index}]: {error}') from error
    return items


def parse_part(
    fields: Fields, name: str, parse: Callable[[Fields], _Parsed]
) -> _Parsed | None:
    """Parse an object, whose errors name it; None if it is missing."""
    part = get_object(fields, name)
    if part is None:
        return None
    try:
        return parse(part)
    except FieldError as error:
        raise FieldError(f'{name}: {error}') from error


def _parse_numbers(fields: Fields) -> dict[str, float]:
    return {name: get_number(fields, name) for name in fields}


def _get_list(fields: Fields, name: str) -> list[Any]:
    value = fields.get(name)
    if value is None:
        return []
    if not isinstance(value, list):
        raise FieldError(f'{name} is not a list')
    return value
