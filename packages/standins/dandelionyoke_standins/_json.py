"""JSON bodies to and from attrs classes."""

import json
from collections.abc import Mapping
from typing import Any, TypeVar

import attrs

from dandelionyoke_standins._errors import BadCallError

Json = dict[str, Any]
Record = TypeVar('Record', bound=attrs.AttrsInstance)


def encode(body: Any) -> bytes:
    """Write a body, attrs classes included, as JSON."""
    return json.dumps(body, default=attrs.asdict).encode()


def decode(body: bytes) -> Json:
    """Read a body that is one JSON object; nothing is an empty one."""
    try:
        answer = json.loads(body or b'{}')
    except ValueError as error:
        raise BadCallError(cause=f'not JSON: {error}') from error
    if not isinstance(answer, dict):
        raise BadCallError(cause='not a JSON object')
    return answer


def build(kind: type[Record], body: Mapping[str, Any]) -> Record:
    """Build an attrs class from the fields that the body gives for it."""
    names = {field.name for field in attrs.fields(kind)}
    given = {name: body[name] for name in names if name in body}
    try:
        return kind(**given)
    except TypeError as error:
        raise BadCallError(cause=str(error)) from error
