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


class _Reader:
    """Reads options and gathers every mistake instead of the first."""

    def __init__(self, parser: configparser.ConfigParser) -> None:
        self._parser = parser
        self._known: set[tuple[str, str]] = set()
        self.mistakes: list[str] = []

    def read(
        self,
        section: str,
        option: str,
        check: Callable[[str], Setting],
        fallback: str | None = None,
    ) -> Setting | None:
        """Check one option; None after a mistake."""
        self._known.add((section, option))
        found = self._parser.get(section, option, fallback=fallback)
        if found is None:
            self.mistakes.append(f'[{section}] {option} is missing. Add it.')
            return None
        try:
            return check(found)
        except ValueError as bad:
            self.mistakes.append(f'[{section}] {option}: {bad}')
        return None

    def refuse_unknown(self) -> None:
        """Name the options that nothing reads, which are often misspelt."""
        for section in self._parser.sections():
            for option in self._parser.options(section):
                if (section, option) not in self._known:
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
    reader = _Reader(parser)
    options = _options(reader)
    reader.refuse_unknown()
    if reader.mistakes:
        raise SettingsError(
            '\n'.join(reader.mistakes).removesuffix('.'),
            'Mend the settings file',
        )
    return EntrySettings(**options)  # type: ignore[arg-type]


def _options(reader: _Reader) -> Mapping[str, object]:
    return {
        'instance_id': reader.read('entry', 'instance_id', _name),
        'domain': reader.read('entry', 'domain', _name),
        'callers': reader.read(
            'entry', 'caller_address', _endpoint, LOOPBACK_ANY_PORT
        ),
        'peers': reader.read(
            'entry', 'peer_address', _endpoint, LOOPBACK_ANY_PORT
        ),
        'platform_url': reader.read('platform', 'url', _url),
        'secret': reader.read('peers', 'secret', _secret),
        'balancer_notice_s': reader.read(
            'shutdown',
            'balancer_notice_s',
            _seconds,
            str(DEFAULT_BALANCER_NOTICE_S),
        ),
        'max_body_bytes': reader.read(
            'limits', 'max_body_bytes', _count, str(DEFAULT_MAX_BODY_BYTES)
        ),
        'max_calls': reader.read(
            'limits', 'max_calls', _count, str(DEFAULT_MAX_CALLS)
        ),
    }


def _name(found: str) -> str:
    if not found or not found.replace('-', '').replace('.', '').isalnum():
        raise ValueError(
            f'{found!r} is no name. Use letters, digits, "-" and ".".'
        )
    return found


def _endpoint(found: str) -> Endpoint:
    host, _, port = found.rpartition(':')
    if not host or not port.isdecimal() or int(port) > MAX_PORT:
        raise ValueError(f'{found!r} is no HOST:PORT. Write 10.0.0.5:8080.')
    return Endpoint(host, int(port))


def _url(found: str) -> str:
    parts = urlsplit(found)
    if parts.scheme != 'http' or not parts.hostname:
        raise ValueError(f'{found!r} is no URL. Write http://HOST:PORT.')
    return found.rstrip('/')


def _secret(found: str) -> bytes:
    secret = found.encode()
    if len(secret) < MIN_SECRET_BYTES:
        raise ValueError(
            f'it has {len(secret)} bytes. Use {MIN_SECRET_BYTES} or more.'
        )
    return secret


def _seconds(found: str) -> float:
    try:
        seconds = float(found)
    except ValueError:
        seconds = -1
    if not 0 <= seconds < float('inf'):
        raise ValueError(f'{found!r} is no duration. Write seconds, as 2.5.')
    return seconds


def _count(found: str) -> int:
    if not found.isdecimal() or int(found) == 0:
        raise ValueError(f'{found!r} is no whole number above 0. Write one.')
    return int(found)
