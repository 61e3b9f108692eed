"""The demo's mix of calls, and what a whole answer to each of them is."""

import random
from collections.abc import Iterator
from typing import Literal

import attrs

from dandelionyoke_core import ChatMessage, chat_prompt
from dandelionyoke_standins._output import answer_text

CallKind = Literal['completion', 'stream', 'chat', 'chat_stream', 'service']

CALL_KINDS: tuple[CallKind, ...] = (
    'completion',
    'stream',
    'chat',
    'chat_stream',
    'service',
)
LONG_PROMPT_WORDS = 1500
SHORT_PROMPT_WORDS = 12
LONG_ANSWER_TOKENS = 120
SHORT_ANSWER_TOKENS = 8
SPARE_OUTPUT_TOKENS = 64
SHOPS = ('duka-la-juma', 'duka-la-asha', 'duka-la-neema')


@attrs.frozen
class LoadCall:
    """One call of the mix, with the answer that it must get."""

    number: int
    kind: CallKind
    prompt: str
    max_output_tokens: int
    expected_text: str


def load_calls(
    count: int, kinds: tuple[CallKind, ...], seed: int
) -> Iterator[LoadCall]:
    """Give a mix of calls; no two have the same prompt."""
    chance = random.Random(seed)
    for number in range(count):
        yield _load_call(number, kinds[number % len(kinds)], chance)


def _load_call(number: int, kind: CallKind, chance: random.Random) -> LoadCall:
    is_long_prompt = chance.choice((True, False))
    words = LONG_PROMPT_WORDS if is_long_prompt else SHORT_PROMPT_WORDS
    most = SHORT_ANSWER_TOKENS if is_long_prompt else LONG_ANSWER_TOKENS
    answer_tokens = chance.randint(most // 2, most)
    max_output_tokens = answer_tokens + SPARE_OUTPUT_TOKENS
    prompt = _prompt(number, words, answer_tokens, chance)
    seen_by_engine = prompt
    if kind.startswith('chat'):
        seen_by_engine = chat_prompt([ChatMessage('user', prompt)])
    return LoadCall(
        number=number,
        kind=kind,
        prompt=prompt,
        max_output_tokens=max_output_tokens,
        expected_text=answer_text(seen_by_engine, max_output_tokens),
    )


def _prompt(
    number: int, words: int, answer_tokens: int, chance: random.Random
) -> str:
    """Begin with a shop's history, which calls share, and end apart."""
    shop = chance.choice(SHOPS)
    history = ' '.join(f'{shop}:crates-{day}' for day in range(words))
    run = chance.getrandbits(32)
    return f'{history} question {run}-{number}: answer {answer_tokens} tokens'
