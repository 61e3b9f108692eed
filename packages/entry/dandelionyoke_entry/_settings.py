"""The settings file of an entry, checked as a whole."""

import configparser
from collections.abc import Callable, Mapping
from typing import TypeVar
from urllib.parse import urlsplit

import attrs

from dandelionyoke_core import Domain, InstanceId, SettingsError

MIN_SECRET_BYTES = 16
MAX_PORT = 65_535
LOOPBACK_ANY_PORT = '127.0.0.1:0'
DEFAULT_BALANCER_NOTICE_S = 5.0
DEFAULT_MAX_BODY_BYTES = 4_194_304
DEFAULT_MAX_CALLS = 4096

Setting = TypeVar('Setting')


@attrs.frozen
class Endpoint:
    """Where to listen; port 0 lets the kernel choose."""

    host: str
    port: int


@attrs.frozen
class EntrySettings:
    """All settings of an entry. The secret is in no log and no message."""

    instance_id: InstanceId
    domain: Domain
    callers: Endpoint
    peers: Endpoint
    platform_url: str
    secret: bytes = attrs.field(repr=False)
    balancer_notice_s: float
    max_body_bytes: int
    max_calls: int


class _OptionReader:
    """Reads options and gathers every mistake instead of the first."""

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
        """Check one option; None after a mistake."""
        self._known_options.add((section, option))
        found = self._parser.get(section, option, fallback=fallback)
        if found is None:
            self.mistakes.append(f'[{section}] {option} is missing. Add it.')
            return None
        try:
            return parse(found)
        except ValueError as bad:
            self.mistakes.append(f'[{section}] {option}: {bad}')
        return None

    def reject_unknown(self) -> None:
        """Name the options that nothing reads, which are often misspelt."""
        for section in self._parser.sections():
            for option in self._parser.options(section):
                if (section, option) not in self._known_options:
                    self.mistakes.append(
                        f'[{section}] {option} is not known. Remove it.'
                    )


def read_settings(text: str) -> EntrySettings:
    """Read the settings of an entry from INI text.

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
    reader = _OptionReader(parser)
    options = _read_options(reader)
    reader.reject_unknown()
    if reader.mistakes:
        raise SettingsError(
            '\n'.join(reader.mistakes).removesuffix('.'),
            'Mend the settings file',
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
    }


def _parse_name(found: str) -> str:
    if not found or not found.replace('-', '').replace('.', '').isalnum():
        raise ValueError(
            f'{found!r} is no name. Use letters, digits, "-" and ".".'
        )
    return found


def _parse_endpoint(found: str) -> Endpoint:
    host, _, port = found.rpartition(':')
    if not host or not port.isdecimal() or int(port) > MAX_PORT:
        raise ValueError(f'{found!r} is no HOST:PORT. Write 10.0.0.5:8080.')
    return Endpoint(host, int(port))


def _parse_url(found: str) -> str:
    parts = urlsplit(found)
    if parts.scheme != 'http' or not parts.hostname:
        raise ValueError(f'{found!r} is no URL. Write http://HOST:PORT.')
    return found.rstrip('/')


def _parse_secret(found: str) -> bytes:
    secret = found.encode()
    if len(secret) < MIN_SECRET_BYTES:
        raise ValueError(
            f'it has {len(secret)} bytes. Use {MIN_SECRET_BYTES} or more.'
        )
    return secret


def _parse_seconds(found: str) -> float:
    try:
        seconds = float(found)
    except ValueError:
        seconds = -1
    if not 0 <= seconds < float('inf'):
        raise ValueError(f'{found!r} is no duration. Write seconds, as 2.5.')
    return seconds


def _parse_positive_integer(found: str) -> int:
    if not found.isdecimal() or int(found) == 0:
        raise ValueError(f'{found!r} is no whole number above 0. Write one.')
    return int(found)
