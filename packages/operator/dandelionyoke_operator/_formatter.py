"""The INI form of entities: the same text for the same content."""

from collections.abc import Iterable
from typing import Any

from dandelionyoke_core import Entity
from dandelionyoke_operator._schema import Option, header, layout_of

BASE_SECTION = 'configuration'
BASE_OPTION = 'base_revision'


def print_entities(
    entities: Iterable[Entity], base_revision: int | None
) -> str:
    """Print sections in the given order, after the revision they are of."""
    blocks = [print_entity(entity) for entity in entities]
    if base_revision is not None:
        base = f'[{BASE_SECTION}]\n{BASE_OPTION} = {base_revision}\n'
        blocks.insert(0, base)
    return '\n'.join(blocks)


def print_entity(entity: Entity) -> str:
    """Print one section."""
    lines = [f'[{header(entity)}]']
    for option in layout_of(entity).options:
        lines.append(print_option(option, getattr(entity, option.field)))
    return ''.join(f'{line}\n' for line in lines)


def print_option(option: Option, found: Any) -> str:
    """Print one option; a list begins on the line below its name."""
    text = option.form.write(found)
    separator = ' =' if text.startswith('\n') or not text else ' = '
    return f'{option.name}{separator}{text}'
