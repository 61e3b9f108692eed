"""Parser of configuration files that reports all mistakes at once."""

import difflib
from collections.abc import Iterable, Iterator
from typing import Any

import attrs

from dandelionyoke_core import Entity, Section
from dandelionyoke_operator._configuration import Configuration
from dandelionyoke_operator._mistake_finder import find_mistakes
from dandelionyoke_operator._mistakes import ConfigurationMistakes, Mistake
from dandelionyoke_operator._options import (
    SECTION_SCHEMAS,
    OptionSchema,
    SectionSchema,
)
from dandelionyoke_operator._parser import IniSection, read_ini
from dandelionyoke_operator._printer import BASE_OPTION, BASE_SECTION

_KINDS = tuple(section.value for section in Section)
_SECTION_REMEDY = f'Write [KIND NAME] with one of the kinds {", ".join(_KINDS)}'
_BASE_REMEDY = 'Write the revision that this file was read at, or leave it out'


def parse_configuration(text: str) -> Configuration:
    """Parse a configuration from INI text.

    Raises:
        ConfigurationMistakes: the text is invalid; lists each mistake.
    """
    ini = read_ini(text)
    reader = _ConfigurationReader()
    for section in ini.sections():
        reader.read_section(section)
    mistakes = (
        *ini.mistakes,
        *reader.mistakes,
        *find_mistakes(reader.entities),
    )
    if mistakes:
        raise ConfigurationMistakes(mistakes)
    return Configuration(reader.entities, reader.base_revision)


@attrs.define
class _ConfigurationReader:
    """Entities and mistakes collected while reading sections."""

    entities: list[Entity] = attrs.field(factory=list)
    mistakes: list[Mistake] = attrs.field(factory=list)
    base_revision: int | None = None

    def read_section(self, section: IniSection) -> None:
        if section.header == BASE_SECTION:
            self._read_base(section)
            return
        kind, _, name = section.header.partition(' ')
        if kind in _KINDS and name.strip():
            schema = SECTION_SCHEMAS[Section(kind)]
            self._read_entity(section, schema, name.strip())
            return
        self._add_mistake(section.header, '', 'this section', _SECTION_REMEDY)

    def _read_base(self, section: IniSection) -> None:
        for name, text in section.options.items():
            if name == BASE_OPTION and text.isdecimal():
                self.base_revision = int(text)
            else:
                self._add_mistake(BASE_SECTION, name, repr(text), _BASE_REMEDY)

    def _read_entity(
        self, section: IniSection, schema: SectionSchema, name: str
    ) -> None:
        fields = {schema.name_field: name}
        fields.update(self._fields(section, schema))
        missing = schema.required_fields() - fields.keys()
        for option in schema.options:
            if option.field in missing and option.name not in section.options:
                self._add_mistake(
                    section.header,
                    option.name,
                    'nothing',
                    option.value_type.remedy,
                )
        if not missing:
            self.entities.append(schema.entity_type(**fields))

    def _fields(
        self, section: IniSection, schema: SectionSchema
    ) -> Iterator[tuple[str, Any]]:
        for name, text in section.options.items():
            option = schema.option(name)
            if option is None:
                remedy = _unknown_option_remedy(name, schema.options)
                self._add_mistake(
                    section.header, name, 'an unknown option', remedy
                )
                continue
            try:
                yield option.field, option.value_type.parse(text)
            except ValueError:
                self._add_mistake(
                    section.header, name, repr(text), option.value_type.remedy
                )

    def _add_mistake(
        self, section: str, option: str, found: str, remedy: str
    ) -> None:
        self.mistakes.append(Mistake(section, option, found, remedy))


def _unknown_option_remedy(name: str, options: Iterable[OptionSchema]) -> str:
    known = [option.name for option in options]
    similar = difflib.get_close_matches(name.lower(), known, n=1)
    if similar:
        return f'Write {similar[0]}'
    return f'Write one of {", ".join(known)}'
