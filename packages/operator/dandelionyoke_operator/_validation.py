"""Finds every mistake in the entities of a configuration."""

from collections import Counter
from collections.abc import Iterable, Iterator
from typing import Any

from dandelionyoke_core import (
    Entity,
    Problem,
    Section,
    Snapshot,
    validate,
)
from dandelionyoke_operator._mistakes import Mistake
from dandelionyoke_operator._schema import (
    entity_name,
    schema_of,
    section_header,
)
from dandelionyoke_operator._snapshot import snapshot_of
from dandelionyoke_operator._value_types import ValueType


def find_mistakes(entities: Iterable[Entity]) -> tuple[Mistake, ...]:
    """Find every wrong name, value and reference."""
    listed = tuple(entities)
    names = {(schema_of(each).section, entity_name(each)) for each in listed}
    found = list(_duplicate_sections(listed))
    for entity in listed:
        found.extend(_invalid_values(entity))
        found.extend(_dangling_references(entity, names))
    if found:
        return tuple(found)
    # What takes several options to judge, the core judges for all of us.
    return mistakes_from_problems(
        validate(snapshot_of(listed, Snapshot().revision))
    )


def mistakes_from_problems(problems: Iterable[Problem]) -> tuple[Mistake, ...]:
    """Tell the core's problems in the operator's form."""
    return tuple(
        Mistake(problem.subject, '', problem.detail, problem.remedy)
        for problem in problems
    )


def _duplicate_sections(entities: Iterable[Entity]) -> Iterator[Mistake]:
    counts = Counter(section_header(entity) for entity in entities)
    for title, count in counts.items():
        if count > 1:
            yield Mistake(
                title, '', f'{count} sections of this name', 'Keep one of them'
            )


def _invalid_values(entity: Entity) -> Iterator[Mistake]:
    layout = schema_of(entity)
    if not _round_trips(layout.name_type, entity_name(entity)):
        yield Mistake(
            section_header(entity),
            '',
            'a name of another form',
            layout.name_type.remedy,
        )
    for option in layout.options:
        found = getattr(entity, option.field)
        if not _round_trips(option.value_type, found):
            yield Mistake(
                section_header(entity),
                option.name,
                repr(found),
                option.value_type.remedy,
            )


def _dangling_references(
    entity: Entity, names: set[tuple[Section, str]]
) -> Iterator[Mistake]:
    for option in schema_of(entity).options:
        wanted = option.refers_to
        named = getattr(entity, option.field)
        if wanted is None or (wanted, named) in names:
            continue
        yield Mistake(
            section_header(entity),
            option.name,
            f'{named!r}, which is not declared',
            f'Add [{wanted.value} {named}], or name one that is there',
        )


def _round_trips(form: ValueType, found: Any) -> bool:
    """Tell whether a value reads back from its printed form.

    An object built in Python can hold what no file could: a text for a
    number, a line break. Printed, it would read back as something else.
    """
    try:
        return bool(form.read(form.write(found)) == found)
    except (ValueError, TypeError, AttributeError):
        return False
