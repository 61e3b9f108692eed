"""A small engine in virtual time: prefill, decode, batch, memory and lag.

It counts tokens and blocks and makes no text, so that minutes of a whole
fleet pass in seconds.
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
    """What a role makes of an engine's rates."""

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
class EngineFakeSettings:
    """Rates and bounds of an engine."""

    prefill_tokens_per_s: float = 8000
    decode_tokens_per_s: float = 800
    stream_tokens_per_s: float = 60
    max_running: int = 32
    kv_blocks: int = 4000
    report_lag_s: float = 0.5
    report_interval_s: float = 0.25
    event_lag_s: float = 0.5


@attrs.define(eq=False)
class Work:
    """One attempt at an engine."""

    attempt_id: AttemptId
    prompt_tokens: int
    output_tokens: int
    names: tuple[str, ...] = ()
    priority: int = 5
    done: int = 0
    computed: int = 0
    cached_blocks: int = 0
    named: int = 0
    private: int = 0
    credit: float = 0
    preemptions: int = 0

    @property
    def context_tokens(self) -> int:
        """Tokens that the next one rests on."""
        return self.prompt_tokens + self.done

    @property
    def pending(self) -> int:
        """Tokens still to be computed before output goes on."""
        return self.context_tokens - self.computed


@attrs.frozen
class Progress:
    """What an attempt put out in a step."""

    attempt_id: AttemptId
    done: int
    ended: bool


