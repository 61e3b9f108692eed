"""Detection of calls of plain services that may run at most once."""

import posixpath
from urllib.parse import unquote

from dandelionyoke_core._entities import Service

IDEMPOTENT_METHODS = frozenset(('GET', 'HEAD', 'PUT', 'DELETE'))


def is_unrepeatable(service: Service, method: str, path: str) -> bool:
    """Return whether a call may run at most once.

    A service may treat `//returns`, `/x/../returns` and `/%72eturns` like
    `/returns`. Without normalisation these paths would not match the pattern
    and a repeated call would run twice, so the paths are normalised first.
    """
    requested = f'{method.upper()} {_normalised_path(path)}'
    return any(_matches(pattern, requested) for pattern in service.unrepeatable)


def _matches(pattern: str, requested: str) -> bool:
    if not pattern.endswith('*'):
        method, _, path = pattern.partition(' ')
        return requested == f'{method.upper()} {_normalised_path(path)}'
    return f'{requested}/'.startswith(pattern[:-1])


def _normalised_path(path: str) -> str:
    decoded = unquote(path.partition('?')[0])
    return posixpath.normpath(f'/{decoded.lstrip("/")}')
