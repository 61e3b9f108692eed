"""The queue of calls that wait at a node for the prefill of their prompt.

When prompts arrive faster than the engines can prefill them, engines that
accept them all process them concurrently, and every first token is late. A node
therefore limits the number of prompts in flight to what the engines can prefill
in time, and queues the others. Calls that can still meet their goal go first,
so that a burst delays some calls but not all. A call that would be late and
could hardly be served at all is refused as soon as that is known, while its
caller still has time to retry.
"""

import enum
from collections import Counter
from collections.abc import Mapping

import attrs

# The weight of a new prompt in the moving average of prefill times.
PREFILL_MEAN_WEIGHT = 0.25
# A late call waits this many times the time needed for the calls ahead of it,
# because calls that are in time overtake it.
LATE_WAIT_FACTOR = 1.5


@attrs.frozen
class PromptQueueSettings:
    """Limits on the prompts that one node prefills concurrently.

    `max_prompts_per_engine` in flight keep an engine busy during the round trip
    of a response. The backlog of another node expires after
    `backlog_lifetime_s`.
    """

    max_prompts_per_engine: int = 2
    min_retry_after_s: float = 0.2
    backlog_lifetime_s: float = 0.5


@attrs.frozen
class QueuedPrompt:
    """A call that requests an engine; a lower rank has precedence.

    If it starts after `in_time_until_s`, its first token misses its goal. After
    `deadline_s`, the first token is too late to be of use.
    """

    ticket_id: str
    rank: int
    arrived_s: float
    in_time_until_s: float
    deadline_s: float
    tokens: int


@enum.unique
class QueueDecision(enum.Enum):
    """The decision of the queue on an arriving call."""

    START = 'go'
    WAIT = 'wait'
    TOO_LATE = 'too late'


@attrs.define
class _InFlight:
    queued_prompt: QueuedPrompt
    target_id: str = ''


