"""How the parts of a node call each other, apart from notices.

A part that another one has to ask on the spot offers a `Protocol`; the
naive versions of the differential tests offer the same.
"""

from typing import ClassVar, Protocol

import attrs

from dandelionyoke_core._actions import Action
from dandelionyoke_core._entities import Organisation, Snapshot
from dandelionyoke_core._events import Event, Notice, ServiceCalled
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
    """A state machine inside a node.

    `handles` names the event types that it takes; a node gives it no other.
    `next_wakeup_s` is when it wants a `Woken`, or None.
    """

    handles: ClassVar[tuple[type[Event], ...]]

    def handle(self, event: Event, now_s: float) -> list[Output]:
        """Take an event and say what follows from it."""

    def next_wakeup_s(self) -> float | None:
        """Tell when this part has to be woken, or None."""


class Directory(Protocol):
    """The configuration in force in this node."""

    @property
    def snapshot(self) -> Snapshot:
        """The whole configuration; revision 0 while nothing is known."""

    def knowledge_age_s(self, now_s: float) -> float | None:
        """Seconds since it was last confirmed; None: never."""


@attrs.frozen
class Identity:
    """Who a call runs for."""

    organisation: Organisation
    key_hash: str


class Authenticator(Protocol):
    """Tells whose key a call carries."""

    def authenticate(self, bearer_key: str, now_s: float) -> Identity | Refusal:
        """Find the organisation of a key."""


@attrs.frozen
class Ticket:
    """What admission needs to know of a call.

    `cost` is in prefill-token equivalents; `deadline_s` and `arrived_s`
    are on this node's clock.
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
    """The call may go now."""


@attrs.frozen
class Queued:
    """The call waits; a CallAdmitted or CallRejected follows."""


class Admitter(Protocol):
    """Limits and fair queues."""

    def offer(
        self, ticket: Ticket, now_s: float
    ) -> Admitted | Queued | Refusal:
        """Decide on a new call at once."""

    def withdraw(self, request_id: RequestId, now_s: float) -> None:
        """Forget a queued call, or give back the place of an admitted one.

        Nothing of it was served.
        """

    def finish(
        self,
        request_id: RequestId,
        prompt_tokens: int,
        output_tokens: int,
        now_s: float,
    ) -> None:
        """Give back the place of a call, with what it was served."""

    def come_back_s(self, service: ServiceName, now_s: float) -> float:
        """Estimate when a refused call would find room, in seconds."""


@attrs.frozen
class RouteNeed:
    """What a call needs of a target.

    `avoid` names targets that already failed this call; `prefer` is the
    one that may still hold its state. `steady` work stays off reclaimable
    targets.
    """

    organisation: OrganisationId
    service: ServiceName
    model: str = ''
    blocks: tuple[str, ...] = ()
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    steady: bool = False
    avoid: frozenset[TargetId] = frozenset()
    prefer: TargetId | None = None
    deadline_s: float | None = None


@attrs.frozen
class NoRoute:
    """No target can take the call now."""

    cause: str
    retry_after_s: float


class Router(Protocol):
    """Chooses a target for a call, and follows what it sent."""

    def choose(self, need: RouteNeed, now_s: float) -> Target | NoRoute:
        """Choose a target for an attempt."""

    def find(self, target_id: TargetId) -> Target | None:
        """Look a target up; None when it is gone."""

    def dispatched(
        self,
        attempt_id: AttemptId,
        target_id: TargetId,
        need: RouteNeed,
        now_s: float,
    ) -> None:
        """Count an attempt as in progress at a target."""

    def progressed(
        self, attempt_id: AttemptId, output_tokens: int, now_s: float
    ) -> None:
        """Count output of an attempt (the total so far)."""

    def ended(
        self, attempt_id: AttemptId, now_s: float, failed: bool = False
    ) -> None:
        """Stop counting an attempt."""


class Claimer(Protocol):
    """At most once for calls that may not be repeated."""

    def claim(
        self,
        call: ServiceCalled,
        organisation: OrganisationId,
        now_s: float,
    ) -> list[Output]:
        """Start a claim: ClaimGranted, ClaimAnswered or ClaimRefused follows."""

    def settle(
        self,
        request_id: RequestId,
        status: int,
        content_type: str,
        body: bytes,
        now_s: float,
    ) -> list[Output]:
        """Record the end of a claimed call."""

    def reopen(self, request_id: RequestId, now_s: float) -> list[Output]:
        """Give a claim back on proof that the call did not run."""

    def doubt(self, request_id: RequestId, now_s: float) -> list[Output]:
        """Leave a claim in doubt for good: its end is not known."""


class Quarantine(Protocol):
    """Keeps requests away from targets that they would crash."""

    def refusal(self, fingerprint: str, now_s: float) -> Refusal | None:
        """Refuse a call whose fingerprint is quarantined."""

    def started(
        self,
        attempt_id: AttemptId,
        target_id: TargetId,
        fingerprint: str,
        now_s: float,
    ) -> list[Output]:
        """Remember what is in progress where."""

    def crowded(self, fingerprint: str, now_s: float) -> frozenset[TargetId]:
        """Tell which targets a call must keep off, for its neighbours' sake.

        Two suspects of one crash on one target could not be told apart if
        it crashed too.
        """

    def ended(self, attempt_id: AttemptId, whole: bool = False) -> list[Output]:
        """Forget an attempt that ended without harm.

        `whole` is whether it ran to its end, which clears its fingerprint.
        """

    def lost(self, attempt_id: AttemptId, now_s: float) -> list[Output]:
        """An attempt was left at a silent target, which may have crashed."""

    def broke(self, attempt_id: AttemptId, now_s: float) -> list[Output]:
        """An attempt broke off; its target may have crashed of it."""


class Peers(Protocol):
    """Who is alive, as far as this node knows."""

    @property
    def live(self) -> tuple[InstanceId, ...]:
        """Live entries everywhere, this one included, sorted."""

    @property
    def live_in_domain(self) -> tuple[InstanceId, ...]:
        """Live entries of this failure domain, this one included, sorted."""
