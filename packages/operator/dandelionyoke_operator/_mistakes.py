"""What is wrong in a configuration, told all at once."""

from collections.abc import Iterable

import attrs

from dandelionyoke_core import ConfigurationError, Section
from dandelionyoke_operator._value_types import is_hash

SHOWN_KEY_CHARACTERS = 8


def redact_key(header: str) -> str:
    """Shorten a key that stands where its hash should.

    A report ends up on screens and in tickets. The key would be read there
    by others, and nobody would notice that it has to be withdrawn.
    """
    kind, _, name = header.partition(' ')
    if kind == Section.KEY.value and name and not is_hash(name):
        return f'{kind} {name[:SHOWN_KEY_CHARACTERS]}...'
    return header


@attrs.frozen
class Mistake:
    """One wrong place: the section, the option, what is there, the remedy.

    `section` is the header as it stands in the file, without brackets;
    `option` is empty where the mistake is the section itself.
    """

    section: str = attrs.field(converter=redact_key)
    option: str
    found: str
    remedy: str

    def __str__(self) -> str:
        place = f'[{self.section}]' if self.section else 'the file'
        if self.option:
            place = f'{place} {self.option}'
        return f'{place}: found {self.found}. {self.remedy}.'


class ConfigurationMistakes(ConfigurationError):
    """Every mistake of one configuration, in one report."""

    def __init__(self, mistakes: Iterable[Mistake]) -> None:
        self.mistakes = tuple(mistakes)
        count = len(self.mistakes)
        plural = 'mistake' if count == 1 else 'mistakes'
        super().__init__(
            f'The configuration has {count} {plural}',
            'Mend each place named here, then check it again',
        )

    def __str__(self) -> str:
        return '\n'.join((self.problem, *map(str, self.mistakes)))
