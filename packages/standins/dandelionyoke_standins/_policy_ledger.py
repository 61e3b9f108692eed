"""The outcome of each call of a run and the gaps between tokens."""

import enum
from collections import Counter

import attrs

from dandelionyoke_core import RequestId, Target
from dandelionyoke_standins._policy_workload import Call

TOKEN_GAP_BUCKET_S = 0.001


@enum.unique
class Ending(enum.Enum):
    """How a call ended.

    WHOLE has its complete output, REFUSED was not admitted, LATE reached its
    deadline, and CUT failed in too many attempts.
    """

    WHOLE = 'whole'
    REFUSED = 'refused'
    LATE = 'late'
    CUT = 'cut'


@attrs.define
class CallOutcome:
    """The outcome of one call as its caller observed it.

    `ran_on_reclaimable` refers to the target of the last attempt.
    """

    call: Call
    first_token_s: float | None = None
    last_token_s: float = 0
    generated_tokens: int = 0
    ending: Ending | None = None
    ended_s: float = 0
    ran_on_reclaimable: bool = False
    interrupted_by_reclaim: bool = False

    @property
    def met_deadline(self) -> bool:
        """Whether the complete output arrived by the deadline."""
        return (
            self.ending is Ending.WHOLE and self.ended_s <= self.call.deadline_s
        )


class Ledger:
    """The outcomes of all calls of a run."""

    def __init__(self) -> None:
        self.outcomes: dict[RequestId, CallOutcome] = {}
        self.token_gap_counts: Counter[int] = Counter()

    def add_call(self, call: Call) -> None:
        """Add a call without an outcome yet."""
        self.outcomes[call.request_id] = CallOutcome(call)

    def record_dispatch(self, request_id: RequestId, target: Target) -> None:
        """Record whether the target of the last attempt is reclaimable."""
        self.outcomes[request_id].ran_on_reclaimable = target.reclaimable

    def record_reclaim(self, request_id: RequestId) -> None:
        """Record that a reclaim ended an attempt of the call."""
        self.outcomes[request_id].interrupted_by_reclaim = True

    def record_progress(
        self, request_id: RequestId, generated_tokens: int, now_s: float
    ) -> None:
        """Record the total output and the gap since the previous tokens."""
        outcome = self.outcomes[request_id]
        if outcome.first_token_s is None:
            outcome.first_token_s = now_s
        else:
            new_tokens = max(1, generated_tokens - outcome.generated_tokens)
            gap_s = (now_s - outcome.last_token_s) / new_tokens
            self.token_gap_counts[round(gap_s / TOKEN_GAP_BUCKET_S)] += (
                new_tokens
            )
        outcome.last_token_s = now_s
        outcome.generated_tokens = generated_tokens

    def record_end(
        self, request_id: RequestId, ending: Ending, now_s: float
    ) -> None:
        """Record how a call ended; only the first end counts."""
        outcome = self.outcomes[request_id]
        if outcome.ending is None:
            outcome.ending = ending
            outcome.ended_s = now_s
