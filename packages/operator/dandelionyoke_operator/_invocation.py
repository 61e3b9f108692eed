"""One call of the program: its command's arguments, typed, and its world."""

import pathlib
from collections.abc import Iterator, Mapping

import attrs

from dandelionyoke_operator._configuration import Configuration
from dandelionyoke_operator._environment import Environment
from dandelionyoke_operator._errors import UsageError
from dandelionyoke_operator._ini import parse_configuration
from dandelionyoke_operator._platform import Platform
from dandelionyoke_operator._repository import Repository
from dandelionyoke_operator._settings import Settings

STANDARD_INPUT = '-'

# Each change that left the head costs a read of its own, a millisecond or
# two; this many are read in a fraction of a second.
HISTORY_LIMIT = 256


@attrs.frozen
class Invocation:
    """What a command works with."""

    environment: Environment
    settings: Settings
    arguments: Mapping[str, str | None]
    options: Mapping[str, str | None]

    def argument(self, name: str) -> str:
        """Give an argument that its declaration requires."""
        return self.arguments.get(name) or ''

    def option(self, name: str) -> str | None:
        """Give an option's value, or None."""
        return self.options.get(name)

    def log_lines(self) -> Iterator[str]:
        """Read the logs that the command names, or standard input.

        Raises:
            UsageError: a file cannot be read.
        """
        names = self.option('logs')
        if names is None:
            yield from self.environment.stdin
            return
        for name in names.split(','):
            yield from _read_lines(name)

    def revision(self) -> int:
        """Give the revision that the command names.

        Raises:
            UsageError: it is none.
        """
        return _parse_whole_number(self.argument('revision'), 'REVISION')

    @property
    def author(self) -> str:
        """Who stands for a change in the audit trail.

        Raises:
            UsageError: nobody is named.
        """
        author = (
            self.option('author')
            or self.settings.author
            or self.environment.user
        )
        if author:
            return _require_one_line(author, '--author')
        raise UsageError('Nobody is named as the author', 'Give --author NAME')

    @property
    def reason(self) -> str:
        """Why a change is made, for the audit trail.

        Raises:
            UsageError: no reason is given.
        """
        reason = self.reason_or_default('')
        if reason:
            return reason
        raise UsageError(
            'No reason is given', 'Give --reason TEXT for the audit trail'
        )

    def reason_or_default(self, default: str) -> str:
        """Why a change is made; a default where nobody says."""
        return _require_one_line(self.option('reason') or default, '--reason')

    @property
    def base_revision(self) -> int | None:
        """The revision that the operator says a file was written against."""
        text = self.option('base')
        return None if text is None else _parse_whole_number(text, '--base')

    @property
    def limit(self) -> int:
        """How many of the last changes to read."""
        text = self.option('limit')
        return _parse_whole_number(text, '--limit') if text else HISTORY_LIMIT

    def configuration(self) -> Configuration:
        """Read the file that the command names; `-` is standard input.

        Raises:
            UsageError: the file cannot be read.
            ConfigurationMistakes: its content is wrong.
        """
        return parse_configuration(self._read_file(self.argument('file')))

    def platform(self) -> Platform:
        """Connect to the platform."""
        return self.environment.connect(self.settings.require_platform())

    def repository(self, platform: Platform) -> Repository:
        """Reach the configuration in the platform's store."""
        return Repository(platform.store, self.environment)

    def _read_file(self, path: str) -> str:
        if path == STANDARD_INPUT:
            return self.environment.stdin.read()
        try:
            return pathlib.Path(path).read_text(encoding='utf-8-sig')
        except (OSError, UnicodeDecodeError) as error:
            raise UsageError(
                f'The file {path} cannot be read: {error}',
                'Name a readable text file, or - for standard input',
            ) from error


def _require_one_line(text: str, place: str) -> str:
    if text.isprintable():
        return text
    raise UsageError(f'{place} is {text!r}', 'Write a text on one line')


def _parse_whole_number(text: str, place: str) -> int:
    if text.isdecimal():
        return int(text)
    raise UsageError(f'{place} is {text!r}', 'Write a whole number')


def _read_lines(name: str) -> Iterator[str]:
    try:
        text = pathlib.Path(name).read_text(errors='replace')
    except OSError as bad:
        raise UsageError(
            f'{name} cannot be read: {bad.strerror}', 'Name log files'
        ) from bad
    yield from text.splitlines()
