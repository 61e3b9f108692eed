"""The order of queued prompts by urgency and arrival."""

from collections.abc import Mapping, Sequence
from typing import Protocol

from dandelionyoke_dispatch._queued_prompt import QueuedPrompt


class QueueOrder(Protocol):
    """Orders queued prompts; amounts ahead are in the unit of its window."""

    @property
    def prompts(self) -> Sequence[QueuedPrompt]:
        """The queued prompts."""

    def add(self, queued_prompt: QueuedPrompt) -> None:
        """Add a prompt."""

    def remove(self, ticket_id: str) -> QueuedPrompt | None:
        """Remove a prompt; None if it is not queued."""

    def take_next(self, now_s: float) -> QueuedPrompt | None:
        """Remove and return the prompt whose turn it is; None if empty."""

    def ahead(self, queued_prompt: QueuedPrompt, now_s: float) -> float:
        """Return what goes before a prompt that is not queued."""

    def ahead_if_late(self, queued_prompt: QueuedPrompt, now_s: float) -> float:
        """Return what goes before such a prompt if it starts late."""

    def all_ahead(self, now_s: float) -> Mapping[str, float]:
        """Return what goes before each queued prompt, by ticket."""

    def total(self) -> float:
        """Return what is queued in all."""


class RankOrder:
    """Calls that are in time first, then by rank, then by arrival.

    Amounts ahead are numbers of prompts.
    """

    def __init__(self) -> None:
        self._prompts: list[QueuedPrompt] = []

    @property
    def prompts(self) -> Sequence[QueuedPrompt]:
        """The queued prompts."""
        return self._prompts

    def add(self, queued_prompt: QueuedPrompt) -> None:
        """Add a prompt."""
        self._prompts.append(queued_prompt)

    def remove(self, ticket_id: str) -> QueuedPrompt | None:
        """Remove a prompt; None if it is not queued."""
        for queued_prompt in self._prompts:
            if queued_prompt.ticket_id == ticket_id:
                self._prompts.remove(queued_prompt)
                return queued_prompt
        return None

    def take_next(self, now_s: float) -> QueuedPrompt | None:
        """Remove and return the prompt whose turn it is; None if empty."""
        if not self._prompts:
            return None
        queued_prompt = min(
            self._prompts, key=lambda queued: _priority(queued, now_s)
        )
        self._prompts.remove(queued_prompt)
        return queued_prompt

    def ahead(self, queued_prompt: QueuedPrompt, now_s: float) -> float:
        """Count the prompts of the same or a higher priority."""
        return sum(
            _priority(other, now_s) <= _priority(queued_prompt, now_s)
            for other in self._prompts
        )

    def ahead_if_late(self, queued_prompt: QueuedPrompt, now_s: float) -> float:
        """Count all prompts: a late one goes last."""
        return self.total()

    def all_ahead(self, now_s: float) -> Mapping[str, float]:
        """Count the prompts before each queued prompt, by ticket."""
        ordered = sorted(
            self._prompts, key=lambda queued: _priority(queued, now_s)
        )
        return {
            queued.ticket_id: position
            for position, queued in enumerate(ordered)
        }

    def total(self) -> float:
        """Count all prompts."""
        return len(self._prompts)


def _priority(
    queued_prompt: QueuedPrompt, now_s: float
) -> tuple[bool, int, float]:
    return (
        queued_prompt.is_late(now_s),
        queued_prompt.rank,
        queued_prompt.arrived_s,
    )
