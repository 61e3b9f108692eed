"""Mistakes in a configuration, reported together."""

from collections.abc import Iterable

import attrs

from dandelionyoke_core import ConfigurationError, Section
from dandelionyoke_operator._forms import is_hash

SHOWN_KEY_CHARACTERS = 8


def redact_key(header: str) -> str:
    """Shorten a key that was written in place of its hash.

    Error reports are shown on screens and copied into tickets. A whole key
    would leak there unnoticed and not be withdrawn.
    """
    kind, _, name = header.partition(' ')
    if kind == Section.KEY.value and name and not is_hash(name):
        return f'{kind} {name[:SHOWN_KEY_CHARACTERS]}...'
    return header


@attrs.frozen
class Mistake:
    """Mistake at one place in a configuration, with a remedy.

    `section` is the section header as written in the file, without brackets.
    `option` is empty if the mistake concerns the section itself. `found` is
    the invalid text or its description.
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
    """All mistakes of one configuration."""

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
