"""Describes operations as differences between INI sections."""

from collections.abc import Iterable, Iterator

from dandelionyoke_core import (
    Entity,
    Operation,
    Put,
    Remove,
    Section,
    Snapshot,
)
from dandelionyoke_operator._options import (
    OptionSchema,
    schema_of,
)
from dandelionyoke_operator._reports import (
    OptionDifference,
    SectionDifference,
)
from dandelionyoke_operator._snapshot import entity_reference, find_entity

ADDED = 'added'
CHANGED = 'changed'
REMOVED = 'removed'
SET = 'set'

EntityReference = tuple[Section, str]


def describe(
    operations: Iterable[Operation], before: Snapshot
) -> tuple[SectionDifference, ...]:
    """Describe what operations would change in a snapshot."""
    return tuple(
        describe_operation(
            operation, find_entity(before, *operation_reference(operation))
        )
        for operation in operations
    )


def operation_reference(operation: Operation) -> EntityReference:
    """Return the section and name of the entity that an operation changes."""
    if isinstance(operation, Remove):
        return operation.section, operation.name
    return entity_reference(operation.entity)


def describe_operation(
    operation: Operation, before: Entity | None
) -> SectionDifference:
    """Describe an operation, given the entity before it or None."""
    section, name = operation_reference(operation)
    after = operation.entity if isinstance(operation, Put) else None
    action = CHANGED
    if after is None:
        action = REMOVED
    elif before is None:
        action = ADDED
    return SectionDifference(
        action,
        f'{section.value} {name}',
        tuple(_option_differences(before, after)),
    )


def describe_without_previous(operation: Operation) -> SectionDifference:
    """Describe an operation if the previous entity is not known."""
    section, name = operation_reference(operation)
    action = SET if isinstance(operation, Put) else REMOVED
    return SectionDifference(action, f'{section.value} {name}')


def _option_differences(
    before: Entity | None, after: Entity | None
) -> Iterator[OptionDifference]:
    entity = after or before
    if entity is None:
        return
    for option in schema_of(entity).options:
        old_value = None if before is None else _format_value(option, before)
        new_value = None if after is None else _format_value(option, after)
        if old_value != new_value:
            yield OptionDifference(option.name, old_value, new_value)


def _format_value(option: OptionSchema, entity: Entity) -> str:
    text = option.value_type.format(getattr(entity, option.field))
    return ', '.join(line.strip() for line in text.strip().split('\n'))
