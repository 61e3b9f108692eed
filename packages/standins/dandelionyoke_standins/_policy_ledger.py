"""What became of each call, and the figures that follow from it."""

import enum
from collections import Counter

import attrs

from dandelionyoke_core import RequestId, Target
from dandelionyoke_standins._policy_workload import Call

GAP_BUCKET_S = 0.001


@enum.unique
class Ending(enum.Enum):
    """How a call ended."""

    WHOLE = 'whole'
    REFUSED = 'refused'
    LATE = 'late'
    CUT = 'cut'


@attrs.define
class Story:
    """One call as its caller saw it."""

    call: Call
    first_s: float | None = None
    last_s: float = 0
    done: int = 0
    ending: Ending | None = None
    ended_s: float = 0
    reclaimable: bool = False
    broken_by_reclaim: bool = False

    @property
    def good(self) -> bool:
        """Whether the whole answer came before its deadline."""
        return (
            self.ending is Ending.WHOLE and self.ended_s <= self.call.deadline_s
        )


class Ledger:
    """Every call of a run."""

    def __init__(self) -> None:
        self.stories: dict[RequestId, Story] = {}
        self.gaps: Counter[int] = Counter()

    def open(self, call: Call) -> None:
        """Begin a call's story."""
        self.stories[call.request_id] = Story(call)

    def sent(self, request_id: RequestId, target: Target) -> None:
        """Note where a call went last."""
        self.stories[request_id].reclaimable = target.reclaimable

    def reclaimed(self, request_id: RequestId) -> None:
        """Note that a call lost its target to a reclaim."""
        self.stories[request_id].broken_by_reclaim = True

    def progress(self, request_id: RequestId, done: int, now_s: float) -> None:
        """Note output, and the time between its tokens."""
        story = self.stories[request_id]
        if story.first_s is None:
            story.first_s = now_s
        else:
            fresh = max(1, done - story.done)
            gap_s = (now_s - story.last_s) / fresh
            self.gaps[round(gap_s / GAP_BUCKET_S)] += fresh
        story.last_s = now_s
        story.done = done

    def end(self, request_id: RequestId, ending: Ending, now_s: float) -> None:
        """Note the end of a call."""
        story = self.stories[request_id]
        if story.ending is None:
            story.ending = ending
            story.ended_s = now_s
