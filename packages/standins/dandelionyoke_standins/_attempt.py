"""The state of one generation attempt on an engine."""

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
    """A generation request as the engine receives it.

    `max_output_tokens` limits the complete answer, including
    `resume_tokens`.
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
    """How an attempt ended: a complete answer, or the cause of an error."""

    reason: Literal['stop', 'length', 'error']
    cause: str = ''


@attrs.frozen
class Output:
    """Output tokens from an offset; `end` is set once no more will follow."""

    attempt_id: str
    offset: int
    tokens: tuple[str, ...]
    end: StreamEnd | None = None


@attrs.define(eq=False)
class Attempt:
    """An attempt that is queued, running or recently ended.

    `pending_tokens` counts the context tokens that prefill must still
    compute before decode can start.
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
    context_block_ids: tuple[str, ...] = ()
    held_block_ids: tuple[str, ...] = ()
    private_blocks: int = 0

    @classmethod
    def from_request(
        cls, request: GenerateRequest, arrival: int, now_s: float
    ) -> 'Attempt':
        """Create a waiting attempt that continues after the resumed tokens."""
        attempt = cls(
            request=request,
            received_s=now_s,
            arrival=arrival,
            prompt_tokens=split_tokens(request.prompt),
            plan=answer_plan(request.prompt, request.max_output_tokens),
            output=list(request.resume_tokens),
        )
        attempt.reset_progress()
        return attempt

    @property
    def context_tokens(self) -> int:
        """Number of prompt and output tokens that precede the next token."""
        return len(self.prompt_tokens) + len(self.output)

    @property
    def context_blocks(self) -> int:
        """Number of KV blocks for the context, including a partly filled one."""
        return -(-self.context_tokens // BLOCK_TOKENS)

    @property
    def final_blocks(self) -> int:
        """Number of KV blocks for the prompt and the complete answer."""
        tokens = len(self.prompt_tokens) + self.plan.length_tokens
        return -(-tokens // BLOCK_TOKENS)

    @property
    def is_complete(self) -> bool:
        """Whether every token of the answer has been generated."""
        return len(self.output) >= self.plan.length_tokens

    def update_block_ids(self) -> None:
        """Recompute the ids of the full blocks of the current context."""
        self.context_block_ids = prefix_blocks(
            (*self.prompt_tokens, *self.output)
        )

    def reset_progress(self) -> None:
        """Return to the waiting state with the whole context uncomputed."""
        self.state = 'waiting'
        self.pending_tokens = self.context_tokens
        self.update_block_ids()

    def computed_block_ids(self) -> tuple[str, ...]:
        """Return the ids of the blocks that hold computed KV."""
        if self.pending_tokens:
            return self.held_block_ids
        self.update_block_ids()
        return self.context_block_ids

    def emit_token(self) -> None:
        """Append the next output token."""
        self.output.append(self.plan.token(len(self.output)))

    def output_from(self, offset: int) -> Output:
        """Return the output from an offset on."""
        return Output(
            self.request.attempt_id,
            offset,
            tuple(self.output[offset:]),
            self.end,
        )
