"""An engine as a pure model: it moves on by the time passed in."""

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
from dandelionyoke_standins._attempt_book import AttemptBook
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
    OrderDesk,
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
from dandelionyoke_standins._serving import Serving

# Longer steps cost less and give the output in larger parts.
STEP_S = 0.02
REST_STEP_S = 0.1
# The oldest export goes when there are more.
MAX_EXPORTS = 256
RETRY_FULL_S = 1.0
RETRY_DRAINING_S = 5.0
CAUSE_CANCELLED = 'cancelled'


@attrs.frozen
class EngineSettings:
    """Everything that tells one engine from another."""

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
    """What is wrong with the engine at present."""

    crash_on: str = ''
    crash: bool = False
    silent_after_tokens: int | None = None
    silent: bool = False
    refuse: str = ''
    lose_answers: int = 0


@attrs.frozen
class KvExport:
    """The KV of an attempt, for another engine to take over."""

    handle: str
    blocks: tuple[str, ...]
    tokens: tuple[str, ...]


class EngineModel:
    """One engine. `advance` moves it on; every call takes the time."""

    def __init__(
        self, settings: EngineSettings, chance: random.Random, now_s: float = 0
    ) -> None:
        self.settings = settings
        self.faults = EngineFaults()
        self.is_crashed = False
        self.incarnation = f'{chance.getrandbits(64):016x}'
        self.serving = Serving(settings.role, settings.models)
        self._now_s = now_s
        self._log = CacheEventLog(settings.events, chance)
        self._pool = BlockPool(settings.kv_total_blocks, self._log)
        self._batch = Batch(settings.batch, self._pool)
        self._desk = OrderDesk(settings.is_checking_fence)
        self._reports = ReportLog(settings.report)
        self._book = AttemptBook(settings.keep_ended_s)
        self._exports: dict[str, KvExport] = {}
        self._arrivals = itertools.count()
        self._sampled_tokens = 0
        self._sample()

    def advance(self, now_s: float) -> list[Output]:
        """Work until now; give what came out since the last time."""
        self._run_until(now_s)
        return self._book.take_fresh()

    def generate(self, request: GenerateRequest, now_s: float) -> None:
        """Queue an attempt, or refuse it as not run.

        A repeated attempt id goes on with the attempt that there is.
        """
        self._run_until(now_s)
        if self._book.get(request.attempt_id) is not None:
            return
        if request.model not in self.serving.models:
            raise MissingError(ran=False, cause='unknown_model')
        refusal = self._refusal(now_s)
        if refusal is not None:
            raise refusal
        attempt = Attempt.receive(request, next(self._arrivals), now_s)
        if attempt.whole_blocks > self.settings.kv_total_blocks:
            raise _not_run('full', RETRY_FULL_S)
        self._book.add(attempt)
        self._batch.add(attempt)

    def output_from(self, attempt_id: str, offset: int) -> Output:
        """Give the output of an attempt from an offset on."""
        return self._book.known(attempt_id).output_from(offset)

    def attempt_record(self, attempt_id: str) -> AttemptRecord:
        """Give what an outsider may check about an attempt."""
        return record_attempt(self._book.known(attempt_id))

    def cancel(self, attempt_id: str, now_s: float) -> bool:
        """End an attempt in progress; false when there is none."""
        self._run_until(now_s)
        attempt = self._book.get(attempt_id)
        if attempt is None or attempt.end is not None:
            return False
        self._cut((attempt,), CAUSE_CANCELLED)
        return True

    def load_report(self, now_s: float) -> LoadReport:
        """Give the newest report that is old enough."""
        self._run_until(now_s)
        return self._reports.report(now_s)

    def cache_events(self, after: int, now_s: float) -> CacheEvents:
        """Give the cache events that may be seen by now."""
        self._run_until(now_s)
        return self._log.after(after, now_s)

    def order(self, order: EngineOrder, now_s: float) -> EngineOrderAnswer:
        """Take an order; what takes time goes on in `advance`."""
        self._run_until(now_s)
        is_new = self._desk.answer_to(order.order_id) is None
        takes_s = self.serving.takes_s(order, self.settings.order_times)
        answer = self._desk.receive(order, takes_s, now_s)
        if is_new and answer.state != 'refused':
            self._begin(order)
            if answer.state == 'done':
                self.serving.complete(order)
        return answer

    def order_state(self, order_id: str, now_s: float) -> EngineOrderAnswer:
        """Give the present state of an order that was received."""
        self._run_until(now_s)
        answer = self._desk.answer_to(order_id)
        if answer is None:
            raise MissingError(order_id=order_id, cause='unknown_order')
        return answer

    def export_kv(self, attempt_id: str, now_s: float) -> KvExport:
        """Set the KV of an attempt out for another engine."""
        self._run_until(now_s)
        attempt = self._book.known(attempt_id)
        handle = f'kv-{self.incarnation}-{attempt_id}'
        export = KvExport(
            handle, attempt.computed_names(), tuple(attempt.output)
        )
        self._exports[handle] = export
        while len(self._exports) > MAX_EXPORTS:
            self._exports.pop(next(iter(self._exports)))
        return export

    def exported_kv(self, handle: str) -> KvExport:
        """Give what was set out under a handle."""
        if handle not in self._exports:
            raise MissingError(handle=handle, cause='unknown_handle')
        return self._exports[handle]

    def import_kv(self, export: KvExport, now_s: float) -> None:
        """Take the KV of another engine's attempt into the cache."""
        self._run_until(now_s)
        self._pool.add_cached(export.blocks, self._now_s)

    @property
    def record(self) -> EngineRecord:
        """Every order and every attempt, for checks from outside."""
        return EngineRecord(
            orders=tuple(self._desk.received),
            attempts=tuple(self._book.records()),
            preemptions=self._batch.preemptions,
        )

    def _run_until(self, now_s: float) -> None:
        while not self.is_crashed:
            step_s = self.settings.step_s
            if self._now_s + step_s > now_s:
                return
            if self._batch.is_idle and self._desk.open_order is None:
                step_s = max(step_s, min(now_s - self._now_s, REST_STEP_S))
            self._now_s += step_s
            self._step(step_s)

    def _step(self, step_s: float) -> None:
        finished = self._desk.close_due(self._now_s)
        if finished is not None:
            self.serving.complete(finished)
        if not self._batch.is_idle:
            self._work(step_s)
        self.is_crashed = self.faults.crash or self._is_running_crasher()
        self._book.forget(self._now_s)
        if self._reports.is_due(self._now_s):
            self._sample()

    def _work(self, step_s: float) -> None:
        before = {one: len(one.output) for one in self._batch.in_progress}
        self._batch.step(self.serving.role, step_s, self._now_s)
        for attempt, offset in before.items():
            self._book.note(attempt, offset)

    def _is_running_crasher(self) -> bool:
        text = self.faults.crash_on
        if not text:
            return False
        return any(text in one.request.prompt for one in self._batch.running)

    def _refusal(self, now_s: float) -> NotRunError | None:
        if self.faults.refuse:
            return _not_run(self.faults.refuse, RETRY_FULL_S)
        order = self._desk.open_order
        if order is not None:
            cause = 'role' if order.kind == 'role' else 'loading'
            return _not_run(cause, self._desk.left_s(now_s))
        if self.serving.is_draining:
            return _not_run('draining', RETRY_DRAINING_S)
        if len(self._batch.waiting) >= self.settings.max_waiting:
            return _not_run('full', RETRY_FULL_S)
        return None

    def _begin(self, order: EngineOrder) -> None:
        attempts = self.serving.cut_by(order, self._batch.in_progress)
        self._cut(attempts, order.kind)
        if self.serving.clears_memory(order):
            self._pool.clear(self._now_s)
        self.serving.begin(order)

    def _cut(self, attempts: Iterable[Attempt], cause: str) -> None:
        for attempt in attempts:
            end = StreamEnd('error', cause)
            self._batch.remove(attempt, end, self._now_s)
            self._book.note(attempt, len(attempt.output))

    def _sample(self) -> None:
        decoded = self._batch.decoded_tokens
        rate = self._reports.rate_since(
            decoded - self._sampled_tokens, self._now_s
        )
        self._sampled_tokens = decoded
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
                highest_fence=self._desk.highest_fence,
                in_progress=tuple(
                    attempt.request.attempt_id
                    for attempt in self._batch.in_progress
                ),
                version=serving.version,
            )
        )


def _not_run(cause: str, retry_after_s: float) -> NotRunError:
    return NotRunError(ran=False, cause=cause, retry_after_s=retry_after_s)
