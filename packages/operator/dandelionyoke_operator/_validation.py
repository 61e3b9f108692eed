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
    header,
    layout_of,
)
from dandelionyoke_operator._snapshot import snapshot_of
from dandelionyoke_operator._value_types import Form


def find_mistakes(entities: Iterable[Entity]) -> tuple[Mistake, ...]:
    """Find every wrong name, value and reference."""
    listed = tuple(entities)
    names = {(layout_of(each).section, entity_name(each)) for each in listed}
    found = list(_repeated(listed))
    for entity in listed:
        found.extend(_wrong_values(entity))
        found.extend(_dangling(entity, names))
    if found:
        return tuple(found)
    # What takes several options to judge, the core judges for all of us.
    return core_mistakes(validate(snapshot_of(listed, Snapshot().revision)))


def core_mistakes(problems: Iterable[Problem]) -> tuple[Mistake, ...]:
    """Tell the core's problems in the operator's form."""
    return tuple(
        Mistake(problem.subject, '', problem.detail, problem.remedy)
        for problem in problems
    )


def _repeated(entities: Iterable[Entity]) -> Iterator[Mistake]:
    counts = Counter(header(entity) for entity in entities)
    for title, count in counts.items():
        if count > 1:
            yield Mistake(
                title, '', f'{count} sections of this name', 'Keep one of them'
            )


def _wrong_values(entity: Entity) -> Iterator[Mistake]:
    layout = layout_of(entity)
    if not _reads_back(layout.name_form, entity_name(entity)):
        yield Mistake(
            header(entity),
            '',
            'a name of another form',
            layout.name_form.remedy,
        )
    for option in layout.options:
        found = getattr(entity, option.field)
        if not _reads_back(option.form, found):
            yield Mistake(
                header(entity), option.name, repr(found), option.form.remedy
            )


def _dangling(
    entity: Entity, names: set[tuple[Section, str]]
) -> Iterator[Mistake]:
    for option in layout_of(entity).options:
        wanted = option.refers_to
        named = getattr(entity, option.field)
        if wanted is None or (wanted, named) in names:
            continue
        yield Mistake(
            header(entity),
            option.name,
            f'{named!r}, which is not declared',
            f'Add [{wanted.value} {named}], or name one that is there',
        )


def _reads_back(form: Form, found: Any) -> bool:
    """Tell whether a value reads back from its printed form.

    An object built in Python can hold what no file could: a text for a
    number, a line break. Printed, it would read back as something else.
    """
    try:
        return bool(form.read(form.write(found)) == found)
    except (ValueError, TypeError, AttributeError):
        return False
