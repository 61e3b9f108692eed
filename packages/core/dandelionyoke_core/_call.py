"""One call of a caller and its attempts, while it is in progress."""

import enum

import attrs

from dandelionyoke_core._events import ModelCalled, ServiceCalled
from dandelionyoke_core._names import AttemptId, RequestId, TargetId
from dandelionyoke_core._ports import Identity, RouteNeed
from dandelionyoke_core._records import Target
from dandelionyoke_core._refusals import Refusal, RunState


@enum.unique
class Phase(enum.Enum):
    """Where a call stands."""

    QUEUED = 'queued'
    CLAIMING = 'claiming'
    RUNNING = 'running'
    STALLED = 'stalled'


@attrs.define
class Attempt:
    """A stream of one target that is being read.

    The target knows the work by `work_id`: the id of the attempt that
    started it, which a resumed stream only reads on. `answers_at_once` is
    whether the target is known to answer a call before its first token.
    """

    attempt_id: AttemptId
    work_id: AttemptId
    target: Target
    heard_s: float
    accepted: bool = False
    answers_at_once: bool = False
    progressed: bool = False

    @property
    def resumes(self) -> bool:
        """Whether this stream reads on an earlier attempt's work."""
        return self.attempt_id != self.work_id


@attrs.define
class Call:
    """What is known of a call.

    `tokens` reached the caller. `unproven` names work that was handed to a
    target which has not said that it did not run it. `owes_retry` is whether
    the next placement draws on the retry budget; `row` counts placements
    without a sign of life between them.
    """

    event: ModelCalled | ServiceCalled
    identity: Identity
    need: RouteNeed
    arrived_s: float
    deadline_s: float
    fingerprint: str = ''
    unrepeatable: bool = False
    phase: Phase = Phase.QUEUED
    tokens: list[str] = attrs.field(factory=list, repr=False)
    attempt: Attempt | None = None
    attempts: int = 0
    placements: int = 0
    row: int = 0
    unproven: set[AttemptId] = attrs.field(factory=set)
    avoid: set[TargetId] = attrs.field(factory=set)
    caller_gone: bool = False
    claimed: bool = False
    stalled_s: float | None = None
    retry_at_s: float = 0.0
    owes_retry: bool = False

    @property
    def request_id(self) -> RequestId:
        """The id that everything about this call carries."""
        return self.event.request_id

    @property
    def run(self) -> RunState:
        """What can truthfully be said of its run."""
        if self.tokens or self.unproven:
            return RunState.UNKNOWN
        return RunState.NO

    def truthful(self, refusal: Refusal) -> Refusal:
        """Make a refusal say what is known of this call's run."""
        return attrs.evolve(refusal, run=self.run)

    def next_attempt_id(self) -> AttemptId:
        """Name a new attempt; no two attempts of a call share a name."""
        self.attempts += 1
        return AttemptId(f'{self.request_id}.{self.attempts}')

    def place(self, target: Target, now_s: float) -> Attempt:
        """Hand the work to a target."""
        attempt_id = self.next_attempt_id()
        self.attempt = Attempt(attempt_id, attempt_id, target, now_s)
        self.placements += 1
        self.row += 1
        self.unproven.add(attempt_id)
        self.phase = Phase.RUNNING
        return self.attempt

    def heard(self, now_s: float) -> None:
        """Note a sign of life of the present attempt."""
        self.stalled_s = None
        self.row = 0
        if self.attempt is not None:
            self.attempt.accepted = True
            self.attempt.heard_s = now_s

    def reread(self, attempt: Attempt, now_s: float) -> Attempt:
        """Read the same work on, as a new stream."""
        attempt_id = self.next_attempt_id()
        self.attempt = Attempt(
            attempt_id,
            attempt.work_id,
            attempt.target,
            now_s,
            answers_at_once=attempt.accepted or attempt.answers_at_once,
        )
        return self.attempt
