"""Reading mappings that may come from any writer."""

import json
from collections.abc import Mapping
from typing import Any

Fields = Mapping[str, Any]


class ShapeError(ValueError):
    """A field is missing or of another type."""


def mapping_of(text: str | bytes) -> Fields:
    """Read a JSON object."""
    try:
        found = json.loads(text)
    except ValueError as bad:
        raise ShapeError('not JSON') from bad
    if not isinstance(found, dict):
        raise ShapeError('not an object')
    return found


def text_of(fields: Fields, name: str) -> str:
    """Read a text that must be there and not empty."""
    found = fields.get(name)
    if not isinstance(found, str) or not found:
        raise ShapeError(f'{name} is no text')
    return found


def number_of(fields: Fields, name: str, default: float | None = None) -> float:
    """Read a number."""
    found = fields.get(name, default)
    if isinstance(found, bool) or not isinstance(found, int | float):
        raise ShapeError(f'{name} is no number')
    return found


def whole_of(fields: Fields, name: str, default: int | None = None) -> int:
    """Read a whole number."""
    found = fields.get(name, default)
    if isinstance(found, bool) or not isinstance(found, int):
        raise ShapeError(f'{name} is no whole number')
    return found


def objects_of(fields: Fields, name: str) -> list[Fields]:
    """Read a list of objects; a missing one is empty."""
    found = fields.get(name) or []
    if not isinstance(found, list):
        raise ShapeError(f'{name} is no list')
    if not all(isinstance(one, dict) for one in found):
        raise ShapeError(f'{name} holds something else than objects')
    return found
