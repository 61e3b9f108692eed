"""What usage writes into the store, and what entries send each other."""

import attrs

from dandelionyoke_core._events import PeerMessage
from dandelionyoke_core._names import Domain, InstanceId, WindowId
from dandelionyoke_core._records import UsageFigure

COUNTER_PREFIX = 'usage/counter'
WINDOW_PREFIX = 'usage/window'
REPORTED_PREFIX = 'usage/reported'
# Enough digits for the keys of a domain's windows to sort by time.
INDEX_DIGITS = 12


@attrs.frozen
class CounterRecord:
    """All that one start of an entry has counted since it started."""

    sequence: int
    figures: tuple[UsageFigure, ...] = ()


@attrs.frozen
class WindowRecord:
    """A closed window; it never changes.

    `totals` are the sums of all counters at its close. The next window's
    figures are counted from there, so that nothing falls between two.
    """

    window_id: WindowId
    index: int
    previous_index: int
    fence: int
    figures: tuple[UsageFigure, ...] = ()
    totals: tuple[UsageFigure, ...] = ()


@attrs.frozen
class ReportedRecord:
    """All windows up to this one are reported."""

    index: int


@attrs.frozen
class UsageCopied(PeerMessage):
    """Rows of a sender's counter, to be saved for it if it dies."""

    counter_key: str
    sequence: int
    figures: tuple[UsageFigure, ...] = ()


def counter_key(
    domain: Domain, instance_id: InstanceId, incarnation: int
) -> str:
    """Name the key of one start of an entry."""
    return f'{COUNTER_PREFIX}/{domain}/{instance_id}.{incarnation}'


def window_key(domain: Domain, index: int) -> str:
    """Name the key of a window."""
    return f'{WINDOW_PREFIX}/{domain}/{index:0{INDEX_DIGITS}d}'
