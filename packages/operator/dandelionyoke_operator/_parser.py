"""INI parser that reports all syntax errors at once.

`configparser` stops at the first syntax error. This parser records the
faulty line, replaces it and parses the text again, so that the operator gets
all errors in one report instead of one for each attempt.
"""

import configparser
from collections.abc import Iterator

import attrs

from dandelionyoke_operator._forms import COMMENT_PREFIX
from dandelionyoke_operator._mistakes import Mistake

# configparser copies the options of the default section into all others. A
# section header cannot contain a line break, so this name disables that.
_UNUSABLE_DEFAULT_SECTION = '\n'

_LINE_REMEDY = 'Write [section name], option = value, or # and a comment'


@attrs.frozen
class IniSection:
    """Section header without brackets, and the options as text."""

    header: str
    options: dict[str, str]


@attrs.define
class LenientIniReader:
    """Lines of INI text; faulty lines are recorded and replaced."""

    lines: list[str]
    mistakes: list[Mistake] = attrs.field(factory=list)
    _placeholders: set[str] = attrs.field(factory=set)

    def sections(self) -> tuple[IniSection, ...]:
        """Parse all sections that have a valid header."""
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
        # Each attempt replaces at least one line, so the loop terminates.
        while parser is None:
            parser = self._try_parse()
        return parser

    def _try_parse(self) -> configparser.ConfigParser | None:
        parser = _create_parser()
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
        description = f'{found} at line {line_number}'
        self.mistakes.append(
            Mistake(section, option, description, 'Keep one of them')
        )


def read_ini(text: str) -> LenientIniReader:
    """Create a parser for a text."""
    return LenientIniReader(text.split('\n'))


def _create_parser() -> configparser.ConfigParser:
    parser = configparser.ConfigParser(
        delimiters=('=',),
        comment_prefixes=(COMMENT_PREFIX,),
        interpolation=None,
        default_section=_UNUSABLE_DEFAULT_SECTION,
    )
    # Option names are case-sensitive: `Priority` is reported as unknown.
    parser.optionxform = str  # type: ignore[assignment, method-assign]
    return parser


def _line_numbers(error: configparser.ParsingError) -> Iterator[int]:
    if isinstance(error, configparser.MissingSectionHeaderError):
        yield error.lineno
        return
    for line_number, _ in error.errors:
        yield line_number
