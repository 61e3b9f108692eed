"""The state of one call from its admission until its response."""

import attrs

from dandelionyoke_dispatch import (
    Attempts,
    Call,
    CrashKeys,
    Organisation,
    Route,
    Service,
    Shutdown,
    TriedTargets,
)
from dandelionyoke_gateway._caller_connection import CallerRequest, Responder


@attrs.define
class CallContext:
    """The state of one call from its admission until its response."""

    call: Call
    request: CallerRequest
    responder: Responder
    route: Route
    service: Service
    organisation: Organisation | None
    own_deadline_s: float
    attempts: Attempts
    shutdown: Shutdown
    crash_keys: CrashKeys
    is_usage_counted: bool = False
    # How old the proof was that the configuration that accepted the key was
    # the newest.
    key_age_s: float | None = None
    # Connections to targets that failed before a byte was sent.
    failed_connections: int = 0
    # The other nodes at which the call is under way.
    serving_nodes: set[str] = attrs.field(factory=set)
    # Whether no other node could take the call.
    is_declined_elsewhere: bool = False
    # The version of the targets that may run it; None: any.
    version: str | None = None
    # Whether an event was passed on.
    has_events: bool = False
    # Whether it is sent to learn whether it crashes targets.
    is_trial: bool = False
    # When it was last checked that it may be sent to a target.
    checked_s: float | None = None
    # When the answer of a target began, by target.
    begun_s: dict[str, float] = attrs.field(factory=dict)

    @property
    def deadline_s(self) -> float:
        """The time by which the caller must have its response.

        Earlier than the deadline of the call itself if this process shuts
        down before that.
        """
        shutdown_deadline_s = self.shutdown.response_deadline_s()
        if shutdown_deadline_s is None:
            return self.own_deadline_s
        return min(self.own_deadline_s, shutdown_deadline_s)

    @property
    def is_cut_short(self) -> bool:
        """Whether this process ends before the call must."""
        return self.deadline_s < self.own_deadline_s

    @property
    def tried(self) -> TriedTargets:
        """The targets that the call should not be sent to again."""
        return self.attempts.tried

    def take_refusal(self, attempt: int, target_id: str) -> None:
        """Record that a target says that it did not run an attempt.

        An answer names its call and not its attempt. If the target has refused
        the call before, this may be a late copy of that refusal, on whichever
        connection: the outcome stays unknown if the call may not run twice.
        """
        if self.route.is_repeatable:
            self.attempts.refused(attempt)
            return
        if target_id not in self.tried.refusing_ids:
            self.attempts.refused(attempt)
        self.tried.refusing_ids.add(target_id)

    def suspect_keys(
        self, target_id: str, settled_s: float, now_s: float
    ) -> tuple[str, ...]:
        """Return the keys that may have crashed a target.

        The parts of the prompt crash it as the answer begins, so that they
        are not suspect once it has been written for `settled_s`.
        """
        begun_s = self.begun_s.get(target_id, now_s)
        if now_s - begun_s >= settled_s:
            return (self.crash_keys.fingerprint,)
        return self.crash_keys.all

    @property
    def organisation_name(self) -> str | None:
        """The name of the organisation that the call is made for."""
        return None if self.organisation is None else self.organisation.name

    @property
    def priority(self) -> int:
        """The priority of the call; lower values go first."""
        if self.organisation is not None:
            if self.organisation.priority is not None:
                return self.organisation.priority
        return self.route.priority
