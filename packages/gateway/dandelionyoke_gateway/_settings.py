"""The settings of a gateway, checked as a whole."""

import configparser
from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Any

import attrs

from dandelionyoke_core import SettingsError

MAX_PORT = 65535


@attrs.frozen
class Endpoint:
    """An address and port to listen on."""

    host: str
    port: int


@attrs.frozen
class GatewaySettings:
    """All settings of a gateway."""

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
    # How many processors there are, and the share of each that is its own.
    processors: float = 1.0
    processor_share: float = 1.0
    # Over each window an organisation may use this much beyond its limit, as
    # a share of it and in the units of the limit; 0 where nobody says.
    limit_window_s: float = 0.0
    limit_overrun_share: float = 0.0
    limit_slack: float = 0.0


def read_settings(text: str) -> GatewaySettings:
    """Read the settings from INI text.

    Raises:
        SettingsError: with every mistake in one report.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text)
    except configparser.Error as bad:
        raise SettingsError(
            f'The settings are not INI: {bad.message}',
            'Write [section] lines and option = value lines',
        ) from bad
    mistakes: list[str] = []
    values: dict[str, Any] = {}
    for field, (section, option, check) in _OPTIONS.items():
        raw = parser.get(section, option, fallback='')
        try:
            values[field] = check(raw)
        except ValueError as bad:
            mistakes.append(f'[{section}] {option} = {raw!r}: {bad}')
    if mistakes:
        raise SettingsError('\n'.join(mistakes), 'Mend the settings file')
    return GatewaySettings(**values)


def _name(raw: str) -> str:
    if not raw:
        raise ValueError('a name is missing')
    return raw


def _endpoint(raw: str) -> Endpoint:
    host, _, port = raw.rpartition(':')
    if not host or not port.isdigit() or int(port) > MAX_PORT:
        raise ValueError('write it as address:port')
    return Endpoint(host, int(port))


def _address(raw: str) -> str:
    _endpoint(raw)
    return raw


def _optional_address(raw: str) -> str | None:
    return _address(raw) if raw else None


def _number(raw: str) -> float:
    try:
        number = float(raw)
    except ValueError:
        raise ValueError('write a number') from None
    if number < 0:
        raise ValueError('it must not be negative')
    return number


def _number_or_one(raw: str) -> float:
    return _number(raw) if raw else 1.0


def _number_or_zero(raw: str) -> float:
    return _number(raw) if raw else 0.0


def _milliseconds(raw: str) -> float:
    return _number(raw) / 1000


def _count(raw: str) -> int:
    return int(_number(raw))


_Option = tuple[str, str, Callable[[str], Any]]

_OPTIONS: Mapping[str, _Option] = MappingProxyType(
    {
        'instance_id': ('gateway', 'instance_id', _name),
        'domain': ('gateway', 'domain', _name),
        'callers': ('gateway', 'caller_address', _endpoint),
        'health': ('gateway', 'health_address', _endpoint),
        'metrics': ('gateway', 'metrics_address', _endpoint),
        'peers': ('gateway', 'peer_address', _endpoint),
        'processors': ('gateway', 'processors', _number_or_one),
        'processor_share': ('gateway', 'processor_share', _number_or_one),
        'store_address': ('store', 'address', _address),
        'duty_address': ('duties', 'address', _optional_address),
        'revocation_s': ('bounds', 'revocation_ms', _milliseconds),
        'drain_s': ('bounds', 'drain_ms', _milliseconds),
        'apply_s': ('bounds', 'apply_ms', _milliseconds),
        'grace_s': ('bounds', 'grace_s', _number),
        'retry_share': ('bounds', 'retry_share', _number),
        'retry_extra': ('bounds', 'retry_extra', _count),
        'retry_window_s': ('bounds', 'retry_window_s', _number),
        'duty_turn_s': ('bounds', 'duty_turn_ms', _milliseconds),
        'usage_window_s': ('bounds', 'usage_window_s', _number),
        'usage_late_s': ('bounds', 'usage_late_s', _number),
        'limit_window_s': ('limits', 'window_s', _number_or_zero),
        'limit_overrun_share': ('limits', 'overrun_share', _number_or_zero),
        'limit_slack': ('limits', 'slack', _number_or_zero),
    }
)
