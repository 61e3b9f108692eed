"""The command line interface of `dandelionyoke-entry`."""

import pathlib
import sys

from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.inputs.argv_input import ArgvInput

from dandelionyoke_core import SettingsError
from dandelionyoke_entry._exit_status import ExitStatus
from dandelionyoke_entry._process import Process
from dandelionyoke_entry._settings import EntrySettings, read_settings

PROGRAM = 'dandelionyoke-entry'
VERSION = '0.1.0'


class RunCommand(Command):
    """Serve callers as one entry instance."""

    name = 'run'
    description = 'Serve callers as one entry instance.'
    options = [  # noqa: RUF012, WPS100 - cleo asks for a plain list
        option('settings', 's', 'The INI file with the settings.', flag=False),
        option('check', 'c', 'Check the settings and exit.'),
    ]

    def handle(self) -> int:
        """Check the settings, and serve unless --check is given."""
        try:
            settings = _load_settings(self.option('settings'))
        except SettingsError as error:
            self.line_error(str(error))
            return ExitStatus.BAD_SETTINGS
        if self.option('check'):
            self.line('The settings are valid.')
            return ExitStatus.OK
        return Process(settings).run()


def _load_settings(path: str | None) -> EntrySettings:
    if path is None:
        raise SettingsError('No settings are given', 'Add --settings FILE')
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(
            f'{path} cannot be read: {error}', 'Name a readable INI file'
        ) from error
    return read_settings(text)


def run_program(arguments: list[str]) -> int:
    """Run the program with its arguments and return its exit status."""
    application = Application(PROGRAM, VERSION)
    application.auto_exits(False)
    application.add(RunCommand())
    return application.run(ArgvInput([PROGRAM, 'run', *arguments]))


def run_from_shell() -> int:
    """Run the program with the arguments of this process."""
    return run_program(sys.argv[1:])
