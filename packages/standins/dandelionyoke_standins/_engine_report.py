"""An engine's delayed load reports, and its records for checks by tests."""

from collections import deque

import attrs

from dandelionyoke_core import BLOCK_TOKENS
from dandelionyoke_standins._attempt import Attempt, StreamEnd
from dandelionyoke_standins._engine_orders import ReceivedEngineOrder


@attrs.frozen
class ReportSettings:
    """The minimum age of a load report and the sampling interval."""

    lag_s: float = 0.5
    interval_s: float = 0.1


@attrs.frozen
class LoadReport:
    """The load of an engine at `measured_s` on its own clock."""

    engine_id: str
    incarnation: str
    measured_s: float
    age_s: float
    role: str
    models: tuple[str, ...]
    running: int
    waiting: int
    prefill_queue_tokens: int
    decode_tokens_per_s: float
    kv_used_blocks: int
    kv_total_blocks: int
    draining: bool
    drain_order_id: str | None
    highest_fence: int
    in_progress: tuple[str, ...]
    version: str = ''
    block_tokens: int = BLOCK_TOKENS


@attrs.frozen
class AttemptRecord:
    """The history of an attempt."""

    attempt_id: str
    model: str
    priority: int
    received_s: float
    ended_s: float | None
    end: StreamEnd | None
    prompt_tokens: int
    cached_tokens: int
    resumed_tokens: int
    output_tokens: int
    preemptions: int


@attrs.frozen
class EngineRecord:
    """Every order and attempt that the engine received."""

    orders: tuple[ReceivedEngineOrder, ...]
    attempts: tuple[AttemptRecord, ...]
    preemptions: int


class ReportLog:
    """Keeps recent load samples in order to report them late."""

    def __init__(self, settings: ReportSettings) -> None:
        self._settings = settings
        self._reports: deque[LoadReport] = deque()

    def is_due(self, now_s: float) -> bool:
        """Whether the next sample is due."""
        last_s = self._reports[-1].measured_s
        return now_s - last_s >= self._settings.interval_s

    def add(self, report: LoadReport) -> None:
        """Add a sample."""
        self._reports.append(report)
        self._drop_older(report.measured_s - self._settings.lag_s)

    def rate_since(self, decoded_tokens: int, now_s: float) -> float:
        """Return the decode rate since the last sample (tokens/s)."""
        if not self._reports:
            return 0
        elapsed_s = now_s - self._reports[-1].measured_s
        return decoded_tokens / elapsed_s if elapsed_s > 0 else 0

    def report(self, now_s: float) -> LoadReport:
        """Return the newest sample that is at least `lag_s` old."""
        self._drop_older(now_s - self._settings.lag_s)
        report = self._reports[0]
        return attrs.evolve(report, age_s=now_s - report.measured_s)

    def _drop_older(self, until_s: float) -> None:
        while len(self._reports) > 1 and self._reports[1].measured_s <= until_s:
            self._reports.popleft()


def record_attempt(attempt: Attempt) -> AttemptRecord:
    """Build the record of an attempt."""
    return AttemptRecord(
        attempt_id=attempt.request.attempt_id,
        model=attempt.request.model,
        priority=attempt.request.priority,
        received_s=attempt.received_s,
        ended_s=attempt.ended_s,
        end=attempt.end,
        prompt_tokens=len(attempt.prompt_tokens),
        cached_tokens=attempt.cached_tokens,
        resumed_tokens=len(attempt.request.resume_tokens),
        output_tokens=len(attempt.output),
        preemptions=attempt.preemptions,
    )
