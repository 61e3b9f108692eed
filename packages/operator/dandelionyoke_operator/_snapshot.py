"""Conversion between lists of entities and snapshots of the core package."""

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
from dandelionyoke_operator._options import entity_name, schema_of


def snapshot_of(entities: Iterable[Entity], revision: int) -> Snapshot:
    """Build a snapshot from entities."""
    entity_list = tuple(entities)
    return Snapshot(
        revision=revision,
        organisations={
            each.organisation_id: each
            for each in entity_list
            if isinstance(each, Organisation)
        },
        keys={
            each.key_hash: each
            for each in entity_list
            if isinstance(each, ApiKey)
        },
        services={
            each.service_name: each
            for each in entity_list
            if isinstance(each, Service)
        },
        models={
            each.model_name: each
            for each in entity_list
            if isinstance(each, Model)
        },
    )


def entities_of(snapshot: Snapshot) -> Iterator[Entity]:
    """Yield all entities of a snapshot."""
    yield from snapshot.organisations.values()
    yield from snapshot.keys.values()
    yield from snapshot.services.values()
    yield from snapshot.models.values()


def entity_reference(entity: Entity) -> tuple[Section, str]:
    """Return the section and the name of an entity."""
    return schema_of(entity).section, entity_name(entity)


def find_entity(
    snapshot: Snapshot, section: Section, name: str
) -> Entity | None:
    """Return the entity with a section and name, or None."""
    for entity in entities_of(snapshot):
        if entity_reference(entity) == (section, name):
            return entity
    return None
