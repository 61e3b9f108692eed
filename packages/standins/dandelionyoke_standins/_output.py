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
    """How many tokens the whole answer has, and why it ends there."""

    length_tokens: int
    end: EndReason


def prompt_hash(prompt: str) -> str:
    """Name a prompt in the tokens of its answer."""
    return hashlib.sha256(prompt.encode()).hexdigest()[:_HASH_DIGITS]


def output_token(prompt: str, offset: int) -> str:
    """Give one token of the answer to a prompt."""
    return _token(prompt_hash(prompt), offset)


def output_tokens(prompt: str, first: int, last: int) -> tuple[str, ...]:
    """Give the tokens from one offset up to, not including, another."""
    name = prompt_hash(prompt)
    return tuple(_token(name, offset) for offset in range(first, last))


def answer_plan(prompt: str, max_output_tokens: int) -> AnswerPlan:
    """Tell where the whole answer ends, resumed tokens counted in."""
    natural = _natural_length(prompt)
    if natural <= max_output_tokens:
        return AnswerPlan(natural, 'stop')
    return AnswerPlan(max_output_tokens, 'length')


def answer_text(prompt: str, max_output_tokens: int) -> str:
    """Give the text of the whole answer."""
    plan = answer_plan(prompt, max_output_tokens)
    return ''.join(output_tokens(prompt, 0, plan.length_tokens))


def _token(name: str, offset: int) -> str:
    return f'w{name}-{offset} '


def _natural_length(prompt: str) -> int:
    asked = _ASKED_LENGTH.search(prompt)
    if asked is not None:
        return int(asked.group(1))
    spread = int(prompt_hash(prompt), 16) % _ANSWER_SPREAD_TOKENS
    return _SHORTEST_ANSWER_TOKENS + spread