class EngineFake:
    """One engine; `step` moves it on."""

    def __init__(
        self, name: str, settings: EngineFakeSettings, role: Role = Role.MIXED
    ) -> None:
        self.settings = settings
        self.role = role
        self.draining = False
        self.changing_until_s: float | None = None
        self.preemptions = 0
        self._name = name
        self._restarts = 0
        self._decoded = 0
        self._sampled_s = 0.0
        self._reports: deque[LoadReport] = deque()
        self._begin(0)

    @property
    def busy(self) -> bool:
        """Whether there is work."""
        return bool(self.waiting or self.running)

    def in_progress(self) -> tuple[AttemptId, ...]:
        """Name the attempts that run or wait."""
        return tuple(one.attempt_id for one in (*self.running, *self.waiting))

    def restart(self, now_s: float) -> tuple[AttemptId, ...]:
        """Crash, and come up empty; tell what was lost."""
        lost = self.in_progress()
        self._restarts += 1
        self._begin(now_s)
        return lost

    def become(self, role: Role, now_s: float) -> None:
        """Take a role; the cache does not outlive the change."""
        self.role = role
        self.changing_until_s = None
        self._memory.drop_cache(now_s)

    def refusal(self, now_s: float) -> str | None:
        """Give the cause for which new work is refused."""
        if self.changing_until_s is not None and now_s < self.changing_until_s:
            return 'role'
        return 'draining' if self.draining else None

    def add(self, work: Work) -> None:
        """Queue an attempt behind those of its priority."""
        self.waiting.append(work)
        self.waiting.sort(key=lambda one: -one.priority)

    def cancel(self, attempt_id: AttemptId) -> None:
        """Drop an attempt."""
        for one in (*self.running, *self.waiting):
            if one.attempt_id == attempt_id:
                self._drop(one)

    def step(self, step_s: float, now_s: float) -> list[Progress]:
        """Work for a step; tell what came out."""
        self._admit(now_s)
        rates = ROLE_RATES[self.role]
        used_s = self._prefill(rates, step_s, now_s)
        return self._decode(rates, step_s - used_s, step_s, now_s)

    def report(self, now_s: float) -> LoadReport:
        """Give the newest figures that are old enough."""
        until_s = now_s - self.settings.report_lag_s
        while len(self._reports) > 1 and self._reports[1].measured_s <= until_s:
            self._reports.popleft()
        report = self._reports[0]
        return attrs.evolve(report, age_s=now_s - report.measured_s)

    def sample(self, now_s: float) -> None:
        """Take figures for later reports."""
        pending = sum(one.pending for one in (*self.running, *self.waiting))
        elapsed_s = max(now_s - self._sampled_s, 0.001)
        report = LoadReport(
            engine_id=self._name,
            incarnation=f'{self._name}-{self._restarts}',
            measured_s=now_s,
            role=self.role,
            running=len(self.running),
            waiting=len(self.waiting),
            prefill_queue_tokens=pending,
            decode_tokens_per_s=self._decoded / elapsed_s,
            kv_used_blocks=self._memory.used,
            kv_total_blocks=self._memory.total,
            draining=self.draining,
            in_progress=self.in_progress(),
        )
        self._decoded = 0
        self._sampled_s = now_s
        self._reports.append(report)

    def cache_events(
        self, target_id: TargetId, after: int, now_s: float
    ) -> CacheEventsReported:
        """Give the events that may be seen by now."""
        until_s = now_s - self.settings.event_lag_s
        kept = self._memory.events
        first = kept[0][1].sequence if kept else 0
        fresh = itertools.islice(kept, max(0, after + 1 - first), None)
        events = tuple(event for at_s, event in fresh if at_s <= until_s)
        if not events:
            return CacheEventsReported(target_id, after + 1, after + 1, ())
        return CacheEventsReported(
            target_id, events[0].sequence, events[-1].sequence + 1, events
        )

    def _begin(self, now_s: float) -> None:
        self.waiting: list[Work] = []
        self.running: list[Work] = []
        self._memory = KvMemory(self.settings.kv_blocks)
        self._decoded = 0
        self._sampled_s = now_s
        self._reports.clear()
        self.sample(now_s)

    def _admit(self, now_s: float) -> None:
        while self.waiting and len(self.running) < self.settings.max_running:
            work = self.waiting[0]
            if not self._take_context(work, now_s):
                return
            self.waiting.pop(0)
            self.running.append(work)

    def _take_context(self, work: Work, now_s: float) -> bool:
        hit = self._memory.overlap(work.names)
        self._memory.hold(work.names[:hit], now_s)
        wanted = _blocks(work.context_tokens) - hit
        if not self._memory.take(wanted, now_s):
            self._memory.release(work.names[:hit])
            return False
        work.named = hit
        work.private = wanted
        work.cached_blocks = max(work.cached_blocks, hit)
        work.computed = min(hit * BLOCK_TOKENS, work.context_tokens - 1)
        return True

    def _prefill(self, rates: RoleRates, step_s: float, now_s: float) -> float:
        pending = [one for one in self.running if one.pending]
        if not pending:
            return 0
        alone = len(pending) == len(self.running)
        share = 1 if alone else rates.prefill_share
        rate = self.settings.prefill_tokens_per_s * rates.prefill_factor
        budget = int(step_s * share * rate)
        left = budget
        for work in sorted(pending, key=lambda one: -one.priority):
            chunk = min(left, work.pending)
            work.computed += chunk
            left -= chunk
            if not work.pending:
                self._name_blocks(work, now_s)
        return (budget - left) / rate

    def _name_blocks(self, work: Work, now_s: float) -> None:
        fresh = work.names[work.named :]
        self._memory.private -= len(fresh)
        work.private -= len(fresh)
        self._memory.hold(fresh, now_s)
        work.named = len(work.names)

    def _decode(
        self, rates: RoleRates, left_s: float, step_s: float, now_s: float
    ) -> list[Progress]:
        decoding = [one for one in self.running if not one.pending]
        if not decoding:
            return []
        rate = self.settings.decode_tokens_per_s * rates.decode_factor
        credit = min(
            left_s * rate / len(decoding),
            step_s * self.settings.stream_tokens_per_s,
        )
        found = []
        for work in decoding:
            work.credit += credit
            if work in self.running and self._emit(work, now_s):
                found.append(self._progress(work))
        return found

    def _emit(self, work: Work, now_s: float) -> bool:
        before = work.done
        while work.credit >= 1 and work.done < work.output_tokens:
            if not self._make_room(work, now_s):
                break
            work.done += 1
            work.computed += 1
            work.credit -= 1
        self._decoded += work.done - before
        return work.done > before

    def _progress(self, work: Work) -> Progress:
        ended = work.done >= work.output_tokens
        if ended:
            self._drop(work)
        return Progress(work.attempt_id, work.done, ended)

    def _make_room(self, work: Work, now_s: float) -> bool:
        if work.context_tokens < (work.named + work.private) * BLOCK_TOKENS:
            return True
        while not self._memory.take(1, now_s):
            victim = min(reversed(self.running), key=lambda one: one.priority)
            self._preempt(victim)
            if victim is work:
                return False
        work.private += 1
        return True

    def _preempt(self, work: Work) -> None:
        self.preemptions += 1
        work.preemptions += 1
        self._drop(work)
        work.computed = 0
        self.add(work)

    def _drop(self, work: Work) -> None:
        if work in self.waiting:
            self.waiting.remove(work)
            return
        self.running.remove(work)
        self._memory.release(work.names[: work.named])
        self._memory.private -= work.private
        work.named = 0
        work.private = 0


def _blocks(tokens: int) -> int:
    return -(-tokens // BLOCK_TOKENS)
