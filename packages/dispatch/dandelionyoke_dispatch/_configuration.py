"""The configuration in force: routes, services, organisations, limits."""

import enum
from collections.abc import Mapping
from random import Random

import attrs

from dandelionyoke_dispatch._rate_limit import RateLimit


class ConfigurationError(ValueError):
    """A configuration that cannot be put in force; says which field is bad."""


@enum.unique
class CallKind(enum.Enum):
    """What may be repeated of a route's calls."""

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
    """Where the calls of a host and path prefix go, and within what limits."""

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
        """Draw one of the services by weight."""
        if len(self.shares) == 1:
            return self.shares[0].service
        weights = [share.weight for share in self.shares]
        return random.choices(self.shares, weights)[0].service


@attrs.frozen
class EngineTraits:
    """What the configuration says of a service's language engines."""

    slots: int
    cache_capacity_tokens: int
    handle_hold_s: float
    phase_switch_s: float


@attrs.frozen
class ScalingRange:
    """How many targets of a service each failure domain may have."""

    least: int
    most: int
    boot_s: float
    reclaimable_price_share: float | None
    domain_prices: Mapping[str, float]


@attrs.frozen
class Service:
    """A group of equal targets; `engine` is None for a plain service."""

    name: str
    max_connections: int
    engine: EngineTraits | None = None
    scaling: ScalingRange | None = None


@attrs.frozen
class Organisation:
    """A customer; its priority goes before that of a route.

    `rate_limit` holds over all nodes; None: there is no limit.
    """

    name: str
    priority: int | None = None
    rate_limit: RateLimit | None = None


@attrs.frozen
class CallerLimits:
    """What a caller may send, and how long it may take or stay idle."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4194304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@attrs.frozen
class FleetConfiguration:
    """One whole version of the configuration, never changed in place."""

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    organisations: Mapping[str, Organisation] = attrs.field(
        factory=dict, repr=False
    )
    limits: CallerLimits = attrs.field(factory=CallerLimits)
    has_organisations: bool = False

    def find_route(self, host: str, path: str) -> Route | None:
        """Find the route with the longest matching prefix of the host."""
        best: Route | None = None
        for route in self.routes:
            if route.host != host or not path.startswith(route.path_prefix):
                continue
            if best is None or len(route.path_prefix) > len(best.path_prefix):
                best = route
        return best

    def find_organisation(self, api_key: str | None) -> Organisation | None:
        """Tell whose key this is; None for a key that nobody holds."""
        return self.organisations.get(api_key) if api_key else None

    @property
    def rate_limits(self) -> dict[str, RateLimit]:
        """The limits of the organisations that have one, by name."""
        return {
            one.name: one.rate_limit
            for one in self.organisations.values()
            if one.rate_limit is not None
        }
