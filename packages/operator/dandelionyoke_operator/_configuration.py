"""A whole configuration as the operator writes it."""

from collections.abc import Iterable

import attrs

from dandelionyoke_core import ApiKey, Entity, Snapshot
from dandelionyoke_operator._formatter import print_entities
from dandelionyoke_operator._mistakes import ConfigurationMistakes
from dandelionyoke_operator._schema import LAYOUTS, entity_name, layout_of
from dandelionyoke_operator._snapshot import members_of, snapshot_of
from dandelionyoke_operator._validation import find_mistakes

_ORDER = tuple(LAYOUTS)


def _sorted(entities: Iterable[Entity]) -> tuple[Entity, ...]:
    return tuple(sorted(entities, key=_place))


def _place(entity: Entity) -> tuple[int, str]:
    return _ORDER.index(layout_of(entity).section), entity_name(entity)


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
        return print_entities(self.entities, self.base_revision)

    @classmethod
    def of(cls, *entities: Entity) -> 'Configuration':
        """Build a configuration from its parts, in any order."""
        return cls(entities)

    @classmethod
    def from_snapshot(cls, snapshot: Snapshot) -> 'Configuration':
        """Take what is in force, to print it or to change it."""
        return cls(tuple(members_of(snapshot)), snapshot.revision)

    @property
    def snapshot(self) -> Snapshot:
        """This configuration as the core's snapshot."""
        return snapshot_of(self.entities, self.base_revision or 0)

    @property
    def names_keys(self) -> bool:
        """Tell whether any key is declared here."""
        return any(isinstance(entity, ApiKey) for entity in self.entities)
