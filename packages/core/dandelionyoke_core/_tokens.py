"""Tokens and prefix blocks as the entries estimate them.

An engine has its own tokenizer. An entry only needs sizes and the names of
shared prefixes, so it counts runs of text that end in white space.
"""

import hashlib
import itertools
import re
from collections.abc import Iterator, Sequence

BLOCK_TOKENS = 16
BLOCK_NAME_LENGTH = 16

_TOKEN = re.compile(r'\s*\S+\s*?|\s+')


def split_tokens(text: str) -> tuple[str, ...]:
    """Split a text into tokens that join to the same text."""
    return tuple(_TOKEN.findall(text))


def prefix_blocks(tokens: Sequence[str]) -> tuple[str, ...]:
    """Name each whole block of tokens by the hash of all up to its end.

    A block's name covers the blocks before it, so that an equal name means
    an equal prefix.
    """
    return tuple(_block_names(tokens))


def _block_names(tokens: Sequence[str]) -> Iterator[str]:
    digest = hashlib.sha256()
    whole = len(tokens) - len(tokens) % BLOCK_TOKENS
    for start in range(0, whole, BLOCK_TOKENS):
        block = itertools.islice(tokens, start, start + BLOCK_TOKENS)
        digest.update('\x1f'.join(block).encode() + b'\x1e')
        yield digest.hexdigest()[:BLOCK_NAME_LENGTH]
