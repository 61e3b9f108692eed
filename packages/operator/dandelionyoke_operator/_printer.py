"""Formats entities as INI; equal entities give the same text."""

from collections.abc import Iterable
from typing import Any

from dandelionyoke_core import Entity
from dandelionyoke_operator._options import (
    OptionSchema,
    schema_of,
    section_header,
)

BASE_SECTION = 'configuration'
BASE_OPTION = 'base_revision'


def format_entities(
    entities: Iterable[Entity], base_revision: int | None
) -> str:
    """Format entities in the given order, after their base revision."""
    blocks = [format_entity(entity) for entity in entities]
    if base_revision is not None:
        base_section = f'[{BASE_SECTION}]\n{BASE_OPTION} = {base_revision}\n'
        blocks.insert(0, base_section)
    return '\n'.join(blocks)


def format_entity(entity: Entity) -> str:
    """Format the section of one entity."""
    lines = [f'[{section_header(entity)}]']
    for option in schema_of(entity).options:
        lines.append(format_option(option, getattr(entity, option.field)))
    return ''.join(f'{line}\n' for line in lines)


def format_option(option: OptionSchema, option_value: Any) -> str:
    """Format one option; a list begins on the line below its name."""
    text = option.value_type.format(option_value)
    separator = ' =' if text.startswith('\n') or not text else ' = '
    return f'{option.name}{separator}{text}'
