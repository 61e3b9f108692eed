"""How a node asks another one for an engine that reads a prompt.

Times are told as durations: each node has a clock of its own.
"""

import enum
import math

import attrs

from dandelionyoke_core import PeerMessage
from dandelionyoke_dispatch import TargetFailure

# A queued question is told again after each such pause, so that its asker
# need not wait for a node that is gone.
QUEUED_INTERVAL_S = 0.25


@attrs.frozen
class PrefillAsked(PeerMessage):
    """A prompt that needs an engine; `number` names the question.

    The call arrived `age_s` before; its first token is due `goal_s` after
    its arrival and of no use `useful_s` from now.
    """

    number: int
    service: str
    shared_key: str
    shared_tokens: int
    token_count: int
    rank: int
    age_s: float
    goal_s: float
    useful_s: float
    avoid: tuple[str, ...] = ()

    @property
    def is_possible(self) -> bool:
        """Whether its figures can be those of a prompt."""
        sizes = (self.shared_tokens, self.token_count - self.shared_tokens)
        times_s = (self.age_s, self.goal_s, self.useful_s)
        return min(sizes) >= 0 and all(map(math.isfinite, times_s))


@enum.unique
class PrefillVerdict(enum.Enum):
    """What became of a question."""

    GRANTED = 'granted'
    QUEUED = 'queued'
    TOO_LATE = 'too late'
    NO_ENGINE = 'no engine'


@attrs.frozen
class PrefillTold(PeerMessage):
    """The answer; a queued question gets further ones until it is granted.

    A refused caller may come back after `retry_after_s`. `suspects` are the
    targets that are left alone for their failures.
    """

    number: int
    verdict: PrefillVerdict
    target_id: str = ''
    source_id: str = ''
    retry_after_s: float = 0.0
    suspects: tuple[str, ...] = ()


@attrs.frozen
class PrefillEnded(PeerMessage):
    """The place is free again; `read_s` is missing if nothing was read."""

    number: int
    read_s: float | None = None


@attrs.frozen
class TargetFailed(PeerMessage):
    """What a call met at a target, for the node that places others."""

    target_id: str
    failure: TargetFailure


@attrs.frozen
class BacklogTold(PeerMessage):
    """The prompt tokens under way that a node placed.

    By service and engine; an engine without any is left out.
    """

    tokens: dict[str, dict[str, int]]

    @property
    def is_possible(self) -> bool:
        """Whether the figures can be those of prompts."""
        return all(
            tokens >= 0
            for backlog in self.tokens.values()
            for tokens in backlog.values()
        )
