"""Rendezvous hashing: everyone picks the same few out of a list."""

import hashlib
from collections.abc import Iterable, Sequence
from typing import TypeVar

Name = TypeVar('Name', bound=str)

DIGEST_BYTES = 8


def _score(name: str, subject: str) -> bytes:
    return hashlib.blake2b(
        f'{name}\x1f{subject}'.encode(), digest_size=DIGEST_BYTES
    ).digest()


def rendezvous(
    names: Iterable[Name], subject: str, count: int
) -> Sequence[Name]:
    """Pick `count` names for a subject, the best first.

    A name that comes or goes moves only the subjects that it held.
    """
    ranked = sorted(names, key=lambda name: _score(name, subject), reverse=True)
    return ranked[:count]
