"""Interfaces through which the parts of a node call each other directly.

Notices carry everything else. The naive reference implementations of the
differential tests implement the same protocols.
"""

from typing import ClassVar, Protocol

import attrs

from dandelionyoke_core._actions import Action
from dandelionyoke_core._entities import Organisation, Snapshot
from dandelionyoke_core._events import Event, Notice, ServiceCallRequested
from dandelionyoke_core._names import (
    AttemptId,
    InstanceId,
    OrganisationId,
    RequestId,
    ServiceName,
    TargetId,
)
from dandelionyoke_core._records import Target
from dandelionyoke_core._refusals import Refusal

Output = Action | Notice


class Part(Protocol):
    """State machine inside a node.

    `handles` lists the event types that it accepts; a node passes it no
    others. A node sends it `TimerFired` at `next_wakeup_s`, unless that is None.
    """

    handles: ClassVar[tuple[type[Event], ...]]

    def handle(self, event: Event, now_s: float) -> list[Output]:
        """Handle an event and return the resulting outputs."""

    def next_wakeup_s(self) -> float | None:
        """Return the time of the next wake-up, or None."""


class ConfigurationView(Protocol):
    """Access to the configuration that this node applies."""

    @property
    def snapshot(self) -> Snapshot:
        """The whole configuration; revision 0 until one is received."""

    def knowledge_age_s(self, now_s: float) -> float | None:
        """Return the seconds since the last confirmation; None if never."""


@attrs.frozen
class Identity:
    """Organisation and key on behalf of which a call runs."""

    organisation: Organisation
    key_hash: str


class Authenticator(Protocol):
    """Authentication of calls by their API key."""

    def authenticate(self, bearer_key: str, now_s: float) -> Identity | Refusal:
        """Return the identity that a key belongs to, or a refusal."""


@attrs.frozen
class Ticket:
    """Properties of a call that admission decides on.

    `deadline_s` and `arrived_s` are times of this node's clock. Costs derived
    from a ticket are in prefill-token equivalents.
    """

    request_id: RequestId
    organisation: Organisation
    service: ServiceName
    prompt_tokens: int
    max_output_tokens: int
    arrived_s: float
    deadline_s: float | None = None


@attrs.frozen
class Admitted:
    """Verdict: the call may be sent now."""


@attrs.frozen
class Queued:
    """Verdict: the call waits; a CallAdmitted or CallRejected follows."""


class Admitter(Protocol):
    """Admission control: limits per organisation and fair queues."""

    def offer(
        self, ticket: Ticket, now_s: float
    ) -> Admitted | Queued | Refusal:
        """Admit, queue or refuse a new call."""

    def withdraw(self, request_id: RequestId, now_s: float) -> None:
        """Remove a queued call, or release the slot of an admitted one.

        No output of the call was served.
        """

    def finish(
        self,
        request_id: RequestId,
        prompt_tokens: int,
        output_tokens: int,
        now_s: float,
    ) -> None:
        """Release the slot of a call and account for the tokens served."""

    def retry_after_s(self, service: ServiceName, now_s: float) -> float:
        """Estimate the seconds after which a refused call should retry."""


@attrs.frozen
class RouteRequirements:
    """Requirements of a call on its target.

    `excluded_targets` lists targets that already failed this call;
    `preferred_target` is the target that may still hold its state. Calls with
    `on_demand_only` are not sent to reclaimable (spot) targets.
    """

    organisation: OrganisationId
    service: ServiceName
    model: str = ''
    blocks: tuple[str, ...] = ()
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    on_demand_only: bool = False
    excluded_targets: frozenset[TargetId] = frozenset()
    preferred_target: TargetId | None = None
    deadline_s: float | None = None


@attrs.frozen
class NoRoute:
    """No target can accept the call now.

    `is_silent` if a target could that is silent and may go on.
    """

    cause: str
    retry_after_s: float
    is_silent: bool = False


class Router(Protocol):
    """Target selection, and tracking of the attempts in progress."""

    def choose(
        self, requirements: RouteRequirements, now_s: float
    ) -> Target | NoRoute:
        """Select a target for an attempt."""

    def find(self, target_id: TargetId) -> Target | None:
        """Return a target by its id; None if it does not exist any more."""

    def dispatched(
        self,
        attempt_id: AttemptId,
        target_id: TargetId,
        requirements: RouteRequirements,
        now_s: float,
    ) -> None:
        """Record that an attempt is in progress at a target."""

    def progressed(
        self, attempt_id: AttemptId, output_tokens: int, now_s: float
    ) -> None:
        """Record the output tokens of an attempt (the total so far)."""

    def ended(
        self, attempt_id: AttemptId, now_s: float, failed: bool = False
    ) -> None:
        """Record that an attempt is no longer in progress."""


class Claimer(Protocol):
    """At-most-once execution of calls that may not be repeated."""

    def claim(
        self,
        call: ServiceCallRequested,
        organisation: OrganisationId,
        now_s: float,
    ) -> list[Output]:
        """Claim a call; ClaimGranted, ClaimAnswered or ClaimRefused follows."""

    def record_result(
        self,
        request_id: RequestId,
        status: int,
        content_type: str,
        body: bytes,
        now_s: float,
    ) -> list[Output]:
        """Record the result of a claimed call."""

    def release(self, request_id: RequestId, now_s: float) -> list[Output]:
        """Release a claim because the call is proven not to have run."""

    def mark_outcome_unknown(
        self, request_id: RequestId, now_s: float
    ) -> list[Output]:
        """Mark a claim permanently as having an unknown result."""


class Quarantine(Protocol):
    """Protection of targets from requests that crash them."""

    def refusal(self, fingerprint: str, now_s: float) -> Refusal | None:
        """Return a refusal if the fingerprint is quarantined."""

    def started(
        self,
        attempt_id: AttemptId,
        target_id: TargetId,
        fingerprint: str,
        now_s: float,
    ) -> list[Output]:
        """Record that an attempt is in progress at a target."""

    def excluded_targets(
        self, fingerprint: str, now_s: float
    ) -> frozenset[TargetId]:
        """Return the targets that a suspect call must avoid.

        If two suspects of the same crash ran on one target and it crashed
        too, the culprit could not be determined.
        """

    def ended(self, attempt_id: AttemptId, whole: bool = False) -> list[Output]:
        """Remove an attempt that ended without a crash.

        `whole` is True if it ran to completion, which clears its fingerprint.
        """

    def attempt_abandoned(
        self, attempt_id: AttemptId, now_s: float
    ) -> list[Output]:
        """Record an attempt abandoned at a silent, possibly crashed target."""

    def attempt_failed(
        self, attempt_id: AttemptId, now_s: float
    ) -> list[Output]:
        """Record that an attempt broke off; it may have crashed its target."""


class Peers(Protocol):
    """Entries that this node considers live."""

    @property
    def live(self) -> tuple[InstanceId, ...]:
        """Live entries of all domains, including this one, sorted."""

    @property
    def live_in_domain(self) -> tuple[InstanceId, ...]:
        """Live entries of this failure domain, including this one, sorted."""
