"""Messages with which a node requests an engine for a prefill.

Times are sent as durations because the nodes' clocks are not synchronised.
"""

import enum
import math

import attrs

from dandelionyoke_core import PeerMessage
from dandelionyoke_dispatch import TargetFailure

# Interval of the keep-alive answers to a queued request. They let the
# requesting node detect that the other one is gone.
QUEUED_INTERVAL_S = 0.25


@attrs.frozen
class PrefillAsked(PeerMessage):
    """Request for an engine; `number` identifies the request.

    The call arrived `age_s` ago. The goal for its time to first token is
    `goal_s` after arrival, and its deadline is `useful_s` from now. Only an
    engine of the software `version` may prefill it; empty for any, as from
    nodes that do not send it. The call is made for an `organisation`, on a
    `route`; `call_key` is the same in each attempt of its caller. At most
    `output_tokens` are expected in its answer.
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
    version: str = ''
    organisation: str = ''
    route: str = ''
    call_key: str = ''
    output_tokens: int = 0

    @property
    def is_valid(self) -> bool:
        """Whether the sizes are not negative and the times are finite."""
        sizes = (
            self.shared_tokens,
            self.token_count - self.shared_tokens,
            self.output_tokens,
        )
        times_s = (self.age_s, self.goal_s, self.useful_s)
        return min(sizes) >= 0 and all(map(math.isfinite, times_s))


@enum.unique
class PrefillVerdict(enum.Enum):
    """The state of a request."""

    GRANTED = 'granted'
    QUEUED = 'queued'
    TOO_LATE = 'too late'
    NO_ENGINE = 'no engine'


@attrs.frozen
class PrefillTold(PeerMessage):
    """Answer; a queued request gets further ones until it is granted.

    A refused caller may retry after `retry_after_s`. `source_id` is the engine
    to fetch the KV cache of a shared prefix from. `suspects` are the targets
    that get no calls at present because of failures; in `cut_domains` no
    target of the service is reached.
    """

    number: int
    verdict: PrefillVerdict
    target_id: str = ''
    source_id: str = ''
    retry_after_s: float = 0.0
    suspects: tuple[str, ...] = ()
    cut_domains: tuple[str, ...] = ()


@attrs.frozen
class PrefillEnded(PeerMessage):
    """End of a prefill; `read_s` is its duration, None if it did not run.

    `is_slow_fetch` is whether the engine took far longer than expected for a
    prompt whose shared prefix it had to fetch.
    """

    number: int
    read_s: float | None = None
    is_slow_fetch: bool = False


@attrs.frozen
class TargetFailed(PeerMessage):
    """Report of a failed call, for the node that assigns prefills."""

    target_id: str
    failure: TargetFailure


@attrs.frozen
class BacklogTold(PeerMessage):
    """Prompt tokens in flight that a node has assigned.

    By service and engine; an engine without any is left out.
    """

    tokens: dict[str, dict[str, int]]

    @property
    def is_valid(self) -> bool:
        """Whether no token count is negative."""
        return all(
            tokens >= 0
            for backlog in self.tokens.values()
            for tokens in backlog.values()
        )
