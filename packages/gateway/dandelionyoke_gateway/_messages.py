"""Heads of HTTP messages, as both sides of the gateway see them."""

from collections.abc import Sequence
from http import HTTPStatus

import attrs

HeaderList = tuple[tuple[str, str], ...]

# These belong to one connection and are never passed on.
HOP_BY_HOP_HEADERS = frozenset(
    (
        'connection',
        'content-length',
        'expect',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)


@attrs.frozen
class RequestHead:
    """A request without its body; names of headers are in lower case."""

    method: str
    target: str
    headers: HeaderList

    def header(self, name: str) -> str | None:
        """Read a header; None if it is absent or stands more than once."""
        return find_header(self.headers, name)


@attrs.frozen
class ResponseHead:
    """An answer without its body; names of headers are in lower case."""

    status: int
    headers: HeaderList

    @property
    def is_success(self) -> bool:
        """Whether the status is one of success."""
        return HTTPStatus.OK <= self.status < HTTPStatus.MULTIPLE_CHOICES

    def header(self, name: str) -> str | None:
        """Read a header; None if it is absent or stands more than once."""
        return find_header(self.headers, name)


def find_header(headers: HeaderList, name: str) -> str | None:
    """Read a header that may stand once."""
    found = [text for known, text in headers if known == name]
    return found[0] if len(found) == 1 else None


def without_connection_headers(headers: HeaderList) -> HeaderList:
    """Drop what concerns one connection, and what it names besides."""
    named = {
        token.strip().lower()
        for name, text in headers
        if name == 'connection'
        for token in text.split(',')
    }
    return tuple(
        (name, text)
        for name, text in headers
        if name not in HOP_BY_HOP_HEADERS and name not in named
    )


def decode_headers(
    raw: Sequence[tuple[bytes, bytes]],
) -> HeaderList:
    """Turn the parser's headers into text."""
    return tuple(
        (name.decode('latin-1'), text.decode('latin-1')) for name, text in raw
    )
