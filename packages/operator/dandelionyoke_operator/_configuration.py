"""A complete, validated configuration."""

from collections.abc import Iterable

import attrs

from dandelionyoke_core import ApiKey, Entity, Snapshot
from dandelionyoke_operator._mistake_finder import find_mistakes
from dandelionyoke_operator._mistakes import ConfigurationMistakes
from dandelionyoke_operator._options import (
    SECTION_SCHEMAS,
    entity_name,
    schema_of,
)
from dandelionyoke_operator._printer import format_entities
from dandelionyoke_operator._snapshot import entities_of, snapshot_of

_SECTION_ORDER = tuple(SECTION_SCHEMAS)


def _sorted(entities: Iterable[Entity]) -> tuple[Entity, ...]:
    return tuple(sorted(entities, key=_sort_key))


def _sort_key(entity: Entity) -> tuple[int, str]:
    return _SECTION_ORDER.index(schema_of(entity).section), entity_name(entity)


@attrs.frozen
class Configuration:
    """Consistent set of organisations, keys, services and models.

    The constructor validates all entities and reports every mistake at
    once. `str()` returns the configuration as INI. `base_revision` is the
    revision that the configuration was read at, or None if it is not based
    on a stored configuration.

    Raises:
        ConfigurationMistakes: a value, name or reference is invalid.
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
        """Build a configuration from entities in any order."""
        return cls(entities)

    @classmethod
    def from_snapshot(cls, snapshot: Snapshot) -> 'Configuration':
        """Build a configuration from a stored snapshot."""
        return cls(tuple(entities_of(snapshot)), snapshot.revision)

    @property
    def snapshot(self) -> Snapshot:
        """Snapshot with the same entities, as used by the core package."""
        return snapshot_of(self.entities, self.base_revision or 0)

    @property
    def names_keys(self) -> bool:
        """Whether the configuration declares any key."""
        return any(isinstance(entity, ApiKey) for entity in self.entities)
