"""What the gateway asks of an adapter: a dialect, a store, duties, orders."""

import enum
from typing import Protocol, Self

import attrs

from dandelionyoke_core import Action, StoreResult
from dandelionyoke_dispatch import (
    Call,
    FleetConfiguration,
    Phase,
    RegisteredTarget,
    WindowCounts,
)
from dandelionyoke_gateway._errors import ExchangeError
from dandelionyoke_gateway._messages import RequestHead, ResponseHead


@attrs.frozen
class CacheSource:
    """Where the cache of a prompt that was read lies, under which handle."""

    address: str
    handle: str


@attrs.frozen
class Forwarding:
    """What the system itself says of a call to a target."""

    target_id: str
    time_left_s: float
    organisation: str | None = None
    priority: int | None = None
    is_prefill: bool = False
    fetch_from: str | None = None
    cache: CacheSource | None = None
    last_event_id: str | None = None


@attrs.frozen
class AnswerFacts:
    """What the head of a target's answer says besides its status.

    `is_not_run` is the target's own word that it did not run the call;
    `is_other_target` says that the address belongs to another one by now.
    """

    status: int
    attempt_id: str | None
    is_signed: bool
    is_not_run: bool
    is_other_target: bool
    busy: int | None


@attrs.frozen
class DutyStamp:
    """Under whose authority an order or a report is sent.

    No byte of it may leave after `send_until_s`, a time of `clock_s`.
    """

    holder: str
    fence: int
    send_until_s: float


@enum.unique
class DutyOutcome(enum.Enum):
    """What became of a report or an order."""

    ACCEPTED = 'accepted'
    REFUSED = 'refused'
    NOT_SENT = 'not sent'
    # It may or may not have been accepted.
    UNKNOWN = 'unknown'


@attrs.frozen
class DutyAnswer:
    """An outcome, why it was not accepted, and how long the call took."""

    outcome: DutyOutcome
    cause: str
    elapsed_s: float

    @classmethod
    def answered(cls, cause: str, elapsed_s: float) -> Self:
        """Tell an answer; no cause: it was accepted."""
        outcome = DutyOutcome.REFUSED if cause else DutyOutcome.ACCEPTED
        return cls(outcome, cause, elapsed_s)

    @classmethod
    def failed(cls, error: ExchangeError, elapsed_s: float) -> Self:
        """Tell an exchange that brought no answer."""
        outcome = DutyOutcome.UNKNOWN if error.sent else DutyOutcome.NOT_SENT
        return cls(outcome, error.cause, elapsed_s)

    @property
    def is_accepted(self) -> bool:
        """Whether it was accepted for sure."""
        return self.outcome is DutyOutcome.ACCEPTED


@attrs.frozen
class EngineReport:
    """What an engine says of itself, as of some hundred milliseconds ago.

    `order_count` is the number of orders that it accepted since its start.
    """

    phase: Phase
    order_count: int
    is_busy_with_order: bool


@attrs.frozen
class PhaseOrder:
    """An order to an engine to change its phase.

    The engine refuses it if it has accepted another number of orders than
    `expected_order_count`, so that a late copy of it has no effect.
    """

    target: RegisteredTarget
    phase: Phase
    expected_order_count: int


@attrs.frozen
class TargetCount:
    """An order to the platform for a number of targets in a domain."""

    service: str
    domain: str
    count: int
    is_reclaimable: bool


class Dialect(Protocol):
    """The names and formats of calls, answers and records."""

    def read_call(self, head: RequestHead) -> Call | None:
        """Read the facts of a call; None if it names no attempt."""

    def call_head(
        self, head: RequestHead, forwarding: Forwarding
    ) -> RequestHead:
        """Write the head with which a call goes to a target."""

    def read_answer(self, head: ResponseHead) -> AnswerFacts:
        """Read the facts of a target's answer."""

    def answer_head(self, head: ResponseHead) -> ResponseHead:
        """Write the head with which a target's answer goes to the caller."""

    def refusal_head(
        self, status: int, retry_after_s: float | None
    ) -> ResponseHead:
        """Write the head of an answer of the system's own."""

    def read_prefill(self, body: bytes) -> str | None:
        """Read the handle of a prompt that was read; None if there is none."""

    def read_configuration(self, text: str) -> FleetConfiguration:
        """Read a whole configuration.

        Raises:
            ConfigurationError: it cannot be read; the message names the field.
        """

    def read_target(self, key: str, text: str) -> RegisteredTarget | None:
        """Read an entry of the registry; None if it names no target."""

    @property
    def configuration_key(self) -> str:
        """The key that holds the newest configuration."""

    @property
    def registry_prefix(self) -> str:
        """The prefix under which targets enter themselves."""


class Store(Protocol):
    """The platform's store."""

    def perform(self, action: Action) -> StoreResult:
        """Carry out a store action; never raises for a failed call."""


class DutyClient(Protocol):
    """Calls that only the holder of the duty may make."""

    def report_usage(
        self, counts: WindowCounts, stamp: DutyStamp
    ) -> DutyAnswer:
        """Report a window."""

    def order_targets(self, order: TargetCount, stamp: DutyStamp) -> DutyAnswer:
        """Order a number of targets."""

    def order_phase(self, order: PhaseOrder, stamp: DutyStamp) -> DutyAnswer:
        """Order an engine to change its phase."""


class EngineClient(Protocol):
    """Calls to engines that carry no caller's request."""

    def read_report(self, target: RegisteredTarget) -> EngineReport | None:
        """Read an engine's report; None if it gave none."""

    def release_cache(self, cache: CacheSource) -> None:
        """Free a prompt that nobody will use."""
