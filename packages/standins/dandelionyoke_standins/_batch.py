"""An engine's batch: who runs, whose prompt is computed, who decodes."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Literal

import attrs

from dandelionyoke_core import BLOCK_TOKENS
from dandelionyoke_standins._attempt import Attempt, StreamEnd
from dandelionyoke_standins._blocks import BlockPool

Role = Literal['prefill', 'decode', 'mixed']


@attrs.frozen
class RoleRates:
    """What a role makes of an engine's rates.

    While some work decodes, computing prompts takes at most
    `prefill_share` of the time.
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
    """Rates and bounds of an engine's batch."""

    prefill_tokens_per_s: float = 8000
    decode_tokens_per_s: float = 800
    stream_tokens_per_s: float = 60
    max_running: int = 32


class Batch:
    """Moves attempts from the queue through prefill and decode to the end."""

    def __init__(self, settings: BatchSettings, pool: BlockPool) -> None:
        self.waiting: list[Attempt] = []
        self.running: list[Attempt] = []
        self.decoded_tokens = 0
        self.preemptions = 0
        self._settings = settings
        self._pool = pool
        self._prefill_credit: float = 0

    @property
    def pending_tokens(self) -> int:
        """Prompt tokens that are still to be computed."""
        return sum(attempt.pending_tokens for attempt in self.in_progress)

    @property
    def in_progress(self) -> tuple[Attempt, ...]:
        """What runs and what waits."""
        return (*self.running, *self.waiting)

    @property
    def is_idle(self) -> bool:
        """Whether there is nothing to do."""
        return not self.waiting and not self.running

    def add(self, attempt: Attempt) -> None:
        """Queue an attempt behind those of its priority."""
        self.waiting.append(attempt)
        self.waiting.sort(key=_queue_order)

    def remove(self, attempt: Attempt, end: StreamEnd, now_s: float) -> None:
        """End an attempt, wherever it is."""
        if attempt.state == 'running':
            self.running.remove(attempt)
            self._keep_prefix(attempt, now_s)
        elif attempt.state == 'waiting':
            self.waiting.remove(attempt)
        attempt.state = 'ended'
        attempt.end = end
        attempt.ended_s = now_s

    def step(self, role: Role, step_s: float, now_s: float) -> None:
        """Work for one step."""
        rates = ROLE_RATES[role]
        self._admit(now_s)
        left_s = step_s - self._prefill(rates, step_s, now_s)
        self._decode(rates, left_s, step_s, now_s)

    def _admit(self, now_s: float) -> None:
        while self.waiting and len(self.running) < self._settings.max_running:
            attempt = self.waiting[0]
            if not self._take_context(attempt, now_s):
                return
            self.waiting.pop(0)
            self.running.append(attempt)
            attempt.state = 'running'

    def _take_context(self, attempt: Attempt, now_s: float) -> bool:
        """Take the blocks of the context, shared ones where cached."""
        cached = self._pool.cached_prefix(attempt.context_names)
        self._pool.hold(cached)
        needed = attempt.context_blocks - len(cached)
        if not self._pool.take(needed, now_s):
            self._pool.release(cached)
            return False
        attempt.held_names = cached
        attempt.private_blocks = needed
        # The last token's output is not in the cache, so it is computed.
        known = min(_block_tokens(len(cached)), attempt.context_tokens - 1)
        attempt.pending_tokens = attempt.context_tokens - known
        attempt.cached_tokens = known
        return True

    def _prefill(self, rates: RoleRates, step_s: float, now_s: float) -> float:
        """Compute prompts in order of priority; tell the time it took."""
        pending = [one for one in self.running if one.pending_tokens]
        if not pending:
            self._prefill_credit = 0
            return 0
        is_alone = len(pending) == len(self.running)
        share = 1 if is_alone else rates.prefill_share
        rate = self._settings.prefill_tokens_per_s * rates.prefill_factor
        self._prefill_credit += step_s * share * rate
        used = 0
        for attempt in sorted(pending, key=_queue_order):
            chunk = min(int(self._prefill_credit), attempt.pending_tokens)
            attempt.pending_tokens -= chunk
            self._prefill_credit -= chunk
            used += chunk
            if not attempt.pending_tokens:
                self._share_context(attempt, now_s)
        return min(step_s, used / rate)

    def _share_context(self, attempt: Attempt, now_s: float) -> None:
        """Let others use the whole blocks that are computed now."""
        fresh = attempt.context_names[len(attempt.held_names) :]
        self._pool.name_blocks(fresh, now_s)
        attempt.held_names = attempt.context_names
        attempt.private_blocks -= len(fresh)

    def _decode(
        self, rates: RoleRates, left_s: float, step_s: float, now_s: float
    ) -> None:
        decoding = [one for one in self.running if not one.pending_tokens]
        if not decoding:
            return
        rate = self._settings.decode_tokens_per_s * rates.decode_factor
        fair = left_s * rate / len(decoding)
        credit = min(fair, step_s * self._settings.stream_tokens_per_s)
        for attempt in decoding:
            attempt.decode_credit += credit
            # Another one's need for memory may have sent it back to wait.
            if attempt.state == 'running':
                self._decode_one(attempt, now_s)

    def _decode_one(self, attempt: Attempt, now_s: float) -> None:
        while attempt.decode_credit >= 1 and not attempt.is_whole:
            if not self._make_room(attempt, now_s):
                return
            attempt.emit()
            attempt.decode_credit -= 1
            self.decoded_tokens += 1
        if attempt.is_whole:
            self.remove(attempt, StreamEnd(attempt.plan.end), now_s)

    def _make_room(self, attempt: Attempt, now_s: float) -> bool:
        """Take a block when the last one is full, preempting if need be."""
        held = len(attempt.held_names) + attempt.private_blocks
        if attempt.context_tokens < _block_tokens(held):
            return True
        while not self._pool.take(1, now_s):
            victim = max(self.running, key=_queue_order)
            self._preempt(victim)
            if victim is attempt:
                return False
        attempt.private_blocks += 1
        return True

    def _preempt(self, attempt: Attempt) -> None:
        """Put an attempt back into the queue; its KV is computed again."""
        self.running.remove(attempt)
        self._give_back(attempt)
        attempt.start_over()
        attempt.preemptions += 1
        self.preemptions += 1
        self.add(attempt)

    def _keep_prefix(self, attempt: Attempt, now_s: float) -> None:
        """Leave the computed blocks in the cache for what may follow."""
        if attempt.pending_tokens == 0:
            attempt.name_context()
            self._share_context(attempt, now_s)
        self._give_back(attempt)

    def _give_back(self, attempt: Attempt) -> None:
        self._pool.release(attempt.held_names)
        self._pool.give(attempt.private_blocks)
        attempt.held_names = ()
        attempt.private_blocks = 0


def _queue_order(attempt: Attempt) -> tuple[int, int]:
    return -attempt.request.priority, attempt.arrival


def _block_tokens(blocks: int) -> int:
    return blocks * BLOCK_TOKENS
