"""Heads of HTTP requests and responses, and the handling of headers."""

import re
from collections.abc import Sequence
from http import HTTPStatus

import attrs

HeaderList = tuple[tuple[str, str], ...]

# Headers of a single connection, which are never forwarded.
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


# Every number with as many digits is exact as a float.
MAX_NUMBER_DIGITS = 15
_DECIMAL = re.compile(r'[0-9]+(?:[.][0-9]+)?')


@attrs.frozen
class RequestHead:
    """The method, target and headers of a request.

    Header names are in lower case.
    """

    method: str
    target: str
    headers: HeaderList

    def header(self, name: str) -> str | None:
        """Return a header; None if it is absent or occurs more than once."""
        return find_header(self.headers, name)


@attrs.frozen
class ResponseHead:
    """The status and headers of a response.

    Header names are in lower case.
    """

    status: int
    headers: HeaderList

    @property
    def is_success(self) -> bool:
        """Whether the status is 2xx."""
        return HTTPStatus.OK <= self.status < HTTPStatus.MULTIPLE_CHOICES

    def header(self, name: str) -> str | None:
        """Return a header; None if it is absent or occurs more than once."""
        return find_header(self.headers, name)


def find_header(headers: HeaderList, name: str) -> str | None:
    """Return a header; None if it is absent or occurs more than once."""
    values = [value for header_name, value in headers if header_name == name]
    return values[0] if len(values) == 1 else None


def parse_whole_number(text: str | None) -> int | None:
    """Parse a number of ASCII digits; None if it is none or too long."""
    digits = (text or '').strip()
    if not (digits.isascii() and digits.isdecimal()):
        return None
    return int(digits) if len(digits) <= MAX_NUMBER_DIGITS else None


def parse_whole_numbers(text: str | None) -> list[int]:
    """Parse comma-separated numbers; an empty list if any is none."""
    numbers = [parse_whole_number(item) for item in (text or '').split(',')]
    valid = [number for number in numbers if number is not None]
    return valid if len(valid) == len(numbers) else []


def parse_decimal(text: str | None) -> float | None:
    """Parse a decimal number of ASCII digits; None if it is none or too long."""
    digits = (text or '').strip()
    if len(digits) > MAX_NUMBER_DIGITS or not _DECIMAL.fullmatch(digits):
        return None
    return float(digits)


def strip_hop_by_hop_headers(headers: HeaderList) -> HeaderList:
    """Drop hop-by-hop headers and those that `Connection` lists."""
    listed = {
        token.strip().lower()
        for name, value in headers
        if name == 'connection'
        for token in value.split(',')
    }
    return tuple(
        (name, value)
        for name, value in headers
        if name not in HOP_BY_HOP_HEADERS and name not in listed
    )


def decode_headers(
    raw: Sequence[tuple[bytes, bytes]],
) -> HeaderList:
    """Decode the headers of the parser from Latin-1."""
    return tuple(
        (name.decode('latin-1'), value.decode('latin-1')) for name, value in raw
    )


def encode_headers(headers: HeaderList) -> list[tuple[bytes, bytes]]:
    """Encode headers as Latin-1, the reverse of `decode_headers`."""
    return [
        (name.encode('latin-1'), value.encode('latin-1'))
        for name, value in headers
    ]


def utf8_header(text: str) -> str:
    """Return the header value whose bytes are a text in UTF-8."""
    return text.encode(errors='replace').decode('latin-1')
