"""The command line application: parses arguments and runs one command."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Any

import attrs
from cleo.application import Application
from cleo.commands.command import Command
from cleo.exceptions import CleoError
from cleo.io.inputs.argv_input import ArgvInput
from cleo.io.inputs.option import Option
from cleo.io.outputs.stream_output import StreamOutput

from dandelionyoke_core import DandelionyokeError
from dandelionyoke_operator._command_definitions import (
    COMMANDS,
    COMMON_OPTIONS,
    JSON_FORMAT,
    TEXT_FORMAT,
    CommandDefinition,
)
from dandelionyoke_operator._environment import Environment
from dandelionyoke_operator._errors import UsageError, exit_status_of
from dandelionyoke_operator._exit_status import ExitStatus
from dandelionyoke_operator._invocation import Invocation
from dandelionyoke_operator._settings import (
    Settings,
    load_settings,
    parse_seconds,
)
from dandelionyoke_operator.output import Writer, json_writer, text_writer

PROGRAM = 'dandelionyoke'

_WRITERS: Mapping[str, Writer] = MappingProxyType(
    {TEXT_FORMAT: text_writer, JSON_FORMAT: json_writer}
)


class _CleoCommand(Command):
    """Adapter that exposes a command definition as a cleo command."""

    def __init__(
        self, definition: CommandDefinition, environment: Environment
    ) -> None:
        self.name = definition.name
        self.description = definition.description
        self._command_definition = definition
        self._environment = environment
        super().__init__()

    def configure(self) -> None:
        for argument in self._command_definition.arguments:
            self._definition.add_argument(argument)
        for option in self._options():
            self._definition.add_option(option)

    def handle(self) -> int:
        writer = self._writer()
        try:
            report = self._command_definition.handler(self._invocation())
        except DandelionyokeError as error:
            writer.write_error(error, self._environment.stderr)
            return exit_status_of(error)
        except KeyboardInterrupt:
            return ExitStatus.INTERRUPTED
        writer.write(report, self._environment.stdout)
        return report.exit_status

    def _options(self) -> tuple[Option, ...]:
        return (*self._command_definition.options, *COMMON_OPTIONS)

    def _writer(self) -> Writer:
        format_name = str(self.option('format'))
        writer = _WRITERS.get(format_name)
        if writer:
            return writer
        raise UsageError(
            f'--format is {format_name!r}',
            f'Write one of {", ".join(_WRITERS)}',
        )

    def _invocation(self) -> Invocation:
        options = {
            option.name: _optional_text(self.option(option.name))
            for option in self._options()
        }
        arguments = {
            argument.name: _optional_text(self.argument(argument.name))
            for argument in self._command_definition.arguments
        }
        settings = load_settings(
            options['settings'], self._environment.variables
        )
        return Invocation(
            self._environment,
            _override_settings(settings, options),
            arguments,
            options,
        )


def run(environment: Environment) -> ExitStatus:
    """Run the command given by the arguments and return its exit status."""
    application = Application(PROGRAM)
    application.auto_exits(False)
    application.catch_exceptions(False)
    for definition in COMMANDS:
        application.add(_CleoCommand(definition, environment))
    try:
        status = application.run(
            ArgvInput([PROGRAM, *environment.arguments]),
            StreamOutput(environment.stdout),
            StreamOutput(environment.stderr),
        )
    except CleoError as cleo_error:
        message = ' '.join(str(cleo_error).split())
        text_writer.write_error(
            UsageError(
                message.removesuffix('.'), f'See {PROGRAM} help COMMAND'
            ),
            environment.stderr,
        )
        return ExitStatus.USAGE
    except UsageError as error:
        text_writer.write_error(error, environment.stderr)
        return ExitStatus.USAGE
    return ExitStatus(status)


def _override_settings(
    settings: Settings, options: dict[str, str | None]
) -> Settings:
    platform_url = options.get('platform') or settings.platform_url
    wait = options.get('wait')
    wait_s = settings.wait_s if wait is None else parse_seconds('--wait', wait)
    return attrs.evolve(settings, platform_url=platform_url, wait_s=wait_s)


def _optional_text(parsed: Any) -> str | None:
    return None if parsed is None else str(parsed)
