"""One attempt of an engine at an answer, and what it holds."""

from collections.abc import Iterable
from typing import Literal

import attrs

from dandelionyoke_core import BLOCK_TOKENS, prefix_blocks, split_tokens
from dandelionyoke_standins._output import AnswerPlan, answer_plan

AttemptState = Literal['waiting', 'running', 'ended']


def _as_tuple(tokens: Iterable[str]) -> tuple[str, ...]:
    return tuple(tokens)


@attrs.frozen
class GenerateRequest:
    """What a caller of the engine asks for.

    `max_output_tokens` bounds the whole answer, resumed tokens included.
    """

    attempt_id: str
    model: str
    prompt: str
    resume_tokens: tuple[str, ...] = attrs.field(
        default=(), converter=_as_tuple
    )
    max_output_tokens: int = 1024
    priority: int = 0


@attrs.frozen
class StreamEnd:
    """How an attempt ended: a whole answer, or the cause of an error."""

    reason: Literal['stop', 'length', 'error']
    cause: str = ''


@attrs.frozen
class Output:
    """Output from an offset on; the end stands only after all of it."""

    attempt_id: str
    offset: int
    tokens: tuple[str, ...]
    end: StreamEnd | None = None


@attrs.define(eq=False)
class Attempt:
    """An attempt in the engine's queue, its batch or its memory of ends.

    `pending_tokens` are still to be computed before it can decode.
    """

    request: GenerateRequest
    received_s: float
    arrival: int
    prompt_tokens: tuple[str, ...]
    plan: AnswerPlan
    output: list[str]
    state: AttemptState = 'waiting'
    end: StreamEnd | None = None
    ended_s: float | None = None
    pending_tokens: int = 0
    cached_tokens: int = 0
    decode_credit: float = 0
    preemptions: int = 0
    context_names: tuple[str, ...] = ()
    held_names: tuple[str, ...] = ()
    private_blocks: int = 0

    @classmethod
    def receive(
        cls, request: GenerateRequest, arrival: int, now_s: float
    ) -> 'Attempt':
        """Set out on an answer, from the resumed tokens on."""
        attempt = cls(
            request=request,
            received_s=now_s,
            arrival=arrival,
            prompt_tokens=split_tokens(request.prompt),
            plan=answer_plan(request.prompt, request.max_output_tokens),
            output=list(request.resume_tokens),
        )
        attempt.start_over()
        return attempt

    @property
    def context_tokens(self) -> int:
        """Tokens whose KV the next token rests on."""
        return len(self.prompt_tokens) + len(self.output)

    @property
    def context_blocks(self) -> int:
        """Blocks that the context fills, the last one perhaps in part."""
        return -(-self.context_tokens // BLOCK_TOKENS)

    @property
    def whole_blocks(self) -> int:
        """Blocks that the context fills once the answer is whole."""
        tokens = len(self.prompt_tokens) + self.plan.length_tokens
        return -(-tokens // BLOCK_TOKENS)

    @property
    def is_whole(self) -> bool:
        """Whether every token of the answer is there."""
        return len(self.output) >= self.plan.length_tokens

    def name_context(self) -> None:
        """Name the whole blocks of the context as it is now."""
        self.context_names = prefix_blocks((*self.prompt_tokens, *self.output))

    def start_over(self) -> None:
        """Wait with nothing computed."""
        self.state = 'waiting'
        self.pending_tokens = self.context_tokens
        self.name_context()

    def computed_names(self) -> tuple[str, ...]:
        """Name the blocks whose KV is there."""
        if self.pending_tokens:
            return self.held_names
        self.name_context()
        return self.context_names

    def emit(self) -> None:
        """Put out the next token."""
        self.output.append(self.plan.token(len(self.output)))

    def output_from(self, offset: int) -> Output:
        """Give the output from an offset on."""
        return Output(
            self.request.attempt_id,
            offset,
            tuple(self.output[offset:]),
            self.end,
        )
