"""Formats changes in the audit trail as text."""

import datetime
from collections.abc import Iterator

from dandelionyoke_core import Section
from dandelionyoke_operator._difference import CHANGED
from dandelionyoke_operator._reports import ChangeRecord, SectionDifference
from dandelionyoke_operator.output._difference import option_lines, title_line


def change_lines(change: ChangeRecord) -> Iterator[str]:
    """Yield the time, author, reason and sections of a change."""
    committed_at = datetime.datetime.fromtimestamp(
        change.committed_wall_s, datetime.UTC
    )
    timestamp = committed_at.strftime('%Y-%m-%d %H:%M:%S UTC')
    yield f'revision {change.revision}  {timestamp}  {change.author}'
    yield f'    {change.reason}'
    for section in change.differences:
        yield f'    {title_line(section)}'
        # `show` and `plan` print added or removed sections in full. For a
        # key, the header alone does not identify its organisation.
        if section.action == CHANGED or _is_key(section):
            yield from (f'        {line}' for line in option_lines(section))


def _is_key(section: SectionDifference) -> bool:
    return section.section.startswith(Section.KEY.value)
