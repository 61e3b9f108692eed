"""Changes of the audit trail as text."""

import datetime
from collections.abc import Iterator

from dandelionyoke_core import Section
from dandelionyoke_operator._difference import CHANGED
from dandelionyoke_operator._reports import ChangeRecord, SectionDifference
from dandelionyoke_operator.output._difference import option_lines, title_line


def change_lines(change: ChangeRecord) -> Iterator[str]:
    """Write one change: when, who, why, and what it touched."""
    moment = datetime.datetime.fromtimestamp(
        change.committed_wall_s, datetime.UTC
    )
    when = moment.strftime('%Y-%m-%d %H:%M:%S UTC')
    yield f'revision {change.revision}  {when}  {change.author}'
    yield f'    {change.reason}'
    for section in change.differences:
        yield f'    {title_line(section)}'
        # What was added or removed is told in full by `show` and `plan`;
        # a key's section alone does not tell whose it was.
        if section.action == CHANGED or _is_key(section):
            yield from (f'        {line}' for line in option_lines(section))


def _is_key(section: SectionDifference) -> bool:
    return section.section.startswith(Section.KEY.value)
