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
    CALL_PATTERNS,
    FRACTION,
    HASH,
    NAME,
    NAMES,
    NON_NEGATIVE_INTEGER,
    OPTIONAL_SECONDS,
    POSITIVE_INTEGER,
    POSITIVE_NUMBER,
    PRIORITY,
    SERVICE_KIND,
    TEXT,
    ValueType,
)


@attrs.frozen
class OptionSchema:
    """An option: its name in the file, the entity's field and its form.

    `refers_to` is the kind of section that the value has to name.
    """

    name: str
    field: str
    value_type: ValueType
    refers_to: Section | None = None


@attrs.frozen
class SectionSchema:
    """What a section of one kind may hold, and the entity it makes.

    The name in the section's header goes into `name_field`.
    """

    section: Section
    entity_type: type[Any]
    name_field: str
    name_type: ValueType
    options: tuple[OptionSchema, ...]

    def option(self, name: str) -> OptionSchema | None:
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


_ORGANISATION = SectionSchema(
    Section.ORGANISATION,
    Organisation,
    'organisation_id',
    NAME,
    (
        OptionSchema('priority', 'priority', PRIORITY),
        OptionSchema('weight', 'weight', POSITIVE_INTEGER),
        OptionSchema('tokens_per_s', 'tokens_per_s', POSITIVE_INTEGER),
        OptionSchema('requests_per_s', 'requests_per_s', POSITIVE_NUMBER),
        OptionSchema(
            'concurrent_requests', 'concurrent_requests', POSITIVE_INTEGER
        ),
        OptionSchema(
            'knowledge_age_limit_s',
            'knowledge_age_limit_s',
            OPTIONAL_SECONDS,
        ),
    ),
)
_KEY = SectionSchema(
    Section.KEY,
    ApiKey,
    'key_hash',
    HASH,
    (
        OptionSchema(
            'organisation', 'organisation_id', NAME, Section.ORGANISATION
        ),
        OptionSchema('label', 'label', TEXT),
    ),
)
_SERVICE = SectionSchema(
    Section.SERVICE,
    Service,
    'service_name',
    NAME,
    (
        OptionSchema('kind', 'kind', SERVICE_KIND),
        OptionSchema('reclaimable_share', 'reclaimable_share', FRACTION),
        OptionSchema('min_targets', 'min_targets', NON_NEGATIVE_INTEGER),
        OptionSchema('max_targets', 'max_targets', NON_NEGATIVE_INTEGER),
        OptionSchema('unrepeatable', 'unrepeatable', CALL_PATTERNS),
    ),
)
_MODEL = SectionSchema(
    Section.MODEL,
    Model,
    'model_name',
    NAME,
    (
        OptionSchema('service', 'service_name', NAME, Section.SERVICE),
        OptionSchema('version', 'version', NAME),
        OptionSchema('adapters', 'adapters', NAMES),
        OptionSchema('context_tokens', 'context_tokens', POSITIVE_INTEGER),
    ),
)

SECTION_SCHEMAS: Mapping[Section, SectionSchema] = MappingProxyType(
    {
        layout.section: layout
        for layout in (_ORGANISATION, _KEY, _SERVICE, _MODEL)
    }
)


def schema_of(entity: Entity) -> SectionSchema:
    """Find the layout of an entity's section."""
    for layout in SECTION_SCHEMAS.values():
        if isinstance(entity, layout.entity_type):
            return layout
    raise TypeError(f'{entity!r} has no section')


def entity_name(entity: Entity) -> str:
    """Tell the name that identifies an entity within its section."""
    return str(getattr(entity, schema_of(entity).name_field))


def section_header(entity: Entity) -> str:
    """Tell the header of an entity's section, without brackets."""
    return f'{schema_of(entity).section.value} {entity_name(entity)}'
