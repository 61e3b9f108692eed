"""An engine's batch scheduler: admission, prefill, decode and preemption."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Literal

import attrs

from dandelionyoke_core import BLOCK_TOKENS
from dandelionyoke_standins._attempt import Attempt, StreamEnd
from dandelionyoke_standins._blocks import BlockPool

Role = Literal['prefill', 'decode', 'mixed']
# The rate of an attempt that has reached `Batch.slow_after_tokens`.
SLOW_TOKENS_PER_S = 1.0


@attrs.frozen
class RoleRates:
    """How a role scales an engine's prefill and decode rates.

    While any attempt decodes, prefill takes at most `prefill_share` of the
    time.
    """

    prefill_factor: float
    decode_factor: float
    prefill_share: float


ROLE_RATES: Mapping[Role, RoleRates] = MappingProxyType(
    {
        'prefill': RoleRates(1.6, 0.4, 0.9),
        'decode': RoleRates(0.4, 1.6, 0.4),
        'mixed': RoleRates(1, 1, 0.5),
    }
)


@attrs.frozen
class BatchSettings:
    """Rates and limits of an engine's batch."""

    prefill_tokens_per_s: float = 8000
    decode_tokens_per_s: float = 800
    stream_tokens_per_s: float = 60
    max_running: int = 32