class PromptQueue:
    """The prompts of one node and service, in flight and queued."""

    def __init__(self, settings: PromptQueueSettings) -> None:
        self._settings = settings
        self._max_in_flight = 1
        # The moving average of recent prefill times.
        self.mean_prefill_s = 0.0
        self._in_flight: dict[str, _InFlight] = {}
        self._queued: list[QueuedPrompt] = []
        self._placed_s: dict[str, float] = {}
        self._unreachable: frozenset[str] = frozenset()
        self._peer_backlogs: dict[str, tuple[Mapping[str, int], float]] = {}

    def update_unreachable(self, target_ids: frozenset[str]) -> None:
        """Set the engines that accept no connection.

        Prompts in flight there are most likely lost. If they counted against
        the limit until that is certain, prompts lost in a partition would block
        all others.
        """
        self._unreachable = target_ids

    def enter(
        self, queued_prompt: QueuedPrompt, engines: int, now_s: float
    ) -> QueueDecision:
        """Decide on an arriving call, with `engines` available for prefill."""
        self._max_in_flight = max(
            1, self._settings.max_prompts_per_engine * engines
        )
        if self._has_capacity():
            self._in_flight[queued_prompt.ticket_id] = _InFlight(queued_prompt)
            return QueueDecision.START
        ahead = sum(
            _priority(other, now_s) <= _priority(queued_prompt, now_s)
            for other in self._queued
        )
        start_s = now_s + self._wait_s(ahead + 1)
        if (
            start_s > queued_prompt.in_time_until_s
            and not self._is_worth_queueing(queued_prompt, now_s)
        ):
            return QueueDecision.TOO_LATE
        self._queued.append(queued_prompt)
        return QueueDecision.WAIT

    @property
    def prompt_count(self) -> int:
        """The number of prompts in flight or queued."""
        return len(self._in_flight) + len(self._queued)

    def is_in_flight(self, ticket_id: str) -> bool:
        """Whether the prompt of a call is in flight."""
        return ticket_id in self._in_flight

    def keep_waiting(self, ticket_id: str, now_s: float) -> bool:
        """Whether a call that is now late stays queued; if not, remove it."""
        matching = [
            queued for queued in self._queued if queued.ticket_id == ticket_id
        ]
        self._queued = [
            queued for queued in self._queued if queued.ticket_id != ticket_id
        ]
        if not matching or not self._is_worth_queueing(matching[0], now_s):
            return False
        self._queued.extend(matching)
        return True

    def assign(self, ticket_id: str, target_id: str, now_s: float) -> None:
        """Record the engine that prefills the prompt of a call."""
        self._in_flight[ticket_id].target_id = target_id
        self._placed_s[target_id] = now_s

    def leave(
        self, ticket_id: str, prefill_s: float | None, now_s: float
    ) -> list[str]:
        """Remove a call; return the ids of queued calls that may start now.

        `prefill_s` is the prefill time of its prompt; None if it was not
        prefilled.
        """
        self._queued = [
            queued for queued in self._queued if queued.ticket_id != ticket_id
        ]
        in_flight = self._in_flight.pop(ticket_id, None)
        if in_flight is not None and prefill_s is not None:
            self._update_mean(prefill_s)
        return self._admit_queued(now_s)

    def backlog_tokens(self, target_id: str) -> int:
        """Return the tokens that this node has in flight at an engine."""
        return self.backlog()[target_id]

    def backlog(self) -> Counter[str]:
        """Return the tokens that this node has in flight, by engine."""
        tokens: Counter[str] = Counter()
        for prompt in self._in_flight.values():
            if prompt.target_id:
                tokens[prompt.target_id] += prompt.queued_prompt.tokens
        return tokens

    def set_peer_backlog(
        self, sender: str, backlog: Mapping[str, int], now_s: float
    ) -> None:
        """Record the tokens that another node has in flight, by engine."""
        self._peer_backlogs[sender] = backlog, now_s

    def leave_out(self, standstill_s: float) -> None:
        """Leave a time in which no backlog could be read out of their ages."""
        self._peer_backlogs = {
            sender: (backlog, received_s + standstill_s)
            for sender, (backlog, received_s) in self._peer_backlogs.items()
        }

    def fleet_backlog(self, now_s: float) -> Counter[str]:
        """Return the tokens in flight from all known nodes, by engine."""
        oldest_s = now_s - self._settings.backlog_lifetime_s
        total = self.backlog()
        for backlog, received_s in self._peer_backlogs.values():
            if received_s >= oldest_s:
                total.update(backlog)
        return total

    def placed_s(self, target_id: str) -> float:
        """Return the time when an engine last received a prompt; 0 if never."""
        return self._placed_s.get(target_id, 0.0)

    def forget(self, known: frozenset[str]) -> None:
        """Remove the state of engines that are gone."""
        self._placed_s = {
            target_id: placed_s
            for target_id, placed_s in self._placed_s.items()
            if target_id in known
        }

    def expected_wait_s(self) -> float:
        """Estimate the time that a call queued now would wait."""
        if self._has_capacity():
            return 0.0
        return self._wait_s(len(self._queued) + 1)

    def retry_after_s(self) -> float:
        """Return the retry delay for a refused call: when the queue is empty.

        An earlier retry would only be refused again.
        """
        return max(self._settings.min_retry_after_s, self.expected_wait_s())

    def _has_capacity(self) -> bool:
        in_flight = sum(
            prompt.target_id not in self._unreachable
            for prompt in self._in_flight.values()
        )
        return in_flight < self._max_in_flight

    def _is_worth_queueing(
        self, queued_prompt: QueuedPrompt, now_s: float
    ) -> bool:
        """Whether a late call would be served before it is of no use.

        It waits for all other queued calls, and for some that arrive in the
        meantime.
        """
        wait_s = LATE_WAIT_FACTOR * self._wait_s(len(self._queued) + 1)
        return now_s + wait_s < queued_prompt.deadline_s

    def _wait_s(self, position: int) -> float:
        return position * self.mean_prefill_s / self._max_in_flight

    def _update_mean(self, prefill_s: float) -> None:
        if not self.mean_prefill_s:
            self.mean_prefill_s = prefill_s
        self.mean_prefill_s += PREFILL_MEAN_WEIGHT * (
            prefill_s - self.mean_prefill_s
        )

    def _admit_queued(self, now_s: float) -> list[str]:
        admitted = []
        while self._queued and self._has_capacity():
            queued_prompt = self._next_queued(now_s)
            self._queued.remove(queued_prompt)
            self._in_flight[queued_prompt.ticket_id] = _InFlight(queued_prompt)
            admitted.append(queued_prompt.ticket_id)
        return admitted

    def _next_queued(self, now_s: float) -> QueuedPrompt:
        return min(
            self._queued,
            key=lambda queued_prompt: _priority(queued_prompt, now_s),
        )


def _priority(
    queued_prompt: QueuedPrompt, now_s: float
) -> tuple[bool, int, float]:
    is_late = now_s > queued_prompt.in_time_until_s
    return is_late, queued_prompt.rank, queued_prompt.arrived_s
