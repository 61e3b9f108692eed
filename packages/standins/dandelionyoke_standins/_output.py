"""The output of a stand-in engine, which depends only on prompt and offset.

A test that knows the prompt can recompute the complete answer, so it detects
any token that is lost, duplicated or belongs to another caller.
"""

import hashlib
import re
from typing import Literal

import attrs

EndReason = Literal['stop', 'length']

_REQUESTED_LENGTH = re.compile(r'\banswer (\d{1,6}) tokens\b')
_HASH_DIGITS = 8
_MIN_ANSWER_TOKENS = 16
_ANSWER_RANGE_TOKENS = 240


@attrs.frozen
class AnswerPlan:
    """A complete answer: the hash in its tokens, its length and end reason."""

    digest: str
    length_tokens: int
    end: EndReason

    def token(self, offset: int) -> str:
        """Return the token at an offset of the answer."""
        return f'w{self.digest}-{offset} '

    @property
    def text(self) -> str:
        """The text of the complete answer."""
        return ''.join(map(self.token, range(self.length_tokens)))


def prompt_hash(prompt: str) -> str:
    """Return the hash of a prompt that its output tokens contain."""
    return hashlib.sha256(prompt.encode()).hexdigest()[:_HASH_DIGITS]


def output_token(prompt: str, offset: int) -> str:
    """Return the token at an offset of the answer to a prompt."""
    return AnswerPlan(prompt_hash(prompt), offset, 'length').token(offset)


def answer_plan(prompt: str, max_output_tokens: int) -> AnswerPlan:
    """Plan the complete answer; the maximum includes resumed tokens."""
    digest = prompt_hash(prompt)
    natural_tokens = _natural_length(prompt, digest)
    if natural_tokens <= max_output_tokens:
        return AnswerPlan(digest, natural_tokens, 'stop')
    return AnswerPlan(digest, max_output_tokens, 'length')


def answer_text(prompt: str, max_output_tokens: int) -> str:
    """Return the text of the complete answer."""
    return answer_plan(prompt, max_output_tokens).text


def _natural_length(prompt: str, digest: str) -> int:
    requested = _REQUESTED_LENGTH.search(prompt)
    if requested is not None:
        return int(requested.group(1))
    return _MIN_ANSWER_TOKENS + int(digest, 16) % _ANSWER_RANGE_TOKENS
