"""The state of a call in progress and of its current attempt."""

import enum

import attrs

from dandelionyoke_core._events import CompletionRequested, ServiceCallRequested
from dandelionyoke_core._names import AttemptId, RequestId, TargetId
from dandelionyoke_core._ports import Identity, RouteRequirements
from dandelionyoke_core._records import Target
from dandelionyoke_core._refusals import Refusal, RunState


@enum.unique
class Phase(enum.Enum):
    """The phase of a call in progress."""

    QUEUED = 'queued'
    CLAIMING = 'claiming'
    RUNNING = 'running'
    STALLED = 'stalled'


@attrs.define
class Attempt:
    """A response stream that is read from a target.

    The target identifies the work by `work_id`, the id of the attempt that
    started it. A resumed stream reads the same work under a new attempt id.
    `accepts_early` tells whether the target is known to accept a call before
    its first token.
    """

    attempt_id: AttemptId
    work_id: AttemptId
    target: Target
    last_activity_s: float
    accepted: bool = False
    accepts_early: bool = False
    has_output: bool = False

    @property
    def is_resumption(self) -> bool:
        """Whether this stream resumes the work of an earlier attempt."""
        return self.attempt_id != self.work_id


@attrs.define
class Call:
    """The state of a call.

    `tokens` were sent to the caller. `possibly_run` holds the ids of work
    that was sent to a target and that the target has not reported as not run.
    `needs_retry_budget` tells whether the next placement is charged to the
    retry budget. `unanswered_placements` counts the placements since the last
    response of a target.
    """

    event: CompletionRequested | ServiceCallRequested
    identity: Identity
    requirements: RouteRequirements
    arrived_s: float
    deadline_s: float
    fingerprint: str = ''
    unrepeatable: bool = False
    phase: Phase = Phase.QUEUED
    tokens: list[str] = attrs.field(factory=list, repr=False)
    attempt: Attempt | None = None
    attempts: int = 0
    placements: int = 0
    unanswered_placements: int = 0
    possibly_run: set[AttemptId] = attrs.field(factory=set)
    excluded_targets: set[TargetId] = attrs.field(factory=set)
    caller_disconnected: bool = False
    claimed: bool = False
    stalled_since_s: float | None = None
    retry_at_s: float = 0.0
    needs_retry_budget: bool = False

    @property
    def request_id(self) -> RequestId:
        """The id of the request, common to all its attempts and logs."""
        return self.event.request_id

    @property
    def run_state(self) -> RunState:
        """Whether the call may have run at a target."""
        if self.tokens or self.possibly_run:
            return RunState.UNKNOWN
        return RunState.NO

    def with_run_state(self, refusal: Refusal) -> Refusal:
        """Return the refusal with the run state of this call."""
        return attrs.evolve(refusal, run=self.run_state)

    def next_attempt_id(self) -> AttemptId:
        """Return a new attempt id, unique within the call."""
        self.attempts += 1
        return AttemptId(f'{self.request_id}.{self.attempts}')

    def start_attempt(self, target: Target, now_s: float) -> Attempt:
        """Start an attempt at a target."""
        attempt_id = self.next_attempt_id()
        self.attempt = Attempt(attempt_id, attempt_id, target, now_s)
        self.placements += 1
        self.unanswered_placements += 1
        self.possibly_run.add(attempt_id)
        self.phase = Phase.RUNNING
        return self.attempt

    def record_activity(self, now_s: float) -> None:
        """Record that the target of the current attempt has responded."""
        self.stalled_since_s = None
        self.unanswered_placements = 0
        if self.attempt is not None:
            self.attempt.accepted = True
            self.attempt.last_activity_s = now_s

    def extend_silence(self, stalled_s: float) -> None:
        """Allow the target of the current attempt to be silent for longer."""
        if self.attempt is not None:
            self.attempt.last_activity_s += stalled_s

    def resume_attempt(self, attempt: Attempt, now_s: float) -> Attempt:
        """Start a new stream that resumes the work of an attempt."""
        attempt_id = self.next_attempt_id()
        self.attempt = Attempt(
            attempt_id,
            attempt.work_id,
            attempt.target,
            now_s,
            accepts_early=attempt.accepted or attempt.accepts_early,
        )
        return self.attempt
