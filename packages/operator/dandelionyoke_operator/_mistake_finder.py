"""Validation of the entities of a configuration."""

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
from dandelionyoke_operator._forms import ValueType
from dandelionyoke_operator._mistakes import Mistake
from dandelionyoke_operator._options import (
    entity_name,
    schema_of,
    section_header,
)
from dandelionyoke_operator._snapshot import snapshot_of


def find_mistakes(entities: Iterable[Entity]) -> tuple[Mistake, ...]:
    """Return a mistake for every invalid name, value and reference."""
    entity_list = tuple(entities)
    names = {
        (schema_of(each).section, entity_name(each)) for each in entity_list
    }
    found = list(_duplicate_sections(entity_list))
    for entity in entity_list:
        found.extend(_invalid_values(entity))
        found.extend(_dangling_references(entity, names))
    if found:
        return tuple(found)
    # The core package validates rules that involve several options.
    return mistakes_from_problems(
        validate(snapshot_of(entity_list, Snapshot().revision))
    )


def mistakes_from_problems(problems: Iterable[Problem]) -> tuple[Mistake, ...]:
    """Convert problems reported by the core package to mistakes."""
    return tuple(
        Mistake(problem.subject, '', problem.detail, problem.remedy)
        for problem in problems
    )


def _duplicate_sections(entities: Iterable[Entity]) -> Iterator[Mistake]:
    counts = Counter(section_header(entity) for entity in entities)
    for header, count in counts.items():
        if count > 1:
            yield Mistake(
                header, '', f'{count} sections of this name', 'Keep one of them'
            )


def _invalid_values(entity: Entity) -> Iterator[Mistake]:
    schema = schema_of(entity)
    if not _round_trips(schema.name_type, entity_name(entity)):
        yield Mistake(
            section_header(entity),
            '',
            'an invalid name',
            schema.name_type.remedy,
        )
    for option in schema.options:
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
        target_section = option.refers_to
        target_name = getattr(entity, option.field)
        if target_section is None or (target_section, target_name) in names:
            continue
        yield Mistake(
            section_header(entity),
            option.name,
            f'{target_name!r}, which is not declared',
            f'Add [{target_section.value} {target_name}], '
            'or name one that is there',
        )


def _round_trips(value_type: ValueType, found: Any) -> bool:
    """Return whether parsing the formatted value gives the same value.

    An object built in Python can hold values that a file cannot, such as a
    text in place of a number, or a line break. These would be printed as
    INI that parses to something else.
    """
    try:
        return bool(value_type.parse(value_type.format(found)) == found)
    except (ValueError, TypeError, AttributeError):
        return False
