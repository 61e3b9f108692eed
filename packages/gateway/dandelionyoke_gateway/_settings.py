"""Settings of the gateway, read from INI text and validated."""

import configparser
import math
from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Any

import attrs

from dandelionyoke_core import SettingsError

MAX_PORT = 65535
# A machine that the settings do not describe.
DEFAULT_MEMORY_MB = 300.0
DEFAULT_MAX_DESCRIPTORS = 1024


@attrs.frozen
class Endpoint:
    """A host and port to listen on."""

    host: str
    port: int


@attrs.frozen
class GatewaySettings:
    """The settings of a gateway process; names ending in `_s` are seconds."""

    instance_id: str
    domain: str
    callers: Endpoint
    health: Endpoint
    metrics: Endpoint
    peers: Endpoint
    store_address: str
    duty_address: str | None
    revocation_s: float
    drain_s: float
    apply_s: float
    grace_s: float
    retry_share: float
    retry_extra: int
    retry_window_s: float
    duty_turn_s: float
    usage_window_s: float
    usage_late_s: float
    # The number of processors, and the share of each that this process gets.
    processors: float = 1.0
    processor_share: float = 1.0
    # What the machine lets this process use.
    memory_mb: float = DEFAULT_MEMORY_MB
    max_descriptors: int = DEFAULT_MAX_DESCRIPTORS
    # In each window an organisation may exceed its limit by a share of it,
    # and by an absolute slack in the units of the limit. Both default to 0.
    limit_window_s: float = 0.0
    limit_overrun_share: float = 0.0
    limit_slack: float = 0.0
    # What is in force at the deployment, and which of that asks to balance all
    # services by the capacity of their targets; empty if nothing does.
    features: frozenset[str] = frozenset()
    capacity_feature: str = ''
    # Whether engines and phases of such services follow what callers use.
    plans_by_need: bool = False

    @property
    def balances_by_capacity(self) -> bool:
        """Whether all services are balanced by capacity.

        If not, those are whose targets tell how slow they are.
        """
        return self.capacity_feature in self.features


def read_settings(text: str) -> GatewaySettings:
    """Read the settings from INI text.

    Raises:
        SettingsError: the message lists all errors in the settings.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text)
    except configparser.Error as error:
        raise SettingsError(
            f'The settings are not valid INI: {error.message}',
            'Use [section] lines and option = value lines',
        ) from error
    errors: list[str] = []
    values: dict[str, Any] = {}
    for field, (section, option, parse) in _OPTIONS.items():
        raw = parser.get(section, option, fallback='')
        try:
            values[field] = parse(raw)
        except ValueError as error:
            errors.append(f'[{section}] {option} = {raw!r}: {error}')
    if errors:
        raise SettingsError('\n'.join(errors), 'Fix the settings file')
    return GatewaySettings(**values)


def _parse_name(raw: str) -> str:
    if not raw:
        raise ValueError('must not be empty')
    return raw


def _parse_endpoint(raw: str) -> Endpoint:
    host, _, port = raw.rpartition(':')
    if not host or not port.isdigit() or int(port) > MAX_PORT:
        raise ValueError('must have the form address:port')
    return Endpoint(host, int(port))


def _parse_address(raw: str) -> str:
    _parse_endpoint(raw)
    return raw


def _parse_optional_address(raw: str) -> str | None:
    return _parse_address(raw) if raw else None


def _parse_number(raw: str) -> float:
    try:
        number = float(raw)
    except ValueError:
        raise ValueError('must be a number') from None
    if not math.isfinite(number):
        raise ValueError('must be finite')
    if number < 0:
        raise ValueError('must not be negative')
    return number


def _parse_number_or_one(raw: str) -> float:
    return _parse_number(raw) if raw else 1.0


def _parse_number_or_zero(raw: str) -> float:
    return _parse_number(raw) if raw else 0.0


def _parse_memory(raw: str) -> float:
    return _parse_number(raw) if raw else DEFAULT_MEMORY_MB


def _parse_descriptors(raw: str) -> int:
    return _parse_count(raw) if raw else DEFAULT_MAX_DESCRIPTORS


def _parse_milliseconds(raw: str) -> float:
    return _parse_number(raw) / 1000


def _parse_names(raw: str) -> frozenset[str]:
    names = [name.strip() for name in raw.split(',')]
    if raw and not all(names):
        raise ValueError('must be names with commas between them')
    return frozenset(name for name in names if name)


def _parse_flag(raw: str) -> bool:
    if raw not in {'', 'yes', 'no'}:
        raise ValueError('must be yes or no')
    return raw == 'yes'


def _parse_count(raw: str) -> int:
    return int(_parse_number(raw))


_Option = tuple[str, str, Callable[[str], Any]]

_OPTIONS: Mapping[str, _Option] = MappingProxyType(
    {
        'instance_id': ('gateway', 'instance_id', _parse_name),
        'domain': ('gateway', 'domain', _parse_name),
        'callers': ('gateway', 'caller_address', _parse_endpoint),
        'health': ('gateway', 'health_address', _parse_endpoint),
        'metrics': ('gateway', 'metrics_address', _parse_endpoint),
        'peers': ('gateway', 'peer_address', _parse_endpoint),
        'processors': ('gateway', 'processors', _parse_number_or_one),
        'processor_share': ('gateway', 'processor_share', _parse_number_or_one),
        'memory_mb': ('machine', 'memory_mb', _parse_memory),
        'max_descriptors': ('machine', 'max_descriptors', _parse_descriptors),
        'store_address': ('store', 'address', _parse_address),
        'duty_address': ('duties', 'address', _parse_optional_address),
        'revocation_s': ('bounds', 'revocation_ms', _parse_milliseconds),
        'drain_s': ('bounds', 'drain_ms', _parse_milliseconds),
        'apply_s': ('bounds', 'apply_ms', _parse_milliseconds),
        'grace_s': ('bounds', 'grace_s', _parse_number),
        'retry_share': ('bounds', 'retry_share', _parse_number),
        'retry_extra': ('bounds', 'retry_extra', _parse_count),
        'retry_window_s': ('bounds', 'retry_window_s', _parse_number),
        'duty_turn_s': ('bounds', 'duty_turn_ms', _parse_milliseconds),
        'usage_window_s': ('bounds', 'usage_window_s', _parse_number),
        'usage_late_s': ('bounds', 'usage_late_s', _parse_number),
        'limit_window_s': ('limits', 'window_s', _parse_number_or_zero),
        'limit_overrun_share': (
            'limits',
            'overrun_share',
            _parse_number_or_zero,
        ),
        'limit_slack': ('limits', 'slack', _parse_number_or_zero),
        'features': ('balancing', 'features', _parse_names),
        'capacity_feature': ('balancing', 'capacity_feature', str.strip),
        'plans_by_need': ('balancing', 'plans_by_need', _parse_flag),
    }
)
