"""A whole configuration as the operator writes it."""

from collections.abc import Iterable

import attrs

from dandelionyoke_core import ApiKey, Entity, Snapshot
from dandelionyoke_operator._formatter import format_entities
from dandelionyoke_operator._mistakes import ConfigurationMistakes
from dandelionyoke_operator._schema import (
    SECTION_SCHEMAS,
    entity_name,
    schema_of,
)
from dandelionyoke_operator._snapshot import entities_of, snapshot_of
from dandelionyoke_operator._validation import find_mistakes

_SECTION_ORDER = tuple(SECTION_SCHEMAS)


def _sorted(entities: Iterable[Entity]) -> tuple[Entity, ...]:
    return tuple(sorted(entities, key=_sort_key))


def _sort_key(entity: Entity) -> tuple[int, str]:
    return _SECTION_ORDER.index(schema_of(entity).section), entity_name(entity)


@attrs.frozen
class Configuration:
    """Organisations, keys, services and models that hold together.

    Building one checks all of it and tells every mistake in one report.
    `str()` of it is its INI form. `base_revision` is the revision that it
    was read at; None where it was written from nothing.

    Raises:
        ConfigurationMistakes: a value, a name or a reference is wrong.
    """

    entities: tuple[Entity, ...] = attrs.field(converter=_sorted)
    base_revision: int | None = None

    def __attrs_post_init__(self) -> None:
        mistakes = find_mistakes(self.entities)
        if mistakes:
            raise ConfigurationMistakes(mistakes)

    def __str__(self) -> str:
        return format_entities(self.entities, self.base_revision)

    @classmethod
    def of(cls, *entities: Entity) -> 'Configuration':
        """Build a configuration from its parts, in any order."""
        return cls(entities)

    @classmethod
    def from_snapshot(cls, snapshot: Snapshot) -> 'Configuration':
        """Take what is in force, to print it or to change it."""
        return cls(tuple(entities_of(snapshot)), snapshot.revision)

    @property
    def snapshot(self) -> Snapshot:
        """This configuration as the core's snapshot."""
        return snapshot_of(self.entities, self.base_revision or 0)

    @property
    def names_keys(self) -> bool:
        """Tell whether any key is declared here."""
        return any(isinstance(entity, ApiKey) for entity in self.entities)
