"""Settings of the operator's program."""

import configparser
import pathlib
from collections.abc import Mapping

import attrs

from dandelionyoke_core import SettingsError
from dandelionyoke_operator._errors import UsageError

PLATFORM_VARIABLE = 'DANDELIONYOKE_PLATFORM'
SETTINGS_VARIABLE = 'DANDELIONYOKE_SETTINGS'
SECTION = 'operator'

DEFAULT_WAIT_S = 15.0
DEFAULT_POLL_INTERVAL_S = 0.25


@attrs.frozen
class Settings:
    """Settings of one run.

    `wait_s` is the maximum wait until a change is in force everywhere.
    """

    platform_url: str = ''
    author: str = ''
    wait_s: float = DEFAULT_WAIT_S
    poll_interval_s: float = DEFAULT_POLL_INTERVAL_S

    def require_platform(self) -> str:
        """Return the URL of the platform.

        Raises:
            UsageError: it is not set.
        """
        if self.platform_url:
            return self.platform_url
        raise UsageError(
            'No address of the platform is set',
            f'Give --platform URL, set {PLATFORM_VARIABLE}, or write '
            f'platform_url in [{SECTION}] of a settings file',
        )


def load_settings(path: str | None, variables: Mapping[str, str]) -> Settings:
    """Load the settings from the settings file and environment variables.

    Raises:
        SettingsError: the file cannot be read or has an invalid value.
    """
    settings_path = path or variables.get(SETTINGS_VARIABLE)
    settings = (
        _read_file(pathlib.Path(settings_path)) if settings_path else Settings()
    )
    platform_url = variables.get(PLATFORM_VARIABLE)
    if platform_url:
        settings = attrs.evolve(settings, platform_url=platform_url)
    return settings


def _read_file(path: pathlib.Path) -> Settings:
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(path.read_text())
    except (OSError, UnicodeDecodeError, configparser.Error) as error:
        raise SettingsError(
            f'The settings file {path} cannot be read: {error}',
            'Name a readable INI file',
        ) from error
    if not parser.has_section(SECTION):
        raise SettingsError(
            f'The settings file {path} has no section [{SECTION}]',
            'Add this section',
        )
    return _parse_section(parser[SECTION])


def _parse_section(section: configparser.SectionProxy) -> Settings:
    fields = attrs.fields_dict(Settings)
    unknown = sorted(set(section) - set(fields))
    if unknown:
        raise SettingsError(
            f'[{SECTION}] {unknown[0]} is not a known setting',
            f'Write one of {", ".join(fields)}',
        )
    return Settings(
        platform_url=section.get('platform_url', ''),
        author=section.get('author', ''),
        wait_s=_read_seconds(section, 'wait_s', DEFAULT_WAIT_S),
        poll_interval_s=_read_seconds(
            section, 'poll_interval_s', DEFAULT_POLL_INTERVAL_S
        ),
    )


def _read_seconds(
    section: configparser.SectionProxy, name: str, default_s: float
) -> float:
    text = section.get(name)
    if text is None:
        return default_s
    return parse_seconds(f'[{SECTION}] {name}', text)


def parse_seconds(source: str, text: str) -> float:
    """Parse a duration in seconds.

    Raises:
        SettingsError: it is not a number, negative or not finite.
    """
    try:
        duration_s = float(text)
    except ValueError:
        duration_s = -1.0
    if 0 <= duration_s < float('inf'):
        return duration_s
    raise SettingsError(
        f'{source} is {text!r}', 'Write a number of seconds, 0 or above'
    )
