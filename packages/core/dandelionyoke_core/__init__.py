"""The decisions of dandelionyoke, free of input and output."""

from dandelionyoke_core._tokens import (
    BLOCK_TOKENS as BLOCK_TOKENS,
    prefix_blocks as prefix_blocks,
    split_tokens as split_tokens,
)
