"""The active configuration: routes, services, organisations and limits."""

import enum
from collections.abc import Mapping
from random import Random

import attrs

from dandelionyoke_dispatch._rate_limit import RateLimit


class ConfigurationError(ValueError):
    """An invalid configuration; the message names the invalid field."""


@enum.unique
class CallKind(enum.Enum):
    """Which calls of a route may be repeated."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non_idempotent'
    STREAM = 'stream'


@attrs.frozen
class ServiceShare:
    """A service and its weight among the services of a route."""

    service: str
    weight: float


@attrs.frozen
class Route:
    """The destination and limits of calls with a given host and path prefix."""

    name: str
    host: str
    path_prefix: str
    kind: CallKind
    timeout_s: float
    goal_s: float
    priority: int
    shares: tuple[ServiceShare, ...]
    max_attempts: int = 1
    is_anonymous: bool = False
    is_resumable: bool = False
    longest_pause_s: float = 0.0

    @property
    def is_repeatable(self) -> bool:
        """Whether a call may run more than once."""
        if self.kind is CallKind.STREAM:
            return self.is_resumable
        return self.kind is CallKind.IDEMPOTENT

    def choose_service(self, random: Random) -> str:
        """Choose one of the services at random by weight."""
        if len(self.shares) == 1:
            return self.shares[0].service
        weights = [share.weight for share in self.shares]
        return random.choices(self.shares, weights)[0].service


@attrs.frozen
class EngineTraits:
    """The configured properties of the language engines of a service."""

    slots: int
    cache_capacity_tokens: int
    handle_hold_s: float
    phase_switch_s: float


@attrs.frozen
class ScalingRange:
    """The number of targets that a service may have per failure domain."""

    min_targets: int
    max_targets: int
    boot_s: float
    reclaimable_price_share: float | None
    domain_prices: Mapping[str, float]


@attrs.frozen
class Service:
    """A group of equivalent targets; `engine` is None for a plain service."""

    name: str
    max_connections: int
    engine: EngineTraits | None = None
    scaling: ScalingRange | None = None


@attrs.frozen
class Organisation:
    """A customer; its priority takes precedence over that of a route.

    `rate_limit` applies to all nodes together; None means no limit.
    """

    name: str
    priority: int | None = None
    rate_limit: RateLimit | None = None


@attrs.frozen
class CallerLimits:
    """Limits on request sizes and on the time that a caller may take."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4194304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@attrs.frozen
class FleetConfiguration:
    """One immutable version of the whole configuration."""

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    organisations: Mapping[str, Organisation] = attrs.field(
        factory=dict, repr=False
    )
    limits: CallerLimits = attrs.field(factory=CallerLimits)
    has_organisations: bool = False

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of the host with the longest matching prefix."""
        best: Route | None = None
        for route in self.routes:
            if route.host != host or not path.startswith(route.path_prefix):
                continue
            if best is None or len(route.path_prefix) > len(best.path_prefix):
                best = route
        return best

    def find_organisation(self, api_key: str | None) -> Organisation | None:
        """Return the organisation that owns a key; None if there is none."""
        return self.organisations.get(api_key) if api_key else None

    @property
    def rate_limits(self) -> dict[str, RateLimit]:
        """The rate limits by organisation name; no entry means no limit."""
        return {
            organisation.name: organisation.rate_limit
            for organisation in self.organisations.values()
            if organisation.rate_limit is not None
        }
