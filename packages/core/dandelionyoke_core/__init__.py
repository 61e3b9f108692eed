"""The decisions of dandelionyoke, free of input and output."""

from dandelionyoke_core._tokens import BLOCK_TOKENS as BLOCK_TOKENS
from dandelionyoke_core._tokens import prefix_blocks as prefix_blocks
from dandelionyoke_core._tokens import split_tokens as split_tokens
