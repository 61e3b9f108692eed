"""Which calls of a plain service may run at most once."""

import posixpath
from urllib.parse import unquote

from dandelionyoke_core._entities import Service

IDEMPOTENT_METHODS = frozenset(('GET', 'HEAD', 'PUT', 'DELETE'))


def is_unrepeatable(service: Service, method: str, path: str) -> bool:
    """Whether a call is one that may run at most once.

    The service may take `//returns`, `/x/../returns` and `/%72eturns` for
    `/returns`. Taken as written, each would slip past the pattern, and a
    repeat would run twice; so all are compared in one form.
    """
    asked = f'{method.upper()} {_plain_path(path)}'
    return any(_covers(pattern, asked) for pattern in service.unrepeatable)


def _covers(pattern: str, asked: str) -> bool:
    if not pattern.endswith('*'):
        method, _, path = pattern.partition(' ')
        return asked == f'{method.upper()} {_plain_path(path)}'
    return f'{asked}/'.startswith(pattern[:-1])


def _plain_path(path: str) -> str:
    decoded = unquote(path.partition('?')[0])
    return posixpath.normpath(f'/{decoded.lstrip("/")}')
