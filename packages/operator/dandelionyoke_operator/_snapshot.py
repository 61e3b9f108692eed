"""Between a flat list of entities and the core's snapshot."""

from collections.abc import Iterable, Iterator

from dandelionyoke_core import (
    ApiKey,
    Entity,
    Model,
    Organisation,
    Section,
    Service,
    Snapshot,
)
from dandelionyoke_operator._schema import entity_name, schema_of


def snapshot_of(entities: Iterable[Entity], revision: int) -> Snapshot:
    """Group entities by section."""
    listed = tuple(entities)
    return Snapshot(
        revision=revision,
        organisations={
            each.organisation_id: each
            for each in listed
            if isinstance(each, Organisation)
        },
        keys={
            each.key_hash: each for each in listed if isinstance(each, ApiKey)
        },
        services={
            each.service_name: each
            for each in listed
            if isinstance(each, Service)
        },
        models={
            each.model_name: each for each in listed if isinstance(each, Model)
        },
    )


def entities_of(snapshot: Snapshot) -> Iterator[Entity]:
    """List all entities of a snapshot."""
    yield from snapshot.organisations.values()
    yield from snapshot.keys.values()
    yield from snapshot.services.values()
    yield from snapshot.models.values()


def entity_reference(entity: Entity) -> tuple[Section, str]:
    """Tell the section and the name of an entity."""
    return schema_of(entity).section, entity_name(entity)


def find_entity(
    snapshot: Snapshot, section: Section, name: str
) -> Entity | None:
    """Look an entity up by its section and name."""
    for entity in entities_of(snapshot):
        if entity_reference(entity) == (section, name):
            return entity
    return None
