"""A pure model of an engine, driven by the times that callers pass in."""

import itertools
import random
from collections.abc import Iterable

import attrs

from dandelionyoke_standins._attempt import (
    Attempt,
    GenerateRequest,
    Output,
    StreamEnd,
)
from dandelionyoke_standins._attempt_store import AttemptStore
from dandelionyoke_standins._batch import Batch, BatchSettings, Role
from dandelionyoke_standins._blocks import (
    BlockPool,
    CacheEventLog,
    CacheEvents,
    CacheEventSettings,
)
from dandelionyoke_standins._engine_orders import (
    EngineOrder,
    EngineOrderAnswer,
    OrderProcessor,
    OrderTimes,
)
from dandelionyoke_standins._engine_report import (
    AttemptRecord,
    EngineRecord,
    LoadReport,
    ReportLog,
    ReportSettings,
    record_attempt,
)
from dandelionyoke_standins._errors import MissingError, NotRunError
from dandelionyoke_standins._serving import ServingState

# Longer steps use less processor time but emit tokens in larger groups.
STEP_S = 0.02
IDLE_STEP_S = 0.1
# The oldest KV export is dropped above this number.
MAX_EXPORTS = 256
RETRY_AFTER_FULL_S = 1.0
RETRY_AFTER_DRAINING_S = 5.0
CAUSE_CANCELLED = 'cancelled'


@attrs.frozen
class EngineSettings:
    """Identity, capacity and timing of an engine."""

    engine_id: str = 'engine'
    models: tuple[str, ...] = ('model',)
    role: Role = 'mixed'
    is_checking_fence: bool = True
    kv_total_blocks: int = 4000
    max_waiting: int = 256
    keep_ended_s: float = 60.0
    step_s: float = STEP_S
    batch: BatchSettings = attrs.field(factory=BatchSettings)
    events: CacheEventSettings = attrs.field(factory=CacheEventSettings)
    report: ReportSettings = attrs.field(factory=ReportSettings)
    order_times: OrderTimes = attrs.field(factory=OrderTimes)


@attrs.define
class EngineFaults:
    """The faults that are currently injected."""

    crash_on: str = ''
    crash: bool = False
    silent_after_tokens: int | None = None
    slow_after_tokens: int | None = None
    silent: bool = False
    refuse: str = ''
    lose_answers: int = 0


@attrs.frozen
class KvExport:
    """The KV of an attempt, for import by another engine."""

    handle: str
    blocks: tuple[str, ...]
    tokens: tuple[str, ...]


