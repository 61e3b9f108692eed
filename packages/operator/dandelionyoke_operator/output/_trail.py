"""Changes of the audit trail as text."""

import datetime
from collections.abc import Iterator

from dandelionyoke_core import Operation, Remove
from dandelionyoke_operator._difference import place_of
from dandelionyoke_operator._reports import ChangeRecord


def change_lines(change: ChangeRecord) -> Iterator[str]:
    """Write one change: when, who, why, and what it touched."""
    moment = datetime.datetime.fromtimestamp(
        change.committed_wall_s, datetime.UTC
    )
    when = moment.strftime('%Y-%m-%d %H:%M:%S UTC')
    yield f'revision {change.revision}  {when}  {change.author}'
    yield f'    {change.reason}'
    for operation in change.operations:
        yield f'    {_operation(operation)}'


def _operation(operation: Operation) -> str:
    section, name = place_of(operation)
    verb = 'removed' if isinstance(operation, Remove) else 'set'
    return f'{verb} [{section.value} {name}]'
