"""Rendezvous hashing: all who know the same names choose the same ones."""

import hashlib
from collections.abc import Iterable, Sequence
from typing import TypeVar

Name = TypeVar('Name', bound=str)

DIGEST_BYTES = 8


def rendezvous(
    names: Iterable[Name], subject: str, count: int
) -> Sequence[Name]:
    """Choose `count` names for a subject, the first choice first.

    A name that comes or goes moves only the subjects that it held.
    """
    ranked = sorted(names, key=lambda name: hash_of(subject, name))
    return ranked[:count]


def hash_of(subject: str, name: str) -> bytes:
    """Hash a name for a subject, the same in every process."""
    return hashlib.blake2b(
        f'{subject}\x1f{name}'.encode(), digest_size=DIGEST_BYTES
    ).digest()
