"""Process environment: arguments, streams, clocks and random values."""

import getpass
import os
import secrets
import sys
import time
import uuid
from collections.abc import Callable, Mapping
from typing import TextIO

import attrs

from dandelionyoke_operator._platform import HttpPlatform, Platform

KEY_PREFIX = 'dy-'
KEY_BYTES = 32


def new_key() -> str:
    """Generate a random API key."""
    return f'{KEY_PREFIX}{secrets.token_urlsafe(KEY_BYTES)}'


def new_change_id() -> str:
    """Generate a unique change id."""
    return uuid.uuid4().hex


def current_user() -> str:
    """Return the name of the current user, or an empty text if unknown."""
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return ''


@attrs.frozen
class Environment:
    """Arguments, streams, clocks and generators of one run of the program.

    Tests pass their own streams, clock and platform to run the whole program
    within the test process.
    """

    arguments: tuple[str, ...]
    stdin: TextIO = attrs.field(factory=lambda: sys.stdin)
    stdout: TextIO = attrs.field(factory=lambda: sys.stdout)
    stderr: TextIO = attrs.field(factory=lambda: sys.stderr)
    variables: Mapping[str, str] = attrs.field(factory=lambda: os.environ)
    user: str = attrs.field(factory=current_user)
    connect: Callable[[str], Platform] = HttpPlatform
    wall_clock_s: Callable[[], float] = time.time
    monotonic_s: Callable[[], float] = time.monotonic
    sleep: Callable[[float], None] = time.sleep
    new_key: Callable[[], str] = new_key
    new_change_id: Callable[[], str] = new_change_id
