"""The commands that the program offers, apart from their work."""

from collections.abc import Callable

import attrs
from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from dandelionyoke_operator import commands
from dandelionyoke_operator._invocation import Invocation
from dandelionyoke_operator._reports import Report

TEXT_FORMAT = 'text'
JSON_FORMAT = 'json'


@attrs.frozen
class CommandDefinition:
    """A command: what it is called, what it takes and who does the work."""

    name: str
    description: str
    handler: Callable[[Invocation], Report]
    arguments: tuple[Argument, ...] = ()
    options: tuple[Option, ...] = ()


def _value_option(name: str, description: str) -> Option:
    return option(name, description=description, flag=False)


COMMON_OPTIONS = (
    option(
        'format',
        description='How to write the report: text or json.',
        flag=False,
        default=TEXT_FORMAT,
    ),
    _value_option('settings', 'A settings file (INI).'),
    _value_option('platform', 'The address of the platform.'),
)

_FILE = argument('file', 'A configuration file; - is standard input.')
_AUTHOR = _value_option('author', 'Who makes the change; by default the user.')
_REASON = _value_option('reason', 'Why, for the audit trail.')
_WAIT = _value_option(
    'wait', 'How long to wait until it is in force, in seconds.'
)
_LIMIT = _value_option('limit', 'How many of the last changes to read.')
_CHANGE = (_AUTHOR, _REASON, _WAIT)

COMMANDS = (
    CommandDefinition(
        'check',
        'Check a file, without reaching the platform.',
        commands.check,
        (_FILE,),
    ),
    CommandDefinition(
        'show',
        'Print the configuration in the store.',
        commands.show,
    ),
    CommandDefinition(
        'plan',
        'Tell what a file would change.',
        commands.plan,
        (_FILE,),
        (_LIMIT,),
    ),
    CommandDefinition(
        'apply',
        'Make a file the configuration in force.',
        commands.apply,
        (_FILE,),
        (
            *_CHANGE,
            _LIMIT,
            _value_option(
                'base', 'The revision that the file was written against.'
            ),
        ),
    ),
    CommandDefinition(
        'undo',
        'Undo one change by a new one.',
        commands.undo,
        (argument('revision', 'The revision of the change to undo.'),),
        (*_CHANGE, _LIMIT),
    ),
    CommandDefinition(
        'history',
        'List the audit trail, newest first.',
        commands.history,
        options=(
            _LIMIT,
            _value_option(
                'organisation', 'Only what is about this organisation.'
            ),
            _value_option(
                'since', 'Only from this time on: ISO 8601, or 2h ago.'
            ),
            _value_option(
                'until', 'Only up to this time: ISO 8601, or 2h ago.'
            ),
        ),
    ),
    CommandDefinition(
        'key issue',
        'Issue a key; it is printed this once.',
        commands.issue_key,
        (argument('organisation', 'Whose key it is.'),),
        (*_CHANGE, _value_option('label', 'What the key is for.')),
    ),
    CommandDefinition(
        'key withdraw',
        'Withdraw a key; its callers are refused within seconds.',
        commands.withdraw_key,
        (
            argument(
                'key',
                'The beginning of its hash; - reads the key itself from '
                'standard input.',
            ),
        ),
        _CHANGE,
    ),
    CommandDefinition(
        'explain',
        'Tell what became of a request, from the logs of nodes.',
        commands.explain,
        (argument('request', 'The id of the request.'),),
        (
            _value_option(
                'logs',
                'Log files, parted by commas; by default standard input.',
            ),
        ),
    ),
    CommandDefinition(
        'status',
        'Tell how far each entry instance is.',
        commands.status,
    ),
)
