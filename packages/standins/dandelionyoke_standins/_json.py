"""Conversion between JSON bodies and attrs classes."""

import json
from collections.abc import Mapping
from typing import Any, TypeVar

import attrs

from dandelionyoke_core import parse_json
from dandelionyoke_standins._errors import BadCallError

Json = dict[str, Any]
Record = TypeVar('Record', bound=attrs.AttrsInstance)


def encode(body: Any) -> bytes:
    """Serialise a body as JSON; it may contain attrs instances."""
    return json.dumps(body, default=attrs.asdict).encode()


def decode(body: bytes) -> Json:
    """Parse a JSON object; an empty body counts as an empty object."""
    try:
        parsed = parse_json(body or b'{}')
    except ValueError as error:
        raise BadCallError(cause=f'not JSON: {error}') from error
    if not isinstance(parsed, dict):
        raise BadCallError(cause='not a JSON object')
    return parsed


def build(record_type: type[Record], body: Mapping[str, Any]) -> Record:
    """Create an attrs instance from a body, ignoring unknown fields."""
    names = {field.name for field in attrs.fields(record_type)}
    arguments = {name: body[name] for name in names if name in body}
    try:
        return record_type(**arguments)
    except TypeError as error:
        raise BadCallError(cause=str(error)) from error
