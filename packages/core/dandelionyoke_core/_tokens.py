"""Approximate tokens and prefix blocks of prompts.

Each engine has its own tokenizer. An entry only needs sizes and identifiers
of shared prefixes, so its tokens are runs of non-space text together with
adjacent white space.
"""

import hashlib
import itertools
import re
from collections.abc import Iterator, Sequence

BLOCK_TOKENS = 16
BLOCK_NAME_LENGTH = 16

_TOKEN_PATTERN = re.compile(r'\s*\S+\s*?|\s+')


def split_tokens(text: str) -> tuple[str, ...]:
    """Split a text into tokens that concatenate to the same text."""
    return tuple(_TOKEN_PATTERN.findall(text))


def prefix_blocks(tokens: Sequence[str]) -> tuple[str, ...]:
    """Return a name for each full block: the hash of the text up to its end.

    The name covers all earlier blocks, so equal names mean equal prefixes.
    """
    return tuple(_block_names(tokens))


def _block_names(tokens: Sequence[str]) -> Iterator[str]:
    digest = hashlib.sha256()
    full_length = len(tokens) - len(tokens) % BLOCK_TOKENS
    for start in range(0, full_length, BLOCK_TOKENS):
        block = itertools.islice(tokens, start, start + BLOCK_TOKENS)
        digest.update('\x1f'.join(block).encode() + b'\x1e')
        yield digest.hexdigest()[:BLOCK_NAME_LENGTH]
