"""The process around the program, passed whole to whatever runs in it."""

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
    """Make a key for an organisation's callers."""
    return f'{KEY_PREFIX}{secrets.token_urlsafe(KEY_BYTES)}'


def new_change_id() -> str:
    """Make an id that no other change has."""
    return uuid.uuid4().hex


def current_user() -> str:
    """Tell who runs this process; empty where nobody knows."""
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return ''


@attrs.frozen
class Environment:
    """Arguments, streams, clocks and randomness of one run.

    A test builds one with its own streams, clock and platform, and runs the
    whole program in its own process.
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
