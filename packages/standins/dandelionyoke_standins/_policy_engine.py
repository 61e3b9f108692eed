"""Simulated engine in virtual time: batching, prefill, decode, KV memory.

It counts tokens and blocks without generating text, so that minutes of a
whole fleet are simulated in seconds. Load reports and cache events become
visible with a delay.
"""

import itertools
from collections import deque
from collections.abc import Mapping
from types import MappingProxyType

import attrs

from dandelionyoke_core import (
    BLOCK_TOKENS,
    AttemptId,
    CacheEventsReported,
    LoadReport,
    Role,
    TargetId,
)
from dandelionyoke_standins._policy_memory import KvMemory


@attrs.frozen
class RoleRates:
    """Factors that a role applies to an engine's rates.

    `prefill_share` is the share of a step for prefills while attempts decode.
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
class SimulatedEngineSettings:
    """Rates, capacities and reporting delays of an engine."""

    prefill_tokens_per_s: float = 8000
    decode_tokens_per_s: float = 800
    stream_tokens_per_s: float = 60
    max_running: int = 32
    kv_blocks: int = 4000
    report_lag_s: float = 0.5
    report_interval_s: float = 0.25
    event_lag_s: float = 0.5


@attrs.define(eq=False)
class EngineAttempt:
    """One attempt at an engine.

    `shared_blocks` are the prefix blocks that other attempts can reuse.
    `shared_held` counts those that the attempt holds, `private_blocks` its
    other blocks. `computed_tokens` are the tokens with KV cache entries.
    """

    attempt_id: AttemptId
    prompt_tokens: int
    output_tokens: int
    shared_blocks: tuple[str, ...] = ()
    priority: int = 5
    generated_tokens: int = 0
    computed_tokens: int = 0
    cached_blocks: int = 0
    shared_held: int = 0
    private_blocks: int = 0
    decode_credit: float = 0
    preemptions: int = 0

    @property
    def context_tokens(self) -> int:
        """Tokens of the prompt and the output so far."""
        return self.prompt_tokens + self.generated_tokens

    @property
    def pending_tokens(self) -> int:
        """Tokens to prefill before the attempt can decode."""
        return self.context_tokens - self.computed_tokens


@attrs.frozen
class Progress:
    """The total output of an attempt after a step that generated tokens."""

    attempt_id: AttemptId
    generated_tokens: int
    ended: bool


class SimulatedEngine:
    """One engine; `step` advances it."""

    def __init__(
        self,
        engine_id: str,
        settings: SimulatedEngineSettings,
        role: Role = Role.MIXED,
    ) -> None:
        self.settings = settings
        self.role = role
        self.draining = False
        self.role_change_until_s: float | None = None
        self.preemptions = 0
        self._engine_id = engine_id
        self._restarts = 0
        self._decoded_tokens = 0
        self._sampled_s = 0.0
        self._reports: deque[LoadReport] = deque()
        self._reset(0)

    @property
    def has_work(self) -> bool:
        """Whether attempts run or wait."""
        return bool(self.waiting or self.running)

    def in_progress(self) -> tuple[AttemptId, ...]:
        """Return the attempts that run or wait."""
        return tuple(
            candidate.attempt_id for candidate in (*self.running, *self.waiting)
        )

    def restart(self, now_s: float) -> tuple[AttemptId, ...]:
        """Crash and restart empty; return the lost attempts."""
        lost = self.in_progress()
        self._restarts += 1
        self._reset(now_s)
        return lost

    def switch_role(self, role: Role, now_s: float) -> None:
        """Switch to a role, which clears the KV cache."""
        self.role = role
        self.role_change_until_s = None
        self._memory.clear_cache(now_s)

    def refusal_cause(self, now_s: float) -> str | None:
        """Return why new attempts are refused, or None."""
        if (
            self.role_change_until_s is not None
            and now_s < self.role_change_until_s
        ):
            return 'role'
        return 'draining' if self.draining else None

    def add(self, attempt: EngineAttempt) -> None:
        """Queue an attempt behind waiting ones of the same priority."""
        self.waiting.append(attempt)
        self.waiting.sort(key=lambda candidate: -candidate.priority)

    def cancel(self, attempt_id: AttemptId) -> None:
        """Remove an attempt that runs or waits."""
        for candidate in (*self.running, *self.waiting):
            if candidate.attempt_id == attempt_id:
                self._remove(candidate)

    def step(self, step_s: float, now_s: float) -> list[Progress]:
        """Simulate one step; return the attempts that generated tokens."""
        self._admit(now_s)
        rates = ROLE_RATES[self.role]
        used_s = self._prefill(rates, step_s, now_s)
        return self._decode(rates, step_s - used_s, step_s, now_s)

    def report(self, now_s: float) -> LoadReport:
        """Return the newest load report that is older than the report lag."""
        until_s = now_s - self.settings.report_lag_s
        while len(self._reports) > 1 and self._reports[1].measured_s <= until_s:
            self._reports.popleft()
        report = self._reports[0]
        return attrs.evolve(report, age_s=now_s - report.measured_s)

    def sample(self, now_s: float) -> None:
        """Record a load report, which is visible after the report lag."""
        pending = sum(
            candidate.pending_tokens
            for candidate in (*self.running, *self.waiting)
        )
        elapsed_s = max(now_s - self._sampled_s, 0.001)
        report = LoadReport(
            engine_id=self._engine_id,
            incarnation=f'{self._engine_id}-{self._restarts}',
            measured_s=now_s,
            role=self.role,
            running=len(self.running),
            waiting=len(self.waiting),
            prefill_queue_tokens=pending,
            decode_tokens_per_s=self._decoded_tokens / elapsed_s,
            kv_used_blocks=self._memory.used_blocks,
            kv_total_blocks=self._memory.total_blocks,
            draining=self.draining,
            in_progress=self.in_progress(),
        )
        self._decoded_tokens = 0
        self._sampled_s = now_s
        self._reports.append(report)

    def cache_events(
        self, target_id: TargetId, after: int, now_s: float
    ) -> CacheEventsReported:
        """Return the events after a sequence number that are visible now."""
        until_s = now_s - self.settings.event_lag_s
        stored = self._memory.events
        first = stored[0][1].sequence if stored else 0
        fresh = itertools.islice(stored, max(0, after + 1 - first), None)
        events = tuple(event for at_s, event in fresh if at_s <= until_s)
        if not events:
            return CacheEventsReported(target_id, after + 1, after + 1, ())
        return CacheEventsReported(
            target_id, events[0].sequence, events[-1].sequence + 1, events
        )

    def _reset(self, now_s: float) -> None:
        self.waiting: list[EngineAttempt] = []
        self.running: list[EngineAttempt] = []
        self._memory = KvMemory(self.settings.kv_blocks)
        self._decoded_tokens = 0
        self._sampled_s = now_s
        self._reports.clear()
        self.sample(now_s)

    def _admit(self, now_s: float) -> None:
        while self.waiting and len(self.running) < self.settings.max_running:
            attempt = self.waiting[0]
            if not self._allocate_context(attempt, now_s):
                return
            self.waiting.pop(0)
            self.running.append(attempt)

    def _allocate_context(self, attempt: EngineAttempt, now_s: float) -> bool:
        cached_blocks = self._memory.match_prefix(attempt.shared_blocks)
        self._memory.acquire(attempt.shared_blocks[:cached_blocks], now_s)
        private_needed = _block_count(attempt.context_tokens) - cached_blocks
        if not self._memory.allocate_private(private_needed, now_s):
            self._memory.release(attempt.shared_blocks[:cached_blocks])
            return False
        attempt.shared_held = cached_blocks
        attempt.private_blocks = private_needed
        attempt.cached_blocks = max(attempt.cached_blocks, cached_blocks)
        attempt.computed_tokens = min(
            cached_blocks * BLOCK_TOKENS, attempt.context_tokens - 1
        )
        return True

    def _prefill(self, rates: RoleRates, step_s: float, now_s: float) -> float:
        pending = [
            candidate for candidate in self.running if candidate.pending_tokens
        ]
        if not pending:
            return 0
        only_prefills = len(pending) == len(self.running)
        share = 1 if only_prefills else rates.prefill_share
        rate = self.settings.prefill_tokens_per_s * rates.prefill_factor
        token_budget = int(step_s * share * rate)
        remaining_tokens = token_budget
        for attempt in sorted(
            pending, key=lambda candidate: -candidate.priority
        ):
            chunk = min(remaining_tokens, attempt.pending_tokens)
            attempt.computed_tokens += chunk
            remaining_tokens -= chunk
            if not attempt.pending_tokens:
                self._share_prefix_blocks(attempt, now_s)
        return (token_budget - remaining_tokens) / rate

    def _share_prefix_blocks(
        self, attempt: EngineAttempt, now_s: float
    ) -> None:
        fresh = attempt.shared_blocks[attempt.shared_held :]
        self._memory.private_blocks -= len(fresh)
        attempt.private_blocks -= len(fresh)
        self._memory.acquire(fresh, now_s)
        attempt.shared_held = len(attempt.shared_blocks)

    def _decode(
        self, rates: RoleRates, left_s: float, step_s: float, now_s: float
    ) -> list[Progress]:
        decoding = [
            candidate
            for candidate in self.running
            if not candidate.pending_tokens
        ]
        if not decoding:
            return []
        rate = self.settings.decode_tokens_per_s * rates.decode_factor
        credit = min(
            left_s * rate / len(decoding),
            step_s * self.settings.stream_tokens_per_s,
        )
        progresses = []
        for attempt in decoding:
            attempt.decode_credit += credit
            if attempt in self.running and self._generate(attempt, now_s):
                progresses.append(self._progress(attempt))
        return progresses

    def _generate(self, attempt: EngineAttempt, now_s: float) -> bool:
        before = attempt.generated_tokens
        while (
            attempt.decode_credit >= 1
            and attempt.generated_tokens < attempt.output_tokens
        ):
            if not self._ensure_block(attempt, now_s):
                break
            attempt.generated_tokens += 1
            attempt.computed_tokens += 1
            attempt.decode_credit -= 1
        self._decoded_tokens += attempt.generated_tokens - before
        return attempt.generated_tokens > before

    def _progress(self, attempt: EngineAttempt) -> Progress:
        ended = attempt.generated_tokens >= attempt.output_tokens
        if ended:
            self._remove(attempt)
        return Progress(attempt.attempt_id, attempt.generated_tokens, ended)

    def _ensure_block(self, attempt: EngineAttempt, now_s: float) -> bool:
        if (
            attempt.context_tokens
            < (attempt.shared_held + attempt.private_blocks) * BLOCK_TOKENS
        ):
            return True
        while not self._memory.allocate_private(1, now_s):
            victim = min(
                reversed(self.running), key=lambda candidate: candidate.priority
            )
            self._preempt(victim)
            if victim is attempt:
                return False
        attempt.private_blocks += 1
        return True

    def _preempt(self, attempt: EngineAttempt) -> None:
        self.preemptions += 1
        attempt.preemptions += 1
        self._remove(attempt)
        attempt.computed_tokens = 0
        self.add(attempt)

    def _remove(self, attempt: EngineAttempt) -> None:
        if attempt in self.waiting:
            self.waiting.remove(attempt)
            return
        self.running.remove(attempt)
        self._memory.release(attempt.shared_blocks[: attempt.shared_held])
        self._memory.private_blocks -= attempt.private_blocks
        attempt.shared_held = 0
        attempt.private_blocks = 0


def _block_count(tokens: int) -> int:
    return -(-tokens // BLOCK_TOKENS)
