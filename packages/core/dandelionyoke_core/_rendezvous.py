"""Rendezvous hashing: processes that know the same names agree on a choice."""

import hashlib
from collections.abc import Iterable, Sequence
from typing import TypeVar

Name = TypeVar('Name', bound=str)

DIGEST_BYTES = 8


def rendezvous(
    names: Iterable[Name], subject: str, count: int
) -> Sequence[Name]:
    """Choose `count` names for a subject, in order of preference.

    Adding or removing a name moves only the subjects assigned to that name.
    """
    ranked = sorted(names, key=lambda name: hash_of(subject, name))
    return ranked[:count]


def hash_of(subject: str, name: str) -> bytes:
    """Return the rank of a name for a subject, equal in every process."""
    return hashlib.blake2b(
        f'{subject}\x1f{name}'.encode(), digest_size=DIGEST_BYTES
    ).digest()
