"""Parsing of JSON documents that others write."""

import json


def parse_json(text: str | bytes) -> object:
    """Parse a JSON document.

    Raises:
        ValueError: it is not valid, or nested deeper than the parser allows.
    """
    try:
        return json.loads(text)
    except RecursionError as error:
        raise ValueError('nested too deeply') from error
