"""Changes in the words of the INI form."""

from collections.abc import Iterable, Iterator

from dandelionyoke_core import (
    Entity,
    Operation,
    Put,
    Remove,
    Section,
    Snapshot,
)
from dandelionyoke_operator._reports import (
    OptionDifference,
    SectionDifference,
)
from dandelionyoke_operator._schema import (
    OptionSchema,
    schema_of,
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
    """Tell what operations would change in a snapshot."""
    return tuple(
        describe_operation(
            operation, find_entity(before, *operation_reference(operation))
        )
        for operation in operations
    )


def operation_reference(operation: Operation) -> EntityReference:
    """Tell which entity an operation is about."""
    if isinstance(operation, Remove):
        return operation.section, operation.name
    return entity_reference(operation.entity)


def describe_operation(
    operation: Operation, before: Entity | None
) -> SectionDifference:
    """Tell what an operation makes of what was there before."""
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
    """Tell of an operation where it is not known what was there before."""
    section, name = operation_reference(operation)
    action = SET if isinstance(operation, Put) else REMOVED
    return SectionDifference(action, f'{section.value} {name}')


def _option_differences(
    before: Entity | None, after: Entity | None
) -> Iterator[OptionDifference]:
    either = after or before
    if either is None:
        return
    for option in schema_of(either).options:
        old = None if before is None else _format_value(option, before)
        new = None if after is None else _format_value(option, after)
        if old != new:
            yield OptionDifference(option.name, old, new)


def _format_value(option: OptionSchema, entity: Entity) -> str:
    text = option.value_type.write(getattr(entity, option.field))
    return ', '.join(line.strip() for line in text.strip().split('\n'))
