"""What a call would find at a target: pure estimates, no state."""

import math
from collections.abc import Mapping
from types import MappingProxyType

import attrs

from dandelionyoke_core._records import Role

MOMENT_S = 0.001


@attrs.frozen
class RoleRates:
    """What a role makes of an engine's rates.

    While some calls decode, prefill takes at most `prefill_share` of the
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
    """How fast a mixed engine works, where nothing was measured yet."""

    prefill_tokens_per_s: float = 8000.0
    decode_tokens_per_s: float = 800.0
    stream_tokens_per_s: float = 60.0
    max_calls: int = 32

    def prefill_rate(self, role: Role) -> float:
        """Prompt tokens a second of an engine that does nothing else."""
        return self.prefill_tokens_per_s * ROLE_RATES[role].prefill_factor

    def decode_rate(self, role: Role) -> float:
        """Output tokens a second of an engine that does nothing else."""
        return self.decode_tokens_per_s * ROLE_RATES[role].decode_factor

    def engine_s(self, prompt: float, output: float, role: Role) -> float:
        """Seconds of an engine's time that work of this size takes."""
        prefill_s = prompt / self.prefill_rate(role)
        return prefill_s + output / self.decode_rate(role)


@attrs.frozen
class WorkSize:
    """What a call is expected to take.

    `reserved_tokens` is the output that memory is left for; it is more than
    the mean, since a call that outgrows its memory throws another one out.
    """

    prompt_tokens: float
    output_tokens: float
    reserved_tokens: float = 0


@attrs.frozen
class Load:
    """The load of a target, as far as it is known by now.

    `used_blocks` counts what the calls there will grow to; `prefill_busy`
    is the part of the time in which prompts were queued of late.
    """

    role: Role = Role.MIXED
    calls: float = 0
    prefill_tokens: float = 0
    used_blocks: float = 0
    total_blocks: int = 0
    block_tokens: int = 16
    prefill_busy: float = 0


@attrs.frozen
class Estimate:
    """What a call would find at a target.

    `queue_s` passes before its own prefill begins; `engine_s` is the time
    of the engine that it takes from others.
    """

    queue_s: float
    first_token_s: float
    token_s: float
    total_s: float
    engine_s: float
    short_blocks: float


def call_blocks(tokens: float, block_tokens: int) -> int:
    """Blocks that hold this many tokens."""
    return math.ceil(tokens / max(1, block_tokens))


def estimate(
    size: WorkSize, load: Load, cached_blocks: int, speed: EngineSpeed
) -> Estimate:
    """Estimate the times of a call and the memory that it would lack."""
    rates = ROLE_RATES[load.role]
    fresh = max(0, size.prompt_tokens - cached_blocks * load.block_tokens)
    share = rates.prefill_share if load.calls > 0 else 1
    prefill_rate = speed.prefill_rate(load.role) * share
    queue_s = load.prefill_tokens / prefill_rate
    first_token_s = queue_s + fresh / prefill_rate
    # Prefill takes its share of the time only while prompts are queued.
    decode_s = size.output_tokens / speed.stream_tokens_per_s
    own_part = first_token_s / (first_token_s + decode_s + MOMENT_S)
    busy_share = rates.prefill_share * max(load.prefill_busy, own_part)
    decode_rate = speed.decode_rate(load.role) * (1 - busy_share)
    token_s = max(1 / speed.stream_tokens_per_s, (load.calls + 1) / decode_rate)
    return Estimate(
        queue_s=queue_s,
        first_token_s=first_token_s + token_s,
        token_s=token_s,
        total_s=first_token_s + token_s * size.output_tokens,
        engine_s=speed.engine_s(fresh, size.output_tokens, load.role),
        short_blocks=_short_blocks(size, load, cached_blocks),
    )


def _short_blocks(size: WorkSize, load: Load, cached_blocks: int) -> float:
    if not load.total_blocks:
        return 0
    output_tokens = max(size.output_tokens, size.reserved_tokens)
    tokens = size.prompt_tokens + output_tokens
    wanted = call_blocks(tokens, load.block_tokens) - cached_blocks
    return max(0, load.used_blocks + wanted - load.total_blocks)
