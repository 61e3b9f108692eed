"""Formats differences between configurations as text."""

from collections import Counter
from collections.abc import Iterable, Iterator, Sequence
from types import MappingProxyType

from dandelionyoke_operator._difference import ADDED, CHANGED, REMOVED, SET
from dandelionyoke_operator._reports import (
    OptionDifference,
    SectionDifference,
)

_ACTION_MARKS = MappingProxyType(
    {ADDED: '+', CHANGED: '~', REMOVED: '-', SET: '='}
)
_EMPTY_VALUE = '(nothing)'


def difference_lines(
    differences: Iterable[SectionDifference],
) -> Iterator[str]:
    """Yield the lines for each section that differs and its options."""
    for section in differences:
        yield title_line(section)
        yield from (f'    {line}' for line in option_lines(section))


def title_line(section: SectionDifference) -> str:
    """Return the line with the action and header of a section."""
    return f'{_ACTION_MARKS[section.action]} [{section.section}]'


def option_lines(section: SectionDifference) -> Iterator[str]:
    """Return a line for each option that differs."""
    return map(_option_line, section.options)


def count_differences(differences: Sequence[SectionDifference]) -> str:
    """Return the number of sections for each action, in one line."""
    counts = Counter(section.action for section in differences)
    return ', '.join(
        f'{counts[action]} {action}' for action in (ADDED, CHANGED, REMOVED)
    )


def _option_line(option: OptionDifference) -> str:
    before = option.before or _EMPTY_VALUE
    after = option.after or _EMPTY_VALUE
    if option.before is None:
        return f'{option.option} = {after}'
    if option.after is None:
        return f'{option.option} was {before}'
    return f'{option.option}: {before} -> {after}'
