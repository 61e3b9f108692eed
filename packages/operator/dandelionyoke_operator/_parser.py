"""INI text as sections of options, with every line that is no INI.

`configparser` stops at the first fault of form. Here the faulty line is
noted and replaced, and the text is read again, so that the operator gets
all faults in one report instead of one for each attempt.
"""

import configparser
from collections.abc import Iterator

import attrs

from dandelionyoke_operator._mistakes import Mistake
from dandelionyoke_operator._value_types import COMMENT_PREFIX

# configparser copies a default section's options into all others. A header
# cannot hold a line break, so no section of a file can become the default.
_UNUSABLE_DEFAULT_SECTION = '\n'

_LINE_REMEDY = 'Write [section name], option = value, or # and a comment'


@attrs.frozen
class IniSection:
    """A section as it stands in the file."""

    header: str
    options: dict[str, str]


@attrs.define
class LenientIniReader:
    """Lines of INI text; faulty ones are replaced and noted."""

    lines: list[str]
    mistakes: list[Mistake] = attrs.field(factory=list)
    _placeholders: set[str] = attrs.field(factory=set)

    def sections(self) -> tuple[IniSection, ...]:
        """Read all sections that can be made out."""
        parser = self._parse()
        return tuple(
            IniSection(name, self._options(parser, name))
            for name in parser.sections()
            if name not in self._placeholders
        )

    def _options(
        self, parser: configparser.ConfigParser, section: str
    ) -> dict[str, str]:
        return {
            name: text
            for name, text in parser.items(section)
            if name not in self._placeholders
        }

    def _parse(self) -> configparser.ConfigParser:
        parser = None
        # Each round replaces a line at least, so the rounds are bounded.
        while parser is None:
            parser = self._try_parse()
        return parser

    def _try_parse(self) -> configparser.ConfigParser | None:
        parser = _new_parser()
        try:
            parser.read_string('\n'.join(self.lines))
        except configparser.DuplicateSectionError as error:
            self._replace_header(error)
        except configparser.DuplicateOptionError as error:
            self._replace_option(error)
        except configparser.ParsingError as error:
            self._blank_lines(error)
        else:
            return parser
        return None

    def _replace_header(
        self, error: configparser.DuplicateSectionError
    ) -> None:
        line_number = error.lineno or 1
        self._add_repetition(
            str(error.section), '', 'a second section of this name', line_number
        )
        self.lines[line_number - 1] = f'[{self._placeholder(line_number)}]'

    def _replace_option(self, error: configparser.DuplicateOptionError) -> None:
        line_number = error.lineno or 1
        self._add_repetition(
            str(error.section),
            str(error.option),
            'the option a second time',
            line_number,
        )
        self.lines[line_number - 1] = f'{self._placeholder(line_number)} ='

    def _blank_lines(self, error: configparser.ParsingError) -> None:
        for line_number in _line_numbers(error):
            found = self.lines[line_number - 1].strip()
            self.mistakes.append(
                Mistake('', f'line {line_number}', repr(found), _LINE_REMEDY)
            )
            self.lines[line_number - 1] = ''

    def _placeholder(self, line_number: int) -> str:
        name = f'repeated at line {line_number}'
        self._placeholders.add(name)
        return name

    def _add_repetition(
        self, section: str, option: str, found: str, line_number: int
    ) -> None:
        place = f'{found} at line {line_number}'
        self.mistakes.append(
            Mistake(section, option, place, 'Keep one of them')
        )


def read_ini(text: str) -> LenientIniReader:
    """Take a text apart into lines."""
    return LenientIniReader(text.split('\n'))


def _new_parser() -> configparser.ConfigParser:
    parser = configparser.ConfigParser(
        delimiters=('=',),
        comment_prefixes=(COMMENT_PREFIX,),
        interpolation=None,
        default_section=_UNUSABLE_DEFAULT_SECTION,
    )
    # An option keeps its case: `Priority` is told as unknown, not guessed.
    parser.optionxform = str  # type: ignore[assignment, method-assign]
    return parser


def _line_numbers(error: configparser.ParsingError) -> Iterator[int]:
    if isinstance(error, configparser.MissingSectionHeaderError):
        yield error.lineno
        return
    for line_number, _ in error.errors:
        yield line_number
