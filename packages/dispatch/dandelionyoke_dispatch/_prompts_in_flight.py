"""The prompts in flight of one service, from this node and from others."""

from collections import Counter
from collections.abc import Mapping

import attrs

from dandelionyoke_dispatch._queued_prompt import QueuedPrompt


@attrs.define
class _InFlight:
    queued_prompt: QueuedPrompt
    target_id: str = ''


class PromptsInFlight:
    """Which engine works on which prompts, as far as this node knows.

    The backlog of another node expires after `backlog_lifetime_s`.
    """

    def __init__(self, backlog_lifetime_s: float) -> None:
        self._backlog_lifetime_s = backlog_lifetime_s
        self._prompts: dict[str, _InFlight] = {}
        self._unreachable: frozenset[str] = frozenset()
        self._peer_backlogs: dict[str, tuple[Mapping[str, int], float]] = {}

    def __len__(self) -> int:
        return len(self._prompts)

    def __contains__(self, ticket_id: str) -> bool:
        return ticket_id in self._prompts

    def update_unreachable(self, target_ids: frozenset[str]) -> None:
        """Set the engines that accept no connection.

        Prompts in flight there are most likely lost. If they counted against
        the limit until that is certain, prompts lost in a partition would block
        all others.
        """
        self._unreachable = target_ids

    def add(self, queued_prompt: QueuedPrompt) -> None:
        """Add a prompt that has no engine yet."""
        self._prompts[queued_prompt.ticket_id] = _InFlight(queued_prompt)

    def assign(self, ticket_id: str, target_id: str) -> None:
        """Record the engine of a prompt."""
        self._prompts[ticket_id].target_id = target_id

    def remove(self, ticket_id: str) -> QueuedPrompt | None:
        """Remove a prompt; None if it is not in flight."""
        in_flight = self._prompts.pop(ticket_id, None)
        return None if in_flight is None else in_flight.queued_prompt

    def backlog(self) -> Counter[str]:
        """Return the tokens that this node has in flight, by engine."""
        tokens: Counter[str] = Counter()
        for prompt in self._prompts.values():
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
        total = self.backlog()
        for backlog in self._fresh_backlogs(now_s):
            total.update(backlog)
        return total

    def reachable_count(self) -> int:
        """Count the prompts of this node that are not known to be lost."""
        return sum(
            prompt.target_id not in self._unreachable
            for prompt in self._prompts.values()
        )

    def own_tokens(self) -> int:
        """Return the tokens of this node that are not known to be lost."""
        return sum(
            prompt.queued_prompt.tokens
            for prompt in self._prompts.values()
            if prompt.target_id not in self._unreachable
        )

    def fleet_tokens(self, now_s: float) -> int:
        """Return the tokens of all known nodes that are not known lost."""
        return self.own_tokens() + sum(
            tokens
            for backlog in self._fresh_backlogs(now_s)
            for target_id, tokens in backlog.items()
            if target_id not in self._unreachable
        )

    def busy_engines(self, now_s: float) -> int:
        """Count the engines with a prompt, and prompts without an engine yet."""
        unassigned = sum(
            not prompt.target_id for prompt in self._prompts.values()
        )
        busy = {
            target_id
            for target_id, tokens in self.fleet_backlog(now_s).items()
            if tokens and target_id not in self._unreachable
        }
        return len(busy) + unassigned

    def peer_count(self, now_s: float) -> int:
        """Count the other nodes that have prompts in flight."""
        return sum(any(each.values()) for each in self._fresh_backlogs(now_s))

    def _fresh_backlogs(self, now_s: float) -> list[Mapping[str, int]]:
        oldest_s = now_s - self._backlog_lifetime_s
        return [
            backlog
            for backlog, received_s in self._peer_backlogs.values()
            if received_s >= oldest_s
        ]
