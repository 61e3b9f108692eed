"""How calls wait at a node until an engine reads their prompt.

When more prompts come than the engines read, engines that take them all read
them side by side, and each first token is late. So a node keeps only so many
under way as the engines read in good time, and the others wait here: those
that can still be in time go first, so that a burst makes some calls late and
not all. A call that will be late and would hardly be served either is turned
away as soon as that is known, when its caller still has the time to come back.
"""

import enum
from collections import Counter
from collections.abc import Mapping

import attrs

# The share that one more prompt has in the running mean of the times.
MEAN_WEIGHT = 0.25
# While a late call waits, so many times those ahead of it go before it.
LATE_WAIT_FACTOR = 1.5


@attrs.frozen
class LineSettings:
    """How many prompts of one node are read at once.

    `most_at_engine` for each engine keep it busy while an answer travels. What
    another node has under way counts for `told_lifetime_s`.
    """

    most_at_engine: int = 2
    least_retry_after_s: float = 0.2
    told_lifetime_s: float = 0.5


@attrs.frozen
class LineTicket:
    """A call that asks for an engine; the lower rank goes first.

    Begun after `in_time_until_s` its first token comes later than its goal,
    after `useful_until_s` too late to be of use.
    """

    turn_id: str
    rank: int
    arrived_s: float
    in_time_until_s: float
    useful_until_s: float
    tokens: int


@enum.unique
class Entry(enum.Enum):
    """What the line says to a call."""

    GO = 'go'
    WAIT = 'wait'
    TOO_LATE = 'too late'


@attrs.define
class _Reading:
    ticket: LineTicket
    target_id: str = ''


class ReadingLine:
    """The prompts of one node and service: under way, and waiting."""

    def __init__(self, settings: LineSettings) -> None:
        self._settings = settings
        self._most = 1
        # How long prompts took of late.
        self.mean_s = 0.0
        self._reading: dict[str, _Reading] = {}
        self._waiting: list[LineTicket] = []
        self._placed_s: dict[str, float] = {}
        self._lost: frozenset[str] = frozenset()
        self._told: dict[str, tuple[Mapping[str, int], float]] = {}

    def lost(self, target_ids: frozenset[str]) -> None:
        """Take which engines take no connection.

        Prompts under way there are most likely lost. Were their places kept
        until that is sure, those of a partition would stop all others.
        """
        self._lost = target_ids

    def enter(self, ticket: LineTicket, engines: int, now_s: float) -> Entry:
        """Decide on a call on its arrival; `engines` read prompts now."""
        self._most = max(1, self._settings.most_at_engine * engines)
        if self._has_room():
            self._reading[ticket.turn_id] = _Reading(ticket)
            return Entry.GO
        ahead = sum(
            _order(other, now_s) <= _order(ticket, now_s)
            for other in self._waiting
        )
        begins_s = now_s + self._wait_s(ahead + 1)
        if begins_s > ticket.in_time_until_s and not self._bears(ticket, now_s):
            return Entry.TOO_LATE
        self._waiting.append(ticket)
        return Entry.WAIT

    @property
    def prompt_count(self) -> int:
        """How many prompts are under way or wait."""
        return len(self._reading) + len(self._waiting)

    def is_reading(self, turn_id: str) -> bool:
        """Whether a call has a place."""
        return turn_id in self._reading

    def stays(self, turn_id: str, now_s: float) -> bool:
        """Whether a call that has become late waits on; else it leaves."""
        late = [one for one in self._waiting if one.turn_id == turn_id]
        self._waiting = [one for one in self._waiting if one.turn_id != turn_id]
        if not late or not self._bears(late[0], now_s):
            return False
        self._waiting.extend(late)
        return True

    def placed(self, turn_id: str, target_id: str, now_s: float) -> None:
        """Note which engine reads a call's prompt."""
        self._reading[turn_id].target_id = target_id
        self._placed_s[target_id] = now_s

    def leave(
        self, turn_id: str, read_s: float | None, now_s: float
    ) -> list[str]:
        """Give a place back; name the waiting calls that have one now.

        `read_s` is how long the prompt took; None if it was not read.
        """
        self._waiting = [one for one in self._waiting if one.turn_id != turn_id]
        reading = self._reading.pop(turn_id, None)
        if reading is not None and read_s is not None:
            self._learn(read_s)
        return self._admit(now_s)

    def backlog_tokens(self, target_id: str) -> int:
        """Add up what this node has under way at an engine."""
        return self.backlog()[target_id]

    def backlog(self) -> Counter[str]:
        """Add up what this node has under way, by engine."""
        found: Counter[str] = Counter()
        for one in self._reading.values():
            if one.target_id:
                found[one.target_id] += one.ticket.tokens
        return found

    def told(
        self, sender: str, backlog: Mapping[str, int], now_s: float
    ) -> None:
        """Take what another node has under way, by engine."""
        self._told[sender] = backlog, now_s

    def fleet_backlog(self, now_s: float) -> Counter[str]:
        """Add up what all nodes that are heard have under way, by engine."""
        oldest_s = now_s - self._settings.told_lifetime_s
        found = self.backlog()
        for backlog, told_s in self._told.values():
            if told_s >= oldest_s:
                found.update(backlog)
        return found

    def placed_s(self, target_id: str) -> float:
        """Tell when a prompt last went to an engine."""
        return self._placed_s.get(target_id, 0.0)

    def forget(self, known: frozenset[str]) -> None:
        """Drop what is kept of engines that are gone."""
        self._placed_s = {
            target_id: placed_s
            for target_id, placed_s in self._placed_s.items()
            if target_id in known
        }

    def expected_wait_s(self) -> float:
        """Estimate how long the last in line waits."""
        if self._has_room():
            return 0.0
        return self._wait_s(len(self._waiting) + 1)

    def retry_after_s(self) -> float:
        """Tell a refused call when the line will be done.

        Those who come back while it is long would only be refused again.
        """
        return max(self._settings.least_retry_after_s, self.expected_wait_s())

    def _has_room(self) -> bool:
        under_way = sum(
            one.target_id not in self._lost for one in self._reading.values()
        )
        return under_way < self._most

    def _bears(self, ticket: LineTicket, now_s: float) -> bool:
        """Whether a late call would be served while that is of use.

        It waits for all others, and for some that arrive meanwhile.
        """
        wait_s = LATE_WAIT_FACTOR * self._wait_s(len(self._waiting) + 1)
        return now_s + wait_s < ticket.useful_until_s

    def _wait_s(self, place: int) -> float:
        return place * self.mean_s / self._most

    def _learn(self, read_s: float) -> None:
        if not self.mean_s:
            self.mean_s = read_s
        self.mean_s += MEAN_WEIGHT * (read_s - self.mean_s)

    def _admit(self, now_s: float) -> list[str]:
        admitted = []
        while self._waiting and self._has_room():
            ticket = self._next(now_s)
            self._waiting.remove(ticket)
            self._reading[ticket.turn_id] = _Reading(ticket)
            admitted.append(ticket.turn_id)
        return admitted

    def _next(self, now_s: float) -> LineTicket:
        return min(self._waiting, key=lambda one: _order(one, now_s))


def _order(ticket: LineTicket, now_s: float) -> tuple[bool, int, float]:
    is_late = now_s > ticket.in_time_until_s
    return is_late, ticket.rank, ticket.arrived_s
