"""Interfaces that a platform adapter implements, and their data types."""

import enum
from collections.abc import Callable
from typing import Protocol, Self

import attrs

from dandelionyoke_core import Action, StoreResult
from dandelionyoke_dispatch import (
    Call,
    FleetConfiguration,
    LoadReport,
    Phase,
    RegisteredTarget,
    WindowCounts,
)
from dandelionyoke_gateway._errors import ExchangeError
from dandelionyoke_gateway._messages import RequestHead, ResponseHead


@attrs.frozen
class CacheSource:
    """The engine and the handle of the KV cache of a prefilled prompt."""

    target: RegisteredTarget
    handle: str

    @property
    def address(self) -> str:
        """The address of the engine."""
        return self.target.address


@attrs.frozen
class Forwarding:
    """What the gateway adds to a call that it forwards to a target.

    `fetch_from` is the address of an engine from which to fetch a shared
    prefix; `cache` is the KV cache with which to start the decode.
    """

    target_id: str
    time_left_s: float
    organisation: str | None = None
    priority: int | None = None
    is_prefill: bool = False
    fetch_from: str | None = None
    cache: CacheSource | None = None
    last_event_id: str | None = None


@attrs.frozen
class ResponseFacts:
    """The status and metadata in the head of a target's response.

    `is_not_run` means that the target states that it did not run the call.
    `is_misdirected` means that it did not take the call for its own: another
    target uses the address now, or this one is in another phase.
    `load` is the load that the target reports; `invalid_load` is the text of
    one that cannot be read, with the reason. `limit_per_s` is the rate of
    requests that it takes from all nodes together, None if it names none;
    `invalid_limit` is the text of a rate that is no number. `is_leaving` means
    that the target says it leaves. `rest_s` is the time for which it wants no
    request from this instance; `invalid_rest` is the text of one that is no
    number.
    """

    status: int
    attempt_id: str | None
    is_signed: bool
    is_not_run: bool
    is_misdirected: bool
    load: LoadReport | None = None
    invalid_load: str = ''
    limit_per_s: float | None = None
    invalid_limit: str = ''
    is_leaving: bool = False
    rest_s: float | None = None
    invalid_rest: str = ''

    @property
    def busy(self) -> int | None:
        """The calls at the target; None if it does not say."""
        return None if self.load is None else self.load.busy


@attrs.frozen
class FencingStamp:
    """The holder and the fencing token with which an order or report is sent.

    No byte of it may be sent after `send_until_s`, a time of `clock_s`.
    """

    holder: str
    fence: int
    send_until_s: float


@enum.unique
class DutyOutcome(enum.Enum):
    """The result of sending a report or an order."""

    ACCEPTED = 'accepted'
    REFUSED = 'refused'
    NOT_SENT = 'not sent'
    # It may or may not have been accepted.
    UNKNOWN = 'unknown'


@attrs.frozen
class DutyCallResult:
    """An outcome, the cause if it was not accepted, and the elapsed time."""

    outcome: DutyOutcome
    cause: str
    elapsed_s: float

    @classmethod
    def answered(cls, cause: str, elapsed_s: float) -> Self:
        """Create it from a response; an empty cause means accepted."""
        outcome = DutyOutcome.REFUSED if cause else DutyOutcome.ACCEPTED
        return cls(outcome, cause, elapsed_s)

    @classmethod
    def failed(cls, error: ExchangeError, elapsed_s: float) -> Self:
        """Create it from an exchange that failed without a response."""
        outcome = DutyOutcome.UNKNOWN if error.sent else DutyOutcome.NOT_SENT
        return cls(outcome, error.cause, elapsed_s)

    @property
    def is_accepted(self) -> bool:
        """Whether it was certainly accepted."""
        return self.outcome is DutyOutcome.ACCEPTED


@attrs.frozen
class EngineReport:
    """The state that an engine reports, up to some hundred milliseconds old.

    `order_count` is the number of orders that it accepted since its start, at
    `started_ms`; None if it does not say.
    """

    phase: Phase
    order_count: int
    is_busy_with_order: bool
    started_ms: int | None = None


@enum.unique
class TargetIdentity(enum.Enum):
    """Whether a target is the start that the registry lists."""

    SAME = 'same'
    # It has started anew, or another target uses its address.
    OTHER = 'other'
    UNKNOWN = 'unknown'


@attrs.frozen
class PhaseOrder:
    """An order to an engine to change its phase.

    The engine refuses it unless it has accepted exactly
    `expected_order_count` orders, so that a delayed copy has no effect.
    """

    target: RegisteredTarget
    phase: Phase
    expected_order_count: int


@attrs.frozen
class TargetCountOrder:
    """An order to the platform to run `count` targets of a service in a domain."""

    service: str
    domain: str
    count: int
    is_reclaimable: bool


class Dialect(Protocol):
    """The wire formats of calls and responses, and the format of stored records."""

    def read_call(self, head: RequestHead) -> Call | None:
        """Read the metadata of a call; None if it has no attempt ID."""

    def call_head(
        self, head: RequestHead, forwarding: Forwarding
    ) -> RequestHead:
        """Return the request head to send to a target."""

    def read_response(self, head: ResponseHead) -> ResponseFacts:
        """Read the metadata of a target's response."""

    def response_head(self, head: ResponseHead) -> ResponseHead:
        """Return the response head to send to the caller."""

    def refusal_head(
        self, status: int, retry_after_s: float | None
    ) -> ResponseHead:
        """Return the head of a response with which the gateway refuses a call."""

    def read_prefill(self, body: bytes) -> str | None:
        """Read the KV cache handle of a prefilled prompt; None if it is missing."""

    def read_configuration(self, text: str) -> FleetConfiguration:
        """Parse a complete configuration.

        Raises:
            ConfigurationError: it is invalid; the message names the field.
        """

    def read_target(self, key: str, text: str) -> RegisteredTarget | None:
        """Parse a registry entry; None if it describes no target."""

    @property
    def configuration_key(self) -> str:
        """The store key of the newest configuration."""

    @property
    def registry_prefix(self) -> str:
        """The store prefix under which targets register."""


class Store(Protocol):
    """The key-value store of the platform."""

    def perform(self, action: Action) -> StoreResult:
        """Perform a store action; a failed call is a result, not an exception."""


class DutyClient(Protocol):
    """Calls that only the holder of the lease on a duty may make."""

    def report_usage(
        self, counts: WindowCounts, stamp: FencingStamp
    ) -> DutyCallResult:
        """Report the usage counts of a window."""

    def order_targets(
        self, order: TargetCountOrder, stamp: FencingStamp
    ) -> DutyCallResult:
        """Order the platform to run a number of targets."""

    def order_phase(
        self, order: PhaseOrder, stamp: FencingStamp
    ) -> DutyCallResult:
        """Order an engine to change its phase."""


FactsListener = Callable[[RegisteredTarget, ResponseFacts], None]


class EngineClient(Protocol):
    """Calls to engines that are not made for a caller."""

    def listen(self, listener: FactsListener) -> None:
        """Set the listener for what engines say of themselves in answers."""

    def read_report(self, target: RegisteredTarget) -> EngineReport | None:
        """Fetch the report of an engine; None if that fails."""

    def release_cache(self, cache: CacheSource) -> None:
        """Free the KV cache of a prompt that is no longer needed."""


class IdentifyingEngineClient(EngineClient, Protocol):
    """Calls to engines, which also tell their starts apart."""

    def identify(self, target: RegisteredTarget) -> TargetIdentity:
        """Ask an engine whether it is the start that the registry lists."""
