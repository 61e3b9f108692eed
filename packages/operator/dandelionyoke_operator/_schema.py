"""What each section of the INI form may contain.

One table serves the reader and the printer, so that neither can know an
option that the other does not.
"""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Any

import attrs

from dandelionyoke_core import (
    ApiKey,
    Entity,
    Model,
    Organisation,
    Section,
    Service,
)
from dandelionyoke_operator._value_types import (
    CALLS,
    COUNT,
    HASH,
    KIND,
    NAME,
    NAMES,
    NUMBER,
    OPTIONAL_SECONDS,
    PRIORITY,
    SHARE,
    TARGETS,
    TEXT,
    Form,
)


@attrs.frozen
class Option:
    """An option: its name in the file, the entity's field and its form.

    `refers_to` is the kind of section that the value has to name.
    """

    name: str
    field: str
    form: Form
    refers_to: Section | None = None


@attrs.frozen
class Layout:
    """What a section of one kind may hold, and the entity it makes.

    The name in the section's header goes into `name_field`.
    """

    section: Section
    entity_type: type[Any]
    name_field: str
    name_form: Form
    options: tuple[Option, ...]

    def option(self, name: str) -> Option | None:
        """Look an option up by its name in the file."""
        for option in self.options:
            if option.name == name:
                return option
        return None

    def required_fields(self) -> frozenset[str]:
        """Name the entity's fields that have no default."""
        fields = attrs.fields_dict(self.entity_type)
        return frozenset(
            name
            for name, field in fields.items()
            if field.default is attrs.NOTHING
        )


_ORGANISATION = Layout(
    Section.ORGANISATION,
    Organisation,
    'organisation_id',
    NAME,
    (
        Option('priority', 'priority', PRIORITY),
        Option('weight', 'weight', COUNT),
        Option('tokens_per_s', 'tokens_per_s', COUNT),
        Option('requests_per_s', 'requests_per_s', NUMBER),
        Option('concurrent_requests', 'concurrent_requests', COUNT),
        Option(
            'knowledge_age_limit_s',
            'knowledge_age_limit_s',
            OPTIONAL_SECONDS,
        ),
    ),
)
_KEY = Layout(
    Section.KEY,
    ApiKey,
    'key_hash',
    HASH,
    (
        Option('organisation', 'organisation_id', NAME, Section.ORGANISATION),
        Option('label', 'label', TEXT),
    ),
)
_SERVICE = Layout(
    Section.SERVICE,
    Service,
    'service_name',
    NAME,
    (
        Option('kind', 'kind', KIND),
        Option('reclaimable_share', 'reclaimable_share', SHARE),
        Option('min_targets', 'min_targets', TARGETS),
        Option('max_targets', 'max_targets', TARGETS),
        Option('unrepeatable', 'unrepeatable', CALLS),
    ),
)
_MODEL = Layout(
    Section.MODEL,
    Model,
    'model_name',
    NAME,
    (
        Option('service', 'service_name', NAME, Section.SERVICE),
        Option('version', 'version', NAME),
        Option('adapters', 'adapters', NAMES),
        Option('context_tokens', 'context_tokens', COUNT),
    ),
)

LAYOUTS: Mapping[Section, Layout] = MappingProxyType(
    {
        layout.section: layout
        for layout in (_ORGANISATION, _KEY, _SERVICE, _MODEL)
    }
)


def layout_of(entity: Entity) -> Layout:
    """Find the layout of an entity's section."""
    for layout in LAYOUTS.values():
        if isinstance(entity, layout.entity_type):
            return layout
    raise TypeError(f'{entity!r} has no section')


def entity_name(entity: Entity) -> str:
    """Tell the name that identifies an entity within its section."""
    return str(getattr(entity, layout_of(entity).name_field))


def header(entity: Entity) -> str:
    """Tell the header of an entity's section, without brackets."""
    return f'{layout_of(entity).section.value} {entity_name(entity)}'
