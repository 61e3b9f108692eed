"""Estimates of the times and the memory of a call at a target.

These are pure functions of the load of the target; nothing is stored here.
"""

import math
from collections.abc import Mapping
from types import MappingProxyType

import attrs

from dandelionyoke_core._records import Role

# Avoids a division by zero for calls without prefill and output.
MIN_TOTAL_S = 0.001


@attrs.frozen
class RoleRates:
    """Factors that a role applies to the rates of an engine.

    While calls are in decode, prefill takes at most `prefill_share` of the
    time.
    """

    prefill_factor: float
    decode_factor: float
    prefill_share: float


ROLE_RATES: Mapping[Role, RoleRates] = MappingProxyType(
    {
        Role.PREFILL: RoleRates(1.6, 0.4, 0.9),
        Role.DECODE: RoleRates(0.4, 1.6, 0.2),
        Role.MIXED: RoleRates(1, 1, 0.5),
    }
)


@attrs.frozen
class EngineSpeed:
    """The assumed speed of an engine in the mixed role.

    It applies while no measured speed is known.
    """

    prefill_tokens_per_s: float = 8000.0
    decode_tokens_per_s: float = 800.0
    stream_tokens_per_s: float = 60.0
    max_calls: int = 32

    def prefill_rate(self, role: Role) -> float:
        """Prompt tokens per second of an engine that only does prefill."""
        return self.prefill_tokens_per_s * ROLE_RATES[role].prefill_factor

    def decode_rate(self, role: Role) -> float:
        """Output tokens per second of an engine that only does decode."""
        return self.decode_tokens_per_s * ROLE_RATES[role].decode_factor

    def engine_s(self, prompt: float, output: float, role: Role) -> float:
        """Engine time in seconds for prompt and output tokens."""
        prefill_s = prompt / self.prefill_rate(role)
        return prefill_s + output / self.decode_rate(role)


@attrs.frozen
class WorkSize:
    """The expected size of a call.

    `reserved_tokens` is the output for which memory is reserved. It is higher
    than the mean, because a call that outgrows its memory makes the engine
    preempt another call.
    """

    prompt_tokens: float
    output_tokens: float
    reserved_tokens: float = 0


@attrs.frozen
class Load:
    """The estimated current load of a target.

    `used_blocks` includes the expected growth of the running calls.
    `prefill_utilisation` is the recent share of time with queued prompts.
    """

    role: Role = Role.MIXED
    calls: float = 0
    prefill_tokens: float = 0
    used_blocks: float = 0
    total_blocks: int = 0
    block_tokens: int = 16
    prefill_utilisation: float = 0


@attrs.frozen
class Estimate:
    """The estimate for a call at a target.

    `queue_s` is the time until its prefill starts, `token_s` the time per
    output token and `engine_s` the engine time that it uses.
    `missing_blocks` is the number of KV cache blocks by which it would exceed
    the memory of the target.
    """

    queue_s: float
    first_token_s: float
    token_s: float
    total_s: float
    engine_s: float
    missing_blocks: float


def blocks_needed(tokens: float, block_tokens: int) -> int:
    """Return the number of blocks that hold the given tokens."""
    return math.ceil(tokens / max(1, block_tokens))


def estimate(
    size: WorkSize, load: Load, cached_blocks: int, speed: EngineSpeed
) -> Estimate:
    """Estimate the times of a call and the memory that would be missing."""
    rates = ROLE_RATES[load.role]
    uncached_tokens = max(
        0, size.prompt_tokens - cached_blocks * load.block_tokens
    )
    prefill_share = rates.prefill_share if load.calls > 0 else 1
    prefill_rate = speed.prefill_rate(load.role) * prefill_share
    queue_s = load.prefill_tokens / prefill_rate
    first_token_s = queue_s + uncached_tokens / prefill_rate
    # Prefill uses its share of the time only while prompts are queued.
    decode_s = size.output_tokens / speed.stream_tokens_per_s
    own_prefill_share = first_token_s / (first_token_s + decode_s + MIN_TOTAL_S)
    prefill_time_share = rates.prefill_share * max(
        load.prefill_utilisation, own_prefill_share
    )
    decode_rate = speed.decode_rate(load.role) * (1 - prefill_time_share)
    token_s = max(1 / speed.stream_tokens_per_s, (load.calls + 1) / decode_rate)
    return Estimate(
        queue_s=queue_s,
        first_token_s=first_token_s + token_s,
        token_s=token_s,
        total_s=first_token_s + token_s * size.output_tokens,
        engine_s=speed.engine_s(uncached_tokens, size.output_tokens, load.role),
        missing_blocks=_missing_blocks(size, load, cached_blocks),
    )


def _missing_blocks(size: WorkSize, load: Load, cached_blocks: int) -> float:
    if not load.total_blocks:
        return 0
    output_tokens = max(size.output_tokens, size.reserved_tokens)
    tokens = size.prompt_tokens + output_tokens
    needed = blocks_needed(tokens, load.block_tokens) - cached_blocks
    return max(0, load.used_blocks + needed - load.total_blocks)