class Batch:
    """Moves attempts from the queue through prefill and decode.

    An attempt decodes slowly from `slow_after_tokens` output tokens on.
    """

    def __init__(self, settings: BatchSettings, pool: BlockPool) -> None:
        self.waiting: list[Attempt] = []
        self.running: list[Attempt] = []
        self.decoded_tokens = 0
        self.preemptions = 0
        self.slow_after_tokens: int | None = None
        self._settings = settings
        self._pool = pool
        self._prefill_credit: float = 0

    @property
    def pending_tokens(self) -> int:
        """Number of tokens that prefill must still compute."""
        return sum(attempt.pending_tokens for attempt in self.in_progress)

    @property
    def in_progress(self) -> tuple[Attempt, ...]:
        """The running attempts, followed by the waiting ones."""
        return (*self.running, *self.waiting)

    @property
    def is_idle(self) -> bool:
        """Whether no attempt is running or waiting."""
        return not self.waiting and not self.running

    def add(self, attempt: Attempt) -> None:
        """Queue an attempt behind those of the same or a higher priority."""
        self.waiting.append(attempt)
        self.waiting.sort(key=_queue_order)

    def remove(self, attempt: Attempt, end: StreamEnd, now_s: float) -> None:
        """End an attempt, whether it is running or waiting."""
        if attempt.state == 'running':
            self.running.remove(attempt)
            self._free_and_cache(attempt, now_s)
        elif attempt.state == 'waiting':
            self.waiting.remove(attempt)
        attempt.state = 'ended'
        attempt.end = end
        attempt.ended_s = now_s

    def step(self, role: Role, step_s: float, now_s: float) -> None:
        """Advance the batch by one time step."""
        rates = ROLE_RATES[role]
        self._admit(now_s)
        remaining_s = step_s - self._prefill(rates, step_s, now_s)
        self._decode(rates, remaining_s, step_s, now_s)

    def _admit(self, now_s: float) -> None:
        while self.waiting and len(self.running) < self._settings.max_running:
            attempt = self.waiting[0]
            if not self._allocate_context(attempt, now_s):
                return
            self.waiting.pop(0)
            self.running.append(attempt)
            attempt.state = 'running'

    def _allocate_context(self, attempt: Attempt, now_s: float) -> bool:
        """Reserve KV blocks for the context, reusing cached prefix blocks."""
        cached_ids = self._pool.cached_prefix(attempt.context_block_ids)
        self._pool.pin(cached_ids)
        needed_blocks = attempt.context_blocks - len(cached_ids)
        if not self._pool.allocate(needed_blocks, now_s):
            self._pool.unpin(cached_ids)
            return False
        attempt.held_block_ids = cached_ids
        attempt.private_blocks = needed_blocks
        # The cache doesn't hold the output of the last context token, so
        # that token must be computed.
        reused_tokens = min(
            _tokens_in(len(cached_ids)), attempt.context_tokens - 1
        )
        attempt.pending_tokens = attempt.context_tokens - reused_tokens
        attempt.cached_tokens = reused_tokens
        return True

    def _prefill(self, rates: RoleRates, step_s: float, now_s: float) -> float:
        """Run prefill in order of priority and return the time used (s)."""
        pending = [
            candidate for candidate in self.running if candidate.pending_tokens
        ]
        if not pending:
            self._prefill_credit = 0
            return 0
        is_prefill_only = len(pending) == len(self.running)
        time_share = 1 if is_prefill_only else rates.prefill_share
        rate = self._settings.prefill_tokens_per_s * rates.prefill_factor
        self._prefill_credit += step_s * time_share * rate
        computed_tokens = 0
        for attempt in sorted(pending, key=_queue_order):
            chunk = min(int(self._prefill_credit), attempt.pending_tokens)
            attempt.pending_tokens -= chunk
            self._prefill_credit -= chunk
            computed_tokens += chunk
            if not attempt.pending_tokens:
                self._publish_context(attempt, now_s)
        return min(step_s, computed_tokens / rate)

    def _publish_context(self, attempt: Attempt, now_s: float) -> None:
        """Publish the full computed blocks as shared prefix blocks."""
        new_block_ids = attempt.context_block_ids[len(attempt.held_block_ids) :]
        self._pool.publish(new_block_ids, now_s)
        attempt.held_block_ids = attempt.context_block_ids
        attempt.private_blocks -= len(new_block_ids)

    def _decode(
        self, rates: RoleRates, remaining_s: float, step_s: float, now_s: float
    ) -> None:
        decoding = [
            candidate
            for candidate in self.running
            if not candidate.pending_tokens
        ]
        if not decoding:
            return
        rate = self._settings.decode_tokens_per_s * rates.decode_factor
        equal_share = remaining_s * rate / len(decoding)
        credit = min(equal_share, step_s * self._settings.stream_tokens_per_s)
        for attempt in decoding:
            attempt.decode_credit += self._limit_credit(attempt, credit, step_s)
            # An earlier attempt of this loop may have preempted this one.
            if attempt.state == 'running':
                self._decode_attempt(attempt, now_s)

    def _limit_credit(
        self, attempt: Attempt, credit: float, step_s: float
    ) -> float:
        """Return the decode credit of an attempt for one time step."""
        slow_after = self.slow_after_tokens
        if slow_after is None or len(attempt.output) < slow_after:
            return credit
        return min(credit, step_s * SLOW_TOKENS_PER_S)

    def _decode_attempt(self, attempt: Attempt, now_s: float) -> None:
        while attempt.decode_credit >= 1 and not attempt.is_complete:
            if not self._ensure_block(attempt, now_s):
                return
            attempt.emit_token()
            attempt.decode_credit -= 1
            self.decoded_tokens += 1
        if attempt.is_complete:
            self.remove(attempt, StreamEnd(attempt.plan.end), now_s)

    def _ensure_block(self, attempt: Attempt, now_s: float) -> bool:
        """Reserve a block when the last one is full, preempting if needed."""
        held_blocks = len(attempt.held_block_ids) + attempt.private_blocks
        if attempt.context_tokens < _tokens_in(held_blocks):
            return True
        while not self._pool.allocate(1, now_s):
            victim = max(self.running, key=_queue_order)
            self._preempt(victim)
            if victim is attempt:
                return False
        attempt.private_blocks += 1
        return True

    def _preempt(self, attempt: Attempt) -> None:
        """Return an attempt to the queue and drop its computed KV."""
        self.running.remove(attempt)
        self._free_blocks(attempt)
        attempt.reset_progress()
        attempt.preemptions += 1
        self.preemptions += 1
        self.add(attempt)

    def _free_and_cache(self, attempt: Attempt, now_s: float) -> None:
        """Free the blocks; computed prefix blocks stay in the cache."""
        if attempt.pending_tokens == 0:
            attempt.update_block_ids()
            self._publish_context(attempt, now_s)
        self._free_blocks(attempt)

    def _free_blocks(self, attempt: Attempt) -> None:
        self._pool.unpin(attempt.held_block_ids)
        self._pool.free(attempt.private_blocks)
        attempt.held_block_ids = ()
        attempt.private_blocks = 0


def _queue_order(attempt: Attempt) -> tuple[int, int]:
    return -attempt.request.priority, attempt.arrival


def _tokens_in(blocks: int) -> int:
    return blocks * BLOCK_TOKENS
