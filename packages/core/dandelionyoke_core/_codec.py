"""Messages and records as plain mappings and text, in one place.

Peers get CBOR made of these mappings; the store holds JSON of them. A field
that a newer version adds has a default, and an unknown one is ignored, so
that two versions can run side by side during a replacement.
"""

import json
from collections.abc import Mapping
from typing import Any, TypeVar

import cattrs
from cattrs.strategies import configure_tagged_union

from dandelionyoke_core._entities import Entity, Operation
from dandelionyoke_core._errors import CodecError
from dandelionyoke_core._events import PeerMessage

Record = TypeVar('Record')

TYPE_FIELD = 'type'
_MALFORMED = (ValueError, TypeError, KeyError, cattrs.BaseValidationError)
_REMEDY = 'Run the same version of dandelionyoke on both ends'


def _converter() -> cattrs.Converter:
    converter = cattrs.Converter()
    # The inner union first: the outer one's hooks take up what is there.
    configure_tagged_union(Entity, converter, tag_name=TYPE_FIELD)
    configure_tagged_union(Operation, converter, tag_name=TYPE_FIELD)
    return converter


_CONVERTER = _converter()


def _message_types(
    base: type[PeerMessage],
) -> dict[str, type[PeerMessage]]:
    found = {base.__name__: base}
    for child in base.__subclasses__():
        found.update(_message_types(child))
    return found


class _MessageTypes:
    """The message types by name; looked for again when a name is not known.

    A module that is imported later brings further types.
    """

    def __init__(self) -> None:
        self._known: dict[str, type[PeerMessage]] = {}

    def find(self, name: str) -> type[PeerMessage] | None:
        """Find a type; None where no module has it."""
        if name not in self._known:
            self._known = _message_types(PeerMessage)
        return self._known.get(name)


_MESSAGE_TYPES = _MessageTypes()


def record_to_json(record: object) -> str:
    """Write a record as JSON text, the same text for the same record."""
    return json.dumps(
        _CONVERTER.unstructure(record), sort_keys=True, separators=(',', ':')
    )


def record_from_json(text: str, record_type: type[Record]) -> Record:
    """Read a record from JSON text.

    Raises:
        CodecError: the text is not such a record.
    """
    try:
        return _CONVERTER.structure(json.loads(text), record_type)
    except _MALFORMED as bad:
        raise CodecError(
            f'{text[:80]!r} is no {record_type.__name__}', _REMEDY
        ) from bad


def message_to_mapping(message: PeerMessage) -> dict[str, Any]:
    """Turn a peer message into a mapping that names its type."""
    mapping = _CONVERTER.unstructure(message)
    mapping[TYPE_FIELD] = type(message).__name__
    return dict(mapping)


def message_from_mapping(mapping: Mapping[str, Any]) -> PeerMessage:
    """Read a peer message from a mapping.

    Raises:
        CodecError: the type is unknown or a field is wrong.
    """
    name = mapping.get(TYPE_FIELD)
    message_type = _MESSAGE_TYPES.find(str(name))
    if message_type is None:
        raise CodecError(f'{name!r} is no peer message', _REMEDY)
    try:
        return _CONVERTER.structure(mapping, message_type)
    except _MALFORMED as bad:
        raise CodecError(f'a {name} with a wrong field came', _REMEDY) from bad
