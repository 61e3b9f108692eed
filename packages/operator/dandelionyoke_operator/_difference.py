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
from dandelionyoke_operator._options import (
    Option,
    header,
    layout_of,
)
from dandelionyoke_operator._reports import (
    OptionDifference,
    SectionDifference,
)
from dandelionyoke_operator._snapshot import find_entity, place_of_entity

ADDED = 'added'
CHANGED = 'changed'
REMOVED = 'removed'


def describe(
    operations: Iterable[Operation], before: Snapshot
) -> tuple[SectionDifference, ...]:
    """Tell what operations would change in a snapshot."""
    return tuple(_describe(operation, before) for operation in operations)


def place_of(operation: Operation) -> tuple[Section, str]:
    """Tell which entity an operation is about."""
    if isinstance(operation, Remove):
        return operation.section, operation.name
    return place_of_entity(operation.entity)


def _describe(operation: Operation, before: Snapshot) -> SectionDifference:
    section, name = place_of(operation)
    present = find_entity(before, section, name)
    title = f'{section.value} {name}'
    match operation:
        case Remove():
            return SectionDifference(
                REMOVED, title, tuple(_options(present, None))
            )
        case Put(entity):
            action = CHANGED if present else ADDED
            return SectionDifference(
                action, header(entity), tuple(_options(present, entity))
            )


def _options(
    before: Entity | None, after: Entity | None
) -> Iterator[OptionDifference]:
    either = after or before
    if either is None:
        return
    for option in layout_of(either).options:
        old = None if before is None else _printed(option, before)
        new = None if after is None else _printed(option, after)
        if old != new:
            yield OptionDifference(option.name, old, new)


def _printed(option: Option, entity: Entity) -> str:
    text = option.form.write(getattr(entity, option.field))
    return ', '.join(line.strip() for line in text.strip().split('\n'))
