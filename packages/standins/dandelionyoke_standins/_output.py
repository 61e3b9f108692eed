"""The output of a stand-in engine, a function of prompt and offset alone.

Anyone who knows the prompt can recompute the whole answer, so a check
notices each token that is lost, doubled or another caller's.
"""

import hashlib
import re
from typing import Literal

import attrs

EndReason = Literal['stop', 'length']

_ASKED_LENGTH = re.compile(r'\banswer (\d{1,6}) tokens\b')
_HASH_DIGITS = 8
_SHORTEST_ANSWER_TOKENS = 16
_ANSWER_SPREAD_TOKENS = 240


@attrs.frozen
class AnswerPlan:
    """The whole answer: its tokens' name, how many, and why it ends."""

    name: str
    length_tokens: int
    end: EndReason

    def token(self, offset: int) -> str:
        """Give one token of the answer."""
        return f'w{self.name}-{offset} '

    @property
    def text(self) -> str:
        """The text of the whole answer."""
        return ''.join(map(self.token, range(self.length_tokens)))


def prompt_hash(prompt: str) -> str:
    """Name a prompt in the tokens of its answer."""
    return hashlib.sha256(prompt.encode()).hexdigest()[:_HASH_DIGITS]


def output_token(prompt: str, offset: int) -> str:
    """Give one token of the answer to a prompt."""
    return AnswerPlan(prompt_hash(prompt), offset, 'length').token(offset)


def answer_plan(prompt: str, max_output_tokens: int) -> AnswerPlan:
    """Tell where the whole answer ends, resumed tokens counted in."""
    name = prompt_hash(prompt)
    natural = _natural_length(prompt, name)
    if natural <= max_output_tokens:
        return AnswerPlan(name, natural, 'stop')
    return AnswerPlan(name, max_output_tokens, 'length')


def answer_text(prompt: str, max_output_tokens: int) -> str:
    """Give the text of the whole answer."""
    return answer_plan(prompt, max_output_tokens).text


def _natural_length(prompt: str, name: str) -> int:
    asked = _ASKED_LENGTH.search(prompt)
    if asked is not None:
        return int(asked.group(1))
    return _SHORTEST_ANSWER_TOKENS + int(name, 16) % _ANSWER_SPREAD_TOKENS