class EngineModel:
    """One engine; methods that take the time first advance to it."""

    def __init__(
        self, settings: EngineSettings, rng: random.Random, now_s: float = 0
    ) -> None:
        self.settings = settings
        self.faults = EngineFaults()
        self.is_crashed = False
        self.incarnation = f'{rng.getrandbits(64):016x}'
        self.serving = ServingState(settings.role, settings.models)
        self._now_s = now_s
        self._event_log = CacheEventLog(settings.events, rng)
        self._pool = BlockPool(settings.kv_total_blocks, self._event_log)
        self._batch = Batch(settings.batch, self._pool)
        self._orders = OrderProcessor(settings.is_checking_fence)
        self._reports = ReportLog(settings.report)
        self._attempts = AttemptStore(settings.keep_ended_s)
        self._exports: dict[str, KvExport] = {}
        self._arrivals = itertools.count()
        self._last_sampled_tokens = 0
        self._sample_load()

    def advance(self, now_s: float) -> list[Output]:
        """Simulate up to now and return the new output since the last call."""
        self._run_until(now_s)
        return self._attempts.take_new_outputs()

    def generate(self, request: GenerateRequest, now_s: float) -> None:
        """Queue an attempt.

        A repeated attempt id continues the existing attempt.

        Raises:
            MissingError: The model is not loaded.
            NotRunError: The engine refuses the attempt without running it.
        """
        self._run_until(now_s)
        if self._attempts.get(request.attempt_id) is not None:
            return
        if request.model not in self.serving.models:
            raise MissingError(ran=False, cause='unknown_model')
        refusal = self._refusal(now_s)
        if refusal is not None:
            raise refusal
        attempt = Attempt.from_request(request, next(self._arrivals), now_s)
        if attempt.final_blocks > self.settings.kv_total_blocks:
            raise _not_run('full', RETRY_AFTER_FULL_S)
        self._attempts.add(attempt)
        self._batch.add(attempt)

    def output_from(self, attempt_id: str, offset: int) -> Output:
        """Return the output of an attempt from an offset on."""
        return self._attempts.get_existing(attempt_id).output_from(offset)

    def attempt_record(self, attempt_id: str) -> AttemptRecord:
        """Return the record of an attempt, for checks by tests."""
        return record_attempt(self._attempts.get_existing(attempt_id))

    def cancel(self, attempt_id: str, now_s: float) -> bool:
        """Cancel an attempt; return whether it was in progress."""
        self._run_until(now_s)
        attempt = self._attempts.get(attempt_id)
        if attempt is None or attempt.end is not None:
            return False
        self._abort((attempt,), CAUSE_CANCELLED)
        return True

    def load_report(self, now_s: float) -> LoadReport:
        """Return the newest load report that is at least `lag_s` old."""
        self._run_until(now_s)
        return self._reports.report(now_s)

    def cache_events(self, after: int, now_s: float) -> CacheEvents:
        """Return the published cache events after a sequence number."""
        self._run_until(now_s)
        return self._event_log.after(after, now_s)

    def order(self, order: EngineOrder, now_s: float) -> EngineOrderAnswer:
        """Accept or refuse an order; a slow one completes in later steps."""
        self._run_until(now_s)
        is_new = self._orders.answer_for(order.order_id) is None
        duration_s = self.serving.duration_s(order, self.settings.order_times)
        answer = self._orders.receive(order, duration_s, now_s)
        if is_new and answer.state != 'refused':
            self._begin_order(order)
            if answer.state == 'done':
                self.serving.complete(order)
        return answer

    def order_state(self, order_id: str, now_s: float) -> EngineOrderAnswer:
        """Return the current state of a received order."""
        self._run_until(now_s)
        answer = self._orders.answer_for(order_id)
        if answer is None:
            raise MissingError(order_id=order_id, cause='unknown_order')
        return answer

    def export_kv(self, attempt_id: str, now_s: float) -> KvExport:
        """Offer the KV of an attempt for import by another engine."""
        self._run_until(now_s)
        attempt = self._attempts.get_existing(attempt_id)
        handle = f'kv-{self.incarnation}-{attempt_id}'
        export = KvExport(
            handle, attempt.computed_block_ids(), tuple(attempt.output)
        )
        self._exports[handle] = export
        while len(self._exports) > MAX_EXPORTS:
            self._exports.pop(next(iter(self._exports)))
        return export

    def exported_kv(self, handle: str) -> KvExport:
        """Return the KV export with a handle."""
        if handle not in self._exports:
            raise MissingError(handle=handle, cause='unknown_handle')
        return self._exports[handle]

    def import_kv(self, export: KvExport, now_s: float) -> None:
        """Add the KV of another engine's attempt to the cache."""
        self._run_until(now_s)
        self._pool.add_cached(export.blocks, self._now_s)

    @property
    def record(self) -> EngineRecord:
        """The record of every order and attempt, for checks by tests."""
        return EngineRecord(
            orders=tuple(self._orders.received),
            attempts=tuple(self._attempts.records()),
            preemptions=self._batch.preemptions,
        )

    def _run_until(self, now_s: float) -> None:
        while not self.is_crashed:
            step_s = self.settings.step_s
            if self._now_s + step_s > now_s:
                return
            if self._batch.is_idle and self._orders.active_order is None:
                step_s = max(step_s, min(now_s - self._now_s, IDLE_STEP_S))
            self._now_s += step_s
            self._step(step_s)

    def _step(self, step_s: float) -> None:
        finished_order = self._orders.complete_due(self._now_s)
        if finished_order is not None:
            self.serving.complete(finished_order)
        if not self._batch.is_idle:
            self._step_batch(step_s)
        self.is_crashed = self.faults.crash or self._is_running_crash_prompt()
        self._attempts.expire(self._now_s)
        if self._reports.is_due(self._now_s):
            self._sample_load()

    def _step_batch(self, step_s: float) -> None:
        previous_lengths = {
            active: len(active.output) for active in self._batch.in_progress
        }
        self._batch.slow_after_tokens = self.faults.slow_after_tokens
        self._batch.step(self.serving.role, step_s, self._now_s)
        for attempt, offset in previous_lengths.items():
            self._attempts.record_progress(attempt, offset)

    def _is_running_crash_prompt(self) -> bool:
        text = self.faults.crash_on
        if not text:
            return False
        return any(
            text in attempt.request.prompt for attempt in self._batch.running
        )

    def _refusal(self, now_s: float) -> NotRunError | None:
        if self.faults.refuse:
            return _not_run(self.faults.refuse, RETRY_AFTER_FULL_S)
        order = self._orders.active_order
        if order is not None:
            cause = 'role' if order.kind == 'role' else 'loading'
            return _not_run(cause, self._orders.remaining_s(now_s))
        if self.serving.is_draining:
            return _not_run('draining', RETRY_AFTER_DRAINING_S)
        if len(self._batch.waiting) >= self.settings.max_waiting:
            return _not_run('full', RETRY_AFTER_FULL_S)
        return None

    def _begin_order(self, order: EngineOrder) -> None:
        attempts = self.serving.aborted_by(order, self._batch.in_progress)
        self._abort(attempts, order.kind)
        if self.serving.clears_kv_cache(order):
            self._pool.clear(self._now_s)
        self.serving.begin(order)

    def _abort(self, attempts: Iterable[Attempt], cause: str) -> None:
        for attempt in attempts:
            end = StreamEnd('error', cause)
            self._batch.remove(attempt, end, self._now_s)
            self._attempts.record_progress(attempt, len(attempt.output))

    def _sample_load(self) -> None:
        decoded = self._batch.decoded_tokens
        rate = self._reports.rate_since(
            decoded - self._last_sampled_tokens, self._now_s
        )
        self._last_sampled_tokens = decoded
        serving = self.serving
        self._reports.add(
            LoadReport(
                engine_id=self.settings.engine_id,
                incarnation=self.incarnation,
                measured_s=self._now_s,
                age_s=0,
                role=serving.role,
                models=serving.models,
                running=len(self._batch.running),
                waiting=len(self._batch.waiting),
                prefill_queue_tokens=self._batch.pending_tokens,
                decode_tokens_per_s=rate,
                kv_used_blocks=self._pool.used_blocks,
                kv_total_blocks=self.settings.kv_total_blocks,
                draining=serving.is_draining,
                drain_order_id=serving.drain_order_id,
                highest_fence=self._orders.highest_fence,
                in_progress=tuple(
                    attempt.request.attempt_id
                    for attempt in self._batch.in_progress
                ),
                version=serving.version,
            )
        )


def _not_run(cause: str, retry_after_s: float) -> NotRunError:
    return NotRunError(ran=False, cause=cause, retry_after_s=retry_after_s)
