"""What a call would find at a target: pure estimates, no state."""

import math

import attrs

from dandelionyoke_core._ports import RouteNeed
from dandelionyoke_core._records import LoadReport, Role


@attrs.frozen
class EngineSpeed:
    """How fast an engine works, where nothing was measured yet.

    A step of a batch costs `step_s` and `step_per_call_s` for each call in
    it. A role moves speed from one kind of work to the other.
    """

    prefill_tokens_per_s: float = 8000.0
    step_s: float = 0.012
    step_per_call_s: float = 0.0006
    role_gain: float = 1.6
    role_loss: float = 0.4
    max_calls: int = 48

    def prefill_rate(self, role: Role) -> float:
        """Prompt tokens a second of an engine in a role."""
        return self.prefill_tokens_per_s * self._factor(role, Role.PREFILL)

    def token_s(self, role: Role, calls: int) -> float:
        """Time between tokens of a batch of this many calls."""
        step_s = self.step_s + self.step_per_call_s * calls
        return step_s / self._factor(role, Role.DECODE)

    def _factor(self, role: Role, favoured: Role) -> float:
        if role is Role.MIXED:
            return 1.0
        return self.role_gain if role is favoured else self.role_loss


@attrs.frozen
class Correction:
    """What this entry knows beyond the report of a target."""

    calls: int = 0
    prefill_tokens: int = 0
    blocks: int = 0


@attrs.frozen
class Estimate:
    """What a call would find at a target."""

    first_token_s: float
    token_s: float
    short_blocks: int
    total_s: float


def call_blocks(tokens: int, block_tokens: int) -> int:
    """Blocks that hold this many tokens."""
    return math.ceil(tokens / max(1, block_tokens))


def estimate(
    need: RouteNeed,
    report: LoadReport,
    correction: Correction,
    cached_blocks: int,
    speed: EngineSpeed,
) -> Estimate:
    """Estimate the times of a call and the memory that it would lack."""
    cached_tokens = cached_blocks * report.block_tokens
    prefill_tokens = max(0, need.prompt_tokens - cached_tokens)
    queued_tokens = report.prefill_queue_tokens + correction.prefill_tokens
    calls = max(0, report.running + report.waiting + correction.calls)
    rate = speed.prefill_rate(report.role)
    token_s = speed.token_s(report.role, calls + 1)
    first_token_s = (max(0, queued_tokens) + prefill_tokens) / rate + token_s
    final_tokens = need.prompt_tokens + need.max_output_tokens
    wanted = call_blocks(final_tokens, report.block_tokens) - cached_blocks
    used = report.kv_used_blocks + correction.blocks
    short = 0
    if report.kv_total_blocks:
        short = max(0, used + wanted - report.kv_total_blocks)
    return Estimate(
        first_token_s=first_token_s,
        token_s=token_s,
        short_blocks=short,
        total_s=first_token_s + token_s * need.max_output_tokens,
    )
