"""Schemas of the sections in a configuration file.

The parser and the formatter use the same schemas, so that both support the
same options.
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
from dandelionyoke_operator._forms import (
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
    """Option of a section: its name, the entity's field and the value type.

    `refers_to` is the kind of section that the value must be the name of.
    """

    name: str
    field: str
    value_type: ValueType
    refers_to: Section | None = None


@attrs.frozen
class SectionSchema:
    """Options of one kind of section, and the entity type it describes.

    The name in the section header is stored in the field `name_field`.
    """

    section: Section
    entity_type: type[Any]
    name_field: str
    name_type: ValueType
    options: tuple[OptionSchema, ...]

    def option(self, name: str) -> OptionSchema | None:
        """Return the option with a name, or None."""
        for option in self.options:
            if option.name == name:
                return option
        return None

    def required_fields(self) -> frozenset[str]:
        """Return the names of the entity's fields without a default."""
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
        schema.section: schema
        for schema in (_ORGANISATION, _KEY, _SERVICE, _MODEL)
    }
)


def schema_of(entity: Entity) -> SectionSchema:
    """Return the schema of an entity's section."""
    for schema in SECTION_SCHEMAS.values():
        if isinstance(entity, schema.entity_type):
            return schema
    raise TypeError(f'{entity!r} has no section schema')


def entity_name(entity: Entity) -> str:
    """Return the name that identifies an entity within its kind."""
    return str(getattr(entity, schema_of(entity).name_field))


def section_header(entity: Entity) -> str:
    """Return the header of an entity's section, without brackets."""
    return f'{schema_of(entity).section.value} {entity_name(entity)}'
