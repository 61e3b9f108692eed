"""Settings of an entry, parsed with all mistakes in one report."""

import configparser
from collections.abc import Callable, Mapping
from typing import TypeVar
from urllib.parse import urlsplit

import attrs

from dandelionyoke_core import Domain, InstanceId, SettingsError
from dandelionyoke_links import MachineLimits

MIN_SECRET_BYTES = 16
MAX_PORT = 65_535
LOOPBACK_ANY_PORT = '127.0.0.1:0'
DEFAULT_BALANCER_NOTICE_S = 5.0
DEFAULT_MAX_BODY_BYTES = 4_194_304
DEFAULT_MAX_CALLS = 4096
# A machine that the settings do not describe.
DEFAULT_MEMORY_MB = 256
DEFAULT_MAX_DESCRIPTORS = 4096

Setting = TypeVar('Setting')


@attrs.frozen
class Endpoint:
    """Listening address; with port 0 the kernel chooses a port."""

    host: str
    port: int


@attrs.frozen
class EntrySettings:
    """All settings of an entry. The secret must not be logged or printed."""

    instance_id: InstanceId
    domain: Domain
    callers: Endpoint
    peers: Endpoint
    platform_url: str
    secret: bytes = attrs.field(repr=False)
    balancer_notice_s: float
    max_body_bytes: int
    max_calls: int
    machine: MachineLimits


class _OptionReader:
    """Parser of options that collects all mistakes."""

    def __init__(self, parser: configparser.ConfigParser) -> None:
        self._parser = parser
        self._known_options: set[tuple[str, str]] = set()
        self.mistakes: list[str] = []

    def read(
        self,
        section: str,
        option: str,
        parse: Callable[[str], Setting],
        fallback: str | None = None,
    ) -> Setting | None:
        """Parse one option; return None after a mistake."""
        self._known_options.add((section, option))
        text = self._parser.get(section, option, fallback=fallback)
        if text is None:
            self.mistakes.append(f'[{section}] {option} is missing. Add it.')
            return None
        try:
            return parse(text)
        except ValueError as error:
            self.mistakes.append(f'[{section}] {option}: {error}')
        return None

    def reject_unknown(self) -> None:
        """Add a mistake for each unknown option, which is often misspelt."""
        for section in self._parser.sections():
            for option in self._parser.options(section):
                if (section, option) not in self._known_options:
                    self.mistakes.append(
                        f'[{section}] {option} is unknown. Remove it.'
                    )


def read_settings(text: str) -> EntrySettings:
    """Parse the settings of an entry from INI text.

    Raises:
        SettingsError: the text is invalid; lists every mistake.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text)
    except configparser.Error as error:
        raise SettingsError(
            f'The settings are not valid INI: {error.message}',
            'Write [section] lines and option = value lines',
        ) from error
    reader = _OptionReader(parser)
    options = _read_options(reader)
    reader.reject_unknown()
    if reader.mistakes:
        raise SettingsError(
            '\n'.join(reader.mistakes).removesuffix('.'),
            'Fix the settings file',
        )
    return EntrySettings(**options)  # type: ignore[arg-type]


def _read_options(reader: _OptionReader) -> Mapping[str, object]:
    return {
        'instance_id': reader.read('entry', 'instance_id', _parse_name),
        'domain': reader.read('entry', 'domain', _parse_name),
        'callers': reader.read(
            'entry', 'caller_address', _parse_endpoint, LOOPBACK_ANY_PORT
        ),
        'peers': reader.read(
            'entry', 'peer_address', _parse_endpoint, LOOPBACK_ANY_PORT
        ),
        'platform_url': reader.read('platform', 'url', _parse_url),
        'secret': reader.read('peers', 'secret', _parse_secret),
        'balancer_notice_s': reader.read(
            'shutdown',
            'balancer_notice_s',
            _parse_seconds,
            str(DEFAULT_BALANCER_NOTICE_S),
        ),
        'max_body_bytes': reader.read(
            'limits',
            'max_body_bytes',
            _parse_positive_integer,
            str(DEFAULT_MAX_BODY_BYTES),
        ),
        'max_calls': reader.read(
            'limits',
            'max_calls',
            _parse_positive_integer,
            str(DEFAULT_MAX_CALLS),
        ),
        'machine': _read_machine(reader),
    }


def _read_machine(reader: _OptionReader) -> MachineLimits | None:
    memory_mb = reader.read(
        'machine',
        'memory_mb',
        _parse_positive_integer,
        str(DEFAULT_MEMORY_MB),
    )
    max_descriptors = reader.read(
        'machine',
        'max_descriptors',
        _parse_positive_integer,
        str(DEFAULT_MAX_DESCRIPTORS),
    )
    if memory_mb is None or max_descriptors is None:
        return None
    return MachineLimits(memory_mb, max_descriptors)


def _parse_name(text: str) -> str:
    if not text or not text.replace('-', '').replace('.', '').isalnum():
        raise ValueError(
            f'{text!r} is not a valid name. Use letters, digits, "-" and ".".'
        )
    return text


def _parse_endpoint(text: str) -> Endpoint:
    host, _, port = text.rpartition(':')
    if not host or not port.isdecimal() or int(port) > MAX_PORT:
        raise ValueError(f'{text!r} is not HOST:PORT. Write 10.0.0.5:8080.')
    return Endpoint(host, int(port))


def _parse_url(text: str) -> str:
    parts = urlsplit(text)
    if parts.scheme != 'http' or not parts.hostname:
        raise ValueError(
            f'{text!r} is not a valid URL. Write http://HOST:PORT.'
        )
    return text.rstrip('/')


def _parse_secret(text: str) -> bytes:
    secret = text.encode()
    if len(secret) < MIN_SECRET_BYTES:
        raise ValueError(
            f'it has {len(secret)} bytes. Use {MIN_SECRET_BYTES} or more.'
        )
    return secret


def _parse_seconds(text: str) -> float:
    try:
        seconds = float(text)
    except ValueError:
        seconds = -1
    if not 0 <= seconds < float('inf'):
        raise ValueError(
            f'{text!r} is not a duration. Write seconds, such as 2.5.'
        )
    return seconds


def _parse_positive_integer(text: str) -> int:
    if not text.isdecimal() or int(text) == 0:
        raise ValueError(f'{text!r} is not a whole number above 0. Write one.')
    return int(text)
