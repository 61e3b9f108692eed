"""Parsing of JSON documents that others write."""

import json
import re

# Half of a pair of escapes; a text with one alone cannot be encoded.
_SURROGATE = re.compile(r'\\u[dD][89a-fA-F]')


def parse_json(text: str | bytes, *, allows_surrogates: bool = False) -> object:
    """Parse a JSON document.

    Raises:
        ValueError: it is not valid, nested deeper than the parser allows, or
            has a text that cannot be encoded.
    """
    try:
        return _parse(text, allows_surrogates)
    except RecursionError as error:
        raise ValueError('nested too deeply') from error


def _parse(text: str | bytes, allows_surrogates: bool) -> object:
    parsed: object = json.loads(text)
    if not allows_surrogates and _may_have_surrogate(text):
        json.dumps(parsed, ensure_ascii=False).encode()
    return parsed


def _may_have_surrogate(text: str | bytes) -> bool:
    plain = text if isinstance(text, str) else text.decode(errors='replace')
    return _SURROGATE.search(plain) is not None or not plain.isascii()
