"""The demo's mix of calls, with the expected answer to each."""

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
OUTPUT_HEADROOM_TOKENS = 64
SHOPS = ('duka-la-juma', 'duka-la-asha', 'duka-la-neema')


@attrs.frozen
class LoadCall:
    """One call and its expected answer."""

    number: int
    kind: CallKind
    prompt: str
    max_output_tokens: int
    expected_text: str


def generate_calls(
    count: int, kinds: tuple[CallKind, ...], seed: int
) -> Iterator[LoadCall]:
    """Yield a reproducible mix of calls, each with a unique prompt."""
    rng = random.Random(seed)
    for number in range(count):
        yield _load_call(number, kinds[number % len(kinds)], rng)


def _load_call(number: int, kind: CallKind, rng: random.Random) -> LoadCall:
    is_long_prompt = rng.choice((True, False))
    word_count = LONG_PROMPT_WORDS if is_long_prompt else SHORT_PROMPT_WORDS
    max_answer_tokens = (
        SHORT_ANSWER_TOKENS if is_long_prompt else LONG_ANSWER_TOKENS
    )
    answer_tokens = rng.randint(max_answer_tokens // 2, max_answer_tokens)
    max_output_tokens = answer_tokens + OUTPUT_HEADROOM_TOKENS
    prompt = _prompt(number, word_count, answer_tokens, rng)
    engine_prompt = prompt
    if kind.startswith('chat'):
        engine_prompt = chat_prompt([ChatMessage('user', prompt)])
    return LoadCall(
        number=number,
        kind=kind,
        prompt=prompt,
        max_output_tokens=max_output_tokens,
        expected_text=answer_text(engine_prompt, max_output_tokens),
    )


def _prompt(
    number: int, word_count: int, answer_tokens: int, rng: random.Random
) -> str:
    """Build a prompt: a prefix that calls share, then a unique question."""
    shop = rng.choice(SHOPS)
    shared_prefix = ' '.join(
        f'{shop}:crates-{day}' for day in range(word_count)
    )
    nonce = rng.getrandbits(32)
    return f'{shared_prefix} question {nonce}-{number}: answer {answer_tokens} tokens'
