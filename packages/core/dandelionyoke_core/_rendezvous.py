"""Rendezvous hashing: all who know the same names choose the same ones."""

import hashlib
from collections.abc import Iterable
from typing import TypeVar

Name = TypeVar('Name', bound=str)


def rendezvous(topic: str, names: Iterable[Name], count: int) -> list[Name]:
    """Choose `count` names for a topic, the first choice first."""
    return sorted(names, key=lambda name: hash_of(topic, name))[:count]


def hash_of(topic: str, name: str) -> bytes:
    """Hash a name for a topic, the same in every process."""
    return hashlib.blake2b(
        f'{topic}\x1f{name}'.encode(), digest_size=8
    ).digest()
