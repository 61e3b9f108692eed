"""Conversion of messages and records to plain mappings and JSON text.

The mappings are sent to peers as CBOR and kept in the store as JSON. Fields
that a newer version adds have defaults and unknown fields are ignored, so
that two versions can run side by side during a rolling update.
"""

import json
from collections.abc import Mapping
from typing import Any, TypeVar

import cattrs
from cattrs.strategies import configure_tagged_union

from dandelionyoke_core._entities import Entity, Operation
from dandelionyoke_core._errors import CodecError
from dandelionyoke_core._events import PeerMessage
from dandelionyoke_core._json import parse_json

Record = TypeVar('Record')

TYPE_FIELD = 'type'
_DECODE_ERRORS = (
    ValueError,
    TypeError,
    KeyError,
    OverflowError,
    cattrs.BaseValidationError,
)
_REMEDY = 'Run the same version of dandelionyoke on both ends'


def _build_converter() -> cattrs.Converter:
    converter = cattrs.Converter()
    # Entity is nested in Operation: the hooks of Operation capture those of
    # Entity, so these must be registered first.
    configure_tagged_union(Entity, converter, tag_name=TYPE_FIELD)
    configure_tagged_union(Operation, converter, tag_name=TYPE_FIELD)
    return converter


_CONVERTER = _build_converter()


def _collect_message_types(
    base: type[PeerMessage],
) -> dict[str, type[PeerMessage]]:
    types_by_name = {base.__name__: base}
    for subclass in base.__subclasses__():
        types_by_name.update(_collect_message_types(subclass))
    return types_by_name


class _MessageTypeRegistry:
    """Message types by name, collected again when a name is unknown.

    Modules that are imported later define further types.
    """

    def __init__(self) -> None:
        self._types_by_name: dict[str, type[PeerMessage]] = {}

    def find(self, name: str) -> type[PeerMessage] | None:
        """Return a type by its name; None if no imported module defines it."""
        if name not in self._types_by_name:
            self._types_by_name = _collect_message_types(PeerMessage)
        return self._types_by_name.get(name)


_MESSAGE_TYPES = _MessageTypeRegistry()


def record_to_json(record: object) -> str:
    """Encode a record as JSON; equal records give the same text."""
    return json.dumps(
        _CONVERTER.unstructure(record), sort_keys=True, separators=(',', ':')
    )


def record_from_json(text: str, record_type: type[Record]) -> Record:
    """Decode a record from JSON text.

    Raises:
        CodecError: the text is not a valid record of this type.
    """
    try:
        return _CONVERTER.structure(parse_json(text), record_type)
    except _DECODE_ERRORS as error:
        raise CodecError(
            f'{text[:80]!r} is not a valid {record_type.__name__}', _REMEDY
        ) from error


def message_to_mapping(message: PeerMessage) -> dict[str, Any]:
    """Encode a peer message as a mapping that contains its type's name."""
    mapping = _CONVERTER.unstructure(message)
    mapping[TYPE_FIELD] = type(message).__name__
    return dict(mapping)


def message_from_mapping(mapping: Mapping[str, Any]) -> PeerMessage:
    """Decode a peer message from a mapping.

    Raises:
        CodecError: the type is unknown or a field is missing or invalid.
    """
    name = mapping.get(TYPE_FIELD)
    message_type = _MESSAGE_TYPES.find(str(name))
    if message_type is None:
        raise CodecError(f'{name!r} is not a peer message type', _REMEDY)
    try:
        return _CONVERTER.structure(mapping, message_type)
    except _DECODE_ERRORS as error:
        raise CodecError(
            f'a {name} has a missing or invalid field', _REMEDY
        ) from error
