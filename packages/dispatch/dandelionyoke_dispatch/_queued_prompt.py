"""A call that requests a prefill engine, and how it may be decided on."""

import enum

import attrs


@attrs.frozen
class QueuedPrompt:
    """A call that requests an engine; a lower rank has precedence.

    Among calls alike it is ordered by `arrived_s`. If it starts after
    `in_time_until_s`, its first token misses its goal. After `deadline_s`, the
    first token is too late to be of use. An engine is expected to work
    `work_s` on it; 0 if that is unknown.
    """

    ticket_id: str
    rank: int
    arrived_s: float
    in_time_until_s: float
    deadline_s: float
    tokens: int
    work_s: float = 0.0
    organisation: str = ''
    route: str = ''

    def is_late(self, now_s: float) -> bool:
        """Whether its first token would miss its goal."""
        return now_s > self.in_time_until_s


@enum.unique
class QueueDecision(enum.Enum):
    """The decision of the queue on an arriving call."""

    START = 'go'
    WAIT = 'wait'
    TOO_LATE = 'too late'
