"""Names, arguments and options of all commands."""

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
    """Command line interface of a command, and the function that runs it."""

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
        description='Format of the report: text or json.',
        flag=False,
        default=TEXT_FORMAT,
    ),
    _value_option('settings', 'A settings file (INI).'),
    _value_option('platform', 'The address of the platform.'),
)

_FILE = argument('file', 'A configuration file; - is standard input.')
_AUTHOR = _value_option(
    'author', 'Author of the change; by default the current user.'
)
_REASON = _value_option('reason', 'Reason of the change, for the audit trail.')
_WAIT = _value_option(
    'wait', 'Maximum wait until the change is in force, in seconds.'
)
_LIMIT = _value_option('limit', 'Number of most recent changes to read.')
_CHANGE_OPTIONS = (_AUTHOR, _REASON, _WAIT)

COMMANDS = (
    CommandDefinition(
        'check',
        'Validate a file without connecting to the platform.',
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
        'Show what a file would change.',
        commands.plan,
        (_FILE,),
        (_LIMIT,),
    ),
    CommandDefinition(
        'apply',
        'Apply a file as the configuration in force.',
        commands.apply,
        (_FILE,),
        (
            *_CHANGE_OPTIONS,
            _LIMIT,
            _value_option(
                'base', 'The revision that the file was written against.'
            ),
        ),
    ),
    CommandDefinition(
        'undo',
        'Undo one change by committing its inverse.',
        commands.undo,
        (argument('revision', 'The revision of the change to undo.'),),
        (*_CHANGE_OPTIONS, _LIMIT),
    ),
    CommandDefinition(
        'history',
        'List the audit trail, newest first.',
        commands.history,
        options=(
            _LIMIT,
            _value_option(
                'organisation', 'Only changes that affect this organisation.'
            ),
            _value_option(
                'since',
                'Only changes since this time: ISO 8601, or an age such as 2h.',
            ),
            _value_option(
                'until',
                'Only changes until this time: ISO 8601, or an age such as 2h.',
            ),
        ),
    ),
    CommandDefinition(
        'key issue',
        'Issue a key; it is printed only once.',
        commands.issue_key,
        (
            argument(
                'organisation', 'The organisation that the key belongs to.'
            ),
        ),
        (*_CHANGE_OPTIONS, _value_option('label', 'What the key is used for.')),
    ),
    CommandDefinition(
        'key withdraw',
        'Withdraw a key; calls with it are refused within seconds.',
        commands.withdraw_key,
        (
            argument(
                'key',
                'A prefix of its hash; - reads the key itself from '
                'standard input.',
            ),
        ),
        _CHANGE_OPTIONS,
    ),
    CommandDefinition(
        'explain',
        'List the decisions about a request, from the logs of nodes.',
        commands.explain,
        (argument('request', 'The id of the request.'),),
        (
            _value_option(
                'logs',
                'Comma-separated log files; by default standard input.',
            ),
        ),
    ),
    CommandDefinition(
        'status',
        'Show the revision that each entry instance has in force.',
        commands.status,
    ),
)
