"""Invocation of a command: its environment, settings and typed arguments."""

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

# Default for --limit. Each change that is no longer in the head record costs
# a separate read of 1 or 2 ms, so this many take a fraction of a second.
HISTORY_LIMIT = 256


@attrs.frozen
class Invocation:
    """Environment, settings, arguments and options of a command."""

    environment: Environment
    settings: Settings
    arguments: Mapping[str, str | None]
    options: Mapping[str, str | None]

    def argument(self, name: str) -> str:
        """Return a required argument."""
        return self.arguments.get(name) or ''

    def option(self, name: str) -> str | None:
        """Return the value of an option, or None."""
        return self.options.get(name)

    def log_lines(self) -> Iterator[str]:
        """Yield the lines of the files given by --logs, or of standard input.

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
        """Return the argument REVISION.

        Raises:
            UsageError: it is not a whole number.
        """
        return _parse_whole_number(self.argument('revision'), 'REVISION')

    @property
    def author(self) -> str:
        """Author of a change, for the audit trail.

        Raises:
            UsageError: no author is known.
        """
        author = (
            self.option('author')
            or self.settings.author
            or self.environment.user
        )
        if author:
            return _require_one_line(author, '--author')
        raise UsageError('No author is given', 'Give --author NAME')

    @property
    def reason(self) -> str:
        """Reason of a change, for the audit trail.

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
        """Return the reason of a change, or a default if none is given."""
        return _require_one_line(self.option('reason') or default, '--reason')

    @property
    def base_revision(self) -> int | None:
        """Revision given by --base, or None."""
        text = self.option('base')
        return None if text is None else _parse_whole_number(text, '--base')

    @property
    def limit(self) -> int:
        """Number of most recent changes to read."""
        text = self.option('limit')
        return _parse_whole_number(text, '--limit') if text else HISTORY_LIMIT

    def configuration(self) -> Configuration:
        """Parse the file given as argument; `-` is standard input.

        Raises:
            UsageError: the file cannot be read.
            ConfigurationMistakes: its content is invalid.
        """
        return parse_configuration(self._read_file(self.argument('file')))

    def platform(self) -> Platform:
        """Return a client of the platform."""
        return self.environment.connect(self.settings.require_platform())

    def repository(self, platform: Platform) -> Repository:
        """Return the configuration repository in the platform's store."""
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


def _require_one_line(text: str, source: str) -> str:
    if text.isprintable():
        return text
    raise UsageError(f'{source} is {text!r}', 'Write a text on one line')


def _parse_whole_number(text: str, source: str) -> int:
    if text.isdecimal():
        return int(text)
    raise UsageError(f'{source} is {text!r}', 'Write a whole number')


def _read_lines(name: str) -> Iterator[str]:
    try:
        text = pathlib.Path(name).read_text(errors='replace')
    except OSError as error:
        raise UsageError(
            f'{name} cannot be read: {error.strerror}',
            'Name readable log files',
        ) from error
    yield from text.splitlines()
