"""The state of one call from its admission until its response."""

import attrs

from dandelionyoke_dispatch import (
    Attempts,
    Call,
    Organisation,
    Route,
    Service,
    Shutdown,
    TriedTargets,
    fingerprint,
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
    def tried(self) -> TriedTargets:
        """The targets that the call should not be sent to again."""
        return self.attempts.tried

    @property
    def fingerprint(self) -> str:
        """A hash that the call and its repetitions have in common."""
        return fingerprint(
            self.organisation_name, self.call.path, self.request.body
        )

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
