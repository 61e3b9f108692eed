"""The usage records in the store, and the message that copies counters."""

import attrs

from dandelionyoke_core._events import PeerMessage
from dandelionyoke_core._names import Domain, InstanceId, WindowId
from dandelionyoke_core._records import UsageFigure

COUNTER_PREFIX = 'usage/counter'
WINDOW_PREFIX = 'usage/window'
REPORTED_PREFIX = 'usage/reported'
# Padding makes the window keys of a domain sort by time.
INDEX_DIGITS = 12


@attrs.frozen
class CounterRecord:
    """The cumulative counts of one incarnation of an entry."""

    sequence: int
    figures: tuple[UsageFigure, ...] = ()


@attrs.frozen
class WindowRecord:
    """A closed window; it is immutable.

    `totals` are the sums of all counters at its close. The figures of the
    next window are counted from them, so that no usage is lost in between.
    """

    window_id: WindowId
    index: int
    previous_index: int
    fence: int
    figures: tuple[UsageFigure, ...] = ()
    totals: tuple[UsageFigure, ...] = ()


@attrs.frozen
class ReportedRecord:
    """The index up to which all windows are reported."""

    index: int


@attrs.frozen
class UsageCopied(PeerMessage):
    """Rows of the sender's counter, to be saved for it if it crashes."""

    counter_key: str
    sequence: int
    figures: tuple[UsageFigure, ...] = ()


def counter_key(
    domain: Domain, instance_id: InstanceId, incarnation: int
) -> str:
    """Return the store key of the counter of one incarnation."""
    return f'{COUNTER_PREFIX}/{domain}/{instance_id}.{incarnation}'


def window_key(domain: Domain, index: int) -> str:
    """Return the store key of a window."""
    return f'{WINDOW_PREFIX}/{domain}/{index:0{INDEX_DIGITS}d}'
